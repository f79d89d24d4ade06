//! Accepts callers' connections and serves the requests on them, one after another.

use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, timeout};

use super::Gateway;
use super::http::{CallerReader, CallerWriter, split_caller};
use super::refusal::Refusal;
use crate::core::routing::CallerLimits;

/// Limits while no configuration is known.
const DEFAULT_LIMITS: CallerLimits = CallerLimits {
    header_bytes: 16 * 1024,
    body_bytes: 4 * 1024 * 1024,
    header_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};
/// How long a refused caller may go on sending: a body of 4 MB comes in 1 s at 34 Mbit/s.
const LINGER_TIME: Duration = Duration::from_secs(1);
/// Pause after an accept that failed, for want of descriptors as a rule.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A request that is being answered; a stop waits for it.
pub(crate) struct OpenCall {
    gateway: Rc<Gateway>,
}

impl OpenCall {
    fn new(gateway: &Rc<Gateway>) -> Self {
        gateway.open_calls.set(gateway.open_calls.get() + 1);
        Self { gateway: gateway.clone() }
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.gateway.open_calls.set(self.gateway.open_calls.get() - 1);
        self.gateway.calls_ended.notify_waiters();
    }
}

/// Accepts connections until the stop has closed the door.
pub(crate) async fn serve_callers(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = gateway.stop.refusing() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                actix_rt::spawn(serve_connection(gateway.clone(), stream));
            }
            Err(error) => {
                log::warn!("event=accept_failed error=\"{error}\"");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(gateway: Rc<Gateway>, stream: TcpStream) {
    let (mut reader, mut writer) = split_caller(stream);
    while serve_request(&gateway, &mut reader, &mut writer).await {}
    if reader.is_unread() {
        // Closed while the caller still sends, the connection is reset, and the refusal may be lost
        // with it; a caller that has read it closes.
        writer.shut_down().await;
        if timeout(LINGER_TIME, reader.discard()).await.is_err() {
            log::debug!("event=linger_ended");
        }
    }
}

/// Serves the next request; false if the connection is to be closed.
async fn serve_request(
    gateway: &Rc<Gateway>,
    reader: &mut CallerReader,
    writer: &mut CallerWriter,
) -> bool {
    let limits = gateway.feed.routes().map_or(DEFAULT_LIMITS, |table| table.limits);
    let begun = tokio::select! {
        biased;
        begun = reader.wait(limits.idle_timeout) => begun.is_ok(),
        // Nothing has been read, so a request that crosses the close is sent elsewhere.
        () = gateway.stop.closing_idle(), if !reader.has_input() => false,
    };
    if !begun {
        return false;
    }
    let arrived = Instant::now();
    let _open = OpenCall::new(gateway);
    let request = match reader.head(&limits).await {
        Ok(request) => request,
        Err(error) => {
            log::info!("event=request_unreadable error=\"{error}\"");
            if let Some(refusal) = Refusal::unreadable(&error) {
                gateway.send_refusal(&refusal, writer, true).await;
            }
            return false;
        }
    };
    gateway.serve_call(request, arrived, reader, writer).await
}
