//! Ends of turns that the stored ledger of their program does not state yet.

use std::collections::{BTreeMap, HashMap};

use super::{ProgramLedger, ProgramName, TurnId};
use crate::core::ids::Tokens;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TurnSettlement {
    pub used: Tokens,
    /// Until when its coordinator must not reserve the turn, in milliseconds of the store's clock, if
    /// the turn was claimed without it.
    pub taken_over_until: Option<u64>,
}

impl TurnSettlement {
    fn apply(&self, turn: &TurnId, ledger: &mut ProgramLedger) {
        ledger.settle(turn, self.used);
        if let Some(until) = self.taken_over_until {
            ledger.take_over(turn, until);
        }
    }

    fn is_written(&self, turn: &TurnId, ledger: &ProgramLedger) -> bool {
        let is_closed = self.taken_over_until.is_none() || ledger.is_taken_over(turn);
        is_closed && !ledger.is_reserved(turn)
    }
}

/// What ended turns used, until a write of their program's ledger states it. Each ledger that is written
/// meanwhile has to include them.
#[derive(Debug, Default)]
pub struct TurnSettlements {
    programs: HashMap<ProgramName, BTreeMap<TurnId, TurnSettlement>>,
}

impl TurnSettlements {
    pub fn insert(&mut self, program: &ProgramName, turn: &TurnId, settlement: TurnSettlement) {
        self.programs.entry(program.clone()).or_default().insert(turn.clone(), settlement);
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
        for (turn, settlement) in self.programs.get(program).into_iter().flatten() {
            settlement.apply(turn, ledger);
        }
    }

    /// Drops the turns that a written ledger has settled.
    pub fn remove_written(&mut self, program: &str, ledger: &ProgramLedger) {
        let Some(turns) = self.programs.get_mut(program) else { return };
        turns.retain(|turn, settlement| !settlement.is_written(turn, ledger));
        if turns.is_empty() {
            self.programs.remove(program);
        }
    }

    pub fn is_empty(&self) -> bool {
        self.programs.is_empty()
    }
}
