//! Writes of many requests in few transactions.
//!
//! Each store call has a price and the store takes a bounded number a second, so writes wait a
//! little for others. What a conflict names fails; the rest of the batch goes out again.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, sleep_until};

use super::rows::{CommitReply, RowKey, RowTransaction, RowVersion, StoredRow};
use super::store::StoreLink;
use crate::node::platform::StoreError;

/// Rows in one transaction; the store takes 100.
const MAX_ROWS: usize = 96;
/// Text in one transaction, in bytes; the store takes 1 MB, in which it grows by a third.
const MAX_BYTES: usize = 600_000;

/// Transactions under way at once. More only add to the store's queue, and what waits for one of them
/// to end travels together.
const MAX_FLIGHTS: u32 = 4;
/// Shortest and longest pause before what was refused for the store's rate goes out again, together
/// with what has come meanwhile; drawn evenly, so that instances do not return together.
const RATE_PAUSE_MIN: Duration = Duration::from_millis(15);
const RATE_PAUSE_MAX: Duration = Duration::from_millis(60);
/// Times a transaction is refused for the store's rate before its sender is told: about a second.
const RATE_TRIES: u32 = 25;

type CommitResult = Result<CommitReply, StoreError>;

struct QueuedCommit {
    transaction: RowTransaction,
    /// When it leaves at the latest.
    due: Instant,
    /// Whether it was not to wait at all.
    urgent: bool,
    /// Times it was refused for the store's rate.
    refused: u32,
    reply: oneshot::Sender<CommitResult>,
}

/// Collects transactions and commits them together.
pub(crate) struct StoreCommitter {
    store: Rc<StoreLink>,
    holds: bool,
    queue: RefCell<Vec<QueuedCommit>>,
    queued: Notify,
    batches: Cell<u64>,
    /// Transactions under way.
    flights: Cell<u32>,
    /// Nothing leaves before, after a refusal for the store's rate.
    held_until: Cell<Option<Instant>>,
}

impl StoreCommitter {
    /// `holds` tells whether what the store refuses for its rate waits for a later batch.
    pub(crate) fn new(store: Rc<StoreLink>, holds: bool) -> Self {
        Self {
            store,
            holds,
            queue: RefCell::default(),
            queued: Notify::new(),
            batches: Cell::new(0),
            flights: Cell::new(0),
            held_until: Cell::new(None),
        }
    }

    /// Transactions sent so far.
    pub(crate) fn batches(&self) -> u64 {
        self.batches.get()
    }

    /// Commits a transaction, together with others that come within `patience`.
    pub(crate) async fn commit(
        &self,
        transaction: RowTransaction,
        patience: Duration,
    ) -> CommitResult {
        if !self.store.supports_cross_partition() {
            return self.commit_by_partition(&transaction).await;
        }
        let (reply, answered) = oneshot::channel();
        let due = Instant::now() + patience;
        self.queue.borrow_mut().push(QueuedCommit {
            transaction,
            due,
            urgent: patience.is_zero(),
            refused: 0,
            reply,
        });
        self.queued.notify_one();
        // The batch's task never ends without an answer; if it is dropped, so is the process.
        answered.await.unwrap_or(Err(StoreError::ReplyLost))
    }

    /// Without transactions across partitions, partitions without checks are written first: nothing
    /// refers to them until the checked partition is written.
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

    /// Sends batches as they fall due.
    pub(crate) async fn run(self: Rc<Self>) {
        loop {
            let due = self.queue.borrow().iter().map(|queued| queued.due).min();
            let due = due.map(|due| self.held_until.get().map_or(due, |held| due.max(held)));
            match due {
                None => self.queued.notified().await,
                Some(_) if self.flights.get() >= MAX_FLIGHTS => self.queued.notified().await,
                Some(due) if Instant::now() < due => tokio::select! {
                    () = sleep_until(due) => {}
                    () = self.queued.notified() => {}
                },
                Some(_) => {
                    let batch = self.take_batch();
                    self.flights.set(self.flights.get() + 1);
                    actix_rt::spawn(self.clone().send(batch));
                }
            }
        }
    }

    /// As many queued transactions as fit, no two of which concern the same row.
    fn take_batch(&self) -> Vec<QueuedCommit> {
        let mut queue = self.queue.borrow_mut();
        let mut keys: BTreeSet<RowKey> = BTreeSet::new();
        let (mut rows, mut bytes) = (0, 0);
        // A transaction across partitions takes the store twice as long, and a caller waits for the
        // urgent ones: while the store is slow 50-fold, that is 150 ms a turn.
        let urgent_only = self.store.is_slow() && queue.iter().any(|queued| queued.urgent);
        let mut batch = Vec::new();
        let mut left = Vec::new();
        for queued in queue.drain(..) {
            let transaction = &queued.transaction;
            let fits = rows + transaction.rows() <= MAX_ROWS
                && bytes + transaction.bytes() <= MAX_BYTES
                && transaction.keys().all(|key| !keys.contains(key));
            let left_out = urgent_only && !queued.urgent;
            if !left_out && (batch.is_empty() || fits) {
                rows += transaction.rows();
                bytes += transaction.bytes();
                keys.extend(transaction.keys().cloned());
                batch.push(queued);
            } else {
                left.push(queued);
            }
        }
        *queue = left;
        batch
    }

    async fn send(self: Rc<Self>, batch: Vec<QueuedCommit>) {
        let mut merged = RowTransaction::default();
        for queued in &batch {
            merged.merge(&queued.transaction);
        }
        self.batches.set(self.batches.get() + 1);
        let result = self.store.commit(&merged).await;
        self.flights.set(self.flights.get() - 1);
        self.queued.notify_one();
        match result {
            Ok(CommitReply::Conflict(rows)) => self.divide(batch, &rows),
            Err(StoreError::Unavailable) if self.holds && self.store.is_over_rate() => {
                self.requeue(batch);
            }
            result => {
                for queued in batch {
                    // Whoever no longer waits has given the request up.
                    let _ = queued.reply.send(result.clone());
                }
            }
        }
    }

    /// Keeps what was refused for the store's rate for a later batch.
    fn requeue(&self, batch: Vec<QueuedCommit>) {
        let pause = rand::random_range(RATE_PAUSE_MIN..RATE_PAUSE_MAX);
        for mut queued in batch {
            queued.refused += 1;
            if queued.refused >= RATE_TRIES {
                let _ = queued.reply.send(Err(StoreError::Unavailable));
                continue;
            }
            self.queue.borrow_mut().push(queued);
        }
        self.held_until.set(Some(Instant::now() + pause));
        self.queued.notify_one();
    }

    /// Tells those whose conditions failed, and sends the others again at once.
    fn divide(&self, batch: Vec<QueuedCommit>, rows: &[StoredRow]) {
        let version = |key: &RowKey| -> RowVersion {
            rows.iter().find(|row| row.key == *key).map_or(0, |row| row.version)
        };
        let alone = batch.len() == 1;
        for mut queued in batch {
            let checks = &queued.transaction.checks;
            let failed = checks.iter().any(|(key, expected)| version(key) != *expected);
            if failed || alone {
                let own = |row: &&StoredRow| checks.iter().any(|(key, _)| *key == row.key);
                let rows = rows.iter().filter(own).cloned().collect();
                let _ = queued.reply.send(Ok(CommitReply::Conflict(rows)));
            } else {
                queued.due = Instant::now();
                self.queue.borrow_mut().push(queued);
                self.queued.notify_one();
            }
        }
    }
}
