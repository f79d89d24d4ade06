//! Loads the chain of a turn: the turn with all its predecessors.

use std::collections::BTreeSet;
use std::rc::Rc;

use super::TurnManager;
use super::rows::{LEDGER_KEY, PROGRAMS_TABLE, index_key};
use crate::core::turns::{ChainLookup, ProgramName, TurnId, TurnRecord};
use crate::core::workspaces::{resolved_name, unmarked_name};
use crate::gateway::rows::RowRange;
use crate::node::platform::StoreError;

#[derive(Debug, Clone, PartialEq)]
pub(crate) enum ChainError {
    /// Confirmed by a read of the store.
    NoSuchTurn,
    Store(StoreError),
}

/// The records of a turn and its predecessors, whose inputs and outputs form the history that the
/// next turn continues from.
#[derive(Debug, Default)]
pub(crate) struct TurnChain {
    /// Oldest first.
    pub(crate) turns: Vec<Rc<TurnRecord>>,
    /// Author of the last turn, if it is a different program.
    pub(crate) origin: Option<ProgramName>,
}

impl TurnChain {
    /// Other programs whose turns are part of the chain.
    pub(crate) fn origins(&self) -> BTreeSet<ProgramName> {
        let earlier = self.turns.iter().filter_map(|turn| turn.origin.clone());
        earlier.chain(self.origin.clone()).collect()
    }
}

impl TurnManager {
    /// The chain that ends with `turn`.
    ///
    /// Missing turns are read from the program's own rows first, then found by the index: a program
    /// may continue from another program's turn.
    pub(super) async fn chain(
        &self,
        program: &ProgramName,
        turn: &TurnId,
    ) -> Result<TurnChain, ChainError> {
        let mut loaded: Vec<ProgramName> = Vec::new();
        loop {
            let missing = match self.lookup(turn) {
                ChainLookup::Complete(turns) => {
                    return Ok(self.complete_chain(program, turn, turns));
                }
                ChainLookup::Missing(missing) => missing,
            };
            let next = if loaded.contains(program) {
                self.program_of(&missing).await?
            } else {
                program.clone()
            };
            if loaded.contains(&next) {
                return Err(ChainError::NoSuchTurn);
            }
            self.load(&next).await.map_err(ChainError::Store)?;
            loaded.push(next);
        }
    }

    fn complete_chain(
        &self,
        program: &ProgramName,
        turn: &TurnId,
        turns: Vec<Rc<TurnRecord>>,
    ) -> TurnChain {
        let mut cache = self.cache.borrow_mut();
        let author = cache.program_of(turn);
        if let Some(author) = &author {
            cache.touch(author);
        }
        TurnChain { turns, origin: author.filter(|author| author != program) }
    }

    pub(super) fn has_chain(&self, turn: &TurnId) -> bool {
        matches!(self.lookup(turn), ChainLookup::Complete(_))
    }

    fn lookup(&self, turn: &TurnId) -> ChainLookup {
        self.cache.borrow().chain(turn)
    }

    async fn program_of(&self, turn: &TurnId) -> Result<ProgramName, ChainError> {
        if let Some(program) = self.indexed_program(turn).await? {
            return Ok(program);
        }
        // Releases that did not mark names indexed the turn under a name of a workspace's form.
        let unmarked: TurnId = unmarked_name(turn).ok_or(ChainError::NoSuchTurn)?.into();
        let program = self.indexed_program(&unmarked).await?;
        let program = program.filter(|program| resolved_name(&unmarked, program) == *turn);
        program.ok_or(ChainError::NoSuchTurn)
    }

    /// The program that the index names for a turn.
    async fn indexed_program(&self, turn: &TurnId) -> Result<Option<ProgramName>, ChainError> {
        let key = index_key(turn);
        let range = RowRange {
            table: key.table.clone(),
            partition: key.partition.clone(),
            from: Some(key.key.clone()),
            limit: Some(1),
        };
        let reply = self.store.range(&range).await.map_err(ChainError::Store)?;
        let row = reply.rows.into_iter().find(|row| row.key == key);
        let value = row.and_then(|row| row.value);
        Ok(value.and_then(|value| String::from_utf8(value.to_vec()).ok()).map(Into::into))
    }

    /// Reads the program's ledger without its turns.
    pub(super) async fn load_ledger(&self, program: &ProgramName) -> Result<(), StoreError> {
        let range = RowRange {
            table: PROGRAMS_TABLE.into(),
            partition: program.clone(),
            from: Some(LEDGER_KEY.into()),
            limit: Some(1),
        };
        let reply = self.store.range(&range).await?;
        let ledgers = reply.rows.into_iter().filter(|row| &*row.key.key == LEDGER_KEY);
        self.cache_rows(program, ledgers.collect());
        Ok(())
    }

    pub(super) async fn load(&self, program: &ProgramName) -> Result<(), StoreError> {
        let mut range = RowRange {
            table: PROGRAMS_TABLE.into(),
            partition: program.clone(),
            from: None,
            limit: None,
        };
        let mut rows = Vec::new();
        loop {
            let reply = self.store.range(&range).await?;
            rows.extend(reply.rows);
            let Some(last) = rows.last().filter(|_| reply.truncated) else { break };
            // The smallest key after the last one.
            range.from = Some(format!("{}\0", last.key.key).into());
        }
        self.cache_rows(program, rows);
        Ok(())
    }
}
