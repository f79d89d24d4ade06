//! Graceful shutdown of instances under load, and upstreams that leave or refuse calls.

mod support;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use merlinsaddle::core::dispatch::ServiceClass;
use merlinsaddle::core::ids::ProgramId;
use merlinsaddle::core::outcome::{CallOutcome, RefusalReason};
use merlinsaddle::node::calls::CallTarget;
use merlinsaddle::standin::{FaultSettings, LinkFault};
use support::{TestCluster, answer_text, model_call, outage, outcome, run_paused};
use tokio::time::{Instant, sleep};

const DRAIN_TIMEOUT: Duration = Duration::from_secs(120);
const CALLS_PER_PROGRAM: u32 = 48;

#[derive(Debug, Default)]
struct CallCounts {
    answered: Cell<u32>,
    refused: Cell<u32>,
    /// Calls with an unknown outcome, interrupted by the shutdown.
    unknown: Cell<u32>,
}

/// Submits `calls` calls of one program to the instances in rotation, with retries.
async fn run_program(
    cluster: Rc<TestCluster>,
    program: ProgramId,
    calls: u32,
    counts: Rc<CallCounts>,
) {
    for number in 1..=calls {
        let mut turn = program as usize + number as usize;
        loop {
            turn += 1;
            let nodes: Vec<_> = cluster.nodes.borrow().values().cloned().collect();
            let call = model_call(program, number, &format!("{program} {number}"));
            match outcome(nodes[turn % nodes.len()].submit(call).await).await {
                CallOutcome::Answered(_) => break,
                CallOutcome::NotRun(refusal) => {
                    counts.refused.set(counts.refused.get() + 1);
                    sleep(refusal.retry_after.expect("refusal is retryable")).await;
                }
                CallOutcome::Unknown(_) => {
                    counts.unknown.set(counts.unknown.get() + 1);
                    sleep(Duration::from_millis(200)).await;
                }
            }
        }
        counts.answered.set(counts.answered.get() + 1);
        sleep(Duration::from_secs(1)).await;
    }
}

/// Guards against interrupted calls, avoidable refusals and lost turns when all instances are
/// replaced one by one.
#[test]
fn rolling_replacement_under_load_interrupts_no_call() {
    run_paused(async {
        let cluster = TestCluster::start(3).await;
        cluster.workspace("w", ServiceClass::Paying, 10_000_000).await;
        let counts = Rc::new(CallCounts::default());
        let mut programs = Vec::new();
        let mut runs = Vec::new();
        for index in 0..60 {
            let program = cluster.start_program(index % 3, "w").await;
            programs.push(program);
            let run = run_program(cluster.clone(), program, CALLS_PER_PROGRAM, counts.clone());
            runs.push(actix_rt::spawn(run));
        }
        for index in 0..3 {
            let node = cluster.node(index);
            assert!(
                node.shut_down(DRAIN_TIMEOUT).await,
                "handover completes before the drain timeout"
            );
            cluster.remove(index);
            cluster.start_node(index).await;
            cluster.settled().await;
        }
        let running = runs.iter().filter(|run| !run.is_finished()).count();
        assert!(running > 0, "load continues through the replacement");
        for run in runs {
            run.await.expect("program run completes");
        }
        println!("{counts:?}");
        for program in programs {
            let text = cluster.any_node().show_program(program).await.expect("program is served");
            let view: serde_json::Value = serde_json::from_str(&text).expect("JSON");
            assert_eq!(view["turns"].as_array().expect("a list").len(), CALLS_PER_PROGRAM as usize);
        }
        assert_eq!((counts.unknown.get(), counts.refused.get()), (0, 0));
    });
}

/// Guards against declaring a leaving instance dead at the first lost probe: its shard would be
/// taken over while it still runs a call.
#[test]
fn leaving_instance_with_lost_probes_finishes_its_call() {
    run_paused(async {
        let cluster = TestCluster::start(3).await;
        cluster.workspace("w", ServiceClass::Paying, 1_000_000).await;
        let program = cluster.start_program(0, "w").await;
        let mut call = model_call(program, 1, "long");
        call.target = CallTarget::Model { max_tokens: 3000 };
        let call = cluster.node(0).submit(call).await.expect("admitted");
        let leaving = cluster.node(0);
        let stop = actix_rt::spawn(async move { leaving.shut_down(DRAIN_TIMEOUT).await });
        sleep(Duration::from_secs(1)).await;
        for _ in 0..3 {
            set_links(&cluster, Some(LinkFault::Cut));
            sleep(Duration::from_millis(1100)).await;
            set_links(&cluster, None);
            sleep(Duration::from_millis(600)).await;
        }
        answer_text(&call.wait().await);
        assert!(stop.await.expect("the stop ends"));
    });
}

