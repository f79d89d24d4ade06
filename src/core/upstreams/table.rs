//! The list of upstreams as this instance knows it.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use tokio::time::Instant;

use super::index::ServiceIndex;
use super::{
    AttemptResult, StartMillis, BlockId, RecentLoad, UpstreamEntry, UpstreamHealth, UpstreamState,
};
use crate::core::ids::UpstreamId;
use crate::core::routing::ServiceName;

/// Entries that lapse while the store is away return within about two seconds of its return; the
/// rest is the way of the news to this instance.
const RECOVERY_GRACE: Duration = Duration::from_millis(2_300);
/// Share of the newest measurement in a service's running mean: some hundred count.
const BASELINE_LATENCY_WEIGHT: f64 = 0.01;
/// Records of which upstream has read which part; 20,000 take some 2 MB.
const MAX_RESIDENT_BLOCKS: usize = 20_000;

/// Births remembered of upstreams that are gone; beyond that those of listed ones remain. 10,000 take
/// some 0.5 MB.
const MAX_START_TIMES: usize = 10_000;

/// How long ago an attempt may be for its upstream to be looked at by every choice: connections are
/// kept for some seconds.
const RECENT_WINDOW: Duration = Duration::from_secs(5);
/// Upstreams of late among which older ones are looked for.
const MAX_RECENT: usize = 128;

/// One line of news from the store's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UpstreamUpdate {
    Listed(UpstreamEntry),
    Removed(UpstreamId),
}

#[derive(Debug)]
pub(super) struct TrackedUpstream {
    pub(super) entry: UpstreamEntry,
    pub(super) health: UpstreamHealth,
    pub(super) load: RecentLoad,
    /// When this life of the upstream was first heard of.
    first_seen: Instant,
    /// Whether the entry vanished about an outage of the store.
    expired_in_outage: bool,
}

impl TrackedUpstream {
    fn new(entry: UpstreamEntry, now: Instant) -> Self {
        let (health, load) = (UpstreamHealth::default(), RecentLoad::default());
        Self { entry, health, load, first_seen: now, expired_in_outage: false }
    }

    /// Takes in another entry of the same life; true if it changes what may be chosen.
    fn refresh(&mut self, entry: UpstreamEntry) -> bool {
        self.expired_in_outage = false;
        let changed = self.entry.state != entry.state || self.entry.address != entry.address;
        // A draining upstream returns only with a new life; late news of an earlier state must not
        // revive it.
        if self.entry.state == UpstreamState::Ready {
            self.entry = entry;
        }
        changed
    }
}

/// All listed upstreams with their health and what their memory is known to hold.
#[derive(Debug, Default)]
pub struct UpstreamTable {
    pub(super) upstreams: BTreeMap<UpstreamId, TrackedUpstream>,
    pub(super) index: ServiceIndex,
    /// When upstreams last got an attempt of this instance, those of late.
    pub(super) recent: HashMap<UpstreamId, Instant>,
    /// Since when the store has not been readable.
    unreadable_since: Option<Instant>,
    /// When it became readable again.
    recovered_at: Option<Instant>,
    pub(super) resident: HashMap<BlockId, BTreeSet<UpstreamId>>,
    resident_order: VecDeque<BlockId>,
    /// Running means of what is measured at each service's upstreams, in milliseconds.
    baseline_latencies: BTreeMap<ServiceName, f64>,
    /// Newest life heard of by id, also of upstreams that are gone.
    start_times: BTreeMap<UpstreamId, StartMillis>,
    /// Addresses of lives that ended since this was last asked.
    stale_addresses: Vec<Box<str>>,
}

impl UpstreamTable {
    /// Takes in news; true if they changed what may be chosen.
    pub fn apply(&mut self, update: UpstreamUpdate, now: Instant) -> bool {
        match update {
            UpstreamUpdate::Listed(entry) => self.list(entry, now),
            UpstreamUpdate::Removed(id) => self.remove(&id, now),
        }
    }

