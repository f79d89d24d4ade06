//! Graceful shutdown of an instance.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use super::instance::Node;

const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Gossip takes several probe rounds to reach all members; until then they still redirect callers
/// to the leaving instance.
const LEAVE_PROPAGATION_DELAY: Duration = Duration::from_secs(2);

/// Guard of a caller's request that must be answered before the instance stops.
pub(crate) struct OpenRequest {
    node: Rc<Node>,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.node.open_requests.set(self.node.open_requests.get() - 1);
    }
}

impl Node {
    /// Takes no new work, finishes running calls, hands over the shards, then stops.
    ///
    /// Returns true if all shards were handed over and all requests answered within `timeout`.
    pub async fn shut_down(self: &Rc<Self>, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        self.event("instance_leaving").log();
        self.draining.set(true);
        let forward_until =
            Instant::now() + LEAVE_PROPAGATION_DELAY + self.settings.limits.address_lifetime();
        let actions = self.members.borrow_mut().leave(Instant::now());
        self.perform(actions);
        let handed_over = timeout_at(deadline, self.hand_over_shards()).await.is_ok();
        let _ = timeout_at(deadline, self.finish_forwarding(forward_until)).await;
        self.stopped.set(true);
        let drained = handed_over && self.open_requests.get() == 0;
        self.event("instance_stopped").detail(format!("drained={drained}")).log();
        drained
    }

    async fn hand_over_shards(&self) {
        while self.shards.borrow().owned().next().is_some() || !self.live.borrow().is_empty() {
            self.shards_changed.notify_waiters();
            sleep(DRAIN_POLL_INTERVAL).await;
        }
    }

    /// Forwards calls until callers have dropped this address, and finishes relayed streams, which
    /// are not in `live`.
    ///
    /// Grants are returned last, as this fences the incarnation: a later commit would start a new
    /// one during shutdown.
    async fn finish_forwarding(&self, forward_until: Instant) {
        sleep_until(forward_until).await;
        self.finish_requests().await;
        self.return_grants().await;
        self.finish_requests().await;
    }

    async fn finish_requests(&self) {
        while self.open_requests.get() > 0 {
            sleep(DRAIN_POLL_INTERVAL).await;
        }
    }

    pub(crate) fn open_request(self: &Rc<Self>) -> OpenRequest {
        self.open_requests.set(self.open_requests.get() + 1);
        OpenRequest { node: self.clone() }
    }
}
