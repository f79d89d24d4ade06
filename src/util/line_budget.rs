//! Rate limit of log lines, so that a burst cannot overload the log's reader.

use std::time::Duration;

use tokio::time::Instant;

/// Lines of answered requests per window; the rest is kept for failures.
const MAX_ROUTINE_LINES: u32 = 50;
const MAX_LINES: u32 = 400;
const MAX_BYTES: usize = 128 * 1024;
const WINDOW: Duration = Duration::from_secs(1);

#[derive(Debug)]
pub(crate) struct LineBudget {
    window_start: Instant,
    routine: u32,
    lines: u32,
    bytes: usize,
    dropped: u64,
}

impl LineBudget {
    pub(crate) fn new(now: Instant) -> Self {
        Self { window_start: now, routine: 0, lines: 0, bytes: 0, dropped: 0 }
    }

    /// Returns false if the line must be dropped. Part of the budget is reserved for failures.
    pub(crate) fn admit(&mut self, line: &[u8], now: Instant) -> bool {
        if now.saturating_duration_since(self.window_start) >= WINDOW {
            let dropped = self.dropped;
            *self = Self { dropped, ..Self::new(now) };
        }
        let routine = is_routine(line);
        let full = self.lines >= MAX_LINES
            || self.bytes + line.len() > MAX_BYTES
            || routine && self.routine >= MAX_ROUTINE_LINES;
        if full {
            self.dropped += 1;
            return false;
        }
        self.lines += 1;
        self.bytes += line.len();
        self.routine += u32::from(routine);
        true
    }

    /// Counts an admitted line that could not be written.
    pub(crate) fn record_dropped(&mut self) {
        self.dropped += 1;
    }

    /// Returns the number of lines dropped since the previous call.
    pub(crate) fn take_dropped_count(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }
}

fn is_routine(line: &[u8]) -> bool {
    const MARKER: &[u8] = b" outcome=answered ";
    line.windows(MARKER.len()).any(|window| window == MARKER)
}

#[cfg(test)]
#[path = "line_budget_tests.rs"]
mod tests;
