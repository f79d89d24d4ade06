//! Non-idempotent calls run at most once while owners crash or are fenced. The stand-in service
//! counts executions by request.

mod support;

use std::rc::Rc;
use std::time::Duration;

use merlinsaddle::core::dispatch::ServiceClass;
use merlinsaddle::core::outcome::{CallOutcome, RequestFailure};
use merlinsaddle::standin::FaultSettings;
use rstest::rstest;
use support::recorder::{AttemptResult, ProgramRecorder};
use support::{
    SERVICE_MILLIS, TestCluster, booking, lose_replies, model_call, outage, run_paused, silence,
    wait_until,
};
use tokio::time::sleep;

/// Point of a booking at which its owner fails.
#[derive(Debug, Clone, Copy, PartialEq)]
enum FaultPoint {
    BeforeIntent,
    /// The intent is stored, but the write's reply is lost.
    IntentReplyLost,
    BeforeSend,
    /// The service has run the call, but its answer has not arrived.
    BeforeAnswer,
    /// The answer has arrived, but the turn is not stored.
    BeforeCommit,
    /// The turn is stored, but the write's reply is lost.
    CommitReplyLost,
}

async fn start_cluster() -> (Rc<TestCluster>, Rc<ProgramRecorder>) {
    let cluster = TestCluster::start(3).await;
    cluster.workspace("w", ServiceClass::Paying, 1_000_000).await;
    let recorder = ProgramRecorder::new(cluster.start_program(0, "w").await);
    recorder.insist(&cluster, model_call(recorder.program, 1, "salt?")).await;
    (cluster, recorder)
}

fn executions(cluster: &TestCluster) -> u32 {
    cluster.service.executions().values().sum()
}

/// Submits a booking to its owner, instance 0, and waits until it reaches `fault_point`.
async fn submit_until(
    cluster: &Rc<TestCluster>,
    recorder: &Rc<ProgramRecorder>,
    fault_point: FaultPoint,
) {
    let gates = cluster.gates(0);
    let slow = FaultSettings { delay_ms: 500, ..FaultSettings::default() };
    match fault_point {
        FaultPoint::BeforeIntent => gates.platform.set(outage()),
        FaultPoint::IntentReplyLost => gates.platform.set(lose_replies(u32::MAX)),
        FaultPoint::BeforeSend => gates.services.set(slow),
        FaultPoint::BeforeAnswer | FaultPoint::BeforeCommit | FaultPoint::CommitReplyLost => {}
    }
    let (submitting, recorded) = (cluster.clone(), recorder.clone());
    actix_rt::spawn(async move {
        let request = booking(recorded.program, 2, "milk");
        recorded.attempt(&submitting, 0, &request).await;
    });
    match fault_point {
        FaultPoint::BeforeIntent => sleep(Duration::from_millis(500)).await,
        FaultPoint::IntentReplyLost | FaultPoint::BeforeSend => {
            wait_until(|| cluster.journal_has("intended")).await;
        }
        _ => wait_until(|| executions(cluster) == 1).await,
    }
    match fault_point {
        FaultPoint::BeforeAnswer => gates.services.set(silence()),
        FaultPoint::BeforeCommit => gates.platform.set(outage()),
        FaultPoint::CommitReplyLost => gates.platform.set(lose_replies(u32::MAX)),
        _ => {}
    }
    let answered = [FaultPoint::BeforeCommit, FaultPoint::CommitReplyLost].contains(&fault_point);
    sleep(Duration::from_millis(if answered { 2 * SERVICE_MILLIS } else { 100 })).await;
}

fn outcome_name(outcome: &CallOutcome) -> &'static str {
    match outcome {
        CallOutcome::Answered(_) => "answered",
        CallOutcome::NotRun(_) => "not run",
        CallOutcome::Unknown(_) => "unknown",
    }
}

/// Guards against a retry that resends a booking whose intent is stored, and against one that loses
/// a stored turn.
#[rstest]
#[case(FaultPoint::BeforeIntent, "answered", 1)]
#[case(FaultPoint::IntentReplyLost, "unknown", 0)]
#[case(FaultPoint::BeforeSend, "unknown", 0)]
#[case(FaultPoint::BeforeAnswer, "unknown", 1)]
#[case(FaultPoint::BeforeCommit, "unknown", 1)]
#[case(FaultPoint::CommitReplyLost, "answered", 1)]
fn retried_booking_runs_at_most_once_after_a_crash_of_its_owner(
    #[case] fault_point: FaultPoint,
    #[case] expected: &str,
    #[case] runs: u32,
) {
    run_paused(async move {
        let (cluster, recorder) = start_cluster().await;
        submit_until(&cluster, &recorder, fault_point).await;
        cluster.kill(0);
        let last = recorder.insist(&cluster, booking(recorder.program, 2, "milk")).await;
        assert_eq!((outcome_name(&last), executions(&cluster)), (expected, runs));
        recorder.insist(&cluster, model_call(recorder.program, 3, "more")).await;
        sleep(Duration::from_secs(10)).await;
        assert_eq!(executions(&cluster), runs, "the booking ran after its outcome was final");
        recorder.check(&cluster).await;
    });
}

