//! Graceful shutdown: callers move to other instances while open connections finish.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use super::Gateway;
use crate::core::routing::RouteKind;

/// Time for the leave to reach all instances that serve the address directory.
const LEAVE_PROPAGATION_DELAY: Duration = Duration::from_millis(300);
/// Some callers cache an address list for up to this multiple of its TTL.
const ADDRESS_TTL_FACTOR: u32 = 3;
/// How long a connection must have been idle before it is closed. A caller that was just connected or
/// answered may be sending a request, which would be lost.
const QUIET_PERIOD: Duration = Duration::from_secs(1);
/// Idempotent requests count as late from this time before the address lists expire: few callers still
/// come, and what they send may not end within the grace period.
const LATE_REQUEST_MARGIN: Duration = Duration::from_millis(600);
/// Time to settle turns where calls took all of the grace period.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(100);
/// Part of the grace period that is reserved for the exit itself; calls that are still open by
/// then are cut off.
const EXIT_MARGIN: Duration = Duration::from_millis(250);
/// Time for the last responses, also those to peers, to be transmitted.
const FLUSH_DELAY: Duration = Duration::from_millis(100);

/// Ordered: each phase includes the restrictions of those before it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
enum StopPhase {
    #[default]
    Serving,
    /// Responses announce the close of the connection; new connections are still served.
    Draining,
    /// The listener and idle connections are closed.
    Closing,
    /// The grace period is over: calls are told so, and end.
    CutOff,
}

#[derive(Debug, Clone, Copy)]
struct StopDeadlines {
    begun: Instant,
    /// Idempotent requests that are taken later must be able to end before the end.
    late_from: Instant,
    /// When open calls are cut off.
    end: Instant,
}

#[derive(Debug, Default)]
pub(crate) struct StopState {
    phase: Cell<StopPhase>,
    deadlines: Cell<Option<StopDeadlines>>,
    changed: Notify,
}

impl StopState {
    fn enter(&self, phase: StopPhase) {
        self.phase.set(phase);
        self.changed.notify_waiters();
    }

    async fn reached(&self, phase: StopPhase) {
        loop {
            let changed = self.changed.notified();
            if self.phase.get() >= phase {
                return;
            }
            changed.await;
        }
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.phase.get() >= StopPhase::Draining
    }

    /// Waits until the listener has to be closed.
    pub(crate) async fn closing(&self) {
        self.reached(StopPhase::Closing).await;
    }

    /// Waits until open calls have to end.
    pub(crate) async fn cut_off(&self) {
        self.reached(StopPhase::CutOff).await;
    }

    /// Waits until a connection has to be closed that has been idle since then.
    pub(crate) async fn closing_idle(&self, idle_since: Instant) {
        self.closing().await;
        let _ = timeout_at(idle_since + QUIET_PERIOD, self.cut_off()).await;
    }

    /// Whether a request that is taken, or sent on for the first time, at that time may be cut off before
    /// its deadline. Early in a shutdown idempotent requests are served whatever their deadline: most
    /// take a small part of it, and one that is cut off can be repeated.
    pub(crate) fn may_cut_off(&self, kind: RouteKind, at: Instant, deadline: Instant) -> bool {
        let Some(stop) = self.deadlines.get() else { return false };
        let late_from = match kind {
            RouteKind::Idempotent => stop.late_from,
            RouteKind::AtMostOnce | RouteKind::Stream => stop.begun,
        };
        late_from <= at && stop.end < deadline
    }
}

impl Gateway {
    /// Shuts down within the grace period of the settings. Returns true if no open call was cut off.
    pub(crate) async fn shut_down(self: &Rc<Self>) -> bool {
        let start = Instant::now();
        let end = start + self.settings.grace().saturating_sub(EXIT_MARGIN);
        let advertised_until =
            start + LEAVE_PROPAGATION_DELAY + self.settings.address_ttl() * ADDRESS_TTL_FACTOR;
        log::info!(
            "event=stop_begun open_calls={} open_connections={}",
            self.open_calls.get(),
            self.open_connections.get()
        );
        let late_from = advertised_until - LATE_REQUEST_MARGIN;
        self.stop.deadlines.set(Some(StopDeadlines { begun: start, late_from, end }));
        self.stop.enter(StopPhase::Draining);
        self.members.leave();
        sleep_until(advertised_until.min(end)).await;
        self.stop.enter(StopPhase::Closing);
        let _ = timeout_at(end, self.connections_closed()).await;
        let ended = self.open_calls.get() == 0;
        self.stop.enter(StopPhase::CutOff);
        let release_until = end.max(Instant::now() + RELEASE_TIMEOUT);
        let last = join(self.turns.settled(), self.connections_closed());
        let _ = timeout_at(release_until, last).await;
        sleep(FLUSH_DELAY).await;
        let finished = self.log_lost_connections() && ended;
        log::info!(
            "event=stop_ended finished={finished} open_calls={} open_connections={} ms={}",
            self.open_calls.get(),
            self.open_connections.get(),
            start.elapsed().as_millis()
        );
        finished
    }

    /// Returns true if there are none.
    fn log_lost_connections(&self) -> bool {
        let lost = self.open_connections.get() - self.lingering_connections.get();
        let queues = self.open_listeners.get();
        if lost == 0 && queues == 0 {
            return true;
        }
        log::error!("event=connections_lost cause=exit count={lost} queues={queues}");
        false
    }

    async fn connections_closed(&self) {
        loop {
            let ended = self.connections_ended.notified();
            if self.open_connections.get() == 0 && self.open_listeners.get() == 0 {
                return;
            }
            ended.await;
        }
    }
}
