//! Rejects turns that would start later than their callers wait.
//!
//! An engine would run such a turn for nobody, and delay those behind it.

use std::time::Duration;

/// Callers abandon a stream whose first event takes longer than this and the multiples below.
const MIN_FIRST_EVENT_TIMEOUT: Duration = Duration::from_secs(2);
const OBJECTIVE_FACTOR: u32 = 4;
const PAUSE_FACTOR: u32 = 8;
/// A shorter delay would exhaust the retries of callers before a queue has drained.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Callers honour a `Retry-After` of at most this share of the time that they have left.
const TIME_LEFT_DIVISOR: u32 = 3;

/// Time after which callers abandon a stream without a first event.
pub fn first_event_timeout(objective: Duration, max_pause: Option<Duration>) -> Duration {
    let by_objective = objective.saturating_mul(OBJECTIVE_FACTOR);
    let by_pause = max_pause.unwrap_or_default().saturating_mul(PAUSE_FACTOR);
    MIN_FIRST_EVENT_TIMEOUT.max(by_objective).max(by_pause)
}

/// Longest `Retry-After` that callers honour.
pub(super) fn longest_retry_delay(time_left: Duration) -> Duration {
    time_left / TIME_LEFT_DIVISOR
}

/// `Retry-After` that callers honour, as close to `delay` as possible.
pub fn retry_delay(delay: Duration, time_left: Duration) -> Duration {
    delay.max(MIN_RETRY_DELAY).min(longest_retry_delay(time_left))
}

/// The expected start of an unsent turn at the engine chosen for it. Times count from now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExpectedStart {
    /// Wait for a slot of the engine.
    pub wait: Duration,
    pub prefill: Duration,
    /// Time since the arrival of the request.
    pub elapsed: Duration,
    pub until_deadline: Duration,
    /// Time from the arrival after which the caller abandons a stream without a first event; `None`
    /// if it waits until its deadline.
    pub first_event_timeout: Option<Duration>,
}

impl ExpectedStart {
    /// Time for which the caller still waits. A caller that is still connected after its first-event
    /// timeout waits longer than expected, so only its deadline counts.
    pub fn caller_waits(&self) -> Duration {
        let timeout = self.first_event_timeout.map(|timeout| timeout.saturating_sub(self.elapsed));
        let timeout = timeout.filter(|left| !left.is_zero());
        timeout.map_or(self.until_deadline, |left| left.min(self.until_deadline))
    }

    /// Time by which the start is too late; `None` if it is in time. Without a queue the prefill alone
    /// never makes a turn too late, as a retry would not start earlier.
    pub fn excess(&self) -> Option<Duration> {
        if self.wait.is_zero() {
            return None;
        }
        let excess = (self.wait + self.prefill).saturating_sub(self.caller_waits());
        (!excess.is_zero()).then_some(excess)
    }

    /// `None` if the turn is to be sent, else the delay of its retry: the queue has to drain by the
    /// excess. `draw`, from 0 to 1, spreads the returns of turns that are rejected together.
    pub fn rejection(&self, draw: f64) -> Option<Duration> {
        let excess = self.excess()?.max(MIN_RETRY_DELAY);
        Some(retry_delay(excess.mul_f64(1.0 + draw), self.until_deadline))
    }
}
