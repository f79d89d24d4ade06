//! What callers see while the store is away, cut off, slow or at its rate.

mod platform_standin;

use std::time::Duration;

use platform_standin::store::StoreFault;
use platform_standin::{Deployment, turn, wait_until};
use serde_json::json;

/// The store does not answer at all. Nothing can be made durable, so the turn is refused before it
/// reaches an engine, with a time to come back; when the store returns it is served.
#[rstest::rstest]
#[case::busy(StoreFault::Busy)]
#[case::silent(StoreFault::Silent)]
#[actix_rt::test]
async fn turns_are_refused_unrun_while_the_store_is_away(#[case] fault: StoreFault) {
    let deployment = Deployment::start(1, 1).await;
    deployment.store.set_fault(fault);
    let refused = deployment.gateway().call(&turn("t1", "p", None, "x")).await;
    assert_eq!(refused.status(), 503);
    let wait: f64 = refused.header("retry-after").parse().expect("a time to come back");
    assert!(wait > 0.0);
    assert!(deployment.runs().is_empty());
    deployment.store.set_fault(StoreFault::None);
    wait_until("turns are served again", async || {
        deployment.gateway().call(&turn("t2", "p", None, "x")).await.status() == 200
    })
    .await;
}

/// The store has been away for a second when a turn comes, and returns a second later. The turn waits
/// and is then served, once; one that comes to a store that stays away is refused while its caller still
/// has time for another attempt.
#[actix_rt::test]
async fn a_turn_waits_for_the_store_while_its_caller_has_patience() {
    let deployment = Deployment::start(1, 1).await;
    deployment.store.set_fault(StoreFault::Busy);
    assert_eq!(deployment.gateway().call(&turn("t0", "p", None, "x")).await.status(), 503);
    let waiting = deployment.gateway().call_later(&turn("t1", "p", None, "x"));
    tokio::time::sleep(Duration::from_secs(1)).await;
    deployment.store.set_fault(StoreFault::None);
    let answer = waiting.await.expect("it ends");
    assert_eq!((answer.status(), answer.whole), (200, true));
    assert_eq!(deployment.runs().len(), 1);
    deployment.store.set_fault(StoreFault::Busy);
    let begun = tokio::time::Instant::now();
    assert_eq!(deployment.gateway().call(&turn("t2", "p", None, "x")).await.status(), 503);
    assert!(begun.elapsed() < Duration::from_millis(2_500), "of the five seconds it has");
}

/// The store turns one instance away and serves the other: its calls go by the peer.
#[actix_rt::test]
async fn a_peer_relays_store_calls() {
    let mut deployment = Deployment::start(1, 1).await;
    // An address at which nothing listens takes the store's place for this instance.
    let unused = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let nobody = unused.local_addr().expect("it is bound").to_string();
    drop(unused);
    deployment.add_gateway_at("127.0.0.9", &nobody, &json!({})).await;
    let first = deployment.gateways[1].call(&turn("t1", "p", None, "one ")).await;
    assert_eq!((first.status(), first.whole), (200, true));
    let next = deployment.gateways[0].call(&turn("t2", "p", Some("t1"), "two ")).await;
    assert_eq!(next.status(), 200);
}

/// The store falls silent for one instance and serves the other. Callers of the first see one stall;
/// after that each turn goes by the peer at once, and nobody's call is spent on looking whether the
/// direct way works again.
#[actix_rt::test]
async fn an_instance_behind_a_cut_stalls_once() {
    let mut deployment = Deployment::start(1, 1).await;
    let (address, fault) = deployment.store.start_with_fault("127.0.0.1").await;
    deployment.add_gateway_at("127.0.0.9", &address, &json!({})).await;
    let behind = &deployment.gateways[1];
    assert_eq!(behind.call(&turn("t0", "p", None, "x")).await.status(), 200);
    fault.set(StoreFault::Silent);
    let mut slow = 0;
    for number in 0..30 {
        let begun = tokio::time::Instant::now();
        let answer = behind.call(&turn(&format!("u{number}"), "q", None, "x")).await;
        assert_eq!((answer.status(), answer.whole), (200, true));
        slow += u32::from(begun.elapsed() > Duration::from_millis(300));
        tokio::time::sleep(Duration::from_millis(60)).await;
    }
    assert!(slow <= 2, "{slow} of 30 turns stalled");
    fault.set(StoreFault::None);
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    assert_eq!(behind.call(&turn("v", "r", None, "x")).await.status(), 200);
}

