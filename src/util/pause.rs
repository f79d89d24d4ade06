//! Detects pauses of the process, such as a suspended machine, by comparing two clocks.

use std::time::{Duration, SystemTime};

use tokio::time::Instant;

/// Exceeds the delay of late timers and the small steps by which wall clocks are corrected.
const MAX_CLOCK_DRIFT: Duration = Duration::from_millis(200);

/// A timer that is later than this means that the process was paused.
pub(crate) const MAX_TIMER_DELAY: Duration = Duration::from_millis(250);

/// A time by both clocks. The steady clock stops while a machine is suspended, which would make
/// stale data look fresh; the wall clock does not.
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

    pub(crate) fn steady(&self) -> Instant {
        self.steady
    }

    /// Returns true if the process was paused at any time since the mark.
    pub(crate) fn is_paused(&self) -> bool {
        self.is_paused_since(Instant::now(), SystemTime::now())
    }

    /// Compares the elapsed times. A wall clock that is set forward looks like a pause, which costs
    /// callers one more request.
    pub(crate) fn is_paused_since(&self, steady: Instant, wall: SystemTime) -> bool {
        // A wall clock that is set back is not evidence of a pause.
        let wall_elapsed = wall.duration_since(self.wall).unwrap_or_default();
        wall_elapsed > steady.saturating_duration_since(self.steady) + MAX_CLOCK_DRIFT
    }
}

/// Notices by the ticks of a task that the process was paused.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct TickWatch {
    last: Option<ClockMark>,
    /// Time from the last tick to the next one.
    interval: Duration,
}

impl TickWatch {
    #[cfg(test)]
    pub(crate) fn at(last: ClockMark) -> Self {
        Self { last: Some(last), interval: Duration::ZERO }
    }

    pub(crate) fn record(&mut self, interval: Duration) {
        *self = Self { last: Some(ClockMark::now()), interval };
    }

    /// Returns true if the next tick is late, or the clocks have drifted apart.
    pub(crate) fn is_overdue(&self) -> bool {
        let longest = self.interval + MAX_TIMER_DELAY;
        self.last.is_some_and(|tick| tick.steady().elapsed() > longest || tick.is_paused())
    }
}

#[cfg(test)]
#[path = "pause_tests.rs"]
mod tests;
