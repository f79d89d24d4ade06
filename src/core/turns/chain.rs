//! Assembles the chain of a turn from cached turns and those that were read for it.

use std::collections::HashMap;
use std::rc::Rc;

use super::{ProgramName, TurnCache, TurnId, TurnRecord};

/// One turn of a chain.
#[derive(Debug, Clone, PartialEq)]
pub struct ChainEntry {
    pub turn: TurnId,
    /// The program that made the turn.
    pub program: ProgramName,
    pub record: Rc<TurnRecord>,
}

#[derive(Debug, Clone, PartialEq)]
pub enum ChainLookup {
    /// All turns, the oldest first.
    Complete(Vec<ChainEntry>),
    /// The youngest turn that is not at hand; the store may have it.
    Missing(TurnId),
    /// This turn precedes itself: a caller has used its id again.
    Cyclic(TurnId),
}

/// Turns that were read for one chain. They stay until it is complete, whatever the cache evicts.
#[derive(Debug, Default)]
pub struct LoadedTurns {
    turns: HashMap<TurnId, ChainEntry>,
}

impl LoadedTurns {
    pub fn insert(&mut self, entry: ChainEntry) {
        self.turns.insert(entry.turn.clone(), entry);
    }

    pub fn contains(&self, turn: &TurnId) -> bool {
        self.turns.contains_key(turn)
    }

    /// The program of a turn according to one of these that continues from it.
    pub fn named_program(&self, turn: &TurnId) -> Option<ProgramName> {
        let next = self.turns.values().find(|next| next.record.previous.as_ref() == Some(turn))?;
        Some(next.record.origin.clone().unwrap_or_else(|| next.program.clone()))
    }

    /// The chain that ends with `turn`, from these turns and the cached ones.
    pub fn chain(&self, turn: &TurnId, cache: &TurnCache) -> ChainLookup {
        let known = self.turns.len() + cache.len();
        let mut chain = Vec::new();
        let mut next = Some(turn.clone());
        while let Some(id) = next {
            let found = self.turns.get(&id).cloned().or_else(|| cache.entry(&id));
            let Some(entry) = found else { return ChainLookup::Missing(id) };
            if chain.len() == known {
                return ChainLookup::Cyclic(id);
            }
            next = entry.record.previous.clone();
            chain.push(entry);
        }
        chain.reverse();
        ChainLookup::Complete(chain)
    }
}
