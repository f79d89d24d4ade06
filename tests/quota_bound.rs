//! The bound of limits under failures: members that are killed, freeze, are cut into pieces or start all
//! at once, each with its own late view of the others, limits that change, answers that are lost. An
//! oracle that knows nothing of limiters counts what runs in each window.
//!
//! `QUOTA_CASES=4000 QUOTA_SEED=7 cargo test --release --test quota_bound` plays more of them.

mod quota_world;

use std::time::Duration;

use merlinsaddle::core::quotas::{LimiterRole, LimiterStatus, QuotaMember, QuotaView};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use quota_world::{Fault, GIVE_BACK, LENGTH, LOST, Plan, World, name, plan};
use tokio::time::Instant;

fn setting(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[test]
fn no_window_holds_more_than_its_limit() {
    let cases = setting("QUOTA_CASES", 60) as u32;
    let mut seed = [0; 32];
    seed[..8].copy_from_slice(&setting("QUOTA_SEED", 1).to_le_bytes());
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &seed);
    let result = TestRunner::new_with_rng(config, rng).run(&plan(), |plan| {
        let mut world = World::new(plan);
        world.play();
        let excess = world.excess();
        prop_assert!(excess <= 0.0, "{excess} requests too many");
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

/// A cut heals while a limit that was raised meanwhile is asked six times over. The limiters of both sides
/// learn of it one after the other; when each took the whole for its own at once, a window held more
/// than its limit.
#[test]
fn a_cut_that_heals_gives_no_limit_twice() {
    let faults = vec![
        (11_541, Fault::Demand { times: 5.787369684772428 }),
        (2_121, Fault::Demand { times: 0.4379571283331053 }),
        (3_201, Fault::Cut { side: 1_378, millis: 8_341 }),
        (4_241, Fault::Limit { rate: 41.33118049287358 }),
    ];
    let plan = Plan { seed: 162946362993899408, members: 8, rate: 1.6289766802513315, faults };
    let mut world = World::new(plan);
    world.play();
    assert!(world.excess() <= 0.0, "{}", world.excess());
}

/// All members are killed, and four seconds later again: twice all of them learn of each other one by
/// one, and each takes itself for the limiter until it knows one that goes before it.
#[test]
fn two_mass_starts_give_no_limit_twice() {
    let faults =
        vec![(4_061, Fault::KillAll { millis: 501 }), (8_141, Fault::KillAll { millis: 1_141 })];
    let plan = Plan { seed: 471020623002832157, members: 10, rate: 54.543044941915056, faults };
    let mut world = World::new(plan);
    world.play();
    assert!(world.excess() <= 0.0, "{}", world.excess());
}

/// All members start at once, and a second later one of them freezes for less than it notices itself: its
/// deputies answer meanwhile, and its bucket has filled when it is back. With the whole margin shared out
/// between limiter and deputy, a window held 3.3 requests too many.
#[test]
fn a_short_freeze_after_a_mass_start_gives_no_limit_twice() {
    let faults = vec![
        (14_321, Fault::KillAll { millis: 661 }),
        (9_861, Fault::Freeze { member: 4, millis: 1_181 }),
        (15_461, Fault::Freeze { member: 8, millis: 881 }),
    ];
    let plan = Plan { seed: 11821379867575202233, members: 5, rate: 44.65832826905294, faults };
    let mut world = World::new(plan);
    world.play();
    assert!(world.excess() <= 0.0, "{}", world.excess());
}

/// A limiter freezes for less than it notices itself, under a flood. What it had let wait for its place runs
/// when it is back, and so does what the others gave out: with waits of 0.5 s, and with these forgotten
/// when it begins empty, a window held 2.8 and 5.2 requests too many.
#[rstest::rstest]
#[case(1340572543589073748, 5, 58.36743617360463, (17_781, 3, 601), (5_161, 6.317330522658538))]
#[case(7204339313017429105, 7, 56.63610603315812, (2_021, 3, 761), (2_101, 5.53273562437088))]
fn a_short_freeze_gives_no_limit_twice(
    #[case] seed: u64,
    #[case] members: usize,
    #[case] rate: f64,
    #[case] (at, member, millis): (u64, usize, u64),
    #[case] (later, times): (u64, f64),
) {
    let faults = vec![(at, Fault::Freeze { member, millis }), (later, Fault::Demand { times })];
    let mut world = World::new(Plan { seed, members, rate, faults });
    world.play();
    assert!(world.excess() <= 0.0, "{}", world.excess());
}

/// Without faults and below its limit a workspace is refused nothing, and far above it gets all that the
/// limit allows.
#[test]
fn a_calm_deployment_gives_out_the_whole_limit() {
    for demand in [0.6, 4.0] {
        let plan = Plan { seed: 3, members: 9, rate: 40.0, faults: Vec::new() };
        let mut world = World::new(plan);
        world.demand = demand;
        world.play();
        let runs = world.runs.len() as f64;
        let usable = world.asked as f64 * (1.0 - GIVE_BACK) * (1.0 - LOST);
        let limit = 40.0 * LENGTH.as_secs_f64();
        assert!(runs >= 0.97 * usable.min(limit), "{runs} of {usable} and {limit} at {demand}");
        assert!(world.excess() <= 0.0);
    }
}

/// The role of a member that sees nobody is its part of the whole, and half of that while it has only
/// just started.
#[test]
fn a_member_alone_has_its_part() {
    let me = vec![QuotaMember {
        instance: name(0),
        incarnation: 1,
        address: name(0),
        status: LimiterStatus::Alive,
    }];
    let view = QuotaView::new(name(0), me, 8, Instant::now());
    assert_eq!(view.role("acme", Instant::now()), LimiterRole::Primary { share: 0.0625 });
    let later = Instant::now() + Duration::from_secs(3);
    assert_eq!(view.role("acme", later), LimiterRole::Primary { share: 0.125 });
}
