//! Orders to engines come from one instance at a time, and rollouts limit unavailable engines.

mod support;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use merlinsaddle::core::config::{ChangeBody, EngineGroupSpec};
use merlinsaddle::core::orders::{EngineArtifact, EngineRole};
use merlinsaddle::core::ownership::assign_engines;
use merlinsaddle::node::platform::{RosterEntry, RosterRole, RosterSource};
use merlinsaddle::standin::{EngineSettings, FaultSettings, StandinEngine};
use rstest::rstest;
use support::{TestCluster, lose_replies, outage, run_paused, wait_until};
use tokio::time::{Instant, sleep};

/// Covers a lease term, the clock error, the detection of a failed holder and the next claim.
const FAILOVER_TIMEOUT: Duration = Duration::from_secs(30);

struct EngineGroup {
    cluster: Rc<TestCluster>,
    engines: Vec<Rc<StandinEngine>>,
    model: &'static str,
    holder: usize,
}

impl EngineGroup {
    /// Starts engines for model `f` if they check fencing tokens, else for model `m`.
    async fn start(count: usize, checks_fencing: bool) -> Self {
        let cluster = TestCluster::start(3).await;
        let model = if checks_fencing { "f" } else { "m" };
        let mut roster = cluster.platform.list().await.expect("the platform answers");
        roster.retain(|entry| entry.role != RosterRole::Engine);
        let mut engines = Vec::new();
        for index in 0..count {
            let id: Box<str> = format!("x{index:02}").into();
            let settings = EngineSettings { checks_fencing, load_ms: 3_000, ..Default::default() };
            let engine = StandinEngine::new(settings);
            cluster.upstreams.add_engine(&id, engine.clone());
            let (role, group, address) = (RosterRole::Engine, model.into(), id.clone());
            roster.push(RosterEntry { id, role, group, address, leaving: false });
            engines.push(engine);
        }
        cluster.platform.set_roster(roster);
        sleep(Duration::from_secs(2)).await;
        let members: Vec<_> = (0..3).map(|index| cluster.node(index).instance().clone()).collect();
        let owners = assign_engines(vec![model.into()], &members);
        let holder = members.iter().position(|member| *member == owners[model]);
        let holder = holder.expect("the model is assigned to a member");
        Self { cluster, engines, model, holder }
    }

    async fn set_weights(&self, weights: &str, expected: u64, node: usize) -> u64 {
        let spec = EngineGroupSpec {
            model: self.model.into(),
            artifacts: vec![artifact("base", weights), artifact("urdu", "v1")],
            role: EngineRole::Decode,
            max_away_percent: 20,
        };
        let node = self.cluster.node(node);
        let body = ChangeBody::EngineGroup(spec);
        node.change_config(body, expected).await.expect("accepted")
    }

    async fn have_loaded(&self, weights: &str) -> bool {
        for engine in &self.engines {
            let state = engine.state().await.expect("no fault");
            let loaded = [artifact("base", weights), artifact("urdu", "v1")];
            let complete = loaded.iter().all(|item| state.loaded.contains(item));
            if !complete || state.loaded.len() != 2 || state.role != EngineRole::Decode {
                return false;
            }
        }
        true
    }

    async fn wait_until_loaded(&self, weights: &str) {
        let deadline = Instant::now() + Duration::from_secs(200);
        while !self.have_loaded(weights).await {
            assert!(Instant::now() < deadline, "the engines have not loaded {weights} in time");
            sleep(Duration::from_millis(100)).await;
        }
    }

    /// Fencing tokens of all accepted orders, sorted by the time of the order.
    fn fences(&self) -> Vec<u64> {
        let mut accepted: Vec<_> = self.engines.iter().flat_map(|engine| engine.orders()).collect();
        accepted.sort_by_key(|order| order.at);
        accepted.into_iter().map(|order| order.order.fence).collect()
    }

    /// Restarts the engines repeatedly; they lose their state, so any holder has orders to send.
    async fn restart_engines(&self, duration: Duration) {
        let deadline = Instant::now() + duration;
        while Instant::now() < deadline {
            self.engines.iter().for_each(|engine| engine.restart());
            sleep(Duration::from_millis(700)).await;
        }
    }
}

fn artifact(name: &str, version: &str) -> EngineArtifact {
    EngineArtifact { name: name.into(), version: version.into() }
}

