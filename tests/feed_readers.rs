//! One instance of a zone reads the change feed from the store for the others, and may fail.

mod platform_standin;

use std::collections::BTreeMap;
use std::time::Duration;

use merlinsaddle::core::members::{GroupRole, group_role, tree_role};
use platform_standin::store::StoreFault;
use platform_standin::{Deployment, TestGateway, call, default_routes, route, wait_until};
use rstest::rstest;
use serde_json::{Value, json};
use tokio::time::Instant;

/// Instances per reader; same value as in the gateway.
const SPAN: usize = 16;

fn is_leader(ip: &str, others: &[&str]) -> bool {
    let names: Vec<String> =
        others.iter().chain([&ip]).map(|ip| TestGateway::instance(ip)).collect();
    let names = names.iter().map(|name| &**name);
    group_role("news", &TestGateway::instance(ip), SPAN, names) == GroupRole::Leader
}

/// Starts two instances. The second one is the reader and reaches the store over a connection that
/// can fail separately.
async fn start_with_reader(
    settings: &Value,
) -> (Deployment, std::rc::Rc<std::cell::Cell<StoreFault>>) {
    let mut deployment = Deployment::start(1, 2).await;
    let (address, fault) = deployment.store.start_with_fault("127.0.0.1").await;
    let ip =
        (20..).map(|number| format!("127.0.0.{number}")).find(|ip| is_leader(ip, &["127.0.0.2"]));
    deployment.add_gateway_at(&ip.expect("some instance is the leader"), &address, settings).await;
    deployment.all_named().await;
    // Time for the follower to find its reader.
    tokio::time::sleep(Duration::from_millis(500)).await;
    (deployment, fault)
}

/// Returns whether an instance serves a new route within the promised two seconds.
async fn is_in_force_in_time(gateway: &TestGateway, name: &str) -> bool {
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

fn routes_with(name: &str) -> Vec<Value> {
    let mut routes = default_routes();
    routes.push(route(name, "unsafe"));
    routes
}

/// Guards against a store load that grows with the instances of a zone.
#[actix_rt::test]
async fn one_instance_reads_the_store_for_its_zone() {
    let deployment = Deployment::start(3, 1).await;
    deployment.all_named().await;
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    let before = deployment.store.calls_with("/rows-feed");
    tokio::time::sleep(Duration::from_secs(2)).await;
    let requests = deployment.store.calls_with("/rows-feed") - before;
    assert!(requests <= 8, "{requests} requests reached the store in 2 s");
    deployment.set_routes(2, &routes_with("added"));
    for gateway in &deployment.gateways {
        assert!(is_in_force_in_time(gateway, "added").await);
    }
}

/// Guards against changes that a follower misses when its reader dies.
#[actix_rt::test]
async fn follower_of_a_killed_reader_reads_the_store() {
    let (mut deployment, _) = start_with_reader(&json!({})).await;
    deployment.gateways[1].kill().await;
    deployment.set_routes(2, &routes_with("added"));
    deployment.list_engine("e0", "127.0.0.1:1", "draining");
    assert!(is_in_force_in_time(deployment.gateway(), "added").await);
    tokio::time::sleep(Duration::from_millis(800)).await;
    deployment.assert_serves_without(0).await;
}

/// Guards against a follower that trusts the outdated data of a reader without access to the store.
#[actix_rt::test]
async fn follower_leaves_a_reader_with_outdated_data() {
    let settings = json!({ "without": ["relays", "offer_withdrawal"] });
    let (deployment, fault) = start_with_reader(&settings).await;
    fault.set(StoreFault::Silent);
    deployment.set_routes(2, &routes_with("added"));
    assert!(is_in_force_in_time(deployment.gateway(), "added").await);
    // After its recovery the reader is followed again.
    fault.set(StoreFault::None);
    tokio::time::sleep(Duration::from_secs(4)).await;
    let before = deployment.store.calls_with("/rows-feed");
    tokio::time::sleep(Duration::from_secs(2)).await;
    let requests = deployment.store.calls_with("/rows-feed") - before;
    assert!(requests <= 6, "{requests} requests reached the store in 2 s");
}

/// Guards against a follower that misses new or malformed entries of upstreams.
#[actix_rt::test]
async fn followers_receive_changes_of_upstreams() {
    let (deployment, _) = start_with_reader(&json!({})).await;
    let follower = deployment.gateway();
    let third = platform_standin::engine::StandinEngine::default();
    let address = third.start("127.0.0.1").await;
    deployment.list_engine("third", &address, "ready");
    deployment.store.put_raw("servers", "e0", b"{ nothing to read");
    deployment.store.put_raw("servers", "e1", b"nor this");
    wait_until("the third engine serves", async || {
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

/// Guards against a number of readers that grows with the instances, and against one reader that
/// serves all others.
#[rstest]
#[case(12, 1, 1)]
#[case(60, 4, 1)]
#[case(200, 1, 2)]
#[case(2_000, 1, 3)]
fn readers_form_a_tree_of_bounded_depth(
    #[case] members: usize,
    #[case] roots: usize,
    #[case] depth: usize,
) {
    let names: Vec<String> = (0..members).map(|number| format!("instance-{number}")).collect();
    let role_of = |me: &str| tree_role("news", me, 16, 4, names.iter().map(|name| &**name));
    let mut followers: BTreeMap<&str, usize> = BTreeMap::new();
    let mut root_count = 0;
    for name in &names {
        let mut hops = 0;
        let mut at = &**name;
        while let GroupRole::Follower(reader) = role_of(at) {
            if hops == 0 {
                *followers.entry(reader).or_default() += 1;
            }
            at = reader;
            hops += 1;
        }
        root_count += usize::from(hops == 0);
        assert!(hops <= depth, "{name} is {hops} instances from the store");
    }
    assert_eq!(root_count, roots);
    let max_followers = followers.values().max().copied().unwrap_or_default();
    assert!(max_followers <= 64, "one reader serves {max_followers} followers");
}

/// Guards against a start that reads all upstreams from the store although a peer has them.
#[actix_rt::test]
async fn starting_instance_reads_a_long_list_from_a_reader() {
    let mut deployment = Deployment::start(0, 1).await;
    for number in 0..1_200 {
        deployment.list_engine(&format!("far-{number}"), "127.0.0.1:1", "draining");
    }
    deployment.add_gateway(0).await;
    let read = |deployment: &Deployment| deployment.store.calls_with("/rows-get?table=servers");
    let alone = read(&deployment);
    assert!(alone >= 3, "{alone} pages");
    deployment.add_gateway(1).await;
    assert_eq!(read(&deployment) - alone, 1, "only the first page is read from the store");
    deployment.all_named().await;
    for number in 0..4 {
        let id = format!("c{number}");
        assert_eq!(deployment.gateways[1].call(&call("book", &id)).await.status(), 200);
    }
}

/// Guards against instances that all read the table of routes for a new version or an unknown
/// route.
#[actix_rt::test]
async fn new_routes_are_sent_as_changes() {
    let deployment = Deployment::start(4, 1).await;
    deployment.all_named().await;
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    let read = || deployment.store.calls_with("/rows-get?table=op");
    let before = read();
    for version in 2..5 {
        deployment.set_routes(version, &routes_with(&format!("added-{version}")));
        for gateway in &deployment.gateways {
            assert!(is_in_force_in_time(gateway, &format!("added-{version}")).await);
            assert_eq!(gateway.call(&call("missing", "m")).await.status(), 404);
        }
    }
    assert_eq!(read() - before, 0, "the complete table was read");
}
