//! Stateful fuzzing of whole nodes against a plain list of turns.
//!
//! `FUZZ_SEED=11 FUZZ_CASES=4000 cargo test --release --test fuzz` makes the run long and draws
//! other steps; without them the run is the same each time.

mod support;

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::Runtime;
use merlinsaddle::core::dispatch::ServiceClass;
use merlinsaddle::core::outcome::CallOutcome;
use merlinsaddle::node::calls::CallRequest;
use merlinsaddle::standin::FaultSettings;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use rstest::rstest;
use support::recorder::{AttemptResult, ProgramRecorder, final_turns};
use support::{TestCluster, booking, lose_replies, model_call, outage, paused_runtime};
use tokio::time::sleep;

const INSTANCES: usize = 3;

#[derive(Debug, Clone)]
enum FuzzStep {
    /// The caller's next call, or its open one again, at some instance.
    Call(usize),
    /// A call that has its outcome already.
    Repeat(usize, u32),
    Kill(usize),
    Start(usize),
    Freeze(usize),
    Thaw(usize),
    Cut(usize),
    Mend(usize),
    LoseReplies(usize, u32),
    SlowObjects(usize),
    StoreOutage(bool),
    Wait(u64),
}

/// Which instances run and which of them are disturbed.
#[derive(Debug, Clone)]
struct FuzzModel {
    running: BTreeSet<usize>,
    frozen: BTreeSet<usize>,
    cut: BTreeSet<usize>,
}

impl ReferenceStateMachine for FuzzModel {
    type State = Self;
    type Transition = FuzzStep;

    fn init_state() -> BoxedStrategy<Self> {
        let running = (0..INSTANCES).collect();
        Just(Self { running, frozen: BTreeSet::new(), cut: BTreeSet::new() }).boxed()
    }

    fn transitions(_state: &Self) -> BoxedStrategy<FuzzStep> {
        let instance = 0..INSTANCES;
        prop_oneof![
            8 => instance.clone().prop_map(FuzzStep::Call),
            3 => (instance.clone(), 1..6_u32).prop_map(|(index, number)| {
                FuzzStep::Repeat(index, number)
            }),
            2 => instance.clone().prop_map(FuzzStep::Kill),
            3 => instance.clone().prop_map(FuzzStep::Start),
            2 => instance.clone().prop_map(FuzzStep::Freeze),
            3 => instance.clone().prop_map(FuzzStep::Thaw),
            2 => instance.clone().prop_map(FuzzStep::Cut),
            3 => instance.clone().prop_map(FuzzStep::Mend),
            2 => (instance.clone(), 1..40_u32).prop_map(|(index, count)| {
                FuzzStep::LoseReplies(index, count)
            }),
            1 => instance.prop_map(FuzzStep::SlowObjects),
            2 => any::<bool>().prop_map(FuzzStep::StoreOutage),
            4 => (50..6000_u64).prop_map(FuzzStep::Wait),
        ]
        .boxed()
    }

    fn preconditions(state: &Self, step: &FuzzStep) -> bool {
        let calm = |index: &usize| !state.frozen.contains(index) && !state.cut.contains(index);
        match step {
            FuzzStep::Kill(index) => state.running.len() > 1 && state.running.contains(index),
            FuzzStep::Start(index) => !state.running.contains(index),
            FuzzStep::Thaw(index) => state.frozen.contains(index),
            FuzzStep::Mend(index) => state.cut.contains(index),
            FuzzStep::Freeze(index)
            | FuzzStep::Cut(index)
            | FuzzStep::LoseReplies(index, _)
            | FuzzStep::SlowObjects(index) => state.running.contains(index) && calm(index),
            FuzzStep::Call(index) | FuzzStep::Repeat(index, _) => state.running.contains(index),
            FuzzStep::StoreOutage(_) | FuzzStep::Wait(_) => true,
        }
    }

    fn apply(mut state: Self, step: &FuzzStep) -> Self {
        match step {
            FuzzStep::Kill(index) => {
                state.running.remove(index);
                state.frozen.remove(index);
                state.cut.remove(index);
            }
            FuzzStep::Start(index) => _ = state.running.insert(*index),
            FuzzStep::Freeze(index) => _ = state.frozen.insert(*index),
            FuzzStep::Thaw(index) => _ = state.frozen.remove(index),
            FuzzStep::Cut(index) => _ = state.cut.insert(*index),
            FuzzStep::Mend(index) => _ = state.cut.remove(index),
            _ => {}
        }
        state
    }
}

struct FuzzCluster {
    runtime: Runtime,
    caller: FuzzCaller,
}

