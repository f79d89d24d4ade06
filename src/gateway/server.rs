//! Accepts connections of callers and serves their requests in sequence.

use std::cell::Cell;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use socket2::{SockFilter, SockRef};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, timeout};

use super::Gateway;
use super::http::{CallerReader, CallerWriter, CloseReason, ReadError, split_caller};
use super::refusal::Refusal;
use crate::core::ids::RequestId;
use crate::core::routing::CallerLimits;

/// Used until the routes have been read.
const DEFAULT_LIMITS: CallerLimits = CallerLimits {
    header_bytes: 16 * 1024,
    body_bytes: 4 * 1024 * 1024,
    header_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};
/// Time to read and drop input after an answer that announced the close, such as the rest of a refused
/// request. A body of 4 MB arrives in 1 s at 34 Mbit/s.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Limit for the runtime to report input that the socket has.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);
/// Rank of a request whose head is being read.
const LEAST_URGENT: u8 = u8::MAX;
/// Delay after a failed accept, which is usually due to a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Position of the flags in a TCP header (RFC 9293, 3.1).
const TCP_FLAGS_OFFSET: u32 = 13;
const TCP_SYN: u32 = 0x02;

/// An instruction; `skip_unset` are those to skip where a tested bit is not set.
const fn bpf(code: u32, skip_unset: u8, operand: u32) -> SockFilter {
    SockFilter::new(code as u16, 0, skip_unset, operand)
}

/// Classic BPF that drops the packets that open connections, and accepts others: those under way are
/// completed.
const DROP_OPENING_PACKETS: [SockFilter; 4] = [
    bpf(libc::BPF_LD | libc::BPF_B | libc::BPF_ABS, 0, TCP_FLAGS_OFFSET),
    // If SYN is set, the next instruction, else the one after it.
    bpf(libc::BPF_JMP | libc::BPF_JSET | libc::BPF_K, 1, TCP_SYN),
    bpf(libc::BPF_RET | libc::BPF_K, 0, 0),
    bpf(libc::BPF_RET | libc::BPF_K, 0, u32::MAX),
];
/// For connections under way to be completed once no more are opened.
const HANDSHAKE_TIME: Duration = Duration::from_millis(50);

/// Counts a request, a connection or a listener as open until it is dropped.
struct OpenGuard {
    gateway: Rc<Gateway>,
    count: fn(&Gateway) -> &Cell<u32>,
}

impl OpenGuard {
    fn new(gateway: &Rc<Gateway>, count: fn(&Gateway) -> &Cell<u32>) -> Self {
        count(gateway).update(|open| open + 1);
        Self { gateway: gateway.clone(), count }
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        (self.count)(&self.gateway).update(|open| open - 1);
        // A graceful shutdown waits for them.
        self.gateway.connections_ended.notify_waiters();
    }
}

/// Accepts connections until a shutdown closes the listener.
pub(crate) async fn serve_callers(gateway: &Rc<Gateway>, listener: &TcpListener) {
    // A graceful shutdown waits until the queue is empty.
    let _open = OpenGuard::new(gateway, |gateway| &gateway.open_listeners);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = gateway.stop.closing() => return serve_backlog(gateway, listener).await,
        };
        match accepted {
            Ok((stream, peer)) => {
                actix_rt::spawn(serve_connection(gateway.clone(), stream, peer));
            }
            Err(error) => {
                log::warn!("event=accept_failed error=\"{error}\"");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Accepts what waits in the listener's queue, as closing the listener would reset it. Descriptors may be
/// lacking until idle connections have closed, so the queue is tried until the end of the grace period.
async fn serve_backlog(gateway: &Rc<Gateway>, listener: &TcpListener) {
    // Otherwise a connection that is completed after the last look at the queue would be reset.
    match SockRef::from(listener).attach_filter(&DROP_OPENING_PACKETS) {
        Ok(()) => tokio::select! {
            () = sleep(HANDSHAKE_TIME) => {}
            () = gateway.stop.cut_off() => {}
        },
        Err(error) => log::debug!("event=socket_option_refused option=filter error=\"{error}\""),
    }
    let emptied = async {
        while let Err(error) = accept_waiting(gateway, listener) {
            log::warn!("event=accept_failed error=\"{error}\"");
            sleep(ACCEPT_RETRY_DELAY).await;
        }
    };
    tokio::select! {
        // A process that resumes past the end of its stop still looks at the queue.
        biased;
        () = emptied => {}
        () = gateway.stop.cut_off() => {
            log::error!("event=connections_lost cause=queue");
        }
    }
}

/// Accepts connections until the queue is empty.
fn accept_waiting(gateway: &Rc<Gateway>, listener: &TcpListener) -> io::Result<()> {
    // The runtime may not have been told yet of the last connections, so the socket itself is asked.
    let socket = SockRef::from(listener);
    loop {
        let (stream, peer) = match socket.accept() {
            Ok(accepted) => accepted,
            Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
            Err(error) if concerns_connection(&error) => {
                log::warn!("event=accept_failed error=\"{error}\"");
                continue;
            }
            Err(error) => return Err(error),
        };
        let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream.into()));
        match stream.ok().zip(peer.as_socket()) {
            Some((stream, peer)) => {
                actix_rt::spawn(serve_connection(gateway.clone(), stream, peer));
            }
            None => log::warn!("event=accept_failed error=\"unusable connection\""),
        }
    }
}

