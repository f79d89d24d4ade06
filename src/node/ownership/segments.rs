//! Writes new turns as segment objects, reads them back when a program is called again, and
//! tells which objects nobody needs any more.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::Bytes;
use xxhash_rust::xxh3::xxh3_128;

use crate::core::history::{ProgramRecord, SegmentList, SegmentObject, SegmentRef, TurnRecord};
use crate::core::ids::{Incarnation, ObjectName, ProgramId, ShardId, shard_of};
use crate::core::outcome::{CallRefusal, RefusalReason};
use crate::node::instance::Node;
use crate::node::platform::StoreError;

/// Text in one segment object, about. It bounds what reading one program's turns fetches.
const TARGET_SEGMENT_BYTES: usize = 1024 * 1024;
/// A program with more segments is written anew as one.
const MAX_PROGRAM_SEGMENTS: usize = 16;
const LOAD_RETRY_DELAY: Duration = Duration::from_secs(1);

/// An object to be put.
pub(super) struct PlannedObject {
    pub(super) shard: ShardId,
    pub(super) name: ObjectName,
    pub(super) body: Bytes,
}

/// The objects of one checkpoint, and the segments that programs have after it.
pub(super) struct SegmentPlan {
    epoch: Incarnation,
    pub(super) objects: Vec<PlannedObject>,
    pub(super) lists: Vec<SegmentList>,
    pending: SegmentObject,
    pending_bytes: usize,
    shard_lists: Vec<SegmentList>,
}

/// A name that no other content and no other incarnation gives.
///
/// An object that is deleted as unneeded is never put again by another owner, so a deposed owner
/// that deletes late deletes nothing that is in use.
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

    /// Adds a program's new turns, or all of them if it has many segments.
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

    /// Ends a shard: its objects hold no other shard's programs. Gives its programs' segments.
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

/// Segment objects in use by the last checkpoint of each served shard, and what can go.
#[derive(Debug, Default)]
pub(crate) struct SegmentIndex {
    shards: BTreeMap<ShardId, BTreeSet<ObjectName>>,
    /// Objects that the next successful checkpoint may delete unless a row names them.
    garbage: BTreeSet<ObjectName>,
    /// Objects of checkpoints whose transaction may have taken effect.
    indeterminate: BTreeSet<ObjectName>,
}

impl SegmentIndex {
    /// Shards were loaded with these programs.
    pub(super) fn record_loaded(&mut self, shards: &[ShardId], programs: &[ProgramRecord]) {
        for shard in shards {
            self.shards.insert(*shard, BTreeSet::new());
        }
        for program in programs {
            let used = self.shards.entry(shard_of(program.id)).or_default();
            used.extend(program.segments.iter().map(|segment| segment.object.clone()));
        }
    }

    /// Objects that nothing refers to and nothing ever will.
    ///
    /// Those of a checkpoint whose transaction went unanswered are not among them: it may have
    /// taken effect, and a shard may have moved on with references to them. They are left alone.
    ///
    /// A later checkpoint with the same turns has objects of the same names. If it fails before its
    /// transaction, it would else give up what the earlier one may have put into rows.
    pub(super) fn mark_garbage(&mut self, objects: impl IntoIterator<Item = ObjectName>) {
        let unused = objects.into_iter().filter(|object| !self.indeterminate.contains(object));
        self.garbage.extend(unused);
    }

    /// Keeps objects that rows may name, though nobody here has seen it.
    pub(super) fn record_indeterminate(&mut self, objects: impl IntoIterator<Item = ObjectName>) {
        self.indeterminate.extend(objects);
    }

    /// Objects that are about to be stored, again perhaps, and referred to.
    pub(super) fn unmark_garbage<'a>(&mut self, objects: impl IntoIterator<Item = &'a ObjectName>) {
        for object in objects {
            self.garbage.remove(object);
        }
    }

    /// A checkpoint stands in the rows of these shards. `former` are objects they named before.
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

    /// Takes what can be deleted if no row names it.
    pub(super) fn take_garbage(&mut self) -> BTreeSet<ObjectName> {
        std::mem::take(&mut self.garbage)
    }

    /// Puts back what could not be deleted.
    pub(super) fn restore_garbage(&mut self, objects: BTreeSet<ObjectName>) {
        self.garbage.extend(objects);
    }
}

impl Node {
    /// Reads the older turns of a program that was taken over, when it is first asked for.
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
