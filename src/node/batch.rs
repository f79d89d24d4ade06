//! Storage of journal batches: small ones in their table row, large ones in an object that the row
//! refers to.

use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use super::instance::Node;
use super::journal::{MAX_RETRY_DELAY, MIN_RETRY_DELAY};
use super::ownership::object_name;
use super::platform::StoreError;
use crate::core::history::{JournalBatch, JournalRecord};
use crate::core::ids::ObjectName;
use crate::core::timeline::CausalStamp;

/// Larger batches go to the object store, as most tables limit the size of a row.
const MAX_INLINE_BYTES: usize = 32 * 1024;

#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(tag = "kept", rename_all = "snake_case")]
pub(crate) enum BatchRow {
    Inline(JournalBatch),
    Object { stamp: CausalStamp, object: ObjectName },
}

impl BatchRow {
    pub(crate) fn object(&self) -> Option<&ObjectName> {
        match self {
            Self::Inline(_) => None,
            Self::Object { object, .. } => Some(object),
        }
    }
}

impl Node {
    /// Stores a large body before the row that refers to it is committed. A retry with the same
    /// records writes the same object.
    pub(super) async fn batch_row(&self, records: &[JournalRecord]) -> BatchRow {
        let body = serde_json::to_vec(records).expect("records serialize");
        if body.len() <= MAX_INLINE_BYTES {
            return BatchRow::Inline(JournalBatch {
                stamp: self.stamp(),
                records: records.to_vec(),
            });
        }
        let object = object_name("batch", self.incarnation(), &body);
        let mut retry = MIN_RETRY_DELAY;
        loop {
            self.metrics.record_store_write();
            let stored = self.objects.put(&object, body.clone().into()).await;
            self.journal.set_failing(stored.is_err());
            if stored.is_ok() {
                return BatchRow::Object { stamp: self.stamp(), object };
            }
            sleep(retry).await;
            retry = (retry * 2).min(MAX_RETRY_DELAY);
        }
    }

    pub(super) async fn read_batch(&self, row: BatchRow) -> Result<JournalBatch, StoreError> {
        let (stamp, object) = match row {
            BatchRow::Inline(batch) => return Ok(batch),
            BatchRow::Object { stamp, object } => (stamp, object),
        };
        let missing = || StoreError::Malformed { message: format!("'{object}' is missing").into() };
        let body = self.objects.get(&object).await?.ok_or_else(missing)?;
        let records = serde_json::from_slice(&body)
            .map_err(|error| StoreError::Malformed { message: error.to_string().into() })?;
        Ok(JournalBatch { stamp, records })
    }
}
