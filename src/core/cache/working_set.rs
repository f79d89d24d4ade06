//! Memory demand of the programs on one engine, which decides whether another program fits.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::core::ids::{ProgramId, Tokens};

#[derive(Debug, Clone, Copy)]
struct ActiveProgram {
    tokens: Tokens,
    seen: Instant,
}

/// Memory that the programs of one engine need to find their prefixes after a pause.
#[derive(Debug)]
pub struct WorkingSet {
    capacity: Tokens,
    idle_timeout: Duration,
    programs: BTreeMap<ProgramId, ActiveProgram>,
    total: Tokens,
}

impl WorkingSet {
    pub fn new(capacity: Tokens, idle_timeout: Duration) -> Self {
        Self { capacity, idle_timeout, programs: BTreeMap::new(), total: 0 }
    }

    /// Adds a program, or replaces its demand.
    pub fn insert(&mut self, program: ProgramId, tokens: Tokens, now: Instant) {
        self.remove(program);
        self.total += tokens;
        self.programs.insert(program, ActiveProgram { tokens, seen: now });
    }

    pub fn remove(&mut self, program: ProgramId) {
        if let Some(active) = self.programs.remove(&program) {
            self.total -= active.tokens;
        }
    }

    /// Removes idle programs: they ended elsewhere, moved or pause for long.
    pub fn expire(&mut self, now: Instant) {
        let timeout = self.idle_timeout;
        self.programs.retain(|_, active| now.saturating_duration_since(active.seen) < timeout);
        self.total = self.programs.values().map(|active| active.tokens).sum();
    }

    /// `reserved` tokens count as used. An empty engine accepts any one program, whatever its size.
    pub fn has_capacity(&self, tokens: Tokens, reserved: Tokens, per_mille: u16) -> bool {
        let used = self.total + reserved;
        let bound = self.capacity * Tokens::from(per_mille) / 1000;
        used == 0 || used + tokens <= bound
    }

    /// Demand, in per mille of the memory.
    pub fn pressure(&self) -> u16 {
        (self.total * 1000 / self.capacity.max(1)).min(u16::MAX.into()) as u16
    }
}
