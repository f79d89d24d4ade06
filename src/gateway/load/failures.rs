//! Shares the failures of upstreams, as part of their load.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, UNIX_EPOCH};

use tokio::time::Instant;

use super::{SharedLoad, SharedUpstreams};
use crate::core::load::{LoadKey, LoadView, probe_key};
use crate::core::upstreams::AvoidedUpstream;
use crate::gateway::Gateway;

/// Reports expire after this time at the aggregators; without summaries they expire here.
const REPORT_RETENTION: Duration = Duration::from_millis(750);

impl SharedLoad {
    fn upstreams(&self) -> Option<Rc<dyn SharedUpstreams>> {
        self.upstreams.borrow().as_ref()?.upgrade()
    }

    /// Takes the failures that this instance sees into its own counts.
    pub(super) fn collect_failures(&self, now: Instant) {
        if let Some(upstreams) = self.upstreams() {
            let failing = upstreams.failure_reports(&self.view.borrow(), now);
            self.view.borrow_mut().set_failing(&failing);
        }
    }

    /// Avoids what the totals report as failed.
    pub(super) fn apply_failures(&self, now: Instant) {
        let Some(upstreams) = self.upstreams() else { return };
        let mut failures = self.failures.borrow_mut();
        let had_failures = !failures.is_empty();
        failures.update(&self.view.borrow(), now);
        // What a stale view reported before stays avoided until the reports expire.
        if !had_failures && failures.is_empty() || !self.view.borrow().is_fresh(now) {
            return;
        }
        let wall_time = (self.wall_clock)().duration_since(UNIX_EPOCH).unwrap_or_default();
        let avoided = failures.keys().filter_map(|key| {
            let avoided = AvoidedUpstream {
                since: failures.since(key)?,
                until: now + REPORT_RETENTION,
                may_probe: self.peers.is_preferred(&probe_key(key, wall_time)),
            };
            Some((key, avoided))
        });
        upstreams.set_avoided(&avoided.collect(), now);
    }
}

impl SharedUpstreams for Gateway {
    fn failure_reports(&self, view: &LoadView, now: Instant) -> Vec<(LoadKey, u32)> {
        let upstreams = self.feed.upstreams.borrow();
        upstreams.failure_reports(|service| self.shares_load(service), view, now)
    }

    fn set_avoided(&self, avoided: &HashMap<LoadKey, AvoidedUpstream>, now: Instant) {
        let (added, removed) = self.feed.upstreams.borrow_mut().set_avoided(avoided, now);
        for upstream in added {
            log::info!("event=upstream_avoided upstream={upstream} cause=reports");
        }
        for upstream in removed {
            log::info!("event=upstream_usable upstream={upstream} cause=reports");
        }
    }
}
