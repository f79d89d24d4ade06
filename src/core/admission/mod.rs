//! Which new programs are turned away while engines have far more work than they can do in time.
//!
//! Engines take work in the order in which it comes and queue several times what they can run. Offered
//! more than they can do, they come to a turn when its caller has left, and do their work for nobody.
//! So the load is cut where the least is lost: at first turns, the least urgent first, as soon as
//! turns wait far longer than their objective allows. Programs under way are never turned away here.
//!
//! Gain: with engines three times slower than the load was made for, programs earned 0.24 to 0.27 of what
//! they were worth instead of 0.10 to 0.11 (two plays each of the same load).

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::core::routing::ServiceName;

/// Share of the newest wait in the running mean: about the last ten count, most of a second's at an
/// instance with 14 turns a second.
const WAIT_SHARE: f64 = 0.1;
/// Shares by which the least wait follows a shorter and a longer one. What an engine takes without a
/// queue is learned within a second; in an overload of 6 s it rises by a tenth of the queue.
const LEAST_FALL: f64 = 0.1;
const LEAST_RISE: f64 = 0.001;
/// Part of the objective that turns may wait beyond what they do without a queue: all of it. At 0.4 a
/// burst of 6 s was cut that most programs would have stood (worth 0.67 and 0.66 to 0.57 and 0.65).
const TARGET_SHARE: f64 = 1.0;
/// How often the level follows the wait: a few turns are heard of meanwhile.
const STEP: Duration = Duration::from_millis(100);
/// Part by which the level falls in a step while the wait is at twice its target or more, and what it
/// gains in a step below the target: down to half in 0.5 s, up again in 5 to 7 s, as queues are worked
/// off more slowly than they grow.
const FALL: f64 = 0.15;
const GAIN: f64 = 0.02;
/// First turns that are always let in, so that no kind of request starves.
const LEAST_SHARE: f64 = 0.15;
/// Nothing heard for so long says that nothing waits.
const QUIET: Duration = Duration::from_secs(1);
/// How long a priority counts as present after its last first turn.
const PRESENT: Duration = Duration::from_secs(5);
/// Shortest time until a caller that was turned away may come back.
const RETRY_LEAST: Duration = Duration::from_millis(300);

/// Whether a first turn is let in.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AdmissionReply {
    Admitted,
    TurnedAway {
        /// When so many are expected to be let in again that this one is among them.
        retry_after: Duration,
        /// Part of its kind that is let in at present.
        share: f64,
        /// How long turns wait beyond what they do without a queue.
        excess: Duration,
    },
}

/// A first turn that asks to be let in.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionRequest<'a> {
    pub service: &'a str,
    /// Decides for all attempts of the program: drawn anew for each, six attempts at a share of a
    /// quarter would let four in five programs in.
    pub program: &'a str,
    /// 0 is the most urgent.
    pub priority: u8,
    pub now: Instant,
}

/// The load of one service as this instance's turns meet it.
#[derive(Debug)]
struct ServiceLoad {
    /// Running mean and least value of the time to the first word, in milliseconds.
    wait: f64,
    least: f64,
    target: f64,
    /// From 1, all are let in, to 0.
    level: f64,
    heard: Instant,
    stepped: Instant,
    /// Priorities of first turns, and when one last came.
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

    /// Part of the first turns of a priority that is let in. The most urgent ones are cut only when
    /// all others have been.
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

/// Lets in as many new programs as their engines can serve in time.
#[derive(Debug, Default)]
pub struct AdmissionGate {
    services: BTreeMap<ServiceName, ServiceLoad>,
}

impl AdmissionGate {
    /// Notes how long a turn waited for its first word, reading aside, and the objective of its route.
    pub fn note_wait(&mut self, service: &str, millis: f64, objective: Duration, now: Instant) {
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

    /// Notes how long a turn had waited whose caller left without a word. It would have waited longer, so
    /// it can only raise the mean: taken for a wait like others, callers that leave early would make
    /// engines that are slow by nature look overloaded.
    pub fn note_left(&mut self, service: &str, millis: f64, now: Instant) {
        let Some(load) = self.services.get_mut(service) else { return };
        load.step(now);
        if millis > load.wait {
            load.heard = now;
            load.wait += WAIT_SHARE * (millis - load.wait);
        }
    }

    /// Decides about a program's first turn.
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
        AdmissionReply::TurnedAway { retry_after, share, excess }
    }
}
