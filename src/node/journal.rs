//! Group commit of journal records: all records queued since the last commit are written to the
//! table in one transaction.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use derive_more::{Display, Error};
use tokio::sync::futures::Notified;
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, sleep, sleep_until};

use super::grants::GrantPlan;
use super::instance::Node;
use super::platform::{CommitReply, RowKey, StoreError, TableTransaction};
use crate::core::history::JournalRecord;
use crate::core::ids::{Incarnation, ObjectName, ShardId, shard_of};
use crate::core::limits::RatePacer;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum JournalError {
    /// Another instance has fenced this incarnation; the records were not written.
    #[display("this incarnation has been fenced")]
    Fenced,
    /// As `Fenced`, but the reply to an earlier attempt was lost: the records may have been
    /// written, and even loaded and trimmed by the next owner since.
    #[display("this incarnation has been fenced before the result of a write was known")]
    Indeterminate,
}

type Waiter = oneshot::Sender<Result<(), JournalError>>;

#[derive(Debug, Default)]
pub(crate) struct JournalWriter {
    queue: RefCell<Vec<JournalRecord>>,
    waiters: RefCell<Vec<Waiter>>,
    wake: Notify,
    committed: Notify,
    epoch: Cell<Incarnation>,
    next_sequence: Cell<u64>,
    in_flight_shards: RefCell<BTreeSet<ShardId>>,
    /// Objects that hold the records of large batches, by sequence number.
    objects: RefCell<BTreeMap<u64, ObjectName>>,
    failing_since: Cell<Option<Instant>>,
    /// Covers regular reads: an idle instance detects an outage by these alone.
    read_failing_since: Cell<Option<Instant>>,
    /// Set when this incarnation is known to be fenced, even if no commit has failed on it yet.
    fenced: Cell<bool>,
    last_commit: Cell<Option<Instant>>,
}

/// Zero-padded, so that key order is batch order.
pub(crate) fn batch_key(incarnation: Incarnation, sequence: u64) -> RowKey {
    format!("journal/{incarnation:012}/{sequence:012}").into()
}

pub(crate) fn journal_prefix(incarnation: Incarnation) -> Box<str> {
    format!("journal/{incarnation:012}/").into()
}

pub(crate) fn incarnation_key(incarnation: Incarnation) -> RowKey {
    format!("incarnation/{incarnation:012}").into()
}

pub(crate) fn account_key(incarnation: Incarnation) -> RowKey {
    format!("{ACCOUNT_PREFIX}{incarnation:012}").into()
}

pub(crate) const ACCOUNT_PREFIX: &str = "account/";
pub(crate) const UNRESOLVED_PREFIX: &str = "stranded/";

pub(crate) fn unresolved_key(incarnation: Incarnation) -> RowKey {
    format!("{UNRESOLVED_PREFIX}{incarnation:012}").into()
}

pub(crate) fn budget_key(workspace: &str) -> RowKey {
    format!("budget/{workspace}").into()
}

/// Row with the version of the last configuration change.
pub(crate) const CONFIG_HEAD_KEY: &str = "config/head";

/// An incarnation's row is written once at its start; any later version means it is fenced.
pub(crate) const UNFENCED_VERSION: u64 = 1;

const MAX_COMMIT_BURST: u32 = 8;
pub(super) const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
pub(super) const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

impl JournalWriter {
    /// Returns when the records are durable.
    /// `epoch` is the incarnation under which the caller read its program. A call that began before
    /// a fence must not write to the next incarnation's journal: another owner may have continued
    /// the program, and the history would contain the turn twice.
    pub(crate) async fn append(
        &self,
        epoch: Incarnation,
        records: Vec<JournalRecord>,
    ) -> Result<(), JournalError> {
        if epoch != self.epoch.get() {
            return Err(JournalError::Fenced);
        }
        let (waiter, done) = oneshot::channel();
        self.queue.borrow_mut().extend(records);
        self.waiters.borrow_mut().push(waiter);
        self.wake.notify_one();
        done.await.unwrap_or(Err(JournalError::Fenced))
    }

    /// Requests a commit although no record is queued, for instance to draw budget.
    pub(crate) fn request_commit(&self) {
        self.wake.notify_one();
    }

