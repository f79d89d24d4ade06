//! Runs calls on model engines: budget reservation, engine choice, streaming and resumption.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout, timeout_at};

use super::context::CallContext;
use super::live::LiveCall;
use super::submit::CallConclusion;
use crate::core::budget::{Reservation, ReserveOutcome};
use crate::core::cache::PrefixKey;
use crate::core::history::JournalRecord;
use crate::core::ids::{
    Incarnation, ProgramId, RequestId, Tokens, UpstreamId, format_program_id, shard_of,
};
use crate::core::load::load_key;
use crate::core::outcome::{
    CallAnswer, CallOutcome, CallRefusal, RefusalReason, TokenUsage, UnknownCall,
};
use crate::core::ownership::ShardPhase;
use crate::core::repeats::{
    AttemptKey, AttemptState, FingerprintFields, MAX_LOSSES, RequestFingerprint, UnprovenAttempt,
};
use crate::node::engines::{EnginePermit, SlotNeed};
use crate::node::instance::Node;
use crate::node::upstream::{EngineEvent, GenerateRequest, UpstreamError};

/// Not more than may be lost under one call, as the restart of an engine is known only after it.
const MAX_ATTEMPTS: usize = MAX_LOSSES;
/// Extends the deadline of a preempted call, whose caller already has part of the answer.
const RESUME_TIMEOUT: Duration = Duration::from_secs(300);
const ENGINE_RETRY_DELAY: Duration = Duration::from_secs(1);
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);
const CANCEL_RETRY_DELAY: Duration = Duration::from_millis(500);
/// An attempt whose cost is not reported in this time is billed with its full reservation.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(60);

enum AttemptOutcome {
    Done(TokenUsage),
    Failed(UpstreamError),
    /// The engine's owner revoked the permit in favor of a paying call.
    Preempted,
}

/// Cost of a cancelled attempt.
struct AttemptCost {
    tokens: Tokens,
    /// The engine does not know the attempt, so all that was reserved counts.
    is_unknown: bool,
}

/// An attempt whose engine may have been lost under it.
struct LostCall {
    fingerprint: RequestFingerprint,
    program: ProgramId,
    engine: UpstreamId,
    /// Tells the attempts of a call apart; a restart keeps the engine's id.
    attempt: AttemptKey,
    sent_at: Instant,
    lost_at: Instant,
}

struct ModelCall<'a> {
    node: &'a Rc<Node>,
    context: &'a CallContext,
    call: &'a Rc<LiveCall>,
    max_prompt_tokens: Tokens,
    max_tokens: u32,
    received_tokens: u32,
    /// Limits the waits for budget and for a slot, not the run time.
    deadline: Instant,
    /// The engine has accepted the current attempt.
    accepted: bool,
    /// When the current attempt was sent.
    sent_at: Instant,
    fingerprint: RequestFingerprint,
    /// Any engine may have received a byte of the call; its outcome can't be `NotRun` then.
    maybe_sent: bool,
    failed_costs: Vec<JournalRecord>,
}

impl Node {
    pub(super) async fn run_model(
        self: &Rc<Self>,
        context: &CallContext,
        max_tokens: u32,
        call: &Rc<LiveCall>,
    ) -> CallConclusion {
        let prompt_bytes: usize = context.prompt.iter().map(|part| part.len()).sum();
        let Some(model) = self.settings.model(&context.model) else {
            return CallConclusion::refused(CallRefusal::permanent(RefusalReason::UnknownUpstream));
        };
        let max_prompt_tokens = (prompt_bytes as Tokens).div_ceil(model.min_bytes_per_token.into());
        let run = ModelCall {
            node: self,
            context,
            call,
            max_prompt_tokens,
            max_tokens,
            received_tokens: 0,
            deadline: context.deadline,
            accepted: false,
            sent_at: Instant::now(),
            fingerprint: fingerprint(context),
            maybe_sent: false,
            failed_costs: Vec::new(),
        };
        run.run().await
    }

