//! Changes of routes, upstreams and members reach running instances; planned stops.

mod platform_standin;

use std::time::Duration;

use merlinsaddle::gateway::GatewaySettings;
use platform_standin::engine::{EngineAct, StandinEngine};
use platform_standin::store::{StandinStore, StoreFault};
use platform_standin::{
    Deployment, TestGateway, call, default_routes, manifest, route, turn, wait_until,
};
use rstest::rstest;
use serde_json::json;

/// Guards against a 404, after which callers give up for good, from an instance that has no routes
/// yet.
#[actix_rt::test]
async fn instance_without_routes_answers_503() {
    let store = StandinStore::default();
    let address = store.start("127.0.0.1").await;
    let gateway = TestGateway::start("127.0.0.2", &address, 0, &[]);
    let unavailable = gateway.call(&call("book", "b1")).await;
    assert_eq!(unavailable.status(), 503);
    assert!(!unavailable.header("retry-after").is_empty());
    assert_eq!(gateway.ready_status().await, 503);
    store.put("op", "config", &manifest(1, &default_routes()));
    gateway.ready().await;
    assert_eq!(gateway.call(&call("missing", "b2")).await.status(), 404);
}

/// Guards against a malformed configuration or a late older version that replaces newer routes.
#[actix_rt::test]
async fn malformed_or_older_routes_are_ignored() {
    let deployment = Deployment::start(1, 1).await;
    let gateway = deployment.gateway();
    let mut routes = default_routes();
    routes.push(route("added", "unsafe"));
    deployment.set_routes(5, &routes);
    wait_until("the new route is in force", async || {
        gateway.call(&call("added", "a1")).await.status() == 200
    })
    .await;
    deployment.store.put_raw("op", "config", b"{ not a configuration");
    deployment.set_routes(4, &default_routes());
    deployment.store.put("op", "other", &json!({ "unrelated": true }));
    tokio::time::sleep(Duration::from_millis(700)).await;
    assert_eq!(gateway.call(&call("added", "a2")).await.status(), 200);
}

/// Guards against changes that are lost when the store compacts its history.
#[actix_rt::test]
async fn compacted_history_is_read_again() {
    let deployment = Deployment::start(1, 1).await;
    let mut routes = default_routes();
    routes.push(route("added", "unsafe"));
    deployment.set_routes(2, &routes);
    let second = StandinEngine::default();
    let address = second.start("127.0.0.1").await;
    deployment.list_engine("second", &address, "ready");
    deployment.store.remove("servers", "e0");
    deployment.store.compact();
    wait_until("the second engine serves the new route", async || {
        let answer = deployment.gateway().call(&call("added", "a1")).await;
        answer.status() == 200 && !second.runs().is_empty()
    })
    .await;
}

/// Guards against new work for an upstream that has been draining for two seconds.
#[actix_rt::test]
async fn draining_upstream_gets_no_new_work() {
    let deployment = Deployment::start(1, 2).await;
    deployment.list_engine("e0", "127.0.0.1:1", "draining");
    tokio::time::sleep(Duration::from_secs(2)).await;
    deployment.assert_serves_without(0).await;
}

/// Guards against callers sent to an instance that reaches the store through a peer only, and
/// against an empty directory when the store is unavailable for all.
#[actix_rt::test]
async fn instance_without_direct_store_access_sends_callers_to_its_peer() {
    let mut deployment = Deployment::start(1, 1).await;
    let (address, fault) = deployment.store.start_with_fault("127.0.0.1").await;
    deployment.add_gateway_at("127.0.0.9", &address, &json!({})).await;
    let lists = async |count: usize| {
        wait_until("both instances list the expected number of addresses", async || {
            let first = deployment.gateways[0].named().await;
            let second = deployment.gateways[1].named().await;
            first.len() == count && second.len() == count
        })
        .await;
    };
    lists(2).await;
    fault.set(StoreFault::Silent);
    lists(1).await;
    let only = deployment.gateways[0].named().await;
    assert_eq!(only, [deployment.gateways[0].settings.caller_address.to_string()]);
    fault.set(StoreFault::None);
    lists(2).await;
    deployment.store.set_fault(StoreFault::Busy);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    lists(2).await;
}

