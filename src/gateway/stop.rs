//! The planned stop: callers go elsewhere, requests under way are finished, nothing is cut off.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use super::Gateway;

/// How long the news of a leave takes to reach the instances that name addresses.
const NEWS_TIME: Duration = Duration::from_millis(300);
/// Callers keep a list of addresses up to this many times as long as it says.
const KEEP_FACTOR: u32 = 3;
/// When connections that carry no request are closed, after the start of a stop.
const IDLE_CLOSE: Duration = Duration::from_millis(600);
/// Left of the time for a stop when requests that still run are given up.
const EXIT_MARGIN: Duration = Duration::from_millis(250);
/// Time for last answers to leave the machine.
const LINGER: Duration = Duration::from_millis(100);

/// How far a stop has come.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
enum StopPhase {
    #[default]
    Serving,
    /// Answers say that the connection closes; new connections are still served.
    Draining,
    /// Idle connections are closed too.
    ClosingIdle,
    /// No connection is accepted any more.
    Refusing,
}

/// The phase of a stop, which connections wait for.
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
    /// Leaves gracefully within the time that the settings allow; true if nothing was cut off.
    pub(crate) async fn shut_down(self: &Rc<Self>) -> bool {
        let start = Instant::now();
        let end = start + self.settings.grace().saturating_sub(EXIT_MARGIN);
        let named_until = start + NEWS_TIME + self.settings.address_keep() * KEEP_FACTOR;
        log::info!("event=stop_begun open_calls={}", self.open_calls.get());
        self.stop.enter(StopPhase::Draining);
        self.members.leave();
        sleep(IDLE_CLOSE).await;
        self.stop.enter(StopPhase::ClosingIdle);
        sleep_until(named_until.min(end)).await;
        self.stop.enter(StopPhase::Refusing);
        let finished = timeout_at(end, self.calls_finished()).await.is_ok();
        let _ = timeout_at(end, self.turns.release_allowances()).await;
        sleep(LINGER).await;
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
