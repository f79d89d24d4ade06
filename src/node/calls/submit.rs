//! Admits calls: forwards them to their program's owner, orders them and checks their limits.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, timeout_at};

use super::context::CallContext;
use super::live::LiveCall;
use super::route::ProgramRoute;
use super::{CallRequest, CallTarget};
use crate::core::history::{Admission, JournalRecord, ProgramRecord, TurnRecord};
use crate::core::ids::{CallNumber, ProgramId, ShardId, shard_of};
use crate::core::outcome::{CallAnswer, CallOutcome, CallRefusal, RefusalReason, UnknownCall};
use crate::core::ownership::ShardPhase;
use crate::node::instance::Node;
use crate::node::peers::PeerError;

const OWNER_MOVING_RETRY_DELAY: Duration = Duration::from_millis(500);
pub(super) const STALE_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Bounds the wait of a forwarded call at an owner that hands its shard over.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(800);

pub(crate) struct CallConclusion {
    pub(crate) outcome: CallOutcome,
    /// Does not include the turn's own record.
    pub(crate) records: Vec<JournalRecord>,
    /// The outcome is recorded as the program's next turn.
    pub(crate) is_turn: bool,
}

impl CallConclusion {
    pub(crate) fn answered(answer: CallAnswer) -> Self {
        Self { outcome: answer.into(), records: Vec::new(), is_turn: true }
    }

    pub(crate) fn refused(refusal: CallRefusal) -> Self {
        Self { outcome: refusal.into(), records: Vec::new(), is_turn: false }
    }
}

impl Node {
    /// Submits a call on any instance. It is forwarded again if its shard has moved meanwhile.
    pub async fn submit(
        self: &Rc<Self>,
        request: CallRequest,
    ) -> Result<Rc<LiveCall>, CallRefusal> {
        let _open = self.open_request();
        let program = request.program;
        let deadline = request.deadline.unwrap_or(self.settings.limits.call_deadline());
        let deadline = Instant::now() + deadline;
        loop {
            let submitted = match self.route_until(program, deadline).await? {
                ProgramRoute::Here => self.submit_here(request.clone()).await,
                ProgramRoute::Peer(peer) => {
                    let forwarded = self.peers.forward_call(&peer, request.clone()).await;
                    forwarded.unwrap_or_else(|error| forward_failure(&error))
                }
            };
            match submitted {
                Err(refusal)
                    if refusal.reason == RefusalReason::OwnerMoving
                        && Instant::now() < deadline =>
                {
                    self.wait_for_owner_change(shard_of(program)).await;
                }
                other => return other,
            }
        }
    }

    pub async fn follow(
        self: &Rc<Self>,
        program: ProgramId,
        number: CallNumber,
    ) -> Result<Rc<LiveCall>, CallRefusal> {
        match self.route(program).await? {
            ProgramRoute::Here => self.follow_here(program, number).await,
            ProgramRoute::Peer(peer) => {
                let forwarded = self.peers.forward_follow(&peer, program, number).await;
                forwarded.unwrap_or_else(|_| Err(owner_moving()))
            }
        }
    }

    /// The program must be served here.
    pub async fn follow_here(
        &self,
        program: ProgramId,
        number: CallNumber,
    ) -> Result<Rc<LiveCall>, CallRefusal> {
        self.load_program_turns(program).await?;
        match self.find_call(program, number) {
            Err(refusal) if depends_on_history(&refusal.reason) => {
                self.confirm_owner(program).await?;
                self.find_call(program, number)
            }
            found => found,
        }
    }

    fn find_call(
        &self,
        program: ProgramId,
        number: CallNumber,
    ) -> Result<Rc<LiveCall>, CallRefusal> {
        if let Some(call) = self.live.borrow().get(&(program, number)) {
            return Ok(call.clone());
        }
        let book = self.book.borrow();
        let unknown = CallRefusal::permanent(RefusalReason::UnknownProgram);
        let record = book.get(program).ok_or(unknown)?;
        let expected = record.next_number();
        let wrong_number = CallRefusal::permanent(RefusalReason::WrongNumber { expected });
        let turn = record.turn(number).ok_or(wrong_number)?;
        Ok(LiveCall::finished(turn.outcome.clone()))
    }