/// Guards against a late heartbeat of a former incarnation that replaces the current one.
#[actix_rt::test]
async fn restarted_engine_is_used_at_its_new_address() {
    let deployment = Deployment::start(1, 0).await;
    let (first, second) = (StandinEngine::default(), StandinEngine::default());
    let addresses = [first.start("127.0.0.1").await, second.start("127.0.0.1").await];
    deployment.list_incarnation("e", &addresses[0], "ready", 1_000);
    let book = async |id: &str| deployment.gateway().call(&call("book", id)).await.status();
    wait_until("the engine serves", async || book("b1").await == 200).await;
    deployment.list_incarnation("e", &addresses[0], "draining", 1_000);
    wait_until("the engine drains", async || book("b2").await == 503).await;
    deployment.list_incarnation("e", &addresses[1], "ready", 2_000);
    wait_until("the new incarnation serves", async || book("b3").await == 200).await;
    deployment.list_incarnation("e", &addresses[0], "ready", 1_000);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before = first.seen();
    assert_eq!(book("b4").await, 200);
    assert_eq!(first.seen(), before);
}

/// Guards against a heartbeat that the store applies only after the engine has left, and that makes it
/// look ready again.
#[rstest]
#[case::announced("draining")]
#[case::silent("ready")]
#[actix_rt::test]
async fn late_heartbeat_of_an_engine_that_left_is_ignored(#[case] last_state: &str) {
    let deployment = Deployment::start(1, 0).await;
    let engine = StandinEngine::default();
    let address = engine.start("127.0.0.1").await;
    let book = async |id: &str| deployment.gateway().call(&call("book", id)).await.status();
    deployment.list_heartbeat("e", &address, "ready", 6);
    wait_until("the engine serves", async || book("b1").await == 200).await;
    deployment.list_heartbeat("e", &address, last_state, 7);
    tokio::time::sleep(Duration::from_secs(1)).await;
    deployment.store.remove("servers", "e");
    wait_until("the engine is dropped", async || book("b2").await == 503).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before = engine.seen();
    deployment.list_heartbeat("e", &address, "ready", 6);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!((book("b3").await, engine.seen()), (503, before));
}

