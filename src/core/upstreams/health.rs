//! What real answers tell of an upstream; nothing is sent just to learn it.

use std::time::Duration;

use tokio::time::Instant;

/// Shortest time an upstream is passed over after a failure: a restart of its process takes
/// about as long.
const MIN_EJECTION: Duration = Duration::from_millis(500);
/// Longest time it is passed over; then one request may try it again.
const MAX_EJECTION: Duration = Duration::from_secs(4);
/// How long an upstream that was full is passed over: a few of its shortest requests end meanwhile.
const FULL_EJECTION: Duration = Duration::from_millis(60);
/// Broken answers in a row before an upstream is passed over: single ones befall sound upstreams.
const BROKEN_THRESHOLD: u32 = 2;
/// Share of the newest measurement in the running mean: about the last four count.
const LATENCY_RATIO_WEIGHT: f64 = 0.25;
/// Time in which what was measured fades to 1/e: an upstream that is passed over for being slow is
/// tried again, and one that is still slow is found out by a few requests.
const LATENCY_RATIO_DECAY: Duration = Duration::from_secs(3);

/// Silence of an attempt that says something about the upstream.
const FIRST_BYTE_TIMEOUT: Duration = Duration::from_secs(1);

/// How one attempt at an upstream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    /// A whole answer.
    Answered,
    /// It refused, unrun, for want of room.
    Full,
    /// No connection, or another upstream answers at its address.
    Unreachable,
    /// The answer broke off or was not an answer.
    Broken,
    /// The caller left, or its deadline passed. It tells something only if the upstream had not said
    /// a word for long.
    Abandoned,
}

/// The passive health of one upstream.
#[derive(Debug, Clone, Default)]
pub struct UpstreamHealth {
    /// Attempts under way from this instance.
    pub running: u32,
    failures: u32,
    broken: u32,
    ejected_until: Option<Instant>,
    latency_ratio: Option<(f64, Instant)>,
    /// When the attempts began of which nothing was heard yet.
    awaiting_first_byte: Vec<Instant>,
}

/// Work given to an upstream lately, fading with time: a rate, without counting it anew.
#[derive(Debug, Clone, Copy, Default)]
pub struct RecentLoad {
    millis: f64,
    at: Option<Instant>,
}

/// Time in which noted work fades to 1/e: some ten turns of an instance, and short against the
/// seconds in which load moves.
const LOAD_DECAY: Duration = Duration::from_secs(1);

impl RecentLoad {
    /// Work of the last second or so, in milliseconds.
    pub fn value_at(&self, now: Instant) -> f64 {
        let Some(at) = self.at else { return 0.0 };
        let age = now.saturating_duration_since(at).as_secs_f64() / LOAD_DECAY.as_secs_f64();
        self.millis * (-age).exp()
    }

    pub fn add(&mut self, millis: f64, now: Instant) {
        self.millis = self.value_at(now) + millis;
        self.at = Some(now);
    }
}

impl UpstreamHealth {
    /// An attempt begins.
    pub fn started(&mut self, now: Instant) {
        self.running += 1;
        self.awaiting_first_byte.push(now);
    }

    /// The first bytes came of the attempt that began then; false if it was heard of before.
    pub fn record_first_byte(&mut self, started: Instant) -> bool {
        let position = self.awaiting_first_byte.iter().position(|at| *at == started);
        position.map(|position| self.awaiting_first_byte.swap_remove(position)).is_some()
    }

    /// The attempt that began then has ended.
    pub fn ended(&mut self, started: Instant, result: AttemptResult, now: Instant) {
        self.running = self.running.saturating_sub(1);
        let overdue = self.record_first_byte(started) && started + FIRST_BYTE_TIMEOUT <= now;
        match result {
            AttemptResult::Abandoned if overdue => self.fail(now),
            result => self.record(result, now),
        }
    }

    /// How much longer than usual it has left an attempt without a word.
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
            }
            AttemptResult::Full => self.eject(FULL_EJECTION, now),
            AttemptResult::Unreachable => self.fail(now),
            AttemptResult::Broken => {
                self.broken += 1;
                if self.broken >= BROKEN_THRESHOLD {
                    self.fail(now);
                }
            }
            AttemptResult::Abandoned => {}
        }
    }

    /// Notes a time measured against the usual one: 1.0 is usual.
    pub fn observe_latency_ratio(&mut self, ratio: f64, now: Instant) {
        let mean = self.latency_ratio(now);
        self.latency_ratio = Some((mean + LATENCY_RATIO_WEIGHT * (ratio - mean), now));
    }

    /// How slow it is; 1.0 is usual.
    pub fn latency_ratio(&self, now: Instant) -> f64 {
        let Some((mean, at)) = self.latency_ratio else { return 1.0 };
        let age = now.saturating_duration_since(at).as_secs_f64() / LATENCY_RATIO_DECAY.as_secs_f64();
        1.0 + (mean - 1.0) * (-age).exp()
    }

    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    fn fail(&mut self, now: Instant) {
        let ejection = (MIN_EJECTION * 2u32.saturating_pow(self.failures.min(8))).min(MAX_EJECTION);
        self.failures += 1;
        self.eject(ejection, now);
    }

    fn eject(&mut self, ejection: Duration, now: Instant) {
        self.ejected_until = self.ejected_until.max(Some(now + ejection));
    }
}
