//! Finds the instance that serves a program, and confirms that this one has not been fenced.

use std::time::Duration;

use tokio::time::{Instant, timeout, timeout_at};

use super::submit::{STALE_RETRY_DELAY, owner_moving};
use crate::core::ids::{ProgramId, ShardId, shard_of};
use crate::core::members::MemberInfo;
use crate::core::outcome::{CallRefusal, RefusalReason};
use crate::core::ownership::ShardPhase;
use crate::node::instance::Node;

/// Bounds the wait for a shard that is changing its owner.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(8);
const ROUTE_RECHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum interval between reads of one shard's row, and the timeout of such a read.
const OWNER_READ_INTERVAL: Duration = Duration::from_millis(250);

pub(crate) enum ProgramRoute {
    Here,
    Peer(MemberInfo),
}

impl Node {
    /// Waits for a limited time if the program's shard is moving.
    pub(crate) async fn route(&self, program: ProgramId) -> Result<ProgramRoute, CallRefusal> {
        self.route_until(program, Instant::now() + ROUTE_TIMEOUT).await
    }

    /// Like [`Node::route`], waiting until `deadline` while this instance hands the shard over.
    ///
    /// A handover waits for the shard's running calls, so a fixed timeout would refuse calls of all
    /// its other programs during one long call.
    pub(super) async fn route_until(
        &self,
        program: ProgramId,
        deadline: Instant,
    ) -> Result<ProgramRoute, CallRefusal> {
        let shard = shard_of(program);
        let mut move_deadline = Instant::now() + ROUTE_TIMEOUT;
        loop {
            if shard >= self.shards.borrow().shards() {
                return Err(CallRefusal::permanent(RefusalReason::UnknownProgram));
            }
            if self.is_stopped() {
                return Err(owner_moving());
            }
            let phase = self.shards.borrow().phase(shard);
            match phase {
                Some(ShardPhase::Serving) => return Ok(ProgramRoute::Here),
                Some(ShardPhase::Draining) => move_deadline = Instant::now() + ROUTE_TIMEOUT,
                Some(ShardPhase::Loading) => {}
                None => {
                    if let Some(peer) = self.shard_peer(shard) {
                        return Ok(ProgramRoute::Peer(peer));
                    }
                }
            }
            if Instant::now() >= move_deadline.min(deadline) {
                return Err(owner_moving());
            }
            self.wait_for_owner_change(shard).await;
        }
    }

    /// Reads the shard's row unless it was read recently, then waits briefly for any shard to change.
    pub(super) async fn wait_for_owner_change(&self, shard: ShardId) {
        let last_read = self.owners_read.borrow().get(&shard).copied();
        let not_owned = self.shards.borrow().phase(shard).is_none();
        if not_owned && last_read.is_none_or(|at| at.elapsed() >= OWNER_READ_INTERVAL) {
            self.owners_read.borrow_mut().insert(shard, Instant::now());
            let _ = timeout(OWNER_READ_INTERVAL, self.reread_shards(&[shard])).await;
        }
        let recheck_at = Instant::now() + ROUTE_RECHECK_INTERVAL;
        let _ = timeout_at(recheck_at, self.shards_changed.notified()).await;
    }

    /// Confirms with the table that this instance has not been fenced.
    ///
    /// A partitioned or paused instance may not know that it was fenced, and its outdated state
    /// would permanently refuse a valid call. Answers that depend on history need this check first.
    pub(crate) async fn confirm_owner(&self, program: ProgramId) -> Result<(), CallRefusal> {
        let unfenced = self.confirm_unfenced().await;
        let unavailable = CallRefusal::retry(RefusalReason::StoreUnavailable, STALE_RETRY_DELAY);
        let serving = self.shards.borrow().phase(shard_of(program)) == Some(ShardPhase::Serving);
        match unfenced {
            Ok(true) if serving => Ok(()),
            Ok(_) => Err(owner_moving()),
            Err(_) => Err(unavailable),
        }
    }
}
