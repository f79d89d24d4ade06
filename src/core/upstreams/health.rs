//! Passive health of an upstream, derived from its answers to real requests.

use std::time::Duration;

use tokio::time::Instant;

use super::AvoidedUpstream;
use crate::core::decay::DecayingRatio;

/// About the time that a restart of the process takes.
const MIN_EJECTION: Duration = Duration::from_millis(500);
const MAX_EJECTION: Duration = Duration::from_secs(4);
/// Long enough for some short requests to complete.
const FULL_EJECTION: Duration = Duration::from_millis(60);
/// Consecutive broken answers before ejection: healthy upstreams break single ones off too.
const BROKEN_THRESHOLD: u32 = 2;
/// The mean covers about the last four samples.
const LATENCY_RATIO_WEIGHT: f64 = 0.25;
/// A slow upstream that gets no requests yields no samples; the decay lets it be tried again. If it
/// is still slow, a few requests show it.
const LATENCY_RATIO_DECAY: Duration = Duration::from_secs(3);

/// Wait for the first byte beyond which an attempt counts against the upstream.
const FIRST_BYTE_TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    Answered,
    /// Rejected for lack of capacity without being run.
    Full,
    /// No connection, or another upstream answers at its address.
    Unreachable,
    /// The answer was truncated or malformed.
    Broken,
    /// The caller disconnected or its deadline passed. Counts as a failure only if the first byte
    /// was overdue.
    Abandoned,
    /// Not sent, because the upstream left after it had been chosen.
    Withdrawn,
}

#[derive(Debug, Clone, Default)]
pub struct UpstreamHealth {
    /// Attempts of this instance in flight.
    pub running: u32,
    failures: u32,
    broken: u32,
    ejected_until: Option<Instant>,
    /// End of the last ejection for a failure; an upstream that is only full has not failed.
    failed_until: Option<Instant>,
    /// The last failure was a broken answer or a lost connection.
    is_unreachable: bool,
    answered_at: Option<Instant>,
    avoided: Option<AvoidedUpstream>,
    latency_ratio: DecayingRatio,
    /// Start times of the attempts without a first byte.
    awaiting_first_byte: Vec<Instant>,
}

/// Covers some ten turns of an instance, and is short against the seconds in which load shifts
/// between upstreams.
pub(super) const LOAD_DECAY: Duration = Duration::from_secs(1);

impl UpstreamHealth {
    pub fn started(&mut self, now: Instant) {
        self.running += 1;
        self.awaiting_first_byte.push(now);
    }

    /// Returns false if the attempt that started at `started` is not waiting for its first byte.
    pub fn record_first_byte(&mut self, started: Instant) -> bool {
        let position = self.awaiting_first_byte.iter().position(|at| *at == started);
        position.map(|position| self.awaiting_first_byte.swap_remove(position)).is_some()
    }

    pub fn ended(&mut self, started: Instant, result: AttemptResult, now: Instant) {
        self.running = self.running.saturating_sub(1);
        let overdue = self.record_first_byte(started) && started + FIRST_BYTE_TIMEOUT <= now;
        match result {
            AttemptResult::Abandoned if overdue => self.fail(false, now),
            result => self.record(result, now),
        }
    }

    /// Time by which the oldest attempt without a first byte is overdue.
    pub fn first_byte_overdue(&self, now: Instant) -> Duration {
        let oldest = self.awaiting_first_byte.iter().min();
        let waited = oldest.map_or(Duration::ZERO, |at| now.saturating_duration_since(*at));
        waited.saturating_sub(FIRST_BYTE_TIMEOUT)
    }

    pub fn record(&mut self, result: AttemptResult, now: Instant) {
        match result {
            AttemptResult::Answered => {
                self.failures = 0;
                self.broken = 0;
                self.ejected_until = None;
                self.failed_until = None;
                self.answered_at = Some(now);
            }
            AttemptResult::Full => self.eject(FULL_EJECTION, now),
            AttemptResult::Unreachable => self.fail(true, now),
            AttemptResult::Broken => {
                self.broken += 1;
                if self.broken >= BROKEN_THRESHOLD {
                    self.fail(true, now);
                }
            }
            AttemptResult::Abandoned | AttemptResult::Withdrawn => {}
        }
    }

    /// Adds a sample of latency divided by the mean of the service.
    pub fn observe_latency_ratio(&mut self, ratio: f64, now: Instant) {
        let mean = self.latency_ratio(now);
        self.latency_ratio.set(mean + LATENCY_RATIO_WEIGHT * (ratio - mean), now);
    }

    /// Moving average that decays towards 1.0, the mean of the service.
    pub fn latency_ratio(&self, now: Instant) -> f64 {
        self.latency_ratio.value_at(now, LATENCY_RATIO_DECAY)
    }

    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until) || self.is_avoided(now)
    }

    pub(super) fn set_avoided(&mut self, avoided: Option<AvoidedUpstream>) {
        self.avoided = avoided;
    }

    /// True if other instances report a failure and no later request of this one was answered.
    pub fn is_avoided(&self, now: Instant) -> bool {
        self.avoided.is_some_and(|avoided| {
            let answered = self.answered_at.is_some_and(|at| at > avoided.since);
            let probes = avoided.may_probe && self.running == 0;
            now < avoided.until && !answered && !probes
        })
    }

    /// Ejected for a failure of its own requests.
    pub(super) fn has_failed(&self, now: Instant) -> bool {
        self.failed_until.is_some_and(|until| now < until)
    }

    pub(super) fn is_unreachable(&self, now: Instant) -> bool {
        self.is_unreachable && self.has_failed(now)
    }

    pub(super) fn answered_at(&self) -> Option<Instant> {
        self.answered_at
    }

    fn fail(&mut self, unreachable: bool, now: Instant) {
        let ejection = (MIN_EJECTION * 2u32.saturating_pow(self.failures.min(8))).min(MAX_EJECTION);
        self.failures += 1;
        self.is_unreachable = unreachable;
        self.failed_until = self.failed_until.max(Some(now + ejection));
        self.eject(ejection, now);
    }

    fn eject(&mut self, ejection: Duration, now: Instant) {
        self.ejected_until = self.ejected_until.max(Some(now + ejection));
    }
}
