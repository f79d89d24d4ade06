//! Priorities that a service's programs have at present.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

/// A priority without a program for this long no longer counts as present.
const PRIORITY_TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Debug, Clone, Copy)]
struct SeenPriority {
    at: Instant,
    setpoint: Duration,
}

/// Priorities with their last turn; 0 is the most urgent. Bounded by the range of `u8`.
#[derive(Debug, Default)]
pub(super) struct PresentPriorities {
    seen: BTreeMap<u8, SeenPriority>,
}

impl PresentPriorities {
    pub(super) fn record(&mut self, priority: u8, setpoint: Duration, now: Instant) {
        self.seen.retain(|_, seen| now.saturating_duration_since(seen.at) < PRIORITY_TIMEOUT);
        self.seen.insert(priority, SeenPriority { at: now, setpoint });
    }

    /// The least setpoint of the priority and of those more urgent. All programs wait in the same
    /// queues: with a higher setpoint, less urgent programs would keep the wait above what the
    /// urgent ones can bear, and these would be refused instead.
    pub(super) fn bounded_setpoint(&self, priority: u8, setpoint: Duration) -> Duration {
        let urgent = self.seen.range(..priority).map(|(_, seen)| seen.setpoint);
        urgent.fold(setpoint, Duration::min)
    }

    /// From 0, the least urgent priority present, to 1; `None` if there are no others.
    pub(super) fn urgency(&self, priority: u8) -> Option<f64> {
        let others = self.seen.len().checked_sub(1).filter(|others| *others > 0)?;
        let less_urgent = self.seen.range(priority..).count().saturating_sub(1);
        Some(less_urgent as f64 / others as f64)
    }
}
