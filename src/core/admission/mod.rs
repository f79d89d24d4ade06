//! Rejects first turns while the engines of a service are overloaded, lowest priority first.
//!
//! Engines queue far more work than they can run, so under overload they serve requests whose
//! callers have left. Load is shed only at first turns, where no work is lost yet.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::core::routing::ServiceName;

const WAIT_SHARE: f64 = 0.1;
/// Rises are followed far more slowly than falls, so that an overload doesn't shift the estimate.
const LEAST_FALL: f64 = 0.1;
const LEAST_RISE: f64 = 0.001;
/// Setpoint of the excess wait, as a ratio of the route's objective.
const TARGET_SHARE: f64 = 1.0;
const STEP: Duration = Duration::from_millis(100);
/// Multiplicative decrease of the level per step at twice the target or more, and additive increase
/// below the target. The increase is slower, as queues drain more slowly than they grow.
const FALL: f64 = 0.15;
const GAIN: f64 = 0.02;
/// Keeps every priority from starving.
const LEAST_SHARE: f64 = 0.15;
/// Without a sample for this long the queue counts as empty.
const QUIET: Duration = Duration::from_secs(1);
/// A priority without a first turn for this long no longer counts as present.
const PRESENT: Duration = Duration::from_secs(5);
const RETRY_LEAST: Duration = Duration::from_millis(300);

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AdmissionReply {
    Admitted,
    Rejected {
        /// Time after which the program is admitted if the level rises steadily.
        retry_after: Duration,
        /// Fraction of first turns of this priority that is admitted at present.
        admitted_fraction: f64,
        /// Mean wait above the least.
        excess: Duration,
    },
}

/// A program's first turn.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionRequest<'a> {
    pub service: &'a str,
    /// Hashed for the decision, so that retries of a program don't raise its chance.
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
    least: f64,
    target: f64,
    /// From 0 to 1, which admits everything.
    level: f64,
    heard: Instant,
    stepped: Instant,
    /// Priorities present, with the time of their last first turn.
    priorities: BTreeMap<u8, Instant>,
}

impl ServiceLoad {
    fn new(wait: f64, target: f64, now: Instant) -> Self {
        let priorities = BTreeMap::new();
        Self { wait, least: wait, target, level: 1.0, heard: now, stepped: now, priorities }
    }

    fn excess(&self) -> f64 {
        (self.wait - self.least).max(0.0)
    }

    fn step(&mut self, now: Instant) {
        if now.saturating_duration_since(self.heard) > QUIET {
            self.wait = self.least;
        }
        let pressure = self.excess() / self.target.max(1.0);
        let steps = now.saturating_duration_since(self.stepped).as_millis() / STEP.as_millis();
        if steps == 0 {
            return;
        }
        self.stepped = now;
        if pressure > 1.0 {
            self.level *= 1.0 - FALL * (pressure - 1.0).min(1.0);
        } else {
            self.level = (self.level + GAIN * steps as f64).min(1.0);
        }
    }

    /// The most urgent priority is cut only when all others are at the minimum.
    fn share(&self, priority: u8) -> f64 {
        let urgent = self.priorities.keys().next().is_none_or(|first| priority <= *first);
        let share = match (urgent, self.priorities.len()) {
            (true, 0 | 1) => self.level,
            (true, _) => 2.0 * self.level,
            (false, _) => 2.0 * self.level - 1.0,
        };
        share.clamp(LEAST_SHARE, 1.0)
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
        let target = objective.as_secs_f64() * 1e3 * TARGET_SHARE;
        let fresh = || ServiceLoad::new(millis, target, now);
        let load = self.services.entry(service.into()).or_insert_with(fresh);
        load.step(now);
        load.heard = now;
        load.target = target;
        load.wait += WAIT_SHARE * (millis - load.wait);
        let follow = if millis < load.least { LEAST_FALL } else { LEAST_RISE };
        load.least += follow * (millis - load.least);
    }

    /// Records the wait of a turn whose caller left before the first token. As a lower bound, it
    /// never lowers the mean or moves the least wait.
    pub fn record_abandoned(&mut self, service: &str, millis: f64, now: Instant) {
        let Some(load) = self.services.get_mut(service) else { return };
        load.step(now);
        if millis > load.wait {
            load.heard = now;
            load.wait += WAIT_SHARE * (millis - load.wait);
        }
    }

    pub fn admit(&mut self, request: &AdmissionRequest<'_>) -> AdmissionReply {
        let now = request.now;
        let Some(load) = self.services.get_mut(request.service) else {
            return AdmissionReply::Admitted;
        };
        load.step(now);
        load.priorities.retain(|_, seen| now.saturating_duration_since(*seen) < PRESENT);
        load.priorities.insert(request.priority, now);
        let share = load.share(request.priority);
        let draw = xxh3_64(request.program.as_bytes()) as f64 / u64::MAX as f64;
        if draw < share {
            return AdmissionReply::Admitted;
        }
        let steps = (draw - share) / GAIN;
        let retry_after = STEP.mul_f64(steps).max(RETRY_LEAST);
        let excess = Duration::from_secs_f64(load.excess() / 1e3);
        AdmissionReply::Rejected { retry_after, admitted_fraction: share, excess }
    }
}
