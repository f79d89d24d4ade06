//! Whether this process was paused since a moment.

use std::time::{Duration, SystemTime};

use tokio::time::Instant;

/// Difference between the clocks that is no pause: timers fire some milliseconds late, and wall clocks
/// are corrected by small steps.
const CLOCK_SLACK: Duration = Duration::from_millis(200);

/// A moment by both clocks. The steady one stands still while a machine is suspended, so what was
/// learned just before would pass for fresh; the wall clock goes on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ClockMark {
    steady: Instant,
    wall: SystemTime,
}

impl ClockMark {
    pub(crate) fn new(steady: Instant, wall: SystemTime) -> Self {
        Self { steady, wall }
    }

    pub(crate) fn now() -> Self {
        Self::new(Instant::now(), SystemTime::now())
    }

    /// The moment by the steady clock.
    pub(crate) fn steady(&self) -> Instant {
        self.steady
    }

    /// Whether this process was paused between that moment and now.
    pub(crate) fn is_paused(&self) -> bool {
        self.is_paused_since(Instant::now(), SystemTime::now())
    }

    /// Whether the wall clock went further than the steady one. A wall clock that is set forward looks
    /// the same, which costs one more question.
    fn is_paused_since(&self, steady: Instant, wall: SystemTime) -> bool {
        // Set back, it tells nothing.
        let by_wall = wall.duration_since(self.wall).unwrap_or_default();
        by_wall > steady.saturating_duration_since(self.steady) + CLOCK_SLACK
    }
}

#[cfg(test)]
#[path = "pause_tests.rs"]
mod tests;
