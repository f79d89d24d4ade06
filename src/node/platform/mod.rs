//! Interfaces of the platform: a transactional table, an object store, and the roster.

mod http;
mod timed;

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

pub use http::HttpPlatform;
pub(crate) use http::{ReadRequest, ScanRequest};
pub(crate) use timed::TimedPlatform;

/// A reply that takes longer counts as lost.
pub(crate) const STORE_TIMEOUT: Duration = Duration::from_secs(2);

pub type RowKey = Box<str>;

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredRow {
    /// 1 after the first write; incremented by every write, including a deletion.
    pub version: u64,
    pub value: Box<str>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyedRow {
    pub key: RowKey,
    pub row: StoredRow,
}

/// Precondition of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowCheck {
    pub key: RowKey,
    /// Expected version; 0 if the row must not exist.
    pub version: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowWrite {
    pub key: RowKey,
    /// `None` deletes the row.
    pub value: Option<Box<str>>,
}

/// Writes that are applied atomically if all checks hold.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableTransaction {
    pub checks: Vec<RowCheck>,
    pub writes: Vec<RowWrite>,
}

impl TableTransaction {
    pub fn check(mut self, key: impl Into<RowKey>, version: u64) -> Self {
        self.checks.push(RowCheck { key: key.into(), version });
        self
    }

    pub fn put(mut self, key: impl Into<RowKey>, value: &impl Serialize) -> Self {
        let value = serde_json::to_string(value).expect("rows serialize").into();
        self.writes.push(RowWrite { key: key.into(), value: Some(value) });
        self
    }

    pub fn delete(mut self, key: impl Into<RowKey>) -> Self {
        self.writes.push(RowWrite { key: key.into(), value: None });
        self
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CommitReply {
    Committed,
    /// Nothing was written; these rows failed their checks.
    Conflict(Vec<RowKey>),
}

impl CommitReply {
    pub fn conflicts_on(&self, key: &str) -> bool {
        matches!(self, Self::Conflict(keys) if keys.iter().any(|failed| &**failed == key))
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum StoreError {
    /// The operation had no effect.
    #[display("the platform's service is unavailable")]
    Unavailable,
    /// A write may have taken effect.
    #[display("the platform's reply was lost")]
    ReplyLost,
    #[display("the platform's answer is malformed: {message}")]
    Malformed { message: Box<str> },
}

#[async_trait(?Send)]
pub trait TableStore {
    async fn commit(&self, transaction: &TableTransaction) -> Result<CommitReply, StoreError>;

    /// Reads all keys from one consistent snapshot.
    async fn read(&self, keys: &[RowKey]) -> Result<Vec<Option<StoredRow>>, StoreError>;

    /// Returns up to `limit` rows in key order; `after` is exclusive.
    async fn scan(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
    ) -> Result<Vec<KeyedRow>, StoreError>;
}

/// A store of immutable objects.
#[async_trait(?Send)]
pub trait ObjectStore {
    async fn put(&self, name: &str, body: Bytes) -> Result<(), StoreError>;
    async fn get(&self, name: &str) -> Result<Option<Bytes>, StoreError>;
    async fn delete(&self, name: &str) -> Result<(), StoreError>;
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RosterRole {
    /// The address is the gossip address.
    Instance,
    Engine,
    Service,
}

/// One roster entry. The roster may be stale.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterEntry {
    pub id: Box<str>,
    pub role: RosterRole,
    /// Model of an engine or name of a service; empty for instances.
    pub group: Box<str>,
    pub address: Box<str>,
    pub leaving: bool,
}

/// Lists live and leaving instances and upstreams.
#[async_trait(?Send)]
pub trait RosterSource {
    async fn list(&self) -> Result<Vec<RosterEntry>, StoreError>;
}

pub fn parse_row<T: for<'de> Deserialize<'de>>(row: &StoredRow) -> Result<T, StoreError> {
    serde_json::from_str(&row.value)
        .map_err(|error| StoreError::Malformed { message: error.to_string().into() })
}

pub async fn scan_all(table: &dyn TableStore, prefix: &str) -> Result<Vec<KeyedRow>, StoreError> {
    const PAGE_SIZE: usize = 1024;
    let mut rows: Vec<KeyedRow> = Vec::new();
    loop {
        let after = rows.last().map(|row| row.key.clone());
        let page = table.scan(prefix, after.as_deref(), PAGE_SIZE).await?;
        let last = page.len() < PAGE_SIZE;
        rows.extend(page);
        if last {
            return Ok(rows);
        }
    }
}
