//! The upstreams known to this instance, with their health and cached prompt blocks.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use tokio::time::Instant;

use super::departures::{DepartureCause, DepartureLog, ReturnVerdict};
use super::health::LOAD_DECAY;
use super::index::ServiceIndex;
use super::pressure::PressureCache;
use super::readability::StoreReadability;
use super::speed::{ServiceSpeed, UpstreamSpeed};
use super::{
    AttemptResult, AttemptTiming, BlockId, StartMillis, UpstreamEntry, UpstreamHealth,
    UpstreamIncarnation, UpstreamState,
};
use crate::core::decay::DecayingSum;
use crate::core::ids::UpstreamId;
use crate::core::load::{LoadKey, load_key};
use crate::core::routing::ServiceName;

/// The mean covers about the last hundred samples.
const BASELINE_LATENCY_WEIGHT: f64 = 0.01;
/// 20,000 blocks take about 2 MB.
const MAX_RESIDENT_BLOCKS: usize = 20_000;

/// The store drops the entry of a silent upstream after three heartbeats, so one that stays for longer
/// was not a late write.
const PROBATION: Duration = Duration::from_secs(4);

/// Beyond it, start times of upstreams that are no longer listed are dropped. 10,000 take about
/// 0.5 MB.
const MAX_START_TIMES: usize = 10_000;

/// Upstreams with an attempt within this window may have an idle connection, as these are kept for
/// some seconds, so every choice considers them.
const RECENT_WINDOW: Duration = Duration::from_secs(5);
/// Size at which entries older than [`RECENT_WINDOW`] are pruned.
const MAX_RECENT: usize = 128;

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UpstreamUpdate {
    Listed(UpstreamEntry),
    Removed(UpstreamId),
    /// The row cannot be decoded. Another writer may have written it, so it is no sign of a departure.
    Undecodable(UpstreamId),
}

#[derive(Debug)]
pub(super) struct TrackedUpstream {
    pub(super) entry: UpstreamEntry,
    pub(super) health: UpstreamHealth,
    pub(super) load: DecayingSum,
    pub(super) load_key: LoadKey,
    pub(super) speed: UpstreamSpeed,
    /// When this instance first saw the incarnation.
    first_seen: Instant,
    /// Set if the entry was removed in an outage of the store or shortly after it: the total time of
    /// readability after which the removal takes effect.
    lapses_after: Option<Duration>,
    /// Set if the upstream had left the list, and until another heartbeat shows that it is alive.
    unproven_until: Option<Instant>,
}

impl TrackedUpstream {
    fn new(entry: UpstreamEntry, now: Instant) -> Self {
        let (health, load) = (UpstreamHealth::default(), DecayingSum::default());
        Self {
            load_key: load_key(&entry.id, entry.started_at),
            entry,
            health,
            load,
            speed: UpstreamSpeed::default(),
            first_seen: now,
            lapses_after: None,
            unproven_until: None,
        }
    }

    /// Applies an entry of the same incarnation; true if it changes what may be chosen.
    fn refresh(&mut self, entry: UpstreamEntry) -> bool {
        // A heartbeat of before the known one may be applied after it. An upstream that drains is
        // leaving in any case.
        let is_outdated = entry.sequence < self.entry.sequence;
        if is_outdated && entry.state == UpstreamState::Ready {
            return false;
        }
        if entry.sequence > self.entry.sequence {
            self.lapses_after = None;
            self.unproven_until = None;
        }
        let changed = self.entry.state != entry.state || self.entry.address != entry.address;
        // Draining is final for an incarnation: a late entry with the earlier state must not undo it.
        if self.entry.state == UpstreamState::Ready {
            self.entry = entry;
        }
        changed
    }
}

