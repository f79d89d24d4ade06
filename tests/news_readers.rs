//! One instance of a zone asks the store for news and tells the others; it may die or be cut off.

mod platform_standin;

use std::time::Duration;

use merlinsaddle::core::members::{GroupPlace, group_place};
use platform_standin::store::StoreFault;
use platform_standin::{Deployment, TestGateway, call, default_routes, route, wait_until};
use serde_json::{Value, json};
use tokio::time::Instant;

/// Instances in a zone for each reader, as the gateway has it.
const SPAN: usize = 16;

fn leads(ip: &str, others: &[&str]) -> bool {
    let names: Vec<String> =
        others.iter().chain([&ip]).map(|ip| TestGateway::instance(ip)).collect();
    let names = names.iter().map(|name| &**name);
    group_place("news", &TestGateway::instance(ip), SPAN, names) == GroupPlace::Leads
}

/// Two instances, of which the second reads the news for both and reaches the store by a way of its own.
async fn with_reader(own: &Value) -> (Deployment, std::rc::Rc<std::cell::Cell<StoreFault>>) {
    let mut deployment = Deployment::start(1, 2).await;
    let (address, fault) = deployment.store.start_with_fault("127.0.0.1").await;
    let ip = (20..).map(|number| format!("127.0.0.{number}")).find(|ip| leads(ip, &["127.0.0.2"]));
    deployment.add_gateway_at(&ip.expect("one comes first"), &address, own).await;
    deployment.all_named().await;
    // The follower has found its reader.
    tokio::time::sleep(Duration::from_millis(500)).await;
    (deployment, fault)
}

/// Waits until an instance serves a route that was added just now, for as long as operators are
/// promised at the most.
async fn comes_into_force(gateway: &TestGateway, name: &str) -> bool {
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_secs(2) {
        if gateway.call(&call(name, &format!("{name}-{:?}", begun.elapsed()))).await.status() == 200
        {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    false
}

fn with_route(name: &str) -> Vec<Value> {
    let mut routes = default_routes();
    routes.push(route(name, "unsafe"));
    routes
}

/// Three instances of a zone. One asks the store for news, 2.5 times a second; all have a new route
/// at once.
#[actix_rt::test]
async fn one_instance_asks_for_all() {
    let deployment = Deployment::start(3, 1).await;
    deployment.all_named().await;
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    let before = deployment.store.calls_with("/rows-feed");
    tokio::time::sleep(Duration::from_secs(2)).await;
    let asked = deployment.store.calls_with("/rows-feed") - before;
    assert!(asked <= 8, "the store was asked {asked} times in 2 s");
    deployment.set_routes(2, &with_route("added"));
    for gateway in &deployment.gateways {
        assert!(comes_into_force(gateway, "added").await);
    }
}

/// The reader is killed. The follower asks the store itself: a route that is added right after is in
/// force in time, and an upstream that drains right after gets no new work.
#[actix_rt::test]
async fn a_killed_reader_is_missed_by_nobody() {
    let (mut deployment, _) = with_reader(&json!({})).await;
    deployment.gateways[1].kill().await;
    deployment.set_routes(2, &with_route("added"));
    deployment.list_engine("e0", "127.0.0.1:1", "draining");
    assert!(comes_into_force(deployment.gateway(), "added").await);
    tokio::time::sleep(Duration::from_millis(800)).await;
    deployment.serves_without(0).await;
}

/// The reader's way to the store falls silent, and it has no relays: it answers its follower, but has
/// nothing new to tell. A route that is added meanwhile is in force at the follower in time, as the
/// reader says how old its news are.
#[actix_rt::test]
async fn a_reader_without_the_store_holds_nobody_back() {
    let own = json!({ "without": ["relays", "offer_withdrawal"] });
    let (deployment, fault) = with_reader(&own).await;
    fault.set(StoreFault::Silent);
    deployment.set_routes(2, &with_route("added"));
    assert!(comes_into_force(deployment.gateway(), "added").await);
    // Back again, it is followed as before.
    fault.set(StoreFault::None);
    tokio::time::sleep(Duration::from_secs(4)).await;
    let before = deployment.store.calls_with("/rows-feed");
    tokio::time::sleep(Duration::from_secs(2)).await;
    let asked = deployment.store.calls_with("/rows-feed") - before;
    assert!(asked <= 6, "the store was asked {asked} times in 2 s");
}

/// A new upstream is listed, and one is mangled by another writer. The follower is told of
/// both: only the new one gets its calls.
#[actix_rt::test]
async fn followers_are_told_of_upstreams() {
    let (deployment, _) = with_reader(&json!({})).await;
    let follower = deployment.gateway();
    let third = platform_standin::engine::StandinEngine::default();
    let address = third.start("127.0.0.1").await;
    deployment.list_engine("third", &address, "ready");
    deployment.store.put_raw("servers", "e0", b"{ nothing to read");
    deployment.store.put_raw("servers", "e1", b"nor this");
    wait_until("the third serves", async || {
        let id = format!("c{:?}", Instant::now());
        follower.call(&call("book", &id)).await.status() == 200 && third.seen() > 0
    })
    .await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let seen = third.seen();
    for number in 0..6 {
        let answer = follower.call(&call("book", &format!("d{number}"))).await;
        assert_eq!(answer.status(), 200);
    }
    assert_eq!(third.seen(), seen + 6);
}
