//! Shard ownership of an instance: claims, takeovers, handovers and checkpoints.

mod checkpoint;
mod collect;
mod load;
mod segments;
mod takeover;

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout};

use super::instance::Node;
use super::journal::{UNFENCED_VERSION, account_key, incarnation_key};
use super::platform::{CommitReply, RowKey, StoreError, TableTransaction, parse_row, scan_all};
use crate::core::ids::{Incarnation, ShardId};
use crate::core::ownership::{ShardPhase, ShardRow, ShardView};

pub(crate) use segments::{SegmentIndex, object_name};
pub(crate) use takeover::JournalTail;

const RECONCILE_INTERVAL: Duration = Duration::from_millis(250);
const SCAN_INTERVAL: Duration = Duration::from_secs(3);
/// Lets membership converge before the first claim.
const FIRST_CLAIM_DELAY: Duration = Duration::from_millis(800);
/// Bounds a release hint to one member, which finds the shards by its next scan if it fails.
const HINT_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_CLAIM_SHARDS: usize = 128;
/// Attempts of a claim that conflicts with concurrent commits of the own journal.
const MAX_CLAIM_ATTEMPTS: usize = 4;

pub(crate) const SHARD_PREFIX: &str = "shard/";

pub(crate) fn shard_key(shard: ShardId) -> RowKey {
    format!("{SHARD_PREFIX}{shard:05}").into()
}

fn parse_shard_key(key: &str) -> Option<ShardId> {
    key.strip_prefix(SHARD_PREFIX)?.parse().ok()
}

impl Node {
    pub(crate) fn spawn_ownership(self: Rc<Self>) {
        actix_rt::spawn(async move {
            sleep(FIRST_CLAIM_DELAY).await;
            self.members_changed();
            let mut next_scan = Instant::now();
            while !self.is_stopped() {
                let hinted =
                    timeout(RECONCILE_INTERVAL, self.ownership_hint.notified()).await.is_ok();
                if hinted || Instant::now() >= next_scan {
                    next_scan = Instant::now() + SCAN_INTERVAL;
                    if self.scan_shards().await.is_err() {
                        continue;
                    }
                }
                if let Err(error) = self.reconcile_shards().await {
                    self.event("ownership_retried").detail(error.to_string()).log();
                }
            }
        });
    }

    /// Called when another instance has released shards that this one should own.
    pub(crate) fn hint_shards(&self) {
        self.ownership_hint.notify_one();
    }

    /// If true, this incarnation's view of its programs was complete at the time of the read, as
    /// another owner can write only after the fence.
    pub(crate) async fn confirm_unfenced(&self) -> Result<bool, StoreError> {
        let epoch = self.incarnation();
        let found = self.table.read(&[incarnation_key(epoch)]).await?.pop().flatten();
        let unfenced = found.is_some_and(|row| row.version == UNFENCED_VERSION);
        if !unfenced && epoch == self.incarnation() {
            self.mark_fenced();
        }
        Ok(unfenced)
    }

    /// Commits a transaction made by [`Node::fenced`]; a conflict on the fence is recorded.
    async fn commit_fenced(
        &self,
        transaction: &TableTransaction,
    ) -> Result<CommitReply, StoreError> {
        let epoch = self.incarnation();
        self.metrics.record_store_write();
        let reply = self.table.commit(transaction).await?;
        if epoch == self.incarnation() && reply.conflicts_on(&incarnation_key(epoch)) {
            self.mark_fenced();
        }
        Ok(reply)
    }

    /// An idle instance has no failing commit from which to detect a fence. The other members see
    /// it alive, so its shards would stay unserved.
    async fn check_fence_when_idle(&self) -> Result<(), StoreError> {
        let recent = self.journal.last_commit().is_some_and(|last| last.elapsed() < SCAN_INTERVAL);
        if !recent {
            self.confirm_unfenced().await?;
        }
        Ok(())
    }

