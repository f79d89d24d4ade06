//! Preemption of trial calls by paying calls, and their resumption.

mod support;

use std::time::Duration;

use merlinsaddle::core::budget::BudgetRow;
use merlinsaddle::core::dispatch::ServiceClass;
use merlinsaddle::core::ids::{ProgramId, Tokens};
use merlinsaddle::node::calls::{CallRequest, CallTarget};
use merlinsaddle::standin::expected_answer;
use rstest::rstest;
use support::{TestCluster, answer_text, model_call, outcome, run_paused};
use tokio::time::{Instant, sleep};

/// Fills the slots of all engines.
const TRIAL_CALLS: usize = 12;
const ANSWER_TOKENS: u32 = 2_000;
/// Longer than it takes to return idle budget grants.
const GRANT_RETURN_DELAY: Duration = Duration::from_secs(60);
const BUDGET: Tokens = 1_000_000;

fn long_call(program: ProgramId) -> CallRequest {
    CallRequest {
        target: CallTarget::Model { max_tokens: ANSWER_TOKENS },
        deadline: Some(Duration::from_secs(300)),
        ..model_call(program, 1, "long")
    }
}

fn preempted(cluster: &TestCluster) -> usize {
    let nodes = cluster.nodes.borrow();
    let events = nodes.values().flat_map(|node| node.events_since(0));
    events.filter(|event| &*event.kind == "call_preempted").count()
}

/// Guards against paying calls that wait for long trial calls, and against a preempted call that
/// loses part of its answer or is billed wrongly.
#[rstest]
#[case::on_the_owner_of_the_engines(1)]
#[case::on_another_instance(3)]
fn preempted_trial_call_resumes_and_completes(#[case] instances: usize) {
    run_paused(async move {
        let cluster = TestCluster::start(instances).await;
        cluster.workspace("pays", ServiceClass::Paying, BUDGET).await;
        cluster.workspace("tries", ServiceClass::Trial, BUDGET).await;
        let mut trials = Vec::new();
        for _ in 0..TRIAL_CALLS {
            let program = cluster.start_program(0, "tries").await;
            let call = cluster
                .node(0)
                .submit(long_call(program))
                .await
                .expect("the trial call is admitted");
            trials.push(call);
        }
        let program = cluster.start_program(0, "pays").await;
        sleep(Duration::from_secs(1)).await;
        let submitted = Instant::now();
        let answer = outcome(cluster.node(0).submit(model_call(program, 1, "salt?")).await).await;
        answer_text(&answer);
        assert!(
            submitted.elapsed() < Duration::from_secs(1),
            "the paying call took {:?}",
            submitted.elapsed()
        );
        assert_eq!(preempted(&cluster), 1);
        let prompt = ["You are a helpful agent.".into(), "long".into()];
        let expected = expected_answer(&prompt, ANSWER_TOKENS).concat();
        for trial in trials {
            assert_eq!(answer_text(&trial.wait().await), expected);
        }
        sleep(GRANT_RETURN_DELAY).await;
        let bills = cluster.engines.iter().map(|engine| engine.billed());
        let billed: Tokens = bills.map(|bill| bill.get("tries").copied().unwrap_or(0)).sum();
        let row = cluster.platform.peek("budget/tries").expect("the workspace has a budget");
        let row: BudgetRow = serde_json::from_str(&row.value).expect("the row parses");
        assert_eq!(row, BudgetRow { limit: BUDGET, drawn: billed, spent: billed });
    });
}
