//! Tests of the connection pool.

use std::time::Duration;

use socket2::{Domain, Socket, Type};
use tokio::net::TcpListener;
use tokio::time::{Instant, advance, pause};

use super::pool::ConnectionPool;

/// Guards against sending a request on an idle connection whose peer may be dead.
#[actix_rt::test]
async fn stale_connection_is_not_reused_when_use_is_rare() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("listener is bound").to_string();
    let pool = ConnectionPool::default();
    let first = pool.get_for_attempt(&address, 0).await.expect("connects");
    let _accepted = listener.accept().await.expect("connection arrives");
    pool.put(&address, first, None);
    pause();
    advance(Duration::from_millis(900)).await;
    let recent = pool.get_for_attempt(&address, 0).await.expect("connection is pooled");
    pool.put(&address, recent, None);
    advance(Duration::from_millis(1_100)).await;
    tokio::time::resume();
    let _replacement = pool.get_for_attempt(&address, 0).await.expect("connects");
    listener.accept().await.expect("a new connection arrives");
    assert!(pool.has_idle(&address), "the stale connection is still in the pool");
}

/// Guards against needless reconnects while pooled connections are in frequent use.
#[actix_rt::test]
async fn stale_connection_is_reused_when_use_is_frequent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("listener is bound").to_string();
    let pool = ConnectionPool::default();
    let mut connection = pool.get_for_attempt(&address, 0).await.expect("connects");
    let _accepted = listener.accept().await.expect("connection arrives");
    pause();
    for _ in 0..100 {
        pool.put(&address, connection, None);
        advance(Duration::from_millis(200)).await;
        connection = pool.get_for_attempt(&address, 0).await.expect("connection is pooled");
    }
    pool.put(&address, connection, None);
    advance(Duration::from_millis(1_100)).await;
    pool.get_for_attempt(&address, 0).await.expect("connection is pooled");
    assert!(!pool.has_idle(&address));
}

/// Guards against a call that waits for an unreachable upstream while others could serve it.
#[actix_rt::test]
async fn first_connect_timeout_is_short_and_grows_with_attempts() {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let any: std::net::SocketAddr = "127.0.0.1:0".parse().expect("an address");
    socket.bind(&any.into()).expect("a free port");
    socket.listen(0).expect("it listens");
    let bound = socket.local_addr().expect("listener is bound").as_socket().expect("it is IPv4");
    // The kernel drops SYN packets once the accept queue is full.
    let _queue_fillers: Vec<_> = (0..4)
        .map(|_| {
            std::thread::spawn(move || {
                std::net::TcpStream::connect_timeout(&bound, Duration::from_secs(1))
            })
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(100)).await;
    let pool = ConnectionPool::default();
    let connect_time = async |tried| {
        let started = Instant::now();
        assert!(pool.get_for_attempt(&bound.to_string(), tried).await.is_err());
        started.elapsed()
    };
    assert!(connect_time(0).await < Duration::from_millis(200));
    assert!(connect_time(9).await >= Duration::from_millis(400));
}
