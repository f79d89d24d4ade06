//! What a turn continues from.

use std::collections::BTreeSet;
use std::rc::Rc;

use super::TurnKeeper;
use super::rows::{TABLE, index_key};
use crate::core::turns::{ChainLookup, ProgramName, TurnId, TurnRecord};
use crate::gateway::rows::RowRange;
use crate::node::platform::StoreError;

/// Why a chain could not be had.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum ChainError {
    /// The store has no such turn: it was asked just now.
    NoSuchTurn,
    Store(StoreError),
}

/// What a turn continues from.
#[derive(Debug, Default)]
pub(crate) struct TurnChain {
    /// Oldest first.
    pub(crate) turns: Vec<Rc<TurnRecord>>,
    /// The program that made the last one, if it is another one than the turn's.
    pub(crate) origin: Option<ProgramName>,
}

impl TurnChain {
    /// Other programs whose turns it goes on from.
    pub(crate) fn origins(&self) -> BTreeSet<ProgramName> {
        let earlier = self.turns.iter().filter_map(|turn| turn.origin.clone());
        earlier.chain(self.origin.clone()).collect()
    }
}

impl TurnKeeper {
    /// The chain that ends with `turn`, oldest first.
    ///
    /// The turn is looked for in the program first, and by the index if it is not there: a program
    /// may go on from what another one said.
    pub(super) async fn chain(
        &self,
        program: &ProgramName,
        turn: &TurnId,
    ) -> Result<TurnChain, ChainError> {
        let mut loaded: Vec<ProgramName> = Vec::new();
        loop {
            let missing = match self.lookup(turn) {
                ChainLookup::Complete(turns) => return Ok(self.whole_chain(program, turn, turns)),
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

    fn whole_chain(
        &self,
        program: &ProgramName,
        turn: &TurnId,
        turns: Vec<Rc<TurnRecord>>,
    ) -> TurnChain {
        let mut cache = self.cache.borrow_mut();
        let maker = cache.program_of(turn);
        if let Some(maker) = &maker {
            cache.touch(maker);
        }
        TurnChain { turns, origin: maker.filter(|maker| maker != program) }
    }

    /// Whether all of a chain is here.
    pub(super) fn has_chain(&self, turn: &TurnId) -> bool {
        matches!(self.lookup(turn), ChainLookup::Complete(_))
    }

    fn lookup(&self, turn: &TurnId) -> ChainLookup {
        self.cache.borrow().chain(turn)
    }

    /// The program that made a turn, from the index.
    async fn program_of(&self, turn: &TurnId) -> Result<ProgramName, ChainError> {
        let key = index_key(turn);
        let range = RowRange {
            table: key.table.clone(),
            partition: key.partition.clone(),
            from: Some(key.key.clone()),
            limit: Some(1),
        };
        let reply = self.store.range(&range).await.map_err(ChainError::Store)?;
        let row = reply.rows.into_iter().find(|row| row.key == key);
        let value = row.and_then(|row| row.value).ok_or(ChainError::NoSuchTurn)?;
        String::from_utf8(value.to_vec()).map(Into::into).map_err(|_| ChainError::NoSuchTurn)
    }

    /// Reads everything the store has of a program.
    pub(super) async fn load(&self, program: &ProgramName) -> Result<(), StoreError> {
        let mut range =
            RowRange { table: TABLE.into(), partition: program.clone(), from: None, limit: None };
        let mut rows = Vec::new();
        loop {
            let reply = self.store.range(&range).await?;
            rows.extend(reply.rows);
            let Some(last) = rows.last().filter(|_| reply.truncated) else { break };
            // The smallest key after the last one.
            range.from = Some(format!("{}\0", last.key.key).into());
        }
        self.take_rows(program, rows);
        Ok(())
    }
}
