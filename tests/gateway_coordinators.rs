//! A program's turns meet at one instance, which may be killed, silent or in doubt.

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

/// Instances for each coordinator: with so few, all have the same one.
const SPAN: usize = 4;

/// A program's turns come to three instances by turns. All of them meet at one, which has the chain
/// and the ledger in memory: the store is asked for the program once, not at every turn.
#[actix_rt::test]
async fn turns_of_a_program_meet_at_one_instance() {
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

/// The instance that coordinates a program is killed while a turn of another instance is at the engine,
/// and a fresh one takes its place; that three times. Every turn is answered whole, nothing runs twice,
/// and the budget counts each turn once.
#[actix_rt::test]
async fn a_killed_coordinator_costs_no_turn() {
    let mut deployment = Deployment::start(3, 1).await;
    let store = deployment.store_address.clone();
    let mut previous: Option<String> = None;
    let mut runs = 0;
    for kill in 0..3 {
        deployment.all_named().await;
        let instances = deployment.gateways.iter().map(|gateway| &*gateway.settings.instance);
        let victim = coordinator("p", SPAN, instances).expect("there are some").to_owned();
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
    // Nine turns of six tokens are all that the budget holds.
    let spent = budgeted_turn("t9", "p", previous.as_deref(), "x", 54);
    assert_eq!(deployment.gateway().call(&spent).await.status(), 402);
    assert_eq!(deployment.runs().len(), runs);
}

/// A program starts ten sub-agents at once. Their reservations go into its ledger together: each by
/// itself they conflict with one another, and the last one waits for ten writes.
#[actix_rt::test]
async fn parallel_turns_share_a_reservation() {
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

/// Two instances, of which the second coordinates all programs and has its own way to the store only.
async fn with_coordinator_at(own: &serde_json::Value) -> (Deployment, Rc<Cell<StoreFault>>) {
    let mut deployment = Deployment::start(1, 1).await;
    let (address, fault) = deployment.store.start_with_fault("127.0.0.1").await;
    let first = TestGateway::instance("127.0.0.2");
    let coordinates = |ip: &String| {
        let instance = TestGateway::instance(ip);
        coordinator("p", SPAN, [&*first, &*instance]) == Some(&*instance)
    };
    let ip = (20..).map(|number| format!("127.0.0.{number}")).find(coordinates);
    deployment.add_gateway_at(&ip.expect("one comes first"), &address, own).await;
    deployment.all_named().await;
    (deployment, fault)
}

/// The coordinator's reservation lands, its reply is lost, and the store turns it away. The other
/// instance waits 120 ms, claims the turn itself, finds the reservation and runs the turn for two
/// seconds under it. Meanwhile the coordinator reaches the store again: if it took the reservation back,
/// the turn would count for nothing, and the budget would hold one turn too many.
#[actix_rt::test]
async fn a_coordinator_in_doubt_leaves_the_reservation() {
    let own = json!({ "without": ["relays", "offer_withdrawal"] });
    let (deployment, fault) = with_coordinator_at(&own).await;
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

/// The coordinator answers nothing, as one that is frozen: each turn is claimed by the instance itself
/// after a short wait, and the next ones do not wait at all.
#[actix_rt::test]
async fn a_silent_coordinator_is_passed_over() {
    let own = json!({ "without": ["relays", "offer_withdrawal"] });
    let (deployment, fault) = with_coordinator_at(&own).await;
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
