//! Admission of calls: order, reused request ids, and calls that race with starts and ends.

mod support;

use std::time::Duration;

use futures_util::future::join;
use merlinsaddle::core::dispatch::ServiceClass;
use merlinsaddle::core::outcome::{CallOutcome, CallRefusal, RefusalReason, RequestFailure};
use merlinsaddle::node::calls::CallRequest;
use merlinsaddle::node::peers::StartRequest;
use merlinsaddle::standin::{FaultSettings, LinkFault};
use support::recorder::{ProgramRecorder, final_turns};
use support::{TestCluster, answer_text, booking, model_call, outcome, run_paused};
use tokio::time::sleep;

fn refused(reason: RefusalReason) -> CallOutcome {
    CallOutcome::NotRun(CallRefusal::permanent(reason))
}

/// Guards against reordering of concurrent calls at several instances, and against gaps.
#[test]
fn concurrent_calls_run_in_order_of_their_numbers() {
    run_paused(async {
        let cluster = TestCluster::start(3).await;
        cluster.workspace("w", ServiceClass::Paying, 1_000_000).await;
        let recorder = ProgramRecorder::new(cluster.start_program(1, "w").await);
        let request = |number| model_call(recorder.program, number, &format!("input {number}"));
        let submit = async |index, number, delay| {
            sleep(Duration::from_millis(delay)).await;
            recorder.attempt(&cluster, index, &request(number)).await
        };
        let early = join(submit(2, 3, 10), submit(0, 2, 5));
        join(early, join(submit(1, 1, 0), submit(2, 9, 20))).await;
        for number in 1..=3 {
            recorder.insist(&cluster, request(number)).await;
        }
        let ahead = outcome(cluster.node(0).submit(request(9)).await).await;
        assert_eq!(ahead, refused(RefusalReason::WrongNumber { expected: 4 }));
        recorder.check(&cluster).await;
    });
}

/// Guards against answering a call with the result of a different call that used the same request
/// id.
#[test]
fn request_id_reused_for_a_different_call_is_refused() {
    run_paused(async {
        let cluster = TestCluster::start(3).await;
        cluster.workspace("w", ServiceClass::Paying, 1_000_000).await;
        let program = cluster.start_program(0, "w").await;
        let first = cluster.node(0).submit(model_call(program, 1, "salt?")).await;
        let other_input = model_call(program, 1, "pepper?");
        let other_target = CallRequest {
            target: booking(program, 1, "salt?").target,
            ..model_call(program, 1, "salt?")
        };
        for other in [other_input, other_target] {
            let during = outcome(cluster.node(1).submit(other.clone()).await).await;
            assert_eq!(during, refused(RefusalReason::RequestReused));
        }
        let same = outcome(cluster.node(2).submit(model_call(program, 1, "salt?")).await).await;
        assert_eq!(same, outcome(first).await);
        let other_number =
            CallRequest { request_id: "r1".into(), ..model_call(program, 2, "salt?") };
        for other in [model_call(program, 1, "pepper?"), other_number] {
            let after = outcome(cluster.node(1).submit(other).await).await;
            assert_eq!(after, refused(RefusalReason::RequestReused));
        }
        assert_eq!(final_turns(&cluster, program).await.len(), 1);
    });
}

/// Guards against a call that runs for an ended program because the write of the end was slow.
#[test]
fn call_is_refused_while_the_end_of_its_program_is_written() {
    run_paused(async {
        let cluster = TestCluster::start(3).await;
        cluster.workspace("w", ServiceClass::Paying, 1_000_000).await;
        let program = cluster.start_program(0, "w").await;
        let gate = cluster.gates(0).platform.clone();
        gate.set(FaultSettings { delay_ms: 500, ..FaultSettings::default() });
        let node = cluster.node(0);
        let late = async {
            sleep(Duration::from_millis(100)).await;
            outcome(node.submit(booking(program, 1, "milk")).await).await
        };
        let (ended, late) = join(node.end_program(program), late).await;
        ended.expect("the program ends");
        assert_eq!(late, refused(RefusalReason::ProgramEnded));
        assert!(cluster.service.executions().is_empty());
    });
}

/// Guards against a second program when a start is retried before the first attempt is durable.
#[test]
fn concurrent_starts_with_the_same_key_return_the_same_program() {
    run_paused(async {
        let cluster = TestCluster::start(3).await;
        cluster.workspace("w", ServiceClass::Paying, 1_000_000).await;
        let start = StartRequest {
            workspace: "w".into(),
            definition: "d".into(),
            start_key: Some("k".into()),
            parent: None,
        };
        let node = cluster.node(0);
        let both = join(node.start_program(start.clone()), node.start_program(start.clone()));
        let (first, second) = both.await;
        assert_eq!(first, second);
        assert_eq!(node.start_program(start).await, first);
    });
}

/// Guards against reporting a forwarded request as not run when only the owner's reply was lost.
#[test]
fn lost_reply_of_the_owner_gives_an_unknown_outcome() {
    run_paused(async {
        let cluster = TestCluster::start(3).await;
        cluster.workspace("w", ServiceClass::Paying, 1_000_000).await;
        let program = cluster.start_program(0, "w").await;
        cluster.hub.set_link("i0", "i1", Some(LinkFault::RepliesLost));
        let lost = outcome(cluster.node(1).submit(booking(program, 1, "milk")).await).await;
        assert!(matches!(lost, CallOutcome::Unknown(_)), "{lost:?}");
        let known = outcome(cluster.node(2).submit(booking(program, 1, "milk")).await).await;
        assert_eq!(answer_text(&known), "done: milk");
        let ended = cluster.node(1).end_program(program).await;
        assert!(matches!(ended, Err(RequestFailure::Unknown(_))), "{ended:?}");
        cluster.node(2).end_program(program).await.expect("the program has already ended");
    });
}