    pub(crate) async fn scan_shards(&self) -> Result<(), StoreError> {
        self.check_fence_when_idle().await?;
        for found in scan_all(&*self.table, SHARD_PREFIX).await? {
            let Some(shard) = parse_shard_key(&found.key) else { continue };
            let row: ShardRow = parse_row(&found.row)?;
            let view = ShardView { row, version: found.row.version };
            self.shards.borrow_mut().observe(shard, view);
        }
        self.shards_changed.notify_waiters();
        Ok(())
    }

    pub(crate) async fn reread_shards(&self, shards: &[ShardId]) -> Result<(), StoreError> {
        let keys: Vec<RowKey> = shards.iter().map(|shard| shard_key(*shard)).collect();
        let rows = self.table.read(&keys).await?;
        for (shard, found) in shards.iter().zip(rows) {
            let Some(found) = found else { continue };
            let view = ShardView { row: parse_row(&found)?, version: found.version };
            self.shards.borrow_mut().observe(*shard, view);
        }
        Ok(())
    }

    async fn reconcile_shards(self: &Rc<Self>) -> Result<(), StoreError> {
        if self.journal.is_fenced() {
            return Ok(());
        }
        self.drop_lost_shards();
        let ended = self.ended_incarnations();
        let plan = self.shards.borrow().plan(&self.identity(), &ended);
        for shard in plan.hand_over {
            self.shards.borrow_mut().set_phase(shard, ShardPhase::Draining);
        }
        self.release_drained().await?;
        self.adopt_shards(plan.adopt).await?;
        self.claim_shards(&plan.claim, None, 0).await?;
        for (incarnation, shards) in plan.take_over {
            self.take_over(incarnation, &shards).await?;
        }
        Ok(())
    }

    /// If the reply to a handover and the read after it fail, a retried handover would be built
    /// from the next owner's row and succeed, ending that owner's span while it still writes.
    fn drop_lost_shards(&self) {
        let lost = self.shards.borrow().lost_shards(&self.identity());
        for shard in &lost {
            self.shards.borrow_mut().clear_phase(*shard);
            self.book.borrow_mut().remove_shard(*shard);
        }
        if !lost.is_empty() {
            self.shards_changed.notify_waiters();
            self.event("shards_lost").detail(format!("count={}", lost.len())).log();
        }
    }

    /// Claims shards of the fenced `previous_owner`, whose journal ends before batch `journal_end`,
    /// or unowned shards if `previous_owner` is `None`.
    async fn claim_shards(
        self: &Rc<Self>,
        shards: &[ShardId],
        previous_owner: Option<Incarnation>,
        journal_end: u64,
    ) -> Result<(), StoreError> {
        for chunk in shards.chunks(MAX_CLAIM_SHARDS) {
            for _ in 0..MAX_CLAIM_ATTEMPTS {
                let transaction = self.claim(chunk, previous_owner, journal_end);
                // The reply may be lost; the rows read below decide who owns the shards.
                let reply = self.commit_fenced(&transaction).await;
                let account = account_key(self.incarnation());
                if !reply.is_ok_and(|reply| reply.conflicts_on(&account)) {
                    break;
                }
            }
            self.reread_shards(chunk).await?;
            let me = self.identity();
            let mut mine = chunk.to_vec();
            mine.retain(|shard| self.shards.borrow().owner(*shard) == Some(&me));
            self.adopt_shards(mine).await?;
        }
        Ok(())
    }

    /// The spans start at the next batch of this journal. The version of the account's row is that
    /// batch's number, and the check on it rejects a delayed claim: its spans would start at
    /// trimmed batches, and the shards could not be loaded any more.
    fn claim(
        &self,
        shards: &[ShardId],
        previous_owner: Option<Incarnation>,
        journal_end: u64,
    ) -> TableTransaction {
        let sequence = self.journal.next_sequence();
        let mut transaction = self.fenced(TableTransaction::default());
        transaction = transaction.check(account_key(self.incarnation()), sequence);
        for shard in shards {
            let view = self.shards.borrow().view(*shard).cloned().unwrap_or_default();
            // The row may have changed since the claim was planned.
            if view.row.owner.as_ref().map(|owner| owner.incarnation) != previous_owner {
                continue;
            }
            let row = view.row.claimed(self.identity(), sequence, journal_end);
            let key = shard_key(*shard);
            transaction = transaction.check(key.clone(), view.version).put(key, &row);
        }
        transaction
    }

