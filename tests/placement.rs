//! Replays turns of programs on engines with queues, to compare how instances place them.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::time::Duration;

use merlinsaddle::core::load::{LoadKey, LoadView, UpstreamLoad, load_key};
use merlinsaddle::core::upstreams::{
    AttemptResult, AttemptTiming, ChoiceRequest, PromptBlock, UpstreamChoice, UpstreamEntry,
    UpstreamState, UpstreamTable, UpstreamUpdate,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use tokio::time::Instant;

const ENGINES: usize = 44;
const INSTANCES: usize = 64;
const SLOTS: usize = 8;
const TEMPLATES: usize = 24;
const CACHED_PROMPTS: usize = 20;
const TEMPLATE_TOKENS: u64 = 2_560;
/// Mean time of a turn in a slot if it reads only its new input, by `serve`.
const SLOT_MS: f64 = 330.0;
const TURN_TOKENS: u64 = 500;
/// Programs have 4 or 11 turns.
const MEAN_TURNS: f64 = 7.5;
const PREFILL_TOKENS_PER_MS: f64 = 32.0;
/// Summaries arrive at this interval and are as old as two of them.
const VIEW_INTERVAL_MS: f64 = 50.0;
const LONG_WAIT_MS: f64 = 300.0;

#[derive(Clone, Copy)]
struct ReplayPlan {
    shared: bool,
    /// Durations at the engines, relative to the usual.
    slowness: f64,
    /// Engines three times slower than the others.
    slow_engines: usize,
    /// Engines listed when the burst begins.
    new_engines: usize,
    /// Load relative to the capacity: before, in and after the burst, and the seconds of each.
    phases: [(f64, f64); 3],
    seed: u64,
}

#[derive(Default, Debug)]
struct ReplayResult {
    turns: usize,
    wait_sum_ms: f64,
    /// Turns that waited long for the speed of the engines while a quarter of the engines were under half full.
    misplaced: usize,
    /// Prompts of continued programs that were read from the start.
    reread: usize,
    /// Turns sent in the second half of the first second of new engines, and those of them sent there.
    to_new: usize,
    sent_then: usize,
}

impl ReplayResult {
    fn misplaced_share(&self) -> f64 {
        self.misplaced as f64 / self.turns as f64
    }
}

struct Turn {
    program: usize,
    instance: usize,
    choice: UpstreamChoice,
    sent_ms: f64,
    first_ms: f64,
    spare: bool,
}

struct Program {
    instance: usize,
    turns: usize,
    done: usize,
    template: usize,
    holder: Option<Box<str>>,
}

#[derive(Default)]
struct Engine {
    running: usize,
    queue: VecDeque<usize>,
    /// Programs whose prompts are cached, from the least recently used.
    cached: VecDeque<usize>,
    prefill_free_ms: f64,
}

impl Engine {
    fn keep(&mut self, program: usize) {
        self.cached.retain(|cached| *cached != program);
        self.cached.push_back(program);
        if self.cached.len() > CACHED_PROMPTS {
            self.cached.pop_front();
        }
    }
}

enum Event {
    Arrive,
    Send(usize),
    End(usize),
    Exchange,
}

struct Replay {
    plan: ReplayPlan,
    rng: SmallRng,
    start: Instant,
    now_ms: f64,
    events: BinaryHeap<Reverse<(u64, usize)>>,
    kinds: Vec<Event>,
    engines: Vec<Engine>,
    tables: Vec<UpstreamTable>,
    views: Vec<LoadView>,
    own: Vec<Vec<u32>>,
    snapshots: VecDeque<Vec<Vec<u32>>>,
    programs: Vec<Program>,
    turns: Vec<Turn>,
    result: ReplayResult,
}

fn name(engine: usize) -> Box<str> {
    format!("e{engine}").into()
}

fn key(engine: usize) -> LoadKey {
    load_key(&name(engine), None)
}

impl Replay {
    fn run(plan: ReplayPlan) -> ReplayResult {
        let mut replay = Self {
            plan,
            rng: SmallRng::seed_from_u64(plan.seed),
            start: Instant::now(),
            now_ms: 0.0,
            events: BinaryHeap::new(),
            kinds: Vec::new(),
            engines: (0..ENGINES).map(|_| Engine::default()).collect(),
            tables: (0..INSTANCES).map(|_| UpstreamTable::default()).collect(),
            views: vec![LoadView::default(); INSTANCES],
            own: vec![vec![0; ENGINES]; INSTANCES],
            snapshots: VecDeque::new(),
            programs: Vec::new(),
            turns: Vec::new(),
            result: ReplayResult::default(),
        };
        replay.list(0..ENGINES - plan.new_engines);
        replay.add_earlier_programs();
        replay.exchange();
        replay.at(0.0, Event::Arrive);
        while let Some(Reverse((micros, kind))) = replay.events.pop() {
            let now_ms = micros as f64 / 1e3;
            if now_ms > replay.end_ms() {
                break;
            }
            let before = replay.burst_ms();
            if replay.now_ms < before && now_ms >= before {
                replay.list(ENGINES - plan.new_engines..ENGINES);
            }
            replay.now_ms = now_ms;
            match std::mem::replace(&mut replay.kinds[kind], Event::Arrive) {
                Event::Arrive => replay.arrive(),
                Event::Send(program) => replay.send(program),
                Event::End(turn) => replay.end(turn),
                Event::Exchange => replay.exchange(),
            }
        }
        replay.result
    }

    fn burst_ms(&self) -> f64 {
        self.plan.phases[0].1 * 1e3
    }

    fn end_ms(&self) -> f64 {
        self.plan.phases.iter().map(|(_, seconds)| seconds).sum::<f64>() * 1e3
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_secs_f64(self.now_ms / 1e3)
    }

    fn at(&mut self, ms: f64, event: Event) {
        self.events.push(Reverse(((ms * 1e3) as u64, self.kinds.len())));
        self.kinds.push(event);
    }

    fn list(&mut self, engines: std::ops::Range<usize>) {
        let now = self.now();
        for table in &mut self.tables {
            for engine in engines.clone() {
                let entry = UpstreamEntry {
                    id: name(engine),
                    started_at: None,
                    service: "llm".into(),
                    address: name(engine),
                    zone: "zone".into(),
                    slots: SLOTS as u32,
                    state: UpstreamState::Ready,
                    sequence: 1,
                    warming: Duration::ZERO,
                };
                table.apply(UpstreamUpdate::Listed(entry), now);
            }
        }
    }

    /// Starts a program, and schedules the next one for the load of the phase.
    fn arrive(&mut self) {
        let mut left = self.now_ms / 1e3;
        let phase = self.plan.phases.iter().find(|(_, seconds)| {
            left -= seconds;
            left < 0.0
        });
        let (load, _) = phase.copied().unwrap_or((0.1, 0.0));
        let capacity = (ENGINES * SLOTS) as f64 / (SLOT_MS * self.plan.slowness);
        let gap = MEAN_TURNS / (capacity * load);
        let wait = -self.rng.random::<f64>().max(1e-9).ln() * gap;
        let program = self.add_program();
        self.at(self.now_ms + wait, Event::Arrive);
        self.send(program);
    }

    fn add_program(&mut self) -> usize {
        let turns = if self.rng.random() { 4 } else { 11 };
        let instance = self.rng.random_range(0..INSTANCES);
        let template = self.rng.random_range(0..TEMPLATES);
        self.programs.push(Program { instance, turns, done: 0, template, holder: None });
        self.programs.len() - 1
    }

    /// Adds the programs that are under way at the usual load.
    fn add_earlier_programs(&mut self) {
        let listed = ENGINES - self.plan.new_engines;
        // With the pause for tools.
        let turn_ms = SLOT_MS + 270.0;
        let turns = (ENGINES * SLOTS) as f64 / SLOT_MS * self.plan.phases[0].0 * turn_ms;
        for _ in 0..turns as usize {
            let program = self.add_program();
            let engine = self.rng.random_range(0..listed);
            let state = &mut self.programs[program];
            state.done = self.rng.random_range(1..state.turns);
            state.holder = Some(name(engine));
            self.engines[engine].keep(program);
            let blocks = self.blocks(program);
            let table = &mut self.tables[self.programs[program].instance];
            for block in &blocks[..blocks.len() - 1] {
                table.record_resident(&name(engine), &block.id);
            }
            let at = self.rng.random_range(0.0..turn_ms * self.plan.slowness);
            self.at(at, Event::Send(program));
        }
    }

    fn blocks(&self, program: usize) -> Vec<PromptBlock> {
        let Program { template, done, .. } = self.programs[program];
        let own = (0..=done).map(|turn| format!("p{program}-{turn}"));
        let mut blocks: Vec<PromptBlock> =
            own.map(|id| PromptBlock { id: id.into(), tokens: TURN_TOKENS }).collect();
        let id = format!("t{template}").into();
        blocks.insert(0, PromptBlock { id, tokens: TEMPLATE_TOKENS });
        blocks
    }

    fn send(&mut self, program: usize) {
        let (now, blocks) = (self.now(), self.blocks(program));
        let Program { instance, template, .. } = self.programs[program];
        let affinity = format!("t{template}");
        let request = ChoiceRequest {
            service: "llm",
            zone: "zone",
            blocks: &blocks,
            holder: self.programs[program].holder.as_ref(),
            affinity: Some(&affinity),
            tried: &[],
            connected: &|_| true,
            salt: self.rng.random(),
            load: self.plan.shared.then_some(&self.views[instance]),
            now,
        };
        let choice = self.tables[instance].choose(&request).expect("an engine is listed");
        self.tables[instance].started(&choice.id, choice.prefill_ms, now);
        self.views[instance].started(choice.load_key);
        let engine: usize = choice.id[1..].parse().expect("the name has a number");
        self.own[instance][engine] += 1;
        let spare = |engine: &&Engine| engine.running + engine.queue.len() < SLOTS / 2;
        let spare = self.engines.iter().filter(spare).count() * 4 >= ENGINES;
        let since_listed = self.now_ms - self.burst_ms();
        if (500.0..1e3).contains(&since_listed) {
            self.result.sent_then += 1;
            self.result.to_new += usize::from(engine >= ENGINES - self.plan.new_engines);
        }
        let sent_ms = self.now_ms;
        self.turns.push(Turn { program, instance, choice, sent_ms, first_ms: 0.0, spare });
        self.engines[engine].queue.push_back(self.turns.len() - 1);
        self.serve(engine);
    }

    /// Starts queued turns in order while slots are free. One prompt is read at a time.
    fn serve(&mut self, index: usize) {
        while self.engines[index].running < SLOTS
            && let Some(number) = self.engines[index].queue.pop_front()
        {
            let Turn { program, sent_ms, spare, .. } = self.turns[number];
            let Program { template, done, .. } = self.programs[program];
            let engine = &mut self.engines[index];
            let same_template = |cached: &usize| self.programs[*cached].template == template;
            let missing = if engine.cached.contains(&program) {
                TURN_TOKENS
            } else {
                self.result.reread += usize::from(done > 0);
                let held = engine.cached.iter().any(same_template);
                (done as u64 + 1) * TURN_TOKENS + if held { 0 } else { TEMPLATE_TOKENS }
            };
            engine.keep(program);
            engine.running += 1;
            let factor = if index < self.plan.slow_engines { 3.0 } else { 1.0 };
            let slowness = self.plan.slowness * factor;
            let prefill_ms = missing as f64 / PREFILL_TOKENS_PER_MS * slowness;
            engine.prefill_free_ms = engine.prefill_free_ms.max(self.now_ms) + prefill_ms;
            let crowd = 0.75 + 0.25 * engine.running as f64 / SLOTS as f64;
            let first_ms = engine.prefill_free_ms + 40.0 * slowness;
            let stream_ms = 260.0 * slowness * crowd * self.rng.random_range(0.4..1.6);
            self.turns[number].first_ms = first_ms;
            let waited = first_ms - sent_ms;
            self.result.misplaced +=
                usize::from(spare && waited > LONG_WAIT_MS * self.plan.slowness);
            self.result.wait_sum_ms += waited;
            self.at(first_ms + stream_ms, Event::End(number));
        }
    }

    fn end(&mut self, number: usize) {
        let now = self.now();
        let Turn { program, instance, ref choice, sent_ms, first_ms, .. } = self.turns[number];
        let engine: usize = choice.id[1..].parse().expect("the name has a number");
        let started = self.start + Duration::from_secs_f64(sent_ms / 1e3);
        let timing = AttemptTiming {
            missing_tokens: choice.missing_tokens,
            found_slot: choice.found_slot,
            first_event: Duration::from_secs_f64((first_ms - sent_ms) / 1e3),
            streaming: Duration::from_secs_f64((self.now_ms - first_ms) / 1e3),
        };
        let blocks = self.blocks(program);
        let table = &mut self.tables[instance];
        table.observe_timing(&choice.id, started, &timing, now);
        table.ended(&choice.id, started, AttemptResult::Answered, now);
        for block in &blocks {
            table.record_resident(&choice.id, &block.id);
        }
        self.views[instance].ended(choice.load_key, true);
        self.own[instance][engine] -= 1;
        self.result.turns += 1;
        let state = &mut self.programs[program];
        (state.done, state.holder) = (state.done + 1, Some(choice.id.clone()));
        if state.done < state.turns {
            let tool_ms = self.rng.random_range(50.0..450.0) * self.plan.slowness;
            self.at(self.now_ms + tool_ms, Event::Send(program));
        }
        self.engines[engine].running -= 1;
        self.serve(engine);
    }

    /// Gives each instance the counts of the others, two intervals old.
    fn exchange(&mut self) {
        self.snapshots.push_back(self.own.clone());
        if self.snapshots.len() > 3 {
            self.snapshots.pop_front();
        }
        let (old, now) = (&self.snapshots[0], self.now());
        let total = |engine: usize| old.iter().map(|own| own[engine]).sum::<u32>();
        let totals: Vec<_> = (0..ENGINES).map(|engine| (key(engine), total(engine))).collect();
        for (view, own) in self.views.iter_mut().zip(old) {
            let others = totals.iter().zip(own).map(|((key, total), own)| {
                (*key, UpstreamLoad { running: total - own, ..UpstreamLoad::default() })
            });
            view.set_others(others.collect::<HashMap<_, _>>(), now);
        }
        self.at(self.now_ms + VIEW_INTERVAL_MS, Event::Exchange);
    }
}

const BURST: [(f64, f64); 3] = [(0.7, 2.0), (1.4, 2.0), (0.7, 2.0)];

fn plan(shared: bool, phases: [(f64, f64); 3]) -> ReplayPlan {
    ReplayPlan { shared, slowness: 1.0, slow_engines: 0, new_engines: 0, phases, seed: 1 }
}

/// Guards against queues at some engines beside idle ones after a burst.
#[rstest]
#[case::usual(1.0)]
#[case::slow(3.0)]
#[case::fast(1.0 / 3.0)]
fn turns_seldom_wait_beside_idle_engines(#[case] slowness: f64) {
    // Shorter turns at the same load are more of them.
    let phases = BURST.map(|(load, seconds)| (load, seconds * slowness));
    let result = Replay::run(ReplayPlan { slowness, ..plan(true, phases) });
    assert!(result.misplaced_share() <= 0.02, "{result:?}");
    let present = Replay::run(ReplayPlan { slowness, ..plan(false, phases) });
    assert!(present.misplaced_share() > 0.02, "{present:?}");
}

/// Guards against new engines that stay idle because they hold no prompts.
#[test]
fn new_engines_get_their_share_within_a_second() {
    let phases = [(0.5, 2.0), (1.4, 2.0), (0.7, 1.0)];
    let result = Replay::run(ReplayPlan { new_engines: ENGINES / 4, ..plan(true, phases) });
    assert!(result.misplaced_share() <= 0.02, "{result:?}");
    // A quarter is the full share. Programs under way stay where their prompts are.
    assert!(result.to_new as f64 >= 0.15 * result.sent_then as f64, "{result:?}");
}

/// Guards against engines that get more turns than they can run because others are faster.
#[test]
fn slower_engines_get_fewer_turns() {
    let phases = [(0.6, 2.0); 3];
    let result = Replay::run(ReplayPlan { slow_engines: 4, ..plan(true, phases) });
    assert!(result.misplaced_share() <= 0.02, "{result:?}");
}

/// Guards against programs that leave the engine with their prompt for a small gain.
#[test]
fn prompts_are_not_moved_at_low_load() {
    let phases = [(0.35, 2.0); 3];
    let (result, present) = (Replay::run(plan(true, phases)), Replay::run(plan(false, phases)));
    assert!(result.reread <= present.reread, "{result:?} {present:?}");
}

/// Guards against a loss of capacity to prompts read again while all engines are busy.
#[test]
fn throughput_holds_under_sustained_overload() {
    let phases = [(0.7, 1.0), (1.5, 3.0), (1.5, 2.0)];
    let (result, present) = (Replay::run(plan(true, phases)), Replay::run(plan(false, phases)));
    assert!(result.turns >= present.turns, "{result:?} {present:?}");
    assert!(
        result.wait_sum_ms / (result.turns as f64) < present.wait_sum_ms / present.turns as f64
    );
}
