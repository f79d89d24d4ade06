//! The store's monotonic clock, extrapolated from its replies.

use std::time::Duration;

use tokio::time::Instant;

#[derive(Debug, Clone, Copy, Default)]
pub(super) struct StoreClock {
    /// The store's time, and the local time at which it was so late.
    known: Option<(Duration, Instant)>,
}

impl StoreClock {
    /// `None` before the first reply.
    pub(super) fn at(&self, now: Instant) -> Option<Duration> {
        let (time, read_at) = self.known?;
        Some(time + now.saturating_duration_since(read_at))
    }

    /// Records the time in the reply of a call that was sent at `begun`.
    ///
    /// A reply may wait for a process that is suspended. The time is that of the reply at least, and
    /// later by the duration of the call at most; within these bounds, the known time stays.
    pub(super) fn record(&mut self, replied: Duration, begun: Instant, now: Instant) {
        let latest = replied + now.saturating_duration_since(begun);
        let time = self.at(now).map_or(replied, |known| known.clamp(replied, latest));
        self.known = Some((time, now));
    }
}
