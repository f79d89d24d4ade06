//! Connections that stay open but deliver nothing any more, while new ones work.

mod support;

use std::rc::Rc;
use std::time::Duration;

use merlinsaddle::client::{CallerClient, ClientCall};
use merlinsaddle::core::dispatch::ServiceClass;
use merlinsaddle::core::members::MemberState;
use merlinsaddle::core::outcome::CallOutcome;
use merlinsaddle::node::calls::{CallRequest, CallTarget};
use merlinsaddle::node::{Node, NodeSockets, launch_node};
use merlinsaddle::standin::{FaultSettings, LinkFault};
use rstest::rstest;
use support::sockets::{SilentRelay, loopback, serve_standins, settings};
use support::{
    TestCluster, answer_text, create_workspace, model_call, outcome, run_paused, silence,
    wait_until, workspace_change,
};
use tokio::time::{Instant, sleep, timeout};

#[derive(Debug, Clone, Copy)]
enum Link {
    Platform,
    Peers,
    Engines,
}

fn set_silent(cluster: &TestCluster, link: Link, silent: bool) {
    let faults = if silent { silence() } else { FaultSettings::default() };
    for index in 0..3 {
        match link {
            Link::Platform => cluster.gates(index).platform.set(faults.clone()),
            Link::Engines => cluster.gates(index).engines.set(faults.clone()),
            Link::Peers => {
                let fault = silent.then_some(LinkFault::Silent);
                cluster.hub.set_link(&format!("i{index}"), &format!("i{}", (index + 1) % 3), fault);
            }
        }
    }
}

/// Guards against calls or background tasks that hang on a request lost with a stalled link, and
/// against members suspected for it. The rounds differ in length to hit different tasks.
#[rstest]
fn calls_are_answered_after_links_stall(
    #[values(Link::Platform, Link::Peers, Link::Engines)] link: Link,
) {
    run_paused(async move {
        let cluster = TestCluster::start(3).await;
        cluster.workspace("w", ServiceClass::Paying, 10_000_000).await;
        let mut runs = Vec::new();
        for index in 0..12 {
            let program = cluster.start_program(index % 3, "w").await;
            let cluster = cluster.clone();
            runs.push(actix_rt::spawn(async move {
                for number in 1..=40 {
                    let node = cluster.node((index + number as usize) % 3);
                    call_until_answered(&node, model_call(program, number, "x")).await;
                    sleep(Duration::from_millis(97)).await;
                }
            }));
        }
        for round in 0..10 {
            set_silent(&cluster, link, true);
            sleep(Duration::from_millis(200)).await;
            set_silent(&cluster, link, false);
            sleep(Duration::from_millis(3000 + 170 * round)).await;
        }
        for run in runs {
            let ended = timeout(Duration::from_secs(600), run).await;
            ended.expect("no call hangs").expect("all calls are answered");
        }
        for node in cluster.nodes.borrow().values() {
            let members = node.member_list();
            assert!(members.iter().all(|member| member.state == MemberState::Alive));
            assert!(members.iter().all(|member| member.incarnation <= 3), "nobody was fenced");
        }
        cluster.node(1).change_config(workspace_change("v", 1), 0).await.expect("accepted");
        cluster.platform.update_roster("e0", |entry| entry.leaving = true);
        sleep(Duration::from_secs(3)).await;
        let taken = cluster.engines[0].calls();
        for index in 0..3 {
            assert_eq!(cluster.node(index).config_version(), 3);
            let program = cluster.start_program(index, "w").await;
            call_until_answered(&cluster.node(index), model_call(program, 1, "x")).await;
        }
        assert_eq!(cluster.engines[0].calls(), taken);
    });
}