/// Guards against a second execution by a paused owner that resumes after a takeover. It may still
/// send the one attempt of its stored intent, which the new owner has recorded as unknown.
#[rstest]
#[case(FaultPoint::BeforeIntent, "answered")]
#[case(FaultPoint::IntentReplyLost, "unknown")]
#[case(FaultPoint::BeforeSend, "unknown")]
#[case(FaultPoint::BeforeAnswer, "unknown")]
#[case(FaultPoint::BeforeCommit, "unknown")]
#[case(FaultPoint::CommitReplyLost, "answered")]
fn booking_runs_at_most_once_when_a_fenced_owner_resumes(
    #[case] fault_point: FaultPoint,
    #[case] expected: &str,
) {
    run_paused(async move {
        let (cluster, recorder) = start_cluster().await;
        submit_until(&cluster, &recorder, fault_point).await;
        cluster.freeze(0);
        wait_until(|| cluster.owner_of(recorder.program) != Some(0)).await;
        let request = booking(recorder.program, 2, "milk");
        let new_owner = cluster.owner_of(recorder.program).expect("the program has an owner");
        wait_until(|| cluster.serves(new_owner, recorder.program)).await;
        let last = recorder.attempt(&cluster, new_owner, &request).await;
        let AttemptResult::Outcome(last) = last else { panic!("{last:?}") };
        assert_eq!(outcome_name(&last), expected);
        cluster.thaw(0);
        recorder.attempt(&cluster, 0, &request).await;
        sleep(Duration::from_secs(10)).await;
        assert_eq!(recorder.insist(&cluster, request).await, last);
        recorder.insist(&cluster, model_call(recorder.program, 3, "more")).await;
        assert!(executions(&cluster) <= 1, "{:?}", cluster.service.executions());
        recorder.check(&cluster).await;
    });
}

/// The reply to a stored write is lost and the next owner deletes its row after a checkpoint. The
/// fenced owner, on retrying the write, must not conclude that it was not run.
#[test]
fn end_is_unknown_when_the_row_of_its_unacknowledged_write_is_deleted() {
    run_paused(async {
        let (cluster, recorder) = start_cluster().await;
        let old = cluster.node(0).member_list()[0].incarnation;
        cluster.gates(0).platform.set(lose_replies(u32::MAX));
        let (node, program) = (cluster.node(0), recorder.program);
        let ending = actix_rt::spawn(async move { node.end_program(program).await });
        wait_until(|| cluster.journal_has("ended")).await;
        cluster.freeze(0);
        let row = format!("incarnation/{old:012}");
        wait_until(|| cluster.platform.peek(&row).is_none()).await;
        cluster.thaw(0);
        let result = ending.await.expect("the task does not panic");
        assert!(matches!(result, Err(RequestFailure::Unknown(_))), "{result:?}");
    });
}

/// Guards against resending a call whose outcome is unknown, and against a program that can't
/// continue after one.
#[test]
fn hung_service_gives_one_execution_and_an_unknown_outcome() {
    run_paused(async {
        let (cluster, recorder) = start_cluster().await;
        let request = booking(recorder.program, 2, "milk");
        let hung_cluster = cluster.clone();
        let hanging = async {
            wait_until(|| executions(&hung_cluster) == 1).await;
            hung_cluster.service.faults.set(silence());
        };
        let submitted = recorder.insist(&cluster, request.clone());
        let (first, ()) = futures_util::future::join(submitted, hanging).await;
        assert_eq!(outcome_name(&first), "unknown");
        cluster.service.faults.set(FaultSettings::default());
        assert_eq!(recorder.insist(&cluster, request).await, first);
        recorder.insist(&cluster, booking(recorder.program, 3, "bread")).await;
        assert!(cluster.service.executions().values().all(|count| *count == 1));
        recorder.check(&cluster).await;
    });
}

/// A booking that could not be sent runs on the next owner only if its intent was withdrawn before
/// the crash; otherwise it stays unknown.
#[rstest]
#[case::withdrawn(false, "answered", 1)]
#[case::not_withdrawn(true, "unknown", 0)]
fn unsent_booking_runs_after_a_crash_only_if_withdrawn(
    #[case] kill: bool,
    #[case] expected: &str,
    #[case] runs: u32,
) {
    run_paused(async move {
        let (cluster, recorder) = start_cluster().await;
        let gates = cluster.gates(0);
        gates.services.set(FaultSettings { delay_ms: 300, ..outage() });
        let request = booking(recorder.program, 2, "milk");
        if kill {
            let (submitting, recorded, request) =
                (cluster.clone(), recorder.clone(), request.clone());
            actix_rt::spawn(async move { recorded.attempt(&submitting, 0, &request).await });
            wait_until(|| cluster.journal_has("intended")).await;
            gates.platform.set(outage());
            sleep(Duration::from_secs(1)).await;
            cluster.kill(0);
        } else {
            let first = recorder.attempt(&cluster, 0, &request).await;
            let AttemptResult::Outcome(first) = first else { panic!("{first:?}") };
            assert_eq!(outcome_name(&first), "not run");
            cluster.kill(0);
        }
        let last = recorder.insist(&cluster, request).await;
        assert_eq!((outcome_name(&last), executions(&cluster)), (expected, runs));
        recorder.check(&cluster).await;
    });
}