    async fn adopt_shards(self: &Rc<Self>, shards: Vec<ShardId>) -> Result<(), StoreError> {
        if shards.is_empty() {
            return Ok(());
        }
        let epoch = self.incarnation();
        for shard in &shards {
            self.shards.borrow_mut().set_phase(*shard, ShardPhase::Loading);
        }
        let loaded = self.load_shards(&shards).await;
        if epoch != self.incarnation() || self.journal.is_fenced() {
            return Ok(());
        }
        match loaded {
            Ok(programs) => {
                if self.serve_shards(&shards, programs).await.is_ok() {
                    let count = shards.len();
                    self.event("shards_claimed").detail(format!("count={count}")).log();
                }
                Ok(())
            }
            Err(error) => {
                for shard in &shards {
                    self.shards.borrow_mut().clear_phase(*shard);
                }
                Err(error)
            }
        }
    }

    async fn release_drained(self: &Rc<Self>) -> Result<(), StoreError> {
        let draining: Vec<ShardId> = {
            let shards = self.shards.borrow();
            let draining = shards.owned().filter(|(_, phase)| *phase == ShardPhase::Draining);
            draining.map(|(shard, _)| shard).filter(|shard| self.is_drained(*shard)).collect()
        };
        for chunk in draining.chunks(MAX_CLAIM_SHARDS) {
            self.release_shards(chunk).await?;
        }
        Ok(())
    }

    fn is_drained(&self, shard: ShardId) -> bool {
        let book = self.book.borrow();
        let running = book.shard(shard).any(|program| program.running.is_some());
        !running && self.journal.is_idle(shard)
    }

    async fn release_shards(self: &Rc<Self>, shards: &[ShardId]) -> Result<(), StoreError> {
        let mut transaction = self.fenced(TableTransaction::default());
        for shard in shards {
            let view = self.shards.borrow().view(*shard).cloned().unwrap_or_default();
            let row = view.row.released(self.journal.next_sequence());
            let key = shard_key(*shard);
            transaction = transaction.check(key.clone(), view.version).put(key, &row);
        }
        let _ = self.commit_fenced(&transaction).await;
        self.reread_shards(shards).await?;
        let me = self.identity();
        let mut released = Vec::new();
        for shard in shards {
            if self.shards.borrow().owner(*shard) == Some(&me) {
                continue;
            }
            self.shards.borrow_mut().clear_phase(*shard);
            self.book.borrow_mut().remove_shard(*shard);
            released.push(*shard);
        }
        self.shards_changed.notify_waiters();
        self.event("shards_released").detail(format!("count={}", released.len())).log();
        // Spawned, so that an unresponsive member does not delay claims and takeovers.
        actix_rt::spawn(self.clone().notify_released(released));
        Ok(())
    }

    /// Notifies the next owners, so that they need not wait for their next scan.
    async fn notify_released(self: Rc<Self>, shards: Vec<ShardId>) {
        let me = &self.settings.instance;
        let others: Vec<_> = {
            let members = self.members.borrow();
            members.serving().filter(|member| member.instance != *me).cloned().collect()
        };
        for member in others {
            let mine: Vec<_> = {
                let table = self.shards.borrow();
                let wanted =
                    |shard: &ShardId| table.desired_owner(*shard) == Some(&member.instance);
                shards.iter().copied().filter(wanted).collect()
            };
            if !mine.is_empty() {
                let _ = timeout(HINT_TIMEOUT, self.peers.shards_released(&member, mine)).await;
            }
        }
    }
}