#[derive(Debug, Default)]
pub struct UpstreamTable {
    pub(super) upstreams: BTreeMap<UpstreamId, TrackedUpstream>,
    pub(super) index: ServiceIndex,
    /// Time of the last attempt of this instance, for upstreams used recently.
    pub(super) recent: HashMap<UpstreamId, Instant>,
    readability: StoreReadability,
    departures: DepartureLog,
    pub(super) resident: HashMap<BlockId, BTreeSet<UpstreamId>>,
    resident_order: VecDeque<BlockId>,
    /// Moving averages in milliseconds.
    baseline_latencies: BTreeMap<ServiceName, f64>,
    speeds: BTreeMap<ServiceName, ServiceSpeed>,
    default_speed: ServiceSpeed,
    pub(super) pressures: PressureCache,
    /// Newest incarnation by id, including upstreams that are no longer listed.
    start_times: BTreeMap<UpstreamId, StartMillis>,
    stale_addresses: Vec<Box<str>>,
    /// Incarnations that ended without draining since they were last taken.
    ended: Vec<LoadKey>,
}

impl UpstreamTable {
    /// Returns true if the update changes what may be chosen.
    pub fn apply(&mut self, update: UpstreamUpdate, now: Instant) -> bool {
        match update {
            UpstreamUpdate::Listed(entry) => self.list(entry, now),
            UpstreamUpdate::Removed(id) => self.remove(&id, DepartureCause::Removed, now),
            UpstreamUpdate::Undecodable(id) => self.remove(&id, DepartureCause::Lapsed, now),
        }
    }

    /// Applies the complete list; upstreams that it lacks are removed.
    pub fn replace(&mut self, entries: Vec<UpstreamEntry>, now: Instant) {
        let listed: BTreeSet<UpstreamId> = entries.iter().map(|entry| entry.id.clone()).collect();
        for entry in entries {
            self.list(entry, now);
        }
        let gone: Vec<_> =
            self.upstreams.keys().filter(|id| !listed.contains(*id)).cloned().collect();
        for id in gone {
            self.remove(&id, DepartureCause::Removed, now);
        }
    }

    fn list(&mut self, entry: UpstreamEntry, now: Instant) -> bool {
        if self.is_previous_incarnation(&entry) {
            return false;
        }
        if self.starts_incarnation(&entry) {
            self.end_incarnation(&entry.id);
            self.departures.forget(&entry.id);
        }
        if let Some(started_at) = entry.started_at {
            self.start_times.insert(entry.id.clone(), started_at);
            self.prune_start_times();
        }
        match self.upstreams.get_mut(&entry.id) {
            Some(known) => known.refresh(entry),
            None => self.add(entry, now),
        }
    }

    /// Returns true if the upstream may be chosen.
    fn add(&mut self, entry: UpstreamEntry, now: Instant) -> bool {
        let verdict = self.departures.judge(&entry, now);
        if verdict == ReturnVerdict::Outdated {
            return false;
        }
        self.departures.forget(&entry.id);
        self.index.insert(&entry);
        let mut tracked = TrackedUpstream::new(entry, now);
        let is_proven = verdict == ReturnVerdict::Accepted;
        tracked.unproven_until = (!is_proven).then(|| now + PROBATION);
        self.upstreams.insert(tracked.entry.id.clone(), tracked);
        is_proven
    }

    fn end_incarnation(&mut self, id: &str) {
        for holders in self.resident.values_mut() {
            holders.remove(id);
        }
        let former = self.forget(id);
        self.stale_addresses.extend(former.map(|known| known.entry.address));
    }

    /// A store may apply a write seconds late. Accepted, an entry of an earlier incarnation would route
    /// requests to an address where nothing listens.
    fn is_previous_incarnation(&self, entry: &UpstreamEntry) -> bool {
        self.start_times
            .get(&entry.id)
            .is_some_and(|newest| entry.started_at.is_none_or(|started_at| started_at < *newest))
    }

