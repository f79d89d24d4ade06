//! What keys and limits cost as workspaces and members grow.

use std::hint::black_box;
use std::time::{Duration, Instant};

use super::cores::{CoreSlope, measure_build, slope};
use crate::core::ids::WorkspaceId;
use crate::core::quotas::{
    LimiterRegistry, LimiterRequest, LimiterStatus, QuotaBounds, QuotaLimit, QuotaMember,
    QuotaRequest, QuotaView,
};
use crate::core::workspaces::{ApiKey, WorkspaceSpec, WorkspaceTable};

const WORKSPACES: [usize; 3] = [86, 540, 5_400];
/// Members, from a large site to the target.
const MEMBERS: [usize; 3] = [88, 300, 530];
/// Keys of a workspace.
const KEYS: usize = 10;
/// Operations measured together.
const OPERATIONS: usize = 20_000;
const BOUNDS: QuotaBounds = QuotaBounds { window: Duration::from_secs(5), over: 0.1, slack: 20.0 };

/// Measures the table of keys and the limiter.
pub(super) fn measure_workspaces() -> Vec<CoreSlope> {
    let mut slopes = Vec::new();
    for count in WORKSPACES {
        slopes.push(measure_build("workspaces with ten keys", count, || table(count)));
        slopes.push(measure_look_up(count));
    }
    slopes.extend(MEMBERS.map(measure_decision));
    slopes
}

fn key(workspace: usize, number: usize) -> ApiKey {
    ApiKey::new(format!("{workspace:010}-{number:09}"))
}

fn table(count: usize) -> WorkspaceTable {
    WorkspaceTable::new((0..count).map(|workspace| WorkspaceSpec {
        name: format!("workspace-{workspace}").into(),
        keys: (0..KEYS).map(|number| key(workspace, number)).collect(),
        priority: Some(1),
        quota: Some(QuotaLimit { rate: 10.0, burst: 10.0 }),
    }))
}

fn measure_look_up(count: usize) -> CoreSlope {
    let table = table(count);
    let keys: Vec<ApiKey> =
        (0..OPERATIONS).map(|number| key(number * 7 % count, number % (KEYS + 1))).collect();
    let started = Instant::now();
    for key in &keys {
        black_box(table.find_by_key(key));
    }
    slope("look-up of a key, one in eleven unknown", count, started.elapsed(), OPERATIONS, 0.0)
}

/// Whom to ask, and the decision there: what each request costs at two instances.
fn measure_decision(count: usize) -> CoreSlope {
    let member = |number: usize| QuotaMember {
        instance: format!("instance-{number}").into(),
        incarnation: 1,
        address: format!("10.0.0.1:{number}").into(),
        status: LimiterStatus::Alive,
    };
    let now = tokio::time::Instant::now();
    let view = QuotaView::new("instance-0".into(), (0..count).map(member).collect(), 0, now);
    let mut registry = LimiterRegistry::new(BOUNDS, true, now);
    let names: Vec<WorkspaceId> = (0..86).map(|n| format!("workspace-{n}").into()).collect();
    let quota = QuotaLimit { rate: 1e6, burst: 1e6 };
    let started = Instant::now();
    for id in 0..OPERATIONS {
        let workspace = &names[id % names.len()];
        black_box(view.candidates(workspace));
        let ask = QuotaRequest { opens: id % 12 == 0 };
        let question = LimiterRequest { id: id as u64, workspace, quota_request: ask, quota };
        black_box(registry.decide(question, &view, now));
    }
    slope("a place within a limit", count, started.elapsed(), OPERATIONS, 0.0)
}
