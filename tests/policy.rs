//! Simulation of the scheduling policies: determinism, reference results and class isolation.

use std::time::Duration;

use insta::assert_snapshot;
use merlinsaddle::bench::policy::{
    LoadProfile, PolicyDriver, PolicySetup, ProgramSample, RunReport,
};
use merlinsaddle::core::dispatch::ServiceClass;

/// Divisor of the engines and the duration of a workload.
const SCALE_DIVISOR: u32 = 6;
const SEED: u64 = 3;

fn run(setup: &PolicySetup, profile: &LoadProfile) -> RunReport {
    let load = profile.draw(SEED);
    PolicyDriver::new(setup, profile, &load, SEED).run()
}

fn summary(report: &RunReport) -> String {
    let p95 = |class| {
        let counts = |sample: &ProgramSample| sample.class == class;
        report.latency(95, counts).as_millis()
    };
    format!(
        "programs={} paying_p95_ms={} trial_p95_ms={} prompt={} recomputed={} refusals={} \
         preemptions={} unfinished={}",
        report.programs.len(),
        p95(ServiceClass::Paying),
        p95(ServiceClass::Trial),
        report.prompt_tokens,
        report.recomputed_tokens,
        report.refusals,
        report.preemptions,
        report.unfinished,
    )
}

#[test]
fn equal_seeds_produce_equal_reports() {
    let profile = LoadProfile::sarhad().scaled(SCALE_DIVISOR);
    let setup = PolicySetup::chosen();
    assert_eq!(run(&setup, &profile), run(&setup, &profile));
}

#[test]
fn production_policy_matches_reference_results() {
    let sarhad = LoadProfile::sarhad().scaled(SCALE_DIVISOR);
    let register = LoadProfile::register().scaled(SCALE_DIVISOR);
    let chosen = PolicySetup::chosen();
    assert_snapshot!(summary(&run(&chosen, &sarhad)), @"programs=116 paying_p95_ms=35809 trial_p95_ms=36637 prompt=2339492 recomputed=59323 refusals=0 preemptions=10 unfinished=0");
    assert_snapshot!(summary(&run(&chosen, &register)), @"programs=16 paying_p95_ms=462678 trial_p95_ms=0 prompt=6075508 recomputed=32000 refusals=0 preemptions=0 unfinished=0");
}

/// Guards against a surge of trial calls that delays paying programs.
#[test]
fn trial_surge_does_not_delay_paying_programs() {
    let surge = LoadProfile::sarhad().scaled(2);
    let paying = |sample: &ProgramSample| {
        sample.class == ServiceClass::Paying && surge.surge.contains(&sample.started)
    };
    let p95 = |profile| run(&PolicySetup::chosen(), profile).latency(95, paying);
    let (calm, surging) = (p95(&surge.calm()), p95(&surge));
    assert!(surging.as_secs_f64() < 1.1 * calm.as_secs_f64(), "{calm:?} became {surging:?}");
    let report = run(&PolicySetup::chosen(), &surge);
    assert_eq!(report.unfinished, 0, "trial work still finishes");
    assert!(report.elapsed < Duration::from_secs(900));
}
