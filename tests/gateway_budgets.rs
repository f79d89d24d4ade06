//! Tokens of programs over several instances, and what the store's faults do to them.

mod platform_standin;

use std::time::Duration;

use platform_standin::engine::EngineAct;
use platform_standin::store::StoreFault;
use platform_standin::{Deployment, alone, budgeted_turn, wait_until};
use serde_json::{Value, json};

/// A ledger's text without the time it is kept until.
fn spent_part(ledger: &[u8]) -> String {
    let text = String::from_utf8_lossy(ledger).into_owned();
    text.split(",\"k\"").next().unwrap_or_default().to_owned()
}

/// The budget holds two turns of 6 tokens. They run on different instances, each of which alone
/// would have room for the third.
#[rstest::rstest]
#[case::coordinated(json!({}))]
#[case::alone(alone())]
#[actix_rt::test]
async fn a_budget_holds_over_instances(#[case] own: Value) {
    let deployment = Deployment::start_with(2, 1, &own).await;
    let spend = async |gateway: usize, id: &str| {
        let request = budgeted_turn(id, "p", None, "x", 13);
        deployment.gateways[gateway].call(&request).await.status()
    };
    assert_eq!(spend(0, "t1").await, 200);
    assert_eq!(spend(1, "t2").await, 200);
    assert_eq!(spend(0, "t3").await, 402);
    assert_eq!(spend(1, "t4").await, 402);
    assert_eq!(deployment.runs().len(), 2);
}

/// The engine cuts its stream after one event of two tokens. The caller sees an incomplete answer,
/// and the program pays for the two tokens that were passed on, not for the six it had set aside.
#[actix_rt::test]
async fn a_torn_turn_pays_for_what_was_passed_on() {
    let deployment = Deployment::start(1, 1).await;
    deployment.engines[0].act(EngineAct::CutAfter(1));
    let torn = deployment.gateway().call(&budgeted_turn("t1", "p", None, "x", 8)).await;
    assert_eq!((torn.status(), torn.whole), (200, false));
    wait_until("the unused tokens return", async || {
        let ledger = deployment.store.values("programs", "ledger");
        ledger.len() == 1 && !String::from_utf8_lossy(&ledger[0]).contains("t1")
    })
    .await;
    let next = deployment.gateway().call(&budgeted_turn("t2", "p", None, "x", 8)).await;
    assert_eq!((next.status(), next.whole), (200, true));
    assert_eq!(deployment.store.values("programs", "t/").len(), 1, "the torn turn is not kept");
}

