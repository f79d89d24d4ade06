//! The token bucket of a limiter, with debt for delayed requests.

use std::time::Duration;

use tokio::time::Instant;

#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BucketParams {
    /// Per second.
    pub rate: f64,
    pub capacity: f64,
}

impl BucketParams {
    pub fn fill_time(&self, count: f64) -> Duration {
        Duration::from_secs_f64(
            (count.max(0.0) / self.rate.max(f64::MIN_POSITIVE)).min(MAX_WAIT_SECS),
        )
    }
}

/// The level is negative while granted requests are delayed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TokenBucket {
    level: f64,
    at: Instant,
}

/// Upper bound of computed waits: a rate near zero would overflow a `Duration`.
const MAX_WAIT_SECS: f64 = 3_600.0;

impl TokenBucket {
    pub fn new(level: f64, now: Instant) -> Self {
        Self { level, at: now }
    }

    /// When the parameters changed, the level is carried over and capped at the new capacity.
    pub fn refill(&mut self, params: BucketParams, now: Instant) {
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        self.level = (self.level + params.rate * elapsed).min(params.capacity);
        self.at = self.at.max(now);
    }

    /// Discards all tokens, those since the last refill included; a negative level stays.
    pub fn drain(&mut self, now: Instant) {
        self.level = self.level.min(0.0);
        self.at = self.at.max(now);
    }

    pub fn level(&self) -> f64 {
        self.level
    }

    /// Takes tokens if they are available within `max_wait`, and returns the time until then.
    pub fn take(
        &mut self,
        count: f64,
        params: BucketParams,
        max_wait: Duration,
    ) -> Option<Duration> {
        let wait = self.wait(count, params);
        (wait <= max_wait).then(|| {
            self.level -= count;
            wait
        })
    }

    /// Takes tokens unconditionally, down to a level of minus the capacity.
    pub fn charge(&mut self, count: f64, params: BucketParams) {
        self.level = (self.level - count).max(-params.capacity);
    }

    pub fn refund(&mut self, count: f64, params: BucketParams) {
        self.level = (self.level + count).min(params.capacity);
    }

    pub fn wait(&self, count: f64, params: BucketParams) -> Duration {
        params.fill_time(count - self.level)
    }
}