    /// Cancels an attempt and settles its reservation with the cost the engine reports.
    ///
    /// The full reservation is spent if the engine does not know the request, as after a restart,
    /// or stays unreachable until the attempt must have ended.
    async fn cancel_and_settle(
        &self,
        reservation: Reservation,
        address: Box<str>,
        request: RequestId,
    ) -> AttemptCost {
        let mut used = reservation.tokens;
        let mut is_unknown = false;
        let deadline = Instant::now() + SETTLE_TIMEOUT;
        while Instant::now() < deadline {
            let cancel = self.engines.cancel(&address, &request);
            if let Ok(Ok(usage)) = timeout(CANCEL_TIMEOUT, cancel).await {
                is_unknown = usage.is_none();
                used = usage.map_or(used, |usage| usage.billed());
                break;
            }
            sleep(CANCEL_RETRY_DELAY).await;
        }
        self.settle(reservation, used);
        AttemptCost { tokens: used, is_unknown }
    }

    /// An engine that does not know an attempt it accepted has restarted under the call.
    fn record_loss(&self, call: &LostCall) {
        let now = Instant::now();
        let attempt = UnprovenAttempt {
            key: call.attempt,
            upstream: load_key(&call.engine, None),
            state: AttemptState::Lost,
            sent_at: call.sent_at,
            ended_at: call.lost_at,
        };
        self.losses.borrow_mut().record(call.fingerprint, attempt, now);
        let lost = self.losses.borrow().count(call.fingerprint, now);
        self.event("engine_lost")
            .program(call.program)
            .upstream(&call.engine)
            .detail(format!("fingerprint={} lost={lost}", call.fingerprint))
            .log();
    }

    /// Adds a failed attempt's cost to its program's usage, if the program is still served here.
    async fn record_spent(
        &self,
        incarnation: Incarnation,
        program: ProgramId,
        tokens: Tokens,
        upstream: UpstreamId,
    ) {
        let serving = self.shards.borrow().phase(shard_of(program)) == Some(ShardPhase::Serving);
        if serving && incarnation == self.incarnation() {
            let spent = JournalRecord::Spent { program, tokens, upstream };
            let _ = self.journal.append(incarnation, vec![spent]).await;
        }
    }
}