fn set_links(cluster: &TestCluster, fault: Option<LinkFault>) {
    for other in ["i1", "i2"] {
        cluster.hub.set_link("i0", other, fault);
    }
}

/// Guards against a leaving instance that exits or stops forwarding to the new owner while callers
/// may still use its address.
#[test]
fn calls_to_leaving_instance_are_forwarded_to_new_owner() {
    run_paused(async {
        let cluster = TestCluster::start(3).await;
        cluster.workspace("w", ServiceClass::Paying, 1_000_000).await;
        let program = cluster.start_program(0, "w").await;
        let leaving = cluster.node(0);
        let stopping = leaving.clone();
        let stop = actix_rt::spawn(async move { stopping.shut_down(DRAIN_TIMEOUT).await });
        let started = Instant::now();
        let mut number = 0;
        while started.elapsed() < Duration::from_secs(10) {
            number += 1;
            let submitted = Instant::now();
            answer_text(&outcome(leaving.submit(model_call(program, number, "x")).await).await);
            assert!(submitted.elapsed() < Duration::from_secs(1));
            sleep(Duration::from_millis(500)).await;
        }
        assert!(!stop.is_finished());
        assert!(stop.await.expect("the stop ends"));
        let late = outcome(leaving.submit(model_call(program, number + 1, "x")).await).await;
        let CallOutcome::NotRun(refusal) = late else { panic!("{late:?}") };
        assert_eq!(refusal.reason, RefusalReason::OwnerMoving);
    });
}

/// Guards against dispatching queued or new calls to an engine that the roster lists as leaving.
/// Running calls finish there.
#[test]
fn leaving_engine_receives_no_further_calls() {
    run_paused(async {
        let cluster = TestCluster::start(3).await;
        cluster.workspace("w", ServiceClass::Paying, 10_000_000).await;
        let mut calls = Vec::new();
        for index in 0..30 {
            let program = cluster.start_program(index % 3, "w").await;
            let mut call = model_call(program, 1, "x");
            call.target = CallTarget::Model { max_tokens: 800 };
            calls.push(cluster.node(index % 3).submit(call).await.expect("admitted"));
        }
        sleep(Duration::from_millis(200)).await;
        cluster.platform.update_roster("e0", |entry| entry.leaving = true);
        sleep(Duration::from_secs(2)).await;
        let calls_before = cluster.engines[0].calls();
        for call in calls {
            answer_text(&call.wait().await);
        }
        assert_eq!(cluster.engines[0].calls(), calls_before);
    });
}

/// The roster does not report the failing engine. Guards against trying it with every call, and
/// against ignoring it after recovery.
#[test]
fn refusing_engine_is_ejected_and_used_again_after_recovery() {
    run_paused(async {
        let cluster = TestCluster::start(1).await;
        cluster.workspace("w", ServiceClass::Paying, 10_000_000).await;
        let engine = cluster.engines[0].clone();
        engine.faults.set(outage());
        let tried = engine.faults.operations();
        let run = async |seconds: u64| {
            let until = Instant::now() + Duration::from_secs(seconds);
            while Instant::now() < until {
                let rounds = (0..10).map(async |_| {
                    let program = cluster.start_program(0, "w").await;
                    let call = cluster.node(0).submit(model_call(program, 1, "x")).await;
                    answer_text(&outcome(call).await);
                });
                futures_util::future::join_all(rounds).await;
            }
        };
        run(60).await;
        let tries = engine.faults.operations() - tried;
        assert!(tries < 30, "{tries} requests reached the refusing engine");
        engine.faults.set(FaultSettings::default());
        let before = engine.calls();
        run(40).await;
        assert!(engine.calls() > before, "recovered engine receives calls");
    });
}