/// Guards against a rollout that makes more engines unavailable than `max_away_percent` allows.
#[test]
fn rollout_respects_the_limit_of_unavailable_engines() {
    run_paused(async {
        let group = EngineGroup::start(10, false).await;
        let version = group.set_weights("v1", 0, 0).await;
        group.wait_until_loaded("v1").await;
        let peak = Rc::new(Cell::new(0));
        let (engines, observed) = (group.engines.clone(), peak.clone());
        let watch = actix_rt::spawn(async move {
            loop {
                let mut unavailable = 0;
                for engine in &engines {
                    unavailable += usize::from(engine.state().await.expect("no fault").busy);
                }
                observed.set(observed.get().max(unavailable));
                sleep(Duration::from_millis(20)).await;
            }
        });
        let started = Instant::now();
        group.set_weights("v2", version, 1).await;
        group.wait_until_loaded("v2").await;
        println!("10 engines took {:?}, {} unavailable at most", started.elapsed(), peak.get());
        watch.abort();
        assert!((1..=2).contains(&peak.get()), "{} of 10 were unavailable", peak.get());
        assert!(group.fences().iter().all(|fence| *fence == 1), "{:?}", group.fences());
    });
}

/// Guards against orders by a former holder that is partitioned from the store and the members.
#[rstest]
#[case::engines_ignore_fencing(false)]
#[case::engines_check_fencing(true)]
fn partitioned_holder_stops_before_its_successor_orders(#[case] checks_fencing: bool) {
    run_paused(async move {
        let group = EngineGroup::start(5, checks_fencing).await;
        group.set_weights("v1", 0, 0).await;
        group.wait_until_loaded("v1").await;
        group.cluster.set_cut(group.holder, true);
        group.cluster.gates(group.holder).engines.set(FaultSettings::default());
        group.restart_engines(FAILOVER_TIMEOUT * 2).await;
        let fences = group.fences();
        assert!(fences.is_sorted(), "a former holder sent orders: {fences:?}");
        assert_eq!(fences.last(), Some(&2), "a new holder sends orders");
    });
}

/// Guards against orders by a holder that resumes from a pause after another took over its lease.
#[rstest]
#[case::engines_ignore_fencing(false)]
#[case::engines_check_fencing(true)]
fn paused_holder_sends_no_orders_after_its_lease_expired(#[case] checks_fencing: bool) {
    run_paused(async move {
        let group = EngineGroup::start(5, checks_fencing).await;
        group.set_weights("v1", 0, 0).await;
        group.wait_until_loaded("v1").await;
        group.cluster.freeze(group.holder);
        group.restart_engines(FAILOVER_TIMEOUT * 2).await;
        group.cluster.thaw(group.holder);
        group.restart_engines(FAILOVER_TIMEOUT).await;
        let fences = group.fences();
        assert!(fences.is_sorted(), "a former holder sent orders: {fences:?}");
        assert!(fences.contains(&2), "a new holder sends orders");
        group.wait_until_loaded("v1").await;
    });
}

/// Guards against orders without a provable lease while the store fails or loses replies, and
/// against a rollout that does not continue afterwards.
#[rstest]
#[case::lost_replies(false)]
#[case::outage(true)]
fn rollout_pauses_without_the_store_and_then_completes(#[case] fails: bool) {
    run_paused(async move {
        let group = EngineGroup::start(5, false).await;
        let version = group.set_weights("v1", 0, 0).await;
        group.wait_until_loaded("v1").await;
        group.set_weights("v2", version, 0).await;
        if fails {
            group.cluster.platform.faults.set(outage());
            sleep(Duration::from_secs(20)).await;
            let before = group.fences().len();
            group.restart_engines(FAILOVER_TIMEOUT).await;
            assert_eq!(group.fences().len(), before, "orders were sent without a lease");
        } else {
            let slow = FaultSettings { delay_ms: 10, ..lose_replies(1) };
            for _ in 0..1_000 {
                group.cluster.platform.faults.set(slow.clone());
                sleep(Duration::from_millis(15)).await;
            }
        }
        group.cluster.platform.faults.set(FaultSettings::default());
        group.wait_until_loaded("v2").await;
        assert!(group.fences().is_sorted(), "{:?}", group.fences());
        wait_until(|| !group.fences().is_empty()).await;
    });
}
