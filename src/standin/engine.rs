//! A model engine: continuous batching, a limited prefix cache, cancellable streams.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, Semaphore};
use tokio::time::{Instant, sleep};
use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

use super::fault::{FaultSwitch, InjectedFault};
use super::orders::{OrderBook, TakenOrder};
use crate::core::budget::AttemptNumber;
use crate::core::ids::{Incarnation, ProgramId, RequestId, Tokens, WorkspaceId};
use crate::core::orders::{EngineState, FencedOrder};
use crate::core::outcome::TokenUsage;
use crate::node::upstream::{
    AttemptClosure, CloseRequest, EngineEvent, GenerateRequest, HeldProgram, TokenStream,
    UpstreamError, WorkspaceCost,
};

/// Speed and size of a stand-in engine.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    pub slots: usize,
    pub cache_tokens: Tokens,
    pub prefill_micros_per_token: u64,
    pub token_micros: u64,
    pub bytes_per_token: usize,
    /// Time a load takes.
    pub load_ms: u64,
    /// Whether orders with a lower fencing number than one seen before are refused.
    pub checks_fencing: bool,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            slots: 8,
            cache_tokens: 200_000,
            prefill_micros_per_token: 50,
            token_micros: 5_000,
            bytes_per_token: 4,
            load_ms: 500,
            checks_fencing: false,
        }
    }
}

