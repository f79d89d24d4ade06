//! Steps the scheduler's own types against the engine model on a virtual clock.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;

use super::engine::{EngineCall, FakeEngine};
use super::faults::EngineFault;
use super::load::{LoadPlan, LoadProfile};
use super::report::{ProgramSample, RunReport};
use super::setup::{PolicySetup, SlotControl};
use crate::core::cache::{PrefixKey, ResidencyMap, WorkingSet};
use crate::core::dispatch::{EngineChooser, EngineLoad, EngineSlots, ServiceClass, SlotEvent};
use crate::core::ids::{InstanceId, PermitId, Tokens, UpstreamId};
use crate::core::ownership::assign_engines;

/// How often queues are looked at, as in the node.
const TICK: Duration = Duration::from_millis(50);
/// How often engines take the load that they report later.
pub(super) const REPORT_INTERVAL: Duration = Duration::from_millis(250);
const TICKS_PER_REPORT: u64 = 5;
pub(super) const REPORTS_KEPT: usize = 13;
/// A message between two instances, one way.
pub(super) const HOP: Duration = Duration::from_millis(1);
/// How long an ended program's memory stays held.
const RELEASE_DELAY: Duration = Duration::from_millis(500);
/// How long a program that is not seen counts as living on an engine.
const PROGRAM_IDLE: Duration = Duration::from_secs(60);
/// A run that has not ended by then is cut off, and says so.
const RUN_LIMIT: u32 = 10;

/// Something that happens to a program or the system.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum DriverEvent {
    Arrive(usize),
    Ask(usize),
    Enqueue(usize),
    Begin(usize),
    Finish(usize),
    Next(usize),
    /// The call's engine has died.
    Lost(usize),
    Fault(usize),
    Release(usize),
    Evicted {
        engine: usize,
        program: u64,
    },
    Tick,
}

/// Where a call stands.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum CallPhase {
    Idle,
    /// On its way to a queue, in it, or on its way back.
    Queued,
    /// In the engine's own backlog.
    Sent,
    Running {
        first_token: Duration,
        finish: Duration,
    },
}

#[derive(Debug)]
pub(super) struct ProgramRun {
    pub(super) home: usize,
    pub(super) step: usize,
    /// Tokens of its history, shared prefix included.
    pub(super) context: Tokens,
    pub(super) attained: Tokens,
    /// Tokens of its history that some engine has computed.
    pub(super) computed: Tokens,
    pub(super) parent: Option<usize>,
    pub(super) started: Duration,
    pub(super) phase: CallPhase,
    /// Raised with every change of the call, so that events of an earlier state are passed over.
    pub(super) epoch: u64,
    pub(super) asked: Duration,
    pub(super) engine: usize,
    pub(super) permit: PermitId,
    pub(super) received: u32,
    pub(super) engines: Vec<usize>,
    pub(super) call: Option<EngineCall>,
    pub(super) ended: bool,
    pub(super) exported: bool,
    /// Engines that failed the present call.
    pub(super) avoid: Vec<usize>,
}

/// One run.
pub struct PolicyDriver<'a> {
    pub(super) setup: &'a PolicySetup,
    pub(super) profile: &'a LoadProfile,
    pub(super) load: &'a LoadPlan,
    pub(super) base: Instant,
    pub(super) now: Duration,
    pub(super) rng: SmallRng,
    events: BinaryHeap<Reverse<(Duration, u64, DriverEvent, u64)>>,
    sequence: u64,
    pub(super) chooser: Box<dyn EngineChooser>,
    pub(super) engine_ids: Vec<UpstreamId>,
    pub(super) instance_ids: Vec<InstanceId>,
    pub(super) owners: Vec<usize>,
    pub(super) engines: Vec<FakeEngine>,
    pub(super) queues: Vec<EngineSlots>,
    pub(super) faults: Vec<EngineFault>,
    pub(super) residency: Vec<ResidencyMap>,
    pub(super) programs: Vec<ProgramRun>,
    pub(super) permits: BTreeMap<PermitId, usize>,
    pub(super) reports: VecDeque<Vec<EngineLoad>>,
    /// Reports an instance sees late, by instance and engine.
    pub(super) lags: Vec<Vec<usize>>,
    pub(super) hints: BTreeMap<(usize, usize), (Duration, EngineLoad)>,
    /// Calls of an instance under way on an engine.
    pub(super) outstanding: BTreeMap<(usize, usize), usize>,
    pub(super) seen_shared: BTreeMap<PrefixKey, Tokens>,
    pub(super) next_permit: PermitId,
    ticks: u64,
    live: usize,
    pub(super) report: RunReport,
}

