//! HTTP/1.1 connections of callers, upstreams, peers and the store, on top of the `actix-http` codec.
//!
//! The library's dispatcher and client pool are not used: they hide whether a caller has
//! disconnected, which connection an attempt used, and whether bytes follow a response.

mod caller;
#[cfg(test)]
mod caller_tests;
mod pool;
#[cfg(test)]
mod pool_tests;

use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

pub(crate) use crate::util::client_connection::{AnswerError, ClientConnection};
pub(crate) use crate::util::http_connection::codec_config;
pub(crate) use caller::{
    AnswerState, CallerReader, CallerRequest, CallerWriter, CloseReason, ReadError, split_caller,
};
pub(crate) use pool::{ConnectionPool, ExchangeError};

/// Limit for sent bytes to be acknowledged. Links take a few milliseconds, and a machine that is
/// slow or loses packets retransmits within a second.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Idle time before the first keep-alive probe and between probes; the kernel uses whole seconds.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
const PROBE_RETRIES: u32 = 2;

/// Set once a warning was logged; further connections would repeat it.
static OPTION_REFUSED: AtomicBool = AtomicBool::new(false);

/// Enables the detection of peers that disappear without a reset, as after a power loss or a
/// dropped NAT entry. Without it, a call would wait until its deadline.
pub(crate) fn detect_dead_peer(stream: &TcpStream) {
    probe_idle_peer(stream);
    let unacked = SockRef::from(stream).set_tcp_user_timeout(Some(UNACKED_TIMEOUT));
    report_refused("user_timeout", unacked);
}

/// Detects that peers have disappeared only while no sent bytes are unacknowledged. A limit for
/// those would also reset a peer that is there and does not read.
pub(crate) fn probe_idle_peer(stream: &TcpStream) {
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBE_RETRIES);
    report_refused("no_delay", stream.set_nodelay(true));
    report_refused("keep_alive", SockRef::from(stream).set_tcp_keepalive(&probes));
}

/// A connection works without the options that the kernel refuses.
fn report_refused(option: &'static str, set: io::Result<()>) {
    let Err(error) = set else { return };
    let level = match OPTION_REFUSED.swap(true, Ordering::Relaxed) {
        true => log::Level::Debug,
        false => log::Level::Warn,
    };
    log::log!(level, "event=socket_option_refused option={option} error=\"{error}\"");
}
