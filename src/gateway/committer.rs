//! Batches writes of many requests into few transactions, as the store limits and charges its calls.
//! In a conflict the transactions whose checks failed are rejected and the rest is sent again.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, sleep_until};

use super::rows::{CommitReply, RowKey, RowTransaction, RowVersion, StoredRow};
use super::store::StoreLink;
use crate::node::platform::StoreError;

/// The store accepts 100.
pub(crate) const MAX_TRANSACTION_ROWS: usize = 96;
/// Of a batch. The store accepts [`MAX_ENCODED_BYTES`], which is a third larger.
const MAX_TRANSACTION_BYTES: usize = 600_000;
/// The store accepts 1 MB of encoded text. Kept free is what a transaction has beside its rows.
pub(crate) const MAX_ENCODED_BYTES: usize = 1_000_000 - 4_096;
/// More transactions at once would queue in the store, while waiting ones can be batched.
const MAX_IN_FLIGHT: u32 = 4;
/// Bounds of the random delay after a rate limit error; random, so that instances do not retry
/// together.
const MIN_RATE_DELAY: Duration = Duration::from_millis(15);
const MAX_RATE_DELAY: Duration = Duration::from_millis(60);
/// A transaction fails after about a second of rate limit errors.
const MAX_RATE_ATTEMPTS: u32 = 25;

type CommitResult = Result<CommitReply, StoreError>;

struct QueuedCommit {
    transaction: RowTransaction,
    /// Latest time to send it.
    due: Instant,
    is_urgent: bool,
    rate_attempts: u32,
    reply: oneshot::Sender<CommitResult>,
}

pub(crate) struct StoreCommitter {
    store: Rc<StoreLink>,
    defers_over_rate: bool,
    queue: RefCell<Vec<QueuedCommit>>,
    queued: Notify,
    batches: Cell<u64>,
    in_flight: Cell<u32>,
    /// Nothing is sent before this time, after a rate limit error.
    paused_until: Cell<Option<Instant>>,
}

/// Counts a batch as in flight until it is dropped.
struct SendGuard {
    committer: Rc<StoreCommitter>,
}

impl SendGuard {
    fn new(committer: &Rc<StoreCommitter>) -> Self {
        committer.in_flight.update(|sent| sent + 1);
        Self { committer: committer.clone() }
    }
}

impl Drop for SendGuard {
    fn drop(&mut self) {
        self.committer.in_flight.update(|sent| sent - 1);
        self.committer.queued.notify_one();
    }
}

impl StoreCommitter {
    /// `defers_over_rate` requeues transactions after a rate limit error instead of failing them.
    pub(crate) fn new(store: Rc<StoreLink>, defers_over_rate: bool) -> Self {
        Self {
            store,
            defers_over_rate,
            queue: RefCell::default(),
            queued: Notify::new(),
            batches: Cell::new(0),
            in_flight: Cell::new(0),
            paused_until: Cell::new(None),
        }
    }

    pub(crate) fn batches(&self) -> u64 {
        self.batches.get()
    }

    /// Commits a transaction in a batch. `max_delay` is how long it may wait for others to join. It is
    /// withdrawn if the future is dropped before it is sent.
    pub(crate) async fn commit(
        &self,
        transaction: RowTransaction,
        max_delay: Duration,
    ) -> CommitResult {
        if !self.store.supports_cross_partition() {
            return self.commit_by_partition(&transaction).await;
        }
        let (reply, receiver) = oneshot::channel();
        let due = Instant::now() + max_delay;
        self.queue.borrow_mut().push(QueuedCommit {
            transaction,
            due,
            is_urgent: max_delay.is_zero(),
            rate_attempts: 0,
            reply,
        });
        self.queued.notify_one();
        // The sender is only dropped after a panic, or at the end of the process.
        receiver.await.unwrap_or(Err(StoreError::ReplyLost))
    }

    /// For stores without transactions over several partitions. Partitions without checks are written first:
    /// nothing refers to them until the checked partition is committed.
    async fn commit_by_partition(&self, transaction: &RowTransaction) -> CommitResult {
        let mut reply = Err(StoreError::Unavailable);
        for partition in transaction.by_partition() {
            self.batches.set(self.batches.get() + 1);
            reply = self.store.commit(&partition).await;
            if !matches!(reply, Ok(CommitReply::Committed(_))) {
                return reply;
            }
        }
        reply
    }

