//! Guards against missed pauses and against false ones when the wall clock is adjusted.

use std::time::{Duration, SystemTime};

use rstest::rstest;
use tokio::time::Instant;

use super::ClockMark;

#[rstest]
#[case::equal(1_000, 1_000, false)]
#[case::timers_are_late(1_000, 1_150, false)]
#[case::suspended(100, 3_100, true)]
#[case::set_forward(100, 60_100, true)]
#[case::set_back(1_000, -60_000, false)]
fn pause_is_detected_when_the_wall_clock_runs_ahead(
    #[case] steady_ms: u64,
    #[case] wall_ms: i64,
    #[case] paused: bool,
) {
    let (steady, wall) = (Instant::now(), SystemTime::UNIX_EPOCH + Duration::from_secs(1_000_000));
    let mark = ClockMark::new(steady, wall);
    let moved = Duration::from_millis(wall_ms.unsigned_abs());
    let later = if wall_ms < 0 { wall - moved } else { wall + moved };
    assert_eq!(mark.is_paused_since(steady + Duration::from_millis(steady_ms), later), paused);
}
