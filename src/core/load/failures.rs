//! Upstreams that other instances report as failed.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use super::aggregator::REPORT_RETENTION;
use super::{LoadKey, LoadView};

/// Sum of the reports from which all instances avoid an upstream.
const MIN_REPORTS: u32 = 2;
/// Report of an instance that may be partitioned itself.
const SINGLE_REPORT: u32 = 1;
/// Report of an instance that reaches most of its other upstreams.
const RELIABLE_REPORT: u32 = MIN_REPORTS;
/// Time for which one instance may try an avoided upstream.
const PROBE_WINDOW: Duration = Duration::from_millis(500);

/// How much the report of an instance counts that has recent answers from `reached` of its `others`.
pub fn report_weight(reached: usize, others: usize) -> u32 {
    if reached * 2 > others { RELIABLE_REPORT } else { SINGLE_REPORT }
}

/// Rendezvous key of the instance that may try an avoided upstream at this time of the wall clock.
pub fn probe_key(upstream: LoadKey, wall_time: Duration) -> String {
    format!("probe/{upstream}/{}", wall_time.as_millis() / PROBE_WINDOW.as_millis())
}

/// Time of continuous reports.
#[derive(Debug, Clone, Copy)]
struct ReportPeriod {
    since: Instant,
    confirmed_at: Instant,
}

impl ReportPeriod {
    /// False if the reports expired while the view was stale.
    fn is_recent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.confirmed_at) < REPORT_RETENTION
    }
}

/// Upstreams to avoid, and since when.
#[derive(Debug, Clone, Default)]
pub struct ReportedFailures {
    periods: HashMap<LoadKey, ReportPeriod>,
}

impl ReportedFailures {
    /// Follows the reports in a fresh view. A stale one changes nothing: after a lost summary, an
    /// avoidance that a success has ended would otherwise begin again.
    pub fn update(&mut self, view: &LoadView, now: Instant) {
        if !view.is_fresh(now) {
            return;
        }
        let is_avoided =
            |key: LoadKey| view.load(key, now).is_some_and(|load| load.failing >= MIN_REPORTS);
        self.periods.retain(|key, period| is_avoided(*key) && period.is_recent(now));
        for key in view.failing_keys().filter(|key| is_avoided(*key)) {
            let period = ReportPeriod { since: now, confirmed_at: now };
            self.periods.entry(key).or_insert(period).confirmed_at = now;
        }
    }

    pub fn is_empty(&self) -> bool {
        self.periods.is_empty()
    }

    pub fn keys(&self) -> impl Iterator<Item = LoadKey> + '_ {
        self.periods.keys().copied()
    }

    /// When the upstream was first reported, without a break in the reports since.
    pub fn since(&self, key: LoadKey) -> Option<Instant> {
        self.periods.get(&key).map(|period| period.since)
    }
}
