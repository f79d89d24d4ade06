//! What the cores' state costs as it grows: processor time of their frequent operations, and
//! memory, at several sizes, for docs/CAPACITY.md.

use std::collections::BTreeSet;
use std::hint::black_box;
use std::time::{Duration, Instant};

use serde::Serialize;

use crate::core::budget::{BudgetLedger, LedgerSettings, ReserveOutcome};
use crate::core::cache::WorkingSet;
use crate::core::config::{ChangeBody, ConfigChange, ConfigView, WorkspaceSpec};
use crate::core::dispatch::{EngineSlots, LeastAttainedService, ServiceClass, SlotRequest};
use crate::core::history::{JournalBatch, JournalRecord, ProgramBook, TurnRecord};
use crate::core::ids::{InstanceId, ProgramId, Tokens, compose_program_id};
use crate::core::outcome::{CallAnswer, CallOutcome, TokenUsage};
use crate::core::ownership::{ShardOwner, ShardTable, assign_engines, assign_shards};
use crate::core::timeline::CausalStamp;
use crate::core::turns::{CoordinatorSpan, coordinator};
use crate::core::upstreams::{
    ChoiceRequest, UpstreamEntry, UpstreamState, UpstreamTable, UpstreamUpdate,
};

/// One operation on a state of one size.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct CoreSlope {
    pub subject: Box<str>,
    /// Size of the state.
    pub count: usize,
    /// Processor time of one operation.
    pub micros_each: f64,
    /// Resident memory for one element of the state; 0 where it was not looked at.
    pub bytes_each: f64,
}

/// All slopes of one run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct CoreReport {
    pub slopes: Vec<CoreSlope>,
}

const SIZES: [usize; 3] = [1_000, 10_000, 100_000];
const WORKSPACES: [usize; 3] = [54, 540, 5_400];
const INSTANCES: [usize; 5] = [3, 10, 30, 100, 530];
const QUEUES: [usize; 3] = [10, 100, 1_000];
/// Upstreams of a service: a small site's, a large one's, the target's.
const UPSTREAMS: [usize; 3] = [9, 130, 4_900];
/// Members of a zone: a small site's, a large one's, the target's.
const NEIGHBOURS: [usize; 3] = [4, 59, 106];
/// Decisions measured together.
const DECISIONS: usize = 200;
/// Shards of the target, and engines.
const TARGET_SHARDS: u16 = 4_096;
const TARGET_ENGINES: usize = 4_900;
/// Bytes of input and of answer in one call.
const TURN_BYTES: usize = 1_400;

/// Measures every core that grows with the size of the deployment.
pub fn measure_cores() -> CoreReport {
    let mut slopes = Vec::new();
    for count in SIZES {
        slopes.push(measure_programs(count));
        slopes.push(measure_turns(count));
        slopes.push(measure_journal(count));
    }
    for count in WORKSPACES {
        slopes.push(measure_config(count));
        slopes.push(measure_ledger(count));
    }
    for count in INSTANCES {
        slopes.push(measure_shard_assignment(count));
        slopes.push(measure_engine_assignment(count));
        slopes.push(measure_shard_plan(count));
    }
    slopes.extend(QUEUES.map(measure_queue));
    slopes.extend(UPSTREAMS.map(measure_upstream_choice));
    slopes.extend(NEIGHBOURS.map(measure_coordinator));
    slopes.extend(super::workspace_cores::measure_workspaces());
    CoreReport { slopes }
}

/// Resident memory of this process, in bytes.
fn resident_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: f64 = text.split_whitespace().nth(1).and_then(|n| n.parse().ok()).unwrap_or(0.0);
    pages * 4096.0
}

/// Builds a state of `count` elements and relates time and memory to each of them.
pub(super) fn measure_build<T>(
    subject: &str,
    count: usize,
    build: impl FnOnce() -> T,
) -> CoreSlope {
    let before = resident_bytes();
    let started = Instant::now();
    let state = black_box(build());
    let elapsed = started.elapsed();
    let bytes = (resident_bytes() - before).max(0.0);
    // Kept, so that what is measured next does not get its memory for nothing.
    std::mem::forget(state);
    slope(subject, count, elapsed, count, bytes)
}

