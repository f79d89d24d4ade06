//! Upstreams that answer an upload before they have read it, and end the connection in different ways.

mod platform_standin;

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use platform_standin::http::RawMessage;
use platform_standin::{Deployment, HOST, default_routes, manifest};
use rstest::rstest;
use socket2::SockRef;

/// More than the buffers of a connection hold.
const UPLOAD_BYTES: usize = 4_000_000;
const UPLOADS: usize = 40;

/// What an upstream does with a connection after it has answered an upload that it has not read.
#[derive(Debug, Clone, Copy)]
enum UploadEnd {
    /// Reads up to 48 KB of the upload and resets the connection.
    Reset,
    /// Ends its stream in order and reads the upload.
    Ordered,
    /// Closes the connection, which resets it.
    Closed,
}

/// An upstream that answers each upload before it has read it.
struct EarlyEngine {
    address: String,
    seen: Arc<AtomicUsize>,
}

impl EarlyEngine {
    fn start(status: u16, fields_and_body: &'static str, end: UploadEnd) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("listener is bound").to_string();
        let seen = Arc::new(AtomicUsize::new(0));
        let counter = seen.clone();
        std::thread::spawn(move || {
            for mut stream in listener.incoming().map_while(Result::ok) {
                let Some(id) = read_request_id(&mut stream) else { continue };
                let number = counter.fetch_add(1, Ordering::Relaxed);
                let answer = format!(
                    "HTTP/1.1 {status} X\r\nmerlinsaddle-request-id: {id}\r\n\
                     merlinsaddle-server-stamp: s\r\n{fields_and_body}"
                );
                stream.write_all(answer.as_bytes()).expect("an answer fits into the buffers");
                end_upload(stream, number, end);
            }
        });
        Self { address, seen }
    }
}

fn end_upload(mut stream: TcpStream, number: usize, end: UploadEnd) {
    match end {
        UploadEnd::Reset => {
            discard(&mut stream, number % 4 * 16 * 1024);
            SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("the option is known");
        }
        UploadEnd::Ordered => {
            stream.shutdown(Shutdown::Write).expect("the connection is open");
            discard(&mut stream, UPLOAD_BYTES);
        }
        UploadEnd::Closed => {}
    }
}

/// Reads at least this much of the upload, unless it ends before.
fn discard(stream: &mut TcpStream, bytes: usize) {
    let mut buffer = [0; 16 * 1024];
    let mut left = bytes;
    while left > 0 {
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return,
            Ok(count) => left = left.saturating_sub(count),
        }
    }
}

fn read_request_id(stream: &mut TcpStream) -> Option<String> {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0].to_ascii_lowercase());
    }
    let head = String::from_utf8(head).ok()?;
    let mut lines = head.lines();
    lines.find_map(|line| line.strip_prefix("merlinsaddle-request-id: ")).map(str::to_owned)
}

/// A gateway that accepts large uploads, in front of this engine.
async fn deploy_before(engine: &EarlyEngine) -> Deployment {
    let mut deployment = Deployment::start(0, 0).await;
    let mut manifest = manifest(2, &default_routes());
    manifest["limits"]["max-body-bytes"] = (2 * UPLOAD_BYTES).into();
    deployment.store.put("op", "config", &manifest);
    deployment.list_engine("early", &engine.address, "ready");
    deployment.add_gateway(0).await;
    deployment
}

async fn upload(deployment: &Deployment, route: &str, id: &str) -> RawMessage {
    // Each body differs, as one is not sent on after its upstreams were lost.
    let body = id.to_owned() + &"x".repeat(UPLOAD_BYTES - id.len());
    let request = format!(
        "POST /{route}/x HTTP/1.1\r\nHost: {HOST}\r\nMerlinsaddle-Request-Id: {id}\r\n\
         Merlinsaddle-Deadline-Ms: 5000\r\nContent-Length: {UPLOAD_BYTES}\r\n\r\n{body}"
    );
    deployment.gateway().call(&request).await
}

/// Uploads to this engine, and returns the whole answers that are its own.
async fn whole_answers(engine: &EarlyEngine, route: &str) -> Vec<String> {
    let deployment = deploy_before(engine).await;
    let mut whole = Vec::new();
    for number in 0..UPLOADS {
        let answer = upload(&deployment, route, &format!("u{number}")).await;
        if answer.whole && answer.status() != 502 {
            whole.push(format!("{} {}", answer.status(), answer.text()));
        }
    }
    assert!(engine.seen.load(Ordering::Relaxed) >= UPLOADS, "each upload was sent on");
    whole
}

/// Guards against the part of an answer without a length that an upstream sent before it reset the
/// connection, which reaches the caller as a whole answer if the upload was still being written.
#[rstest]
#[case::forwarded("book", 200, "\r\na part")]
#[case::buffered("read", 200, "\r\na part")]
#[case::refused("book", 413, "\r\ntoo")]
#[case::event_stream("book", 200, "content-type: text/event-stream\r\n\r\nid: 1\ndata: w1\n\n")]
#[actix_rt::test]
async fn answer_that_is_reset_during_the_upload_is_never_whole(
    #[case] route: &str,
    #[case] status: u16,
    #[case] fields_and_body: &'static str,
) {
    let engine = EarlyEngine::start(status, fields_and_body, UploadEnd::Reset);
    assert_eq!(whole_answers(&engine, route).await, [""; 0]);
}

/// Guards against an answer that its upstream has ended, and that is taken for a broken one as the
/// upload was still being written.
#[rstest]
#[case::ended(200, "\r\nall of it", UploadEnd::Ordered, "200 all of it")]
#[case::refused(413, "content-length: 9\r\n\r\ntoo large", UploadEnd::Closed, "413 too large")]
#[case::refused_in_order(413, "\r\ntoo large", UploadEnd::Ordered, "413 too large")]
#[actix_rt::test]
async fn answer_that_ends_during_the_upload_is_whole(
    #[values("book", "read")] route: &str,
    #[case] status: u16,
    #[case] fields_and_body: &'static str,
    #[case] end: UploadEnd,
    #[case] expected: &str,
) {
    let engine = EarlyEngine::start(status, fields_and_body, end);
    assert_eq!(whole_answers(&engine, route).await, [expected; UPLOADS]);
}