/// One caller, and the oracle: a list of the outcomes it was told.
struct FuzzCaller {
    cluster: Rc<TestCluster>,
    recorder: Rc<ProgramRecorder>,
    turns: Vec<CallOutcome>,
}

impl FuzzCaller {
    fn request(&self, number: u32) -> CallRequest {
        let input = format!("input {number}");
        if number.is_multiple_of(2) {
            booking(self.recorder.program, number, &input)
        } else {
            model_call(self.recorder.program, number, &input)
        }
    }

    async fn step(&mut self, step: &FuzzStep) {
        let cluster = self.cluster.clone();
        match *step {
            FuzzStep::Call(index) => self.call(index, self.turns.len() as u32 + 1).await,
            FuzzStep::Repeat(index, number) if number as usize <= self.turns.len() => {
                self.call(index, number).await;
            }
            FuzzStep::Repeat(..) => {}
            FuzzStep::Kill(index) => cluster.kill(index),
            FuzzStep::Start(index) => {
                cluster.platform.faults.set(FaultSettings::default());
                cluster.start_node(index).await;
            }
            FuzzStep::Freeze(index) => cluster.freeze(index),
            FuzzStep::Thaw(index) => cluster.thaw(index),
            FuzzStep::Cut(index) => cluster.set_cut(index, true),
            FuzzStep::Mend(index) => cluster.set_cut(index, false),
            FuzzStep::LoseReplies(index, count) => {
                cluster.gates(index).platform.set(lose_replies(count));
            }
            FuzzStep::SlowObjects(index) => {
                let slow = FaultSettings { delay_ms: 1_900, ..FaultSettings::default() };
                cluster.gates(index).objects.set(slow);
            }
            FuzzStep::StoreOutage(true) => cluster.platform.faults.set(outage()),
            FuzzStep::StoreOutage(false) => cluster.platform.faults.set(FaultSettings::default()),
            FuzzStep::Wait(millis) => {
                sleep(Duration::from_millis(millis)).await;
            }
        }
    }

    /// One attempt; what it tells as final must be, and stay, what the list says.
    async fn call(&mut self, index: usize, number: u32) {
        let request = self.request(number);
        let attempt = self.recorder.attempt(&self.cluster, index, &request);
        let AttemptResult::Outcome(outcome) = attempt.await else { return };
        match &outcome {
            CallOutcome::NotRun(refusal) => {
                assert!(refusal.retry_after.is_some(), "call {number}: {refusal:?}");
            }
            CallOutcome::Unknown(call) if call.retryable => {}
            _ => match self.turns.get(number as usize - 1) {
                Some(known) => assert_eq!(*known, outcome, "call {number}"),
                None => self.turns.push(outcome),
            },
        }
    }

    /// Mends everything and compares what is kept with what was told.
    async fn settle(&mut self, model: &FuzzModel) {
        let (cluster, recorder) = (self.cluster.clone(), self.recorder.clone());
        cluster.platform.faults.set(FaultSettings::default());
        model.frozen.iter().for_each(|index| cluster.thaw(*index));
        model.running.iter().for_each(|index| cluster.set_cut(*index, false));
        let last = self.request(self.turns.len() as u32 + 1);
        cluster.settled().await;
        let told = recorder.insist(&cluster, last).await;
        recorder.check(&cluster).await;
        let kept = final_turns(&cluster, recorder.program).await;
        self.turns.push(told);
        let kept: Vec<_> = kept.into_iter().map(|turn| turn.outcome).collect();
        assert_eq!(kept, self.turns);
        let executions = cluster.service.executions();
        assert!(executions.values().all(|count| *count == 1), "{executions:?}");
    }
}

struct FuzzTest;

impl StateMachineTest for FuzzTest {
    type SystemUnderTest = FuzzCluster;
    type Reference = FuzzModel;

    fn init_test(_model: &FuzzModel) -> FuzzCluster {
        let runtime = paused_runtime();
        let (cluster, recorder) = runtime.block_on(async {
            let cluster = TestCluster::start(INSTANCES).await;
            cluster.workspace("w", ServiceClass::Paying, 1_000_000).await;
            let recorder = ProgramRecorder::new(cluster.start_program(0, "w").await);
            (cluster, recorder)
        });
        FuzzCluster { runtime, caller: FuzzCaller { cluster, recorder, turns: Vec::new() } }
    }

    fn apply(mut system: FuzzCluster, _model: &FuzzModel, step: FuzzStep) -> FuzzCluster {
        system.runtime.block_on(system.caller.step(&step));
        system
    }

    fn teardown(mut system: FuzzCluster, model: FuzzModel) {
        system.runtime.block_on(system.caller.settle(&model));
    }
}

