//! A program's lifecycle across instances: start, calls, history, end.

mod support;

use std::time::Duration;

use merlinsaddle::core::dispatch::ServiceClass;
use merlinsaddle::core::outcome::{CallOutcome, RefusalReason};
use merlinsaddle::standin::expected_answer;
use support::{TestCluster, answer_text, booking, model_call, outcome, run_paused, wait_until};
use tokio::time::sleep;

#[test]
fn program_runs_through_any_instance_until_it_ends() {
    run_paused(async {
        let cluster = TestCluster::start(3).await;
        cluster.workspace("w", ServiceClass::Paying, 100_000).await;
        let program = cluster.start_program(0, "w").await;
        let first = outcome(cluster.node(0).submit(model_call(program, 1, "salt?")).await).await;
        let prefix: Box<str> = "You are a helpful agent.".into();
        let prompt = [prefix.clone(), "salt?".into()];
        assert_eq!(answer_text(&first), expected_answer(&prompt, 20).concat());
        let second = outcome(cluster.node(1).submit(booking(program, 2, "milk")).await).await;
        assert_eq!(answer_text(&second), "done: milk");
        let third = outcome(cluster.node(2).submit(model_call(program, 3, "more")).await).await;
        let prompt = [
            prefix,
            "salt?".into(),
            answer_text(&first).into(),
            "milk".into(),
            "done: milk".into(),
            "more".into(),
        ];
        assert_eq!(answer_text(&third), expected_answer(&prompt, 20).concat());
        let repeated = outcome(cluster.node(1).submit(booking(program, 2, "milk")).await).await;
        assert_eq!(repeated, second);
        assert!(cluster.service.executions().values().all(|count| *count == 1));
        let skipped = outcome(cluster.node(0).submit(model_call(program, 9, "x")).await).await;
        let CallOutcome::NotRun(refusal) = skipped else { panic!("{skipped:?}") };
        assert_eq!(refusal.reason, RefusalReason::WrongNumber { expected: 4 });
        assert!(cluster.engines.iter().any(|engine| !engine.held().is_empty()));
        cluster.node(2).end_program(program).await.expect("the program ends");
        wait_until(|| cluster.engines.iter().all(|engine| engine.held().is_empty())).await;
    });
}

#[test]
fn history_survives_a_crash_of_the_owner() {
    run_paused(async {
        let cluster = TestCluster::start(3).await;
        cluster.workspace("w", ServiceClass::Paying, 100_000).await;
        let program = cluster.start_program(0, "w").await;
        let first = outcome(cluster.node(0).submit(model_call(program, 1, "one")).await).await;
        sleep(Duration::from_secs(1)).await;
        cluster.kill(0);
        cluster.settled().await;
        let repeated = outcome(cluster.node(1).submit(model_call(program, 1, "one")).await).await;
        assert_eq!(repeated, first);
        let second = outcome(cluster.node(2).submit(model_call(program, 2, "two")).await).await;
        answer_text(&second);
    });
}