    pub(crate) fn committed(&self) -> Notified<'_> {
        self.committed.notified()
    }

    /// Number of the first batch that is not yet applied to the programs in memory.
    pub(crate) fn next_sequence(&self) -> u64 {
        self.next_sequence.get()
    }

    /// True if no record of the shard is queued or in flight.
    pub(crate) fn is_idle(&self, shard: ShardId) -> bool {
        let waiting = |record: &JournalRecord| shard_of(record.program()) == shard;
        !self.queue.borrow().iter().any(waiting) && !self.in_flight_shards.borrow().contains(&shard)
    }

    /// Time since the table stopped answering; `None` while it answers.
    pub(crate) fn outage_duration(&self) -> Option<Duration> {
        let since = [self.failing_since.get(), self.read_failing_since.get()];
        since.into_iter().flatten().min().map(|since| since.elapsed())
    }

    pub(crate) fn set_read_failing(&self, failing: bool) {
        let since = self.read_failing_since.get().unwrap_or_else(Instant::now);
        self.read_failing_since.set(failing.then_some(since));
    }

    /// Time of the last committed batch; this incarnation was not fenced then.
    pub(crate) fn last_commit(&self) -> Option<Instant> {
        self.last_commit.get()
    }

    pub(crate) fn is_fenced(&self) -> bool {
        self.fenced.get()
    }

    pub(super) fn set_fenced(&self) {
        self.fenced.set(true);
        self.wake.notify_one();
    }

    /// Starts the journal of a new incarnation.
    pub(crate) fn reset(&self, epoch: Incarnation) {
        self.epoch.set(epoch);
        self.fenced.set(false);
        self.queue.borrow_mut().clear();
        for waiter in self.waiters.borrow_mut().drain(..) {
            let _ = waiter.send(Err(JournalError::Fenced));
        }
        self.next_sequence.set(0);
        self.in_flight_shards.borrow_mut().clear();
        self.objects.borrow_mut().clear();
        self.committed.notify_waiters();
    }

    pub(super) fn take_objects(&self, until: u64) -> Vec<ObjectName> {
        let mut objects = self.objects.borrow_mut();
        let kept = objects.split_off(&until);
        std::mem::replace(&mut *objects, kept).into_values().collect()
    }

    pub(super) fn set_failing(&self, failing: bool) {
        let since = self.failing_since.get().unwrap_or_else(Instant::now);
        self.failing_since.set(failing.then_some(since));
    }
}

/// Retried unchanged until its result is known.
struct JournalCommit {
    transaction: TableTransaction,
    grants: GrantPlan,
    built_at: Instant,
}

