//! Spending limits of workspaces: engines never bill more than the budget, and tokens that failures
//! leave unspent are returned.

mod support;

use std::rc::Rc;
use std::time::Duration;

use merlinsaddle::core::budget::BudgetRow;
use merlinsaddle::core::dispatch::ServiceClass;
use merlinsaddle::core::ids::{ProgramId, Tokens};
use merlinsaddle::core::outcome::{CallOutcome, CallRefusal, RefusalReason};
use merlinsaddle::core::ownership::assign_engines;
use merlinsaddle::node::calls::{CallRequest, CallTarget};
use merlinsaddle::node::platform::{RosterRole, RosterSource};
use merlinsaddle::standin::FaultSettings;
use rstest::rstest;
use support::{
    TestCluster, answer_text, lose_replies, model_call, outage, outcome, run_paused, wait_until,
};
use tokio::time::{Instant, sleep};

/// Exceeds the time for suspicion, takeover and the return of idle grants together.
const RECOVERY_DELAY: Duration = Duration::from_secs(60);

fn billed(cluster: &TestCluster) -> Tokens {
    cluster.engines.iter().map(|engine| engine.billed().get("w").copied().unwrap_or(0)).sum()
}

fn budget_row(cluster: &TestCluster) -> BudgetRow {
    let row = cluster.platform.peek("budget/w").expect("the workspace has a budget");
    serde_json::from_str(&row.value).expect("the row parses")
}

/// The row includes all that was billed, and nothing else is drawn.
fn assert_settled(cluster: &TestCluster, limit: Tokens) {
    let billed = billed(cluster);
    assert!(billed > 0, "nothing was billed");
    assert_eq!(budget_row(cluster), BudgetRow { limit, drawn: billed, spent: billed });
}

async fn start(count: usize, budget: Tokens) -> Rc<TestCluster> {
    let cluster = TestCluster::start(count).await;
    cluster.workspace("w", ServiceClass::Paying, budget).await;
    cluster
}

async fn run_call(cluster: &TestCluster, node: usize) -> ProgramId {
    let program = cluster.start_program(node, "w").await;
    let call = cluster.node(node).submit(model_call(program, 1, "one")).await;
    answer_text(&outcome(call).await);
    program
}

fn refused(outcome: &CallOutcome) -> Option<&CallRefusal> {
    match outcome {
        CallOutcome::NotRun(refusal) if refusal.reason == RefusalReason::BudgetExhausted => {
            Some(refusal)
        }
        _ => None,
    }
}

/// A call with a long output, and a deadline that outlasts the queue.
fn long_call(program: ProgramId, number: u32) -> CallRequest {
    CallRequest {
        target: CallTarget::Model { max_tokens: 2_000 },
        deadline: Some(Duration::from_secs(300)),
        ..model_call(program, number, "long")
    }
}

/// Leaves one engine in the roster; returns the index of the instance that assigns its slots.
async fn keep_one_engine(cluster: &TestCluster) -> usize {
    let mut roster = cluster.platform.list().await.expect("the platform answers");
    roster.retain(|entry| entry.role != RosterRole::Engine || &*entry.id == "e0");
    cluster.platform.set_roster(roster);
    sleep(Duration::from_secs(4)).await;
    let members: Vec<_> = (0..3).map(|index| cluster.node(index).instance().clone()).collect();
    let owners = assign_engines(vec!["e0".into()], &members);
    members.iter().position(|member| *member == owners["e0"]).expect("it has an owner")
}

/// Calls until a refusal is permanent; returns the number of answered calls.
async fn spend_all(cluster: &Rc<TestCluster>, node: usize, program: ProgramId) -> u32 {
    spend_calls(cluster, node, program, model_call(program, 1, "more")).await
}

async fn spend_calls(
    cluster: &Rc<TestCluster>,
    node: usize,
    program: ProgramId,
    call: CallRequest,
) -> u32 {
    let limit = Instant::now() + Duration::from_secs(300);
    let mut number = 1;
    loop {
        assert!(Instant::now() < limit, "no permanent refusal within 300 s, after {number} calls");
        let request_id = format!("r{number}").into();
        let call = CallRequest { program, number, request_id, ..call.clone() };
        let result = outcome(cluster.node(node).submit(call).await).await;
        match refused(&result).map(|refusal| refusal.retry_after) {
            Some(None) => return number - 1,
            Some(Some(wait)) => sleep(wait).await,
            None if matches!(result, CallOutcome::Answered(_)) => number += 1,
            None => sleep(Duration::from_secs(1)).await,
        }
    }
}

