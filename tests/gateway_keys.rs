//! Tests authentication by API key and the isolation of workspaces.

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
async fn upstream_receives_the_workspace_but_not_the_key() {
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

/// Without authentication the headers of a caller must not pass for verified ones at an upstream.
#[actix_rt::test]
async fn key_and_workspace_headers_are_dropped_without_workspaces() {
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
#[case::suffixed("Merlinsaddle-Key: key-acmee", 401)]
#[case::other_case("Merlinsaddle-Key: KEY-ACME", 401)]
#[case::not_text("Merlinsaddle-Key: \u{e9}\u{e9}", 401)]
#[case::doubled("Merlinsaddle-Key: key-acme\r\nMerlinsaddle-Key: key-acme", 400)]
#[case::listed("Merlinsaddle-Key: key-acme, other", 401)]
#[case::workspace_claimed("Merlinsaddle-Tenant: acme", 401)]
#[case::without_owner("Merlinsaddle-Key: key-locked", 401)]
#[actix_rt::test]
async fn request_with_invalid_key_is_refused_and_does_not_run(
    #[case] headers: &str,
    #[case] status: u16,
) {
    let locked = json!({ "name": "locked", "api-keys": [] });
    let workspaces = [workspace("acme"), locked, json!({ "name": "empty", "api-keys": [""] })];
    let deployment = Deployment::start(1, 1).await.with_workspaces(&workspaces).await;
    let answer = deployment.gateway().call(&keyed(&call("book", "b1"), headers)).await;
    assert_eq!(answer.status(), status);
    assert!(deployment.runs().is_empty());
}

#[actix_rt::test]
async fn oversized_key_is_refused() {
    let deployment = Deployment::start(1, 1).await.with_workspaces(&[workspace("acme")]).await;
    let oversized = format!("Merlinsaddle-Key: {}", "k".repeat(8_192));
    let answer = deployment.gateway().call(&keyed(&call("book", "b1"), &oversized)).await;
    assert_eq!(answer.status(), 431);
    assert!(deployment.runs().is_empty());
}

#[actix_rt::test]
async fn public_route_needs_no_key() {
    let deployment = Deployment::start(1, 1).await;
    let mut routes = default_routes();
    routes[1]["public"] = true.into();
    let mut config = manifest(2, &routes);
    config["tenants"] = json!([workspace("acme")]);
    deployment.store.put("op", "config", &config);
    let gateway = deployment.gateway();
    wait_until("keys are required", async || {
        gateway.call(&call("book", "b1")).await.status() == 401
    })
    .await;
    let claimed = keyed(&call("read", "r1"), "Merlinsaddle-Tenant: acme");
    assert_eq!(gateway.call(&claimed).await.status(), 200);
    assert_eq!(
        deployment.runs().last().expect("the request ran").header("merlinsaddle-tenant"),
        ""
    );
}

/// Open connections and running programs must not outlive a revoked key, but a running stream must
/// complete.
#[actix_rt::test]
async fn revoked_key_is_refused_on_open_connections() {
    let deployment = Deployment::start(2, 1).await.with_workspaces(&[workspace("acme")]).await;
    let mut wire = deployment.gateway().connect().await;
    wire.send(from("acme", &turn("t1", "p", None, "one ")).as_bytes()).await;
    assert_eq!(wire.read_message(true).await.expect("a response").status(), 200);
    let pause = Duration::from_millis(900);
    deployment.engines[0].act(platform_standin::engine::EngineAct::Paced(pause));
    let running = deployment.gateway().call_later(&from("acme", &turn("t2", "p", Some("t1"), "x")));
    wait_until("the second turn runs", async || deployment.runs().len() == 2).await;
    let mut replaced = workspace("acme");
    replaced["api-keys"] = json!(["new"]);
    deployment.set_workspaces(3, &[replaced]);
    tokio::time::sleep(Duration::from_secs(2)).await;
    wire.send(from("acme", &turn("t3", "p", Some("t1"), "two ")).as_bytes()).await;
    assert_eq!(wire.read_message(true).await.expect("a response").status(), 401);
    for gateway in &deployment.gateways {
        let refused = gateway.call(&from("acme", &call("book", "b1"))).await;
        assert_eq!(refused.status(), 401);
        let new = keyed(&call("book", "b2"), "Merlinsaddle-Key: new");
        assert_eq!(gateway.call(&new).await.status(), 200);
    }
    let running = running.await.expect("the stream ends");
    assert_eq!((running.status(), running.whole), (200, true));
}

/// An instance that may have an outdated configuration must not answer 401, which is final for the
/// caller; 503 lets it retry.
#[actix_rt::test]
async fn new_key_gets_503_from_an_instance_cut_off_from_the_store() {
    let mut deployment = Deployment::start(1, 1).await.with_workspaces(&[workspace("acme")]).await;
    let (address, fault) = deployment.store.start_with_fault("127.0.0.1").await;
    let settings = json!({ "without": ["relays", "news_readers"] });
    deployment.add_gateway_at("127.0.0.9", &address, &settings).await;
    fault.set(StoreFault::Silent);
    // Covers a read under way (0.9 s) and the time for which its result counts as current (1.5 s).
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

/// Concurrent requests with unknown keys must share reads of the configuration, or they would overload
/// a store that has just recovered.
#[actix_rt::test]
async fn concurrent_requests_with_unknown_keys_share_store_reads() {
    const CALLERS: usize = 50;
    let deployment = Deployment::start(1, 1).await.with_workspaces(&[workspace("acme")]).await;
    let store_reads = || deployment.store.calls_with("/rows-get?table=op");
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
    let before = store_reads();
    assert_eq!(flood().await, 0, "no key can be verified");
    deployment.store.set_fault(StoreFault::None);
    wait_until("the store has recovered", async || flood().await == CALLERS).await;
    let reads = store_reads() - before;
    assert!(reads <= 5, "{reads} reads");
}

/// With `strict_revoke` an instance that cannot read revocations must refuse known keys after the
/// revocation bound; without it they keep working.
#[rstest]
#[case::strict(true, 503)]
#[case::lenient(false, 200)]
#[actix_rt::test]
async fn known_key_on_an_instance_cut_off_from_the_store(
    #[case] strict: bool,
    #[case] status: u16,
) {
    let mut deployment = Deployment::start(0, 1).await;
    let (address, fault) = deployment.store.start_with_fault("127.0.0.1").await;
    let settings = json!({ "strict_revoke": strict, "revoke_millis": 1_500 });
    deployment.add_gateway_at("127.0.0.9", &address, &settings).await;
    let deployment = deployment.with_workspaces(&[workspace("acme")]).await;
    fault.set(StoreFault::Busy);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let answer = deployment.gateway().call(&from("acme", &call("book", "b1"))).await;
    assert_eq!(answer.status(), status);
    fault.set(StoreFault::None);
    wait_until("known keys work again", async || {
        deployment.gateway().call(&from("acme", &call("book", "b2"))).await.status() == 200
    })
    .await;
}

/// Programs, turns and budgets of equal names must be separate per workspace, both on the instance that
/// has them in memory and on another one.
#[actix_rt::test]
async fn workspace_cannot_use_the_program_of_another() {
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
    // The same names refer to the rival's own program and budget.
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

/// A workspace that replaces its key must keep its history, also when all instances restart.
#[actix_rt::test]
async fn history_survives_a_change_of_key() {
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

/// Removing all workspaces turns authentication off; an empty list of them must turn it on again.
#[actix_rt::test]
async fn keys_are_required_while_workspaces_are_configured() {
    let deployment = Deployment::start(1, 1).await.with_workspaces(&[workspace("acme")]).await;
    let gateway: &TestGateway = deployment.gateway();
    deployment.set_routes(3, &default_routes());
    let status = async |request: &str| gateway.call(request).await.status();
    wait_until("no key is required", async || status(&call("book", "b1")).await == 200).await;
    assert_eq!(status(&from("acme", &call("book", "b2"))).await, 200);
    deployment.set_workspaces(4, &[]);
    wait_until("a key is required", async || status(&call("book", "b3")).await == 401).await;
    assert_eq!(status(&from("acme", &call("book", "b4"))).await, 401);
}
