//! Cost of an upstream for a request where the load of all instances is known.

use xxhash_rust::xxh3::xxh3_64;

use super::UpstreamTable;
use super::choice::{ChoiceRequest, LATENCY_RATIO_TOLERANCE, RankedUpstream};
use super::index::mix;
use super::table::TrackedUpstream;
use crate::core::ids::UpstreamId;
use crate::core::load::UpstreamLoad;

/// Upstreams drawn at random in the instance's zone. All instances see the same counts, some of them
/// old, so if each compared all upstreams, all would choose the same one. Few suffice to find one that
/// is not busy.
const NEAR_DRAWS: usize = 5;
/// Upstreams drawn in all zones, so that requests can leave a zone that is full.
const FAR_DRAWS: usize = 2;
/// Upstreams drawn from those that may have an idle connection.
const RECENT_DRAWS: usize = 2;
/// Upstreams considered for an affinity key. They concentrate its prompts while they are idle.
const KEYED: usize = 2;
/// Holders of the longest cached part of the prompt that are considered.
const MAX_HOLDERS: usize = 2;
/// Bounds the work where a prompt's first block is cached by thousands of upstreams.
const MAX_DRAWN_FROM: usize = 128;
/// Matches no upstream's zone, so that all zones are equal.
const ANY_ZONE: &str = "";
/// Lets the rank in the order of an affinity key only break ties.
const KEY_RANK_COST_MS: f64 = 0.01;
/// A turn leaves the upstream that holds its prompt for a gain above this share of the slot time.
/// Smaller gains are within the error of the counts, and reading prompts again costs capacity.
const MOVE_MARGIN: f64 = 0.75;

impl UpstreamTable {
    /// The few upstreams that are compared for a request.
    pub(super) fn placement_candidates<'a>(
        &'a self,
        request: &ChoiceRequest<'_>,
    ) -> Vec<RankedUpstream<'a>> {
        let mut found: Vec<RankedUpstream<'a>> = Vec::new();
        let mut add = |id: &UpstreamId, rank: usize| {
            let known = self.available(id, request);
            if let Some(known) = known
                && found.iter().all(|(_, found)| found.entry.id != known.entry.id)
            {
                found.push((rank, known));
            }
            known.is_some()
        };
        let mut visit = |zone: &str, key: u64, max: usize, is_keyed: bool| {
            let mut visited = 0;
            self.index.visit(request.service, zone, key, |id| {
                visited += usize::from(add(id, if is_keyed { visited } else { KEYED }));
                visited < max
            });
        };
        if let Some(key) = request.affinity {
            visit(request.zone, xxh3_64(key.as_bytes()), KEYED, true);
        }
        visit(request.zone, request.salt, NEAR_DRAWS, false);
        visit(ANY_ZONE, request.salt, FAR_DRAWS, false);
        let mut blocks = request.blocks.iter().rev();
        let holders = blocks.find_map(|block| self.resident.get(&block.id));
        let holders = draw(holders.into_iter().flatten(), MAX_HOLDERS, request.salt);
        let recent = draw(self.recent.keys(), RECENT_DRAWS, request.salt);
        for id in holders.into_iter().chain(recent).chain(request.holder) {
            add(id, KEYED);
        }
        found
    }

    /// Expected delay in milliseconds for the request and, by its prefill, for others.
    pub(super) fn placement_cost(
        &self,
        known: &TrackedUpstream,
        rank: usize,
        load: UpstreamLoad,
        request: &ChoiceRequest<'_>,
    ) -> f64 {
        let service = self.service_speed(&known.entry.service);
        let delayed = load.running.min(known.entry.slots);
        let mut cost = rank as f64 * KEY_RANK_COST_MS;
        cost += self.slot_wait_ms(known, load, request);
        // Prefill also delays each of the turns that run there.
        cost += self.prefill_ms(known, request) * f64::from(1 + delayed);
        let slowness = known.health.latency_ratio(request.now) - LATENCY_RATIO_TOLERANCE;
        cost += slowness.max(0.0) * service.slot_ms();
        if request.holder == Some(&known.entry.id) {
            cost -= MOVE_MARGIN * service.slot_ms();
        }
        cost
    }

    /// Expected wait for a slot with `load` in flight.
    pub(super) fn slot_wait_ms(
        &self,
        known: &TrackedUpstream,
        load: UpstreamLoad,
        request: &ChoiceRequest<'_>,
    ) -> f64 {
        let slots = known.entry.slots.max(1);
        let queued = load.running.saturating_add(1).saturating_sub(slots);
        let slot_ms = known.speed.slot_ms(self.service_speed(&known.entry.service), request.now);
        f64::from(queued) * slot_ms / f64::from(slots)
    }
}

/// Draws up to `max` ids at random.
fn draw<'a>(
    ids: impl Iterator<Item = &'a UpstreamId>,
    max: usize,
    salt: u64,
) -> Vec<&'a UpstreamId> {
    let mut ids: Vec<_> =
        ids.take(MAX_DRAWN_FROM).map(|id| (mix(xxh3_64(id.as_bytes()) ^ !salt), id)).collect();
    ids.sort_unstable();
    ids.into_iter().take(max).map(|(_, id)| id).collect()
}