/// Guards against an engine that is never used again after its entry lapsed while it was cut off.
#[actix_rt::test]
async fn engine_that_writes_its_entry_again_is_used() {
    let deployment = Deployment::start(1, 0).await;
    let engine = StandinEngine::default();
    let address = engine.start("127.0.0.1").await;
    deployment.list_heartbeat("e", &address, "ready", 7);
    tokio::time::sleep(Duration::from_secs(1)).await;
    deployment.store.remove("servers", "e");
    let book = async |id: &str| deployment.gateway().call(&call("book", id)).await.status();
    wait_until("the engine is dropped", async || book("b1").await == 503).await;
    let serves = async || {
        for sequence in 8..10 {
            deployment.list_heartbeat("e", &address, "ready", sequence);
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
        book("b2").await
    };
    assert_eq!(serves().await, 200);
}

/// Guards against malformed entries in the list of engines that affect the valid ones.
#[actix_rt::test]
async fn malformed_engine_entries_are_ignored() {
    let deployment = Deployment::start(1, 2).await;
    deployment.store.put_raw("servers", "bytes", b"\xff\xfe");
    deployment.store.put("servers", "fields", &json!({ "service": "llm", "state": "ready" }));
    deployment.store.put("servers", "e0", &json!({ "state": "resting" }));
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let before = deployment.engines[0].seen();
    for number in 0..6 {
        let answer = deployment.gateway().call(&call("book", &format!("b{number}"))).await;
        assert_eq!(answer.status(), 200);
        if number == 2 {
            deployment.store.compact();
            tokio::time::sleep(Duration::from_millis(1_500)).await;
        }
    }
    assert_eq!(deployment.engines[0].seen(), before);
}

/// Guards against dropping engines whose entries expired only because the store was unavailable.
#[actix_rt::test]
async fn entries_that_expire_during_an_outage_stay_in_use() {
    let deployment = Deployment::start(1, 1).await;
    deployment.store.set_fault(StoreFault::Busy);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    deployment.store.remove("servers", "e0");
    deployment.store.set_fault(StoreFault::None);
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    assert_eq!(deployment.gateway().call(&call("book", "b1")).await.status(), 200);
    wait_until("an entry that does not return is dropped", async || {
        deployment.gateway().call(&call("book", "b2")).await.status() == 503
    })
    .await;
}

/// Guards against new work for an engine that is removed after an outage: the grace period counts
/// from the store's recovery, not from the next change.
#[actix_rt::test]
async fn entry_removed_after_an_outage_is_dropped_in_time() {
    let deployment = Deployment::start(1, 1).await;
    deployment.store.set_fault(StoreFault::Busy);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    deployment.store.set_fault(StoreFault::None);
    tokio::time::sleep(Duration::from_millis(500)).await;
    deployment.store.remove("servers", "e0");
    tokio::time::sleep(Duration::from_millis(2_250)).await;
    assert_eq!(deployment.gateway().call(&call("book", "b1")).await.status(), 503);
}

#[actix_rt::test]
async fn directory_lists_live_instances() {
    let mut deployment = Deployment::start(3, 1).await;
    for gateway in &deployment.gateways {
        wait_until("all instances are listed", async || gateway.named().await.len() == 3).await;
    }
    deployment.gateways[2].kill().await;
    let first = deployment.gateway();
    wait_until("the killed instance is no longer listed", async || first.named().await.len() == 2)
        .await;
}

/// Guards against a planned stop that truncates a stream, refuses a late caller or leaves the
/// instance in the directory.
#[actix_rt::test]
async fn planned_stop_completes_running_streams() {
    let mut deployment = Deployment::start(2, 1).await;
    wait_until("both instances are listed", async || {
        deployment.gateways[0].named().await.len() == 2
    })
    .await;
    deployment.engines[0].act(EngineAct::Paced(Duration::from_millis(300)));
    let mut wire = deployment.gateways[1].connect().await;
    wire.send(turn("t1", "p", None, "x").as_bytes()).await;
    wire.wait_for("w1").await;
    deployment.gateways[1].begin_stop();
    wait_until("the instance is not ready", async || {
        deployment.gateways[1].ready_status().await == 503
    })
    .await;
    let late = deployment.gateways[1].call(&call("book", "b1")).await;
    assert_eq!((late.status(), late.header("connection")), (200, "close"));
    wait_until("the instance is no longer listed", async || {
        deployment.gateways[0].named().await.len() == 1
    })
    .await;
    let streamed = wire.read_message(true).await.expect("the answer");
    assert_eq!((streamed.status(), streamed.whole), (200, true));
    assert!(deployment.gateways[1].join().await, "no stream was truncated");
}

/// Guards against a misspelled mechanism in the settings that is ignored.
#[test]
fn unknown_mechanism_is_rejected_by_name() {
    let text = |without: &str| {
        format!(
            r#"{{"instance": "a", "zone": "z", "region": "r", "caller_address": "127.0.0.1:0",
            "ready_address": "127.0.0.1:0", "directory_address": "127.0.0.1:0",
            "peer_address": "127.0.0.1:0", "gossip_port": 1, "store_address": "127.0.0.1:1",
            "store_row_bytes": 65536, "memory_mb": 130, "grace_seconds": 8,
            "address_keep_seconds": 1, "without": {without}}}"#
        )
    };
    assert!(GatewaySettings::parse(&text(r#"["coordinators", "relays"]"#)).is_ok());
    let error = GatewaySettings::parse(&text(r#"["coordinator"]"#)).expect_err("it is unknown");
    assert!(error.to_string().contains("`coordinator`"), "{error}");
}
