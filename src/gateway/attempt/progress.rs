//! Progress of one request across its attempts, for retry decisions and the call log.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use tokio::time::Instant;

use crate::core::ids::UpstreamId;
use crate::core::repeats::SentUpstreams;
use crate::core::upstreams::UpstreamChoice;
use crate::gateway::events::EventId;
use crate::gateway::feed::UpstreamListState;

#[derive(Default)]
pub(crate) struct AttemptProgress {
    /// Attempts that were sent and not rejected by the upstream.
    pub(crate) runs: Cell<u32>,
    pub(crate) tries: Cell<u32>,
    /// The upstream to which the request was last sent.
    pub(crate) upstream: RefCell<Option<UpstreamId>>,
    /// Set if a peer claims the turn.
    pub(crate) coordinator: RefCell<Option<Box<str>>>,
    /// Counted from the arrival of the request, as are the following two.
    pub(crate) claimed_after: Cell<Option<Duration>>,
    pub(crate) sent_after: Cell<Option<Duration>>,
    /// Time until the first byte of the body was forwarded to the caller.
    pub(crate) first_byte_after: Cell<Option<Duration>>,
    /// The latest attempt was sent and has not been rejected, so its upstream may run the request.
    pub(crate) maybe_running: Cell<bool>,
    /// Upstreams that may have run the request.
    pub(crate) sent: RefCell<SentUpstreams>,
    /// The list of upstreams as of the latest attempt.
    pub(crate) list_state: Cell<UpstreamListState>,
    pub(super) connect_failures: Cell<u32>,
    /// Whole answers with an error, which may be the last words of their upstreams.
    pub(crate) error_answers: Cell<usize>,
    pub(crate) same_upstream_reruns: Cell<u32>,
    /// The last event forwarded to the caller; a resumed stream continues after it.
    pub(crate) last_event: RefCell<Option<EventId>>,
}

impl AttemptProgress {
    pub(crate) fn may_have_run(&self) -> bool {
        self.maybe_running.get() || self.runs.get() > 0
    }

    pub(crate) fn record_first_byte(&self, arrived: Instant) {
        let elapsed = self.first_byte_after.get().unwrap_or_else(|| arrived.elapsed());
        self.first_byte_after.set(Some(elapsed));
    }

    pub(super) fn record_run(&self, choice: &UpstreamChoice) {
        self.runs.set(self.runs.get() + 1);
        self.sent.borrow_mut().record_sent(choice.incarnation());
    }

    pub(super) fn record_unreachable(&self, choice: &UpstreamChoice) {
        self.sent.borrow_mut().record_unreachable(&choice.incarnation());
    }
}
