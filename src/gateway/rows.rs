//! Rows of the platform's store, and the calls that read and write them.

use std::collections::BTreeSet;
use std::time::Duration;

use actix_http::Method;
use bytes::Bytes;
use derive_more::Display;

/// Number of a change of the store; rises with every transaction.
pub type RowVersion = u64;

/// Where a row lies. All rows of a part can change in one cheap transaction.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RowKey {
    pub table: Box<str>,
    pub part: Box<str>,
    pub key: Box<str>,
}

/// A row as the store gave it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredRow {
    pub key: RowKey,
    /// Absent if the row has been removed.
    pub value: Option<Bytes>,
    pub version: RowVersion,
}

/// Writes that take effect together if all checked rows have their versions; 0 is no row.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RowTransaction {
    pub checks: Vec<(RowKey, RowVersion)>,
    pub puts: Vec<(RowKey, Bytes)>,
    pub removals: Vec<RowKey>,
}

impl RowTransaction {
    /// Keys of all rows it concerns; a checked row that is also written comes twice.
    pub fn keys(&self) -> impl Iterator<Item = &RowKey> {
        let checks = self.checks.iter().map(|(key, _)| key);
        let puts = self.puts.iter().map(|(key, _)| key);
        checks.chain(puts).chain(&self.removals)
    }

    /// Entries it has, which the store bounds.
    pub fn rows(&self) -> usize {
        self.checks.len() + self.puts.len() + self.removals.len()
    }

    /// Values it writes, in bytes.
    pub fn bytes(&self) -> usize {
        self.puts.iter().map(|(_, value)| value.len()).sum()
    }

    /// Whether its rows lie in more than one part.
    pub fn spans_parts(&self) -> bool {
        let mut parts = self.keys().map(|key| &key.part);
        let first = parts.next();
        parts.any(|part| Some(part) != first)
    }

    /// Adds the entries of another transaction.
    pub fn merge(&mut self, other: &Self) {
        self.checks.extend(other.checks.iter().cloned());
        self.puts.extend(other.puts.iter().cloned());
        self.removals.extend(other.removals.iter().cloned());
    }

    /// The same entries as a transaction a part, those without conditions first.
    pub fn by_part(&self) -> Vec<Self> {
        let parts: BTreeSet<&str> = self.keys().map(|key| &*key.part).collect();
        let mut split: Vec<Self> = parts.into_iter().map(|part| self.in_part(part)).collect();
        split.sort_by_key(|transaction| !transaction.checks.is_empty());
        split
    }

    fn in_part(&self, part: &str) -> Self {
        let checks = self.checks.iter().filter(|(key, _)| *key.part == *part);
        let puts = self.puts.iter().filter(|(key, _)| *key.part == *part);
        let removals = self.removals.iter().filter(|key| *key.part == *part);
        Self {
            checks: checks.cloned().collect(),
            puts: puts.cloned().collect(),
            removals: removals.cloned().collect(),
        }
    }
}

/// The store's answer to a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitReply {
    Committed(RowVersion),
    /// Nothing was written; the checked rows that exist, as they are now.
    Conflict(Vec<StoredRow>),
}

/// Rows of one part in key order, from `from` on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowRange {
    pub table: Box<str>,
    pub part: Box<str>,
    pub from: Option<Box<str>>,
    /// Most rows wanted; absent for as many as one answer holds.
    pub limit: Option<usize>,
}

/// Rows as of one moment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RangeReply {
    pub rows: Vec<StoredRow>,
    /// Whether more rows follow.
    pub truncated: bool,
    /// Newest version of the store at that moment.
    pub version: RowVersion,
    /// The store's steady clock, since an arbitrary start.
    pub now: Duration,
}

/// What has changed since a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangesReply {
    Changes {
        rows: Vec<StoredRow>,
        version: RowVersion,
    },
    /// The store no longer knows what changed; everything must be read anew.
    HistoryGone,
}

/// What a call to the store is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum StoreCallKind {
    #[display("commit")]
    Commit,
    #[display("range")]
    Range,
    #[display("parts")]
    Parts,
    #[display("changes")]
    Changes,
    /// Made for a peer that does not reach the store itself.
    #[display("relayed")]
    Relayed,
}

/// One HTTP call to the store, as the dialect spells it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreCall {
    pub kind: StoreCallKind,
    pub method: Method,
    /// Path and query.
    pub target: Box<str>,
    pub body: Bytes,
    /// How long the store itself may hold the call before it answers.
    pub hold: Duration,
}
