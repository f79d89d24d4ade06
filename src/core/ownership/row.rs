//! The stored rows that record the owners of shards and the state of incarnations.

use serde::{Deserialize, Serialize};

use crate::core::ids::{Incarnation, InstanceId};

/// The owner of a shard, and the objects to load its programs from.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardRow {
    /// Absent before the first claim and after a handover.
    pub owner: Option<ShardOwner>,
    /// Object that holds the programs as of the start of the first span.
    pub checkpoint: Option<Box<str>>,
    /// Parts of journals to replay on the checkpoint, in order. The last is open while owned.
    pub spans: Vec<JournalSpan>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardOwner {
    pub instance: InstanceId,
    pub incarnation: Incarnation,
}

/// A range of batches in the journal of one incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalSpan {
    pub incarnation: Incarnation,
    pub from: u64,
    /// Batch after the last; absent while the incarnation writes to the span.
    pub until: Option<u64>,
}

impl ShardRow {
    /// Returns the row after a claim by `owner`, whose next batch is `sequence`.
    ///
    /// `ended_at` is the batch after the last one of the fenced former owner, if there was one.
    pub fn claimed(&self, owner: ShardOwner, sequence: u64, ended_at: u64) -> Self {
        let mut row = self.released(ended_at);
        let span = JournalSpan { incarnation: owner.incarnation, from: sequence, until: None };
        row.spans.push(span);
        row.owner = Some(owner);
        row
    }

    /// Returns the row after a release by the owner, whose next batch is `sequence`.
    pub fn released(&self, sequence: u64) -> Self {
        let mut row = self.clone();
        row.owner = None;
        if let Some(last) = row.spans.last_mut() {
            // After a checkpoint has trimmed the journal, `sequence` may precede the span's start.
            let until = sequence.max(last.from);
            last.until.get_or_insert(until);
        }
        row.spans.retain(|span| span.until != Some(span.from));
        row
    }

    /// Returns the row after a checkpoint that covers all batches before `sequence`.
    pub fn checkpointed(&self, object: Box<str>, sequence: u64) -> Self {
        let owner = self.owner.clone();
        let incarnation = owner.as_ref().map_or(0, |owner| owner.incarnation);
        let span = JournalSpan { incarnation, from: sequence, until: None };
        Self { owner, checkpoint: Some(object), spans: vec![span] }
    }
}

/// The stored state of an incarnation, written when it starts and when it is fenced.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct IncarnationRow {
    pub instance: InstanceId,
    /// The incarnation that fenced this one; absent while this one may write.
    pub fenced_by: Option<Incarnation>,
}
