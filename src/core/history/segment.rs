//! Finished turns in immutable objects, so that a checkpoint writes only new turns.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::program::TurnRecord;
use crate::core::ids::{ObjectName, ProgramId};

/// Consecutive turns of one program in an object shared with other programs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SegmentRef {
    pub object: ObjectName,
    pub turns: u32,
}

/// Turns of programs of one shard. Only the shard's owner refers to the object, so the owner
/// decides when to delete it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct SegmentObject {
    pub programs: BTreeMap<ProgramId, Vec<TurnRecord>>,
}

/// A program's segments after a checkpoint.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SegmentList {
    pub program: ProgramId,
    pub segments: Vec<SegmentRef>,
}
