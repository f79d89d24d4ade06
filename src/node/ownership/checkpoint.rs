//! Writes checkpoints of the served shards, which bound the journal that a takeover has to read,
//! and trims the journal behind them.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use bytes::Bytes;
use tokio::time::sleep;

use super::load::ShardCheckpoint;
use super::segments::{SegmentPlan, object_name};
use super::shard_key;
use crate::core::ids::{Incarnation, ObjectName, ShardId, shard_of};
use crate::core::ownership::{ShardRow, ShardView};
use crate::node::instance::Node;
use crate::node::journal::batch_key;
use crate::node::platform::{CommitReply, StoreError, TableTransaction};

const MAX_TRIM_BATCHES: u64 = 256;

impl Node {
    pub(crate) fn spawn_checkpoints(self: Rc<Self>) {
        let interval = self.settings.limits.checkpoint_interval();
        actix_rt::spawn(async move {
            let mut trimmed = 0;
            let mut epoch = self.incarnation();
            let mut last_sequence = 0;
            while !self.is_stopped() {
                sleep(interval).await;
                self.remove_expired_programs();
                if epoch != self.incarnation() {
                    (epoch, trimmed, last_sequence) = (self.incarnation(), 0, 0);
                }
                if let Err(error) = self.collect_incarnations().await {
                    self.event("collection_failed").detail(error.to_string()).log();
                }
                let sequence = self.journal.next_sequence();
                if sequence == last_sequence && !self.depends_on_other_journals() {
                    continue;
                }
                match self.checkpoint().await {
                    Ok(()) => last_sequence = sequence,
                    Err(error) => {
                        self.event("checkpoint_failed").detail(error.to_string()).log();
                        continue;
                    }
                }
                if let Ok(until) = self.trim_journal(trimmed).await {
                    trimmed = until;
                }
            }
        });
    }

    fn remove_expired_programs(&self) {
        let before = self.wall().saturating_sub(self.settings.limits.retention());
        self.book.borrow_mut().remove_expired(before.as_millis() as u64);
    }

    /// Records are applied to the book only once their batch is durable, so the book reflects
    /// exactly the batches below `next_sequence`.
    pub(crate) async fn checkpoint(&self) -> Result<(), StoreError> {
        let epoch = self.incarnation();
        let sequence = self.journal.next_sequence();
        let views = self.served_views();
        if views.is_empty() {
            return Ok(());
        }
        let shards: Vec<ShardId> = views.keys().copied().collect();
        let mut checkpoint = ShardCheckpoint::default();
        let mut plan = SegmentPlan::new(epoch);
        for shard in &shards {
            let book = self.book.borrow();
            for program in book.shard(*shard) {
                plan.add(program);
            }
            let lists = plan.close_shard(*shard);
            let stored = book.shard(*shard).zip(lists);
            let stored = stored.map(|(program, list)| program.without_turns(list.segments));
            checkpoint.programs.extend(stored);
        }
        let body = serde_json::to_vec(&checkpoint).expect("programs serialize");
        // The name contains a hash of the content: a retry at the same sequence may cover fewer
        // shards, and an object that rows refer to must not change.
        let object = object_name("checkpoint", epoch, &body);
        let bytes = body.len() + plan.bytes();
        let puts = plan.objects.len() + 1;
        self.unmark_plan_garbage(&plan, &object);
        if let Err(error) = self.put_objects(&plan, &object, body.into()).await {
            self.mark_plan_garbage(&plan, &object, &BTreeSet::new());
            return Err(error);
        }
        let previous = self.checkpoint_objects(&shards);
        let mut transaction = self.fenced(TableTransaction::default());
        let unchanged = self.served_views();
        // A shard may have been handed over while the object was stored. Its row then refers to
        // batches that the checkpoint lacks and that would be lost.
        let mut included = BTreeSet::new();
        for (shard, view) in views.iter().filter(|(shard, view)| unchanged.get(shard) == Some(view))
        {
            included.insert(*shard);
            let row = view.row.checkpointed(object.clone(), sequence);
            let key = shard_key(*shard);
            transaction = transaction.check(key.clone(), view.version).put(key, &row);
        }
        if epoch != self.incarnation() {
            return Ok(());
        }
        // A conflict does not prove that nothing was written: the table's client may have retried.
        if self.commit_fenced(&transaction).await == Ok(CommitReply::Committed) {
            self.mark_plan_garbage(&plan, &object, &included);
        } else {
            let names = plan.objects.iter().map(|part| part.name.clone());
            self.segments.borrow_mut().record_indeterminate(names.chain([object.clone()]));
        }
        self.reread_shards(&shards).await?;
        let written: Vec<ShardId> = {
            let table = self.shards.borrow();
            let is_written = |shard: &ShardId| {
                table.view(*shard).and_then(|view| view.row.checkpoint.clone())
                    == Some(object.clone())
            };
            shards.into_iter().filter(is_written).collect()
        };
        if written.is_empty() {
            return Ok(());
        }
        self.segments.borrow_mut().record_checkpoint(&written, &plan, previous);
        let lists = plan.lists.into_iter().filter(|list| written.contains(&shard_of(list.program)));
        for list in lists {
            if let Some(program) = self.book.borrow_mut().get_mut(list.program) {
                program.segments = list.segments;
            }
        }
        self.delete_garbage().await?;
        let count = checkpoint.programs.len();
        let detail = format!("programs={count} next={sequence} bytes={bytes} objects={puts}");
        self.event("checkpoint_written").detail(detail).log();
        Ok(())
    }

