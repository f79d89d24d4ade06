//! Bodies of journal batches: in the row if they are small, else in an object that it names.

use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use super::instance::Node;
use super::journal::{FIRST_RETRY, MAX_RETRY};
use super::ownership::object_name;
use super::platform::StoreError;
use crate::core::history::{JournalBatch, JournalRecord};
use crate::core::ids::ObjectName;
use crate::core::timeline::CausalStamp;

/// Largest body that goes into the table; rows are small in most tables, and slow when large.
const INLINE_BYTES: usize = 32 * 1024;

/// A batch as its row keeps it.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(tag = "kept", rename_all = "snake_case")]
pub(crate) enum BatchRow {
    Inline(JournalBatch),
    Object { stamp: CausalStamp, object: ObjectName },
}

impl BatchRow {
    /// The object with the records, if they are not in the row.
    pub(crate) fn object(&self) -> Option<&ObjectName> {
        match self {
            Self::Inline(_) => None,
            Self::Object { object, .. } => Some(object),
        }
    }
}

impl Node {
    /// Makes a batch's row. A large body is stored first, so that a row never names an object
    /// that is not there; built again, the batch has the same records and so the same name.
    pub(super) async fn batch_row(&self, records: &[JournalRecord]) -> BatchRow {
        let body = serde_json::to_vec(records).expect("records serialize");
        if body.len() <= INLINE_BYTES {
            return BatchRow::Inline(JournalBatch {
                stamp: self.stamp(),
                records: records.to_vec(),
            });
        }
        let object = object_name("batch", self.incarnation(), &body);
        let mut retry = FIRST_RETRY;
        loop {
            self.metrics.record_store_write();
            let stored = self.objects.put(&object, body.clone().into()).await;
            self.journal.set_failing(stored.is_err());
            if stored.is_ok() {
                return BatchRow::Object { stamp: self.stamp(), object };
            }
            sleep(retry).await;
            retry = (retry * 2).min(MAX_RETRY);
        }
    }

    /// Reads a batch back.
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