enum CommitOutcome {
    Committed,
    Fenced(JournalError),
    /// A row that the transaction checks has changed; it must be rebuilt.
    Outdated,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BatchOutcome {
    Written,
    /// The batch held no records and changed no grants.
    Skipped,
}

/// Commits batches until the process stops; a fenced incarnation is replaced by a new one.
pub(crate) async fn run_journal(node: Rc<Node>) {
    let interval = node.settings.limits.commit_interval();
    let mut pacer = RatePacer::new(interval, MAX_COMMIT_BURST, Instant::now());
    loop {
        while !node.journal.is_fenced()
            && node.journal.queue.borrow().is_empty()
            && !node.ledger.borrow().needs_commit()
        {
            node.journal.wake.notified().await;
        }
        sleep_until(pacer.ready_at()).await;
        pacer.record(Instant::now());
        let fenced = node.journal.is_fenced();
        let result = if fenced { Err(JournalError::Fenced) } else { commit_batch(&node).await };
        if node.is_stopped() {
            return;
        }
        if result.is_err() {
            node.step_down().await;
        }
    }
}

async fn commit_batch(node: &Rc<Node>) -> Result<(), JournalError> {
    let journal = &node.journal;
    let records = std::mem::take(&mut *journal.queue.borrow_mut());
    *journal.in_flight_shards.borrow_mut() =
        records.iter().map(|record| shard_of(record.program())).collect();
    let waiters = std::mem::take(&mut *journal.waiters.borrow_mut());
    let result = commit_records(node, &records).await;
    if result == Ok(BatchOutcome::Written) {
        let mut book = node.book.borrow_mut();
        for record in &records {
            book.apply(record);
        }
        journal.next_sequence.set(journal.next_sequence.get() + 1);
        journal.last_commit.set(Some(Instant::now()));
    }
    journal.in_flight_shards.borrow_mut().clear();
    for waiter in waiters {
        let _ = waiter.send(result.map(|_| ()));
    }
    journal.committed.notify_waiters();
    result.map(|_| ())
}

async fn commit_records(
    node: &Rc<Node>,
    records: &[JournalRecord],
) -> Result<BatchOutcome, JournalError> {
    loop {
        let commit = build_commit(node, records).await;
        if records.is_empty() && !commit.grants.needed {
            // Calls of a workspace without budget retry often; they must not cause writes.
            node.grants_refused(&commit.grants);
            return Ok(BatchOutcome::Skipped);
        }
        match commit_with_retries(node, &commit).await {
            CommitOutcome::Committed => {
                node.grants_committed(&commit.grants);
                if let Some(head) = commit.grants.head {
                    node.observe_config_head(head, commit.built_at);
                }
                return Ok(BatchOutcome::Written);
            }
            CommitOutcome::Fenced(error) => return Err(error),
            // Another instance drew on the same budget; an immediate retry would add contention.
            CommitOutcome::Outdated => sleep(node.settings.limits.commit_interval()).await,
        }
    }
}

async fn build_commit(node: &Rc<Node>, records: &[JournalRecord]) -> JournalCommit {
    let built_at = Instant::now();
    let incarnation = node.incarnation();
    let sequence = node.journal.next_sequence();
    let key = batch_key(incarnation, sequence);
    let transaction = TableTransaction::default()
        .check(key.clone(), 0)
        .check(incarnation_key(incarnation), UNFENCED_VERSION)
        // Each batch writes the account's row once, so its version is the sequence number. Without
        // this check, a delayed duplicate of a trimmed batch could restore an outdated account.
        .check(account_key(incarnation), sequence);
    let (transaction, grants) = node.plan_grants(transaction).await;
    let batch = node.batch_row(records).await;
    if let Some(object) = batch.object() {
        node.journal.objects.borrow_mut().insert(sequence, object.clone());
    }
    let transaction = transaction.put(key, &batch).put(account_key(incarnation), grants.account());
    JournalCommit { transaction, grants, built_at }
}

/// Only this incarnation writes the batch's row, so a conflict on it means that an earlier attempt
/// succeeded. A conflict on any other row means that no attempt can succeed, not even a delayed
/// one, because versions only increase.
async fn commit_with_retries(node: &Rc<Node>, commit: &JournalCommit) -> CommitOutcome {
    let incarnation = node.incarnation();
    let batch = batch_key(incarnation, node.journal.next_sequence());
    let mut retry = MIN_RETRY_DELAY;
    let mut fenced = JournalError::Fenced;
    loop {
        node.metrics.record_store_write();
        let reply = node.table.commit(&commit.transaction).await;
        // Any reply shows that the table is reachable, a conflict on the fence included: else the
        // next incarnation would start in a failing state and refuse all calls.
        node.journal.set_failing(reply.is_err());
        match reply {
            Ok(CommitReply::Committed) => break,
            Ok(reply) if reply.conflicts_on(&batch) => break,
            Ok(reply) if reply.conflicts_on(&incarnation_key(incarnation)) => {
                return CommitOutcome::Fenced(fenced);
            }
            Ok(_) => return CommitOutcome::Outdated,
            Err(error) => {
                if is_indeterminate(&error) {
                    fenced = JournalError::Indeterminate;
                }
                node.event("commit_retried").detail(error.to_string()).log();
            }
        }
        sleep(retry).await;
        retry = (retry * 2).min(MAX_RETRY_DELAY);
    }
    CommitOutcome::Committed
}

/// True if the failed write may have taken effect.
pub(crate) fn is_indeterminate(error: &StoreError) -> bool {
    matches!(error, StoreError::ReplyLost | StoreError::Malformed { .. })
}
