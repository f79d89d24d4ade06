//! What instances learn while they run: routes, upstreams, each other; and how they stop.

mod platform_standin;

use std::time::Duration;

use merlinsaddle::gateway::GatewaySettings;
use platform_standin::engine::{EngineAct, StandinEngine};
use platform_standin::store::{StandinStore, StoreFault};
use platform_standin::{
    Deployment, TestGateway, call, default_routes, manifest, route, turn, wait_until,
};
use serde_json::json;

/// An instance starts before the operator has written anything. It must not deny what it does not
/// know yet: callers give up for good after a 404.
#[actix_rt::test]
async fn without_routes_nothing_is_denied() {
    let store = StandinStore::default();
    let address = store.start("127.0.0.1").await;
    let gateway = TestGateway::start("127.0.0.2", &address, 0, &[]);
    let early = gateway.call(&call("book", "b1")).await;
    assert_eq!(early.status(), 503);
    assert!(!early.header("retry-after").is_empty());
    assert_eq!(gateway.ready_status().await, 503);
    store.put("op", "config", &manifest(1, &default_routes()));
    gateway.ready().await;
    assert_eq!(gateway.call(&call("missing", "b2")).await.status(), 404);
}

/// A new route is in force within two seconds, a malformed configuration changes nothing, and an
/// older version that arrives late brings nothing back.
#[actix_rt::test]
async fn routes_go_forward_only() {
    let deployment = Deployment::start(1, 1).await;
    let gateway = deployment.gateway();
    let mut routes = default_routes();
    routes.push(route("added", "unsafe"));
    deployment.set_routes(5, &routes);
    wait_until("the route is there", async || {
        gateway.call(&call("added", "a1")).await.status() == 200
    })
    .await;
    deployment.store.put_raw("op", "config", b"{ not a configuration");
    deployment.set_routes(4, &default_routes());
    deployment.store.put("op", "other", &json!({ "unrelated": true }));
    tokio::time::sleep(Duration::from_millis(700)).await;
    assert_eq!(gateway.call(&call("added", "a2")).await.status(), 200);
}

