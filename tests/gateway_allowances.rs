//! Budgets on routes whose history is not kept.

mod platform_standin;

use std::time::Duration;

use platform_standin::engine::EngineAct;
use platform_standin::{Deployment, TestGateway, alone, budgeted_turn, route, wait_until};
use serde_json::{Value, json};

/// Gateways whose route of turns keeps no history, but says for how long ledgers are kept.
async fn deployment(gateways: usize, own: &Value) -> Deployment {
    let mut deployment = Deployment::start(0, 1).await;
    deployment.set_routes(2, &[prompt_route()]);
    let store = deployment.store_address.clone();
    for number in 0..gateways {
        deployment.add_gateway_at(&format!("127.0.0.{}", number + 2), &store, own).await;
    }
    deployment
}

fn prompt_route() -> Value {
    let mut turn = route("turn", "stream");
    turn["retained"] = false.into();
    turn["retain-s"] = 60.into();
    turn
}

async fn spend(gateway: &TestGateway, id: &str, budget: u64) -> u16 {
    gateway.call(&budgeted_turn(id, "p", None, "x", budget)).await.status()
}

/// Writes of ledgers that the store has taken.
fn ledger_writes(deployment: &Deployment) -> usize {
    let transactions = deployment.store.transactions();
    transactions.iter().filter(|keys| keys.iter().any(|key| key.contains("ledger"))).count()
}

/// Guards against budgets that hold only where the history is kept.
#[rstest::rstest]
#[case::coordinated(json!({}))]
#[case::alone(alone())]
#[actix_rt::test]
async fn a_budget_holds_without_a_history(#[case] own: Value) {
    let deployment = deployment(2, &own).await;
    deployment.all_named().await;
    assert_eq!(spend(&deployment.gateways[0], "t1", 13).await, 200);
    assert_eq!(spend(&deployment.gateways[1], "t2", 13).await, 200);
    assert_eq!(spend(&deployment.gateways[0], "t3", 13).await, 402);
    assert_eq!(spend(&deployment.gateways[1], "t4", 13).await, 402);
    assert_eq!(deployment.runs().len(), 2);
    assert!(deployment.store.values("programs", "t/").is_empty(), "no history is kept");
}

/// Guards against a write of the store for each turn of a program that is far from its budget.
#[actix_rt::test]
async fn turns_far_from_the_budget_share_a_write() {
    let deployment = deployment(1, &json!({})).await;
    for number in 0..5 {
        assert_eq!(spend(deployment.gateway(), &format!("t{number}"), 1_000).await, 200);
    }
    assert_eq!(ledger_writes(&deployment), 1);
}

/// Guards against a spent budget that is forgotten with the process that counted it.
#[actix_rt::test]
async fn a_budget_holds_over_a_restart() {
    let mut deployment = deployment(1, &json!({})).await;
    assert_eq!(spend(deployment.gateway(), "t1", 13).await, 200);
    assert_eq!(spend(deployment.gateway(), "t2", 13).await, 200);
    let mut former = deployment.gateways.remove(0);
    former.kill().await;
    deployment.add_gateway(0).await;
    assert_eq!(spend(deployment.gateway(), "t3", 13).await, 402);
    assert_eq!(deployment.runs().len(), 2);
}

/// Guards against a planned stop that keeps tokens which the program needs elsewhere.
#[actix_rt::test]
async fn a_stop_gives_back_what_is_held_ahead() {
    let mut deployment = deployment(1, &json!({})).await;
    assert_eq!(spend(deployment.gateway(), "t1", 24).await, 200);
    let mut former = deployment.gateways.remove(0);
    assert!(former.stop().await);
    deployment.add_gateway(0).await;
    for id in ["t2", "t3", "t4"] {
        assert_eq!(spend(deployment.gateway(), id, 24).await, 200);
    }
    assert_eq!(spend(deployment.gateway(), "t5", 24).await, 402);
}

/// Guards against a torn turn that counts for nothing, or for all that it might have generated.
#[actix_rt::test]
async fn a_torn_turn_counts_for_what_was_passed_on() {
    let deployment = deployment(1, &json!({})).await;
    deployment.engines[0].act(EngineAct::CutAfter(1));
    let torn = deployment.gateway().call(&budgeted_turn("t1", "p", None, "x", 14)).await;
    assert_eq!((torn.status(), torn.whole), (200, false));
    for id in ["t2", "t3"] {
        wait_until("the unused tokens return", async || {
            let before = deployment.runs().len();
            spend(deployment.gateway(), id, 14).await == 200 && deployment.runs().len() > before
        })
        .await;
    }
    assert_eq!(spend(deployment.gateway(), "t4", 14).await, 402);
}

/// Guards against the turns of a program that read their whole prompt at another engine each time, as
/// another instance gets each of them.
#[actix_rt::test]
async fn turns_stay_at_their_engine_over_instances() {
    let mut deployment = deployment(3, &json!({})).await;
    deployment.all_named().await;
    for number in 0..6 {
        let engine = platform_standin::engine::StandinEngine::default();
        let address = engine.start("127.0.0.1").await;
        deployment.list_engine(&format!("more-{number}"), &address, "ready");
        deployment.engines.push(engine);
    }
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    for number in 0..12 {
        let turn = budgeted_turn(&format!("t{number}"), "p", None, "x", 1_000).replace(
            "Merlinsaddle-Token-Usage",
            "Merlinsaddle-Session-Id: s\r\nMerlinsaddle-Prompt-Prefix: a:2560,b:1000\r\n\
             Merlinsaddle-Token-Usage",
        );
        assert_eq!(deployment.gateways[number % 3].call(&turn).await.status(), 200);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let used = deployment.engines.iter().filter(|engine| !engine.runs().is_empty());
    assert_eq!(used.count(), 1);
}

/// Guards against tokens that stay with an instance which no longer coordinates their program.
#[actix_rt::test]
async fn tokens_ahead_go_to_the_next_coordinator_at_once() {
    let mut deployment = deployment(2, &json!({})).await;
    deployment.all_named().await;
    for number in 0..8 {
        let turn = budgeted_turn(&format!("t{number}"), &format!("p{number}"), None, "x", 18);
        assert_eq!(deployment.gateways[0].call(&turn).await.status(), 200);
    }
    for gateway in &mut deployment.gateways {
        gateway.begin_stop();
    }
    wait_until("all is given back", async || {
        let ledgers = deployment.store.values("programs", "ledger");
        ledgers
            .iter()
            .all(|ledger| String::from_utf8_lossy(ledger).starts_with("{\"s\":6,\"o\":{}"))
    })
    .await;
    for gateway in &mut deployment.gateways {
        gateway.join().await;
    }
}
