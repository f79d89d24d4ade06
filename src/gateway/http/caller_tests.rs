//! Tests of connections of callers.

use std::io::{Cursor, ErrorKind};
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, timeout};

use super::caller::write_some;
use super::{ReadError, split_caller};
use crate::core::memory::MemoryBounds;
use crate::core::routing::CallerLimits;
use crate::gateway::memory::MemoryGate;
use crate::gateway::metrics::GatewayMetrics;

const LIMITS: CallerLimits = CallerLimits {
    header_bytes: 16 * 1024,
    body_bytes: 4 * 1024 * 1024,
    header_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};
const BOUNDS: MemoryBounds = MemoryBounds { total: 64 * 1024 * 1024 };
const HEAD: &[u8] =
    b"POST /x HTTP/1.1\r\nhost: x\r\nexpect: 100-continue\r\ncontent-length: 2\r\n\r\n";
const DEADLINE: Duration = Duration::from_millis(500);

/// Fills the buffers of the kernel, as answers do that are not read.
async fn fill(stream: &TcpStream) {
    let bytes = vec![0; 1024 * 1024];
    let pause = Duration::from_millis(200);
    while let Ok(writable) = timeout(pause, stream.writable()).await {
        writable.expect("the connection is open");
        let _ = stream.try_write(&bytes);
    }
}

/// Guards against a call that lasts for as long as its caller reads nothing, as it waits for room for
/// `100 Continue`.
#[actix_rt::test]
async fn body_of_a_caller_that_does_not_read_is_given_up_at_its_deadline() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("the listener is bound");
    let mut caller = TcpStream::connect(address).await.expect("the address listens");
    let (stream, _) = listener.accept().await.expect("the connection arrives");
    fill(&stream).await;
    caller.write_all(HEAD).await.expect("the connection is open");
    let (mut reader, mut writer) = split_caller(stream);
    let gate = Rc::new(MemoryGate::new(BOUNDS, GatewayMetrics::new("test").memory_meter()));
    let memory = gate.permit("r".into(), 0);
    let request = reader.head(&LIMITS, &memory).await.expect("a head");
    let deadline = Instant::now() + DEADLINE;
    let body = reader.body(&request, &mut writer, 1_024, deadline, &memory, DEADLINE);
    let read = timeout(4 * DEADLINE, body).await.expect("it is given up");
    assert!(matches!(read, Err(ReadError::TimedOut)), "{read:?}");
}

/// Guards against writes without end to a connection that accepts no bytes.
#[actix_rt::test]
async fn write_of_no_bytes_fails() {
    let mut room = [0; 3];
    let mut half = Cursor::new(&mut room[..]);
    let mut buffer = BytesMut::from("answer");
    let written = write_some(&mut half, &mut buffer).await.map_err(|error| error.kind());
    assert_eq!((written, &buffer[..]), (Ok(3), &b"wer"[..]));
    let written = write_some(&mut half, &mut buffer).await.map_err(|error| error.kind());
    assert_eq!((written, &buffer[..]), (Err(ErrorKind::WriteZero), &b"wer"[..]));
}
