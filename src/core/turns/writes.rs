//! Splits a record into rows, and the rows into the transactions that store them.
//!
//! A record that fits one transaction is stored by it. Of a larger one, all rows but the first are
//! written by several transactions, each of which states its progress in a row of its own. The last
//! one, the commit, adds the first row and removes the progress. A record without its first row does
//! not exist for readers.
//!
//! Each transaction is conditional on the progress that it continues, so the writes of two instances
//! never mix: the one that finds other progress continues it if it is of the same rows, and otherwise
//! removes them first.

use std::collections::BTreeMap;
use std::ops::Range;

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use super::record::{TurnRecord, split_value};

/// Base64 encodes three bytes as four characters.
const ENCODED_GROUP: (usize, usize) = (3, 4);

/// Bounds of the rows and transactions of a record.
#[derive(Debug, Clone, Copy)]
pub struct WriteLimits {
    /// Size of the value of one row; a transaction holds at least two of these.
    pub row_bytes: usize,
    /// Rows of the record in one transaction.
    pub transaction_rows: usize,
    /// Size of a transaction with encoded values.
    pub transaction_bytes: usize,
    /// Size of a row in a transaction beyond its encoded value.
    pub row_overhead_bytes: usize,
}

impl WriteLimits {
    fn encoded_bytes(&self, row: &Bytes) -> usize {
        let (group, encoded) = ENCODED_GROUP;
        row.len().div_ceil(group) * encoded + self.row_overhead_bytes
    }

    /// The number of leading rows that fit one transaction next to `reserved` bytes.
    fn fitting(&self, rows: &[Bytes], reserved: usize) -> usize {
        let mut bytes = reserved;
        let fits = |row: &&Bytes| {
            bytes += self.encoded_bytes(row);
            bytes <= self.transaction_bytes
        };
        rows.iter().take(self.transaction_rows).take_while(fits).count()
    }
}

/// How far the rows of a record are written. Field names are part of the stored format.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteProgress {
    /// Identifies the rows. Writers of equal rows continue each other's progress.
    #[serde(rename = "d")]
    digest: Box<str>,
    /// Rows from number 1 up to this one are stored.
    #[serde(rename = "n")]
    written: usize,
}

impl WriteProgress {
    pub fn encode(&self) -> Bytes {
        serde_json::to_vec(self).expect("progress serializes").into()
    }

    pub fn decode(value: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(value)
    }
}

/// The rows that the next transaction writes or removes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteStep {
    Put {
        rows: Range<usize>,
        progress: WriteProgress,
    },
    /// Removes rows of another record, the last ones first.
    Remove {
        rows: Range<usize>,
        progress: WriteProgress,
    },
    /// Writes the first row and those that are left.
    Commit {
        rows: Range<usize>,
    },
}

/// The rows of a record to be stored.
#[derive(Debug, Clone)]
pub struct RecordWrite {
    rows: Vec<Bytes>,
    digest: Box<str>,
    limits: WriteLimits,
}

impl RecordWrite {
    pub fn new(record: &TurnRecord, limits: WriteLimits) -> Self {
        let value = record.encode();
        if value.len() <= limits.row_bytes {
            return Self::of_rows(vec![value], limits);
        }
        let value = record.encode_with_length();
        let ranges = split_value(value.len(), limits.row_bytes);
        let rows: Vec<Bytes> = ranges.into_iter().map(|range| value.slice(range)).collect();
        if limits.fitting(&rows, 0) == rows.len() {
            return Self::of_rows(rows, limits);
        }
        Self::of_rows(split_in_head(&value, limits.row_bytes), limits)
    }

    fn of_rows(rows: Vec<Bytes>, limits: WriteLimits) -> Self {
        let mut hasher = Xxh3::new();
        for row in &rows {
            hasher.update(&row.len().to_le_bytes());
            hasher.update(row);
        }
        let digest = format!("{:032x}", hasher.digest128()).into();
        Self { rows, digest, limits }
    }

    pub fn rows(&self) -> &[Bytes] {
        &self.rows
    }

    /// The step that follows `progress`, which is the stored one.
    pub fn step(&self, progress: Option<&WriteProgress>) -> WriteStep {
        let written = match progress {
            Some(progress) if progress.digest == self.digest => progress.written,
            Some(progress) if progress.written > 0 => return self.removal(progress),
            Some(_) | None => 0,
        };
        let start = (written + 1).min(self.rows.len());
        let head = self.limits.encoded_bytes(&self.rows[0]);
        let left = &self.rows[start..];
        if self.limits.fitting(left, head) == left.len() {
            return WriteStep::Commit { rows: start..self.rows.len() };
        }
        let end = start + self.limits.fitting(left, 0).max(1);
        let progress = WriteProgress { digest: self.digest.clone(), written: end - 1 };
        WriteStep::Put { rows: start..end, progress }
    }

    fn removal(&self, progress: &WriteProgress) -> WriteStep {
        let end = progress.written + 1;
        let start = end.saturating_sub(self.limits.transaction_rows).max(1);
        let left = WriteProgress { digest: progress.digest.clone(), written: start - 1 };
        WriteStep::Remove { rows: start..end, progress: left }
    }
}

/// Splits a record within the first line of its value. Without their first row, the others are no
/// record for earlier releases either, which take any rows of a turn for a record.
fn split_in_head(value: &Bytes, row_bytes: usize) -> Vec<Bytes> {
    let line = value.iter().position(|byte| *byte == b'\n').unwrap_or(0);
    let head = line.saturating_sub(1).clamp(1, row_bytes);
    let rest = value.slice(head..);
    let ranges = split_value(rest.len(), row_bytes);
    let rest = ranges.into_iter().map(|range| rest.slice(range));
    [value.slice(..head)].into_iter().chain(rest).collect()
}

/// Stored rows of one turn, by number.
#[derive(Debug, Clone, Default)]
pub struct StoredRows {
    rows: BTreeMap<usize, Bytes>,
    is_unfinished: bool,
}

impl StoredRows {
    pub fn insert(&mut self, number: usize, value: Bytes) {
        self.rows.insert(number, value);
    }

    /// Records that the progress of a write is stored.
    pub fn set_unfinished(&mut self) {
        self.is_unfinished = true;
    }

    /// The value of the record; `None` if the record is not stored completely.
    pub fn join(mut self) -> Option<Bytes> {
        if self.is_unfinished {
            // A commit removes the progress, so the other rows do not belong to the first one.
            self.rows.split_off(&1);
        }
        let last = *self.rows.last_key_value()?.0;
        if last + 1 != self.rows.len() {
            return None;
        }
        if last == 0 {
            return self.rows.remove(&0);
        }
        let mut joined = BytesMut::with_capacity(self.rows.values().map(Bytes::len).sum());
        self.rows.values().for_each(|row| joined.extend_from_slice(row));
        Some(joined.freeze())
    }
}
