//! Memory demand of the programs on one engine, which decides whether another program fits.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::core::ids::{ProgramId, Tokens};

#[derive(Debug, Clone, Copy)]
struct LivingProgram {
    tokens: Tokens,
    seen: Instant,
}

/// Memory that the programs of one engine need to find their prefixes after a pause.
#[derive(Debug)]
pub struct WorkingSet {
    capacity: Tokens,
    idle_limit: Duration,
    programs: BTreeMap<ProgramId, LivingProgram>,
    total: Tokens,
}

impl WorkingSet {
    pub fn new(capacity: Tokens, idle_limit: Duration) -> Self {
        Self { capacity, idle_limit, programs: BTreeMap::new(), total: 0 }
    }

    /// Adds a program, or replaces its demand.
    pub fn enter(&mut self, program: ProgramId, tokens: Tokens, now: Instant) {
        self.leave(program);
        self.total += tokens;
        self.programs.insert(program, LivingProgram { tokens, seen: now });
    }

    pub fn leave(&mut self, program: ProgramId) {
        if let Some(living) = self.programs.remove(&program) {
            self.total -= living.tokens;
        }
    }

    /// Removes idle programs: they ended elsewhere, moved or pause for long.
    pub fn expire(&mut self, now: Instant) {
        let limit = self.idle_limit;
        self.programs.retain(|_, living| now.saturating_duration_since(living.seen) < limit);
        self.total = self.programs.values().map(|living| living.tokens).sum();
    }

    /// Counts `others` as used. An empty engine accepts any one program, whatever its size.
    pub fn has_room(&self, tokens: Tokens, others: Tokens, per_mille: u16) -> bool {
        let used = self.total + others;
        let bound = self.capacity * Tokens::from(per_mille) / 1000;
        used == 0 || used + tokens <= bound
    }

    /// Demand, in per mille of the memory.
    pub fn pressure(&self) -> u16 {
        (self.total * 1000 / self.capacity.max(1)).min(u16::MAX.into()) as u16
    }
}
