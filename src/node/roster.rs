//! The platform's list, refreshed every second, and what was learnt about upstreams since.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout};

use super::instance::Node;
use super::platform::{RosterEntry, RosterRole};

const REFRESH: Duration = Duration::from_secs(1);
const FIRST_ASIDE: Duration = Duration::from_secs(1);
const MAX_ASIDE: Duration = Duration::from_secs(30);
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// An upstream that refused work or could not be reached.
#[derive(Debug, Clone, Copy)]
struct AsideEntry {
    /// When it is looked at again.
    until: Instant,
    backoff: Duration,
    /// Whether it may be tried again; another refusal puts it aside for longer.
    open: bool,
}

/// The roster as last read, and the upstreams put aside since.
#[derive(Debug, Default)]
pub(crate) struct RosterView {
    entries: BTreeMap<Box<str>, RosterEntry>,
    aside: BTreeMap<Box<str>, AsideEntry>,
    /// When an engine was last missing that had been listed before.
    engine_lost: Option<Instant>,
}

impl RosterView {
    pub(crate) fn get(&self, id: &str) -> Option<&RosterEntry> {
        self.entries.get(id)
    }

    /// Entries of a role and group that may get new work.
    pub(crate) fn serving(&self, role: RosterRole, group: &str) -> Vec<RosterEntry> {
        let fits = |entry: &&RosterEntry| {
            entry.role == role && &*entry.group == group && self.is_serving(&entry.id)
        };
        self.entries.values().filter(fits).cloned().collect()
    }

    /// Whether an upstream may get new work.
    pub(crate) fn is_serving(&self, id: &str) -> bool {
        let listed = self.entries.get(id).is_some_and(|entry| !entry.leaving);
        listed && self.aside.get(id).is_none_or(|aside| aside.open)
    }

    /// Keeps new work from an upstream for a while, each time for longer.
    ///
    /// The platform's list lags: an upstream that leaves or has died shows it by refusals first.
    /// Without this every call would try it anew, the more so as it seems to have room.
    fn put_aside(&mut self, id: &str, now: Instant) {
        let last = self.aside.get(id).copied();
        if last.is_some_and(|last| !last.open) {
            return;
        }
        let backoff = last.map_or(FIRST_ASIDE, |last| (last.backoff * 2).min(MAX_ASIDE));
        self.aside.insert(id.into(), AsideEntry { until: now + backoff, backoff, open: false });
    }

    fn readmit(&mut self, id: &str) {
        self.aside.remove(id);
    }

    /// Upstreams put aside whose time is over.
    fn due(&self, now: Instant) -> Vec<RosterEntry> {
        let due = self.aside.iter().filter(|(_, aside)| !aside.open && aside.until <= now);
        due.filter_map(|(id, _)| self.entries.get(id).cloned()).collect()
    }

    /// Takes in the answer of an upstream that was looked at again.
    fn probed(&mut self, id: &str, answers: bool, now: Instant) {
        let Some(aside) = self.aside.get_mut(id) else { return };
        aside.open = answers;
        if !answers {
            aside.backoff = (aside.backoff * 2).min(MAX_ASIDE);
            aside.until = now + aside.backoff;
        }
    }

    /// Whether an engine has gone from the list within the last `window`.
    pub(crate) fn lost_engine_within(&self, window: Duration) -> bool {
        self.engine_lost.is_some_and(|lost| lost.elapsed() < window)
    }

    fn replace(&mut self, entries: BTreeMap<Box<str>, RosterEntry>) {
        let gone = |entry: &RosterEntry| !entries.contains_key(&entry.id);
        let engine = |entry: &RosterEntry| entry.role == RosterRole::Engine;
        if self.entries.values().any(|entry| engine(entry) && gone(entry)) {
            self.engine_lost = Some(Instant::now());
        }
        self.aside.retain(|id, _| entries.contains_key(id));
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
                sleep(REFRESH).await;
                self.refresh_roster().await;
                self.probe_aside().await;
            }
        });
    }

    /// Reads the list; if the platform does not answer, the last one stays in use.
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

    /// Notes that an upstream refused a call or could not be reached.
    pub(crate) fn put_aside(&self, upstream: &str) {
        if self.roster.borrow().is_serving(upstream) {
            self.event("upstream_put_aside").upstream(upstream).log();
        }
        self.roster.borrow_mut().put_aside(upstream, Instant::now());
    }

    /// Notes that an upstream has answered a call.
    pub(crate) fn readmit(&self, upstream: &str) {
        self.roster.borrow_mut().readmit(upstream);
    }

    /// Looks again at upstreams that were put aside: engines are asked what they hold, services,
    /// which have no such question, get the next call.
    async fn probe_aside(&self) {
        let due = self.roster.borrow().due(Instant::now());
        for entry in due {
            let answers = match entry.role {
                RosterRole::Engine => {
                    let asking = timeout(PROBE_TIMEOUT, self.engines.held_programs(&entry.address));
                    matches!(asking.await, Ok(Ok(_)))
                }
                RosterRole::Service | RosterRole::Instance => true,
            };
            self.roster.borrow_mut().probed(&entry.id, answers, Instant::now());
        }
    }
}
