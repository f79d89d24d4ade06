//! Limits of programs that operators set.

mod support;

use merlinsaddle::core::dispatch::ServiceClass;
use merlinsaddle::core::outcome::{CallOutcome, RefusalReason};
use support::{TestCluster, answer_text, model_call, outcome, run_paused};

/// Guards against a looping program that uses up the budget of its workspace.
#[test]
fn program_is_refused_after_its_turn_limit() {
    run_paused(async {
        let cluster = TestCluster::start(1).await;
        cluster.workspace("w", ServiceClass::Trial, 1_000_000).await;
        let program = cluster.start_program(0, "w").await;
        for turn in 1..=50 {
            answer_text(
                &outcome(cluster.node(0).submit(model_call(program, turn, "?")).await).await,
            );
        }
        let refused = outcome(cluster.node(0).submit(model_call(program, 51, "?")).await).await;
        let CallOutcome::NotRun(refusal) = refused else { panic!("{refused:?}") };
        assert_eq!(refusal.reason, RefusalReason::LimitReached { limit: "turns".into() });
        assert_eq!(refusal.retry_after, None);
    });
}
