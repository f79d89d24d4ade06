//! The list of upstreams as this instance knows it.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use tokio::time::Instant;

use super::{AttemptResult, PartId, RecentWork, UpstreamEntry, UpstreamHealth, UpstreamState};
use crate::core::ids::UpstreamId;
use crate::core::routing::ServiceName;

/// Entries that lapse while the store is away return within about two seconds of its return; the
/// rest is the way of the news to this instance.
const RETURN_GRACE: Duration = Duration::from_millis(2_300);
/// Share of the newest measurement in a service's running mean: some hundred count.
const USUAL_SHARE: f64 = 0.01;
/// Records of which upstream has read which part; 20,000 take some 2 MB.
const MAX_RESIDENT: usize = 20_000;

/// One line of news from the store's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ListNews {
    Listed(UpstreamEntry),
    Removed(UpstreamId),
}

#[derive(Debug)]
pub(super) struct TrackedUpstream {
    pub(super) entry: UpstreamEntry,
    pub(super) health: UpstreamHealth,
    pub(super) work: RecentWork,
    /// Whether the entry vanished about an outage of the store.
    missing: bool,
}

/// All listed upstreams with their health and what their memory is known to hold.
#[derive(Debug, Default)]
pub struct UpstreamTable {
    pub(super) upstreams: BTreeMap<UpstreamId, TrackedUpstream>,
    /// Since when the store has not been readable.
    lost_since: Option<Instant>,
    /// When it became readable again.
    back_since: Option<Instant>,
    pub(super) resident: HashMap<PartId, BTreeSet<UpstreamId>>,
    resident_order: VecDeque<PartId>,
    /// Running means of what is measured at each service's upstreams, in milliseconds.
    usual: BTreeMap<ServiceName, f64>,
}

impl UpstreamTable {
    /// Takes in news; true if they changed what may be chosen.
    pub fn apply(&mut self, news: ListNews, now: Instant) -> bool {
        match news {
            ListNews::Listed(entry) => self.list(entry),
            ListNews::Removed(id) => self.remove(&id, now),
        }
    }

    /// Takes in the whole list: what it lacks is gone.
    pub fn replace(&mut self, entries: Vec<UpstreamEntry>, now: Instant) {
        let listed: BTreeSet<UpstreamId> = entries.iter().map(|entry| entry.id.clone()).collect();
        for entry in entries {
            self.list(entry);
        }
        let gone: Vec<_> =
            self.upstreams.keys().filter(|id| !listed.contains(*id)).cloned().collect();
        for id in gone {
            self.remove(&id, now);
        }
    }

    fn list(&mut self, entry: UpstreamEntry) -> bool {
        let Some(known) = self.upstreams.get_mut(&entry.id) else {
            let health = UpstreamHealth::default();
            let id = entry.id.clone();
            self.upstreams.insert(
                id,
                TrackedUpstream { entry, health, work: RecentWork::default(), missing: false },
            );
            return true;
        };
        known.missing = false;
        let changed = known.entry.state != entry.state || known.entry.address != entry.address;
        // A draining upstream never returns; late news of an earlier state must not revive it.
        if known.entry.state == UpstreamState::Ready {
            known.entry = entry;
        }
        changed
    }

    /// An entry that vanishes in or right after an outage of the store may only have lapsed, with
    /// the upstream in full health: dropping all of them at once would leave nobody to serve.
    fn remove(&mut self, id: &str, now: Instant) -> bool {
        if self.is_doubtful(now) {
            if let Some(known) = self.upstreams.get_mut(id) {
                known.missing = true;
            }
            return false;
        }
        self.upstreams.remove(id).is_some()
    }

    /// Whether an upstream may be given work. One that vanished about an outage may until it should
    /// have returned, which must not wait for further news: it may really have left.
    pub(super) fn is_usable(&self, known: &TrackedUpstream, now: Instant) -> bool {
        let listed = !known.missing || self.is_doubtful(now);
        listed && known.entry.state == UpstreamState::Ready
    }

    fn is_doubtful(&self, now: Instant) -> bool {
        let lately = self.back_since.is_some_and(|back| now < back + RETURN_GRACE);
        self.lost_since.is_some() || lately
    }

    /// Notes whether the store could be read.
    pub fn store_readable(&mut self, readable: bool, now: Instant) {
        match (readable, self.lost_since) {
            (true, Some(_)) => {
                self.lost_since = None;
                self.back_since = Some(now);
            }
            (false, None) => self.lost_since = Some(now),
            (true, None) | (false, Some(_)) => {}
        }
    }

    /// Drops entries that did not return after an outage; their ids.
    pub fn expire(&mut self, now: Instant) -> Vec<UpstreamId> {
        if self.is_doubtful(now) {
            return Vec::new();
        }
        let missing = self.upstreams.iter().filter(|(_, known)| known.missing);
        let gone: Vec<_> = missing.map(|(id, _)| id.clone()).collect();
        for id in &gone {
            self.upstreams.remove(id);
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
    pub fn aside(&self, now: Instant) -> usize {
        self.upstreams.values().filter(|known| known.health.is_aside(now)).count()
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
        if let Some(known) = self.upstreams.get_mut(id) {
            known.health.started(now);
            known.work.add(work_ms, now);
        }
    }

    /// The first bytes of an answer came, to an attempt that began then.
    pub fn heard(&mut self, id: &str, begun: Instant) {
        if let Some(known) = self.upstreams.get_mut(id) {
            known.health.heard(begun);
        }
    }

    /// An attempt that began then has ended.
    pub fn ended(&mut self, id: &str, begun: Instant, result: AttemptResult, now: Instant) {
        if let Some(known) = self.upstreams.get_mut(id) {
            known.health.ended(begun, result, now);
        }
    }

    /// Notes a time that tells how fast an upstream works, in milliseconds. It is held against the
    /// usual one of its service.
    pub fn measure(&mut self, id: &str, millis: f64, now: Instant) {
        let Some(known) = self.upstreams.get_mut(id) else { return };
        let usual = self.usual.entry(known.entry.service.clone()).or_insert(millis);
        *usual += USUAL_SHARE * (millis - *usual);
        if *usual > 0.0 {
            known.health.measure(millis / *usual, now);
        }
    }

    /// Notes that an upstream has read a part of a prompt.
    pub fn note_resident(&mut self, id: &UpstreamId, part: &PartId) {
        if let Some(holders) = self.resident.get_mut(part) {
            holders.insert(id.clone());
            return;
        }
        if self.resident.len() >= MAX_RESIDENT
            && let Some(oldest) = self.resident_order.pop_front()
        {
            self.resident.remove(&oldest);
        }
        self.resident_order.push_back(part.clone());
        self.resident.insert(part.clone(), BTreeSet::from([id.clone()]));
    }
}
