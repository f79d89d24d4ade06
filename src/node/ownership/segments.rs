//! Stores new turns of programs as segment objects for checkpoints, loads them when a program is
//! called again, and tracks which objects can be deleted.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::Bytes;
use xxhash_rust::xxh3::xxh3_128;

use crate::core::history::{ProgramRecord, SegmentList, SegmentObject, SegmentRef, TurnRecord};
use crate::core::ids::{Incarnation, ObjectName, ProgramId, ShardId, shard_of};
use crate::core::outcome::{CallRefusal, RefusalReason};
use crate::node::instance::Node;
use crate::node::platform::StoreError;

/// Approximate text per segment object; bounds the data read to load one program's turns.
const TARGET_SEGMENT_BYTES: usize = 1024 * 1024;
/// Programs that reach it are compacted into one segment.
const MAX_PROGRAM_SEGMENTS: usize = 16;
const LOAD_RETRY_DELAY: Duration = Duration::from_secs(1);

pub(super) struct PlannedObject {
    pub(super) shard: ShardId,
    pub(super) name: ObjectName,
    pub(super) body: Bytes,
}

/// The segment objects of one checkpoint, and each program's segments after it.
pub(super) struct SegmentPlan {
    epoch: Incarnation,
    pub(super) objects: Vec<PlannedObject>,
    pub(super) lists: Vec<SegmentList>,
    pending: SegmentObject,
    pending_bytes: usize,
    shard_lists: Vec<SegmentList>,
}

/// The name is unique to the content and the incarnation. No other owner stores an object under
/// it, so a late deletion by a deposed owner never removes an object in use.
pub(crate) fn object_name(kind: &str, epoch: Incarnation, body: &[u8]) -> ObjectName {
    format!("{kind}/{epoch:012}/{:032x}", xxh3_128(body)).into()
}

impl SegmentPlan {
    pub(super) fn new(epoch: Incarnation) -> Self {
        Self {
            epoch,
            objects: Vec::new(),
            lists: Vec::new(),
            pending: SegmentObject::default(),
            pending_bytes: 0,
            shard_lists: Vec::new(),
        }
    }

    pub(super) fn bytes(&self) -> usize {
        self.objects.iter().map(|object| object.body.len()).sum()
    }

    /// Adds the program's unstored turns, or all turns if it is compacted.
    pub(super) fn add(&mut self, program: &ProgramRecord) {
        let compact = program.segments.len() >= MAX_PROGRAM_SEGMENTS && program.unloaded_turns == 0;
        let (kept, turns) = match compact {
            true => (Vec::new(), &program.turns[..]),
            false => (program.segments.clone(), program.unstored_turns()),
        };
        self.shard_lists.push(SegmentList { program: program.id, segments: kept });
        if !turns.is_empty() {
            self.pending_bytes += turns.iter().map(turn_bytes).sum::<usize>();
            self.pending.programs.insert(program.id, turns.to_vec());
        }
        if self.pending_bytes >= TARGET_SEGMENT_BYTES {
            self.close_object(shard_of(program.id));
        }
    }

    /// Finishes a shard, as an object never holds programs of two shards; returns the segments of
    /// its programs.
    pub(super) fn close_shard(&mut self, shard: ShardId) -> Vec<SegmentList> {
        self.close_object(shard);
        let lists = std::mem::take(&mut self.shard_lists);
        debug_assert!(lists.iter().all(|list| shard_of(list.program) == shard));
        self.lists.extend(lists.iter().cloned());
        lists
    }

    fn close_object(&mut self, shard: ShardId) {
        let pending = std::mem::take(&mut self.pending);
        self.pending_bytes = 0;
        if pending.programs.is_empty() {
            return;
        }
        let body = serde_json::to_vec(&pending).expect("turns serialize");
        let name = object_name("segment", self.epoch, &body);
        for list in &mut self.shard_lists {
            if let Some(turns) = pending.programs.get(&list.program) {
                let turns = turns.len() as u32;
                list.segments.push(SegmentRef { object: name.clone(), turns });
            }
        }
        self.objects.push(PlannedObject { shard, name, body: body.into() });
    }
}

fn turn_bytes(turn: &TurnRecord) -> usize {
    let answer = match &turn.outcome {
        crate::core::outcome::CallOutcome::Answered(answer) => answer.text.len(),
        _ => 0,
    };
    turn.input.len() + answer
}

