//! Tokens that one instance holds for several turns of a program.

use std::collections::BTreeMap;

use super::TurnId;
use crate::core::ids::Tokens;

/// Turns ahead for which an allowance is made.
pub const TURNS_AHEAD: u64 = 4;

/// What an allowance must hold for one more turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AllowanceDemand {
    /// Tokens of all its turns, each with the most it may generate while it runs.
    pub least: Tokens,
    /// The part of them that running turns cannot give back.
    pub lasting: Tokens,
}

/// What turns have taken out of tokens that a ledger holds under one name.
///
/// The ledger in the store knows the allowance as a single open reservation; which turns share it is
/// known at the instance that holds it. If that instance dies, the whole reservation stays spent, so
/// no token is handed out twice.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TokenAllowance {
    /// Its name in the ledger, which no other allowance of the program ever has.
    name: TurnId,
    /// Tokens of turns that have ended.
    used: Tokens,
    /// Most tokens of turns that run.
    running: BTreeMap<TurnId, Tokens>,
}

impl TokenAllowance {
    pub fn new(name: TurnId) -> Self {
        Self { name, used: 0, running: BTreeMap::new() }
    }

    pub fn name(&self) -> &TurnId {
        &self.name
    }

    /// What the ledger must hold for this turn to run besides the others.
    pub fn demand(&self, turn: &TurnId, most: Tokens) -> AllowanceDemand {
        let known = self.running.get(turn).copied().unwrap_or_default();
        AllowanceDemand { least: self.committed() - known + most, lasting: self.used + most }
    }

    /// Tokens used, or held for turns that run.
    pub fn committed(&self) -> Tokens {
        self.used + self.running.values().sum::<Tokens>()
    }

    /// Begins a turn. Doing so twice changes nothing.
    pub fn start(&mut self, turn: &TurnId, most: Tokens) {
        self.running.insert(turn.clone(), most);
    }

    /// Ends a turn that handed out so many tokens; false if none of that name runs.
    pub fn end(&mut self, turn: &TurnId, used: Tokens) -> bool {
        let ran = self.running.remove(turn).is_some();
        if ran {
            self.used += used;
        }
        ran
    }

    /// Whether no turn runs.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty()
    }
}
