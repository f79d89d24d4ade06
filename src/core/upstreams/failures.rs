//! Exchanges the failures of upstreams with other instances.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use super::UpstreamTable;
use super::table::TrackedUpstream;
use crate::core::ids::UpstreamId;
use crate::core::load::{LoadKey, LoadView, report_weight};

/// Expected wait beyond which a late first byte is no evidence of a failure.
const MAX_EXPLAINED_WAIT: Duration = Duration::from_millis(500);
/// A first byte that is late by this many expected waits is evidence of a failure.
const WAIT_FACTOR: u32 = 2;
/// Longer than any ejection. Within it, an answer shows that this instance reaches an upstream.
const USE_RETENTION: Duration = Duration::from_secs(5);

/// An upstream that other instances report as failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AvoidedUpstream {
    pub since: Instant,
    /// Unless they are renewed, the reports are valid until then.
    pub until: Instant,
    /// This instance may try it with one request.
    pub may_probe: bool,
}

impl UpstreamTable {
    /// Upstreams of these services that fail at this instance, with the weight of its report. Others'
    /// reports have no influence, so that reports cannot keep themselves alive.
    pub fn failure_reports(
        &self,
        shares_load: impl Fn(&str) -> bool,
        view: &LoadView,
        now: Instant,
    ) -> Vec<(LoadKey, u32)> {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < USE_RETENTION;
        let recent = self.recent.iter().filter(|(_, used_at)| is_recent(**used_at));
        let used = recent.filter_map(|(id, _)| self.upstreams.get(id));
        let used: Vec<_> = used.filter(|known| shares_load(&known.entry.service)).collect();
        let failing: Vec<_> =
            used.iter().filter(|known| self.is_failing(known, view, now)).collect();
        if failing.is_empty() {
            return Vec::new();
        }
        let is_reached = |known: &&&TrackedUpstream| {
            known.health.answered_at().is_some_and(is_recent) && !self.is_failing(known, view, now)
        };
        let weight = report_weight(used.iter().filter(is_reached).count(), used.len() - 1);
        failing.into_iter().map(|known| (known.load_key, weight)).collect()
    }

    /// Replaces the upstreams that are avoided because of reports. Returns those that are newly
    /// avoided, and those that are no more.
    pub fn set_avoided(
        &mut self,
        avoided: &HashMap<LoadKey, AvoidedUpstream>,
        now: Instant,
    ) -> (Vec<UpstreamId>, Vec<UpstreamId>) {
        let (mut added, mut removed) = (Vec::new(), Vec::new());
        for known in self.upstreams.values_mut() {
            let was_avoided = known.health.is_avoided(now);
            known.health.set_avoided(avoided.get(&known.load_key).copied());
            match (was_avoided, known.health.is_avoided(now)) {
                (false, true) => added.push(known.entry.id.clone()),
                (true, false) => removed.push(known.entry.id.clone()),
                (true, true) | (false, false) => {}
            }
        }
        (added, removed)
    }

    /// A queue also delays the first byte, and all instances would then avoid an upstream that is
    /// only full.
    fn is_failing(&self, known: &TrackedUpstream, view: &LoadView, now: Instant) -> bool {
        let Some(load) = view.load(known.load_key, now) else {
            return known.health.is_unreachable(now);
        };
        let slots = known.entry.slots.max(1);
        let queued = load.running.saturating_add(1).saturating_sub(slots);
        let slot_ms = known.speed.slot_ms(self.service_speed(&known.entry.service), now);
        let wait_ms = slot_ms * f64::from(queued) / f64::from(slots);
        let wait = Duration::from_secs_f64(wait_ms / 1e3);
        let late = known.health.first_byte_overdue(now);
        known.health.is_unreachable(now)
            || known.health.has_failed(now) && wait < MAX_EXPLAINED_WAIT
            || late > wait * WAIT_FACTOR
    }
}
