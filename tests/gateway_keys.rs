//! Who may ask: keys, what upstreams learn of them, and what belongs to a workspace.

mod platform_standin;

use std::time::Duration;

use platform_standin::store::StoreFault;
use platform_standin::{
    Deployment, TestGateway, call, chained, default_routes, from, keyed, manifest, turn,
    wait_until, workspace,
};
use rstest::rstest;
use serde_json::json;

#[actix_rt::test]
async fn an_upstream_learns_the_workspace_and_not_the_key() {
    let deployment = Deployment::start(1, 1).await.with_workspaces(&[workspace("acme")]).await;
    let forged = "Merlinsaddle-Key: key-acme\r\nMerlinsaddle-Tenant: other";
    for request in [call("read", "r1"), call("book", "b1"), turn("t1", "p", None, "x")] {
        let answer = deployment.gateway().call(&keyed(&request, forged)).await;
        assert_eq!(answer.status(), 200);
    }
    for run in deployment.runs() {
        assert_eq!(run.header("merlinsaddle-tenant"), "acme");
        assert!(!run.headers.values().any(|value| value.contains("key-acme")), "{run:?}");
    }
    assert_eq!(deployment.runs().len(), 3);
}

/// Without workspaces in the configuration nobody needs a key; one that a caller sends all the same,
/// and a workspace that it claims, reach no upstream.
#[actix_rt::test]
async fn without_workspaces_keys_are_dropped() {
    let deployment = Deployment::start(1, 1).await;
    let forged = "Merlinsaddle-Key: s3cret\r\nMerlinsaddle-Tenant: other";
    let answer = deployment.gateway().call(&keyed(&call("book", "b1"), forged)).await;
    assert_eq!(answer.status(), 200);
    let runs = deployment.runs();
    assert_eq!(runs[0].header("merlinsaddle-tenant"), "");
    assert_eq!(runs[0].header("merlinsaddle-key"), "");
}

#[rstest]
#[case::none("X-Own: 1", 401)]
#[case::unknown("Merlinsaddle-Key: other", 401)]
#[case::empty("Merlinsaddle-Key: ", 401)]
#[case::prefix("Merlinsaddle-Key: key-acm", 401)]
#[case::longer("Merlinsaddle-Key: key-acmee", 401)]
#[case::other_case("Merlinsaddle-Key: KEY-ACME", 401)]
#[case::not_text("Merlinsaddle-Key: \u{e9}\u{e9}", 401)]
#[case::doubled("Merlinsaddle-Key: key-acme\r\nMerlinsaddle-Key: key-acme", 400)]
#[case::listed("Merlinsaddle-Key: key-acme, other", 401)]
#[case::workspace_claimed("Merlinsaddle-Tenant: acme", 401)]
#[case::of_nobody("Merlinsaddle-Key: key-locked", 401)]
#[actix_rt::test]
async fn bad_keys_run_nothing(#[case] headers: &str, #[case] status: u16) {
    let locked = json!({ "name": "locked", "api-keys": [] });
    let workspaces = [workspace("acme"), locked, json!({ "name": "empty", "api-keys": [""] })];
    let deployment = Deployment::start(1, 1).await.with_workspaces(&workspaces).await;
    let answer = deployment.gateway().call(&keyed(&call("book", "b1"), headers)).await;
    assert_eq!(answer.status(), status);
    assert!(deployment.runs().is_empty());
}

#[actix_rt::test]
async fn an_endless_key_is_too_large() {
    let deployment = Deployment::start(1, 1).await.with_workspaces(&[workspace("acme")]).await;
    let endless = format!("Merlinsaddle-Key: {}", "k".repeat(8_192));
    let answer = deployment.gateway().call(&keyed(&call("book", "b1"), &endless)).await;
    assert_eq!(answer.status(), 431);
    assert!(deployment.runs().is_empty());
}

#[actix_rt::test]
async fn an_open_route_needs_no_key() {
    let deployment = Deployment::start(1, 1).await;
    let mut routes = default_routes();
    routes[1]["public"] = true.into();
    let mut open = manifest(2, &routes);
    open["tenants"] = json!([workspace("acme")]);
    deployment.store.put("op", "config", &open);
    let gateway = deployment.gateway();
    wait_until("keys are asked for", async || {
        gateway.call(&call("book", "b1")).await.status() == 401
    })
    .await;
    let claimed = keyed(&call("read", "r1"), "Merlinsaddle-Tenant: acme");
    assert_eq!(gateway.call(&claimed).await.status(), 200);
    assert_eq!(deployment.runs().last().expect("it ran").header("merlinsaddle-tenant"), "");
}

