//! Checks that each program's history is linearizable with concurrent callers and faults.

mod support;

use std::rc::Rc;
use std::time::Duration;

use merlinsaddle::core::dispatch::ServiceClass;
use merlinsaddle::core::ids::ProgramId;
use merlinsaddle::node::calls::CallRequest;
use merlinsaddle::standin::FaultSettings;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use support::recorder::ProgramRecorder;
use support::{TestCluster, booking, lose_replies, model_call, outage, run_paused, silence};
use tokio::time::sleep;

const INSTANCES: usize = 4;
const PROGRAMS: usize = 6;
const CALLS: u32 = 8;

/// Every third call is a booking.
fn call(program: ProgramId, number: u32) -> CallRequest {
    let input = format!("input {number} of {program:x}");
    if number.is_multiple_of(3) {
        booking(program, number, &input)
    } else {
        model_call(program, number, &input)
    }
}

/// Submits calls in order while a second caller submits each of them and the next at another
/// instance.
async fn run_program(cluster: Rc<TestCluster>, recorder: Rc<ProgramRecorder>) {
    for number in 1..=CALLS {
        let duplicate = {
            let (cluster, recorder) = (cluster.clone(), recorder.clone());
            actix_rt::spawn(async move {
                for number in [number, number + 1] {
                    let index = *cluster.nodes.borrow().keys().last().expect("one runs");
                    let request = call(recorder.program, number);
                    recorder.attempt(&cluster, index, &request).await;
                }
            })
        };
        recorder.insist(&cluster, call(recorder.program, number)).await;
        duplicate.await.expect("the second caller does not panic");
        sleep(Duration::from_millis(300)).await;
    }
}

/// Injects random faults one after the other; those without a pause overlap with the next.
async fn inject_faults(cluster: Rc<TestCluster>, seed: u64, rounds: u32) {
    let mut rng = SmallRng::seed_from_u64(seed);
    for _ in 0..rounds {
        let index = rng.random_range(0..INSTANCES);
        match rng.random_range(0..6) {
            0 => {
                cluster.kill(index);
                sleep(Duration::from_secs(5)).await;
                cluster.start_node(index).await;
            }
            1 => {
                cluster.set_cut(index, true);
                sleep(Duration::from_millis(rng.random_range(500..8000))).await;
                cluster.set_cut(index, false);
            }
            2 => cluster.gates(index).platform.set(lose_replies(rng.random_range(1..4))),
            3 => {
                cluster.gates(index).platform.set(silence());
                sleep(Duration::from_millis(rng.random_range(500..6000))).await;
                cluster.gates(index).platform.set(FaultSettings::default());
            }
            4 => {
                cluster.platform.faults.set(outage());
                sleep(Duration::from_millis(rng.random_range(200..3000))).await;
                cluster.platform.faults.set(FaultSettings::default());
            }
            _ => cluster.gates(index).engines.set(lose_replies(2)),
        }
        sleep(Duration::from_millis(rng.random_range(0..1500))).await;
    }
}

/// Guards against answers that do not follow from the history before the call, and bookings that
/// run twice, when instances die, hang or lose replies and calls arrive doubled or early.
#[rstest]
#[case::calm(1, 0)]
#[case::faults_1(11, 12)]
#[case::faults_2(12, 12)]
#[case::faults_3(13, 12)]
#[case::faults_4(14, 12)]
fn recorded_calls_are_linearizable(#[case] seed: u64, #[case] rounds: u32) {
    run_paused(check_history(seed, rounds));
}

/// As above for more seeds; set their number with `HISTORY_SEEDS=500 cargo test --test history`.
#[test]
fn recorded_calls_are_linearizable_for_more_seeds() {
    let seeds = std::env::var("HISTORY_SEEDS").ok().and_then(|text| text.parse().ok());
    for seed in 100..100 + seeds.unwrap_or(4) {
        eprintln!("seed {seed}");
        run_paused(check_history(seed, 20));
    }
}

async fn check_history(seed: u64, rounds: u32) {
    let cluster = TestCluster::start(INSTANCES).await;
    cluster.workspace("w", ServiceClass::Paying, 10_000_000).await;
    let mut recorders = Vec::new();
    for index in 0..PROGRAMS {
        let program = cluster.start_program(index % INSTANCES, "w").await;
        recorders.push(ProgramRecorder::new(program));
    }
    let faults = actix_rt::spawn(inject_faults(cluster.clone(), seed, rounds));
    let callers: Vec<_> = recorders
        .iter()
        .map(|recorder| actix_rt::spawn(run_program(cluster.clone(), recorder.clone())))
        .collect();
    for caller in callers {
        caller.await.expect("every call ends");
    }
    faults.await.expect("faults do not panic");
    cluster.settled().await;
    for recorder in recorders {
        recorder.check(&cluster).await;
    }
    let executions = cluster.service.executions();
    assert!(executions.values().all(|count| *count == 1), "{executions:?}");
}