    /// The program must be served here.
    pub async fn submit_here(
        self: &Rc<Self>,
        request: CallRequest,
    ) -> Result<Rc<LiveCall>, CallRefusal> {
        let deadline = request.deadline.unwrap_or(self.settings.limits.call_deadline());
        let deadline = Instant::now() + deadline;
        self.wait_while_draining(shard_of(request.program)).await;
        let mut confirmed = false;
        loop {
            let changed = self.calls_changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            match self.admit(&request)? {
                Admission::Run => return self.start_call(request, deadline),
                Admission::LoadTurns => self.load_program_turns(request.program).await?,
                Admission::Attach => return self.find_call(request.program, request.number),
                Admission::Recorded(outcome) => return Ok(LiveCall::finished(outcome)),
                Admission::Refuse(reason) if depends_on_history(&reason) && !confirmed => {
                    self.confirm_owner(request.program).await?;
                    confirmed = true;
                }
                Admission::Refuse(reason) => return Err(CallRefusal::permanent(reason)),
                Admission::Wait => {
                    if timeout_at(deadline, changed).await.is_err() {
                        let retry =
                            CallRefusal::retry(RefusalReason::Overloaded, OWNER_MOVING_RETRY_DELAY);
                        return Err(retry);
                    }
                }
            }
        }
    }

    /// Waits briefly while the shard drains, so that the forwarding instance does not poll for the
    /// new owner.
    async fn wait_while_draining(&self, shard: ShardId) {
        let deadline = Instant::now() + DRAIN_TIMEOUT;
        while self.shards.borrow().phase(shard) == Some(ShardPhase::Draining) {
            if timeout_at(deadline, self.shards_changed.notified()).await.is_err() {
                return;
            }
        }
    }

    fn admit(&self, request: &CallRequest) -> Result<Admission, CallRefusal> {
        // The shard may have moved while the call waited for an earlier one.
        if self.shards.borrow().phase(shard_of(request.program)) != Some(ShardPhase::Serving) {
            return Err(owner_moving());
        }
        let book = self.book.borrow();
        let Some(record) = book.get(request.program) else {
            return Ok(Admission::Refuse(RefusalReason::UnknownProgram));
        };
        Ok(record.admit(&request.key()))
    }

    fn start_call(
        self: &Rc<Self>,
        request: CallRequest,
        deadline: Instant,
    ) -> Result<Rc<LiveCall>, CallRefusal> {
        self.check_store()?;
        let context = self.call_context(request, deadline)?;
        let (program, number) = (context.request.program, context.request.number);
        let running = Some(context.request.key());
        self.book.borrow_mut().get_mut(program).expect("admitted programs exist").running = running;
        let call = LiveCall::new();
        self.live.borrow_mut().insert((program, number), call.clone());
        self.event("call_started").program(program).workspace(&context.workspace).log();
        let node = self.clone();
        let followed = call.clone();
        actix_rt::spawn(async move { node.execute(context, followed).await });
        Ok(call)
    }

    fn call_context(
        &self,
        request: CallRequest,
        deadline: Instant,
    ) -> Result<CallContext, CallRefusal> {
        let book = self.book.borrow();
        let record = book.get(request.program).expect("admitted programs exist");
        self.check_workspace(&record.workspace)?;
        let config = self.config.borrow();
        let workspace = config.workspace(&record.workspace);
        let unknown_workspace = CallRefusal::permanent(RefusalReason::UnknownWorkspace);
        let workspace = &workspace.ok_or(unknown_workspace)?.value;
        let unknown_definition = CallRefusal::permanent(RefusalReason::UnknownDefinition);
        let definition = config.definition(&record.workspace, &record.definition);
        let definition = &definition.ok_or(unknown_definition)?.value;
        let limit_reached = |limit: &str| {
            CallRefusal::permanent(RefusalReason::LimitReached { limit: limit.into() })
        };
        if record.next_number() > definition.max_turns {
            return Err(limit_reached("turns"));
        }
        if record.tokens >= definition.max_tokens {
            return Err(limit_reached("tokens"));
        }
        Ok(CallContext {
            workspace: workspace.id.clone(),
            class: workspace.class,
            weight: workspace.priority,
            model: definition.model.clone(),
            definition: definition.name.clone(),
            shared_prefix: definition.shared_prefix.clone(),
            attained: record.tokens,
            cold: record.tokens == 0 && record.parent.is_none(),
            prompt: build_prompt(record, &definition.shared_prefix, &request.input),
            incarnation: self.incarnation(),
            deadline,
            request,
        })
    }

