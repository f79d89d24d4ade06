//! Tokens that one instance holds for several turns of a program.

use std::collections::BTreeMap;

use super::TurnId;
use crate::core::ids::Tokens;

/// Turns that an allowance is extended for beyond the one that asks.
pub const PREALLOCATED_TURNS: u64 = 4;

/// What an allowance must hold for one more turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AllowanceDemand {
    /// Tokens of all its turns, each running one counted with its maximum output.
    pub min_tokens: Tokens,
    /// The part of `min_tokens` that the end of other running turns cannot release.
    pub nonrefundable_tokens: Tokens,
}

/// What turns have used of tokens that a ledger holds in one reservation.
///
/// Only the instance that holds the reservation knows which turns share it. If that instance dies,
/// all of it stays spent, so no token is handed out twice.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TokenAllowance {
    /// Name of the reservation in the ledger, unique among all allowances of the program.
    name: TurnId,
    used: Tokens,
    /// Maximum output of the turns that run.
    running: BTreeMap<TurnId, Tokens>,
}

impl TokenAllowance {
    pub fn new(name: TurnId) -> Self {
        Self { name, used: 0, running: BTreeMap::new() }
    }

    pub fn name(&self) -> &TurnId {
        &self.name
    }

    pub fn demand(&self, turn: &TurnId, max_tokens: Tokens) -> AllowanceDemand {
        let known = self.running.get(turn).copied().unwrap_or_default();
        AllowanceDemand {
            min_tokens: self.committed() - known + max_tokens,
            nonrefundable_tokens: self.used + max_tokens,
        }
    }

    pub fn committed(&self) -> Tokens {
        self.used + self.running.values().sum::<Tokens>()
    }

    /// Idempotent.
    pub fn start(&mut self, turn: &TurnId, max_tokens: Tokens) {
        self.running.insert(turn.clone(), max_tokens);
    }

    /// Replaces a turn's maximum by what it used; false if no such turn runs.
    pub fn end(&mut self, turn: &TurnId, used: Tokens) -> bool {
        let ran = self.running.remove(turn).is_some();
        if ran {
            self.used += used;
        }
        ran
    }

    pub fn is_idle(&self) -> bool {
        self.running.is_empty()
    }
}
