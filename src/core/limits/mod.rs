//! Rate limiting of recurring events.

use std::time::Duration;

use tokio::time::Instant;

/// Generic cell rate algorithm: enforces a mean rate and admits short bursts.
#[derive(Debug, Clone)]
pub struct RatePacer {
    interval: Duration,
    /// How far the schedule may run ahead of the clock.
    tolerance: Duration,
    /// Theoretical arrival time of the next event.
    due: Instant,
}

impl RatePacer {
    /// One event per `interval` on average, up to `burst` at once.
    pub fn new(interval: Duration, burst: u32, now: Instant) -> Self {
        Self { interval, tolerance: interval * burst.saturating_sub(1), due: now }
    }

    /// Earliest time of the next event; in the past if it may happen now.
    pub fn ready_at(&self) -> Instant {
        self.due.checked_sub(self.tolerance).unwrap_or(self.due)
    }

    pub fn record(&mut self, now: Instant) {
        self.due = self.due.max(now) + self.interval;
    }
}
