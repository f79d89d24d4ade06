use std::time::Duration;

use tokio::time::{Instant, advance};

use super::health::StoreHealth;

const TICK: Duration = Duration::from_millis(250);

/// Guards against a pause of the process that is taken for an outage of the store, by calls that timed
/// out before or after the first tick.
#[tokio::test(start_paused = true)]
async fn timeouts_in_a_pause_of_the_process_are_no_outage() {
    let mut health = StoreHealth::default();
    health.record_tick(TICK);
    let begun = Instant::now();
    advance(Duration::from_secs(3)).await;
    assert!(!health.record_failure(begun));
    health.record_tick(TICK);
    assert!(!health.record_failure(begun));
    assert_eq!(health.unavailable_since(), None);
}

/// Guards against an outage that is missed after a pause, or while ticks are on time.
#[tokio::test(start_paused = true)]
async fn timeouts_without_a_pause_are_an_outage() {
    let mut health = StoreHealth::default();
    health.record_tick(TICK);
    advance(Duration::from_secs(3)).await;
    health.record_tick(TICK);
    advance(TICK).await;
    health.record_tick(TICK);
    let begun = Instant::now();
    for _ in 0..5 {
        advance(TICK).await;
        health.record_tick(TICK);
    }
    assert!(health.record_failure(begun));
}
