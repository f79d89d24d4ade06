//! Starts, ends and shows programs for callers and operators.

use std::rc::Rc;
use std::time::Duration;

use serde::Serialize;
use tokio::time::{Instant, timeout};

use super::calls::ProgramRoute;
use super::instance::Node;
use super::journal::JournalError;
use super::peers::{PeerError, StartRequest};
use crate::core::history::{EndReason, JournalRecord, ProgramEnd, ProgramRecord, TurnRecord};
use crate::core::ids::{
    ProgramId, ShardId, Tokens, WorkspaceId, compose_program_id, format_program_id, shard_of,
};
use crate::core::outcome::{CallRefusal, RefusalReason, RequestFailure};
use crate::core::ownership::ShardPhase;

const OWNER_DID_NOT_ANSWER: &str = "the owner did not answer; the request may be repeated";
const START_RETRY_DELAY: Duration = Duration::from_millis(500);

#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ProgramView {
    pub program: Box<str>,
    pub workspace: Box<str>,
    pub definition: Box<str>,
    pub ended: Option<Box<str>>,
    pub tokens: Tokens,
    pub next_number: u32,
    pub owner: Box<str>,
    pub turns: Vec<TurnRecord>,
}

/// Key of a start that is in progress.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct StartKey {
    workspace: WorkspaceId,
    key: Box<str>,
}

/// Lock on a start key; other starts with the same key wait until it is dropped.
struct StartGuard {
    node: Rc<Node>,
    start: StartKey,
}

impl Drop for StartGuard {
    fn drop(&mut self) {
        self.node.starting.borrow_mut().remove(&self.start);
        self.node.calls_changed.notify_waiters();
    }
}

impl Node {
    pub async fn start_program(
        self: &Rc<Self>,
        request: StartRequest,
    ) -> Result<ProgramId, RequestFailure> {
        self.check_start(&request)?;
        self.check_store()?;
        // Spawned, so that it completes even if the caller goes away: others wait for the start key.
        let node = self.clone();
        let starting = actix_rt::spawn(async move { node.write_start(request).await });
        match timeout(self.settings.limits.commit_timeout(), starting).await {
            Ok(Ok(started)) => started,
            Ok(Err(_)) | Err(_) => Err(RequestFailure::unknown(OWNER_DID_NOT_ANSWER)),
        }
    }

    async fn write_start(
        self: &Rc<Self>,
        request: StartRequest,
    ) -> Result<ProgramId, RequestFailure> {
        let _guard = match &request.start_key {
            Some(key) => Some(self.lock_start_key(&request.workspace, key).await),
            None => None,
        };
        if let Some(known) = self.started_program(&request) {
            return Ok(known);
        }
        let epoch = self.incarnation();
        let program = self.allocate_program_id(self.pick_shard()?);
        let workspace = request.workspace.clone();
        let started = JournalRecord::Started {
            program,
            workspace: request.workspace,
            definition: request.definition,
            start_key: request.start_key,
            parent: request.parent,
        };
        self.journal.append(epoch, vec![started]).await.map_err(write_failure)?;
        self.record_start(program);
        self.event("program_started").program(program).workspace(&workspace).log();
        Ok(program)
    }

    /// Returns the program that an earlier start with the same key created, unless it has ended.
    fn started_program(&self, request: &StartRequest) -> Option<ProgramId> {
        let book = self.book.borrow();
        let known = book.by_start_key(&request.workspace, request.start_key.as_deref()?)?;
        known.ended.is_none().then_some(known.id)
    }

    /// Waits until no other start with this key is in progress, so that repeating a slow start does
    /// not create a second program.
    async fn lock_start_key(self: &Rc<Self>, workspace: &str, key: &str) -> StartGuard {
        let start = StartKey { workspace: workspace.into(), key: key.into() };
        loop {
            let changed = self.calls_changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if self.starting.borrow_mut().insert(start.clone()) {
                return StartGuard { node: self.clone(), start };
            }
            changed.await;
        }
    }

    pub fn check_start(&self, request: &StartRequest) -> Result<(), CallRefusal> {
        if self.draining.get() {
            return Err(CallRefusal::retry(RefusalReason::Draining, START_RETRY_DELAY));
        }
        self.check_workspace(&request.workspace)?;
        let config = self.config.borrow();
        let definition = config.definition(&request.workspace, &request.definition);
        if definition.is_none_or(|found| found.value.retired) {
            return Err(CallRefusal::permanent(RefusalReason::UnknownDefinition));
        }
        Ok(())
    }

    /// Picks a served shard, in turn.
    fn pick_shard(&self) -> Result<ShardId, CallRefusal> {
        let serving = self.serving_shards();
        if serving.is_empty() {
            return Err(CallRefusal::retry(RefusalReason::OwnerMoving, START_RETRY_DELAY));
        }
        let index = self.program_counter.get() as usize % serving.len();
        Ok(serving[index])
    }

    fn allocate_program_id(&self, shard: ShardId) -> ProgramId {
        let counter = self.program_counter.get();
        self.program_counter.set(counter + 1);
        compose_program_id(shard, self.incarnation(), counter)
    }