/// Whether the failure of an accept concerns the first connection of the queue only.
fn concerns_connection(error: &io::Error) -> bool {
    use ErrorKind::{ConnectionAborted, ConnectionReset, Interrupted};
    matches!(error.kind(), ConnectionAborted | ConnectionReset | Interrupted)
}

async fn serve_connection(gateway: Rc<Gateway>, stream: TcpStream, peer: SocketAddr) {
    let _open = OpenGuard::new(&gateway, |gateway| &gateway.open_connections);
    let accepted = Instant::now();
    let (mut reader, mut writer) = split_caller(stream);
    let mut answered: u64 = 0;
    let reason = loop {
        match serve_request(&gateway, &mut reader, &mut writer).await {
            Ok(()) => answered += 1,
            Err(reason) => break reason,
        }
    };
    let unread_input = reason != CloseReason::CallerLeft && reader.has_pending_input();
    gateway.metrics.record_close(reason, unread_input);
    if reason == CloseReason::Incomplete || (unread_input && reason != CloseReason::Announced) {
        log::warn!(
            "event=connection_closed caller={peer} reason={reason} answered={answered} \
             unread_input={unread_input} age_ms={}",
            accepted.elapsed().as_millis()
        );
    }
    if reason == CloseReason::Announced {
        let _lingering = OpenGuard::new(&gateway, |gateway| &gateway.lingering_connections);
        // A close with unread input resets the connection, and the caller could lose the answer. It
        // closes the connection itself after it has read the answer.
        writer.shut_down().await;
        if timeout(LINGER_TIMEOUT, reader.discard()).await.is_err() {
            log::debug!("event=linger_ended");
        }
    }
}

/// Serves the next request. Returns an error if the connection must be closed.
async fn serve_request(
    gateway: &Rc<Gateway>,
    reader: &mut CallerReader,
    writer: &mut CallerWriter,
) -> Result<(), CloseReason> {
    await_request(gateway, reader).await?;
    let arrived = Instant::now();
    let _open = OpenGuard::new(gateway, |gateway| &gateway.open_calls);
    let limits = caller_limits(gateway);
    let memory = gateway.memory.permit(RequestId::default(), LEAST_URGENT);
    let head = tokio::select! {
        biased;
        head = reader.head(&limits, &memory) => head,
        () = gateway.stop.cut_off() => return gateway.refuse_unread(writer).await,
    };
    let request = match head {
        Ok(request) => request,
        Err(error) => {
            log::info!("event=request_unreadable error=\"{error}\"");
            let Some(refusal) = Refusal::unreadable(&error) else {
                return Err(CloseReason::CallerLeft);
            };
            let sent = gateway.send_refusal(&refusal, writer, true).await;
            return sent.and(Err(CloseReason::Announced));
        }
    };
    drop(memory);
    // On the heap, as the state of a call is large and most connections are idle.
    Box::pin(gateway.serve_call(request, arrived, reader, writer)).await
}

fn caller_limits(gateway: &Gateway) -> CallerLimits {
    gateway.feed.routes().map_or(DEFAULT_LIMITS, |table| table.limits)
}

/// Waits for the first byte of a request, for as long as the connection may stay idle.
async fn await_request(gateway: &Gateway, reader: &mut CallerReader) -> Result<(), CloseReason> {
    let idle_since = Instant::now();
    loop {
        let idle_timeout = caller_limits(gateway).idle_timeout;
        let reason = tokio::select! {
            biased;
            input = reader.wait(idle_since + idle_timeout) => match input {
                Ok(()) => return Ok(()),
                Err(ReadError::TimedOut) => CloseReason::Idle,
                Err(_) => return Err(CloseReason::CallerLeft),
            },
            () = gateway.stop.closing_idle(idle_since) => CloseReason::Stopping,
        };
        // A request that the runtime has not reported yet is served, as its caller could not tell
        // whether it has run.
        if reader.has_pending_input() {
            let input = reader.wait(Instant::now() + REPORT_TIMEOUT).await;
            return input.map_err(|_| CloseReason::CallerLeft);
        }
        let is_raised = caller_limits(gateway).idle_timeout > idle_timeout;
        if reason == CloseReason::Stopping || !is_raised {
            return Err(reason);
        }
    }
}
