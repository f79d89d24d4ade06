//! How long calls to others take, and which others failed lately.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

/// Running mean of answer times.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LatencyEstimate {
    seconds: f64,
    /// Share of the newest time in the mean.
    share: f64,
}

impl LatencyEstimate {
    /// A mean in which the newest time has this share.
    pub(crate) fn new(share: f64) -> Self {
        Self { seconds: 0.0, share }
    }

    /// The same mean, from a time that is expected before one was seen.
    pub(crate) fn from(self, expected: Duration) -> Self {
        Self { seconds: expected.as_secs_f64(), ..self }
    }

    /// Notes the time of a call that began then and was answered now.
    pub(crate) fn answered(&mut self, begun: Instant) {
        self.seconds += self.share * (begun.elapsed().as_secs_f64() - self.seconds);
    }

    pub(crate) fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.seconds)
    }

    /// So many times the mean, within bounds.
    pub(crate) fn scaled(&self, factor: f64, least: Duration, most: Duration) -> Duration {
        self.mean().mul_f64(factor).clamp(least, most)
    }
}

/// Peers that failed lately, by address.
#[derive(Debug)]
pub(crate) struct FailedPeers {
    failed: BTreeMap<Box<str>, Instant>,
    /// How long a failure counts.
    memory: Duration,
}

impl FailedPeers {
    pub(crate) fn new(memory: Duration) -> Self {
        Self { failed: BTreeMap::new(), memory }
    }

    pub(crate) fn note(&mut self, peer: &str) {
        self.failed.retain(|_, at| at.elapsed() < self.memory);
        self.failed.insert(peer.into(), Instant::now());
    }

    pub(crate) fn clear(&mut self, peer: &str) {
        self.failed.remove(peer);
    }

    pub(crate) fn contains(&self, peer: &str) -> bool {
        self.failed.get(peer).is_some_and(|at| at.elapsed() < self.memory)
    }
}
