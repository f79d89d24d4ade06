//! Timeouts for every platform operation, independent of the client behind the interface.

use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use tokio::time::timeout;

use super::{
    CommitReply, KeyedRow, ObjectStore, RosterEntry, RosterSource, RowKey, StoreError, StoredRow,
    TableStore, TableTransaction,
};

/// Exceeds the client's own timeout, which also closes the unresponsive connection.
const PLATFORM_TIMEOUT: Duration = Duration::from_millis(2500);

/// Wraps a platform interface with timeouts.
///
/// A half-open connection would otherwise block its task, such as the journal's, forever. An
/// operation that timed out may still take effect, so it counts as a lost reply.
pub(crate) struct TimedPlatform<T: ?Sized> {
    inner: Rc<T>,
}

impl<T: ?Sized> TimedPlatform<T> {
    pub(crate) fn new(inner: Rc<T>) -> Rc<Self> {
        Rc::new(Self { inner })
    }
}

async fn with_timeout<T>(
    operation: impl Future<Output = Result<T, StoreError>>,
) -> Result<T, StoreError> {
    timeout(PLATFORM_TIMEOUT, operation).await.unwrap_or(Err(StoreError::ReplyLost))
}

#[async_trait(?Send)]
impl TableStore for TimedPlatform<dyn TableStore> {
    async fn commit(&self, transaction: &TableTransaction) -> Result<CommitReply, StoreError> {
        with_timeout(self.inner.commit(transaction)).await
    }

    async fn read(&self, keys: &[RowKey]) -> Result<Vec<Option<StoredRow>>, StoreError> {
        with_timeout(self.inner.read(keys)).await
    }

    async fn scan(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
    ) -> Result<Vec<KeyedRow>, StoreError> {
        with_timeout(self.inner.scan(prefix, after, limit)).await
    }
}

#[async_trait(?Send)]
impl ObjectStore for TimedPlatform<dyn ObjectStore> {
    async fn put(&self, name: &str, body: Bytes) -> Result<(), StoreError> {
        with_timeout(self.inner.put(name, body)).await
    }

    async fn get(&self, name: &str) -> Result<Option<Bytes>, StoreError> {
        with_timeout(self.inner.get(name)).await
    }

    async fn delete(&self, name: &str) -> Result<(), StoreError> {
        with_timeout(self.inner.delete(name)).await
    }
}

#[async_trait(?Send)]
impl RosterSource for TimedPlatform<dyn RosterSource> {
    async fn list(&self) -> Result<Vec<RosterEntry>, StoreError> {
        with_timeout(self.inner.list()).await
    }
}
