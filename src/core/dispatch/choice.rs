//! Chooses the engine that runs a call.

use std::cmp::Reverse;
use std::time::Duration;

use crate::core::ids::{Tokens, UpstreamId};

#[derive(Debug, Clone, PartialEq)]
pub struct EngineCandidate {
    pub engine: UpstreamId,
    pub slots: usize,
    /// Calls running and waiting; may be stale for an engine of another instance.
    pub load: usize,
    pub wait: Duration,
    /// Tokens of the prompt in the engine's cache.
    pub resident: Tokens,
    /// Owned by this instance, so that a permit costs no message.
    pub local: bool,
    /// Memory demand of its programs, in per mille of its memory.
    pub pressure: u16,
    /// Time that a call occupies a slot; zero if unknown.
    pub occupancy: Duration,
}

#[derive(Debug, Clone, Copy)]
pub struct EngineNeed {
    pub prompt: Tokens,
    /// First call of a program, which later returns to the engine that ran it.
    pub cold: bool,
}

pub trait EngineChooser {
    /// Index into `candidates`, or `None` if there is none.
    fn choose(&self, candidates: &[EngineCandidate], need: EngineNeed) -> Option<usize>;
}

#[derive(Debug, Clone, Copy)]
pub struct PrefillCost {
    pub per_token: Duration,
}

/// Ratio to the shortest occupancy above which an engine counts as slow. Smaller differences come
/// from the mix of calls.
const SLOW_FACTOR: u32 = 3;

/// Minimizes the expected time to the first token: the wait plus the prefill of what is not
/// resident. Cold programs go to the engine with the least memory contention first, as they would
/// evict other programs with each call. Ties go to the lower load, then to a local engine.
#[derive(Debug, Clone, Copy)]
pub struct CacheAwareChooser {
    pub cost: PrefillCost,
    /// Added for engines of other instances, for messages and stale load.
    pub remote_cost: Duration,
    /// In per mille; below it, memory pressure has no effect.
    pub pressure_threshold: u16,
}

impl CacheAwareChooser {
    fn contention(&self, candidate: &EngineCandidate) -> u16 {
        candidate.pressure.saturating_sub(self.pressure_threshold)
    }
}

impl EngineChooser for CacheAwareChooser {
    fn choose(&self, candidates: &[EngineCandidate], need: EngineNeed) -> Option<usize> {
        // An engine of unknown speed doesn't count as slow, or it would never get a call.
        let occupancies = candidates.iter().map(|candidate| candidate.occupancy);
        let fastest =
            occupancies.filter(|occupancy| !occupancy.is_zero()).min().unwrap_or_default();
        let rank = |index: &usize| {
            let candidate = &candidates[*index];
            let missing = need.prompt.saturating_sub(candidate.resident) as u32;
            let remote_cost = if candidate.local { Duration::ZERO } else { self.remote_cost };
            let slow = candidate.occupancy > fastest * SLOW_FACTOR;
            let excess = if slow { candidate.occupancy - fastest } else { Duration::ZERO };
            let cost = candidate.wait + self.cost.per_token * missing + remote_cost + excess;
            let contention = if need.cold { self.contention(candidate) } else { 0 };
            (contention, cost, candidate.load, !candidate.local)
        };
        (0..candidates.len()).min_by_key(rank)
    }
}

/// Baseline that ignores resident prefixes.
#[derive(Debug, Clone, Copy)]
pub struct LeastLoadedChooser;

impl EngineChooser for LeastLoadedChooser {
    fn choose(&self, candidates: &[EngineCandidate], _need: EngineNeed) -> Option<usize> {
        (0..candidates.len()).min_by_key(|index| least_loaded(&candidates[*index]))
    }
}

/// Baseline that follows the longest resident prefix, whatever the queue.
#[derive(Debug, Clone, Copy)]
pub struct StickyChooser;

impl EngineChooser for StickyChooser {
    fn choose(&self, candidates: &[EngineCandidate], _need: EngineNeed) -> Option<usize> {
        let rank = |index: &usize| {
            let candidate = &candidates[*index];
            (Reverse(candidate.resident), least_loaded(candidate))
        };
        (0..candidates.len()).min_by_key(rank)
    }
}

fn least_loaded(candidate: &EngineCandidate) -> (Duration, usize, bool) {
    (candidate.wait, candidate.load, !candidate.local)
}
