//! A deployment of real processes under a seeded schedule of disturbances, observed from outside.

pub mod budgets;
pub mod callers;
pub mod engines;
pub mod fleet;
pub mod ledger;
pub mod link;
pub mod pressure;
pub mod programs;
pub mod schedule;
pub mod shape;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use derive_more::Display;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};
use xxhash_rust::xxh3::xxh3_64;

use crate::gateway_process::GatewayProcess;
use crate::platform_standin::http::{RawMessage, Step, Wire, answer, serve};
use crate::platform_standin::store::{StandinStore, StoreFault};
use crate::platform_standin::{HOST, gateway_settings, manifest, route, wait_until};
use crate::workdir::own_ip;

use budgets::{EVENT_TOKENS, TurnBudget};
use callers::{AnsweredTurn, CallDraft, CallWork, SoakCaller};
use engines::{EngineFleet, EngineLeave, EngineRun, WORK_HEADER};
use fleet::{Disturbance, Fleet};
use ledger::{CallKind, RequestId, RequestLedger, SentRequest};
use link::{LinkFault, TcpLink};
use shape::SoakShape;

pub const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
pub const SERVICES: [&str; 2] = ["llm", "app"];

/// What a run depends on.
#[derive(Debug, Clone, Copy)]
pub struct SoakSettings {
    pub seed: u64,
    pub length: Duration,
    pub processes: usize,
    pub shape: SoakShape,
}

impl SoakSettings {
    /// Reads `SOAK_SEED`, `SOAK_SECONDS`, `SOAK_PROCESSES` and `SOAK_SHAPE`.
    pub fn from_environment() -> Self {
        let shape = SoakShape::from_environment();
        let number = |name: &str, default: u64| {
            let text = std::env::var(name).ok();
            text.map_or(default, |text| text.parse().expect("the setting is a number"))
        };
        Self {
            shape,
            seed: number("SOAK_SEED", 1),
            length: Duration::from_secs(number("SOAK_SECONDS", 40)),
            processes: number("SOAK_PROCESSES", shape.processes() as u64) as usize,
        }
    }

    /// A generator for one part of the run, independent of what other parts draw.
    pub fn rng(&self, part: &str, number: usize) -> SmallRng {
        let text = format!("{} {part} {number}", self.seed);
        SmallRng::seed_from_u64(xxh3_64(text.as_bytes()))
    }
}

/// What the parts of a run share.
pub struct SoakWorld {
    pub settings: SoakSettings,
    pub store: StandinStore,
    pub fleet: Fleet,
    pub engines: EngineFleet,
    pub ledger: Rc<RequestLedger>,
    /// Turns that any program may continue.
    pub turns: RefCell<VecDeque<AnsweredTurn>>,
    /// Callers of bursts.
    pub added_callers: RefCell<Vec<JoinHandle<()>>>,
    pub version: Cell<u64>,
    pub is_over: Cell<bool>,
}

pub fn between(rng: &mut SmallRng, min_ms: u64, max_ms: u64) -> Duration {
    Duration::from_millis(rng.random_range(min_ms..=max_ms))
}
