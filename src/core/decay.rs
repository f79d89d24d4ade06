//! Sums and ratios that forget exponentially.

use std::time::Duration;

use tokio::time::Instant;

/// Share that is left of a value after `age`.
pub fn decay_factor(age: Duration, time_constant: Duration) -> f64 {
    (-age.as_secs_f64() / time_constant.as_secs_f64()).exp()
}

/// A sum of past amounts, each of which declines with its age.
#[derive(Debug, Clone, Copy, Default)]
pub struct DecayingSum(Option<(f64, Instant)>);

impl DecayingSum {
    pub fn value_at(&self, now: Instant, time_constant: Duration) -> f64 {
        let Some((sum, at)) = self.0 else { return 0.0 };
        sum * decay_factor(now.saturating_duration_since(at), time_constant)
    }

    pub fn add(&mut self, amount: f64, now: Instant, time_constant: Duration) {
        self.0 = Some((self.value_at(now, time_constant) + amount, now));
    }
}

/// A moving average relative to a mean, which returns to 1 without samples.
#[derive(Debug, Clone, Copy, Default)]
pub struct DecayingRatio(Option<(f64, Instant)>);

impl DecayingRatio {
    pub fn value_at(&self, now: Instant, time_constant: Duration) -> f64 {
        let Some((ratio, at)) = self.0 else { return 1.0 };
        1.0 + (ratio - 1.0) * decay_factor(now.saturating_duration_since(at), time_constant)
    }

    pub fn set(&mut self, ratio: f64, now: Instant) {
        self.0 = Some((ratio, now));
    }
}
