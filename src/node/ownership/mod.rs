//! Claims, takes over and hands over shards, and keeps their checkpoints.

mod checkpoint;
mod collect;
mod load;
mod segments;
mod takeover;

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout};

use super::instance::Node;
use super::journal::{UNFENCED, account_key, incarnation_key};
use super::platform::{CommitReply, RowKey, StoreError, TableTransaction, parse_row, scan_all};
use crate::core::ids::{Incarnation, ShardId};
use crate::core::ownership::{ShardPhase, ShardRow, ShardView};

pub(crate) use segments::{SegmentIndex, object_name};
pub(crate) use takeover::JournalTail;

const RECONCILE: Duration = Duration::from_millis(250);
/// How often all shard rows are read though nothing hints at a change.
const SCAN: Duration = Duration::from_secs(3);
/// Time to hear of the other members before claiming anything.
const FIRST_CLAIM: Duration = Duration::from_millis(800);
/// Longest time to tell a member of shards that were let go; it would find them by itself.
const HINT_TIMEOUT: Duration = Duration::from_secs(1);
/// Shards in one transaction.
const CLAIM_CHUNK: usize = 128;
/// Times a claim is made anew because a batch of the journal got in before it.
const CLAIM_ATTEMPTS: usize = 4;

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
            sleep(FIRST_CLAIM).await;
            self.members_changed();
            let mut next_scan = Instant::now();
            while !self.is_stopped() {
                let hinted = timeout(RECONCILE, self.ownership_hint.notified()).await.is_ok();
                if hinted || Instant::now() >= next_scan {
                    next_scan = Instant::now() + SCAN;
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

    /// Another instance has let go of shards that should come here.
    pub(crate) fn hint_shards(&self) {
        self.ownership_hint.notify_one();
    }

    /// Whether this incarnation is not fenced, as the table says now.
    ///
    /// What this instance knows of its programs was complete at that moment: another owner's
    /// writes come after the fence.
    pub(crate) async fn confirm_unfenced(&self) -> Result<bool, StoreError> {
        let epoch = self.incarnation();
        let found = self.table.read(&[incarnation_key(epoch)]).await?.pop().flatten();
        let unfenced = found.is_some_and(|row| row.version == UNFENCED);
        if !unfenced && epoch == self.incarnation() {
            self.mark_fenced();
        }
        Ok(unfenced)
    }

    /// Commits a transaction made by [`Node::fenced`], and notices if the fence stopped it.
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

    /// An instance without calls writes nothing, so no failed write tells it that it was fenced.
    /// It would keep its shards unserved by anyone, as the others see it alive.
    async fn look_for_fence(&self) -> Result<(), StoreError> {
        let recent = self.journal.last_commit().is_some_and(|last| last.elapsed() < SCAN);
        if !recent {
            self.confirm_unfenced().await?;
        }
        Ok(())
    }

    /// Reads all shard rows.
    pub(crate) async fn scan_shards(&self) -> Result<(), StoreError> {
        self.look_for_fence().await?;
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

    /// Does what the plan says, once.
    async fn reconcile_shards(self: &Rc<Self>) -> Result<(), StoreError> {
        if self.journal.is_fenced() {
            return Ok(());
        }
        self.drop_lost_shards();
        let over = self.ended_incarnations();
        let plan = self.shards.borrow().plan(&self.identity(), &over);
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

    /// Forgets shards that the table no longer gives to this instance.
    ///
    /// The reply to a handover may be lost, and so may the look at the rows after it. A handover
    /// that is tried again over the next owner's claim would pass, as it is made of the newest
    /// row; it would end that owner's journal while it goes on writing.
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

    /// Claims shards of a fenced incarnation whose journal ended before batch `ended_at`, or,
    /// with `former` absent, shards that nobody owns.
    async fn claim_shards(
        self: &Rc<Self>,
        shards: &[ShardId],
        former: Option<Incarnation>,
        ended_at: u64,
    ) -> Result<(), StoreError> {
        for chunk in shards.chunks(CLAIM_CHUNK) {
            for _ in 0..CLAIM_ATTEMPTS {
                let transaction = self.claim(chunk, former, ended_at);
                // Whatever the reply says, or if it is lost: the rows tell who owns the shards.
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

    /// The transaction of a claim.
    ///
    /// It names the next batch of this journal as the first that may concern the shards, and
    /// fails unless that is so: each batch writes the account's row once. A claim that arrives
    /// late would else name batches that were trimmed, and nobody could load the shards again.
    fn claim(
        &self,
        shards: &[ShardId],
        former: Option<Incarnation>,
        ended_at: u64,
    ) -> TableTransaction {
        let sequence = self.journal.next_sequence();
        let mut transaction = self.fenced(TableTransaction::default());
        transaction = transaction.check(account_key(self.incarnation()), sequence);
        for shard in shards {
            let view = self.shards.borrow().view(*shard).cloned().unwrap_or_default();
            // The row may have been seen to change since the claim was planned.
            if view.row.owner.as_ref().map(|owner| owner.incarnation) != former {
                continue;
            }
            let row = view.row.claimed(self.identity(), sequence, ended_at);
            let key = shard_key(*shard);
            transaction = transaction.check(key.clone(), view.version).put(key, &row);
        }
        transaction
    }

    /// Starts to serve shards whose rows name this incarnation.
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

    /// Gives up the shards whose running calls are done.
    async fn release_drained(self: &Rc<Self>) -> Result<(), StoreError> {
        let draining: Vec<ShardId> = {
            let shards = self.shards.borrow();
            let draining = shards.owned().filter(|(_, phase)| *phase == ShardPhase::Draining);
            draining.map(|(shard, _)| shard).filter(|shard| self.is_drained(*shard)).collect()
        };
        for chunk in draining.chunks(CLAIM_CHUNK) {
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
        // A task of its own: a member that hangs must not hold up claims and takeovers here.
        actix_rt::spawn(self.clone().tell_released(released));
        Ok(())
    }

    /// Tells the next owners, so that they need not wait for their scans.
    async fn tell_released(self: Rc<Self>, shards: Vec<ShardId>) {
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
