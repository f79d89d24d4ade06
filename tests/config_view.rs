//! Compares the configuration view with a model that has the complete change log and its times.

use std::collections::BTreeMap;
use std::time::Duration;

use merlinsaddle::core::config::{ChangeBody, ConfigChange, ConfigView, WorkspaceSpec};
use merlinsaddle::core::dispatch::ServiceClass;
use merlinsaddle::core::timeline::CausalStamp;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use tokio::time::Instant;

const BOUND: Duration = Duration::from_secs(3);

/// Numbers select an existing change, modulo the count.
#[derive(Debug, Clone)]
enum Step {
    /// A change of this workspace is accepted.
    Accept(u8),
    /// An accepted change arrives in any order, possibly twice.
    Deliver(usize),
    /// A snapshot is read whose head lags behind its objects by `missed` changes.
    Load {
        missed: usize,
    },
    /// A reading of the head arrives late.
    ObserveHead {
        millis_ago: u64,
    },
    /// A peer names an existing version.
    RaiseHead(usize),
    Advance(u64),
}

/// The model: every change with the millisecond of its acceptance.
#[derive(Debug, Clone, Default)]
struct ChangeLog {
    now: u64,
    changes: Vec<(u64, ConfigChange)>,
}

impl ChangeLog {
    fn head_at(&self, millis: u64) -> u64 {
        self.changes.iter().filter(|(at, _)| *at <= millis).count() as u64
    }

    fn pick(&self, choice: usize) -> Option<&ConfigChange> {
        (!self.changes.is_empty()).then(|| &self.changes[choice % self.changes.len()].1)
    }
}

impl ReferenceStateMachine for ChangeLog {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self { now: 10_000, changes: Vec::new() }).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Step> {
        prop_oneof![
            3 => (0..3u8).prop_map(Step::Accept),
            6 => (0..64usize).prop_map(Step::Deliver),
            1 => (0..3usize).prop_map(|missed| Step::Load { missed }),
            3 => (0..6000u64).prop_map(|millis_ago| Step::ObserveHead { millis_ago }),
            2 => (0..64usize).prop_map(Step::RaiseHead),
            4 => (0..1500u64).prop_map(Step::Advance),
        ]
        .boxed()
    }

    fn apply(mut log: Self, step: &Step) -> Self {
        match step {
            Step::Accept(workspace) => {
                let version = log.changes.len() as u64 + 1;
                let spec = WorkspaceSpec {
                    id: format!("w{workspace}").into(),
                    class: ServiceClass::Paying,
                    budget: version,
                    priority: 1,
                    retired: false,
                };
                let (stamp, body) = (CausalStamp::default(), ChangeBody::Workspace(spec));
                log.changes.push((log.now, ConfigChange { version, stamp, body }));
            }
            Step::Advance(millis) => log.now += millis,
            _ => {}
        }
        log
    }
}

struct ViewTest {
    view: ConfigView,
    zero: Instant,
    /// Object versions before the last step.
    seen: BTreeMap<Box<str>, u64>,
}

impl ViewTest {
    fn at(&self, millis: u64) -> Instant {
        self.zero + Duration::from_millis(millis)
    }
}

impl StateMachineTest for ViewTest {
    type SystemUnderTest = Self;
    type Reference = ChangeLog;

    fn init_test(_: &ChangeLog) -> Self {
        Self { view: ConfigView::default(), zero: Instant::now(), seen: BTreeMap::new() }
    }

    fn apply(mut test: Self, log: &ChangeLog, step: Step) -> Self {
        let known = test.view.workspaces().map(|found| (found.value.id.clone(), found.version));
        test.seen = known.collect();
        match step {
            Step::Accept(_) | Step::Advance(_) => {}
            Step::Deliver(choice) => {
                if let Some(change) = log.pick(choice) {
                    test.view.apply(change);
                }
            }
            Step::Load { missed } => {
                for (_, change) in &log.changes {
                    test.view.load(change.version, &change.body);
                }
                test.view.finish_load(log.changes.len().saturating_sub(missed) as u64);
            }
            Step::ObserveHead { millis_ago } => {
                let then = log.now - millis_ago;
                test.view.observe_head(log.head_at(then), test.at(then));
            }
            Step::RaiseHead(choice) => {
                let version = log.pick(choice).map_or(0, |change| change.version);
                test.view.raise_head(version);
            }
        }
        test
    }

    fn check_invariants(test: &Self, log: &ChangeLog) {
        let view = &test.view;
        let now = test.at(log.now);
        if view.is_current(now, BOUND) {
            let then = log.now - BOUND.as_millis() as u64;
            assert!(view.version() >= log.head_at(then), "a change is missed past the bound");
        }
        for found in view.workspaces() {
            let stands = &log.changes[found.version as usize - 1].1;
            assert_eq!(stands.body, ChangeBody::Workspace(found.value.clone()));
            let before = test.seen.get(&found.value.id).copied().unwrap_or(0);
            assert!(found.version >= before, "an older value replaced a newer one");
        }
        for (_, change) in log.changes.iter().take(view.version() as usize) {
            assert!(view.object_version(&change.body) >= change.version, "a change was skipped");
        }
        for from in 0..=view.version() {
            let Some(changes) = view.changes_since(from) else { continue };
            let versions: Vec<u64> = changes.iter().map(|change| change.version).collect();
            assert_eq!(versions, (from + 1..=view.version()).collect::<Vec<_>>());
        }
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 300,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(10),
        ..Config::default()
    })]

    /// Guards against a view that goes back, skips a change, or counts as current without one when
    /// messages are late, reordered or repeated.
    #[test]
    fn view_agrees_with_the_change_log(sequential 1..60 => ViewTest);
}