/// What the engine answers to a prompt, token by token: a function of the prompt alone, so that
/// tests can tell whether an answer is complete and belongs to its request.
pub fn expected_answer(prompt: &[Box<str>], max_tokens: u32) -> Vec<String> {
    let mut hasher = Xxh3::new();
    for part in prompt {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    let seed = hasher.digest();
    let least = max_tokens.div_ceil(2).max(1);
    let count = least + (seed % u64::from(max_tokens - least + 1).max(1)) as u32;
    let word = |index: u32| xxh3_64_with_seed(&index.to_le_bytes(), seed) as u16;
    (0..count).map(|index| format!("w{:04x} ", word(index))).collect()
}

#[derive(Debug, Default)]
struct EngineRequest {
    incarnation: Incarnation,
    attempt: AttemptNumber,
    workspace: WorkspaceId,
    tokens: RefCell<Vec<String>>,
    usage: Cell<TokenUsage>,
    done: Cell<bool>,
    cancelled: Cell<bool>,
    /// The engine has restarted since.
    lost: Cell<bool>,
    changed: Notify,
}

#[derive(Debug, Default)]
struct EngineMemory {
    /// Tokens and time of last use, by program.
    held: BTreeMap<ProgramId, HeldEntry>,
    clock: u64,
}

#[derive(Debug, Clone, Copy)]
struct HeldEntry {
    tokens: Tokens,
    used: u64,
}

/// One engine.
pub struct StandinEngine {
    pub faults: FaultSwitch,
    settings: EngineSettings,
    batch: Semaphore,
    memory: RefCell<EngineMemory>,
    requests: RefCell<BTreeMap<RequestId, Rc<EngineRequest>>>,
    billed: RefCell<BTreeMap<WorkspaceId, Tokens>>,
    calls: Cell<u64>,
    started: Cell<Instant>,
    orders: RefCell<OrderBook>,
    /// Incarnations whose attempts are refused.
    closed: RefCell<BTreeSet<Incarnation>>,
}

impl StandinEngine {
    pub fn new(settings: EngineSettings) -> Rc<Self> {
        Rc::new(Self {
            faults: FaultSwitch::default(),
            batch: Semaphore::new(settings.slots),
            memory: RefCell::default(),
            requests: RefCell::default(),
            billed: RefCell::default(),
            calls: Cell::new(0),
            started: Cell::new(Instant::now()),
            closed: RefCell::default(),
            orders: RefCell::default(),
            settings,
        })
    }

    /// Prompt and generated tokens each workspace really cost here.
    pub fn billed(&self) -> BTreeMap<WorkspaceId, Tokens> {
        self.billed.borrow().clone()
    }

    /// Requests accepted so far.
    pub fn calls(&self) -> u64 {
        self.calls.get()
    }

    /// Programs that memory is held for.
    pub fn held(&self) -> Vec<HeldProgram> {
        let memory = self.memory.borrow();
        let held = |(program, entry): (&ProgramId, &HeldEntry)| HeldProgram {
            program: *program,
            tokens: entry.tokens,
        };
        memory.held.iter().map(held).collect()
    }

    /// Starts a request; it runs to its end whether or not anyone reads its stream.
    pub async fn generate(
        self: &Rc<Self>,
        request: &GenerateRequest,
    ) -> Result<Box<dyn TokenStream>, UpstreamError> {
        self.enter().await?;
        self.calls.set(self.calls.get() + 1);
        if self.orders.borrow().state().busy {
            return Err(UpstreamError::Refused { message: "it carries out an order".into() });
        }
        if self.closed.borrow().contains(&request.incarnation) {
            return Err(UpstreamError::Refused { message: "its sender is closed".into() });
        }
        let running = Rc::new(EngineRequest {
            incarnation: request.incarnation,
            attempt: request.attempt,
            workspace: request.workspace.clone(),
            ..EngineRequest::default()
        });
        self.requests.borrow_mut().insert(request.request_id.clone(), running.clone());
        let (engine, request, stream) = (self.clone(), request.clone(), running.clone());
        actix_rt::spawn(async move { engine.run(request, running).await });
        self.leave().await?;
        Ok(Box::new(EngineStream { engine: self.clone(), request: stream, read: 0 }))
    }

    async fn run(self: Rc<Self>, request: GenerateRequest, running: Rc<EngineRequest>) {
        let _slot = self.batch.acquire().await.expect("the semaphore is never closed");
        if running.cancelled.get() {
            return;
        }
        let bytes: usize = request.prompt.iter().map(|part| part.len()).sum();
        let prompt = (bytes.div_ceil(self.settings.bytes_per_token)) as Tokens;
        let cached = self.cached(request.program).min(prompt);
        let mut usage = TokenUsage { prompt, cached, generated: 0 };
        self.bill(&request.workspace, prompt);
        running.usage.set(usage);
        let prefill = self.settings.prefill_micros_per_token * (prompt - cached);
        pause(prefill).await;
        let answer = expected_answer(&request.prompt, request.max_tokens);
        for token in answer.into_iter().skip(request.resume_at as usize) {
            pause(self.settings.token_micros).await;
            if running.cancelled.get() {
                break;
            }
            usage.generated += 1;
            self.bill(&request.workspace, 1);
            running.usage.set(usage);
            running.tokens.borrow_mut().push(token);
            running.changed.notify_waiters();
        }
        if running.lost.get() {
            return;
        }
        self.hold(request.program, prompt + usage.generated + Tokens::from(request.resume_at));
        running.done.set(true);
        running.changed.notify_waiters();
    }

    fn cached(&self, program: ProgramId) -> Tokens {
        self.memory.borrow().held.get(&program).map_or(0, |entry| entry.tokens)
    }

    fn hold(&self, program: ProgramId, tokens: Tokens) {
        let mut memory = self.memory.borrow_mut();
        memory.clock += 1;
        let used = memory.clock;
        memory.held.insert(program, HeldEntry { tokens, used });
        let total = |memory: &EngineMemory| -> Tokens {
            memory.held.values().map(|entry| entry.tokens).sum()
        };
        while total(&memory) > self.settings.cache_tokens && memory.held.len() > 1 {
            let oldest = memory.held.iter().min_by_key(|(_, entry)| entry.used);
            let oldest = oldest.map(|(program, _)| *program).expect("more than one is held");
            memory.held.remove(&oldest);
        }
    }

    fn bill(&self, workspace: &str, tokens: Tokens) {
        *self.billed.borrow_mut().entry(workspace.into()).or_default() += tokens;
    }

    /// Loses everything, as a process does that is replaced; what was billed stays billed.
    pub fn restart(&self) {
        for request in std::mem::take(&mut *self.requests.borrow_mut()).into_values() {
            request.cancelled.set(true);
            request.lost.set(true);
            request.changed.notify_waiters();
        }
        self.memory.borrow_mut().held.clear();
        self.orders.borrow_mut().forget();
        self.started.set(Instant::now());
    }

    /// Stops a request and tells what it has cost; it costs no more once this is answered.
    pub async fn cancel(&self, request_id: &str) -> Result<Option<TokenUsage>, UpstreamError> {
        self.enter().await?;
        let request = self.requests.borrow().get(request_id).cloned();
        let usage = request.map(|request| {
            request.cancelled.set(true);
            request.usage.get()
        });
        self.leave().await?;
        Ok(usage)
    }

    /// Stops all attempts of an incarnation, refuses later ones, and tells the costs of those
    /// from `request.from` on.
    pub async fn close_attempts(
        &self,
        request: CloseRequest,
    ) -> Result<AttemptClosure, UpstreamError> {
        self.enter().await?;
        self.closed.borrow_mut().insert(request.incarnation);
        let mut costs: BTreeMap<WorkspaceId, Tokens> = BTreeMap::new();
        for running in self.requests.borrow().values() {
            if running.incarnation == request.incarnation {
                running.cancelled.set(true);
                if running.attempt >= request.from {
                    let cost = running.usage.get().billed();
                    *costs.entry(running.workspace.clone()).or_default() += cost;
                }
            }
        }
        self.leave().await?;
        let remembers_ms = self.started.get().elapsed().as_millis() as u64;
        let cost = |(workspace, tokens)| WorkspaceCost { workspace, tokens };
        Ok(AttemptClosure { remembers_ms, costs: costs.into_iter().map(cost).collect() })
    }

    /// Carries an order out; a load takes its time, and no call is taken meanwhile.
    pub async fn order(self: &Rc<Self>, order: &FencedOrder) -> Result<(), UpstreamError> {
        self.enter().await?;
        let pause = Duration::from_millis(self.settings.load_ms);
        if !self.orders.borrow_mut().take(order, self.settings.checks_fencing, pause) {
            return Err(UpstreamError::Refused { message: "an old fencing number".into() });
        }
        self.leave().await
    }

    pub async fn state(&self) -> Result<EngineState, UpstreamError> {
        self.enter().await?;
        let state = self.orders.borrow().state();
        self.leave().await?;
        Ok(state)
    }

    /// Orders carried out so far, also before restarts.
    pub fn orders(&self) -> Vec<TakenOrder> {
        self.orders.borrow().taken.clone()
    }

    /// Frees a program's memory.
    pub async fn release(&self, program: ProgramId) -> Result<(), UpstreamError> {
        self.enter().await?;
        self.memory.borrow_mut().held.remove(&program);
        self.leave().await
    }

    pub async fn list_held(&self) -> Result<Vec<HeldProgram>, UpstreamError> {
        self.enter().await?;
        Ok(self.held())
    }

    async fn enter(&self) -> Result<(), UpstreamError> {
        self.faults.enter().await.map_err(upstream_error)
    }

    async fn leave(&self) -> Result<(), UpstreamError> {
        self.faults.leave().await.map_err(upstream_error)
    }
}

pub(super) fn upstream_error(fault: InjectedFault) -> UpstreamError {
    match fault {
        InjectedFault::Outage => UpstreamError::NotSent,
        InjectedFault::ReplyLost => UpstreamError::Lost { message: "reply lost".into() },
    }
}

async fn pause(micros: u64) {
    if micros > 0 {
        sleep(Duration::from_micros(micros)).await;
    }
}

struct EngineStream {
    engine: Rc<StandinEngine>,
    request: Rc<EngineRequest>,
    read: usize,
}

#[async_trait(?Send)]
impl TokenStream for EngineStream {
    async fn next(&mut self) -> Result<EngineEvent, UpstreamError> {
        let request = self.request.clone();
        loop {
            let changed = request.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            self.engine.faults.leave().await.map_err(upstream_error)?;
            if let Some(event) = self.poll() {
                return Ok(event);
            }
            if self.request.cancelled.get() {
                return Err(UpstreamError::Lost { message: "cancelled".into() });
            }
            if request.lost.get() {
                return Err(UpstreamError::Lost { message: "the engine restarted".into() });
            }
            changed.await;
        }
    }
}

impl EngineStream {
    fn poll(&mut self) -> Option<EngineEvent> {
        let tokens = self.request.tokens.borrow();
        if self.read < tokens.len() {
            let text: String = tokens[self.read..].concat();
            let count = (tokens.len() - self.read) as u32;
            self.read = tokens.len();
            return Some(EngineEvent::Tokens { text: text.into(), count });
        }
        // A cancelled answer is cut short: its stream breaks off and is never called done.
        let complete = self.request.done.get() && !self.request.cancelled.get();
        complete.then(|| EngineEvent::Done { usage: self.request.usage.get() })
    }
}
