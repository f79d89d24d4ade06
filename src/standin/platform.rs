//! The platform's service in memory: table, objects and roster.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use async_trait::async_trait;
use bytes::Bytes;

use super::fault::{FaultSwitch, InjectedFault};
use crate::node::platform::{
    CommitReply, KeyedRow, ObjectStore, RosterEntry, RosterSource, RowKey, StoreError, StoredRow,
    TableStore, TableTransaction,
};

/// A table, an object store and a roster that last as long as the process.
#[derive(Default)]
pub struct StandinPlatform {
    pub faults: FaultSwitch,
    rows: RefCell<BTreeMap<RowKey, StoredRow>>,
    /// Last versions of deleted rows, so that versions never fall.
    graves: RefCell<BTreeMap<RowKey, u64>>,
    objects: RefCell<BTreeMap<Box<str>, Bytes>>,
    roster: RefCell<Vec<RosterEntry>>,
    writes: Cell<u64>,
    reads: Cell<u64>,
}

impl StandinPlatform {
    pub fn new(roster: Vec<RosterEntry>) -> Rc<Self> {
        Rc::new(Self { roster: RefCell::new(roster), ..Self::default() })
    }

    /// Replaces the roster.
    pub fn set_roster(&self, roster: Vec<RosterEntry>) {
        *self.roster.borrow_mut() = roster;
    }

    /// Changes one entry of the roster.
    pub fn update_roster(&self, id: &str, change: impl FnOnce(&mut RosterEntry)) {
        let mut roster = self.roster.borrow_mut();
        if let Some(entry) = roster.iter_mut().find(|entry| &*entry.id == id) {
            change(entry);
        }
    }

    /// Table transactions and object writes so far, failed checks included.
    pub fn writes(&self) -> u64 {
        self.writes.get()
    }

    pub fn reads(&self) -> u64 {
        self.reads.get()
    }

    /// A row, past all faults; for the checks of tests.
    pub fn peek(&self, key: &str) -> Option<StoredRow> {
        self.rows.borrow().get(key).cloned()
    }

    /// Names of all objects, past all faults.
    pub fn peek_objects(&self) -> Vec<Box<str>> {
        self.objects.borrow().keys().cloned().collect()
    }

    /// Keys below a prefix, past all faults.
    pub fn peek_keys(&self, prefix: &str) -> Vec<RowKey> {
        let rows = self.rows.borrow();
        rows.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    fn version(&self, key: &str) -> u64 {
        self.rows.borrow().get(key).map_or(0, |row| row.version)
    }

    fn apply(&self, transaction: &TableTransaction) -> CommitReply {
        self.writes.set(self.writes.get() + 1);
        let failed =
            |check: &&crate::node::platform::RowCheck| self.version(&check.key) != check.version;
        let conflicts: Vec<RowKey> =
            transaction.checks.iter().filter(failed).map(|check| check.key.clone()).collect();
        if !conflicts.is_empty() {
            return CommitReply::Conflict(conflicts);
        }
        for write in &transaction.writes {
            self.write(&write.key, write.value.clone());
        }
        CommitReply::Committed
    }

    fn write(&self, key: &str, value: Option<Box<str>>) {
        let mut rows = self.rows.borrow_mut();
        let mut graves = self.graves.borrow_mut();
        let last = rows.get(key).map(|row| row.version).or(graves.get(key).copied());
        let version = last.unwrap_or(0) + 1;
        match value {
            Some(value) => {
                graves.remove(key);
                rows.insert(key.into(), StoredRow { version, value });
            }
            None => {
                rows.remove(key);
                graves.insert(key.into(), version);
            }
        }
    }

    async fn enter(&self) -> Result<(), StoreError> {
        self.faults.enter().await.map_err(store_error)
    }

    async fn leave(&self) -> Result<(), StoreError> {
        self.faults.leave().await.map_err(store_error)
    }
}

pub(super) fn store_error(fault: InjectedFault) -> StoreError {
    match fault {
        InjectedFault::Outage => StoreError::Unavailable,
        InjectedFault::ReplyLost => StoreError::ReplyLost,
    }
}

#[async_trait(?Send)]
impl TableStore for StandinPlatform {
    async fn commit(&self, transaction: &TableTransaction) -> Result<CommitReply, StoreError> {
        self.enter().await?;
        let reply = self.apply(transaction);
        self.leave().await?;
        Ok(reply)
    }

    async fn read(&self, keys: &[RowKey]) -> Result<Vec<Option<StoredRow>>, StoreError> {
        self.enter().await?;
        self.reads.set(self.reads.get() + 1);
        let found = keys.iter().map(|key| self.rows.borrow().get(key).cloned()).collect();
        self.leave().await?;
        Ok(found)
    }

    async fn scan(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
    ) -> Result<Vec<KeyedRow>, StoreError> {
        self.enter().await?;
        self.reads.set(self.reads.get() + 1);
        let start: RowKey = after.unwrap_or(prefix).into();
        let page = {
            let rows = self.rows.borrow();
            let following = rows.range(start..).skip_while(|(key, _)| Some(&***key) == after);
            let below = following.take_while(|(key, _)| key.starts_with(prefix));
            let keyed = below.map(|(key, row)| KeyedRow { key: key.clone(), row: row.clone() });
            keyed.take(limit).collect()
        };
        self.leave().await?;
        Ok(page)
    }
}

#[async_trait(?Send)]
impl ObjectStore for StandinPlatform {
    async fn put(&self, name: &str, body: Bytes) -> Result<(), StoreError> {
        self.enter().await?;
        self.writes.set(self.writes.get() + 1);
        self.objects.borrow_mut().insert(name.into(), body);
        self.leave().await
    }

    async fn get(&self, name: &str) -> Result<Option<Bytes>, StoreError> {
        self.enter().await?;
        self.reads.set(self.reads.get() + 1);
        let found = self.objects.borrow().get(name).cloned();
        self.leave().await?;
        Ok(found)
    }

    async fn delete(&self, name: &str) -> Result<(), StoreError> {
        self.enter().await?;
        self.writes.set(self.writes.get() + 1);
        self.objects.borrow_mut().remove(name);
        self.leave().await
    }
}

#[async_trait(?Send)]
impl RosterSource for StandinPlatform {
    async fn list(&self) -> Result<Vec<RosterEntry>, StoreError> {
        self.enter().await?;
        Ok(self.roster.borrow().clone())
    }
}
