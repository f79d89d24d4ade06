//! Tokens of one program, over all instances.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{AllowanceDemand, TurnId};
use crate::core::ids::Tokens;

/// What a program has spent and what its running turns may still spend.
///
/// It is one row of the store, written conditionally. A turn that ended whole is settled by its
/// record: whoever knows that replaces the reservation when it next writes the ledger. A turn that
/// dies with its instance leaves its reservation behind: its tokens may have reached the caller,
/// so they stay spent.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgramLedger {
    #[serde(rename = "s", default)]
    spent: Tokens,
    #[serde(rename = "o", default)]
    open: BTreeMap<TurnId, Tokens>,
    /// Until when turns may be gone on from, in milliseconds of the store's clock.
    #[serde(rename = "k", default)]
    kept_until: u64,
}

/// Whether a turn may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReserveReply {
    Reserved,
    /// The budget does not hold the turn's most tokens on top of this.
    Exhausted {
        committed: Tokens,
        /// Whether what was spent alone leaves no room: running turns cannot give any back.
        lasting: bool,
    },
}

impl ProgramLedger {
    /// Sets a turn's most tokens aside if the budget holds them. Doing so twice changes nothing.
    pub fn reserve(&mut self, turn: &TurnId, most: Tokens, budget: Tokens) -> ReserveReply {
        if self.open.contains_key(turn) {
            return ReserveReply::Reserved;
        }
        let committed = self.committed();
        if committed.saturating_add(most) > budget {
            let lasting = self.spent.saturating_add(most) > budget;
            return ReserveReply::Exhausted { committed, lasting };
        }
        self.open.insert(turn.clone(), most);
        ReserveReply::Reserved
    }

    /// Makes the reservation under a name hold what an allowance needs, and up to `ahead` tokens more,
    /// but no more than half of what the budget leaves: another instance may need the rest.
    pub fn extend(
        &mut self,
        name: &TurnId,
        demand: AllowanceDemand,
        ahead: Tokens,
        budget: Tokens,
    ) -> ReserveReply {
        let AllowanceDemand { min_tokens, nonrefundable_tokens } = demand;
        let held = self.held(name);
        if held >= min_tokens {
            return ReserveReply::Reserved;
        }
        let committed = self.committed();
        let room = budget.saturating_sub(committed - held);
        if room < min_tokens {
            let lasting = self.spent.saturating_add(nonrefundable_tokens) > budget;
            return ReserveReply::Exhausted { committed, lasting };
        }
        self.open.insert(name.clone(), min_tokens + ahead.min((room - min_tokens) / 2));
        ReserveReply::Reserved
    }

    /// Tokens reserved under a name.
    pub fn held(&self, name: &TurnId) -> Tokens {
        self.open.get(name).copied().unwrap_or_default()
    }

    /// Replaces a turn's reservation by what it used; false if there is none.
    pub fn settle(&mut self, turn: &TurnId, used: Tokens) -> bool {
        let reserved = self.open.remove(turn).is_some();
        if reserved {
            self.spent += used;
        }
        reserved
    }

    /// Turns whose tokens are set aside.
    pub fn open_turns(&self) -> impl Iterator<Item = &TurnId> {
        self.open.keys()
    }

    /// Keeps the program's turns until a time of the store's clock at least, in milliseconds.
    pub fn keep_until(&mut self, millis: u64) {
        self.kept_until = self.kept_until.max(millis);
    }

    pub fn kept_until(&self) -> u64 {
        self.kept_until
    }

    /// Whether a turn's tokens are set aside.
    pub fn is_open(&self, turn: &TurnId) -> bool {
        self.open.contains_key(turn)
    }

    /// Tokens spent or set aside.
    pub fn committed(&self) -> Tokens {
        self.spent + self.open.values().sum::<Tokens>()
    }
}
