//! Watches the memory of the process, since a kill for exceeding its limit leaves no line.

use std::cell::Cell;
use std::fs;
use std::time::Duration;

use tokio::time::Instant;

const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Parts of the limit, in percent. Hysteresis keeps a level between them from being logged each time.
const HIGH_PERCENT: u64 = 75;
const LOW_PERCENT: u64 = 65;

/// Resident memory in bytes, as Linux reports it; `None` where it does not.
pub(crate) fn resident_bytes() -> Option<u64> {
    let status = fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kilobytes: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kilobytes * 1024)
}

/// Resident memory and the limit, both in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct MemoryLevel {
    pub(crate) resident: u64,
    pub(crate) limit: u64,
    /// False once it has come down again.
    pub(crate) is_high: bool,
}

pub(crate) struct ResidentWatch {
    limit: u64,
    checked_at: Cell<Option<Instant>>,
    was_high: Cell<bool>,
}

impl ResidentWatch {
    /// For a process that is killed beyond `limit` bytes.
    pub(crate) fn new(limit: u64) -> Self {
        Self { limit, checked_at: Cell::default(), was_high: Cell::default() }
    }

    /// Returns the level when it has become high or low.
    pub(crate) fn check(&self) -> Option<MemoryLevel> {
        let now = Instant::now();
        let is_due = self.checked_at.get().is_none_or(|at| now - at >= CHECK_INTERVAL);
        if !is_due {
            return None;
        }
        self.checked_at.set(Some(now));
        self.observe(resident_bytes()?)
    }

    fn observe(&self, resident: u64) -> Option<MemoryLevel> {
        let percent = if self.was_high.get() { LOW_PERCENT } else { HIGH_PERCENT };
        let is_high = resident >= self.limit / 100 * percent;
        let has_changed = self.was_high.replace(is_high) != is_high;
        has_changed.then_some(MemoryLevel { resident, limit: self.limit, is_high })
    }
}

#[cfg(test)]
#[path = "resident_tests.rs"]
mod tests;
