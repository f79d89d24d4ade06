//! Tests of the HTTP client with answers of servers in trouble.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Method;
use bytes::Bytes;
use futures_util::stream::StreamExt;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::http_client::{HttpClient, HttpError};

const LIMIT: Duration = Duration::from_secs(5);
const SHORT_LIMIT: Duration = Duration::from_millis(100);

#[derive(Debug, Clone, Copy)]
enum SendWay {
    Pooled,
    Unpooled,
    Streamed,
}

/// Sends a request to a server that answers so and closes the connection.
async fn exchange(way: SendWay, answer: &str) -> Result<String, HttpError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("the listener is bound").to_string();
    let server = async {
        let (mut stream, _) = listener.accept().await.expect("the connection arrives");
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            stream.read_buf(&mut head).await.expect("a request");
        }
        stream.write_all(answer.as_bytes()).await.expect("the connection is open");
    };
    let client = HttpClient::default();
    let request = async {
        let (method, path, body) = (Method::GET, "/x", Bytes::new());
        match way {
            SendWay::Pooled => client.exchange(method, &address, path, body, LIMIT).await,
            SendWay::Unpooled => {
                client.exchange_unpooled(method, &address, path, body, false, LIMIT).await
            }
            SendWay::Streamed => {
                let mut chunks = client.open(method, &address, path, body, false).await?;
                let mut text = Vec::new();
                while let Some(chunk) = chunks.next().await {
                    text.extend(chunk?);
                }
                Ok(text.into())
            }
        }
    };
    let (answer, ()) = tokio::join!(request, server);
    answer.map(|body| String::from_utf8_lossy(&body).into_owned())
}

/// Guards against a broken answer that is taken for a whole one.
#[rstest]
#[case::within_length("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\na part")]
#[case::within_chunk("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\na part")]
#[case::between_chunks("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n6\r\na part\r\n")]
#[case::status("HTTP/1.1 000 X\r\ncontent-length: 6\r\n\r\na part")]
#[case::blank_in_name("HTTP/1.1 200 OK\r\nx-note : a\r\ncontent-length: 6\r\n\r\na part")]
#[case::blank_in_length("HTTP/1.1 200 OK\r\ncontent-length : 2\r\n\r\na part")]
#[case::control_byte("HTTP/1.1 200 OK\r\nx-\u{1}: a\r\ncontent-length: 6\r\n\r\na part")]
#[case::within_head("HTTP/1.1 200 OK\r\ncontent-length: 6\r\n")]
#[actix_rt::test]
async fn broken_answer_is_lost(
    #[values(SendWay::Pooled, SendWay::Unpooled, SendWay::Streamed)] way: SendWay,
    #[case] answer: &str,
) {
    let answer = exchange(way, answer).await;
    assert!(matches!(answer, Err(HttpError::Lost { .. })), "{answer:?}");
}

/// Guards against a sound answer that is lost, or taken for an empty one.
#[rstest]
#[case::length("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole")]
#[case::chunks("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n")]
#[case::until_end("HTTP/1.1 200 OK\r\n\r\nwhole")]
#[case::earlier_version("HTTP/1.0 200 OK\r\n\r\nwhole")]
#[case::after_interim(
    "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole"
)]
#[actix_rt::test]
async fn sound_answer_is_whole(
    #[values(SendWay::Pooled, SendWay::Unpooled, SendWay::Streamed)] way: SendWay,
    #[case] answer: &str,
) {
    assert_eq!(exchange(way, answer).await.as_deref(), Ok("whole"));
}

/// Serves requests without a body, but for those that ask for silence.
async fn serve(mut stream: TcpStream) {
    let mut head = Vec::new();
    while stream.read_buf(&mut head).await.is_ok_and(|count| count > 0) {
        if head.ends_with(b"\r\n\r\n") && !head.starts_with(b"GET /silence") {
            head.clear();
            let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole";
            stream.write_all(answer).await.expect("the connection is open");
        }
    }
}

/// Guards against a new connection for each request, and against a retry over one that has failed.
#[actix_rt::test]
async fn idle_connections_are_reused_until_a_request_times_out() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("the listener is bound").to_string();
    let accepted = Rc::new(Cell::new(0));
    let counter = accepted.clone();
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            counter.set(counter.get() + 1);
            actix_rt::spawn(serve(stream));
        }
    });
    let client = HttpClient::default();
    let exchange = |path, limit| client.exchange(Method::GET, &address, path, Bytes::new(), limit);
    for _ in 0..3 {
        assert_eq!(exchange("/x", LIMIT).await.as_deref(), Ok(&b"whole"[..]));
    }
    assert_eq!(accepted.get(), 1);
    let silent = exchange("/silence", SHORT_LIMIT).await;
    assert!(matches!(silent, Err(HttpError::Lost { .. })), "{silent:?}");
    assert_eq!(exchange("/x", LIMIT).await.as_deref(), Ok(&b"whole"[..]));
    assert_eq!(accepted.get(), 2);
}
