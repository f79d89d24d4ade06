//! Ends of turns that the stored ledger of their program does not state yet.

use std::collections::{BTreeMap, HashMap};

use super::{ProgramLedger, ProgramName, TurnId};
use crate::core::ids::Tokens;

/// What ended turns used, until a write of their program's ledger states it. Each ledger that is written
/// meanwhile has to include them.
#[derive(Debug, Default)]
pub struct TurnSettlements {
    programs: HashMap<ProgramName, BTreeMap<TurnId, Tokens>>,
}

impl TurnSettlements {
    pub fn insert(&mut self, program: &ProgramName, turn: &TurnId, used: Tokens) {
        self.programs.entry(program.clone()).or_default().insert(turn.clone(), used);
    }

    pub fn contains(&self, program: &str, turn: &TurnId) -> bool {
        self.programs.get(program).is_some_and(|turns| turns.contains_key(turn))
    }

    pub fn remove(&mut self, program: &str, turn: &TurnId) {
        let Some(turns) = self.programs.get_mut(program) else { return };
        turns.remove(turn);
        if turns.is_empty() {
            self.programs.remove(program);
        }
    }

    /// Settles the turns in a ledger that is to be written.
    pub fn apply(&self, program: &str, ledger: &mut ProgramLedger) {
        for (turn, used) in self.programs.get(program).into_iter().flatten() {
            ledger.settle(turn, *used);
        }
    }

    /// Drops the turns that a written ledger has settled.
    pub fn remove_written(&mut self, program: &str, ledger: &ProgramLedger) {
        let Some(turns) = self.programs.get_mut(program) else { return };
        turns.retain(|turn, _| ledger.is_reserved(turn));
        if turns.is_empty() {
            self.programs.remove(program);
        }
    }

    pub fn is_empty(&self) -> bool {
        self.programs.is_empty()
    }
}