/// The store takes 20 writes a second, and 40 turns of as many programs come in 0.2 s to two instances.
/// What is refused for its rate waits and then travels together: all turns are answered, and refusals
/// stay fewer than turns. Sent again at once by every way, refused writes multiply, and the store is
/// kept busy refusing.
#[actix_rt::test]
async fn writes_over_the_stores_rate_wait_for_a_later_batch() {
    let deployment = Deployment::start(2, 1).await;
    deployment.store.set_fault(StoreFault::WriteRate(2));
    let calls = (0..40).map(|number| {
        let request = turn(&format!("t{number}"), &format!("p{number}"), None, "x");
        let gateway = &deployment.gateways[number % 2];
        async move {
            tokio::time::sleep(Duration::from_millis(5 * number as u64)).await;
            gateway.call(&request).await
        }
    });
    let answers = futures_util::future::join_all(calls).await;
    let whole = answers.iter().filter(|answer| answer.status() == 200 && answer.whole).count();
    let refused = deployment.store.refused_writes();
    assert_eq!(whole, 40);
    assert!(refused < 40, "{refused} writes were refused");
}

/// Turns begin and end all the while. As long as the store is quick, reservations travel with records
/// that wait, which saves calls. When it has turned slow, a transaction over several parts takes twice
/// as long as one over a single part, and a caller waits for the reservation: it must travel alone.
#[actix_rt::test]
async fn reservations_travel_alone_while_the_store_is_slow() {
    const TURNS: usize = 30;
    let deployment = Deployment::start(1, 1).await;
    let run = async |round: &str| {
        let calls = (0..TURNS).map(|number| {
            let request =
                turn(&format!("{round}{number}"), &format!("p{round}{number}"), None, "x");
            let gateway = deployment.gateway();
            async move {
                tokio::time::sleep(Duration::from_millis(20) * number as u32).await;
                gateway.call(&request).await
            }
        });
        let answers = futures_util::future::join_all(calls).await;
        assert!(answers.iter().all(|answer| (answer.status(), answer.whole) == (200, true)));
    };
    let mixed = |transactions: &[Vec<String>]| {
        let has = |puts: &[String], prefix: &str| puts.iter().any(|key| key.starts_with(prefix));
        transactions.iter().filter(|puts| has(puts, "ledger") && has(puts, "t/")).count()
    };
    run("quick").await;
    let quick = deployment.store.transactions();
    assert!(mixed(&quick) > 0, "they travel together");
    deployment.store.set_fault(StoreFault::Slow(Duration::from_millis(120)));
    // The usual answer time follows.
    run("turning").await;
    let before = deployment.store.transactions().len();
    run("slow").await;
    assert_eq!(mixed(&deployment.store.transactions()[before..]), 0);
}

/// A part of the store has more than a second of writes waiting and refuses one, by every way. The
/// store is not away: the turn waits a little and runs, and turns of other programs notice nothing.
#[actix_rt::test]
async fn a_part_over_its_rate_is_no_outage() {
    let deployment = Deployment::start(1, 1).await;
    let gateway = deployment.gateway();
    assert_eq!(gateway.call(&turn("t1", "p", None, "x")).await.status(), 200);
    // Two direct ways: kept and new connection.
    deployment.store.set_fault(StoreFault::OverRate(2));
    let refused = turn("t2", "p", Some("t1"), "x");
    let (first, second) = futures_util::join!(gateway.call(&refused), async {
        wait_until("the write is refused", async || deployment.store.fault() == StoreFault::None)
            .await;
        gateway.call(&turn("t3", "q", None, "x")).await
    });
    assert_eq!((first.status(), first.whole), (200, true));
    assert_eq!((second.status(), second.whole), (200, true));
}

/// The store has turned slow: each answer takes 0.7 s, for seconds. Once that is known, a turn is
/// reserved and kept by one call each. Sent again by another way before the answer can come, each call
/// slows the store further, and callers leave before they hear a word.
#[actix_rt::test]
async fn a_slow_store_gets_each_call_once() {
    let deployment = Deployment::start(1, 1).await;
    let run = async |program: &str| {
        let answer = deployment.gateway().call(&turn(program, program, None, "x")).await;
        assert_eq!((answer.status(), answer.whole), (200, true));
    };
    deployment.store.set_fault(StoreFault::Slow(Duration::from_millis(700)));
    // The usual answer time follows.
    for program in ["a", "b", "c"] {
        run(program).await;
    }
    let before = deployment.store.calls_with("/rows-tx");
    run("d").await;
    assert_eq!(deployment.store.calls_with("/rows-tx") - before, 2);
}