impl ModelCall<'_> {
    async fn run(mut self) -> CallConclusion {
        let mut excluded: Vec<UpstreamId> = Vec::new();
        while excluded.len() < MAX_ATTEMPTS {
            if self.context.incarnation != self.node.incarnation() {
                // The program has a new owner, which runs the call if it is retried.
                break;
            }
            let lost = self.node.losses.borrow().count(self.fingerprint, Instant::now());
            if lost >= MAX_LOSSES {
                return self.into_stopped(lost);
            }
            let reservation = match self.reserve().await {
                Ok(reservation) => reservation,
                Err(refusal) => return self.into_failure(refusal),
            };
            let acquiring = self.node.acquire_engine(self.context, self.slot_need(), &excluded);
            let permit = match acquiring.await {
                Ok(permit) => permit,
                Err(refusal) => {
                    self.node.settle(reservation, 0);
                    return self.into_failure(refusal);
                }
            };
            if let Err(refusal) = self.node.check_workspace(&self.context.workspace) {
                self.node.settle(reservation, 0);
                return self.into_failure(refusal);
            }
            let engine = permit.engine().clone();
            match self.attempt(&permit, &reservation).await {
                AttemptOutcome::Done(usage) => {
                    self.node.readmit_upstream(&engine);
                    self.node.settle(reservation, usage.billed());
                    return self.into_answer(engine, usage);
                }
                AttemptOutcome::Preempted => {
                    let preempted = UpstreamError::Lost { message: "preempted".into() };
                    self.settle_failed(reservation, &permit, &preempted);
                    self.deadline = self.deadline.max(Instant::now() + RESUME_TIMEOUT);
                    self.node
                        .event("call_preempted")
                        .program(self.context.request.program)
                        .upstream(&engine)
                        .detail(format!("received={}", self.received_tokens))
                        .log();
                }
                AttemptOutcome::Failed(error) => {
                    if error.is_refusal() {
                        self.node.eject_upstream(&engine);
                    }
                    self.settle_failed(reservation, &permit, &error);
                    self.node
                        .event("attempt_failed")
                        .program(self.context.request.program)
                        .upstream(&engine)
                        .detail(error.to_string())
                        .log();
                    excluded.push(engine);
                }
            }
        }
        let refusal = CallRefusal::retry(RefusalReason::Overloaded, ENGINE_RETRY_DELAY);
        self.into_failure(refusal)
    }

    fn slot_need(&self) -> SlotNeed {
        let own = self.context.prompt_tokens().saturating_sub(self.context.shared_tokens());
        SlotNeed {
            tokens: self.worst_case_tokens(),
            own_tokens: own + Tokens::from(self.max_tokens),
            deadline: self.deadline,
        }
    }

    fn worst_case_tokens(&self) -> Tokens {
        self.max_prompt_tokens + Tokens::from(self.max_tokens)
    }

    /// Reserves the worst-case cost of one attempt, waiting for a budget draw if necessary.
    async fn reserve(&self) -> Result<Reservation, CallRefusal> {
        let workspace = &self.context.workspace;
        loop {
            let committed = self.node.journal.committed();
            tokio::pin!(committed);
            committed.as_mut().enable();
            let wall_millis = self.node.wall().as_millis() as u64;
            let outcome = self.node.ledger.borrow_mut().reserve(
                workspace,
                self.worst_case_tokens(),
                wall_millis,
            );
            match outcome {
                ReserveOutcome::Held(reservation) => return Ok(reservation),
                ReserveOutcome::Exhausted => {
                    return Err(CallRefusal::permanent(RefusalReason::BudgetExhausted));
                }
                ReserveOutcome::Scarce => {
                    // An idle grant of another instance is returned within two reviews.
                    let wait = 2 * self.node.settings.limits.budget_idle_timeout();
                    return Err(CallRefusal::retry(RefusalReason::BudgetExhausted, wait));
                }
                ReserveOutcome::Draw => {
                    self.node.journal.request_commit();
                    if timeout_at(self.deadline, committed).await.is_err() {
                        let reason = RefusalReason::StoreUnavailable;
                        return Err(CallRefusal::retry(reason, ENGINE_RETRY_DELAY));
                    }
                }
            }
        }
    }

    async fn attempt(
        &mut self,
        permit: &EnginePermit,
        reservation: &Reservation,
    ) -> AttemptOutcome {
        self.accepted = false;
        self.sent_at = Instant::now();
        let request = GenerateRequest {
            request_id: self.attempt_id(reservation),
            incarnation: reservation.incarnation,
            attempt: reservation.attempt,
            program: self.context.request.program,
            workspace: self.context.workspace.clone(),
            class: self.context.class,
            prompt: self.context.prompt.clone(),
            max_tokens: self.max_tokens,
            resume_at: self.received_tokens,
        };
        let stall = self.node.settings.limits.stream_stall_timeout();
        let opening = self.node.engines.generate(permit.address(), &request);
        let mut stream = match timeout(stall, opening).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return AttemptOutcome::Failed(error),
            Err(_) => return AttemptOutcome::Failed(stall_error(stall)),
        };
        self.maybe_sent = true;
        self.accepted = true;
        loop {
            // A connection dropped by a middlebox stays open without an error, so the stream is
            // checked for progress.
            let event = tokio::select! {
                biased;
                () = permit.revoked() => return AttemptOutcome::Preempted,
                event = timeout(stall, stream.next()) => event,
            };
            match event {
                Ok(Ok(EngineEvent::Tokens { text, count })) => {
                    self.received_tokens += count;
                    self.call.push(&text);
                }
                Ok(Ok(EngineEvent::Done { usage })) => return AttemptOutcome::Done(usage),
                Ok(Err(error)) => return AttemptOutcome::Failed(error),
                Err(_) => return AttemptOutcome::Failed(stall_error(stall)),
            }
        }
    }

    /// Unique per attempt: callers choose request ids, so two programs may use the same one, and
    /// cancelling one call would also cancel the other.
    fn attempt_id(&self, reservation: &Reservation) -> RequestId {
        let (program, number) = (self.context.request.program, self.context.request.number);
        let Reservation { incarnation: epoch, attempt, .. } = reservation;
        format!("{program:016x}-{number}-{epoch}-{attempt}").into()
    }

    /// Settles a failed attempt: immediately if no byte of it reached the engine, otherwise in the
    /// background when the engine has reported its cost.
    fn settle_failed(
        &mut self,
        reservation: Reservation,
        permit: &EnginePermit,
        error: &UpstreamError,
    ) {
        if !self.accepted && matches!(error, UpstreamError::NotSent | UpstreamError::Refused { .. })
        {
            self.node.settle(reservation, 0);
            return;
        }
        self.maybe_sent = true;
        let program = self.context.request.program;
        let upstream = permit.engine().clone();
        // The engine may now cache the prefix; `record_spent` adds the cost.
        let unpriced = JournalRecord::Spent { program, tokens: 0, upstream: upstream.clone() };
        self.failed_costs.push(unpriced);
        let (address, request_id) = (permit.address().into(), self.attempt_id(&reservation));
        let node = self.node.clone();
        let lost = LostCall {
            fingerprint: self.fingerprint,
            program,
            engine: upstream.clone(),
            attempt: reservation.attempt,
            sent_at: self.sent_at,
            lost_at: Instant::now(),
        };
        let accepted = self.accepted;
        actix_rt::spawn(async move {
            let incarnation = reservation.incarnation;
            let cost = node.cancel_and_settle(reservation, address, request_id).await;
            if cost.is_unknown && accepted {
                node.record_loss(&lost);
            }
            node.record_spent(incarnation, program, cost.tokens, upstream).await;
        });
    }

    fn into_answer(self, engine: UpstreamId, usage: TokenUsage) -> CallConclusion {
        self.node.losses.borrow_mut().prove(self.fingerprint, Instant::now());
        let text: Box<str> = (*self.call.text()).into();
        let context = self.context;
        let key = PrefixKey::Program(context.request.program);
        self.node.record_computed_prefix(&engine, key, usage.prompt + usage.generated);
        let shared = PrefixKey::Shared {
            workspace: context.workspace.clone(),
            definition: context.definition.clone(),
        };
        self.node.record_computed_prefix(&engine, shared, context.shared_tokens());
        self.node.metrics.record_prompt_tokens(usage);
        let mut conclusion = CallConclusion::answered(CallAnswer { text, upstream: engine, usage });
        conclusion.records = self.failed_costs;
        conclusion
    }

    /// Each further engine would probably be lost too.
    fn into_stopped(self, lost: usize) -> CallConclusion {
        let message = format!("{lost} engines restarted under the call; no further one gets it");
        self.node
            .event("call_stopped")
            .program(self.context.request.program)
            .detail(format!("fingerprint={} lost={lost}", self.fingerprint))
            .log();
        let outcome = UnknownCall { message: message.into(), retryable: false }.into();
        CallConclusion { outcome, records: self.failed_costs, is_turn: false }
    }

    fn into_failure(self, refusal: CallRefusal) -> CallConclusion {
        let outcome = if self.maybe_sent {
            let message = "no engine finished the call; the same request id may be sent again";
            CallOutcome::Unknown(UnknownCall { message: message.into(), retryable: true })
        } else {
            CallOutcome::NotRun(refusal)
        };
        CallConclusion { outcome, records: self.failed_costs, is_turn: false }
    }
}

/// Also the same for a call that is submitted under another request id.
fn fingerprint(context: &CallContext) -> RequestFingerprint {
    let request = &context.request;
    RequestFingerprint::of(&FingerprintFields {
        workspace: Some(&context.workspace),
        program: Some(&format_program_id(request.program)),
        branch: None,
        previous: Some(&request.number.to_string()),
        affinity: None,
        method: "",
        host: "",
        target: &request.target.name(),
        body: request.input.as_bytes(),
    })
}

fn stall_error(limit: Duration) -> UpstreamError {
    UpstreamError::Lost { message: format!("no progress for {} ms", limit.as_millis()).into() }
}

pub(crate) fn time_left(deadline: Instant) -> Duration {
    deadline.saturating_duration_since(Instant::now())
}