/// The store forgets its history while upstreams and routes change: all must be read anew.
#[actix_rt::test]
async fn a_forgotten_history_is_read_anew() {
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

/// An upstream says that it is leaving: within two seconds it gets no new work.
#[actix_rt::test]
async fn a_draining_upstream_gets_no_new_work() {
    let deployment = Deployment::start(1, 2).await;
    deployment.list_engine("e0", "127.0.0.1:1", "draining");
    tokio::time::sleep(Duration::from_secs(2)).await;
    deployment.assert_serves_without(0).await;
}

/// One of two instances reaches the store by the other only. Callers that ask are sent to the other
/// one, which serves them without the detour, until the direct way works again. With the whole store
/// away both are named: neither is better.
#[actix_rt::test]
async fn an_instance_behind_a_cut_sends_callers_elsewhere() {
    let mut deployment = Deployment::start(1, 1).await;
    let (address, fault) = deployment.store.start_with_fault("127.0.0.1").await;
    deployment.add_gateway_at("127.0.0.9", &address, &json!({})).await;
    let named = async |count: usize| {
        wait_until("each instance names so many", async || {
            let first = deployment.gateways[0].named().await;
            let second = deployment.gateways[1].named().await;
            first.len() == count && second.len() == count
        })
        .await;
    };
    named(2).await;
    fault.set(StoreFault::Silent);
    named(1).await;
    let only = deployment.gateways[0].named().await;
    assert_eq!(only, [deployment.gateways[0].settings.caller_address.to_string()]);
    fault.set(StoreFault::None);
    named(2).await;
    deployment.store.set_fault(StoreFault::Busy);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    named(2).await;
}

/// An engine drains and starts again under its id, at another address. Callers are served by its new
/// life; a beat of the former one that the store applies late changes nothing.
#[actix_rt::test]
async fn an_engine_starts_again_under_its_id() {
    let deployment = Deployment::start(1, 0).await;
    let (first, second) = (StandinEngine::default(), StandinEngine::default());
    let addresses = [first.start("127.0.0.1").await, second.start("127.0.0.1").await];
    deployment.list_incarnation("e", &addresses[0], "ready", 1_000);
    let book = async |id: &str| deployment.gateway().call(&call("book", id)).await.status();
    wait_until("it serves", async || book("b1").await == 200).await;
    deployment.list_incarnation("e", &addresses[0], "draining", 1_000);
    wait_until("it drains", async || book("b2").await == 503).await;
    deployment.list_incarnation("e", &addresses[1], "ready", 2_000);
    wait_until("its new life serves", async || book("b3").await == 200).await;
    deployment.list_incarnation("e", &addresses[0], "ready", 1_000);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before = first.seen();
    assert_eq!(book("b4").await, 200);
    assert_eq!(first.seen(), before);
}

/// Another writer puts rows into the list of engines that name none, one of them in the place of a
/// good entry. The others go on serving, also after the list was read anew.
#[actix_rt::test]
async fn entries_of_another_writer_name_nobody() {
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

/// The engines' entries lapse while the store is away, and return after it. Dropping them on the
/// first news would refuse all work for two seconds.
#[actix_rt::test]
async fn entries_that_lapse_in_an_outage_stay_in_use() {
    let deployment = Deployment::start(1, 1).await;
    deployment.store.set_fault(StoreFault::Busy);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    deployment.store.remove("servers", "e0");
    deployment.store.set_fault(StoreFault::None);
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    assert_eq!(deployment.gateway().call(&call("book", "b1")).await.status(), 200);
    wait_until("an entry that stays away is dropped", async || {
        deployment.gateway().call(&call("book", "b2")).await.status() == 503
    })
    .await;
}

/// An instance has no way to the store for a while. After that an engine leaves without a word, as
/// some do: its entry is just removed. The doubt counts from the store's return, not from the next
/// news, else the engine gets new work for longer than two seconds at a moment that is long calm.
#[actix_rt::test]
async fn an_entry_removed_after_an_outage_is_soon_believed() {
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
async fn instances_name_each_other() {
    let mut deployment = Deployment::start(3, 1).await;
    for gateway in &deployment.gateways {
        wait_until("all are named", async || gateway.named().await.len() == 3).await;
    }
    deployment.gateways[2].kill().await;
    let first = deployment.gateway();
    wait_until("the killed one is not", async || first.named().await.len() == 2).await;
}

/// An instance is stopped while a turn streams. The turn must end whole, others must no longer
/// name the instance, and a caller that still connects is served meanwhile.
#[actix_rt::test]
async fn a_planned_stop_cuts_nothing_off() {
    let mut deployment = Deployment::start(2, 1).await;
    wait_until("both are named", async || deployment.gateways[0].named().await.len() == 2).await;
    deployment.engines[0].act(EngineAct::Paced(Duration::from_millis(300)));
    let mut wire = deployment.gateways[1].connect().await;
    wire.send(turn("t1", "p", None, "x").as_bytes()).await;
    wire.wait_for("w1").await;
    deployment.gateways[1].begin_stop();
    wait_until("it says that it is not ready", async || {
        deployment.gateways[1].ready_status().await == 503
    })
    .await;
    let late = deployment.gateways[1].call(&call("book", "b1")).await;
    assert_eq!((late.status(), late.header("connection")), (200, "close"));
    wait_until("it is named no more", async || deployment.gateways[0].named().await.len() == 1)
        .await;
    let streamed = wire.read_message(true).await.expect("the answer");
    assert_eq!((streamed.status(), streamed.whole), (200, true));
    assert!(deployment.gateways[1].join().await, "nothing was cut off");
}

/// An operator misspells a mechanism to do without: the settings are refused, and the error names it.
#[test]
fn an_unknown_mechanism_is_refused_by_name() {
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
