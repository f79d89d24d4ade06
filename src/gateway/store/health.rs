//! Availability and latency of the paths to the store, observed from calls.

use std::time::Duration;

use tokio::time::Instant;

use crate::gateway::latency::LatencyEstimate;
use crate::node::platform::StoreError;
use crate::util::pause::TickWatch;

/// Bounds of the timeout of a call, beyond the time for which the store holds it on purpose. The
/// store answers within 4 to 10 ms, and within about 700 ms if it is slowed 60-fold.
const MIN_CALL_TIMEOUT: Duration = Duration::from_millis(1_200);
const MAX_CALL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The timeout as a multiple of the mean latency.
const TIMEOUT_FACTOR: f64 = 8.0;
/// The median latency is about 14 ms in normal operation, and 250 ms or more if the store is slowed
/// 50-fold.
const SLOW_LATENCY: Duration = Duration::from_millis(80);
/// Bounds of the delay before a call is also sent over another path. All writes are conditional, so
/// a duplicate changes nothing, and a lost answer costs about 100 ms instead of the whole timeout.
///
/// The upper bound exceeds the latency of a slow store: one slowed 60-fold takes 600 ms for a
/// write, and with a bound of 600 ms each write was sent at least twice, which slowed it further.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(100);
const MAX_HEDGE_DELAY: Duration = Duration::from_secs(2);
/// The hedge delay as a multiple of the mean latency.
const HEDGE_FACTOR: f64 = 4.0;
/// The mean covers about the last four calls.
const LATENCY_WEIGHT: f64 = 0.25;
/// A partition in which more than a second of writes waits refuses further ones (429). If another
/// call was answered within this time, the store is not taken for unavailable, so that one busy
/// partition does not stop or divert all calls. Busy instances make at least 50 calls per second,
/// so even if half of them are refused, one is answered about every 40 ms.
const OVER_RATE_MAX_AGE: Duration = Duration::from_millis(300);

#[derive(Debug, Clone, Copy)]
pub(super) struct StoreHealth {
    latency: LatencyEstimate,
    /// Set while no path works.
    unavailable_since: Option<Instant>,
    /// Cleared by the next direct answer.
    direct_failed_at: Option<Instant>,
    direct_answered_at: Option<Instant>,
    /// Time of the last answer over any path.
    answered_at: Option<Instant>,
    over_rate_at: Option<Instant>,
    ticks: TickWatch,
    /// Time of the first tick after a pause of the process.
    resumed_at: Option<Instant>,
}

impl Default for StoreHealth {
    fn default() -> Self {
        Self {
            latency: LatencyEstimate::new(LATENCY_WEIGHT),
            unavailable_since: None,
            direct_failed_at: None,
            direct_answered_at: None,
            answered_at: None,
            over_rate_at: None,
            ticks: TickWatch::default(),
            resumed_at: None,
        }
    }
}

impl StoreHealth {
    pub(super) fn timeout(&self) -> Duration {
        self.latency.scaled(TIMEOUT_FACTOR, MIN_CALL_TIMEOUT, MAX_CALL_TIMEOUT)
    }

    pub(super) fn hedge_delay(&self) -> Duration {
        self.latency.scaled(HEDGE_FACTOR, MIN_HEDGE_DELAY, MAX_HEDGE_DELAY)
    }

    pub(super) fn is_slow(&self) -> bool {
        self.latency.mean() > SLOW_LATENCY
    }

    /// Returns `None` while any path works.
    pub(super) fn unavailable_since(&self) -> Option<Instant> {
        self.unavailable_since
    }

    pub(super) fn is_direct_unavailable(&self) -> bool {
        self.direct_failed_at.is_some()
    }

    /// Time since the direct path failed, if a peer has relayed a call meanwhile.
    pub(super) fn relayed_for(&self) -> Option<Duration> {
        let since = self.direct_failed_at?;
        let answered = self.answered_at.is_some_and(|at| at >= since);
        (answered && self.unavailable_since.is_none()).then(|| since.elapsed())
    }

    /// Records that the process runs; it does so again after `interval` unless it is paused.
    pub(super) fn record_tick(&mut self, interval: Duration) {
        if self.ticks.is_overdue() {
            log::info!("event=process_resumed");
            self.resumed_at = Some(Instant::now());
        }
        self.ticks.record(interval);
    }

    /// Timeouts of calls that span a pause of the process say nothing about the store. Taken for an outage,
    /// they would defer the removal of upstreams that left meanwhile.
    fn was_paused_since(&self, begun: Instant) -> bool {
        self.ticks.is_overdue() || self.resumed_at.is_some_and(|at| at >= begun)
    }

    pub(super) fn record_answer(&mut self) {
        self.answered_at = Some(Instant::now());
    }

    /// The latency of a held call is ignored: it depends on when something changes.
    pub(super) fn record_direct_answer(&mut self, begun: Instant, held: bool) {
        self.record_answer();
        self.direct_answered_at = Some(Instant::now());
        if !held {
            self.latency.record_since(begun);
        }
        if self.direct_failed_at.take().is_some() {
            log::info!("event=dependency_regained dependency=store way=direct");
        }
    }

    /// Ignored if another direct call was answered since `begun`, so that a single lost answer does
    /// not divert all calls to peers.
    pub(super) fn record_direct_failure(&mut self, begun: Instant, error: &StoreError) {
        let answered = self.direct_answered_at.is_some_and(|at| at >= begun);
        if answered || self.direct_failed_at.is_some() || self.was_paused_since(begun) {
            return;
        }
        self.direct_failed_at = Some(Instant::now());
        log::warn!("event=dependency_lost dependency=store way=direct error=\"{error}\"");
    }

    /// Records a refusal with 429. It counts as a failure if no other call was answered recently: a
    /// store may also refuse an instance altogether this way.
    pub(super) fn record_rate_refusal(&mut self, begun: Instant) {
        self.over_rate_at = Some(Instant::now());
        if !self.is_over_rate() {
            self.record_direct_failure(begun, &StoreError::Unavailable);
        }
    }

    /// Returns true if the store refuses some calls with 429 and answers others.
    pub(super) fn is_over_rate(&self) -> bool {
        let recent = |at: Option<Instant>| at.is_some_and(|at| at.elapsed() < OVER_RATE_MAX_AGE);
        recent(self.over_rate_at) && recent(self.direct_answered_at)
    }

    /// Records that all paths failed for a call begun at `begun`. Returns true if the store becomes
    /// unavailable by it.
    pub(super) fn record_failure(&mut self, begun: Instant) -> bool {
        let answered = self.answered_at.is_some_and(|at| at >= begun);
        let is_known = self.unavailable_since.is_some();
        if answered || is_known || self.is_over_rate() || self.was_paused_since(begun) {
            return false;
        }
        self.unavailable_since = Some(Instant::now());
        log::warn!("event=dependency_lost dependency=store way=any");
        true
    }

    /// Returns the start of the outage.
    pub(super) fn record_recovery(&mut self) -> Option<Instant> {
        self.unavailable_since.take()
    }
}