    async fn put_objects(
        &self,
        plan: &SegmentPlan,
        object: &ObjectName,
        body: Bytes,
    ) -> Result<(), StoreError> {
        for part in &plan.objects {
            self.metrics.record_store_write();
            self.objects.put(&part.name, part.body.clone()).await?;
        }
        self.metrics.record_store_write();
        self.objects.put(object, body).await
    }

    /// A failed checkpoint marks its objects as garbage, and a later one with the same turns has
    /// the same object names. If the reply to its transaction is lost, rows may refer to objects
    /// that are still marked, and deleting them would lose history.
    fn unmark_plan_garbage(&self, plan: &SegmentPlan, object: &ObjectName) {
        let mut index = self.segments.borrow_mut();
        index.unmark_garbage(plan.objects.iter().map(|part| &part.name).chain([object]));
    }

    /// Marks the plan's objects except for those of `included` shards.
    fn mark_plan_garbage(
        &self,
        plan: &SegmentPlan,
        object: &ObjectName,
        included: &BTreeSet<ShardId>,
    ) {
        let unused = plan.objects.iter().filter(|part| !included.contains(&part.shard));
        let mut index = self.segments.borrow_mut();
        index.mark_garbage(unused.map(|part| part.name.clone()));
        if included.is_empty() {
            index.mark_garbage([object.clone()]);
        }
    }

    /// If true, an instance without calls must write a checkpoint as well, or the journals of
    /// previous owners are never collected.
    fn depends_on_other_journals(&self) -> bool {
        let me = self.incarnation();
        let views = self.served_views();
        views.values().flat_map(|view| &view.row.spans).any(|span| span.incarnation != me)
    }

    /// Excludes shards that are still served here but already belong to another owner.
    fn served_views(&self) -> BTreeMap<ShardId, ShardView> {
        let me = self.identity();
        let table = self.shards.borrow();
        let mine = table.serving().filter(|shard| table.owner(*shard) == Some(&me));
        mine.filter_map(|shard| Some((shard, table.view(shard)?.clone()))).collect()
    }

    fn checkpoint_objects(&self, shards: &[ShardId]) -> BTreeSet<Box<str>> {
        let table = self.shards.borrow();
        let rows = shards.iter().filter_map(|shard| table.view(*shard));
        rows.filter_map(|view| view.row.checkpoint.clone()).collect()
    }

    /// Shards that share an object may have moved to other instances, so all rows are read first.
    /// A single transaction puts an object into rows, and it has been committed by now, so no row
    /// can refer to the object later.
    async fn delete_garbage(&self) -> Result<(), StoreError> {
        self.scan_shards().await?;
        let all: Vec<ShardId> = (0..self.settings.shards).collect();
        let used = self.checkpoint_objects(&all);
        let mut garbage = self.segments.borrow_mut().take_garbage();
        garbage.retain(|object| !used.contains(object));
        let mut failed = BTreeSet::new();
        for object in garbage {
            self.metrics.record_store_write();
            if self.objects.delete(&object).await.is_err() {
                failed.insert(object);
            }
        }
        self.segments.borrow_mut().restore_garbage(failed);
        Ok(())
    }

    /// Deletes the batches of this incarnation that no shard needs; returns the first one kept.
    /// Reads the rows first, because a claim whose reply was lost may refer to batches that would
    /// be deleted. A claim after the scan refers to none before `written`.
    async fn trim_journal(&self, from: u64) -> Result<u64, StoreError> {
        let incarnation = self.incarnation();
        let written = self.journal.next_sequence();
        self.scan_shards().await?;
        if incarnation != self.incarnation() {
            return Ok(from);
        }
        let until = self.first_needed_batch(incarnation).min(written);
        let mut next = from;
        while next < until {
            let end = until.min(next + MAX_TRIM_BATCHES);
            let mut transaction = self.fenced(TableTransaction::default());
            for sequence in next..end {
                transaction = transaction.delete(batch_key(incarnation, sequence));
            }
            self.delete_batch_objects(end).await;
            self.commit_fenced(&transaction).await?;
            next = end;
        }
        Ok(next)
    }

    /// Runs before the rows are deleted: after a crash in between, the rows still refer to the
    /// objects that are left.
    async fn delete_batch_objects(&self, until: u64) {
        for object in self.journal.take_objects(until) {
            self.metrics.record_store_write();
            if self.objects.delete(&object).await.is_err() {
                self.segments.borrow_mut().mark_garbage([object]);
            }
        }
    }

    fn first_needed_batch(&self, incarnation: Incarnation) -> u64 {
        let table = self.shards.borrow();
        let first = |row: &ShardRow| {
            let spans = row.spans.iter().filter(|span| span.incarnation == incarnation);
            spans.map(|span| span.from).min()
        };
        let rows = (0..table.shards()).filter_map(|shard| table.view(shard));
        rows.filter_map(|view| first(&view.row)).min().unwrap_or(0)
    }
}
