//! Chooses the upstream with the lowest expected cost for a request.

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use super::health::LOAD_DECAY;
use super::table::TrackedUpstream;
use super::{PromptBlock, StartMillis, UpstreamIncarnation, UpstreamTable};
use crate::core::ids::{Tokens, UpstreamId};
use crate::core::load::{LoadKey, LoadView, UpstreamLoad};

/// Assumed prefill rate of an engine.
const PREFILL_TOKENS_PER_MS: f64 = 32.0;
/// Prefill weighs more than waiting because it also delays all other requests at the engine.
const PREFILL_FACTOR: f64 = 2.0;
/// Tokens of new input assumed where the engine holds the previous turn, those of a usual turn.
const NEW_INPUT_TOKENS: u64 = 1_000;
/// Delay for each request in flight: prefills of others run between its tokens.
const RUNNING_COST_MS: f64 = 3.0;
/// Covers the longer round trip and the price of cross-zone traffic.
const CROSS_ZONE_COST_MS: f64 = 30.0;
/// Cost of each rank in the order of an affinity key. It concentrates a key's requests on the same
/// upstreams across instances, but yields to load.
const RANK_COST_MS: f64 = 6.0;
/// Upstreams taken from the order, and the rank beyond which the cost stays constant: among
/// thousands, the rank must not outweigh a cached prompt.
const MAX_RANKED: usize = 32;
/// Holders of prompt blocks that are considered in addition to the ranked upstreams.
const MAX_HOLDERS: usize = 64;
/// Spreads requests without an affinity key over upstreams of equal cost.
const TIE_BREAK_COST_MS: f64 = 2.0;
/// Covers a round trip and the price of a new connection.
const CONNECT_COST_MS: f64 = 10.0;
/// Weight of an overdue first byte: half a second after the timeout an upstream costs more than the
/// prefill of any usual prompt elsewhere, one that is only late does not.
const OVERDUE_FACTOR: f64 = 3.0;
/// High enough that an ejected upstream is chosen only as a last resort.
const EJECTED_COST_MS: f64 = 10_000.0;
/// Typical duration of a request without prefill; multiplied by the excess latency ratio.
const REQUEST_COST_MS: f64 = 300.0;
/// Latency ratio within the variance of single requests.
pub(super) const LATENCY_RATIO_TOLERANCE: f64 = 1.3;

#[derive(Clone, Copy)]
pub struct ChoiceRequest<'a> {
    pub service: &'a str,
    /// The zone of this instance.
    pub zone: &'a str,
    pub blocks: &'a [PromptBlock],
    /// The engine that holds the turn that the request continues.
    pub holder: Option<&'a UpstreamId>,
    /// Requests with the same key prefer the same upstreams.
    pub affinity: Option<&'a str>,
    /// Upstreams to exclude.
    pub tried: &'a [UpstreamId],
    /// Returns whether the pool has an idle connection to an address.
    pub connected: &'a dyn Fn(&str) -> bool,
    /// Random number that orders the candidates of a request without an affinity key, and draws those
    /// that are compared by the load over all instances.
    pub salt: u64,
    /// Load over all instances; `None` where each instance decides by its own requests.
    pub load: Option<&'a LoadView>,
    pub now: Instant,
}

#[derive(Debug, Clone, PartialEq)]
pub struct UpstreamChoice {
    pub id: UpstreamId,
    pub started_at: Option<StartMillis>,
    pub address: Box<str>,
    pub load_key: LoadKey,
    pub cost_ms: f64,
    pub candidates: usize,
    /// Attempts of this instance in flight there.
    pub running: u32,
    pub prefill_ms: f64,
    /// Tokens of the prompt that the upstream is not known to have cached.
    pub missing_tokens: Tokens,
    /// Whether a slot was free there, by the load over all instances; false where that is unknown.
    pub found_slot: bool,
    /// Expected wait for a slot there, by the load over all instances; 0 where that is unknown.
    pub wait_ms: f64,
}