/// Guards against overspending or unusable tokens when several instances draw the last of a budget
/// at once.
#[test]
fn concurrent_instances_spend_the_budget_without_exceeding_it() {
    run_paused(async {
        let cluster = start(3, 3_000).await;
        let mut tasks = Vec::new();
        for index in 0..9 {
            let program = cluster.start_program(index % 3, "w").await;
            let cluster = cluster.clone();
            let spending = async move { spend_all(&cluster, index % 3, program).await };
            tasks.push(actix_rt::spawn(spending));
        }
        for task in tasks {
            task.await.expect("the caller ends");
        }
        sleep(RECOVERY_DELAY).await;
        let (billed, row) = (billed(&cluster), budget_row(&cluster));
        assert!(billed <= 3_000, "{billed} tokens were billed");
        assert!(billed > 2_700, "only {billed} tokens could be used");
        assert_eq!(row, BudgetRow { limit: 3_000, drawn: billed, spent: billed });
    });
}

/// Guards against refusals while an idle instance holds most of the budget.
#[test]
fn idle_grants_are_returned_to_the_row() {
    run_paused(async {
        let cluster = start(2, 400).await;
        let programs = [cluster.start_program(0, "w").await, cluster.start_program(1, "w").await];
        let first = cluster.node(0).submit(model_call(programs[0], 1, "one")).await;
        answer_text(&outcome(first).await);
        let answered = spend_all(&cluster, 1, programs[1]).await;
        assert!(answered >= 5, "only {answered} calls found budget");
        assert!(billed(&cluster) > 300, "{} tokens could be used", billed(&cluster));
    });
}

/// Guards against refunding what an engine billed before it restarted in the middle of an answer
/// and lost the request.
#[test]
fn cost_at_a_restarted_engine_counts_as_spent() {
    run_paused(async {
        let cluster = start(2, 1_000).await;
        let mut number = 0;
        loop {
            number += 1;
            let program = cluster.start_program(0, "w").await;
            let call = cluster.node(0).submit(model_call(program, 1, "long")).await;
            sleep(Duration::from_millis(80)).await;
            for engine in &cluster.engines {
                engine.restart();
            }
            let result = outcome(call).await;
            if refused(&result).is_some_and(|refusal| refusal.retry_after.is_none()) {
                break;
            }
            assert!(number < 100, "the budget is not exhausted after {number} calls");
        }
        assert!(billed(&cluster) <= 1_000, "{} tokens were billed", billed(&cluster));
    });
}

/// Guards against counting a full reservation as spent when the replies to a cancellation are lost.
#[test]
fn lost_cancel_replies_settle_at_the_actual_cost() {
    run_paused(async {
        let cluster = start(2, 10_000).await;
        let program = cluster.start_program(0, "w").await;
        let call = cluster.node(0).submit(model_call(program, 1, "one")).await;
        sleep(Duration::from_millis(40)).await;
        let busy = cluster.engines.iter().find(|engine| engine.calls() > 0).expect("it runs");
        busy.faults.set(lose_replies(8));
        answer_text(&outcome(call).await);
        sleep(RECOVERY_DELAY).await;
        assert_settled(&cluster, 10_000);
        let tokens = cluster.node(0).programs_here()[0].tokens;
        assert_eq!(tokens, billed(&cluster), "the program's limit counts the same tokens");
    });
}

/// Guards against tokens that stay drawn after an instance dies with running calls.
#[test]
fn crash_returns_unspent_tokens() {
    run_paused(async {
        let cluster = start(3, 50_000).await;
        for index in 0..4 {
            let program = cluster.start_program(0, "w").await;
            let call = cluster.node(0).submit(model_call(program, 1, "one")).await;
            if index % 2 == 0 {
                answer_text(&outcome(call).await);
            }
        }
        sleep(Duration::from_millis(30)).await;
        cluster.kill(0);
        cluster.settled().await;
        let unresolved = budget_row(&cluster).drawn - billed(&cluster);
        println!("unresolved tokens at the takeover: {unresolved}");
        sleep(RECOVERY_DELAY).await;
        assert_settled(&cluster, 50_000);
        assert!(cluster.platform.peek_keys("account/").is_empty());
    });
}

/// Guards against lost grants of an instance that stops during a store outage after it has handed
/// over its shards, so that no takeover closes its account.
#[test]
fn grants_of_an_instance_without_shards_are_returned() {
    run_paused(async {
        let cluster = start(3, 50_000).await;
        run_call(&cluster, 0).await;
        let leaving = cluster.node(0);
        let stopping = leaving.clone();
        let stop = actix_rt::spawn(async move { stopping.shut_down(RECOVERY_DELAY).await });
        wait_until(|| leaving.serving_shards().is_empty()).await;
        cluster.gates(0).platform.set(outage());
        stop.await.expect("it stops");
        cluster.kill(0);
        sleep(RECOVERY_DELAY).await;
        assert_settled(&cluster, 50_000);
    });
}