/// A key is taken away while its caller keeps a connection open and a program under way: the next
/// request on either is refused within the bound, and the stream that was running ends whole.
#[actix_rt::test]
async fn a_key_taken_away_is_refused_on_open_connections() {
    let deployment = Deployment::start(2, 1).await.with_workspaces(&[workspace("acme")]).await;
    let mut wire = deployment.gateway().connect().await;
    wire.send(from("acme", &turn("t1", "p", None, "one ")).as_bytes()).await;
    assert_eq!(wire.read_message(true).await.expect("an answer").status(), 200);
    let pause = Duration::from_millis(900);
    deployment.engines[0].act(platform_standin::engine::EngineAct::Paced(pause));
    let running = deployment.gateway().call_later(&from("acme", &turn("t2", "p", Some("t1"), "x")));
    wait_until("it runs", async || deployment.runs().len() == 2).await;
    let mut replaced = workspace("acme");
    replaced["api-keys"] = json!(["new"]);
    deployment.set_workspaces(3, &[replaced]);
    tokio::time::sleep(Duration::from_secs(2)).await;
    wire.send(from("acme", &turn("t3", "p", Some("t1"), "two ")).as_bytes()).await;
    assert_eq!(wire.read_message(true).await.expect("an answer").status(), 401);
    for gateway in &deployment.gateways {
        let refused = gateway.call(&from("acme", &call("book", "b1"))).await;
        assert_eq!(refused.status(), 401);
        let new = keyed(&call("book", "b2"), "Merlinsaddle-Key: new");
        assert_eq!(gateway.call(&new).await.status(), 200);
    }
    let running = running.await.expect("it ends");
    assert_eq!((running.status(), running.whole), (200, true));
}

/// The operator adds a key while one instance's way to the store hangs. A caller that comes there
/// with the new key must not be told that it is unknown, which is final for it: the instance asks by
/// its peer, and says 503 if it cannot know.
#[actix_rt::test]
async fn a_new_key_is_not_denied_on_old_news() {
    let mut deployment = Deployment::start(1, 1).await.with_workspaces(&[workspace("acme")]).await;
    let (address, fault) = deployment.store.start_with_fault("127.0.0.1").await;
    let alone = json!({ "without": ["relays", "news_readers"] });
    deployment.add_gateway_at("127.0.0.9", &address, &alone).await;
    fault.set(StoreFault::Silent);
    // A question under way is held for 0.9 s, and its news count for 1.5 s.
    tokio::time::sleep(Duration::from_secs(3)).await;
    deployment.set_workspaces(3, &[workspace("acme"), workspace("new")]);
    let answer = deployment.gateways[1].call(&from("new", &call("book", "b1"))).await;
    assert_eq!(answer.status(), 503);
    assert!(!answer.header("retry-after").is_empty());
    fault.set(StoreFault::None);
    wait_until("the new key is known", async || {
        deployment.gateways[1].call(&from("new", &call("book", "b2"))).await.status() == 200
    })
    .await;
}

/// Fifty callers at a time try keys that nobody holds while the store is away, and go on as it returns. All
/// are answered; while it is away nothing is asked for them, and at its return they share a question,
/// where each by itself would meet the store with fifty at once.
#[actix_rt::test]
async fn a_flood_of_unknown_keys_is_no_flood_of_questions() {
    const CALLERS: usize = 50;
    let deployment = Deployment::start(1, 1).await.with_workspaces(&[workspace("acme")]).await;
    let questions = || deployment.store.calls_with("/rows-get?table=op");
    let flood = async || {
        let requests: Vec<String> = (0..CALLERS)
            .map(|number| keyed(&call("book", &format!("b{number}")), "Merlinsaddle-Key: guess"))
            .collect();
        let calls = requests.iter().map(|request| deployment.gateway().call(request));
        let answers = futures_util::future::join_all(calls).await;
        assert!(answers.iter().all(|answer| [401, 503].contains(&answer.status())));
        answers.iter().filter(|answer| answer.status() == 401).count()
    };
    deployment.store.set_fault(StoreFault::Busy);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let before = questions();
    assert_eq!(flood().await, 0, "nobody can know");
    deployment.store.set_fault(StoreFault::None);
    wait_until("the store is back", async || flood().await == CALLERS).await;
    let asked = questions() - before;
    assert!(asked <= 5, "{asked} questions");
}

