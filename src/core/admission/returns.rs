//! Refused programs that will return, and when.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use tokio::time::Instant;

use super::deadline::{longest_retry_delay, retry_delay};
use crate::core::decay::DecayingSum;

/// Hash of a program's name.
pub(super) type ProgramHash = u64;

/// Range of the factor that spreads programs refused at the same time.
const SPREAD: (f64, f64) = (0.75, 1.25);
/// Time constant of the rate of admissions.
const RATE_MEMORY: Duration = Duration::from_secs(3);
/// Lower bound of the rate of admissions, per second: an instance that has just started has none.
const MIN_RATE: f64 = 1.0;
/// A program that has not returned this long after its delay has probably given up.
const RETURN_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_REFUSED: usize = 4_096;

/// Refused programs of one service, by the time of their return.
#[derive(Debug, Default)]
pub(super) struct ReturnSchedule {
    return_times: HashMap<ProgramHash, Instant>,
    by_time: BTreeSet<(Instant, ProgramHash)>,
    admitted: DecayingSum,
}

impl ReturnSchedule {
    /// The program was refused, and its delay is over.
    pub(super) fn is_returning(&self, program: ProgramHash, now: Instant) -> bool {
        self.return_times.get(&program).is_some_and(|at| *at <= now)
    }

    pub(super) fn record_admitted(&mut self, program: ProgramHash, now: Instant) {
        self.remove(program);
        self.admitted.add(1.0, now, RATE_MEMORY);
    }

    /// Returns the delay after which the program's turn has come. `time_left` is the time that its
    /// caller has.
    pub(super) fn record_refused(
        &mut self,
        program: ProgramHash,
        time_left: Duration,
        now: Instant,
    ) -> Duration {
        self.expire(now);
        self.remove(program);
        let rate =
            (self.admitted.value_at(now, RATE_MEMORY) / RATE_MEMORY.as_secs_f64()).max(MIN_RATE);
        let place = self.return_times.len() + 1;
        // The upper bits decide on admission, so the lower ones are independent of it.
        let draw = f64::from(program as u32) / f64::from(u32::MAX);
        let spread = SPREAD.0 + (SPREAD.1 - SPREAD.0) * draw;
        let delay = Duration::from_secs_f64(place as f64 / rate * spread);
        // A program refused while the delays are bounded by the caller's time is spread as well.
        let longest = longest_retry_delay(time_left).mul_f64(spread / SPREAD.1);
        let delay = retry_delay(delay.min(longest), time_left);
        self.insert(program, now + delay);
        delay
    }

    fn expire(&mut self, now: Instant) {
        while let Some((at, program)) = self.by_time.first().copied() {
            if now < at + RETURN_TIMEOUT {
                return;
            }
            self.by_time.pop_first();
            self.return_times.remove(&program);
        }
    }

    fn insert(&mut self, program: ProgramHash, at: Instant) {
        if self.return_times.len() >= MAX_REFUSED
            && let Some((_, first)) = self.by_time.pop_first()
        {
            self.return_times.remove(&first);
        }
        self.return_times.insert(program, at);
        self.by_time.insert((at, program));
    }

    fn remove(&mut self, program: ProgramHash) {
        if let Some(at) = self.return_times.remove(&program) {
            self.by_time.remove(&(at, program));
        }
    }
}
