//! Deletes the rows of incarnations that are over and that no shard's history needs.

use std::collections::{BTreeMap, BTreeSet};

use crate::core::ids::{Incarnation, InstanceId, ShardId};
use crate::core::ownership::IncarnationRow;
use crate::node::batch::BatchRow;
use crate::node::instance::Node;
use crate::node::journal::{UNFENCED, incarnation_key, journal_prefix};
use crate::node::platform::{StoreError, TableTransaction, parse_row, scan_all};

const INCARNATION_PREFIX: &str = "incarnation/";
/// Batches deleted in one transaction.
const COLLECT_CHUNK: usize = 256;

/// An incarnation's row as it was read.
struct KnownIncarnation {
    incarnation: Incarnation,
    instance: InstanceId,
    version: u64,
}

impl Node {
    /// Collects what this instance is responsible for, once.
    ///
    /// The incarnations are read before the shards: one that was fenced then can claim nothing
    /// more, so a shard that does not name it now never will. One that is not fenced yet but was
    /// replaced by a newer run of its instance is fenced, and collected in a later round.
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
            if needed.contains(&row.incarnation) || !self.collects(row.incarnation) {
                continue;
            }
            if row.version != UNFENCED {
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

    /// Incarnations that own a shard or whose journal some shard still needs, and this one.
    fn needed_incarnations(&self) -> BTreeSet<Incarnation> {
        let table = self.shards.borrow();
        let mut needed = BTreeSet::from([self.incarnation()]);
        for view in (0..table.shards()).filter_map(|shard| table.view(shard)) {
            needed.extend(view.row.owner.iter().map(|owner| owner.incarnation));
            needed.extend(view.row.spans.iter().map(|span| span.incarnation));
        }
        needed
    }

    /// Spreads the work; two instances that both think it is theirs do no harm.
    fn collects(&self, incarnation: Incarnation) -> bool {
        let table = self.shards.borrow();
        let shard = (incarnation % u64::from(table.shards())) as ShardId;
        table.desired_owner(shard) == Some(&self.settings.instance)
    }

    /// Closes the account first and deletes the incarnation's own row last, so that whoever
    /// stops on the way leaves something to find the rest by.
    async fn collect(&self, row: &KnownIncarnation) -> Result<(), StoreError> {
        self.close_account(row.incarnation).await?;
        loop {
            let prefix = journal_prefix(row.incarnation);
            let batches = self.table.scan(&prefix, None, COLLECT_CHUNK).await?;
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