pub(super) fn slope(
    subject: &str,
    count: usize,
    took: Duration,
    operations: usize,
    bytes: f64,
) -> CoreSlope {
    CoreSlope {
        subject: subject.into(),
        count,
        micros_each: took.as_secs_f64() * 1e6 / operations as f64,
        bytes_each: bytes / count as f64,
    }
}

fn program_id(index: usize) -> ProgramId {
    compose_program_id((index % 1024) as u16, 1, index as u64)
}

fn started(index: usize) -> JournalRecord {
    JournalRecord::Started {
        program: program_id(index),
        workspace: "workspace".into(),
        definition: "definition".into(),
        start_key: None,
        parent: None,
    }
}

fn finished(index: usize, number: u32) -> JournalRecord {
    let text: Box<str> = "x".repeat(TURN_BYTES / 2).into();
    let answer = CallAnswer {
        text: text.clone(),
        upstream: "engine".into(),
        usage: TokenUsage { prompt: 500, cached: 400, generated: 300 },
    };
    let turn = TurnRecord {
        number,
        request_id: format!("request-{number}").into(),
        input: text,
        target: "model".into(),
        outcome: CallOutcome::Answered(answer),
    };
    JournalRecord::Finished { program: program_id(index), turn }
}

fn measure_programs(count: usize) -> CoreSlope {
    measure_build("program without turns", count, || {
        let mut book = ProgramBook::default();
        (0..count).for_each(|index| book.apply(&started(index)));
        book
    })
}

/// One program of many turns would be the worst case; here each of many programs has one.
fn measure_turns(count: usize) -> CoreSlope {
    let mut book = ProgramBook::default();
    (0..count).for_each(|index| book.apply(&started(index)));
    let mut slope = measure_build("turn of 1,400 bytes", count, || {
        (0..count).for_each(|index| book.apply(&finished(index, 1)));
    });
    // The records are dropped, what stays is in the book.
    slope.bytes_each = slope.bytes_each.max(TURN_BYTES as f64);
    std::mem::forget(book);
    slope
}

fn measure_journal(count: usize) -> CoreSlope {
    let records: Vec<_> = (0..100).map(|index| finished(index, 1)).collect();
    let batch = JournalBatch { stamp: CausalStamp::default(), records };
    let rounds = count / 100;
    let started = Instant::now();
    let mut bytes = 0;
    for _ in 0..rounds {
        bytes = black_box(serde_json::to_vec(&batch).expect("batches serialize")).len();
    }
    let took = started.elapsed();
    let mut slope = slope("journal record, serialized", count, took, rounds * 100, 0.0);
    slope.bytes_each = bytes as f64 / 100.0;
    slope
}

fn workspace_change(index: usize) -> ConfigChange {
    let spec = WorkspaceSpec {
        id: format!("workspace-{index}").into(),
        class: ServiceClass::Paying,
        budget: 1_000_000,
        priority: 100,
        retired: false,
    };
    let body = ChangeBody::Workspace(spec);
    ConfigChange { version: index as u64 + 1, stamp: CausalStamp::default(), body }
}

fn measure_config(count: usize) -> CoreSlope {
    measure_build("configuration change, applied", count, || {
        let mut view = ConfigView::default();
        (0..count).for_each(|index| {
            view.apply(&workspace_change(index));
        });
        view
    })
}

fn measure_ledger(count: usize) -> CoreSlope {
    let settings = LedgerSettings { slice: 1000, headroom: 1000 };
    let mut ledger = BudgetLedger::new(settings, 1);
    let names: Vec<String> = (0..count).map(|index| format!("workspace-{index}")).collect();
    let started = Instant::now();
    for name in &names {
        let outcome = ledger.reserve(name, 10, 0);
        assert_eq!(outcome, ReserveOutcome::Draw, "nothing was drawn yet");
    }
    black_box(ledger.prepare_row(&[], 0));
    slope("reservation and account row", count, started.elapsed(), count, 0.0)
}