    /// Refuses calls of unknown or retired workspaces, and all calls while the configuration may be
    /// stale.
    ///
    /// Checked at admission and again before dispatch, since the configuration may change while a
    /// call waits for a slot.
    pub(crate) fn check_workspace(&self, workspace: &str) -> Result<(), CallRefusal> {
        let config = self.config.borrow();
        if !config.is_current(Instant::now(), self.settings.limits.max_config_age()) {
            return Err(CallRefusal::retry(RefusalReason::ConfigStale, STALE_RETRY_DELAY));
        }
        if config.workspace(workspace).is_none_or(|found| found.value.retired) {
            return Err(CallRefusal::permanent(RefusalReason::UnknownWorkspace));
        }
        Ok(())
    }

    async fn execute(self: Rc<Self>, context: CallContext, call: Rc<LiveCall>) {
        let started = Instant::now();
        let conclusion = match &context.request.target {
            CallTarget::Model { max_tokens } => self.run_model(&context, *max_tokens, &call).await,
            CallTarget::Service { service, idempotent } => {
                self.run_service(&context, service, *idempotent).await
            }
        };
        let outcome = self.commit_conclusion(&context, conclusion).await;
        self.metrics.record_call(context.class, &outcome, started.elapsed());
        let key = (context.request.program, context.request.number);
        let mut call = call;
        if context.incarnation == self.incarnation() {
            call = self.remove_live_call(&context, call);
            if let Some(record) = self.book.borrow_mut().get_mut(key.0) {
                record.running = None;
                record.last_active = Some(Instant::now());
            }
        }
        let detail = outcome_name(&outcome);
        self.event("call_finished")
            .program(key.0)
            .workspace(&context.workspace)
            .detail(format!("number={} outcome={detail}", key.1))
            .log();
        if let CallOutcome::Answered(answer) = &outcome {
            call.push_remainder(&answer.text);
        }
        call.finish(outcome);
        self.calls_changed.notify_waiters();
        self.shards_changed.notify_waiters();
    }

    /// Makes the result durable before any follower receives it as final.
    async fn commit_conclusion(
        &self,
        context: &CallContext,
        conclusion: CallConclusion,
    ) -> CallOutcome {
        let CallConclusion { outcome, mut records, is_turn } = conclusion;
        let program = context.request.program;
        if is_turn {
            let turn = TurnRecord {
                number: context.request.number,
                request_id: context.request.request_id.clone(),
                input: context.request.input.clone(),
                target: context.request.target.name(),
                outcome: outcome.clone(),
            };
            records.push(JournalRecord::Finished { program, turn });
        }
        if records.is_empty() {
            return outcome;
        }
        match self.append_durable(context, records).await {
            Ok(()) => outcome,
            Err(_) => CallOutcome::Unknown(UnknownCall {
                message: "this instance lost the program before the answer was durable".into(),
                retryable: true,
            }),
        }
    }
}

/// The refusal depends on the program's history, which may be out of date on a fenced instance.
fn depends_on_history(reason: &RefusalReason) -> bool {
    matches!(reason, RefusalReason::WrongNumber { .. } | RefusalReason::UnknownProgram)
}

pub(super) fn owner_moving() -> CallRefusal {
    CallRefusal::retry(RefusalReason::OwnerMoving, OWNER_MOVING_RETRY_DELAY)
}

/// `NotRun` only if no byte of the call was sent: an owner that received it may be running it.
fn forward_failure(error: &PeerError) -> Result<Rc<LiveCall>, CallRefusal> {
    if !error.sent {
        return Err(owner_moving());
    }
    let message = "the program's owner did not answer; the same request id may be sent again";
    let unknown = UnknownCall { message: message.into(), retryable: true };
    Ok(LiveCall::finished(CallOutcome::Unknown(unknown)))
}

fn build_prompt(record: &ProgramRecord, shared_prefix: &str, input: &str) -> Vec<Box<str>> {
    let mut prompt: Vec<Box<str>> = vec![shared_prefix.into()];
    for turn in &record.turns {
        prompt.push(turn.input.clone());
        if let CallOutcome::Answered(answer) = &turn.outcome {
            prompt.push(answer.text.clone());
        }
    }
    prompt.push(input.into());
    prompt
}

fn outcome_name(outcome: &CallOutcome) -> &'static str {
    match outcome {
        CallOutcome::Answered(_) => "answered",
        CallOutcome::NotRun(_) => "not_run",
        CallOutcome::Unknown(_) => "unknown",
    }
}