    pub(crate) async fn run(self: Rc<Self>) {
        loop {
            let due = self.queue.borrow().iter().map(|queued| queued.due).min();
            let due = due.map(|due| self.paused_until.get().map_or(due, |paused| due.max(paused)));
            match due {
                None => self.queued.notified().await,
                Some(_) if self.in_flight.get() >= MAX_IN_FLIGHT => self.queued.notified().await,
                Some(due) if Instant::now() < due => tokio::select! {
                    () = sleep_until(due) => {}
                    () = self.queued.notified() => {}
                },
                Some(_) => {
                    let batch = self.take_batch();
                    if !batch.is_empty() {
                        actix_rt::spawn(self.clone().send(batch, SendGuard::new(&self)));
                    }
                }
            }
        }
    }

    /// Takes as many queued transactions as fit, no two of which access the same row.
    fn take_batch(&self) -> Vec<QueuedCommit> {
        let mut queue = self.queue.borrow_mut();
        let mut keys: BTreeSet<RowKey> = BTreeSet::new();
        let (mut rows, mut bytes) = (0, 0);
        // Transactions over several partitions take the store twice as long, and callers wait for
        // the urgent ones: with a store slowed 50-fold that adds 150 ms to a turn.
        let urgent_only = self.store.is_slow() && queue.iter().any(|queued| queued.is_urgent);
        let mut batch = Vec::new();
        let mut remaining = Vec::new();
        // The others were withdrawn.
        for queued in queue.drain(..).filter(|queued| !queued.reply.is_closed()) {
            let transaction = &queued.transaction;
            let fits = rows + transaction.rows() <= MAX_TRANSACTION_ROWS
                && bytes + transaction.bytes() <= MAX_TRANSACTION_BYTES
                && transaction.keys().all(|key| !keys.contains(key));
            let is_deferred = urgent_only && !queued.is_urgent;
            if !is_deferred && (batch.is_empty() || fits) {
                rows += transaction.rows();
                bytes += transaction.bytes();
                keys.extend(transaction.keys().cloned());
                batch.push(queued);
            } else {
                remaining.push(queued);
            }
        }
        *queue = remaining;
        batch
    }

    async fn send(self: Rc<Self>, batch: Vec<QueuedCommit>, guard: SendGuard) {
        let mut merged = RowTransaction::default();
        for queued in &batch {
            merged.merge(&queued.transaction);
        }
        self.batches.set(self.batches.get() + 1);
        let result = self.store.commit(&merged).await;
        drop(guard);
        match result {
            Ok(CommitReply::Conflict(rows)) => self.resolve_conflict(batch, &rows),
            Err(StoreError::Unavailable) if self.defers_over_rate && self.store.is_over_rate() => {
                self.requeue(batch);
            }
            result => {
                for queued in batch {
                    // The caller may have been dropped.
                    let _ = queued.reply.send(result.clone());
                }
            }
        }
    }

    fn requeue(&self, batch: Vec<QueuedCommit>) {
        let delay = rand::random_range(MIN_RATE_DELAY..MAX_RATE_DELAY);
        for mut queued in batch {
            queued.rate_attempts += 1;
            if queued.rate_attempts >= MAX_RATE_ATTEMPTS {
                let _ = queued.reply.send(Err(StoreError::Unavailable));
                continue;
            }
            self.queue.borrow_mut().push(queued);
        }
        self.paused_until.set(Some(Instant::now() + delay));
        self.queued.notify_one();
    }

    /// Rejects the transactions whose checks failed and sends the others again at once.
    fn resolve_conflict(&self, batch: Vec<QueuedCommit>, rows: &[StoredRow]) {
        let version = |key: &RowKey| -> RowVersion {
            rows.iter().find(|row| row.key == *key).map_or(0, |row| row.version)
        };
        let is_single = batch.len() == 1;
        for mut queued in batch {
            let checks = &queued.transaction.checks;
            let failed = checks.iter().any(|(key, expected)| version(key) != *expected);
            if failed || is_single {
                let is_checked = |row: &&StoredRow| checks.iter().any(|(key, _)| *key == row.key);
                let rows = rows.iter().filter(is_checked).cloned().collect();
                let _ = queued.reply.send(Ok(CommitReply::Conflict(rows)));
            } else {
                queued.due = Instant::now();
                self.queue.borrow_mut().push(queued);
                self.queued.notify_one();
            }
        }
    }
}