    fn record_start(&self, program: ProgramId) {
        if let Some(record) = self.book.borrow_mut().get_mut(program) {
            let now = Some(Instant::now());
            record.started_here = now;
            record.last_active = now;
        }
    }

    /// Ends a program on this or another instance. Idempotent.
    pub async fn end_program(self: &Rc<Self>, program: ProgramId) -> Result<(), RequestFailure> {
        match self.route(program).await? {
            ProgramRoute::Here => self.end_here(program, EndReason::Asked).await,
            ProgramRoute::Peer(peer) => {
                let forwarded = self.peers.forward_end(&peer, program).await;
                forwarded.map_err(|error| forward_failure(&error))?.map_err(Into::into)
            }
        }
    }

    /// Ends a program that this instance serves, once its running call is finished.
    pub async fn end_here(
        self: &Rc<Self>,
        program: ProgramId,
        reason: EndReason,
    ) -> Result<(), RequestFailure> {
        loop {
            let changed = self.calls_changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if self.shards.borrow().phase(shard_of(program)) != Some(ShardPhase::Serving) {
                return Err(owner_moving().into());
            }
            let running = {
                let book = self.book.borrow();
                let unknown = CallRefusal::permanent(RefusalReason::UnknownProgram);
                let record = book.get(program).ok_or(unknown)?;
                if record.ended.is_some() {
                    return Ok(());
                }
                record.running.is_some() || record.ending
            };
            if !running {
                break;
            }
            changed.await;
        }
        self.check_store()?;
        if let Some(record) = self.book.borrow_mut().get_mut(program) {
            record.ending = true;
        }
        // Spawned, so that it completes even if the caller goes away: calls wait for it.
        let node = self.clone();
        let ending = actix_rt::spawn(async move { node.write_end(program, reason).await });
        match timeout(self.settings.limits.commit_timeout(), ending).await {
            Ok(Ok(ended)) => ended,
            Ok(Err(_)) | Err(_) => Err(RequestFailure::unknown(OWNER_DID_NOT_ANSWER)),
        }
    }

    async fn write_end(&self, program: ProgramId, reason: EndReason) -> Result<(), RequestFailure> {
        let epoch = self.incarnation();
        let wall_millis = self.wall().as_millis() as u64;
        let ended = JournalRecord::Ended { program, end: ProgramEnd { reason, wall_millis } };
        let written = self.journal.append(epoch, vec![ended]).await;
        self.calls_changed.notify_waiters();
        written.map_err(write_failure)?;
        self.record_latency(program);
        self.event("program_ended").program(program).detail(reason.to_string()).log();
        Ok(())
    }

    /// Records a program's duration; skipped if another instance started it.
    fn record_latency(&self, program: ProgramId) {
        let book = self.book.borrow();
        let Some(record) = book.get(program) else { return };
        let Some(started) = record.started_here else { return };
        let config = self.config.borrow();
        if let Some(workspace) = config.workspace(&record.workspace) {
            self.metrics.record_program(workspace.value.class, started.elapsed());
        }
    }

    /// Returns a program's state as JSON, from this or another instance.
    pub async fn show_program(
        self: &Rc<Self>,
        program: ProgramId,
    ) -> Result<Box<str>, CallRefusal> {
        match self.route(program).await? {
            ProgramRoute::Here => self.show_here(program).await,
            ProgramRoute::Peer(peer) => {
                let forwarded = self.peers.forward_show(&peer, program).await;
                forwarded.unwrap_or_else(|_| Err(owner_moving()))
            }
        }
    }

    pub async fn show_here(&self, program: ProgramId) -> Result<Box<str>, CallRefusal> {
        self.confirm_owner(program).await?;
        self.load_program_turns(program).await?;
        let book = self.book.borrow();
        let unknown = CallRefusal::permanent(RefusalReason::UnknownProgram);
        let view = self.view(book.get(program).ok_or(unknown)?);
        Ok(serde_json::to_string(&view).expect("views serialize").into())
    }

    pub fn programs_here(&self) -> Vec<ProgramView> {
        self.book.borrow().iter().map(|record| self.view(record)).collect()
    }

    fn view(&self, record: &ProgramRecord) -> ProgramView {
        ProgramView {
            program: format_program_id(record.id),
            workspace: record.workspace.clone(),
            definition: record.definition.clone(),
            ended: record.ended.map(|end| end.reason.to_string().into()),
            tokens: record.tokens,
            next_number: record.next_number(),
            owner: self.settings.instance.clone(),
            turns: record.turns.clone(),
        }
    }
}

fn write_failure(error: JournalError) -> RequestFailure {
    match error {
        JournalError::Fenced => owner_moving().into(),
        JournalError::Indeterminate => RequestFailure::unknown(OWNER_DID_NOT_ANSWER),
    }
}

/// Once the request was sent, the owner may have ended the program: the outcome is unknown.
fn forward_failure(error: &PeerError) -> RequestFailure {
    if error.sent { RequestFailure::unknown(OWNER_DID_NOT_ANSWER) } else { owner_moving().into() }
}

fn owner_moving() -> CallRefusal {
    CallRefusal::retry(RefusalReason::OwnerMoving, START_RETRY_DELAY)
}