impl UpstreamChoice {
    pub fn incarnation(&self) -> UpstreamIncarnation {
        UpstreamIncarnation { id: self.id.clone(), started_at: self.started_at }
    }
}

/// A candidate with its rank in the order of the request.
pub(super) type RankedUpstream<'a> = (usize, &'a TrackedUpstream);

impl UpstreamTable {
    pub fn choose(&self, request: &ChoiceRequest<'_>) -> Option<UpstreamChoice> {
        let fresh = request.load.is_some_and(|view| view.is_fresh(request.now));
        let ranked = if fresh {
            self.placement_candidates(request)
        } else {
            self.candidates(request, MAX_RANKED)
        };
        let found = self.cheapest(&ranked, request);
        // If all of these are ejected, an upstream outside them may not be.
        let failed = found.is_none_or(|(cost, known)| {
            if fresh { known.health.is_ejected(request.now) } else { cost >= EJECTED_COST_MS }
        });
        let (candidates, (cost_ms, known)) = if failed {
            let all = self.candidates(request, usize::MAX);
            (all.len(), self.cheapest(&all, request)?)
        } else {
            (ranked.len(), found?)
        };
        let load = shared_load(known, request);
        Some(UpstreamChoice {
            id: known.entry.id.clone(),
            started_at: known.entry.started_at,
            address: known.entry.address.clone(),
            load_key: known.load_key,
            cost_ms,
            candidates,
            running: known.health.running,
            prefill_ms: self.prefill_ms(known, request),
            missing_tokens: self.missing_tokens(known, request),
            found_slot: load.is_some_and(|load| load.running < known.entry.slots),
            wait_ms: load.map_or(0.0, |load| self.slot_wait_ms(known, load, request)),
        })
    }

    fn cheapest<'a>(
        &self,
        candidates: &[RankedUpstream<'a>],
        request: &ChoiceRequest<'_>,
    ) -> Option<(f64, &'a TrackedUpstream)> {
        let priced = candidates.iter().map(|(rank, known)| {
            (is_last_resort(known, request), self.cost(known, *rank, request), *known)
        });
        let cheapest = priced.min_by(|(last, cost, _), (other_last, other_cost, _)| {
            last.cmp(other_last).then(cost.total_cmp(other_cost))
        });
        cheapest.map(|(_, cost, known)| (cost, known))
    }

