//! Keeps losses in the store, for instances that start when nobody is left who knows them.
//!
//! Each instance writes rows of its own, so that no write needs a condition. They are read once at a
//! start.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

use super::LossExchange;
use crate::core::ids::InstanceId;
use crate::core::repeats::{LOSS_RETENTION, ReportedAttempt, ReportedWork, RequestFingerprint};
use crate::gateway::committer::StoreCommitter;
use crate::gateway::rows::{RowKey, RowRange, RowTransaction, StoredRow};
use crate::gateway::store::StoreLink;
use crate::node::platform::StoreError;

const LOSSES_TABLE: &str = "losses";
/// Spreads the writes of a failure that takes many upstreams, as the store limits those of a partition.
const PARTITIONS: u8 = 4;
/// Time for which a write waits for others to join it.
const WRITE_DELAY: Duration = Duration::from_millis(10);
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Works in one transaction.
const MAX_WRITTEN: usize = 64;
/// Rows that their writers, which are gone, could not remove.
pub(super) const MAX_ROW_AGE: Duration = Duration::from_secs(10 * LOSS_RETENTION.as_secs());

/// The row of a work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct StoredWork {
    /// By the store's clock.
    at_ms: u64,
    attempts: Vec<ReportedAttempt>,
}

/// Where losses outlive the instances.
#[async_trait(?Send)]
pub(crate) trait LossLedger {
    /// Writes what is known of each work; removes the row of a work without attempts.
    async fn write(&self, works: &[ReportedWork]) -> Result<(), StoreError>;
    /// Reads what all instances wrote within the retention.
    async fn read(&self) -> Result<Vec<ReportedWork>, StoreError>;
}

pub(crate) struct StoreLedger {
    instance: InstanceId,
    store: Rc<StoreLink>,
    committer: Rc<StoreCommitter>,
}

impl StoreLedger {
    pub(crate) fn new(
        instance: InstanceId,
        store: Rc<StoreLink>,
        committer: Rc<StoreCommitter>,
    ) -> Self {
        Self { instance, store, committer }
    }

    fn row_key(&self, fingerprint: RequestFingerprint) -> RowKey {
        let fingerprint = fingerprint.to_string();
        let digit = fingerprint.as_bytes().last().copied().unwrap_or_default();
        RowKey {
            table: LOSSES_TABLE.into(),
            partition: partition(digit % PARTITIONS),
            key: format!("{fingerprint}/{}", self.instance).into(),
        }
    }

    /// Removes rows whose writers are gone. The next instance to start tries again if it fails.
    fn remove(&self, removals: Vec<RowKey>) {
        let committer = self.committer.clone();
        actix_rt::spawn(async move {
            let transaction = RowTransaction { removals, ..RowTransaction::default() };
            if let Err(error) = committer.commit(transaction, WRITE_DELAY).await {
                log::info!("event=losses_unwritten works=0 error=\"{error}\"");
            }
        });
    }

    async fn read_partition(&self, number: u8) -> Result<Vec<StoredRow>, StoreError> {
        let (mut rows, mut from) = (Vec::new(), None);
        loop {
            let range = RowRange {
                table: LOSSES_TABLE.into(),
                partition: partition(number),
                from,
                limit: None,
            };
            let reply = self.store.range(&range).await?;
            rows.extend(reply.rows);
            // The range begins at its key, so a further byte makes it begin after the last row.
            from = rows.last().map(|row: &StoredRow| format!("{}\0", row.key.key).into());
            if !reply.truncated || from.is_none() {
                return Ok(rows);
            }
        }
    }
}

fn partition(number: u8) -> Box<str> {
    format!("{LOSSES_TABLE}-{number}").into()
}

/// `None` for a row that cannot be decoded, which another release may have written.
fn decode(row: &StoredRow) -> Option<(RequestFingerprint, StoredWork)> {
    let (fingerprint, _) = row.key.key.split_once('/')?;
    let stored = serde_json::from_slice(row.value.as_ref()?).ok()?;
    Some((fingerprint.parse().ok()?, stored))
}

#[async_trait(?Send)]
impl LossLedger for StoreLedger {
    async fn write(&self, works: &[ReportedWork]) -> Result<(), StoreError> {
        let mut transaction = RowTransaction::default();
        let at_ms = self.store.now_millis();
        for work in works {
            let key = self.row_key(work.fingerprint);
            if work.attempts.is_empty() {
                transaction.removals.push(key);
                continue;
            }
            let stored = StoredWork { at_ms, attempts: work.attempts.clone() };
            let value = serde_json::to_vec(&stored).expect("attempts serialize");
            transaction.puts.push((key, Bytes::from(value)));
        }
        self.committer.commit(transaction, WRITE_DELAY).await.map(|_| ())
    }

    async fn read(&self) -> Result<Vec<ReportedWork>, StoreError> {
        let mut rows = Vec::new();
        for number in 0..PARTITIONS {
            rows.extend(self.read_partition(number).await?);
        }
        let StoredLosses { works, outdated } = sort_rows(rows, self.store.now_millis());
        if !outdated.is_empty() {
            self.remove(outdated);
        }
        Ok(works)
    }
}

