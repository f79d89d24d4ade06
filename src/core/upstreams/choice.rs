//! Which upstream a request goes to.

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use super::table::TrackedUpstream;
use super::{StartMillis, PromptBlock, UpstreamTable};
use crate::core::ids::UpstreamId;

/// Prompt tokens that an engine is taken to read in a millisecond.
const PREFILL_TOKENS_PER_MS: f64 = 32.0;
/// Weight of reading a prompt anew against waiting: it also delays all others at that engine.
const PREFILL_FACTOR: f64 = 2.0;
/// Tokens of new input that the engine of the turn before reads; a usual turn's.
const NEW_INPUT_TOKENS: u64 = 1_000;
/// Delay that each request of this instance at an engine adds, in milliseconds: others' prompts
/// are read between its tokens.
const RUNNING_COST_MS: f64 = 3.0;
/// What an upstream in another zone costs, in milliseconds: the longer way and the priced bytes.
const CROSS_ZONE_COST_MS: f64 = 30.0;
/// Difference between one upstream and the next in an object's order, in milliseconds. It gathers
/// the requests about an object on the same upstreams of all instances, and yields to load.
const RANK_COST_MS: f64 = 6.0;
/// Upstreams of an order that a choice looks at, and the last place that costs more than the one before:
/// among thousands, chance and the order of an object must not outweigh what an upstream holds.
const MAX_RANKED: usize = 32;
/// Upstreams that hold part of a prompt at which a choice looks besides.
const MAX_HOLDERS: usize = 64;
/// Difference that chance makes between upstreams that cost the same, in milliseconds.
const TIE_BREAK_COST_MS: f64 = 2.0;
/// What a new connection costs, in milliseconds: a way there and back, and its price.
const CONNECT_COST_MS: f64 = 10.0;
/// Weight of an upstream's unusual silence: after another half second it costs more than reading any
/// usual prompt anew elsewhere, while answers that are only late pass.
const OVERDUE_FACTOR: f64 = 3.0;
/// What an upstream that failed lately costs: it is taken only where there is no other.
const EJECTED_COST_MS: f64 = 10_000.0;
/// Usual time of a request apart from its prompt, in milliseconds; a slow upstream multiplies it.
const REQUEST_COST_MS: f64 = 300.0;
/// Slowness that is taken for chance: times of single requests differ by about as much.
const LATENCY_RATIO_TOLERANCE: f64 = 1.3;

/// What a request asks of an upstream.
#[derive(Clone, Copy)]
pub struct ChoiceRequest<'a> {
    pub service: &'a str,
    /// The zone of this instance.
    pub zone: &'a str,
    pub blocks: &'a [PromptBlock],
    /// The engine that holds what the request continues from.
    pub holder: Option<&'a UpstreamId>,
    /// What requests share that go best to the same upstream.
    pub affinity: Option<&'a str>,
    /// Upstreams that have been tried.
    pub tried: &'a [UpstreamId],
    /// Whether an idle connection to an address is kept.
    pub connected: &'a dyn Fn(&str) -> bool,
    /// A number that makes equal candidates differ from instance to instance.
    pub salt: u64,
    pub now: Instant,
}

/// A chosen upstream, and why.
#[derive(Debug, Clone, PartialEq)]
pub struct UpstreamChoice {
    pub id: UpstreamId,
    pub started_at: Option<StartMillis>,
    pub address: Box<str>,
    /// What the choice is expected to cost, in milliseconds.
    pub cost_ms: f64,
    pub candidates: usize,
    /// Attempts of this instance under way there.
    pub running: u32,
    /// Time the upstream is expected to read the prompt, in milliseconds.
    pub prefill_ms: f64,
}

/// An upstream that may be chosen, with its place in the request's order.
type RankedUpstream<'a> = (usize, &'a TrackedUpstream);

impl UpstreamTable {
    /// The cheapest ready upstream that was not tried yet.
    pub fn choose(&self, request: &ChoiceRequest<'_>) -> Option<UpstreamChoice> {
        let ranked = self.candidates(request, MAX_RANKED);
        let found = self.cheapest(&ranked, request);
        // Where all of these have failed, any other may be better.
        let failed = found.is_none_or(|(cost, _)| cost >= EJECTED_COST_MS);
        let (candidates, (cost_ms, known)) = if failed {
            let all = self.candidates(request, usize::MAX);
            (all.len(), self.cheapest(&all, request)?)
        } else {
            (ranked.len(), found?)
        };
        Some(UpstreamChoice {
            id: known.entry.id.clone(),
            started_at: known.entry.started_at,
            address: known.entry.address.clone(),
            cost_ms,
            candidates,
            running: known.health.running,
            prefill_ms: self.prefill_ms(known, request),
        })
    }

    fn cheapest<'a>(
        &self,
        candidates: &[RankedUpstream<'a>],
        request: &ChoiceRequest<'_>,
    ) -> Option<(f64, &'a TrackedUpstream)> {
        let priced =
            candidates.iter().map(|(rank, known)| (self.cost(known, *rank, request), *known));
        priced.min_by(|(a, _), (b, _)| a.total_cmp(b))
    }

    /// The first upstreams in the order of the request's object, which is the same on every instance,
    /// or by chance, and whatever else may be cheaper: those that hold part of its prompt, and those to
    /// which connections may be kept.
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
        // The last parts are a program's own, so those that hold them hold most of the prompt.
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

    fn available(&self, id: &UpstreamId, request: &ChoiceRequest<'_>) -> Option<&TrackedUpstream> {
        let known = self.upstreams.get(id)?;
        let available = *known.entry.service == *request.service
            && self.is_available(known, request.now)
            && !request.tried.contains(id);
        available.then_some(known)
    }

    fn cost(&self, known: &TrackedUpstream, rank: usize, request: &ChoiceRequest<'_>) -> f64 {
        let entry = &known.entry;
        let step = if request.affinity.is_some() { RANK_COST_MS } else { TIE_BREAK_COST_MS / 16.0 };
        let mut cost = rank.min(MAX_RANKED) as f64 * step;
        cost += f64::from(known.health.running) * RUNNING_COST_MS;
        cost += known.load.value_at(request.now);
        cost += self.prefill_ms(known, request) * PREFILL_FACTOR;
        let slowness = known.health.latency_ratio(request.now) - LATENCY_RATIO_TOLERANCE;
        cost += slowness.max(0.0) * REQUEST_COST_MS;
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

    /// Time to read what of the prompt the upstream is not known to hold, in milliseconds.
    ///
    /// A part counts only if all parts before it are held too; the engine that ran the turn before
    /// holds all but the new input.
    fn prefill_ms(&self, known: &TrackedUpstream, request: &ChoiceRequest<'_>) -> f64 {
        if request.holder == Some(&known.entry.id) {
            let last = request.blocks.last().map_or(0, |block| block.tokens);
            return last.min(NEW_INPUT_TOKENS) as f64 / PREFILL_TOKENS_PER_MS;
        }
        let held = request.blocks.iter().take_while(|block| {
            self.resident.get(&block.id).is_some_and(|ids| ids.contains(&known.entry.id))
        });
        let missing = request.blocks.iter().skip(held.count()).map(|block| block.tokens);
        missing.sum::<u64>() as f64 / PREFILL_TOKENS_PER_MS
    }
}