impl<'a> PolicyDriver<'a> {
    pub fn new(
        setup: &'a PolicySetup,
        profile: &'a LoadProfile,
        load: &'a LoadPlan,
        seed: u64,
    ) -> Self {
        let name = |prefix: &str, index| -> Box<str> { format!("{prefix}{index}").into() };
        let engine_ids: Vec<_> = (0..profile.engines).map(|index| name("engine", index)).collect();
        let instance_ids: Vec<_> =
            (0..profile.instances).map(|index| name("instance", index)).collect();
        let assigned = assign_engines(engine_ids.clone(), &instance_ids);
        let owner = |engine| instance_ids.iter().position(|id| *id == assigned[engine]);
        let owners = engine_ids.iter().map(|id| owner(id).expect("every engine has an owner"));
        let owners = owners.collect();
        let mut rng = SmallRng::seed_from_u64(seed);
        let lags = (0..profile.instances)
            .map(|_| (0..profile.engines).map(|_| rng.random_range(2..REPORTS_KEPT)).collect())
            .collect();
        let engine = |_| FakeEngine::new(profile.slots, profile.memory);
        let mut driver = Self {
            setup,
            profile,
            load,
            base: Instant::now(),
            now: Duration::ZERO,
            rng,
            events: BinaryHeap::new(),
            sequence: 0,
            chooser: setup.rule.chooser(),
            owners,
            engines: (0..profile.engines).map(engine).collect(),
            queues: Vec::new(),
            faults: vec![EngineFault::default(); profile.engines],
            residency: instance_ids.iter().map(|_| ResidencyMap::default()).collect(),
            programs: load.programs.iter().map(|_| ProgramRun::new()).collect(),
            permits: BTreeMap::new(),
            reports: VecDeque::new(),
            lags,
            hints: BTreeMap::new(),
            outstanding: BTreeMap::new(),
            seen_shared: BTreeMap::new(),
            next_permit: 0,
            ticks: 0,
            live: 0,
            report: RunReport::default(),
            engine_ids,
            instance_ids,
        };
        driver.queues = driver.make_queues();
        driver
    }

    fn make_queues(&self) -> Vec<EngineSlots> {
        let slots = self.profile.slots;
        let instances = self.profile.instances;
        let queue = |slots: usize| self.make_queue(slots);
        match self.setup.control {
            SlotControl::Owner => self.engines.iter().map(|_| queue(slots)).collect(),
            SlotControl::Alone | SlotControl::TwoChoices => Vec::new(),
            SlotControl::StaticShares => {
                let share = |index: usize| {
                    let (engine, instance) = (index / instances, index % instances);
                    let extra = (instance + engine) % instances < slots % instances;
                    queue((slots / instances + usize::from(extra)).max(1))
                };
                (0..self.engines.len() * instances).map(share).collect()
            }
        }
    }

    pub(super) fn make_queue(&self, slots: usize) -> EngineSlots {
        let memory = WorkingSet::new(self.profile.memory, PROGRAM_IDLE);
        let mut queue = EngineSlots::new(slots, memory, self.setup.order.policy());
        if let Some(bounds) = self.setup.admission {
            queue.limit_cold_programs(bounds);
        }
        queue
    }

    /// Runs until every program has ended.
    pub fn run(mut self) -> RunReport {
        for index in 0..self.load.programs.len() {
            let plan = &self.load.programs[index];
            if !plan.is_child {
                self.schedule(plan.arrives, DriverEvent::Arrive(index), 0);
                self.live += 1;
            }
        }
        for (index, fault) in self.profile.faults.iter().enumerate() {
            self.schedule(fault.at, DriverEvent::Fault(index), 0);
        }
        self.schedule(Duration::ZERO, DriverEvent::Tick, 0);
        let limit = self.profile.span * RUN_LIMIT;
        while self.live > 0 {
            let Some(Reverse((at, _, event, epoch))) = self.events.pop() else { break };
            if at > limit {
                break;
            }
            self.now = at;
            self.step(event, epoch);
        }
        self.report.unfinished = self.live;
        self.report.elapsed = self.now;
        for engine in &self.engines {
            self.report.idle_token_seconds += engine.idle.token_seconds;
            self.report.unused_token_seconds += engine.idle.unused;
        }
        self.report
    }

