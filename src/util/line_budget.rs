//! How many log lines a second are written.

use std::time::Duration;

use tokio::time::Instant;

/// Lines about requests that went well, a second. An instance at its usual load has some 30.
const MAX_ROUTINE: u32 = 50;
/// Lines of any kind a second, and their bytes: a reader keeps up with ten times as many.
const MAX_LINES: u32 = 400;
const MAX_BYTES: usize = 128 * 1024;
const WINDOW: Duration = Duration::from_secs(1);

/// What has been written and left out in the current second.
#[derive(Debug)]
pub(crate) struct LineBudget {
    begun: Instant,
    routine: u32,
    lines: u32,
    bytes: usize,
    left_out: u64,
}

impl LineBudget {
    pub(crate) fn new(now: Instant) -> Self {
        Self { begun: now, routine: 0, lines: 0, bytes: 0, left_out: 0 }
    }

    /// Whether a line may be written. Failures keep their room whatever goes well.
    pub(crate) fn admit(&mut self, line: &[u8], now: Instant) -> bool {
        if now.saturating_duration_since(self.begun) >= WINDOW {
            let left_out = self.left_out;
            *self = Self { left_out, ..Self::new(now) };
        }
        let routine = is_routine(line);
        let full = self.lines >= MAX_LINES
            || self.bytes + line.len() > MAX_BYTES
            || routine && self.routine >= MAX_ROUTINE;
        if full {
            self.left_out += 1;
            return false;
        }
        self.lines += 1;
        self.bytes += line.len();
        self.routine += u32::from(routine);
        true
    }

    /// Notes a line that could not be written.
    pub(crate) fn dropped(&mut self) {
        self.left_out += 1;
    }

    /// Lines left out since this was last asked.
    pub(crate) fn take_left_out(&mut self) -> u64 {
        std::mem::take(&mut self.left_out)
    }
}

fn is_routine(line: &[u8]) -> bool {
    const MARK: &[u8] = b" outcome=answered ";
    line.windows(MARK.len()).any(|window| window == MARK)
}

#[cfg(test)]
#[path = "line_budget_tests.rs"]
mod tests;
