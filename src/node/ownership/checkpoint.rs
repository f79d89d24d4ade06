//! Checkpoints: they bound what a takeover has to read, and let the journal be trimmed.

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

/// Batches deleted in one transaction.
const TRIM_CHUNK: u64 = 256;

impl Node {
    pub(crate) fn spawn_checkpoints(self: Rc<Self>) {
        let interval = self.settings.limits.checkpoint_interval();
        actix_rt::spawn(async move {
            let mut trimmed = 0;
            let mut epoch = self.incarnation();
            let mut last = 0;
            while !self.is_stopped() {
                sleep(interval).await;
                self.purge_ended();
                if epoch != self.incarnation() {
                    (epoch, trimmed, last) = (self.incarnation(), 0, 0);
                }
                if let Err(error) = self.collect_incarnations().await {
                    self.event("collection_failed").detail(error.to_string()).log();
                }
                let sequence = self.journal.next_sequence();
                if sequence == last && !self.leans_on_others() {
                    continue;
                }
                match self.checkpoint().await {
                    Ok(()) => last = sequence,
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

    fn purge_ended(&self) {
        let before = self.wall().saturating_sub(self.settings.limits.retention());
        self.book.borrow_mut().remove_expired(before.as_millis() as u64);
    }

    /// Writes all served shards as they are between two batches.
    ///
    /// The book shows exactly the batches below `next_sequence`: it takes records up when their
    /// batch is durable and not before.
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
        // Named by content: the same number may be tried again with fewer shards, and an object
        // that rows refer to must not change.
        let object = object_name("checkpoint", epoch, &body);
        let bytes = body.len() + plan.bytes();
        let puts = plan.objects.len() + 1;
        self.reclaim_plan(&plan, &object);
        if let Err(error) = self.put_objects(&plan, &object, body.into()).await {
            self.discard_plan(&plan, &object, &BTreeSet::new());
            return Err(error);
        }
        let former = self.checkpoint_objects(&shards);
        let mut transaction = self.fenced(TableTransaction::default());
        let unchanged = self.served_views();
        // A shard may have been handed over while the object was stored. Its row then names
        // batches that the object lacks; writing the checkpoint into it would lose them.
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
        // A conflict is no proof that nothing was written: a table's client may have tried twice.
        if self.commit_fenced(&transaction).await == Ok(CommitReply::Committed) {
            self.discard_plan(&plan, &object, &included);
        } else {
            let names = plan.objects.iter().map(|part| part.name.clone());
            self.segments.borrow_mut().leave_alone(names.chain([object.clone()]));
        }
        self.reread_shards(&shards).await?;
        let written: Vec<ShardId> = {
            let table = self.shards.borrow();
            let names = |shard: &ShardId| {
                table.view(*shard).and_then(|view| view.row.checkpoint.clone())
                    == Some(object.clone())
            };
            shards.into_iter().filter(names).collect()
        };
        if written.is_empty() {
            return Ok(());
        }
        self.segments.borrow_mut().stored(&written, &plan, former);
        let lists = plan.lists.into_iter().filter(|list| written.contains(&shard_of(list.program)));
        for list in lists {
            if let Some(program) = self.book.borrow_mut().get_mut(list.program) {
                program.segments = list.segments;
            }
        }
        self.drop_garbage().await?;
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

    /// Takes the objects of a plan back from what may be deleted.
    ///
    /// They are named by content. A checkpoint whose objects could not all be stored gave its names
    /// up; the next one, with the same turns, uses them again. If its reply is lost and a shard moves
    /// on with them, nobody here sees that they are in use: deleted, that history would be gone.
    fn reclaim_plan(&self, plan: &SegmentPlan, object: &ObjectName) {
        let mut index = self.segments.borrow_mut();
        index.reclaim(plan.objects.iter().map(|part| &part.name).chain([object]));
    }

    /// Gives up the objects of a plan, except for those of `included` shards.
    fn discard_plan(&self, plan: &SegmentPlan, object: &ObjectName, included: &BTreeSet<ShardId>) {
        let unused = plan.objects.iter().filter(|part| !included.contains(&part.shard));
        let mut index = self.segments.borrow_mut();
        index.discard(unused.map(|part| part.name.clone()));
        if included.is_empty() {
            index.discard([object.clone()]);
        }
    }

    /// Whether a served shard still needs the journal of an earlier owner. Without a checkpoint
    /// of its own, an instance that has no calls would keep the rows of the dead for ever.
    fn leans_on_others(&self) -> bool {
        let me = self.incarnation();
        let views = self.served_views();
        views.values().flat_map(|view| &view.row.spans).any(|span| span.incarnation != me)
    }

    /// The rows of the shards that are served here and that the table gives to this instance.
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

    /// Deletes objects that no shard's row names any more.
    ///
    /// One object serves many shards, some of which may be elsewhere by now; a row that was read
    /// before the object was made does not name it, and the object would be deleted while that
    /// shard needs it. So all rows are read first. That is enough: the one transaction that put
    /// the object into rows has happened, as one of its rows has come here.
    async fn drop_garbage(&self) -> Result<(), StoreError> {
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
        self.segments.borrow_mut().keep_garbage(failed);
        Ok(())
    }

    /// Deletes the batches of this incarnation that no shard needs; returns the first one kept.
    ///
    /// The rows are read first: a claim whose reply was lost names batches that this instance
    /// would else delete. A claim that comes after the scan names none before `written`.
    async fn trim_journal(&self, from: u64) -> Result<u64, StoreError> {
        let incarnation = self.incarnation();
        let written = self.journal.next_sequence();
        self.scan_shards().await?;
        if incarnation != self.incarnation() {
            return Ok(from);
        }
        let until = self.first_needed(incarnation).min(written);
        let mut next = from;
        while next < until {
            let end = until.min(next + TRIM_CHUNK);
            let mut transaction = self.fenced(TableTransaction::default());
            for sequence in next..end {
                transaction = transaction.delete(batch_key(incarnation, sequence));
            }
            self.drop_batch_objects(end).await;
            self.commit_fenced(&transaction).await?;
            next = end;
        }
        Ok(next)
    }

    /// Deletes the objects of batches below `until` before their rows, so that a crash in between
    /// leaves rows to find them by.
    async fn drop_batch_objects(&self, until: u64) {
        for object in self.journal.take_objects(until) {
            self.metrics.record_store_write();
            if self.objects.delete(&object).await.is_err() {
                self.segments.borrow_mut().discard([object]);
            }
        }
    }

    fn first_needed(&self, incarnation: Incarnation) -> u64 {
        let table = self.shards.borrow();
        let first = |row: &ShardRow| {
            let spans = row.spans.iter().filter(|span| span.incarnation == incarnation);
            spans.map(|span| span.from).min()
        };
        let rows = (0..table.shards()).filter_map(|shard| table.view(shard));
        rows.filter_map(|view| first(&view.row)).min().unwrap_or(0)
    }
}
