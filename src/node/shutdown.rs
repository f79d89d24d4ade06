//! The graceful stop of an instance.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use super::instance::Node;

const DRAIN_POLL: Duration = Duration::from_millis(50);
/// How long others may go on naming an instance that has announced its leave: the news takes a few
/// rounds of probes to reach everyone.
const NAMED_ON: Duration = Duration::from_secs(2);

/// A caller's request that must be answered before the instance stops.
pub(crate) struct OpenRequest {
    node: Rc<Node>,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.node.open_requests.set(self.node.open_requests.get() - 1);
    }
}

impl Node {
    /// Leaves gracefully: takes no new work, finishes what runs, hands over, then stops.
    ///
    /// Returns whether everything was handed over and answered within `limit`.
    pub async fn shut_down(self: &Rc<Self>, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        self.event("instance_leaving").log();
        self.draining.set(true);
        let named_until = Instant::now() + NAMED_ON + self.settings.limits.address_lifetime();
        let actions = self.members.borrow_mut().leave(Instant::now());
        self.perform(actions);
        let handed_over = timeout_at(end, self.hand_over()).await.is_ok();
        let _ = timeout_at(end, self.bid_farewell(named_until)).await;
        self.stopped.set(true);
        let drained = handed_over && self.open_requests.get() == 0;
        self.event("instance_stopped").detail(format!("drained={drained}")).log();
        drained
    }

    async fn hand_over(&self) {
        while self.shards.borrow().owned().next().is_some() || !self.live.borrow().is_empty() {
            self.shards_changed.notify_waiters();
            sleep(DRAIN_POLL).await;
        }
    }

    /// Goes on carrying calls over to the new owners for callers that still keep this address, and
    /// finishes the streams that it relays: those of other owners' programs are not in `live`, and
    /// their callers would see them cut off.
    ///
    /// The grants go back last. That fences this incarnation: a commit after it would have this
    /// instance begin a new one in the middle of its stop.
    async fn bid_farewell(&self, named_until: Instant) {
        sleep_until(named_until).await;
        self.finish_requests().await;
        self.return_grants().await;
        self.finish_requests().await;
    }

    async fn finish_requests(&self) {
        while self.open_requests.get() > 0 {
            sleep(DRAIN_POLL).await;
        }
    }

    /// Counts a request as being answered until the returned value is dropped.
    pub(crate) fn open_request(self: &Rc<Self>) -> OpenRequest {
        self.open_requests.set(self.open_requests.get() + 1);
        OpenRequest { node: self.clone() }
    }
}