fn run_steps(steps: Vec<FuzzStep>) {
    let running = (0..INSTANCES).collect();
    let mut model = FuzzModel { running, frozen: BTreeSet::new(), cut: BTreeSet::new() };
    let mut system = FuzzTest::init_test(&model);
    for step in steps {
        model = FuzzModel::apply(model, &step);
        system = FuzzTest::apply(system, &model, step);
    }
    FuzzTest::teardown(system, model);
}

/// Guards against deleting a checkpoint object on the evidence of rows read before it was made: a
/// shard of another instance may still name it and could not be loaded again.
#[test]
fn a_checkpoint_object_is_kept_while_any_shard_names_it() {
    use FuzzStep::{Call, Cut, Kill, LoseReplies, Start, StoreOutage, Wait};
    let steps = [
        vec![Wait(3085), Call(0), LoseReplies(0, 15), Call(0), Kill(2), Start(2), Cut(0)],
        vec![StoreOutage(true), Wait(3434), Call(0), Wait(357), Call(0), Call(1), Wait(1209)],
        vec![StoreOutage(false), LoseReplies(1, 21), Call(0), Call(0)],
    ];
    run_steps(steps.concat());
}

/// Guards against deleting the segments of a checkpoint that took effect although its reply was
/// lost: a shard that has moved may still need them.
#[test]
fn segments_of_an_unanswered_checkpoint_are_kept() {
    use FuzzStep::{Call, Freeze, Kill, LoseReplies, Start, Wait};
    let steps = [
        vec![Call(0), Kill(2), Freeze(0), Wait(4418), Call(1), Kill(0), Start(0), Kill(0)],
        vec![LoseReplies(1, 22), Wait(3347), Start(0), Wait(4120)],
    ];
    run_steps(steps.concat());
}

/// Guards against refusing calls for want of the store after it answers again, when replies to
/// writes are lost while other instances freeze, die and start.
#[rstest]
#[case::frozen_and_killed(vec![
    FuzzStep::Call(0), FuzzStep::Call(0), FuzzStep::Freeze(0), FuzzStep::Wait(1519),
    FuzzStep::Call(0), FuzzStep::Call(1), FuzzStep::LoseReplies(2, 6), FuzzStep::Wait(1190),
    FuzzStep::Freeze(1), FuzzStep::Freeze(2), FuzzStep::Call(2), FuzzStep::Kill(0),
    FuzzStep::Call(1), FuzzStep::Start(0), FuzzStep::Call(0), FuzzStep::Thaw(2),
    FuzzStep::Wait(1500),
])]
#[case::outage_and_slow_objects(vec![
    FuzzStep::Freeze(0), FuzzStep::Wait(4699), FuzzStep::Call(1), FuzzStep::StoreOutage(true),
    FuzzStep::Call(1), FuzzStep::LoseReplies(2, 16), FuzzStep::SlowObjects(2),
    FuzzStep::Wait(3486), FuzzStep::StoreOutage(false), FuzzStep::Call(1), FuzzStep::Wait(2786),
    FuzzStep::Kill(0), FuzzStep::Kill(1), FuzzStep::Start(0),
])]
#[case::kills_in_series(vec![
    FuzzStep::Call(0), FuzzStep::Kill(0), FuzzStep::LoseReplies(1, 26), FuzzStep::Call(2),
    FuzzStep::Kill(2), FuzzStep::Start(2), FuzzStep::Wait(4424), FuzzStep::Call(1),
    FuzzStep::Start(0), FuzzStep::Call(0), FuzzStep::Kill(0), FuzzStep::Repeat(1, 3),
    FuzzStep::StoreOutage(true), FuzzStep::Wait(3716), FuzzStep::Wait(4258),
    FuzzStep::LoseReplies(2, 6), FuzzStep::Wait(2276), FuzzStep::Start(0), FuzzStep::Wait(5251),
])]
fn lost_replies_do_not_leave_an_outage_behind(#[case] steps: Vec<FuzzStep>) {
    run_steps(steps);
}

/// A fixed seed and few cases, so that each run gives the same verdict in little time.
fn config() -> Config {
    let cases = std::env::var("FUZZ_CASES").ok().and_then(|text| text.parse().ok()).unwrap_or(32);
    let seed = std::env::var("FUZZ_SEED").ok().and_then(|text| text.parse().ok()).unwrap_or(7);
    Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 400,
        // Each case rejects the steps that do not fit the model's state.
        max_local_rejects: cases.saturating_mul(100).max(65_536),
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    /// Whatever the steps, what one caller was told as final never changes, equals what is kept
    /// in the end, and no booking ran twice.
    #[test]
    fn nodes_agree_with_a_list_of_turns(sequential 5..40 => FuzzTest);
}