    /// Takes in the whole list: what it lacks is gone.
    pub fn replace(&mut self, entries: Vec<UpstreamEntry>, now: Instant) {
        let listed: BTreeSet<UpstreamId> = entries.iter().map(|entry| entry.id.clone()).collect();
        for entry in entries {
            self.list(entry, now);
        }
        let gone: Vec<_> =
            self.upstreams.keys().filter(|id| !listed.contains(*id)).cloned().collect();
        for id in gone {
            self.remove(&id, now);
        }
    }

    fn list(&mut self, entry: UpstreamEntry, now: Instant) -> bool {
        if self.is_previous_incarnation(&entry) {
            return false;
        }
        if self.starts_incarnation(&entry) {
            self.end_incarnation(&entry.id);
        }
        if let Some(started_at) = entry.started_at {
            self.start_times.insert(entry.id.clone(), started_at);
            self.prune_start_times();
        }
        match self.upstreams.get_mut(&entry.id) {
            Some(known) => known.refresh(entry),
            None => {
                let id = entry.id.clone();
                self.index.insert(&entry);
                self.upstreams.insert(id, TrackedUpstream::new(entry, now));
                true
            }
        }
    }

    /// Ends all that is believed of an upstream.
    fn end_incarnation(&mut self, id: &str) {
        for holders in self.resident.values_mut() {
            holders.remove(id);
        }
        let former = self.forget(id);
        self.stale_addresses.extend(former.map(|known| known.entry.address));
    }

    /// Whether an entry was written by an earlier life than the newest one heard of. A store may
    /// apply a write seconds late: believed, it would send work to an address where nobody is.
    fn is_previous_incarnation(&self, entry: &UpstreamEntry) -> bool {
        self.start_times
            .get(&entry.id)
            .is_some_and(|newest| entry.started_at.is_none_or(|started_at| started_at < *newest))
    }

    /// Whether an entry tells of a life that follows another one under the same id. All that is
    /// believed of the upstream ends with the former: kept, turns would go where no chain is held any
    /// more, and one that had drained would get no work for good.
    fn starts_incarnation(&self, entry: &UpstreamEntry) -> bool {
        let newest = self.start_times.get(&entry.id).copied();
        entry.started_at > newest && (newest.is_some() || self.upstreams.contains_key(&entry.id))
    }

    /// Addresses of upstreams that have started anew since this was last asked: connections that
    /// are kept there lead to nobody.
    pub fn take_stale_addresses(&mut self) -> Vec<Box<str>> {
        std::mem::take(&mut self.stale_addresses)
    }

    fn prune_start_times(&mut self) {
        if self.start_times.len() > MAX_START_TIMES {
            let listed = &self.upstreams;
            self.start_times.retain(|id, _| listed.contains_key(id));
        }
    }

    /// Whether an upstream still lives that had this birth.
    pub fn has_incarnation(&self, id: &str, started_at: Option<StartMillis>) -> bool {
        self.upstreams.get(id).is_some_and(|known| known.entry.started_at == started_at)
    }

    /// An entry that vanishes in or right after an outage of the store may only have lapsed, with
    /// the upstream in full health: dropping all of them at once would leave nobody to serve.
    fn remove(&mut self, id: &str, now: Instant) -> bool {
        if self.defers_removals(now) {
            if let Some(known) = self.upstreams.get_mut(id) {
                known.expired_in_outage = true;
            }
            return false;
        }
        self.forget(id).is_some()
    }

    fn forget(&mut self, id: &str) -> Option<TrackedUpstream> {
        let former = self.upstreams.remove(id)?;
        self.index.remove(&former.entry);
        self.recent.remove(id);
        Some(former)
    }

    /// Whether an upstream may be given work. One that vanished about an outage may until it should
    /// have returned, which must not wait for further news: it may really have left.
    pub(super) fn is_available(&self, known: &TrackedUpstream, now: Instant) -> bool {
        let listed = !known.expired_in_outage || self.defers_removals(now);
        listed && known.entry.state == UpstreamState::Ready
    }

