//! A bucket that fills at a steady rate.

use std::time::Duration;

use tokio::time::Instant;

/// How fast a bucket fills, and what it holds at most.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BucketPace {
    /// Requests a second.
    pub rate: f64,
    pub most: f64,
}

impl BucketPace {
    /// Time in which so many requests come in.
    pub fn time_for(&self, count: f64) -> Duration {
        Duration::from_secs_f64((count.max(0.0) / self.rate.max(f64::MIN_POSITIVE)).min(LONGEST))
    }
}

/// Requests that may be sent on. The level falls below zero for those that wait for their turn.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TokenBucket {
    level: f64,
    at: Instant,
}

/// Longest time that is told; a rate close to nothing would give none that can be written.
const LONGEST: f64 = 3_600.0;

impl TokenBucket {
    pub fn new(level: f64, now: Instant) -> Self {
        Self { level, at: now }
    }

    /// Fills the bucket up to now. A limit that changed takes hold from here on: the level is carried
    /// over, cut to what the new one holds.
    pub fn fill(&mut self, pace: BucketPace, now: Instant) {
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        self.level = (self.level + pace.rate * elapsed).min(pace.most);
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
    pub fn take(&mut self, count: f64, pace: BucketPace, patience: Duration) -> Option<Duration> {
        let wait = self.wait(count, pace);
        (wait <= patience).then(|| {
            self.level -= count;
            wait
        })
    }

    /// Takes out requests whether they are there or not, down to as many below zero as it holds.
    pub fn charge(&mut self, count: f64, pace: BucketPace) {
        self.level = (self.level - count).max(-pace.most);
    }

    /// Puts back what was not used.
    pub fn put_back(&mut self, count: f64, pace: BucketPace) {
        self.level = (self.level + count).min(pace.most);
    }

    /// Time until so many requests are there.
    pub fn wait(&self, count: f64, pace: BucketPace) -> Duration {
        pace.time_for(count - self.level)
    }
}
