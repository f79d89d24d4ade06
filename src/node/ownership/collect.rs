//! Deletes the rows and journals of ended incarnations once no shard needs them.

use std::collections::{BTreeMap, BTreeSet};

use crate::core::ids::{Incarnation, InstanceId, ShardId};
use crate::core::ownership::IncarnationRow;
use crate::node::batch::BatchRow;
use crate::node::instance::Node;
use crate::node::journal::{UNFENCED_VERSION, incarnation_key, journal_prefix};
use crate::node::platform::{StoreError, TableTransaction, parse_row, scan_all};

const INCARNATION_PREFIX: &str = "incarnation/";
const COLLECT_PAGE_SIZE: usize = 256;

struct KnownIncarnation {
    incarnation: Incarnation,
    instance: InstanceId,
    version: u64,
}

impl Node {
    /// The incarnations are read before the shards: a fenced one can claim no shard, so a shard
    /// that does not refer to it after that never will. An unfenced one with a newer incarnation
    /// of the same instance is fenced now and collected in a later round.
    pub(super) async fn collect_incarnations(&self) -> Result<(), StoreError> {
        let known = self.known_incarnations().await?;
        self.scan_shards().await?;
        let needed = self.needed_incarnations();
        let mut newest: BTreeMap<&InstanceId, Incarnation> = BTreeMap::new();
        for row in &known {
            let last = newest.entry(&row.instance).or_default();
            *last = row.incarnation.max(*last);
        }
        for row in &known {
            if needed.contains(&row.incarnation) || !self.is_collector_of(row.incarnation) {
                continue;
            }
            if row.version != UNFENCED_VERSION {
                self.collect(row).await?;
            } else if newest[&row.instance] > row.incarnation {
                self.fence(row.incarnation).await?;
            }
        }
        Ok(())
    }

    async fn known_incarnations(&self) -> Result<Vec<KnownIncarnation>, StoreError> {
        let mut known = Vec::new();
        for found in scan_all(&*self.table, INCARNATION_PREFIX).await? {
            let number = found.key.strip_prefix(INCARNATION_PREFIX);
            let Some(incarnation) = number.and_then(|text| text.parse().ok()) else { continue };
            let row: IncarnationRow = parse_row(&found.row)?;
            let (instance, version) = (row.instance, found.row.version);
            known.push(KnownIncarnation { incarnation, instance, version });
        }
        Ok(known)
    }

    fn needed_incarnations(&self) -> BTreeSet<Incarnation> {
        let table = self.shards.borrow();
        let mut needed = BTreeSet::from([self.incarnation()]);
        for view in (0..table.shards()).filter_map(|shard| table.view(shard)) {
            needed.extend(view.row.owner.iter().map(|owner| owner.incarnation));
            needed.extend(view.row.spans.iter().map(|span| span.incarnation));
        }
        needed
    }

    /// Distributes the work over the instances; collecting an incarnation twice is harmless.
    fn is_collector_of(&self, incarnation: Incarnation) -> bool {
        let table = self.shards.borrow();
        let shard = (incarnation % u64::from(table.shards())) as ShardId;
        table.desired_owner(shard) == Some(&self.settings.instance)
    }

    /// Deletes the incarnation's own row last, so that an interrupted collection is resumed.
    async fn collect(&self, row: &KnownIncarnation) -> Result<(), StoreError> {
        self.close_account(row.incarnation).await?;
        loop {
            let prefix = journal_prefix(row.incarnation);
            let batches = self.table.scan(&prefix, None, COLLECT_PAGE_SIZE).await?;
            if batches.is_empty() {
                break;
            }
            let mut transaction = TableTransaction::default();
            for batch in batches {
                let row: BatchRow = parse_row(&batch.row)?;
                if let Some(object) = row.object() {
                    self.metrics.record_store_write();
                    self.objects.delete(object).await?;
                }
                transaction = transaction.delete(batch.key);
            }
            self.metrics.record_store_write();
            self.table.commit(&transaction).await?;
        }
        let key = incarnation_key(row.incarnation);
        let transaction = TableTransaction::default().check(key.clone(), row.version).delete(key);
        self.metrics.record_store_write();
        self.table.commit(&transaction).await?;
        self.event("incarnation_collected").detail(format!("of={}", row.incarnation)).log();
        Ok(())
    }
}
