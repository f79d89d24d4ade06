//! Rows of the platform's store and the requests and replies that read and write them.

use std::collections::BTreeSet;
use std::time::Duration;

use actix_http::Method;
use bytes::Bytes;
use derive_more::Display;

/// Version of the store; increases with every transaction.
pub type RowVersion = u64;

/// A transaction within one partition is cheap; one across partitions is not supported by every
/// store.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RowKey {
    pub table: Box<str>,
    pub partition: Box<str>,
    pub key: Box<str>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredRow {
    pub key: RowKey,
    /// Absent if the row has been removed.
    pub value: Option<Bytes>,
    pub version: RowVersion,
}

/// Writes that are applied atomically if every checked row has the given version; version 0 means
/// that the row does not exist.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RowTransaction {
    pub checks: Vec<(RowKey, RowVersion)>,
    pub puts: Vec<(RowKey, Bytes)>,
    pub removals: Vec<RowKey>,
}

impl RowTransaction {
    /// A row that is both checked and written occurs twice.
    pub fn keys(&self) -> impl Iterator<Item = &RowKey> {
        let checks = self.checks.iter().map(|(key, _)| key);
        let puts = self.puts.iter().map(|(key, _)| key);
        checks.chain(puts).chain(&self.removals)
    }

    /// Number of checks, puts and removals, which the store limits.
    pub fn rows(&self) -> usize {
        self.checks.len() + self.puts.len() + self.removals.len()
    }

    /// Total size of the written values.
    pub fn bytes(&self) -> usize {
        self.puts.iter().map(|(_, value)| value.len()).sum()
    }

    pub fn spans_partitions(&self) -> bool {
        let mut partitions = self.keys().map(|key| &key.partition);
        let first = partitions.next();
        partitions.any(|partition| Some(partition) != first)
    }

    pub fn merge(&mut self, other: &Self) {
        self.checks.extend(other.checks.iter().cloned());
        self.puts.extend(other.puts.iter().cloned());
        self.removals.extend(other.removals.iter().cloned());
    }

    /// Splits it into one transaction per partition, those without checks first.
    pub fn by_partition(&self) -> Vec<Self> {
        let partitions: BTreeSet<&str> = self.keys().map(|key| &*key.partition).collect();
        let mut split: Vec<Self> =
            partitions.into_iter().map(|partition| self.in_partition(partition)).collect();
        split.sort_by_key(|transaction| !transaction.checks.is_empty());
        split
    }

    fn in_partition(&self, partition: &str) -> Self {
        let checks = self.checks.iter().filter(|(key, _)| *key.partition == *partition);
        let puts = self.puts.iter().filter(|(key, _)| *key.partition == *partition);
        let removals = self.removals.iter().filter(|key| *key.partition == *partition);
        Self {
            checks: checks.cloned().collect(),
            puts: puts.cloned().collect(),
            removals: removals.cloned().collect(),
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitReply {
    Committed(RowVersion),
    /// Nothing was written. Holds the current state of the checked rows that exist.
    Conflict(Vec<StoredRow>),
}

/// Rows of one partition in key order, starting at `from`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowRange {
    pub table: Box<str>,
    pub partition: Box<str>,
    pub from: Option<Box<str>>,
    /// `None` returns as many rows as fit into one reply.
    pub limit: Option<usize>,
}

/// A consistent snapshot of rows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RangeReply {
    pub rows: Vec<StoredRow>,
    pub truncated: bool,
    /// Version of the store at the time of the snapshot.
    pub version: RowVersion,
    /// The store's monotonic clock, since an arbitrary origin.
    pub now: Duration,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangesReply {
    Changes {
        rows: Vec<StoredRow>,
        version: RowVersion,
    },
    /// The store has discarded the history since that version; the table must be read again.
    HistoryGone,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum StoreCallKind {
    #[display("commit")]
    Commit,
    #[display("range")]
    Range,
    #[display("parts")]
    Partitions,
    #[display("changes")]
    Changes,
    /// Made on behalf of a peer that cannot reach the store.
    #[display("relayed")]
    Relayed,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreCall {
    pub kind: StoreCallKind,
    pub method: Method,
    /// Path and query.
    pub target: Box<str>,
    pub body: Bytes,
    /// How long the store may hold the request open before it replies.
    pub hold: Duration,
}
