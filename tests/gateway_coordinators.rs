//! Coordination of a program's turns by one instance, also if that one is killed, silent or slow.

mod platform_standin;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use merlinsaddle::core::turns::coordinator;
use platform_standin::engine::EngineAct;
use platform_standin::store::StoreFault;
use platform_standin::{Deployment, TestGateway, budgeted_turn, chained, turn, wait_until};
use serde_json::json;
use tokio::time::Instant;

/// Instances per coordinator: more than a test starts, so that all programs share one coordinator.
const COORDINATOR_SPAN: usize = 4;

/// Guards against a read of the store at each turn: the coordinator has chain and ledger in memory.
#[actix_rt::test]
async fn program_is_read_once_across_instances() {
    let deployment = Deployment::start(3, 1).await;
    deployment.all_named().await;
    let mut history = String::new();
    for number in 0..9 {
        let previous = (number > 0).then(|| format!("t{}", number - 1));
        let request = turn(&format!("t{number}"), "p", previous.as_deref(), "x ");
        let answer = deployment.gateways[number % 3].call(&request).await;
        assert_eq!((answer.status(), answer.whole), (200, true));
        assert_eq!(deployment.runs()[number].text(), format!("{history}x "));
        history = chained(&format!("{history}x "), "");
    }
    let reads = deployment.store.calls_with("table=programs&part=p");
    assert!(reads <= 1, "the program was read {reads} times");
}

/// Guards against turns that are lost, repeated or miscounted when their coordinator is killed while
/// they run.
#[actix_rt::test]
async fn killed_coordinator_loses_no_turn() {
    let mut deployment = Deployment::start(3, 1).await;
    let store = deployment.store_address.clone();
    let mut previous: Option<String> = None;
    let mut runs = 0;
    for kill in 0..3 {
        deployment.all_named().await;
        let instances = deployment.gateways.iter().map(|gateway| &*gateway.settings.instance);
        let victim =
            coordinator("p", COORDINATOR_SPAN, instances).expect("there are some").to_owned();
        let at = deployment.gateways.iter().position(|g| *g.settings.instance == *victim);
        let mut victim = deployment.gateways.swap_remove(at.expect("it is one of them"));
        for round in 0..3 {
            let id = format!("t{kill}{round}");
            deployment.engines[0].act(EngineAct::Paced(Duration::from_millis(100)));
            let request = budgeted_turn(&id, "p", previous.as_deref(), "x", 54);
            let call = deployment.gateway().call_later(&request);
            wait_until("it runs", async || deployment.runs().len() > runs).await;
            if round == 1 {
                victim.kill().await;
            }
            let answer = call.await.expect("it ends");
            runs += 1;
            assert_eq!((answer.status(), answer.whole), (200, true), "{id}");
            assert_eq!(deployment.runs().len(), runs);
            previous = Some(id);
        }
        let ip = format!("127.0.0.{}", 20 + kill);
        deployment.add_gateway_at(&ip, &store, &json!({})).await;
    }
    // The budget covers nine turns of six tokens.
    let spent = budgeted_turn("t9", "p", previous.as_deref(), "x", 54);
    assert_eq!(deployment.gateway().call(&spent).await.status(), 402);
    assert_eq!(deployment.runs().len(), runs);
}

/// Guards against sub-agents that start at once and conflict with one another on the ledger.
#[actix_rt::test]
async fn parallel_turns_share_ledger_writes() {
    let deployment = &Deployment::start(1, 1).await;
    assert_eq!(deployment.gateway().call(&turn("t", "p", None, "x")).await.status(), 200);
    let before = deployment.store.calls_with("/rows-tx");
    let calls = (0..10).map(|number| async move {
        let request = turn(&format!("s{number}"), "p", Some("t"), "x");
        deployment.gateway().call(&request).await.status()
    });
    let answers = futures_util::future::join_all(calls).await;
    assert_eq!(answers, [200; 10]);
    let writes = deployment.store.calls_with("/rows-tx") - before;
    assert!(writes <= 8, "{writes} writes for ten turns");
}

/// Two instances, of which the second coordinates all programs and has a separate store address.
async fn start_with_coordinator(own: &serde_json::Value) -> (Deployment, Rc<Cell<StoreFault>>) {
    let mut deployment = Deployment::start(1, 1).await;
    let (address, fault) = deployment.store.start_with_fault("127.0.0.1").await;
    let first = TestGateway::instance("127.0.0.2");
    let coordinates = |ip: &String| {
        let instance = TestGateway::instance(ip);
        coordinator("p", COORDINATOR_SPAN, [&*first, &*instance]) == Some(&*instance)
    };
    let ip = (20..).map(|number| format!("127.0.0.{number}")).find(coordinates);
    deployment.add_gateway_at(&ip.expect("one comes first"), &address, own).await;
    deployment.all_named().await;
    (deployment, fault)
}

/// Guards against a coordinator that releases a reservation under which its peer, having taken the
/// claim over, runs the turn: its tokens would not be counted.
#[actix_rt::test]
async fn coordinator_keeps_a_reservation_that_its_peer_took_over() {
    let own = json!({ "without": ["relays", "offer_withdrawal"] });
    let (deployment, fault) = start_with_coordinator(&own).await;
    deployment.engines[0].act(EngineAct::Paced(Duration::from_millis(900)));
    fault.set(StoreFault::LateWrites(1, Duration::from_millis(40)));
    let call = deployment.gateway().call_later(&budgeted_turn("t1", "p", None, "x", 12));
    wait_until("it runs", async || deployment.runs().len() == 1).await;
    fault.set(StoreFault::Busy);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    fault.set(StoreFault::None);
    let answer = call.await.expect("it ends");
    assert_eq!((answer.status(), answer.whole), (200, true));
    let next = deployment.gateway().call(&budgeted_turn("t2", "p", Some("t1"), "x", 11)).await;
    assert_eq!(next.status(), 402, "6 are spent, 6 more are 12");
}

/// Guards against turns that each wait for the timeout of a coordinator that does not respond.
#[actix_rt::test]
async fn silent_coordinator_is_ejected() {
    let own = json!({ "without": ["relays", "offer_withdrawal"] });
    let (deployment, fault) = start_with_coordinator(&own).await;
    fault.set(StoreFault::Silent);
    let mut slow = 0;
    for number in 0..8 {
        let begun = Instant::now();
        let request = turn(&format!("t{number}"), "p", None, "x");
        let answer = deployment.gateway().call(&request).await;
        assert_eq!((answer.status(), answer.whole), (200, true));
        slow += u32::from(begun.elapsed() > Duration::from_millis(110));
    }
    assert!(slow <= 2, "{slow} of 8 turns waited");
}
