//! What has been tried for one request.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use crate::core::ids::UpstreamId;
use crate::core::upstreams::{StartMillis, UpstreamChoice};
use crate::gateway::events::EventId;

/// What has been tried for a request.
#[derive(Default)]
pub(crate) struct AttemptProgress {
    /// Upstreams to which bytes of the request went and that did not deny running it.
    pub(crate) runs: Cell<u32>,
    pub(crate) tries: Cell<u32>,
    /// The peer that was asked to claim the turn.
    pub(crate) coordinator: RefCell<Option<Box<str>>>,
    /// Time from the request's arrival until its turn was claimed.
    pub(crate) claimed_after: Cell<Option<Duration>>,
    /// Time from the request's arrival until it was first sent on, which is what the system adds to
    /// the time to the first event.
    pub(crate) sent_after: Cell<Option<Duration>>,
    /// Whether an attempt is under way whose upstream may be running the request.
    pub(crate) maybe_running: Cell<bool>,
    /// Incarnations that have run the request.
    pub(super) incarnations: RefCell<Vec<UpstreamIncarnation>>,
    /// Upstreams that took no connection.
    pub(super) connect_failures: Cell<u32>,
    /// Times it was sent again to the upstream that broke it off.
    pub(super) same_upstream_reruns: Cell<u32>,
    /// The last event that was passed on, after which a stream goes on.
    pub(crate) last_event: RefCell<Option<EventId>>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct UpstreamIncarnation {
    pub(super) id: UpstreamId,
    pub(super) started_at: Option<StartMillis>,
}

impl UpstreamIncarnation {
    fn of(choice: &UpstreamChoice) -> Self {
        Self { id: choice.id.clone(), started_at: choice.started_at }
    }
}

impl AttemptProgress {
    /// Whether an upstream may have run the request.
    pub(crate) fn may_have_run(&self) -> bool {
        self.maybe_running.get() || self.runs.get() > 0
    }

    pub(super) fn record_run(&self, choice: &UpstreamChoice) {
        self.runs.set(self.runs.get() + 1);
        let incarnation = UpstreamIncarnation::of(choice);
        let mut incarnations = self.incarnations.borrow_mut();
        if !incarnations.contains(&incarnation) {
            incarnations.push(incarnation);
        }
    }

    /// Notes that an upstream cannot be reached: what it ran has ended with it.
    pub(super) fn record_unreachable(&self, choice: &UpstreamChoice) {
        let incarnation = UpstreamIncarnation::of(choice);
        self.incarnations.borrow_mut().retain(|known| *known != incarnation);
    }
}