/// Guards against overspending by an isolated instance that still sends its reserved calls after
/// others have closed its account and spent the refund.
#[test]
fn fenced_instance_does_not_spend_refunded_tokens() {
    run_paused(async {
        const BUDGET: Tokens = 90_000;
        let cluster = start(3, BUDGET).await;
        let first = keep_one_engine(&cluster).await;
        let others = [(first + 1) % 3, (first + 2) % 3];
        let fenced = cluster.node(first);
        for _ in 0..40 {
            let program = cluster.start_program(first, "w").await;
            let _ = fenced.submit(long_call(program, 1)).await;
        }
        sleep(Duration::from_secs(1)).await;
        cluster.set_cut(first, true);
        cluster.gates(first).engines.set(FaultSettings::default());
        let serving = |index| cluster.node(index).serving_shards().len();
        wait_until(|| others.into_iter().map(serving).sum::<usize>() == 16).await;
        let mut tasks = Vec::new();
        for _ in 0..8 {
            let program = cluster.start_program(others[0], "w").await;
            let cluster = cluster.clone();
            tasks.push(actix_rt::spawn(async move {
                let call = long_call(program, 1);
                spend_calls(&cluster, others[0], program, call).await
            }));
        }
        for task in tasks {
            task.await.expect("the caller ends");
        }
        sleep(RECOVERY_DELAY).await;
        assert!(billed(&cluster) <= BUDGET, "{} tokens were billed", billed(&cluster));
    });
}

/// Guards against refunding a dead instance's call whose engine restarted and so reports no cost.
#[test]
fn unreported_cost_of_a_restarted_engine_stays_drawn() {
    run_paused(async {
        let cluster = start(3, 50_000).await;
        let program = cluster.start_program(0, "w").await;
        let _ = cluster.node(0).submit(model_call(program, 1, "one")).await;
        sleep(Duration::from_millis(60)).await;
        cluster.kill(0);
        for engine in &cluster.engines {
            engine.restart();
        }
        cluster.settled().await;
        sleep(RECOVERY_DELAY).await;
        let (billed, row) = (billed(&cluster), budget_row(&cluster));
        assert!(billed > 0 && row.drawn >= billed, "{billed} billed, but only {row:?}");
        sleep(Duration::from_secs(600)).await;
        assert_eq!(budget_row(&cluster).spent, row.drawn);
        assert!(cluster.platform.peek_keys("stranded/").is_empty());
    });
}

#[derive(Debug, Clone, Copy)]
enum GrantFault {
    LostReplies,
    StoreOutage,
    RetiredWorkspace,
}

/// Guards against a row that differs from the bill after lost replies to grant writes, an outage
/// longer than the config's validity, or the retirement of a workspace with grants.
#[rstest]
#[case::lost_replies(GrantFault::LostReplies)]
#[case::store_outage(GrantFault::StoreOutage)]
#[case::retired_workspace(GrantFault::RetiredWorkspace)]
fn row_matches_the_bill_after_grant_faults(#[case] fault: GrantFault) {
    run_paused(async move {
        const BUDGET: Tokens = 100_000;
        let cluster = start(3, BUDGET).await;
        let mut calls = Vec::new();
        for index in 0..6 {
            let program = cluster.start_program(index % 3, "w").await;
            calls.push((index % 3, program));
        }
        for (node, program) in &calls {
            let _ = cluster.node(*node).submit(model_call(*program, 1, "one")).await;
        }
        match fault {
            // One at a time and with a slow store, so that reads before the commits do not use up
            // all faults.
            GrantFault::LostReplies => {
                let slow = FaultSettings { delay_ms: 10, ..lose_replies(1) };
                for _ in 0..200 {
                    cluster.platform.faults.set(slow.clone());
                    sleep(Duration::from_millis(15)).await;
                }
            }
            GrantFault::StoreOutage => cluster.platform.faults.set(outage()),
            GrantFault::RetiredWorkspace => {
                // A call that has not reached an engine is not run once the workspace is retired.
                wait_until(|| billed(&cluster) > 0).await;
                cluster.retire("w", BUDGET).await;
            }
        }
        sleep(Duration::from_secs(15)).await;
        cluster.platform.faults.set(FaultSettings::default());
        for (node, program) in &calls {
            let _ = cluster.node(*node).submit(model_call(*program, 2, "two")).await;
        }
        sleep(RECOVERY_DELAY).await;
        assert_settled(&cluster, BUDGET);
    });
}

/// Guards against a store write for each call that an exhausted budget refuses.
#[test]
fn refused_calls_cause_no_writes() {
    run_paused(async {
        let cluster = start(2, 100).await;
        let program = cluster.start_program(0, "w").await;
        let number = spend_all(&cluster, 0, program).await + 1;
        sleep(Duration::from_secs(20)).await;
        let before = cluster.platform.writes();
        for _ in 0..200 {
            let call = cluster.node(0).submit(model_call(program, number, "more")).await;
            let result = outcome(call).await;
            assert_eq!(refused(&result).expect("refused").retry_after, None);
            sleep(Duration::from_millis(50)).await;
        }
        let writes = cluster.platform.writes() - before;
        assert!(writes <= 5, "{writes} writes for 200 refusals");
    });
}
