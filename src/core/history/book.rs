//! Holds all programs that an instance owns.

use std::collections::BTreeMap;

use super::program::ProgramRecord;
use super::record::JournalRecord;
use crate::core::ids::{ProgramId, ShardId, compose_program_id, shard_of};

/// Programs in id order, and so grouped by shard.
#[derive(Debug, Default)]
pub struct ProgramBook {
    programs: BTreeMap<ProgramId, ProgramRecord>,
}

impl ProgramBook {
    pub fn get(&self, program: ProgramId) -> Option<&ProgramRecord> {
        self.programs.get(&program)
    }

    pub fn get_mut(&mut self, program: ProgramId) -> Option<&mut ProgramRecord> {
        self.programs.get_mut(&program)
    }

    pub fn iter(&self) -> impl Iterator<Item = &ProgramRecord> {
        self.programs.values()
    }

    pub fn len(&self) -> usize {
        self.programs.len()
    }

    pub fn is_empty(&self) -> bool {
        self.programs.is_empty()
    }

    pub fn apply(&mut self, record: &JournalRecord) {
        let id = record.program();
        if let JournalRecord::Started { program, workspace, definition, start_key, parent } = record
        {
            let fresh = ProgramRecord::new(
                *program,
                workspace.clone(),
                definition.clone(),
                start_key.clone(),
                *parent,
            );
            self.programs.entry(id).or_insert(fresh);
            return;
        }
        if let Some(program) = self.programs.get_mut(&id) {
            program.apply(record);
        }
    }

    /// Removes programs that ended before `wall_millis` and are released everywhere. Until then a
    /// caller that lost its connection can still fetch the last answer.
    pub fn remove_expired(&mut self, wall_millis: u64) {
        self.programs.retain(|_, program| {
            let expired = program.ended.is_some_and(|end| end.wall_millis < wall_millis);
            !(expired && program.holders.is_empty())
        });
    }

    pub fn insert(&mut self, program: ProgramRecord) {
        self.programs.insert(program.id, program);
    }

    pub fn shard(&self, shard: ShardId) -> impl Iterator<Item = &ProgramRecord> {
        let first = compose_program_id(shard, 0, 0);
        self.programs
            .range(first..)
            .map(|(_, program)| program)
            .take_while(move |program| shard_of(program.id) == shard)
    }

    pub fn remove_shard(&mut self, shard: ShardId) {
        self.programs.retain(|id, _| shard_of(*id) != shard);
    }

    pub fn clear(&mut self) {
        self.programs.clear();
    }

    pub fn by_start_key(&self, workspace: &str, key: &str) -> Option<&ProgramRecord> {
        self.programs.values().find(|program| {
            &*program.workspace == workspace && program.start_key.as_deref() == Some(key)
        })
    }
}
