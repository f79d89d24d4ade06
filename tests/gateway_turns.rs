//! Stored history of turns across several instances.

mod platform_standin;

use std::time::Duration;

use platform_standin::engine::EngineAct;
use platform_standin::{
    Deployment, alone, budgeted_turn, chained, default_routes, turn, wait_until,
};
use serde_json::{Value, json};

#[rstest::rstest]
#[case::coordinated(json!({}))]
#[case::alone(alone())]
#[actix_rt::test]
async fn chain_continues_at_another_instance(#[case] own: Value) {
    let deployment = Deployment::start_with(2, 1, &own).await;
    let first = deployment.gateways[0].call(&turn("t1", "p", None, "one ")).await;
    assert_eq!((first.status(), first.whole), (200, true));
    let second = deployment.gateways[1].call(&turn("t2", "p", Some("t1"), "two ")).await;
    assert_eq!((second.status(), second.whole), (200, true));
    let bodies: Vec<String> = deployment.runs().iter().map(|run| run.text()).collect();
    assert_eq!(bodies, ["one ".to_owned(), chained("one ", "two ")]);
}

/// Guards against a response that completes before its turn is durable: both instances are killed, and
/// a new one runs the next turn.
#[actix_rt::test]
async fn history_survives_the_loss_of_all_instances() {
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

/// Guards against a lookup of the previous turn in the program's own part of the store only.
#[rstest::rstest]
#[case::coordinated(json!({}))]
#[case::alone(alone())]
#[actix_rt::test]
async fn chain_continues_from_another_programs_turn(#[case] own: Value) {
    let deployment = Deployment::start_with(2, 1, &own).await;
    deployment.gateways[0].call(&turn("t1", "p", None, "one ")).await;
    deployment.gateways[0].call(&turn("t2", "p", Some("t1"), "two ")).await;
    let next = deployment.gateways[1].call(&turn("t3", "other", Some("t2"), "three ")).await;
    assert_eq!(next.status(), 200);
    let history = chained(&chained("one ", "two "), "three ");
    assert_eq!(deployment.runs()[2].text(), history);
    // The chain now spans two programs.
    let last = deployment.gateways[0].call(&turn("t4", "other", Some("t3"), "four ")).await;
    assert_eq!(last.status(), 200);
    assert_eq!(deployment.runs()[3].text(), chained(&history, "four "));
}

#[actix_rt::test]
async fn unknown_previous_turn_is_rejected_without_a_run() {
    let deployment = Deployment::start(1, 1).await;
    let answer = deployment.gateway().call(&turn("t1", "p", Some("never"), "x")).await;
    assert_eq!(answer.status(), 404);
    assert!(deployment.runs().is_empty());
}

/// Guards against turns without an index on a store whose transactions are limited to one part.
#[actix_rt::test]
async fn chain_continues_without_transactions_over_parts() {
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

/// Guards against writes of different programs that wait for each other: the store serializes the
/// transactions of one part.
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

/// Guards against a sweep that removes a program whose turn another program still continues from, or
/// that leaves the index of an expired one.
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
    wait_until("the unused program is removed", async || {
        number.set(number.get() + 1);
        let request = turn(&format!("t{}", number.get()), "young", Some("t1"), "x");
        assert_eq!(gateway.call(&request).await.status(), 200, "the turn in use is retained");
        tokio::time::sleep(Duration::from_millis(100)).await;
        deployment.store.values("programs", "t/alone/").is_empty()
    })
    .await;
    assert!(deployment.store.values("turn-programs", "alone").is_empty());
    assert_eq!(deployment.store.values("programs", "t/t1/").len(), 1);
    assert_eq!(gateway.call(&turn("x", "p", Some("alone"), "y")).await.status(), 404);
}

/// Guards against histories that lose the line breaks of the engine's texts, in the memory of an
/// instance or in the store.
#[rstest::rstest]
#[case::line_feeds("\n", json!({}))]
#[case::carriage_returns("\r", json!({}))]
#[case::both("\r\n", json!({}))]
#[case::alone("\n", alone())]
#[actix_rt::test]
async fn line_breaks_of_events_are_kept(#[case] end: &str, #[case] own: Value) {
    let mut deployment = Deployment::start_with(2, 1, &own).await;
    let texts = ["one", "\ntwo", "\n\n three\nfour\n", "", "\n"];
    let event = |(number, text): (usize, &&str)| {
        let lines: String = text.split('\n').map(|line| format!("data: {line}{end}")).collect();
        format!("id: {number}{end}{lines}{end}")
    };
    let stream: String = texts.iter().enumerate().map(event).collect();
    deployment.engines[0].act(EngineAct::Stream(stream.clone()));
    let first = deployment.gateways[0].call(&turn("t1", "p", None, "in ")).await;
    assert_eq!((first.text(), first.whole), (stream, true));
    let history: String = texts.iter().map(|text| format!("{text}\n")).collect();
    for (number, program) in ["p", "other"].into_iter().enumerate() {
        let next = turn(&format!("n{number}"), program, Some("t1"), "next ");
        assert_eq!(deployment.gateways[number].call(&next).await.status(), 200);
    }
    for gateway in &mut deployment.gateways {
        gateway.kill().await;
    }
    deployment.gateways.clear();
    deployment.add_gateway(7).await;
    let next = turn("n2", "third", Some("t1"), "next ");
    assert_eq!(deployment.gateway().call(&next).await.status(), 200);
    for run in &deployment.runs()[1..] {
        assert_eq!(run.text(), format!("in {history}next "));
    }
}

/// Guards against comments of a stream that spend the program's tokens or enter its history.
#[actix_rt::test]
async fn comments_of_a_stream_are_neither_charged_nor_kept() {
    let deployment = Deployment::start(1, 1).await;
    let comments = ": keep-alive\n\n".repeat(10);
    let stream = format!("{comments}id: 1\n: inside\ndata: w1\n\n{comments}");
    deployment.engines[0].act(EngineAct::Stream(stream.clone()));
    let first = deployment.gateway().call(&budgeted_turn("t1", "p", None, "in ", 8)).await;
    assert_eq!((first.text(), first.whole), (stream, true));
    let next = budgeted_turn("t2", "p", Some("t1"), "next ", 8);
    assert_eq!(deployment.gateway().call(&next).await.status(), 200);
    assert_eq!(deployment.runs()[1].text(), "in w1\nnext ");
}

/// Guards against records that exceed the store's limit on rows.
#[rstest::rstest]
#[case::coordinated(json!({}))]
#[case::alone(alone())]
#[actix_rt::test]
async fn record_larger_than_a_row_is_stored_in_chunks(#[case] own: Value) {
    let deployment = Deployment::start_with(2, 1, &own).await;
    let large = "x".repeat(90_000);
    deployment.gateways[0].call(&turn("t1", "p", None, &large)).await;
    assert_eq!(deployment.store.values("programs", "t/").len(), 2);
    let next = deployment.gateways[1].call(&turn("t2", "p", Some("t1"), "y")).await;
    assert_eq!(next.status(), 200);
    assert_eq!(deployment.runs()[1].text(), chained(&large, "y"));
}
