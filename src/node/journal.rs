//! Group commit: what has finished since the last write goes into the table in one transaction.

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

/// Why a record could not be made durable.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum JournalError {
    /// Another instance has fenced this incarnation; nothing of it is written any more.
    #[display("this incarnation has been fenced")]
    Fenced,
    /// As above, and an earlier attempt to write the records had lost its reply: they may have
    /// been written, read by the next owner and deleted again since.
    #[display("this incarnation has been fenced while a write of it was open")]
    Open,
}

type Waiter = oneshot::Sender<Result<(), JournalError>>;

/// The queue before the journal and what is known of its tail.
#[derive(Debug, Default)]
pub(crate) struct JournalWriter {
    queue: RefCell<Vec<JournalRecord>>,
    waiters: RefCell<Vec<Waiter>>,
    wake: Notify,
    committed: Notify,
    /// The incarnation whose journal this is.
    epoch: Cell<Incarnation>,
    next_sequence: Cell<u64>,
    /// Shards with records in the batch that is being written.
    writing: RefCell<BTreeSet<ShardId>>,
    /// Objects with the records of large batches, by batch.
    objects: RefCell<BTreeMap<u64, ObjectName>>,
    /// Set while the table has not answered the last attempt.
    failing_since: Cell<Option<Instant>>,
    /// Set while the table has not answered the last regular read. An instance without calls
    /// writes nothing that could fail.
    unread_since: Cell<Option<Instant>>,
    /// This incarnation is known to be fenced, though no batch of it has met the fence yet.
    fenced: Cell<bool>,
    last_commit: Cell<Option<Instant>>,
}

/// Key of a journal batch. Zero-padded, so that key order is batch order.
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
/// Rows of what fenced incarnations may have spent, until the engines have been asked.
pub(crate) const STRANDED_PREFIX: &str = "stranded/";

pub(crate) fn stranded_key(incarnation: Incarnation) -> RowKey {
    format!("{STRANDED_PREFIX}{incarnation:012}").into()
}

pub(crate) fn budget_key(workspace: &str) -> RowKey {
    format!("budget/{workspace}").into()
}

/// Row that holds the number of the last configuration change.
pub(crate) const CONFIG_HEAD: &str = "config/head";

/// Version an incarnation's row has until it is fenced.
pub(crate) const UNFENCED: u64 = 1;

/// Commits that may follow at once before they are paced; under steady load they are.
const COMMIT_BURST: u32 = 8;
pub(super) const FIRST_RETRY: Duration = Duration::from_millis(50);
pub(super) const MAX_RETRY: Duration = Duration::from_secs(1);

impl JournalWriter {
    /// Adds records and waits until they are durable.
    ///
    /// `epoch` is the incarnation that the caller's knowledge stems from. A call that began before
    /// a fence must not write into the journal of the incarnation after it: its program may have
    /// moved on at another owner, and its turn would stand twice in the history.
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

    /// Asks for a commit although no record waits, for instance to draw budget.
    pub(crate) fn wake(&self) {
        self.wake.notify_one();
    }

    /// Completes after the next commit.
    pub(crate) fn committed(&self) -> Notified<'_> {
        self.committed.notified()
    }

    /// Number of the first batch that the programs in memory do not show yet.
    pub(crate) fn next_sequence(&self) -> u64 {
        self.next_sequence.get()
    }

    /// Whether nothing of this shard waits or is being written.
    pub(crate) fn is_idle(&self, shard: ShardId) -> bool {
        let waiting = |record: &JournalRecord| shard_of(record.program()) == shard;
        !self.queue.borrow().iter().any(waiting) && !self.writing.borrow().contains(&shard)
    }

    /// How long the table has not answered.
    pub(crate) fn failing_for(&self) -> Option<Duration> {
        let since = [self.failing_since.get(), self.unread_since.get()];
        since.into_iter().flatten().min().map(|since| since.elapsed())
    }

    /// Notes whether a regular read went unanswered.
    pub(crate) fn set_unread(&self, failing: bool) {
        let since = self.unread_since.get().unwrap_or_else(Instant::now);
        self.unread_since.set(failing.then_some(since));
    }

    /// When a batch was last written; this incarnation was not fenced then.
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
        self.writing.borrow_mut().clear();
        self.objects.borrow_mut().clear();
        self.committed.notify_waiters();
    }

    /// Takes the objects of the batches below `until`, whose rows are gone.
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

/// One commit, built once and repeated to the letter until its fate is known.
struct JournalCommit {
    transaction: TableTransaction,
    grants: GrantPlan,
    built: Instant,
}

enum CommitEnd {
    Committed,
    Fenced(JournalError),
    /// A row it draws on has changed: build it anew.
    Outdated,
}

