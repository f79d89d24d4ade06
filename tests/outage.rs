//! An outage of the platform's table for minutes under load.

mod support;

use std::rc::Rc;
use std::time::Duration;

use merlinsaddle::core::dispatch::ServiceClass;
use merlinsaddle::core::outcome::{CallOutcome, CallRefusal, RefusalReason, RequestFailure};
use merlinsaddle::standin::FaultSettings;
use rstest::rstest;
use support::recorder::{AttemptResult, ProgramRecorder};
use support::{TestCluster, booking, model_call, outage, outcome, run_paused};
use tokio::time::{Instant, sleep};

async fn start() -> (Rc<TestCluster>, Vec<Rc<ProgramRecorder>>) {
    let cluster = TestCluster::start(3).await;
    cluster.workspace("w", ServiceClass::Paying, 10_000_000).await;
    let mut recorders = Vec::new();
    for index in 0..6 {
        let recorder = ProgramRecorder::new(cluster.start_program(index % 3, "w").await);
        recorder.insist(&cluster, model_call(recorder.program, 1, "one")).await;
        recorders.push(recorder);
    }
    (cluster, recorders)
}

fn engine_calls(cluster: &TestCluster) -> u64 {
    cluster.engines.iter().map(|engine| engine.calls()).sum()
}

fn store_refusal(outcome: &CallOutcome) -> &CallRefusal {
    match outcome {
        CallOutcome::NotRun(refusal) if refusal.reason == RefusalReason::StoreUnavailable => {
            refusal
        }
        other => panic!("expected a refusal as the store is unavailable, got {other:?}"),
    }
}

/// Guards against answers reported as final before they are durable, and against held answers that
/// are lost, or computed again although their owner is alive.
#[rstest]
#[case::owners_live(false)]
#[case::an_owner_dies(true)]
fn held_answers_are_kept_through_an_outage(#[case] kill: bool) {
    run_paused(async move {
        let (cluster, recorders) = start().await;
        let owner = cluster.owner_of(recorders[0].program).expect("the program has an owner");
        cluster.platform.faults.set(outage());
        let began = Instant::now();
        let mut calls = Vec::new();
        for recorder in &recorders {
            let index = cluster.owner_of(recorder.program).expect("the program has an owner");
            let request = model_call(recorder.program, 2, "two");
            calls.push(cluster.node(index).submit(request).await.expect("the call is accepted"));
        }
        for call in calls {
            let outcome = call.wait().await;
            let CallOutcome::Unknown(unknown) = outcome else { panic!("{outcome:?}") };
            assert!(unknown.retryable && !call.text().is_empty());
        }
        let hold = Duration::from_secs(11);
        assert!(began.elapsed() < hold, "callers waited {:?}", began.elapsed());
        let calls_before = engine_calls(&cluster);
        if kill {
            cluster.kill(owner);
        }
        sleep(Duration::from_secs(300)).await;
        cluster.platform.faults.set(FaultSettings::default());
        for recorder in &recorders {
            recorder.insist(&cluster, model_call(recorder.program, 2, "two")).await;
            recorder.insist(&cluster, model_call(recorder.program, 3, "three")).await;
            recorder.check(&cluster).await;
        }
        let repeated = engine_calls(&cluster) - calls_before - recorders.len() as u64;
        assert_eq!(repeated > 0, kill, "{repeated} calls ran again");
    });
}

/// Guards against new work that waits, or is sent to engines and services, during an outage.
/// Durable answers stay available.
#[test]
fn new_work_is_refused_at_once_during_an_outage() {
    run_paused(async {
        let (cluster, recorders) = start().await;
        cluster.platform.faults.set(outage());
        sleep(Duration::from_secs(5)).await;
        let (calls_before, began) = (engine_calls(&cluster), Instant::now());
        for recorder in &recorders {
            let program = recorder.program;
            let node = cluster.node(cluster.owner_of(program).expect("the program has an owner"));
            let again = outcome(node.submit(model_call(program, 1, "one")).await).await;
            assert!(matches!(again, CallOutcome::Answered(_)), "{again:?}");
            for request in [model_call(program, 2, "two"), booking(program, 2, "milk")] {
                let refused = outcome(node.submit(request).await).await;
                assert!(store_refusal(&refused).retry_after >= Some(Duration::from_secs(1)));
            }
            let ended = node.end_program(program).await;
            let Err(RequestFailure::NotRun(refusal)) = ended else { panic!("{ended:?}") };
            assert_eq!(refusal.reason, RefusalReason::StoreUnavailable);
        }
        assert_eq!(began.elapsed(), Duration::ZERO, "refusals took time");
        assert_eq!(engine_calls(&cluster), calls_before);
        assert!(cluster.service.executions().is_empty());
        cluster.platform.faults.set(FaultSettings::default());
        for recorder in &recorders {
            recorder.insist(&cluster, booking(recorder.program, 2, "milk")).await;
            recorder.check(&cluster).await;
        }
    });
}

/// Guards against a service call that is sent before its intent is durable, or sent twice after the
/// outage.
#[test]
fn booking_waits_for_the_table_and_runs_once() {
    run_paused(async {
        let (cluster, recorders) = start().await;
        let recorder = &recorders[0];
        let owner = cluster.owner_of(recorder.program).expect("the program has an owner");
        cluster.platform.faults.set(outage());
        let request = booking(recorder.program, 2, "milk");
        let call = cluster.node(owner).submit(request.clone()).await.expect("the call is accepted");
        let outcome = call.wait().await;
        assert!(matches!(&outcome, CallOutcome::Unknown(call) if call.retryable), "{outcome:?}");
        let joined = recorder.attempt(&cluster, owner, &request).await;
        assert_eq!(
            joined,
            AttemptResult::Lost,
            "the request is held beyond the timeout of this attempt"
        );
        assert!(cluster.service.executions().is_empty());
        cluster.platform.faults.set(FaultSettings::default());
        recorder.insist(&cluster, request).await;
        assert_eq!(cluster.service.executions().values().sum::<u32>(), 1);
        recorder.check(&cluster).await;
    });
}
