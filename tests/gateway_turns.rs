//! Turns over several instances: their history.

mod platform_standin;

use std::time::Duration;

use platform_standin::{Deployment, alone, chained, default_routes, turn, wait_until};
use serde_json::{Value, json};

#[rstest::rstest]
#[case::coordinated(json!({}))]
#[case::alone(alone())]
#[actix_rt::test]
async fn another_instance_goes_on_from_a_turn(#[case] own: Value) {
    let deployment = Deployment::start_with(2, 1, &own).await;
    let first = deployment.gateways[0].call(&turn("t1", "p", None, "one ")).await;
    assert_eq!((first.status(), first.whole), (200, true));
    let second = deployment.gateways[1].call(&turn("t2", "p", Some("t1"), "two ")).await;
    assert_eq!((second.status(), second.whole), (200, true));
    let bodies: Vec<String> = deployment.runs().iter().map(|run| run.text()).collect();
    assert_eq!(bodies, ["one ".to_owned(), chained("one ", "two ")]);
}

/// Both instances are killed as soon as the caller has the whole answer. A new instance that has
/// never seen the program is asked for the next turn: the history must be in the store by then.
#[actix_rt::test]
async fn history_outlives_all_instances() {
    let mut deployment = Deployment::start(2, 1).await;
    deployment.gateways[0].call(&turn("t1", "p", None, "one ")).await;
    for gateway in &mut deployment.gateways {
        gateway.kill().await;
    }
    deployment.gateways.clear();
    deployment.add_gateway(7).await;
    let next = deployment.gateway().call(&turn("t2", "p", Some("t1"), "two ")).await;
    assert_eq!(next.status(), 200);
    assert_eq!(deployment.runs()[1].text(), chained("one ", "two "));
}

/// A new program goes on from what another program said, on an instance that knows neither. The
/// turn lies in the other program's part of the store, which its id does not tell.
#[rstest::rstest]
#[case::coordinated(json!({}))]
#[case::alone(alone())]
#[actix_rt::test]
async fn a_program_goes_on_from_another_programs_turn(#[case] own: Value) {
    let deployment = Deployment::start_with(2, 1, &own).await;
    deployment.gateways[0].call(&turn("t1", "p", None, "one ")).await;
    deployment.gateways[0].call(&turn("t2", "p", Some("t1"), "two ")).await;
    let next = deployment.gateways[1].call(&turn("t3", "other", Some("t2"), "three ")).await;
    assert_eq!(next.status(), 200);
    let history = chained(&chained("one ", "two "), "three ");
    assert_eq!(deployment.runs()[2].text(), history);
    // And on from there: the chain now spans two programs.
    let last = deployment.gateways[0].call(&turn("t4", "other", Some("t3"), "four ")).await;
    assert_eq!(last.status(), 200);
    assert_eq!(deployment.runs()[3].text(), chained(&history, "four "));
}

#[actix_rt::test]
async fn an_unknown_turn_is_not_found_and_runs_nowhere() {
    let deployment = Deployment::start(1, 1).await;
    let answer = deployment.gateway().call(&turn("t1", "p", Some("never"), "x")).await;
    assert_eq!(answer.status(), 404);
    assert!(deployment.runs().is_empty());
}

/// On a store whose transactions keep to one part, the index is written before the turn it names.
#[actix_rt::test]
async fn a_store_without_transactions_over_parts_will_do() {
    let mut deployment = Deployment::start(0, 1).await;
    let store = deployment.store_address.clone();
    let by_part = json!({ "store_across_parts": false });
    deployment.add_gateway_at("127.0.0.2", &store, &by_part).await;
    deployment.gateway().call(&turn("t1", "p", None, "one ")).await;
    deployment.gateways[0].kill().await;
    deployment.gateways.clear();
    deployment.add_gateway_at("127.0.0.3", &store, &by_part).await;
    let gateway = deployment.gateway();
    let next = gateway.call(&turn("t2", "other", Some("t1"), "two ")).await;
    assert_eq!((next.status(), next.whole), (200, true));
    assert_eq!(deployment.runs()[1].text(), chained("one ", "two "));
}

/// The store writes a part one transaction after another. Turns of different programs that end at
/// once must not wait for each other, so no two of them may write to the same part.
#[actix_rt::test]
async fn turns_of_different_programs_share_no_part() {
    const PROGRAMS: usize = 40;
    let deployment = Deployment::start(1, 1).await;
    let requests: Vec<String> = (0..PROGRAMS)
        .map(|number| turn(&format!("t{number}"), &format!("p{number}"), None, "x"))
        .collect();
    let calls = requests.iter().map(|request| deployment.gateway().call(request));
    let answers = futures_util::future::join_all(calls).await;
    assert!(answers.iter().all(|answer| (answer.status(), answer.whole) == (200, true)));
    for table in ["programs", "turn-programs"] {
        assert_eq!(deployment.store.part_names(table).len(), PROGRAMS, "{table}");
    }
}

/// Turns are kept for three seconds after they were last named. One program's turn is gone on from
/// all the while, by another program; a second program is left alone. Only the second may go, with
/// its index; the first must stay although nobody calls on its own behalf.
#[actix_rt::test]
async fn only_expired_programs_are_swept() {
    let deployment = Deployment::start(2, 1).await;
    let mut routes = default_routes();
    routes[0]["retain-s"] = 3.into();
    deployment.set_routes(2, &routes);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let gateway = deployment.gateway();
    gateway.call(&turn("t1", "old", None, "one ")).await;
    gateway.call(&turn("alone", "lonely", None, "alone ")).await;
    let number = std::cell::Cell::new(2);
    wait_until("the lonely program is gone", async || {
        number.set(number.get() + 1);
        let request = turn(&format!("t{}", number.get()), "young", Some("t1"), "x");
        assert_eq!(gateway.call(&request).await.status(), 200, "the named turn is kept");
        tokio::time::sleep(Duration::from_millis(100)).await;
        deployment.store.values("programs", "t/alone/").is_empty()
    })
    .await;
    assert!(deployment.store.values("turn-programs", "alone").is_empty());
    assert_eq!(deployment.store.values("programs", "t/t1/").len(), 1);
    assert_eq!(gateway.call(&turn("x", "p", Some("alone"), "y")).await.status(), 404);
}

/// A turn larger than a row of the store is kept in pieces.
#[rstest::rstest]
#[case::coordinated(json!({}))]
#[case::alone(alone())]
#[actix_rt::test]
async fn a_large_turn_is_kept_whole(#[case] own: Value) {
    let deployment = Deployment::start_with(2, 1, &own).await;
    let large = "x".repeat(90_000);
    deployment.gateways[0].call(&turn("t1", "p", None, &large)).await;
    assert_eq!(deployment.store.values("programs", "t/").len(), 2);
    let next = deployment.gateways[1].call(&turn("t2", "p", Some("t1"), "y")).await;
    assert_eq!(next.status(), 200);
    assert_eq!(deployment.runs()[1].text(), chained(&large, "y"));
}