/// What became of a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BatchEnd {
    Written,
    /// It held no record and could change no grant.
    Unneeded,
}

/// Writes the journal until the process ends; a fenced incarnation is replaced by a new one.
pub(crate) async fn run_journal(node: Rc<Node>) {
    let interval = node.settings.limits.commit_interval();
    let mut pacer = RatePacer::new(interval, COMMIT_BURST, Instant::now());
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
    *journal.writing.borrow_mut() =
        records.iter().map(|record| shard_of(record.program())).collect();
    let waiters = std::mem::take(&mut *journal.waiters.borrow_mut());
    let result = commit_records(node, &records).await;
    if result == Ok(BatchEnd::Written) {
        let mut book = node.book.borrow_mut();
        for record in &records {
            book.apply(record);
        }
        journal.next_sequence.set(journal.next_sequence.get() + 1);
        journal.last_commit.set(Some(Instant::now()));
    }
    journal.writing.borrow_mut().clear();
    for waiter in waiters {
        let _ = waiter.send(result.map(|_| ()));
    }
    journal.committed.notify_waiters();
    result.map(|_| ())
}

async fn commit_records(
    node: &Rc<Node>,
    records: &[JournalRecord],
) -> Result<BatchEnd, JournalError> {
    loop {
        let commit = build_commit(node, records).await;
        if records.is_empty() && !commit.grants.needed {
            // Calls of a spent workspace ask its row again and again; only reads pay for that.
            node.grants_refused(&commit.grants);
            return Ok(BatchEnd::Unneeded);
        }
        match commit_until_known(node, &commit).await {
            CommitEnd::Committed => {
                node.grants_committed(&commit.grants);
                if let Some(head) = commit.grants.head {
                    node.observe_config_head(head, commit.built);
                }
                return Ok(BatchEnd::Written);
            }
            CommitEnd::Fenced(error) => return Err(error),
            // Others draw on the same budget: writing again at once would only crowd the table.
            CommitEnd::Outdated => sleep(node.settings.limits.commit_interval()).await,
        }
    }
}

async fn build_commit(node: &Rc<Node>, records: &[JournalRecord]) -> JournalCommit {
    let built = Instant::now();
    let incarnation = node.incarnation();
    let sequence = node.journal.next_sequence();
    let key = batch_key(incarnation, sequence);
    let transaction = TableTransaction::default()
        .check(key.clone(), 0)
        .check(incarnation_key(incarnation), UNFENCED)
        // Every batch writes the account's row once. A duplicate of an old attempt that comes late,
        // after its batch was trimmed, would else put back a lower ceiling than was spent.
        .check(account_key(incarnation), sequence);
    let (transaction, grants) = node.plan_grants(transaction).await;
    let batch = node.batch_row(records).await;
    if let Some(object) = batch.object() {
        node.journal.objects.borrow_mut().insert(sequence, object.clone());
    }
    let transaction = transaction.put(key, &batch).put(account_key(incarnation), grants.account());
    JournalCommit { transaction, grants, built }
}

/// Repeats one transaction until it is known whether it took effect.
///
/// A lost reply leaves open whether the write happened. Only this incarnation writes the batch's
/// row, so a conflict on it means that an earlier attempt succeeded; a conflict on any other row
/// dooms all attempts alike, a delayed one included, because versions only rise.
async fn commit_until_known(node: &Rc<Node>, commit: &JournalCommit) -> CommitEnd {
    let incarnation = node.incarnation();
    let batch = batch_key(incarnation, node.journal.next_sequence());
    let mut retry = FIRST_RETRY;
    let mut fenced = JournalError::Fenced;
    loop {
        node.metrics.record_store_write();
        let reply = node.table.commit(&commit.transaction).await;
        // Any answer shows that the table works, a fence included: calls would be refused for
        // good by an instance that has become another incarnation since.
        node.journal.set_failing(reply.is_err());
        match reply {
            Ok(CommitReply::Committed) => break,
            Ok(reply) if reply.conflicts_on(&batch) => break,
            Ok(reply) if reply.conflicts_on(&incarnation_key(incarnation)) => {
                return CommitEnd::Fenced(fenced);
            }
            Ok(_) => return CommitEnd::Outdated,
            Err(error) => {
                if is_open(&error) {
                    fenced = JournalError::Open;
                }
                node.event("commit_retried").detail(error.to_string()).log();
            }
        }
        sleep(retry).await;
        retry = (retry * 2).min(MAX_RETRY);
    }
    CommitEnd::Committed
}

/// Whether a write failed for a reason that leaves its effect open.
pub(crate) fn is_open(error: &StoreError) -> bool {
    matches!(error, StoreError::ReplyLost | StoreError::Malformed { .. })
}
