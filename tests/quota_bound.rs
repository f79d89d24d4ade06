//! Checks that no window exceeds a workspace's limit under random faults.
//!
//! `QUOTA_CASES=4000 QUOTA_SEED=7 cargo test --release --test quota_bound` runs more cases.

mod quota_world;

use std::time::Duration;

use merlinsaddle::core::quotas::{LimiterRole, LimiterStatus, QuotaMember, QuotaView};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use quota_world::{
    Fault, Plan, RELEASE_PROBABILITY, REPLY_LOSS_PROBABILITY, SIMULATION_DURATION, World, name,
    plan,
};
use tokio::time::Instant;

fn setting(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[test]
fn no_window_exceeds_the_limit_under_random_faults() {
    let cases = setting("QUOTA_CASES", 60) as u32;
    let mut seed = [0; 32];
    seed[..8].copy_from_slice(&setting("QUOTA_SEED", 1).to_le_bytes());
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &seed);
    let result = TestRunner::new_with_rng(config, rng).run(&plan(), |plan| {
        let mut world = World::new(plan);
        world.run();
        let excess = world.excess();
        prop_assert!(excess <= 0.0, "{excess} requests too many");
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

/// Guards against limiters of both sides that grant the full limit before both detect the healed
/// cut.
#[test]
fn healed_cut_does_not_grant_the_limit_twice() {
    let faults = vec![
        (11_541, Fault::Demand { times: 5.787369684772428 }),
        (2_121, Fault::Demand { times: 0.4379571283331053 }),
        (3_201, Fault::Cut { side: 1_378, millis: 8_341 }),
        (4_241, Fault::Limit { rate: 41.33118049287358 }),
    ];
    let plan = Plan { seed: 162946362993899408, members: 8, rate: 1.6289766802513315, faults };
    let mut world = World::new(plan);
    world.run();
    assert!(world.excess() <= 0.0, "{}", world.excess());
}

/// Guards against members that each take themselves for the limiter while they discover the others.
#[test]
fn two_mass_starts_do_not_grant_the_limit_twice() {
    let faults =
        vec![(4_061, Fault::KillAll { millis: 501 }), (8_141, Fault::KillAll { millis: 1_141 })];
    let plan = Plan { seed: 471020623002832157, members: 10, rate: 54.543044941915056, faults };
    let mut world = World::new(plan);
    world.run();
    assert!(world.excess() <= 0.0, "{}", world.excess());
}

/// Guards against sharing the complete tolerance between primary and standby: after an undetected
/// freeze both grant it in one window.
#[test]
fn short_freeze_after_a_mass_start_does_not_grant_the_limit_twice() {
    let faults = vec![
        (14_321, Fault::KillAll { millis: 661 }),
        (9_861, Fault::Freeze { member: 4, millis: 1_181 }),
        (15_461, Fault::Freeze { member: 8, millis: 881 }),
    ];
    let plan = Plan { seed: 11821379867575202233, members: 5, rate: 44.65832826905294, faults };
    let mut world = World::new(plan);
    world.run();
    assert!(world.excess() <= 0.0, "{}", world.excess());
}

/// Guards against long or forgotten delays of permits: after an undetected freeze they run together
/// with what other limiters granted.
#[rstest::rstest]
#[case(1340572543589073748, 5, 58.36743617360463, (17_781, 3, 601), (5_161, 6.317330522658538))]
#[case(7204339313017429105, 7, 56.63610603315812, (2_021, 3, 761), (2_101, 5.53273562437088))]
fn short_freeze_under_a_flood_does_not_grant_the_limit_twice(
    #[case] seed: u64,
    #[case] members: usize,
    #[case] rate: f64,
    #[case] (at, member, millis): (u64, usize, u64),
    #[case] (later, times): (u64, f64),
) {
    let faults = vec![(at, Fault::Freeze { member, millis }), (later, Fault::Demand { times })];
    let mut world = World::new(Plan { seed, members, rate, faults });
    world.run();
    assert!(world.excess() <= 0.0, "{}", world.excess());
}

/// Guards against refusals below the limit and against grants far below it.
#[test]
fn deployment_without_faults_grants_the_full_limit() {
    for demand in [0.6, 4.0] {
        let plan = Plan { seed: 3, members: 9, rate: 40.0, faults: Vec::new() };
        let mut world = World::new(plan);
        world.demand = demand;
        world.run();
        let runs = world.runs.len() as f64;
        let usable =
            world.requested as f64 * (1.0 - RELEASE_PROBABILITY) * (1.0 - REPLY_LOSS_PROBABILITY);
        let limit = 40.0 * SIMULATION_DURATION.as_secs_f64();
        assert!(runs >= 0.97 * usable.min(limit), "{runs} of {usable} and {limit} at {demand}");
        assert!(world.excess() <= 0.0);
    }
}

/// An isolated member must grant only its own share, and half of it during discovery.
#[test]
fn isolated_member_grants_its_share() {
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
