//! Roster of upstreams and instances: polls the platform's list and ejects failing upstreams.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout};

use super::instance::Node;
use super::platform::{RosterEntry, RosterRole};

const REFRESH_INTERVAL: Duration = Duration::from_secs(1);
const MIN_EJECTION: Duration = Duration::from_secs(1);
const MAX_EJECTION: Duration = Duration::from_secs(30);
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Debug, Clone, Copy)]
struct EjectionState {
    next_probe: Instant,
    backoff: Duration,
    /// The next call is a trial: success readmits the upstream, a refusal ejects it for longer.
    half_open: bool,
}

#[derive(Debug, Default)]
pub(crate) struct RosterView {
    entries: BTreeMap<Box<str>, RosterEntry>,
    ejected: BTreeMap<Box<str>, EjectionState>,
    /// Time of the last refresh that no longer listed a known engine.
    engine_removed: Option<Instant>,
}

impl RosterView {
    pub(crate) fn get(&self, id: &str) -> Option<&RosterEntry> {
        self.entries.get(id)
    }

    pub(crate) fn serving(&self, role: RosterRole, group: &str) -> Vec<RosterEntry> {
        let fits = |entry: &&RosterEntry| {
            entry.role == role && &*entry.group == group && self.is_serving(&entry.id)
        };
        self.entries.values().filter(fits).cloned().collect()
    }

    pub(crate) fn is_serving(&self, id: &str) -> bool {
        let listed = self.entries.get(id).is_some_and(|entry| !entry.leaving);
        listed && self.ejected.get(id).is_none_or(|ejected| ejected.half_open)
    }

    /// Ejects an upstream with exponential backoff.
    ///
    /// The platform's list lags behind: refusals show first that an upstream leaves or has died.
    /// A dead upstream appears idle and would otherwise attract every call.
    fn eject(&mut self, id: &str, now: Instant) {
        let last = self.ejected.get(id).copied();
        if last.is_some_and(|last| !last.half_open) {
            return;
        }
        let backoff = last.map_or(MIN_EJECTION, |last| (last.backoff * 2).min(MAX_EJECTION));
        self.ejected.insert(
            id.into(),
            EjectionState { next_probe: now + backoff, backoff, half_open: false },
        );
    }

    fn readmit(&mut self, id: &str) {
        self.ejected.remove(id);
    }

    fn due_for_probe(&self, now: Instant) -> Vec<RosterEntry> {
        let due = self
            .ejected
            .iter()
            .filter(|(_, ejected)| !ejected.half_open && ejected.next_probe <= now);
        due.filter_map(|(id, _)| self.entries.get(id).cloned()).collect()
    }

    fn record_probe(&mut self, id: &str, answers: bool, now: Instant) {
        let Some(ejected) = self.ejected.get_mut(id) else { return };
        ejected.half_open = answers;
        if !answers {
            ejected.backoff = (ejected.backoff * 2).min(MAX_EJECTION);
            ejected.next_probe = now + ejected.backoff;
        }
    }

    pub(crate) fn lost_engine_within(&self, window: Duration) -> bool {
        self.engine_removed.is_some_and(|lost| lost.elapsed() < window)
    }

    fn replace(&mut self, entries: BTreeMap<Box<str>, RosterEntry>) {
        let gone = |entry: &RosterEntry| !entries.contains_key(&entry.id);
        let engine = |entry: &RosterEntry| entry.role == RosterRole::Engine;
        if self.entries.values().any(|entry| engine(entry) && gone(entry)) {
            self.engine_removed = Some(Instant::now());
        }
        self.ejected.retain(|id, _| entries.contains_key(id));
        self.entries = entries;
    }

    /// Entries of a role, leaving ones included.
    pub(crate) fn all(&self, role: RosterRole) -> Vec<RosterEntry> {
        self.entries.values().filter(|entry| entry.role == role).cloned().collect()
    }
}

impl Node {
    pub(crate) fn spawn_roster(self: Rc<Self>) {
        actix_rt::spawn(async move {
            while !self.is_stopped() {
                sleep(REFRESH_INTERVAL).await;
                self.refresh_roster().await;
                self.probe_ejected().await;
            }
        });
    }

    /// Refreshes the roster; the last one stays in use while the platform is unavailable.
    pub(crate) async fn refresh_roster(&self) {
        let Ok(entries) = self.roster_source.list().await else { return };
        let entries: BTreeMap<_, _> =
            entries.into_iter().map(|entry| (entry.id.clone(), entry)).collect();
        let changed = self.roster.borrow().entries != entries;
        if changed {
            self.roster.borrow_mut().replace(entries);
            self.reassign_engines();
        }
    }

    /// Ejects an upstream that refused a call or could not be reached.
    pub(crate) fn eject_upstream(&self, upstream: &str) {
        if self.roster.borrow().is_serving(upstream) {
            self.event("upstream_put_aside").upstream(upstream).log();
        }
        self.roster.borrow_mut().eject(upstream, Instant::now());
    }

    pub(crate) fn readmit_upstream(&self, upstream: &str) {
        self.roster.borrow_mut().readmit(upstream);
    }

    /// Probes ejected upstreams that are due. Services have no probe request: they become half open,
    /// and the next call decides.
    async fn probe_ejected(&self) {
        let due = self.roster.borrow().due_for_probe(Instant::now());
        for entry in due {
            let answers = match entry.role {
                RosterRole::Engine => {
                    let asking = timeout(PROBE_TIMEOUT, self.engines.held_programs(&entry.address));
                    matches!(asking.await, Ok(Ok(_)))
                }
                RosterRole::Service | RosterRole::Instance => true,
            };
            self.roster.borrow_mut().record_probe(&entry.id, answers, Instant::now());
        }
    }
}