    pub(super) fn schedule(&mut self, at: Duration, event: DriverEvent, epoch: u64) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event, epoch)));
    }

    /// Schedules the next thing that happens to a program's call; what was scheduled before it
    /// is void.
    pub(super) fn follow_up(&mut self, program: usize, after: Duration, event: DriverEvent) {
        self.programs[program].epoch += 1;
        let epoch = self.programs[program].epoch;
        self.schedule(self.now + after, event, epoch);
    }

    fn is_current(&self, program: usize, epoch: u64) -> bool {
        self.programs[program].epoch == epoch
    }

    fn step(&mut self, event: DriverEvent, epoch: u64) {
        match event {
            DriverEvent::Arrive(program) => self.arrive(program, None),
            DriverEvent::Ask(program) if self.is_current(program, epoch) => self.ask(program),
            DriverEvent::Enqueue(program) if self.is_current(program, epoch) => {
                self.enqueue(program);
            }
            DriverEvent::Begin(program) if self.is_current(program, epoch) => self.begin(program),
            DriverEvent::Finish(program) if self.is_current(program, epoch) => {
                self.finish(program);
            }
            DriverEvent::Next(program) if self.is_current(program, epoch) => self.next(program),
            DriverEvent::Lost(program) if self.is_current(program, epoch) => self.lose(program),
            DriverEvent::Fault(index) => self.fail(index),
            DriverEvent::Release(program) => self.release(program),
            DriverEvent::Evicted { engine, program } => self.hear_eviction(engine, program),
            DriverEvent::Tick => self.tick(),
            _ => {}
        }
    }

    pub(super) fn at(&self, time: Duration) -> Instant {
        self.base + time
    }

    pub(super) fn class(&self, program: usize) -> ServiceClass {
        self.load.workspaces[self.load.programs[program].workspace].class
    }

    pub(super) fn shared_key(&self, program: usize) -> PrefixKey {
        let plan = &self.load.programs[program];
        PrefixKey::Shared {
            workspace: "any".into(),
            definition: format!("definition{}", plan.definition).into(),
        }
    }

    fn arrive(&mut self, program: usize, parent: Option<usize>) {
        let entry = self.rng.random_range(0..self.profile.instances);
        let run = &mut self.programs[program];
        run.home = parent.map_or(entry, |_| run.home);
        run.parent = parent;
        run.started = self.now;
        run.context = self.profile.shared;
        self.place_home(program);
        self.ask_next(program);
    }

    /// Issues the call of the program's present step.
    pub(super) fn ask_next(&mut self, program: usize) {
        let now = self.now;
        let run = &mut self.programs[program];
        run.asked = now;
        run.received = 0;
        run.avoid.clear();
        run.phase = CallPhase::Queued;
        self.ask(program);
    }

    /// After a call's answer: a sub-agent, or the pause before the next call.
    pub(super) fn go_on(&mut self, program: usize) {
        let plan = &self.load.programs[program].calls[self.programs[program].step];
        match plan.child {
            Some(child) => {
                self.programs[child].home = self.programs[program].home;
                self.arrive(child, Some(program));
            }
            None => self.pause(program),
        }
    }

    fn pause(&mut self, program: usize) {
        let run = &self.programs[program];
        let plan = &self.load.programs[program].calls;
        let last = run.step + 1 == plan.len();
        let pause = if last { Duration::ZERO } else { plan[run.step].pause };
        let pause = self.setup.tool_limit.map_or(pause, |limit| pause.min(limit));
        self.keep_or_drop(program);
        self.follow_up(program, pause, DriverEvent::Next(program));
    }

    fn next(&mut self, program: usize) {
        self.programs[program].step += 1;
        let calls = self.load.programs[program].calls.len();
        let limit = self.setup.turn_limit.map_or(calls, |limit| limit.min(calls));
        if self.programs[program].step < limit {
            self.ask_next(program);
            return;
        }
        self.programs[program].ended = true;
        self.schedule(self.now + RELEASE_DELAY, DriverEvent::Release(program), 0);
        if let Some(parent) = self.programs[program].parent {
            self.pause(parent);
            return;
        }
        self.live -= 1;
        let plan = &self.load.programs[program];
        if plan.is_loop {
            return;
        }
        self.report.programs.push(ProgramSample {
            program,
            workspace: plan.workspace,
            class: self.class(program),
            started: self.programs[program].started,
            latency: self.now - self.programs[program].started,
        });
    }

    fn release(&mut self, program: usize) {
        let key = PrefixKey::Program(program as u64);
        for engine in std::mem::take(&mut self.programs[program].engines) {
            self.engines[engine].release(&key, self.now);
            let home = self.programs[program].home;
            self.residency[home].drop_program(&self.engine_ids[engine], program as u64);
            if self.setup.control == SlotControl::Owner {
                self.queues[engine].end_program(program as u64);
                self.pump(engine);
            }
        }
    }

    fn hear_eviction(&mut self, engine: usize, program: u64) {
        for residency in &mut self.residency {
            residency.drop_program(&self.engine_ids[engine], program);
        }
    }

    fn tick(&mut self) {
        self.schedule(self.now + TICK, DriverEvent::Tick, 0);
        for queue in 0..self.queues.len() {
            self.preempt(queue);
            self.pump(queue);
        }
        self.expire_sent();
        if self.ticks.is_multiple_of(TICKS_PER_REPORT) {
            self.take_reports();
        }
        self.ticks += 1;
    }

    /// Grants and expires what is due in a queue.
    pub(super) fn pump(&mut self, queue: usize) {
        let now = self.at(self.now);
        for event in self.queues[queue].advance(now) {
            match event {
                SlotEvent::Granted(permit) => self.granted(queue, permit),
                SlotEvent::Expired(permit, _) => self.expired(queue, permit),
            }
        }
    }
}

impl ProgramRun {
    fn new() -> Self {
        Self {
            home: 0,
            step: 0,
            context: 0,
            attained: 0,
            computed: 0,
            parent: None,
            started: Duration::ZERO,
            phase: CallPhase::Idle,
            epoch: 0,
            asked: Duration::ZERO,
            engine: 0,
            permit: 0,
            received: 0,
            engines: Vec::new(),
            call: None,
            ended: false,
            exported: false,
            avoid: Vec::new(),
        }
    }
}
