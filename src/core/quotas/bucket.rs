//! A bucket that fills at a steady rate.

use std::time::Duration;

use tokio::time::Instant;

/// How fast a bucket fills, and what it holds at most.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BucketParams {
    /// Requests a second.
    pub rate: f64,
    pub capacity: f64,
}

impl BucketParams {
    /// Time in which so many requests come in.
    pub fn fill_time(&self, count: f64) -> Duration {
        Duration::from_secs_f64(
            (count.max(0.0) / self.rate.max(f64::MIN_POSITIVE)).min(MAX_WAIT_SECS),
        )
    }
}

/// Requests that may be sent on. The level falls below zero for those that wait for their turn.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TokenBucket {
    level: f64,
    at: Instant,
}

/// Longest time that is told; a rate close to nothing would give none that can be written.
const MAX_WAIT_SECS: f64 = 3_600.0;

impl TokenBucket {
    pub fn new(level: f64, now: Instant) -> Self {
        Self { level, at: now }
    }

    /// Fills the bucket up to now. A limit that changed takes hold from here on: the level is carried
    /// over, cut to what the new one holds.
    pub fn refill(&mut self, params: BucketParams, now: Instant) {
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        self.level = (self.level + params.rate * elapsed).min(params.capacity);
        self.at = self.at.max(now);
    }

    /// Empties the bucket, whatever has come in since it was last filled; what is owed stays owed.
    pub fn drain(&mut self, now: Instant) {
        self.level = self.level.min(0.0);
        self.at = self.at.max(now);
    }

    pub fn level(&self) -> f64 {
        self.level
    }

    /// Takes out some requests, if they are there within `patience`; the time until then.
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

    /// Takes out requests whether they are there or not, down to as many below zero as it holds.
    pub fn charge(&mut self, count: f64, params: BucketParams) {
        self.level = (self.level - count).max(-params.capacity);
    }

    /// Puts back what was not used.
    pub fn refund(&mut self, count: f64, params: BucketParams) {
        self.level = (self.level + count).min(params.capacity);
    }

    /// Time until so many requests are there.
    pub fn wait(&self, count: f64, params: BucketParams) -> Duration {
        params.fill_time(count - self.level)
    }
}
