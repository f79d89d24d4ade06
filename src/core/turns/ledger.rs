//! A program's token budget, shared by all instances through one row of the store.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::TurnId;
use crate::core::ids::Tokens;

/// What a program has spent and what its running turns may still spend.
///
/// The row is written conditionally. The record of a complete turn settles its reservation: any
/// instance that has the record replaces the reservation when it next writes the ledger. The
/// reservation of a turn that dies with its instance stays, since its tokens may have reached the
/// caller.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgramLedger {
    #[serde(rename = "s", default)]
    spent: Tokens,
    #[serde(rename = "o", default)]
    reservations: BTreeMap<TurnId, Tokens>,
    /// End of the program's retention, in milliseconds of the store's clock.
    #[serde(rename = "k", default)]
    retained_until: u64,
    /// Turns that an instance claimed without their coordinator, which may still get the claim. Until
    /// then, in milliseconds of the store's clock, it must not reserve them again.
    #[serde(rename = "x", default, skip_serializing_if = "BTreeMap::is_empty")]
    taken_over: BTreeMap<TurnId, u64>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReserveReply {
    Reserved,
    /// The budget does not cover the turn's maximum on top of `committed`.
    Exhausted {
        committed: Tokens,
        /// Spending alone exceeds the budget, so the end of running turns does not help.
        permanent: bool,
    },
}

impl ProgramLedger {
    /// Reserves a turn's maximum if the budget covers it. Idempotent.
    pub fn reserve(&mut self, turn: &TurnId, max_tokens: Tokens, budget: Tokens) -> ReserveReply {
        if self.reservations.contains_key(turn) {
            return ReserveReply::Reserved;
        }
        let committed = self.committed();
        if committed.saturating_add(max_tokens) > budget {
            let permanent = self.spent.saturating_add(max_tokens) > budget;
            return ReserveReply::Exhausted { committed, permanent };
        }
        self.reservations.insert(turn.clone(), max_tokens);
        ReserveReply::Reserved
    }

    /// Replaces a turn's reservation by what it used; false if there is none.
    pub fn settle(&mut self, turn: &TurnId, used: Tokens) -> bool {
        let reserved = self.reservations.remove(turn).is_some();
        if reserved {
            self.spent += used;
        }
        reserved
    }

    pub fn reserved_turns(&self) -> impl Iterator<Item = &TurnId> {
        self.reservations.keys()
    }

    /// Records that claims of the turn by its coordinator are void.
    pub fn take_over(&mut self, turn: &TurnId, until_millis: u64) {
        let until = self.taken_over.entry(turn.clone()).or_default();
        *until = (*until).max(until_millis);
    }

    pub fn is_taken_over(&self, turn: &TurnId) -> bool {
        self.taken_over.contains_key(turn)
    }

    /// Drops the turns whose claims have expired.
    pub fn remove_expired(&mut self, now_millis: u64) {
        self.taken_over.retain(|_, until| now_millis <= *until);
    }

    /// Extends the retention; it never gets shorter. In milliseconds of the store's clock.
    pub fn retain_until(&mut self, millis: u64) {
        self.retained_until = self.retained_until.max(millis);
    }

    pub fn retained_until(&self) -> u64 {
        self.retained_until
    }

    pub fn is_reserved(&self, turn: &TurnId) -> bool {
        self.reservations.contains_key(turn)
    }

    pub fn committed(&self) -> Tokens {
        self.spent + self.reservations.values().sum::<Tokens>()
    }
}
