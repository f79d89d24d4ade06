//! Moving averages of latencies, and peers with recent failures.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

/// Exponentially weighted moving average of latencies.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LatencyEstimate {
    seconds: f64,
    /// Weight of a new sample, from 0 to 1.
    weight: f64,
}

impl LatencyEstimate {
    pub(crate) fn new(weight: f64) -> Self {
        Self { seconds: 0.0, weight }
    }

    /// Sets the value to use until samples arrive.
    pub(crate) fn with_initial(self, expected: Duration) -> Self {
        Self { seconds: expected.as_secs_f64(), ..self }
    }

    /// Records the time elapsed since `started` as a sample.
    pub(crate) fn record_since(&mut self, started: Instant) {
        self.seconds += self.weight * (started.elapsed().as_secs_f64() - self.seconds);
    }

    pub(crate) fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.seconds)
    }

    pub(crate) fn scaled(&self, factor: f64, min: Duration, max: Duration) -> Duration {
        self.mean().mul_f64(factor).clamp(min, max)
    }
}

/// Peers that failed within the retention period, by address.
#[derive(Debug)]
pub(crate) struct FailedPeers {
    failed: BTreeMap<Box<str>, Instant>,
    retention: Duration,
}

impl FailedPeers {
    pub(crate) fn new(retention: Duration) -> Self {
        Self { failed: BTreeMap::new(), retention }
    }

    pub(crate) fn record(&mut self, peer: &str) {
        self.failed.retain(|_, at| at.elapsed() < self.retention);
        self.failed.insert(peer.into(), Instant::now());
    }

    pub(crate) fn clear(&mut self, peer: &str) {
        self.failed.remove(peer);
    }

    pub(crate) fn contains(&self, peer: &str) -> bool {
        self.failed.get(peer).is_some_and(|at| at.elapsed() < self.retention)
    }
}