/// The rows of the table by what becomes of them.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct StoredLosses {
    pub(super) works: Vec<ReportedWork>,
    pub(super) outdated: Vec<RowKey>,
}

/// `now_ms` is by the store's clock. A row that cannot be decoded is left alone, as another release may
/// need it.
pub(super) fn sort_rows(rows: Vec<StoredRow>, now_ms: u64) -> StoredLosses {
    let mut sorted = StoredLosses::default();
    for row in rows {
        let Some((fingerprint, stored)) = decode(&row) else {
            log::warn!("event=loss_row_rejected row={}", row.key.key);
            continue;
        };
        let age = Duration::from_millis(now_ms.saturating_sub(stored.at_ms));
        if age < LOSS_RETENTION {
            let attempts = stored.attempts.iter().map(|attempt| attempt.aged(age)).collect();
            sorted.works.push(ReportedWork { fingerprint, attempts });
        } else if age >= MAX_ROW_AGE && sorted.outdated.len() < MAX_WRITTEN {
            sorted.outdated.push(row.key);
        }
    }
    sorted
}

/// What of the table has to be written.
pub(super) struct LedgerState {
    rows: Rc<dyn LossLedger>,
    is_read: Cell<bool>,
    changed: RefCell<BTreeSet<RequestFingerprint>>,
    /// Wakes the writer.
    touched: Notify,
    /// Works with a row of this instance.
    written: RefCell<BTreeSet<RequestFingerprint>>,
}

impl LedgerState {
    pub(super) fn new(rows: Rc<dyn LossLedger>) -> Self {
        Self {
            rows,
            is_read: Cell::new(false),
            changed: RefCell::default(),
            touched: Notify::new(),
            written: RefCell::default(),
        }
    }

    pub(super) fn touch(&self, fingerprint: RequestFingerprint) {
        self.changed.borrow_mut().insert(fingerprint);
        self.touched.notify_one();
    }

    /// Whether this instance has written a row of the work.
    pub(super) fn is_written(&self, fingerprint: RequestFingerprint) -> bool {
        self.written.borrow().contains(&fingerprint)
    }

    pub(super) fn touch_written(&self, fingerprint: RequestFingerprint) {
        if self.is_written(fingerprint) {
            self.touch(fingerprint);
        }
    }

    pub(super) fn touch_expired(&self, is_known: impl Fn(RequestFingerprint) -> bool) {
        let written = self.written.borrow();
        let expired = written.iter().filter(|fingerprint| !is_known(**fingerprint));
        expired.for_each(|fingerprint| self.touch(*fingerprint));
    }

    pub(super) fn is_read(&self) -> bool {
        self.is_read.get()
    }

    pub(super) async fn read(&self) -> Result<Vec<ReportedWork>, StoreError> {
        let works = self.rows.read().await?;
        self.is_read.set(true);
        self.touched.notify_one();
        Ok(works)
    }

    fn is_clean(&self) -> bool {
        self.changed.borrow().is_empty()
    }

    fn record_written(&self, works: &[ReportedWork]) {
        let mut written = self.written.borrow_mut();
        for work in works {
            match work.attempts.is_empty() {
                true => written.remove(&work.fingerprint),
                false => written.insert(work.fingerprint),
            };
        }
    }

    fn take_changed(&self) -> Vec<RequestFingerprint> {
        let mut changed = self.changed.borrow_mut();
        let taken: Vec<_> = changed.iter().take(MAX_WRITTEN).copied().collect();
        taken.iter().for_each(|fingerprint| {
            changed.remove(fingerprint);
        });
        taken
    }
}

impl LossExchange {
    /// Writes changes as they come. Those that cannot be written are tried again until they expire.
    pub(super) async fn write_ledger(self: Rc<Self>) {
        loop {
            // Before the first read, the store's clock is not known.
            if !self.ledger.is_read() || self.ledger.is_clean() {
                self.ledger.touched.notified().await;
                continue;
            }
            let changed = self.ledger.take_changed();
            let works = self.works(&changed);
            match self.ledger.rows.write(&works).await {
                Ok(()) => self.ledger.record_written(&works),
                Err(error) => {
                    log::info!("event=losses_unwritten works={} error=\"{error}\"", works.len());
                    changed.into_iter().for_each(|fingerprint| self.ledger.touch(fingerprint));
                    sleep(RETRY_INTERVAL).await;
                }
            }
        }
    }

    fn works(&self, fingerprints: &[RequestFingerprint]) -> Vec<ReportedWork> {
        let (now, table) = (Instant::now(), self.table.borrow());
        let work = |fingerprint: &RequestFingerprint| {
            ReportedWork::of(*fingerprint, table.attempts(*fingerprint), now)
        };
        fingerprints.iter().map(work).collect()
    }
}
