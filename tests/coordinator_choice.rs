//! Which instance of a zone coordinates a program, and how many share one.

use std::time::Duration;

use merlinsaddle::core::members::{GroupRole, group_role};
use merlinsaddle::core::turns::{CoordinatorSpan, coordinator};
use tokio::time::Instant;

/// Notes turns at a pace for a while.
async fn turns(span: &mut CoordinatorSpan, per_second: u32, seconds: u32) {
    for _ in 0..per_second * seconds {
        tokio::time::advance(Duration::from_secs(1) / per_second).await;
        span.note_turn(Instant::now());
    }
}

/// A fleet of 295 gives each instance four turns a second, a fleet of 62 fourteen. The first needs few
/// coordinators for writes to travel together; the second would wear out the few. A burst at the first
/// changes nothing, or programs would change their coordinators in the burst.
#[tokio::test(start_paused = true)]
async fn the_span_follows_the_load() {
    let mut span = CoordinatorSpan::default();
    let mut seen = Vec::new();
    for (per_second, seconds) in [(4, 20), (8, 6), (4, 20), (14, 20), (8, 20), (3, 20)] {
        turns(&mut span, per_second, seconds).await;
        seen.push(span.instances());
    }
    assert_eq!(seen, [12, 12, 12, 4, 4, 12]);
}

fn names(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("instance-{number}")).collect()
}

/// One instance of sixteen goes. Programs of the other coordinators stay where they are, as do the
/// followers of other readers: else all histories would be read anew.
#[test]
fn only_the_lost_ones_programs_move() {
    let before = names(16);
    let coordinated = |members: &[String], program: u32| {
        let members = members.iter().map(|name| &**name);
        coordinator(&program.to_string(), 4, members).expect("there are some").to_owned()
    };
    let lost = coordinated(&before, 0);
    let after: Vec<String> = before.iter().filter(|name| **name != lost).cloned().collect();
    let moved = (0..1_000).filter(|program| {
        let former = coordinated(&before, *program);
        former != lost && coordinated(&after, *program) != former
    });
    // The one that takes the lost one's place as a coordinator has a quarter of all.
    let moved = moved.count();
    assert!(moved <= 250, "{moved} of 1,000 programs moved");
}

/// Each instance finds its reader by itself: all agree on who leads, and no reader has nobody.
#[test]
fn all_agree_on_the_readers() {
    let names = names(59);
    let mut followers = std::collections::BTreeMap::new();
    let mut leaders = 0;
    for me in &names {
        match group_role("news", me, 16, names.iter().map(|name| &**name)) {
            GroupRole::Leader => leaders += 1,
            GroupRole::Follower(leader) => *followers.entry(leader).or_insert(0) += 1,
        }
    }
    assert_eq!(leaders, 4);
    assert_eq!(followers.len(), 4);
    assert!(followers.values().all(|count| (6..=24).contains(count)), "{followers:?}");
}