    /// The first `max` upstreams in the order of the affinity key or the salt, and others that may be
    /// cheaper: holders of prompt blocks and upstreams that may have an idle connection.
    fn candidates<'a>(
        &'a self,
        request: &ChoiceRequest<'_>,
        max: usize,
    ) -> Vec<RankedUpstream<'a>> {
        let key = request.affinity.map_or(request.salt, |key| xxh3_64(key.as_bytes()));
        let mut ranked: Vec<RankedUpstream<'a>> = Vec::new();
        self.index.visit(request.service, request.zone, key, |id| {
            if let Some(known) = self.available(id, request) {
                ranked.push((ranked.len(), known));
            }
            ranked.len() < max
        });
        if ranked.len() < max {
            return ranked;
        }
        // The last blocks are specific to a program: their holders have most of the prompt cached.
        let blocks = request.blocks.iter().rev();
        let holders = blocks.filter_map(|block| self.resident.get(&block.id)).flatten();
        let known = holders.take(MAX_HOLDERS).chain(self.recent.keys());
        let mut others: Vec<&UpstreamId> = known.chain(request.holder).collect();
        others.sort_unstable();
        others.dedup();
        for id in others {
            let Some(known) = self.available(id, request) else { continue };
            if ranked[..max].iter().all(|(_, ranked)| ranked.entry.id != known.entry.id) {
                ranked.push((max, known));
            }
        }
        ranked
    }

    pub(super) fn available(
        &self,
        id: &UpstreamId,
        request: &ChoiceRequest<'_>,
    ) -> Option<&TrackedUpstream> {
        let known = self.upstreams.get(id)?;
        let available = *known.entry.service == *request.service
            && self.is_available(known, request.now)
            && !request.tried.contains(id);
        available.then_some(known)
    }

    fn cost(&self, known: &TrackedUpstream, rank: usize, request: &ChoiceRequest<'_>) -> f64 {
        let cost = match shared_load(known, request) {
            Some(load) => self.placement_cost(known, rank, load, request),
            None => self.own_load_cost(known, rank, request),
        };
        Self::add_state_cost(cost, known, request)
    }

    /// Cost by the attempts of this instance alone.
    fn own_load_cost(
        &self,
        known: &TrackedUpstream,
        rank: usize,
        request: &ChoiceRequest<'_>,
    ) -> f64 {
        let step = if request.affinity.is_some() { RANK_COST_MS } else { TIE_BREAK_COST_MS / 16.0 };
        let mut cost = rank.min(MAX_RANKED) as f64 * step;
        cost += f64::from(known.health.running) * RUNNING_COST_MS;
        cost += known.load.value_at(request.now, LOAD_DECAY);
        cost += self.prefill_ms(known, request) * PREFILL_FACTOR;
        let slowness = known.health.latency_ratio(request.now) - LATENCY_RATIO_TOLERANCE;
        cost += slowness.max(0.0) * REQUEST_COST_MS;
        cost
    }

    /// Adds the cost of the upstream's place and state to `cost`.
    fn add_state_cost(mut cost: f64, known: &TrackedUpstream, request: &ChoiceRequest<'_>) -> f64 {
        let entry = &known.entry;
        let overdue = known.health.first_byte_overdue(request.now);
        cost += overdue.as_secs_f64() * 1e3 * OVERDUE_FACTOR;
        cost += entry.warming.as_millis() as f64 / 10.0;
        if *entry.zone != *request.zone {
            cost += CROSS_ZONE_COST_MS;
        }
        if !(request.connected)(&entry.address) {
            cost += CONNECT_COST_MS;
        }
        if known.health.is_ejected(request.now) {
            cost += EJECTED_COST_MS;
        }
        cost
    }

    /// Time to read the blocks that the upstream is not known to have cached.
    pub(super) fn prefill_ms(&self, known: &TrackedUpstream, request: &ChoiceRequest<'_>) -> f64 {
        let missing = self.missing_tokens(known, request) as f64;
        if shared_load(known, request).is_some() {
            let service = self.service_speed(&known.entry.service);
            return known.speed.prompt_ms(service, missing, request.now);
        }
        missing / PREFILL_TOKENS_PER_MS
    }

    /// A block is cached only if all blocks before it are. The engine that ran the previous turn has
    /// all but the new input.
    fn missing_tokens(&self, known: &TrackedUpstream, request: &ChoiceRequest<'_>) -> Tokens {
        if request.holder == Some(&known.entry.id) {
            let last = request.blocks.last().map_or(0, |block| block.tokens);
            return last.min(NEW_INPUT_TOKENS);
        }
        let held = request.blocks.iter().take_while(|block| {
            self.resident.get(&block.id).is_some_and(|ids| ids.contains(&known.entry.id))
        });
        request.blocks.iter().skip(held.count()).map(|block| block.tokens).sum()
    }
}

/// Waits at slow engines can cost more than an ejection does, so where they are known an ejected
/// upstream comes after all others.
fn is_last_resort(known: &TrackedUpstream, request: &ChoiceRequest<'_>) -> bool {
    shared_load(known, request).is_some() && known.health.is_ejected(request.now)
}

/// `None` where the load over all instances is not known.
fn shared_load(known: &TrackedUpstream, request: &ChoiceRequest<'_>) -> Option<UpstreamLoad> {
    request.load?.load(known.load_key, request.now)
}
