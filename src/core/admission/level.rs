//! Fraction of programs admitted at an expected wait.

use std::time::Duration;

/// Keeps every priority from starving.
const MIN_FRACTION: f64 = 0.15;
/// Waits, as ratios of the setpoint, at which the fraction starts to fall and reaches its minimum.
const LEAST_URGENT_RANGE: (f64, f64) = (0.5, 1.0);
const MOST_URGENT_RANGE: (f64, f64) = (1.0, 2.0);
const ONLY_PRIORITY_RANGE: (f64, f64) = (0.5, 1.5);

/// `urgency` is from 0, the least urgent priority present, to 1, the most urgent; `None` if there is
/// only one.
pub(super) fn admitted_fraction(wait: Duration, setpoint: Duration, urgency: Option<f64>) -> f64 {
    let (start, end) = match urgency {
        None => ONLY_PRIORITY_RANGE,
        Some(urgency) => {
            let between = |least: f64, most: f64| least + (most - least) * urgency;
            (
                between(LEAST_URGENT_RANGE.0, MOST_URGENT_RANGE.0),
                between(LEAST_URGENT_RANGE.1, MOST_URGENT_RANGE.1),
            )
        }
    };
    let ratio = wait.as_secs_f64() / setpoint.as_secs_f64().max(f64::MIN_POSITIVE);
    let excess = ((ratio - start) / (end - start)).clamp(0.0, 1.0);
    1.0 - excess * (1.0 - MIN_FRACTION)
}