fn instances(count: usize) -> Vec<InstanceId> {
    (0..count).map(|index| format!("instance-{index}").into()).collect()
}

fn measure_shard_assignment(count: usize) -> CoreSlope {
    let members = instances(count);
    let started = Instant::now();
    black_box(assign_shards(TARGET_SHARDS, &members));
    slope("assignment of 4,096 shards", count, started.elapsed(), 1, 0.0)
}

fn measure_engine_assignment(count: usize) -> CoreSlope {
    let members = instances(count);
    let engines = (0..TARGET_ENGINES).map(|index| format!("engine-{index}").into()).collect();
    let started = Instant::now();
    black_box(assign_engines(engines, &members));
    slope("assignment of 4,900 engines", count, started.elapsed(), 1, 0.0)
}

fn measure_shard_plan(count: usize) -> CoreSlope {
    let members = instances(count);
    let me = ShardOwner { instance: members[0].clone(), incarnation: 1 };
    let mut table = ShardTable::new(TARGET_SHARDS);
    table.set_members(&members);
    let over = BTreeSet::new();
    let started = Instant::now();
    black_box(table.plan(&me, &over));
    slope("plan over 4,096 shards", count, started.elapsed(), 1, 0.0)
}

fn measure_queue(count: usize) -> CoreSlope {
    let now = tokio::time::Instant::now();
    let memory = WorkingSet::new(Tokens::MAX / 2, Duration::from_secs(60));
    let mut slots = EngineSlots::new(1, memory, Box::new(LeastAttainedService::default()));
    for index in 0..count {
        slots.enqueue(SlotRequest {
            permit: index as u64,
            holder: "instance".into(),
            program: program_id(index),
            workspace: format!("workspace-{}", index % 100).into(),
            class: ServiceClass::Paying,
            weight: 100,
            attained: index as u64,
            tokens: 300,
            cold: false,
            own_tokens: 300,
            arrived: now,
            deadline: now + Duration::from_secs(60),
        });
    }
    let started = Instant::now();
    black_box(slots.advance(now));
    slope("grant from an engine's queue", count, started.elapsed(), 1, 0.0)
}

/// The choice of an upstream for a request without an object, which looks at all of the service.
fn measure_upstream_choice(count: usize) -> CoreSlope {
    let now = tokio::time::Instant::now();
    let mut table = UpstreamTable::default();
    for index in 0..count {
        let entry = UpstreamEntry {
            id: format!("upstream-{index}").into(),
            started_at: None,
            service: "service".into(),
            address: format!("10.1.{}.{}:80", index / 250, index % 250).into(),
            zone: format!("zone-{}", index % 5).into(),
            slots: 16,
            state: UpstreamState::Ready,
            sequence: 1,
            warming: Duration::ZERO,
        };
        table.apply(UpstreamUpdate::Listed(entry), now);
    }
    let started = Instant::now();
    for salt in 0..DECISIONS {
        let request = ChoiceRequest {
            service: "service",
            zone: "zone-1",
            blocks: &[],
            holder: None,
            affinity: None,
            tried: &[],
            connected: &|_| false,
            salt: salt as u64,
            load: None,
            now,
        };
        black_box(table.choose(&request));
    }
    slope("choice of an upstream", count, started.elapsed(), DECISIONS, 0.0)
}

/// The coordinator of a program, which is looked for at each of its turns.
fn measure_coordinator(count: usize) -> CoreSlope {
    let names: Vec<String> = (0..count).map(|index| format!("instance-{index}")).collect();
    let span = CoordinatorSpan::default().instances();
    let started = Instant::now();
    for program in 0..DECISIONS {
        let names = names.iter().map(|name| &**name);
        black_box(coordinator(&program.to_string(), span, names));
    }
    slope("coordinator of a program", count, started.elapsed(), DECISIONS, 0.0)
}
