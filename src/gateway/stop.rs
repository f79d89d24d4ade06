//! Graceful shutdown: callers move to other instances while open calls finish.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use super::Gateway;

/// Time for the leave to reach all instances that serve the address directory.
const LEAVE_PROPAGATION_DELAY: Duration = Duration::from_millis(300);
/// Some callers cache an address list for up to this multiple of its TTL.
const ADDRESS_TTL_FACTOR: u32 = 3;
/// Delay from the start of the shutdown until idle connections are closed.
const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(600);
/// Part of the grace period that is reserved for the exit itself; calls that are still open by
/// then are abandoned.
const EXIT_MARGIN: Duration = Duration::from_millis(250);
/// Time for the last responses to be transmitted.
const FLUSH_DELAY: Duration = Duration::from_millis(100);

/// Ordered: each phase includes the restrictions of those before it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
enum StopPhase {
    #[default]
    Serving,
    /// Responses announce the close of the connection; new connections are still served.
    Draining,
    ClosingIdle,
    Refusing,
}

#[derive(Debug, Default)]
pub(crate) struct StopState {
    phase: Cell<StopPhase>,
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

    pub(crate) async fn closing_idle(&self) {
        self.reached(StopPhase::ClosingIdle).await;
    }

    pub(crate) async fn refusing(&self) {
        self.reached(StopPhase::Refusing).await;
    }
}

impl Gateway {
    /// Shuts down within the grace period of the settings. Returns true if no open call was cut off.
    pub(crate) async fn shut_down(self: &Rc<Self>) -> bool {
        let start = Instant::now();
        let end = start + self.settings.grace().saturating_sub(EXIT_MARGIN);
        let advertised_until =
            start + LEAVE_PROPAGATION_DELAY + self.settings.address_ttl() * ADDRESS_TTL_FACTOR;
        log::info!("event=stop_begun open_calls={}", self.open_calls.get());
        self.stop.enter(StopPhase::Draining);
        self.members.leave();
        sleep(IDLE_CLOSE_DELAY).await;
        self.stop.enter(StopPhase::ClosingIdle);
        sleep_until(advertised_until.min(end)).await;
        self.stop.enter(StopPhase::Refusing);
        let finished = timeout_at(end, self.calls_finished()).await.is_ok();
        let _ = timeout_at(end, self.turns.release_allowances()).await;
        sleep(FLUSH_DELAY).await;
        log::info!(
            "event=stop_ended finished={finished} open_calls={} ms={}",
            self.open_calls.get(),
            start.elapsed().as_millis()
        );
        finished
    }

    async fn calls_finished(&self) {
        loop {
            let ended = self.calls_ended.notified();
            if self.open_calls.get() == 0 {
                return;
            }
            ended.await;
        }
    }
}
