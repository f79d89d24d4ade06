//! Rebuilds a shard's programs from its checkpoint and journal for a new owner.

use std::collections::BTreeMap;
use std::rc::Rc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::core::history::{JournalBatch, JournalRecord, ProgramBook, ProgramRecord, TurnRecord};
use crate::core::ids::{Incarnation, ShardId, shard_of};
use crate::core::outcome::{CallOutcome, UnknownCall};
use crate::core::ownership::{JournalSpan, ShardPhase, ShardRow};
use crate::node::instance::Node;
use crate::node::journal::{JournalError, batch_key, journal_prefix};
use crate::node::platform::{StoreError, parse_row};

/// Programs of one or more shards at a batch boundary of their owner's journal.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(super) struct ShardCheckpoint {
    pub(super) programs: Vec<ProgramRecord>,
}

/// Batches and checkpoints that several shards share, so that each is read once.
#[derive(Default)]
struct BatchCache {
    batches: BTreeMap<(Incarnation, u64), JournalBatch>,
    checkpoints: BTreeMap<Box<str>, Rc<ShardCheckpoint>>,
}

const JOURNAL_PAGE_SIZE: usize = 256;

impl Node {
    pub(super) async fn load_shards(
        &self,
        shards: &[ShardId],
    ) -> Result<Vec<ProgramRecord>, StoreError> {
        let mut cache = BatchCache::default();
        let mut programs = Vec::new();
        for shard in shards {
            let row = self.shards.borrow().view(*shard).cloned().unwrap_or_default().row;
            programs.extend(self.load_shard(*shard, &row, &mut cache).await?);
        }
        Ok(programs)
    }

    async fn load_shard(
        &self,
        shard: ShardId,
        row: &ShardRow,
        cache: &mut BatchCache,
    ) -> Result<Vec<ProgramRecord>, StoreError> {
        let mut book = ProgramBook::default();
        if let Some(object) = &row.checkpoint {
            let checkpoint = self.load_checkpoint(object, cache).await?;
            let mine = checkpoint.programs.iter().filter(|program| shard_of(program.id) == shard);
            for program in mine {
                let unloaded_turns = program.stored_turns();
                book.insert(ProgramRecord { unloaded_turns, ..program.clone() });
            }
        }
        for span in &row.spans {
            // The open span belongs to this incarnation and has no records of the shard yet.
            let Some(until) = span.until else { continue };
            self.load_span(span, until, cache).await?;
            for sequence in span.from..until {
                let batch = &cache.batches[&(span.incarnation, sequence)];
                let of_shard = |record: &&JournalRecord| shard_of(record.program()) == shard;
                for record in batch.records.iter().filter(of_shard) {
                    book.apply(record);
                }
            }
        }
        Ok(book.iter().cloned().collect())
    }

    async fn load_checkpoint(
        &self,
        object: &str,
        cache: &mut BatchCache,
    ) -> Result<Rc<ShardCheckpoint>, StoreError> {
        if let Some(found) = cache.checkpoints.get(object) {
            return Ok(found.clone());
        }
        let body: Bytes = self.objects.get(object).await?.ok_or_else(|| missing(object))?;
        let parsed: ShardCheckpoint = serde_json::from_slice(&body)
            .map_err(|error| StoreError::Malformed { message: error.to_string().into() })?;
        let checkpoint = Rc::new(parsed);
        cache.checkpoints.insert(object.into(), checkpoint.clone());
        Ok(checkpoint)
    }

    /// Fails if a batch is missing: a shard is not served with a gap in its history.
    async fn load_span(
        &self,
        span: &JournalSpan,
        until: u64,
        cache: &mut BatchCache,
    ) -> Result<(), StoreError> {
        let prefix = journal_prefix(span.incarnation);
        let mut next = span.from;
        while next < until {
            if cache.batches.contains_key(&(span.incarnation, next)) {
                next += 1;
                continue;
            }
            let after = next.checked_sub(1).map(|last| batch_key(span.incarnation, last));
            let page = self.table.scan(&prefix, after.as_deref(), JOURNAL_PAGE_SIZE).await?;
            let expected = batch_key(span.incarnation, next);
            if page.first().is_none_or(|row| row.key != expected) {
                return Err(missing(&expected));
            }
            for (sequence, found) in (next..until).zip(&page) {
                let batch = self.read_batch(parse_row(&found.row)?).await?;
                self.observe_stamp(batch.stamp);
                cache.batches.insert((span.incarnation, sequence), batch);
            }
        }
        Ok(())
    }

    /// A previous owner may have sent an intent that has no result; its outcome stays unknown and
    /// it is not sent again. This is durable before the shards accept calls.
    pub(super) async fn serve_shards(
        &self,
        shards: &[ShardId],
        programs: Vec<ProgramRecord>,
    ) -> Result<(), JournalError> {
        let now = Instant::now();
        let resolved: Vec<JournalRecord> = programs.iter().filter_map(resolve_intent).collect();
        for shard in shards {
            self.book.borrow_mut().remove_shard(*shard);
        }
        self.segments.borrow_mut().record_loaded(shards, &programs);
        for mut program in programs {
            program.last_active = Some(now);
            self.book.borrow_mut().insert(program);
        }
        if !resolved.is_empty() {
            self.journal.append(self.incarnation(), resolved).await?;
        }
        for shard in shards {
            self.shards.borrow_mut().set_phase(*shard, ShardPhase::Serving);
        }
        self.shards_changed.notify_waiters();
        Ok(())
    }
}

fn resolve_intent(program: &ProgramRecord) -> Option<JournalRecord> {
    let intent = program.intent.as_ref()?;
    let message = "the program's owner was lost while the call was under way";
    let turn = TurnRecord {
        number: intent.number,
        request_id: intent.request_id.clone(),
        input: intent.input.clone(),
        target: intent.target.clone(),
        outcome: CallOutcome::Unknown(UnknownCall { message: message.into(), retryable: false }),
    };
    Some(JournalRecord::Finished { program: program.id, turn })
}

fn missing(key: &str) -> StoreError {
    StoreError::Malformed { message: format!("'{key}' is missing").into() }
}