/// Guards against a slot request that is lost on a peer link and waits for the full queue timeout
/// instead of being retried.
#[test]
fn slot_request_is_retried_after_a_link_stalls() {
    run_paused(async {
        let cluster = TestCluster::start(3).await;
        cluster.workspace("w", ServiceClass::Paying, 10_000_000).await;
        let mut programs = Vec::new();
        for _ in 0..12 {
            programs.push(cluster.start_program(0, "w").await);
        }
        set_silent(&cluster, Link::Peers, true);
        let asked = Instant::now();
        let node = cluster.node(0);
        let calls = programs.into_iter().map(async |program| {
            let mut call = model_call(program, 1, "x");
            call.target = CallTarget::Model { max_tokens: 400 };
            call_until_answered(&node, call).await;
        });
        let recovery = async {
            sleep(Duration::from_millis(200)).await;
            set_silent(&cluster, Link::Peers, false);
        };
        futures_util::future::join(futures_util::future::join_all(calls), recovery).await;
        assert!(asked.elapsed() < Duration::from_secs(12), "{:?}", asked.elapsed());
    });
}

async fn call_until_answered(node: &Rc<Node>, request: CallRequest) {
    loop {
        match outcome(node.submit(request.clone()).await).await {
            CallOutcome::NotRun(refusal) => {
                sleep(refusal.retry_after.expect("worth another try")).await;
            }
            CallOutcome::Unknown(unknown) if unknown.retryable => {}
            answered => {
                answer_text(&answered);
                return;
            }
        }
    }
}

/// Guards against streams that hang, mix or lose events when connections of callers, peers, engines
/// or the platform stall, and against a new incarnation for it.
#[test]
fn streams_survive_stalled_connections() {
    actix_rt::System::new().block_on(async {
        let at = |host: u8, port: u16| format!("{}:{port}", loopback(host));
        let standins = serve_standins(2, Some(&at(2, 7002))).await;
        let mut relays = vec![
            SilentRelay::start(&at(2, 7002), &standins.engine_address).await,
            SilentRelay::start(&at(2, 7001), &standins.platform_address).await,
        ];
        let mut nodes = Vec::new();
        let mut seeds: Vec<Box<str>> = Vec::new();
        for index in 0..2 {
            let seen = settings(index, &at(2, 7001));
            let behind = |port: u16| -> Box<str> { at(20 + index as u8, port).into() };
            let mut bound = seen.clone();
            (bound.http_address, bound.gossip_address) = (behind(7000), behind(7002));
            let sockets = NodeSockets::open(&mut bound).await.expect("the addresses are free");
            relays.push(SilentRelay::start(&seen.http_address, &bound.http_address).await);
            relays.push(SilentRelay::start(&seen.gossip_address, &bound.gossip_address).await);
            seeds.push(seen.http_address.clone());
            nodes.push(launch_node(seen, sockets, index as u64).await);
        }
        wait_until(|| nodes.iter().map(|node| node.serving_shards().len()).sum::<usize>() == 8)
            .await;
        create_workspace(&nodes[0], "w", ServiceClass::Paying, 10_000_000).await;
        wait_until(|| nodes.iter().all(|node| node.config_version() == 2)).await;
        let limit = Duration::from_secs(30);
        let calls = (0..6).map(async |_| {
            let client = CallerClient::new(seeds.clone());
            let program = client.start_program("w", "d", None, limit).await.expect("started");
            for number in 1..=4 {
                let call = ClientCall {
                    number,
                    request_id: format!("r{number}").into(),
                    input: "x".into(),
                    target: CallTarget::Model { max_tokens: 400 },
                };
                let report = client.call(&program, &call, limit).await.expect("answered");
                assert_eq!(&*report.streamed, answer_text(&report.outcome));
            }
        });
        let freezing = async {
            for relay in &relays {
                sleep(Duration::from_millis(1200)).await;
                relay.freeze();
            }
        };
        let all = futures_util::future::join(futures_util::future::join_all(calls), freezing);
        timeout(Duration::from_secs(90), all).await.expect("no call hangs");
        for node in &nodes {
            let members = node.member_list();
            assert!(members.iter().all(|member| member.state == MemberState::Alive));
            assert!(members.iter().all(|member| member.incarnation <= 2), "nobody was fenced");
        }
    });
}