#[derive(Debug, Default)]
pub(crate) struct SegmentIndex {
    /// Objects used by the last checkpoint of each served shard.
    shards: BTreeMap<ShardId, BTreeSet<ObjectName>>,
    /// Deleted after the next successful checkpoint unless a row refers to them.
    garbage: BTreeSet<ObjectName>,
    /// Objects of checkpoints whose transaction may or may not have taken effect.
    indeterminate: BTreeSet<ObjectName>,
}

impl SegmentIndex {
    pub(super) fn record_loaded(&mut self, shards: &[ShardId], programs: &[ProgramRecord]) {
        for shard in shards {
            self.shards.insert(*shard, BTreeSet::new());
        }
        for program in programs {
            let used = self.shards.entry(shard_of(program.id)).or_default();
            used.extend(program.segments.iter().map(|segment| segment.object.clone()));
        }
    }

    /// The caller must be sure that nothing refers to the objects, now or later. Indeterminate ones
    /// are skipped, because rows may refer to them: a later checkpoint with the same turns has the
    /// same object names and marks them if it fails before its transaction.
    pub(super) fn mark_garbage(&mut self, objects: impl IntoIterator<Item = ObjectName>) {
        let unused = objects.into_iter().filter(|object| !self.indeterminate.contains(object));
        self.garbage.extend(unused);
    }

    pub(super) fn record_indeterminate(&mut self, objects: impl IntoIterator<Item = ObjectName>) {
        self.indeterminate.extend(objects);
    }

    /// Must be called before objects are stored, as they may be marked from an earlier attempt.
    pub(super) fn unmark_garbage<'a>(&mut self, objects: impl IntoIterator<Item = &'a ObjectName>) {
        for object in objects {
            self.garbage.remove(object);
        }
    }

    /// `previous` are the checkpoint objects that the rows of these shards referred to before.
    pub(super) fn record_checkpoint(
        &mut self,
        shards: &[ShardId],
        plan: &SegmentPlan,
        previous: BTreeSet<ObjectName>,
    ) {
        self.garbage.extend(previous);
        for shard in shards {
            let lists = plan.lists.iter().filter(|list| shard_of(list.program) == *shard);
            let used: BTreeSet<ObjectName> = lists
                .flat_map(|list| list.segments.iter().map(|segment| segment.object.clone()))
                .collect();
            self.indeterminate.retain(|object| !used.contains(object));
            let previous = self.shards.insert(*shard, used.clone()).unwrap_or_default();
            self.garbage.extend(previous.difference(&used).cloned());
            self.garbage.retain(|object| !used.contains(object));
        }
    }

    /// The caller must check that no row refers to the objects before it deletes them.
    pub(super) fn take_garbage(&mut self) -> BTreeSet<ObjectName> {
        std::mem::take(&mut self.garbage)
    }

    pub(super) fn restore_garbage(&mut self, objects: BTreeSet<ObjectName>) {
        self.garbage.extend(objects);
    }
}

impl Node {
    /// Loads the older turns of a program that was taken over; does nothing if they are loaded.
    pub(crate) async fn load_program_turns(&self, program: ProgramId) -> Result<(), CallRefusal> {
        let segments = {
            let book = self.book.borrow();
            book.get(program).map(ProgramRecord::unloaded_segments).unwrap_or_default()
        };
        if segments.is_empty() {
            return Ok(());
        }
        match self.read_segments(program, &segments).await {
            Ok(older) => {
                if let Some(record) = self.book.borrow_mut().get_mut(program) {
                    record.load_turns(older);
                }
                Ok(())
            }
            Err(error) => {
                self.event("history_unread").program(program).detail(error.to_string()).log();
                Err(CallRefusal::retry(RefusalReason::StoreUnavailable, LOAD_RETRY_DELAY))
            }
        }
    }

    async fn read_segments(
        &self,
        program: ProgramId,
        segments: &[SegmentRef],
    ) -> Result<Vec<TurnRecord>, StoreError> {
        let mut older = Vec::new();
        for segment in segments {
            let missing = || StoreError::Malformed {
                message: format!("'{}' lacks the program's turns", segment.object).into(),
            };
            let body = self.objects.get(&segment.object).await?.ok_or_else(missing)?;
            let mut object: SegmentObject = serde_json::from_slice(&body)
                .map_err(|error| StoreError::Malformed { message: error.to_string().into() })?;
            let turns = object.programs.remove(&program).ok_or_else(missing)?;
            older.extend(turns);
        }
        Ok(older)
    }
}
