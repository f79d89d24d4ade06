//! Causal order of events from instances whose wall clocks differ.

use std::time::Duration;

use merlinsaddle::core::timeline::{CausalClock, CausalStamp, TimelineEvent, merge_events};

fn event(instance: &str, kind: &str, stamp: CausalStamp) -> TimelineEvent {
    TimelineEvent {
        stamp,
        instance: instance.into(),
        kind: kind.into(),
        program: Box::default(),
        workspace: Box::default(),
        upstream: Box::default(),
        detail: Box::default(),
    }
}

/// Guards against merging by wall clock, which would sort the reply before its request.
#[test]
fn effects_are_sorted_after_their_causes_despite_clock_skew() {
    let (mut ahead, mut accurate) = (CausalClock::default(), CausalClock::default());
    let (hour, second) = (Duration::from_secs(3600), Duration::from_secs(1));
    let request_sent = ahead.tick(hour + second);
    let request_received = accurate.observe(second, request_sent);
    let reply_sent = accurate.tick(second * 2);
    let reply_received = ahead.observe(hour + second * 3, reply_sent);
    let merged = merge_events([
        vec![
            event("accurate", "request_received", request_received),
            event("accurate", "reply_sent", reply_sent),
        ],
        vec![
            event("ahead", "request_sent", request_sent),
            event("ahead", "reply_received", reply_received),
        ],
    ]);
    let kinds: Vec<&str> = merged.iter().map(|event| &*event.kind).collect();
    assert_eq!(kinds, ["request_sent", "request_received", "reply_sent", "reply_received"]);
}

/// Guards against stamps that repeat or decrease when the wall clock is set back.
#[test]
fn stamps_increase_when_the_wall_clock_is_set_back() {
    let mut clock = CausalClock::default();
    let first = clock.tick(Duration::from_secs(10));
    let second = clock.tick(Duration::from_secs(5));
    let third = clock.tick(Duration::from_secs(11));
    assert!(first < second && second < third);
    assert_eq!(third.wall_micros, 11_000_000);
}