    /// All state of an upstream ends with its incarnation. Kept, it would route turns to an engine that
    /// has lost their chain, and an upstream that had drained would never get work again.
    fn starts_incarnation(&self, entry: &UpstreamEntry) -> bool {
        let newest = self.start_times.get(&entry.id).copied();
        entry.started_at > newest && (newest.is_some() || self.upstreams.contains_key(&entry.id))
    }

    /// Addresses of incarnations that ended since the last call; pooled connections to them are dead.
    pub fn take_stale_addresses(&mut self) -> Vec<Box<str>> {
        std::mem::take(&mut self.stale_addresses)
    }

    /// Incarnations that ended without draining since the last call.
    pub fn take_ended(&mut self) -> Vec<LoadKey> {
        std::mem::take(&mut self.ended)
    }

    fn prune_start_times(&mut self) {
        if self.start_times.len() > MAX_START_TIMES {
            let listed = &self.upstreams;
            self.start_times.retain(|id, _| listed.contains_key(id));
        }
    }

    /// Returns whether this incarnation is the listed one.
    pub fn has_incarnation(&self, id: &str, started_at: Option<StartMillis>) -> bool {
        self.upstreams.get(id).is_some_and(|known| known.entry.started_at == started_at)
    }

    /// Entries of healthy upstreams expire in an outage of the store. Dropping them all at once would
    /// leave no upstream, so removals are deferred until they should have been rewritten. A repeated
    /// removal or another outage does not restart that time, or else troubles that follow each other
    /// would defer a removal without end.
    fn remove(&mut self, id: &str, cause: DepartureCause, now: Instant) -> bool {
        if let Some(grace) = self.readability.grace(now) {
            if let Some(known) = self.upstreams.get_mut(id) {
                let lapses_after = self.readability.total(now) + grace;
                known.lapses_after.get_or_insert(lapses_after);
            }
            return false;
        }
        self.depart(id, cause, now)
    }

    fn depart(&mut self, id: &str, cause: DepartureCause, now: Instant) -> bool {
        let former = self.forget(id);
        if let Some(former) = &former {
            self.departures.record(&former.entry, cause, now);
        }
        former.is_some()
    }

    fn forget(&mut self, id: &str) -> Option<TrackedUpstream> {
        let former = self.upstreams.remove(id)?;
        if former.entry.state == UpstreamState::Ready {
            self.ended.push(former.load_key);
        }
        self.index.remove(&former.entry);
        self.recent.remove(id);
        Some(former)
    }

    /// An entry that expired in an outage stays available only until it should have been rewritten.
    /// This must not depend on a further update, as the upstream may really be gone.
    pub(super) fn is_available(&self, known: &TrackedUpstream, now: Instant) -> bool {
        let is_proven = known.unproven_until.is_none_or(|until| now >= until);
        !self.has_lapsed(known, now) && is_proven && known.entry.state == UpstreamState::Ready
    }

    /// Returns whether a request may be sent to this incarnation. Asked again before it is sent, since
    /// the upstream may have left after the choice.
    pub fn accepts_work(&self, incarnation: &UpstreamIncarnation, now: Instant) -> bool {
        self.upstreams.get(&incarnation.id).is_some_and(|known| {
            known.entry.started_at == incarnation.started_at && self.is_available(known, now)
        })
    }

    fn has_lapsed(&self, known: &TrackedUpstream, now: Instant) -> bool {
        known.lapses_after.is_some_and(|lapses_after| self.readability.total(now) >= lapses_after)
    }

    pub fn set_store_readable(&mut self, readable: bool, now: Instant) {
        self.readability.set(readable, now);
    }

    /// Records a recovery of the store that a peer observed.
    pub fn record_store_recovery(&mut self, at: Instant) {
        self.readability.record_recovery(at);
    }

    /// `None` once removals are no longer deferred for the recovery.
    pub fn time_since_recovery(&self, now: Instant) -> Option<Duration> {
        self.readability.time_since_recovery(now)
    }

