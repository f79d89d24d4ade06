//! Rejects first turns while the engines of a service are overloaded, lowest priority first.
//!
//! Engines queue far more work than they can run, so under overload they serve requests whose
//! callers have left. Load is shed only at first turns, where no work is lost yet.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::core::routing::ServiceName;

/// The mean covers about the last ten samples, most of a second at an instance with 14 turns/s.
const WAIT_WEIGHT: f64 = 0.1;
/// Rises are followed far more slowly than falls, so that an overload doesn't shift the baseline:
/// falls are learned within a second, and an overload of 6 s raises it by a tenth of the queue.
const BASELINE_FALL_WEIGHT: f64 = 0.1;
const BASELINE_RISE_WEIGHT: f64 = 0.001;
/// Setpoint of the excess wait, as a ratio of the route's objective. At 0.4 it cut bursts of 6 s
/// although most of their programs would have ended in time.
const SETPOINT_RATIO: f64 = 1.0;
/// Long enough for a few samples.
const CONTROL_INTERVAL: Duration = Duration::from_millis(100);
/// Multiplicative decrease of the level per interval at twice the setpoint or more, which halves it
/// in about 0.5 s.
const DECREASE_FACTOR: f64 = 0.15;
/// Additive increase of the level per interval below the setpoint, which takes it from 0 to 1 in
/// 5 s. Slower than the decrease, as queues drain more slowly than they grow.
const INCREASE_STEP: f64 = 0.02;
/// Keeps every priority from starving.
const MIN_ADMITTED_FRACTION: f64 = 0.15;
/// Without a sample for this long the queue counts as empty.
const SAMPLE_TIMEOUT: Duration = Duration::from_secs(1);
/// A priority without a first turn for this long no longer counts as present.
const PRIORITY_TIMEOUT: Duration = Duration::from_secs(5);
const MIN_RETRY_DELAY: Duration = Duration::from_millis(300);

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AdmissionReply {
    Admitted,
    Rejected {
        /// Time after which the program is admitted if the level rises steadily.
        retry_after: Duration,
        /// Fraction of first turns of this priority that is admitted at present.
        admitted_fraction: f64,
        /// Mean wait above the baseline.
        excess: Duration,
    },
}

/// A program's first turn.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionRequest<'a> {
    pub service: &'a str,
    /// Hashed for the decision, so that retries of a program don't raise its chance. With a new
    /// draw for each, six attempts at a fraction of a quarter would admit four in five programs.
    pub program: &'a str,
    /// 0 is the most urgent.
    pub priority: u8,
    pub now: Instant,
}

/// Waits and admission level of one service as seen by this instance. Times are in milliseconds.
#[derive(Debug)]
struct ServiceLoad {
    /// Moving average of the time to the first token, less the prefill.
    wait: f64,
    /// Estimated wait without a queue.
    baseline: f64,
    setpoint: f64,
    /// From 0 to 1, which admits everything.
    level: f64,
    sampled: Instant,
    updated: Instant,
    /// Priorities present, with the time of their last first turn.
    priorities: BTreeMap<u8, Instant>,
}

impl ServiceLoad {
    fn new(wait: f64, setpoint: f64, now: Instant) -> Self {
        let priorities = BTreeMap::new();
        Self { wait, baseline: wait, setpoint, level: 1.0, sampled: now, updated: now, priorities }
    }

    fn excess(&self) -> f64 {
        (self.wait - self.baseline).max(0.0)
    }

    fn update(&mut self, now: Instant) {
        if now.saturating_duration_since(self.sampled) > SAMPLE_TIMEOUT {
            self.wait = self.baseline;
        }
        let pressure = self.excess() / self.setpoint.max(1.0);
        let intervals =
            now.saturating_duration_since(self.updated).as_millis() / CONTROL_INTERVAL.as_millis();
        if intervals == 0 {
            return;
        }
        self.updated = now;
        if pressure > 1.0 {
            self.level *= 1.0 - DECREASE_FACTOR * (pressure - 1.0).min(1.0);
        } else {
            self.level = (self.level + INCREASE_STEP * intervals as f64).min(1.0);
        }
    }

    /// The most urgent priority is cut only when all others are at the minimum.
    fn admitted_fraction(&self, priority: u8) -> f64 {
        let urgent = self.priorities.keys().next().is_none_or(|first| priority <= *first);
        let fraction = match (urgent, self.priorities.len()) {
            (true, 0 | 1) => self.level,
            (true, _) => 2.0 * self.level,
            (false, _) => 2.0 * self.level - 1.0,
        };
        fraction.clamp(MIN_ADMITTED_FRACTION, 1.0)
    }
}

/// Admits as many new programs as the engines can serve in time.
#[derive(Debug, Default)]
pub struct AdmissionGate {
    services: BTreeMap<ServiceName, ServiceLoad>,
}

impl AdmissionGate {
    /// `millis` is the time to the first token, less the prefill.
    pub fn record_wait(&mut self, service: &str, millis: f64, objective: Duration, now: Instant) {
        let setpoint = objective.as_secs_f64() * 1e3 * SETPOINT_RATIO;
        let fresh = || ServiceLoad::new(millis, setpoint, now);
        let load = self.services.entry(service.into()).or_insert_with(fresh);
        load.update(now);
        load.sampled = now;
        load.setpoint = setpoint;
        load.wait += WAIT_WEIGHT * (millis - load.wait);
        let weight =
            if millis < load.baseline { BASELINE_FALL_WEIGHT } else { BASELINE_RISE_WEIGHT };
        load.baseline += weight * (millis - load.baseline);
    }

    /// Records the wait of a turn whose caller left before the first token. As a lower bound, it
    /// never lowers the mean or moves the baseline. Otherwise callers that leave early would make
    /// engines that are slow by nature look overloaded.
    pub fn record_abandoned(&mut self, service: &str, millis: f64, now: Instant) {
        let Some(load) = self.services.get_mut(service) else { return };
        load.update(now);
        if millis > load.wait {
            load.sampled = now;
            load.wait += WAIT_WEIGHT * (millis - load.wait);
        }
    }

    pub fn admit(&mut self, request: &AdmissionRequest<'_>) -> AdmissionReply {
        let now = request.now;
        let Some(load) = self.services.get_mut(request.service) else {
            return AdmissionReply::Admitted;
        };
        load.update(now);
        load.priorities.retain(|_, seen| now.saturating_duration_since(*seen) < PRIORITY_TIMEOUT);
        load.priorities.insert(request.priority, now);
        let admitted_fraction = load.admitted_fraction(request.priority);
        let draw = xxh3_64(request.program.as_bytes()) as f64 / u64::MAX as f64;
        if draw < admitted_fraction {
            return AdmissionReply::Admitted;
        }
        let intervals = (draw - admitted_fraction) / INCREASE_STEP;
        let retry_after = CONTROL_INTERVAL.mul_f64(intervals).max(MIN_RETRY_DELAY);
        let excess = Duration::from_secs_f64(load.excess() / 1e3);
        AdmissionReply::Rejected { retry_after, admitted_fraction, excess }
    }
}