/// The store takes the reservation or the settlement and its reply is lost. The caller must get
/// its whole answer from one run, and the ledger must count the turn once.
#[rstest::rstest]
#[case::reservation(1)]
#[case::settlement(2)]
#[actix_rt::test]
async fn a_lost_reply_changes_nothing(#[case] lost: u32) {
    let deployment = Deployment::start(1, 1).await;
    if lost == 2 {
        // The first write passes; the fault begins while the engine answers.
        deployment.engines[0].act(EngineAct::Paced(Duration::from_millis(100)));
    } else {
        deployment.store.set_fault(StoreFault::LoseWrites(1));
    }
    let gateway = deployment.gateway();
    let request = budgeted_turn("t1", "p", None, "x", 6);
    let call = gateway.call(&request);
    let fault = async {
        if lost == 2 {
            wait_until("the turn runs", async || deployment.runs().len() == 1).await;
            deployment.store.set_fault(StoreFault::LoseWrites(1));
        }
    };
    let (answer, ()) = futures_util::join!(call, fault);
    assert_eq!((answer.status(), answer.whole), (200, true));
    assert_eq!(deployment.runs().len(), 1);
    // What the turn used stands in its record; the next turn's reservation counts it.
    let next = gateway.call(&budgeted_turn("t2", "p", None, "x", 12)).await;
    assert_eq!((next.status(), next.whole), (200, true));
    let ledger = deployment.store.values("programs", "ledger");
    let ledger = String::from_utf8_lossy(&ledger[0]).into_owned();
    assert!(ledger.starts_with(r#"{"s":6,"o":{"t2":6},"#), "{ledger}");
}

/// The reservation's write hangs and takes effect after the caller was refused. The tokens that it
/// set aside must return, or the program would be told that its budget is spent.
#[actix_rt::test]
async fn a_late_reservation_is_taken_back() {
    let deployment = Deployment::start(1, 1).await;
    let late = Duration::from_millis(1_500);
    deployment.store.set_fault(StoreFault::LateWrites(1_000, late));
    let answer = deployment.gateway().call(&budgeted_turn("t1", "p", None, "x", 6)).await;
    assert_eq!(answer.status(), 503);
    assert!(deployment.runs().is_empty());
    deployment.store.set_fault(StoreFault::None);
    tokio::time::sleep(late).await;
    wait_until("the whole budget is there again", async || {
        let answer = deployment.gateway().call(&budgeted_turn("t2", "p", None, "x", 6)).await;
        answer.status() == 200
    })
    .await;
    assert_eq!(deployment.runs().len(), 1);
}

/// The store goes away while a turn's reservation is on its way, and the write lands late; then it
/// returns while the caller still waits. The turn is refused, and its tokens return: claimed once more, it
/// would run, half a second long, under the reservation that is just being taken back, and count for
/// nothing.
#[actix_rt::test]
async fn a_turn_in_doubt_does_not_run_uncounted() {
    let deployment = Deployment::start(1, 1).await;
    deployment.engines[0].act(EngineAct::Paced(Duration::from_millis(200)));
    deployment.store.set_fault(StoreFault::LateWrites(1, Duration::from_millis(500)));
    let call = deployment.gateway().call_later(&budgeted_turn("t1", "p", None, "x", 6));
    wait_until("the write is on its way", async || deployment.store.fault() == StoreFault::None)
        .await;
    deployment.store.set_fault(StoreFault::Busy);
    // Longer than a call waits for its answer, shorter than the caller's patience.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    deployment.store.set_fault(StoreFault::None);
    let served = call.await.expect("it ends").status() == 200;
    tokio::time::sleep(Duration::from_millis(700)).await;
    let next = deployment.gateway().call(&budgeted_turn("t2", "p", None, "x", 11)).await;
    assert_eq!(next.status(), if served { 402 } else { 200 }, "served: {served}");
}

/// The reservation's write hangs, its second try is refused for the store's rate, and the first takes
/// effect after the caller was refused. A refused try says nothing of the one before it: the tokens must
/// return all the same.
#[actix_rt::test]
async fn a_refused_second_try_does_not_hide_a_late_first() {
    let deployment = Deployment::start(1, 1).await;
    let late = Duration::from_millis(1_600);
    deployment.store.set_fault(StoreFault::LateWrites(1, late));
    let call = deployment.gateway().call_later(&budgeted_turn("t1", "p", None, "x", 6));
    wait_until("the write is on its way", async || deployment.store.fault() == StoreFault::None)
        .await;
    deployment.store.set_fault(StoreFault::OverRate(10_000));
    assert_eq!(call.await.expect("it ends").status(), 503);
    deployment.store.set_fault(StoreFault::None);
    tokio::time::sleep(late).await;
    wait_until("the whole budget is there again", async || {
        let request = budgeted_turn("t2", "p", None, "x", 6);
        deployment.gateway().call(&request).await.status() == 200
    })
    .await;
    assert_eq!(deployment.runs().len(), 1);
}

/// The caller leaves while the reservation's write is on its way, and the write takes effect later. The
/// turn never runs; its tokens must return, or the program's next turn would be refused for good.
#[actix_rt::test]
async fn a_reservation_whose_caller_left_is_taken_back() {
    let deployment = Deployment::start(1, 1).await;
    let late = Duration::from_millis(600);
    deployment.store.set_fault(StoreFault::LateWrites(1, late));
    let mut caller = deployment.gateway().connect().await;
    caller.send(budgeted_turn("t1", "p", None, "x", 6).as_bytes()).await;
    wait_until("the write is on its way", async || deployment.store.fault() == StoreFault::None)
        .await;
    drop(caller);
    tokio::time::sleep(late * 2).await;
    let answer = deployment.gateway().call(&budgeted_turn("t2", "p", None, "x", 6)).await;
    assert_eq!(answer.status(), 200, "the whole budget is there");
    assert_eq!(deployment.runs().len(), 1);
}

/// Turns of one program settle at once on two instances, and writes of other programs travel in
/// the same transactions. A conflict about one of them must not fail the others.
#[rstest::rstest]
#[case::coordinated(json!({}))]
#[case::alone(alone())]
#[actix_rt::test]
async fn a_conflict_fails_only_what_it_names(#[case] own: Value) {
    let mut deployment = Deployment::start_with(2, 1, &own).await;
    let requests: Vec<(usize, String)> = (0..24)
        .map(|number| {
            let program = if number % 3 == 0 { "shared".to_owned() } else { format!("p{number}") };
            (number % 2, budgeted_turn(&format!("t{number}"), &program, None, "x", 48))
        })
        .collect();
    // One after another, so that reservations meet records that wait.
    let calls = requests.iter().enumerate().map(|(number, (at, request))| {
        let gateway = &deployment.gateways[*at];
        async move {
            tokio::time::sleep(Duration::from_millis(4) * number as u32).await;
            gateway.call(request).await
        }
    });
    let answers = futures_util::future::join_all(calls).await;
    assert!(answers.iter().all(|answer| (answer.status(), answer.whole) == (200, true)));
    // A new instance reads what each program has become, and writes it with the next reservation.
    deployment.add_gateway(7).await;
    let newest = deployment.gateways.last().expect("it was just added");
    for (program, previous, budget) in [("shared", "t0", 54), ("p1", "t1", 12), ("p2", "t2", 12)] {
        let id = format!("last-{program}");
        let next = newest.call(&budgeted_turn(&id, program, Some(previous), "x", budget)).await;
        assert_eq!((next.status(), next.whole), (200, true), "{program}");
    }
    let ledgers = deployment.store.values("programs", "ledger");
    let mut spent: Vec<String> = ledgers.iter().map(|ledger| spent_part(ledger)).collect();
    spent.retain(|ledger| ledger.contains("last-"));
    spent.sort();
    let expected = [
        r#"{"s":48,"o":{"last-shared":6}"#,
        r#"{"s":6,"o":{"last-p1":6}"#,
        r#"{"s":6,"o":{"last-p2":6}"#,
    ];
    assert_eq!(spent, expected);
}

/// A turn that may make 20 tokens makes 6. Another instance, which knows nothing of the program, is
/// asked for a parallel turn: its write meets the ledger, in which the first turn still stands with 20.
/// Its record says otherwise, so the budget holds the second, and it must not be refused for good.
#[rstest::rstest]
#[case::coordinated(json!({}))]
#[case::alone(alone())]
#[actix_rt::test]
async fn a_ledger_alone_ends_no_program(#[case] own: Value) {
    let deployment = Deployment::start_with(2, 1, &own).await;
    let most_20 = |id: &str| {
        budgeted_turn(id, "p", None, "x", 30).replace("Token-Usage: 10,6", "Token-Usage: 10,20")
    };
    assert_eq!(deployment.gateways[0].call(&most_20("t1")).await.status(), 200);
    assert_eq!(deployment.gateways[1].call(&most_20("t2")).await.status(), 200);
    // 6 and 6 are spent, 20 more would be 32.
    assert_eq!(deployment.gateways[0].call(&most_20("t3")).await.status(), 402);
}
