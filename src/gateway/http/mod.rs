//! HTTP/1.1 as the gateway needs it: every connection's state is in its own hands.
//!
//! The codec is the library's. Its dispatcher and its client pool are not used, because they hide
//! what decides here: whether a caller has left, which connection an attempt took, and whether
//! bytes follow an answer.

mod caller;
mod pool;
#[cfg(test)]
mod pool_tests;
mod upstream;

use std::time::Duration;

use actix_http::ServiceConfig;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

pub(crate) use caller::{CallerReader, CallerRequest, CallerWriter, ReadError, split_caller};
pub(crate) use pool::{ConnectionPool, ExchangeError};
pub(crate) use upstream::{AnswerError, UpstreamConnection};

/// A peer that does not acknowledge bytes for so long is given up. Links take a few
/// milliseconds; a machine that is slow or loses packets repeats within a second.
const UNACKED_LIMIT: Duration = Duration::from_millis(1_500);
/// Idle time before the first probe, and between probes; the kernel counts in whole seconds.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which a peer is given up.
const PROBE_RETRIES: u32 = 2;

/// Makes a connection notice a peer that is gone without a word.
///
/// A machine without power, or something on the way that forgot the connection, sends no reset:
/// without these the caller would wait until its deadline.
pub(crate) fn watch_peer(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBE_RETRIES);
    let set = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_keepalive(&probes))
        .and_then(|()| socket.set_tcp_user_timeout(Some(UNACKED_LIMIT)));
    if let Err(error) = set {
        log::warn!("event=socket_option_refused error=\"{error}\"");
    }
}

thread_local! {
    /// One for all codecs of the thread: each of its own would run a timer for the date.
    static CODEC_CONFIG: ServiceConfig = ServiceConfig::default();
}

pub(crate) fn codec_config() -> ServiceConfig {
    CODEC_CONFIG.with(Clone::clone)
}
