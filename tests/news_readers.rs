//! One instance of a zone asks the store for news and tells the others; it may die or be cut off.

mod platform_standin;

use std::collections::BTreeMap;
use std::time::Duration;

use merlinsaddle::core::members::{GroupRole, group_role, tree_role};
use platform_standin::store::StoreFault;
use platform_standin::{Deployment, TestGateway, call, default_routes, route, wait_until};
use rstest::rstest;
use serde_json::{Value, json};
use tokio::time::Instant;

/// Instances in a zone for each reader, as the gateway has it.
const SPAN: usize = 16;

fn leads(ip: &str, others: &[&str]) -> bool {
    let names: Vec<String> =
        others.iter().chain([&ip]).map(|ip| TestGateway::instance(ip)).collect();
    let names = names.iter().map(|name| &**name);
    group_role("news", &TestGateway::instance(ip), SPAN, names) == GroupRole::Leader
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
    deployment.assert_serves_without(0).await;
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

/// Guards against readers of the store whose number grows with the instances, and against one instance
/// that has to tell all others.
#[rstest]
#[case(12, 1, 1)]
#[case(60, 4, 1)]
#[case(200, 1, 2)]
#[case(2_000, 1, 3)]
fn news_come_by_a_tree(#[case] members: usize, #[case] roots: usize, #[case] depth: usize) {
    let names: Vec<String> = (0..members).map(|number| format!("instance-{number}")).collect();
    let place = |me: &str| tree_role("news", me, 16, 4, names.iter().map(|name| &**name));
    let mut followers: BTreeMap<&str, usize> = BTreeMap::new();
    let mut own = 0;
    for name in &names {
        let mut hops = 0;
        let mut at = &**name;
        while let GroupRole::Follower(reader) = place(at) {
            if hops == 0 {
                *followers.entry(reader).or_default() += 1;
            }
            at = reader;
            hops += 1;
        }
        own += usize::from(hops == 0);
        assert!(hops <= depth, "{name} is {hops} instances from the store");
    }
    assert_eq!(own, roots);
    let most = followers.values().max().copied().unwrap_or_default();
    assert!(most <= 64, "one instance tells {most} others");
}

/// Guards against a start that reads thousands of upstreams from the store though a peer has them all.
#[actix_rt::test]
async fn a_start_reads_a_long_list_from_a_reader() {
    let mut deployment = Deployment::start(0, 1).await;
    for number in 0..1_200 {
        deployment.list_engine(&format!("far-{number}"), "127.0.0.1:1", "draining");
    }
    deployment.add_gateway(0).await;
    let read = |deployment: &Deployment| deployment.store.calls_with("/rows-get?table=servers");
    let alone = read(&deployment);
    assert!(alone >= 3, "{alone} pages");
    deployment.add_gateway(1).await;
    assert_eq!(read(&deployment) - alone, 1, "the first page tells that the list is long");
    deployment.all_named().await;
    for number in 0..4 {
        let id = format!("c{number}");
        assert_eq!(deployment.gateways[1].call(&call("book", &id)).await.status(), 200);
    }
}

/// Guards against instances that all read the routes from the store as soon as one of them has a new
/// version, and whenever a caller asks for a route that does not exist.
#[actix_rt::test]
async fn routes_are_read_once_for_all() {
    let deployment = Deployment::start(4, 1).await;
    deployment.all_named().await;
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    let read = || deployment.store.calls_with("/rows-get?table=op");
    let before = read();
    for version in 2..5 {
        deployment.set_routes(version, &with_route(&format!("added-{version}")));
        for gateway in &deployment.gateways {
            assert!(comes_into_force(gateway, &format!("added-{version}")).await);
            assert_eq!(gateway.call(&call("missing", "m")).await.status(), 404);
        }
    }
    assert_eq!(read() - before, 0, "the whole list was read");
}