/// Where the operator wants it, an instance that is cut off for longer than a key may outlive its end
/// serves nobody who needs one; else it goes on under what it knows.
#[rstest]
#[case::strict(true, 503)]
#[case::lenient(false, 200)]
#[actix_rt::test]
async fn keys_of_an_instance_that_is_cut_off(#[case] strict: bool, #[case] status: u16) {
    let mut deployment = Deployment::start(0, 1).await;
    let (address, fault) = deployment.store.start_with_fault("127.0.0.1").await;
    let own = json!({ "strict_revoke": strict, "revoke_millis": 1_500 });
    deployment.add_gateway_at("127.0.0.9", &address, &own).await;
    let deployment = deployment.with_workspaces(&[workspace("acme")]).await;
    fault.set(StoreFault::Busy);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let answer = deployment.gateway().call(&from("acme", &call("book", "b1"))).await;
    assert_eq!(answer.status(), status);
    fault.set(StoreFault::None);
    wait_until("it serves again", async || {
        deployment.gateway().call(&from("acme", &call("book", "b2"))).await.status() == 200
    })
    .await;
}

/// Another workspace names a turn, a program and the budget that are not its own, on the instance that
/// has them in memory and on one that has not. It learns nothing and changes nothing: the owner's next
/// turn goes on from the owner's history, with the owner's tokens.
#[actix_rt::test]
async fn a_workspace_cannot_touch_anothers_program() {
    let workspaces = [workspace("acme"), workspace("rival")];
    let deployment = Deployment::start(2, 1).await.with_workspaces(&workspaces).await;
    let [first, second] = [&deployment.gateways[0], &deployment.gateways[1]];
    assert_eq!(first.call(&from("acme", &turn("t1", "p", None, "one "))).await.status(), 200);
    for gateway in [first, second] {
        let stolen = from("rival", &turn("s1", "p", Some("t1"), "x"));
        assert_eq!(gateway.call(&stolen).await.status(), 404);
        let other = from("rival", &turn("s2", "q", Some("t1"), "x"));
        assert_eq!(gateway.call(&other).await.status(), 404);
    }
    // The same names are the rival's own program, with tokens of its own.
    let budget =
        |id: &str, previous| platform_standin::budgeted_turn(id, "p", previous, "mine ", 12);
    assert_eq!(first.call(&from("rival", &budget("t1", None))).await.status(), 200);
    assert_eq!(second.call(&from("rival", &budget("u2", Some("t1")))).await.status(), 200);
    assert_eq!(first.call(&from("rival", &budget("u3", Some("u2")))).await.status(), 402);
    let next = from("acme", &turn("t2", "p", Some("t1"), "two "));
    assert_eq!(second.call(&next).await.status(), 200);
    let bodies: Vec<String> = deployment.runs().iter().map(|run| run.text()).collect();
    let expected =
        ["one ".into(), "mine ".into(), chained("mine ", "mine "), chained("one ", "two ")];
    assert_eq!(bodies, expected);
}

/// The history of a workspace outlives a change of its keys, and all instances.
#[actix_rt::test]
async fn a_history_belongs_to_the_workspace_not_to_the_key() {
    let mut deployment = Deployment::start(1, 1).await.with_workspaces(&[workspace("acme")]).await;
    deployment.gateway().call(&from("acme", &turn("t1", "p", None, "one "))).await;
    let mut replaced = workspace("acme");
    replaced["api-keys"] = json!(["new"]);
    deployment.set_workspaces(3, &[replaced]);
    deployment.gateways[0].kill().await;
    deployment.gateways.clear();
    deployment.add_gateway(7).await;
    let next = keyed(&turn("t2", "p", Some("t1"), "two "), "Merlinsaddle-Key: new");
    assert_eq!(deployment.gateway().call(&next).await.status(), 200);
    assert_eq!(deployment.runs()[1].text(), chained("one ", "two "));
}

/// The configuration is rewritten without workspaces, then with them again: first nobody needs a key,
/// then everybody does.
#[actix_rt::test]
async fn workspaces_may_go_and_come() {
    let deployment = Deployment::start(1, 1).await.with_workspaces(&[workspace("acme")]).await;
    let gateway: &TestGateway = deployment.gateway();
    deployment.set_routes(3, &default_routes());
    let status = async |request: &str| gateway.call(request).await.status();
    wait_until("no key is needed", async || status(&call("book", "b1")).await == 200).await;
    assert_eq!(status(&from("acme", &call("book", "b2"))).await, 200);
    deployment.set_workspaces(4, &[]);
    wait_until("a key is needed", async || status(&call("book", "b3")).await == 401).await;
    assert_eq!(status(&from("acme", &call("book", "b4"))).await, 401);
}