    fn defers_removals(&self, now: Instant) -> bool {
        let recovering = self.recovered_at.is_some_and(|recovered| now < recovered + RECOVERY_GRACE);
        self.unreadable_since.is_some() || recovering
    }

    /// Notes whether the store could be read.
    pub fn set_store_readable(&mut self, readable: bool, now: Instant) {
        match (readable, self.unreadable_since) {
            (true, Some(_)) => {
                self.unreadable_since = None;
                self.recovered_at = Some(now);
            }
            (false, None) => self.unreadable_since = Some(now),
            (true, None) | (false, Some(_)) => {}
        }
    }

    /// Notes a return of the store that a peer has seen.
    pub fn record_store_recovery(&mut self, at: Instant) {
        self.recovered_at = self.recovered_at.max(Some(at));
    }

    /// How long ago the store returned, while entries that vanished are doubted for that.
    pub fn time_since_recovery(&self, now: Instant) -> Option<Duration> {
        let elapsed = self.recovered_at.map(|recovered| now.saturating_duration_since(recovered));
        elapsed.filter(|elapsed| *elapsed < RECOVERY_GRACE)
    }

    /// Drops entries that did not return after an outage; their ids.
    pub fn expire(&mut self, now: Instant) -> Vec<UpstreamId> {
        if self.defers_removals(now) {
            return Vec::new();
        }
        let expired = self.upstreams.iter().filter(|(_, known)| known.expired_in_outage);
        let gone: Vec<_> = expired.map(|(id, _)| id.clone()).collect();
        for id in &gone {
            self.forget(id);
        }
        gone
    }

    pub fn get(&self, id: &str) -> Option<&UpstreamEntry> {
        self.upstreams.get(id).map(|known| &known.entry)
    }

    pub fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// Upstreams that are passed over after failures.
    pub fn ejected_count(&self, now: Instant) -> usize {
        self.upstreams.values().filter(|known| known.health.is_ejected(now)).count()
    }

    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    /// Whether any upstream of a service may be given work.
    pub fn serves(&self, service: &str) -> bool {
        self.upstreams.values().any(|known| {
            *known.entry.service == *service && known.entry.state == UpstreamState::Ready
        })
    }

    /// An attempt starts that is expected to keep the upstream busy for so long, in milliseconds.
    pub fn started(&mut self, id: &str, work_ms: f64, now: Instant) {
        let Some(known) = self.upstreams.get_mut(id) else { return };
        known.health.started(now);
        known.load.add(work_ms, now);
        if self.recent.len() >= MAX_RECENT {
            self.recent.retain(|_, used| now.saturating_duration_since(*used) < RECENT_WINDOW);
        }
        self.recent.insert(id.into(), now);
    }

    /// The first bytes of an answer came, to an attempt that began then.
    pub fn record_first_byte(&mut self, id: &str, started: Instant) {
        if let Some(known) = self.tracked_since(id, started) {
            known.health.record_first_byte(started);
        }
    }

    /// An attempt that began then has ended.
    pub fn ended(&mut self, id: &str, started: Instant, result: AttemptResult, now: Instant) {
        if let Some(known) = self.tracked_since(id, started) {
            known.health.ended(started, result, now);
        }
    }

    /// The upstream whose present life got an attempt that began then; what happens to attempts at a
    /// former life says nothing about it.
    fn tracked_since(&mut self, id: &str, started: Instant) -> Option<&mut TrackedUpstream> {
        self.upstreams.get_mut(id).filter(|known| known.first_seen <= started)
    }

    /// Notes a time that tells how fast an upstream works, in milliseconds. It is held against the
    /// usual one of its service.
    pub fn observe_latency(&mut self, id: &str, millis: f64, now: Instant) {
        let Some(known) = self.upstreams.get_mut(id) else { return };
        let baseline = self.baseline_latencies.entry(known.entry.service.clone()).or_insert(millis);
        *baseline += BASELINE_LATENCY_WEIGHT * (millis - *baseline);
        if *baseline > 0.0 {
            known.health.observe_latency_ratio(millis / *baseline, now);
        }
    }

    /// Notes that an upstream has read a part of a prompt.
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