    /// Removes entries that were not rewritten after an outage and returns their ids.
    pub fn expire(&mut self, now: Instant) -> Vec<UpstreamId> {
        let expired = self.upstreams.iter().filter(|(_, known)| self.has_lapsed(known, now));
        let gone: Vec<_> = expired.map(|(id, _)| id.clone()).collect();
        for id in &gone {
            self.depart(id, DepartureCause::Lapsed, now);
        }
        gone
    }

    pub fn get(&self, id: &str) -> Option<&UpstreamEntry> {
        self.upstreams.get(id).map(|known| &known.entry)
    }

    pub fn len(&self) -> usize {
        self.upstreams.len()
    }

    pub fn ejected_count(&self, now: Instant) -> usize {
        self.upstreams.values().filter(|known| known.health.is_ejected(now)).count()
    }

    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    pub fn serves(&self, service: &str) -> bool {
        self.upstreams.values().any(|known| {
            *known.entry.service == *service && known.entry.state == UpstreamState::Ready
        })
    }

    /// `work_ms` is the time for which the attempt is expected to keep the upstream busy.
    pub fn started(&mut self, id: &str, work_ms: f64, now: Instant) {
        let Some(known) = self.upstreams.get_mut(id) else { return };
        known.health.started(now);
        known.load.add(work_ms, now, LOAD_DECAY);
        if self.recent.len() >= MAX_RECENT {
            self.recent.retain(|_, used| now.saturating_duration_since(*used) < RECENT_WINDOW);
        }
        self.recent.insert(id.into(), now);
    }

    pub fn record_first_byte(&mut self, id: &str, started: Instant) {
        if let Some(known) = self.tracked_since(id, started) {
            known.health.record_first_byte(started);
        }
    }

    pub fn ended(&mut self, id: &str, started: Instant, result: AttemptResult, now: Instant) {
        if let Some(known) = self.tracked_since(id, started) {
            known.health.ended(started, result, now);
        }
    }

    /// `None` if the attempt went to an earlier incarnation, whose results say nothing about this one.
    fn tracked_since(&mut self, id: &str, started: Instant) -> Option<&mut TrackedUpstream> {
        self.upstreams.get_mut(id).filter(|known| known.first_seen <= started)
    }

    /// Adds a latency sample, which is compared with the moving average of the service.
    pub fn observe_latency(&mut self, id: &str, millis: f64, now: Instant) {
        let Some(known) = self.upstreams.get_mut(id) else { return };
        let baseline = self.baseline_latencies.entry(known.entry.service.clone()).or_insert(millis);
        *baseline += BASELINE_LATENCY_WEIGHT * (millis - *baseline);
        if *baseline > 0.0 {
            known.health.observe_latency_ratio(millis / *baseline, now);
        }
    }

    /// Adds the timing of a completed attempt to the learned speeds.
    pub fn observe_timing(
        &mut self,
        id: &str,
        started: Instant,
        timing: &AttemptTiming,
        now: Instant,
    ) {
        let known = self.upstreams.get_mut(id).filter(|known| known.first_seen <= started);
        let Some(known) = known else { return };
        let service = self.speeds.entry(known.entry.service.clone()).or_default();
        known.speed.observe(service, timing, now);
    }

    pub(super) fn service_speed(&self, service: &str) -> &ServiceSpeed {
        self.speeds.get(service).unwrap_or(&self.default_speed)
    }

    pub fn record_resident(&mut self, id: &UpstreamId, block: &BlockId) {
        if let Some(holders) = self.resident.get_mut(block) {
            holders.insert(id.clone());
            return;
        }
        if self.resident.len() >= MAX_RESIDENT_BLOCKS
            && let Some(oldest) = self.resident_order.pop_front()
        {
            self.resident.remove(&oldest);
        }
        self.resident_order.push_back(block.clone());
        self.resident.insert(block.clone(), BTreeSet::from([id.clone()]));
    }
}
