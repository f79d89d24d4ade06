//! Calls to model engines: budget, engine choice, streaming and resumption.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout, timeout_at};

use super::context::CallContext;
use super::live::LiveCall;
use super::submit::CallConclusion;
use crate::core::budget::{Reservation, ReserveOutcome};
use crate::core::cache::PrefixKey;
use crate::core::history::JournalRecord;
use crate::core::ids::{Incarnation, ProgramId, RequestId, Tokens, UpstreamId, shard_of};
use crate::core::outcome::{
    CallAnswer, CallOutcome, CallRefusal, RefusalReason, TokenUsage, UnknownCall,
};
use crate::core::ownership::ShardPhase;
use crate::node::engines::{EnginePermit, SlotNeed};
use crate::node::instance::Node;
use crate::node::upstream::{EngineEvent, GenerateRequest, UpstreamError};

/// Engines a call is tried on before it is given up.
const MAX_ATTEMPTS: usize = 4;
/// How long a preempted call may wait to be resumed. Its caller has part of the answer already; the
/// surge that took its slot is over by then, or its grant in twenty has come.
const RESUME_PATIENCE: Duration = Duration::from_secs(300);
const ENGINE_RETRY: Duration = Duration::from_secs(1);
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);
const CANCEL_RETRY: Duration = Duration::from_millis(500);
/// How long an engine is asked for the cost of an attempt before all that was held is counted.
const CANCEL_LIMIT: Duration = Duration::from_secs(60);

/// How one attempt on one engine ended.
enum AttemptEnd {
    Done(TokenUsage),
    Failed(UpstreamError),
    /// The engine's owner wants the slot back for paying work.
    Preempted,
}

/// A model call under way.
struct ModelCall<'a> {
    node: &'a Rc<Node>,
    context: &'a CallContext,
    call: &'a Rc<LiveCall>,
    prompt_bound: Tokens,
    max_tokens: u32,
    received: u32,
    /// How long it may wait for a slot.
    deadline: Instant,
    /// Whether the engine has accepted the present attempt.
    opened: bool,
    /// Whether any engine may have got a byte of it.
    sent: bool,
    /// Tokens of attempts that failed, to be journaled.
    records: Vec<JournalRecord>,
}

impl Node {
    pub(super) async fn run_model(
        self: &Rc<Self>,
        context: &CallContext,
        max_tokens: u32,
        call: &Rc<LiveCall>,
    ) -> CallConclusion {
        let bytes: usize = context.prompt.iter().map(|part| part.len()).sum();
        let Some(model) = self.settings.model(&context.model) else {
            return CallConclusion::refused(CallRefusal::permanent(RefusalReason::UnknownUpstream));
        };
        let prompt_bound = (bytes as Tokens).div_ceil(model.min_bytes_per_token.into());
        let run = ModelCall {
            node: self,
            context,
            call,
            prompt_bound,
            max_tokens,
            received: 0,
            deadline: context.deadline,
            opened: false,
            sent: false,
            records: Vec::new(),
        };
        run.run().await
    }

    /// Stops an attempt whose stream has failed, settles it with what the engine says it cost, and
    /// returns that.
    ///
    /// All that was held counts as spent if the engine does not know the request: it may have
    /// restarted, and what it did before was billed. The same holds if it cannot be asked for so
    /// long that the attempt has surely run to its end.
    async fn settle_sent(
        &self,
        reservation: Reservation,
        address: Box<str>,
        request: RequestId,
    ) -> Tokens {
        let mut used = reservation.tokens;
        let limit = Instant::now() + CANCEL_LIMIT;
        while Instant::now() < limit {
            let cancel = self.engines.cancel(&address, &request);
            if let Ok(Ok(usage)) = timeout(CANCEL_TIMEOUT, cancel).await {
                used = usage.map_or(used, |usage| usage.billed());
                break;
            }
            sleep(CANCEL_RETRY).await;
        }
        self.settle(reservation, used);
        used
    }

    /// Counts what a failed attempt cost towards its program's limits, if it is still served here.
    async fn record_spent(
        &self,
        epoch: Incarnation,
        program: ProgramId,
        tokens: Tokens,
        upstream: UpstreamId,
    ) {
        let serving = self.shards.borrow().phase(shard_of(program)) == Some(ShardPhase::Serving);
        if serving && epoch == self.incarnation() {
            let spent = JournalRecord::Spent { program, tokens, upstream };
            let _ = self.journal.append(epoch, vec![spent]).await;
        }
    }
}

impl ModelCall<'_> {
    async fn run(mut self) -> CallConclusion {
        let mut avoid: Vec<UpstreamId> = Vec::new();
        while avoid.len() < MAX_ATTEMPTS {
            if self.context.epoch != self.node.incarnation() {
                // The program has moved: its new owner will run the call if its caller repeats it.
                break;
            }
            let reservation = match self.reserve().await {
                Ok(reservation) => reservation,
                Err(refusal) => return self.give_up(refusal),
            };
            let acquiring = self.node.acquire_engine(self.context, self.slot_need(), &avoid);
            let permit = match acquiring.await {
                Ok(permit) => permit,
                Err(refusal) => {
                    self.node.settle(reservation, 0);
                    return self.give_up(refusal);
                }
            };
            if let Err(refusal) = self.node.check_workspace(&self.context.workspace) {
                self.node.settle(reservation, 0);
                return self.give_up(refusal);
            }
            let engine = permit.engine().clone();
            match self.attempt(&permit, &reservation).await {
                AttemptEnd::Done(usage) => {
                    self.node.readmit(&engine);
                    self.node.settle(reservation, usage.billed());
                    return self.answered(engine, usage);
                }
                AttemptEnd::Preempted => {
                    let stopped = UpstreamError::Lost { message: "preempted".into() };
                    self.settle_failed(reservation, &permit, &stopped);
                    self.deadline = self.deadline.max(Instant::now() + RESUME_PATIENCE);
                    self.node
                        .event("call_preempted")
                        .program(self.context.request.program)
                        .upstream(&engine)
                        .detail(format!("received={}", self.received))
                        .log();
                }
                AttemptEnd::Failed(error) => {
                    if error.is_refusal() {
                        self.node.put_aside(&engine);
                    }
                    self.settle_failed(reservation, &permit, &error);
                    self.node
                        .event("attempt_failed")
                        .program(self.context.request.program)
                        .upstream(&engine)
                        .detail(error.to_string())
                        .log();
                    avoid.push(engine);
                }
            }
        }
        let refusal = CallRefusal::retry(RefusalReason::Overloaded, ENGINE_RETRY);
        self.give_up(refusal)
    }

    fn slot_need(&self) -> SlotNeed {
        let own = self.context.prompt_tokens().saturating_sub(self.context.shared_tokens());
        SlotNeed {
            tokens: self.worst(),
            own_tokens: own + Tokens::from(self.max_tokens),
            deadline: self.deadline,
        }
    }

    fn worst(&self) -> Tokens {
        self.prompt_bound + Tokens::from(self.max_tokens)
    }

    /// Holds the worst case of one attempt, waiting for a draw if need be.
    async fn reserve(&self) -> Result<Reservation, CallRefusal> {
        let workspace = &self.context.workspace;
        loop {
            let committed = self.node.journal.committed();
            tokio::pin!(committed);
            committed.as_mut().enable();
            let wall = self.node.wall().as_millis() as u64;
            let outcome = self.node.ledger.borrow_mut().reserve(workspace, self.worst(), wall);
            match outcome {
                ReserveOutcome::Held(reservation) => return Ok(reservation),
                ReserveOutcome::Exhausted => {
                    return Err(CallRefusal::permanent(RefusalReason::BudgetExhausted));
                }
                ReserveOutcome::Scarce => {
                    // Two reviews pass at most before a grant that is idle elsewhere is back.
                    let wait = 2 * self.node.settings.limits.budget_idle_timeout();
                    return Err(CallRefusal::retry(RefusalReason::BudgetExhausted, wait));
                }
                ReserveOutcome::Draw => {
                    self.node.journal.wake();
                    if timeout_at(self.deadline, committed).await.is_err() {
                        let reason = RefusalReason::StoreUnavailable;
                        return Err(CallRefusal::retry(reason, ENGINE_RETRY));
                    }
                }
            }
        }
    }

    async fn attempt(&mut self, permit: &EnginePermit, reservation: &Reservation) -> AttemptEnd {
        self.opened = false;
        let request = GenerateRequest {
            request_id: self.attempt_id(reservation),
            incarnation: reservation.incarnation,
            attempt: reservation.attempt,
            program: self.context.request.program,
            workspace: self.context.workspace.clone(),
            class: self.context.class,
            prompt: self.context.prompt.clone(),
            max_tokens: self.max_tokens,
            resume_at: self.received,
        };
        let stall = self.node.settings.limits.stream_stall_timeout();
        let opening = self.node.engines.generate(permit.address(), &request);
        let mut stream = match timeout(stall, opening).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return AttemptEnd::Failed(error),
            Err(_) => return AttemptEnd::Failed(stalled(stall)),
        };
        self.sent = true;
        self.opened = true;
        loop {
            // Progress, not the socket's state, tells whether the stream lives: a connection that
            // something on the way has forgotten stays open and silent for good.
            let event = tokio::select! {
                biased;
                () = permit.revoked() => return AttemptEnd::Preempted,
                event = timeout(stall, stream.next()) => event,
            };
            match event {
                Ok(Ok(EngineEvent::Tokens { text, count })) => {
                    self.received += count;
                    self.call.push(&text);
                }
                Ok(Ok(EngineEvent::Done { usage })) => return AttemptEnd::Done(usage),
                Ok(Err(error)) => return AttemptEnd::Failed(error),
                Err(_) => return AttemptEnd::Failed(stalled(stall)),
            }
        }
    }

    /// The attempt's name at the engine. Callers choose their request ids freely, so those of two
    /// programs may be equal; cancelling one call would stop the other.
    fn attempt_id(&self, reservation: &Reservation) -> RequestId {
        let (program, number) = (self.context.request.program, self.context.request.number);
        let Reservation { incarnation: epoch, attempt, .. } = reservation;
        format!("{program:016x}-{number}-{epoch}-{attempt}").into()
    }

    /// Settles a failed attempt: at once if no byte of it reached the engine, else when the engine
    /// has told what it cost.
    fn settle_failed(
        &mut self,
        reservation: Reservation,
        permit: &EnginePermit,
        error: &UpstreamError,
    ) {
        if !self.opened && matches!(error, UpstreamError::NotSent | UpstreamError::Refused { .. }) {
            self.node.settle(reservation, 0);
            return;
        }
        self.sent = true;
        let program = self.context.request.program;
        let upstream = permit.engine().clone();
        // The engine may hold memory from now on; what it cost follows when it is known.
        let holder = JournalRecord::Spent { program, tokens: 0, upstream: upstream.clone() };
        self.records.push(holder);
        let (address, request_id) = (permit.address().into(), self.attempt_id(&reservation));
        let node = self.node.clone();
        actix_rt::spawn(async move {
            let epoch = reservation.incarnation;
            let tokens = node.settle_sent(reservation, address, request_id).await;
            node.record_spent(epoch, program, tokens, upstream).await;
        });
    }

    fn answered(self, engine: UpstreamId, usage: TokenUsage) -> CallConclusion {
        let text: Box<str> = (*self.call.text()).into();
        let context = self.context;
        let key = PrefixKey::Program(context.request.program);
        self.node.prefix_computed(&engine, key, usage.prompt + usage.generated);
        let shared = PrefixKey::Shared {
            workspace: context.workspace.clone(),
            definition: context.definition.clone(),
        };
        self.node.prefix_computed(&engine, shared, context.shared_tokens());
        self.node.metrics.prompt_tokens(usage);
        let mut conclusion = CallConclusion::answered(CallAnswer { text, upstream: engine, usage });
        conclusion.records = self.records;
        conclusion
    }

    fn give_up(self, refusal: CallRefusal) -> CallConclusion {
        let outcome = if self.sent {
            let message = "no engine finished the call; the same request id may be sent again";
            CallOutcome::Unknown(UnknownCall { message: message.into(), retryable: true })
        } else {
            CallOutcome::NotRun(refusal)
        };
        CallConclusion { outcome, records: self.records, lasting: false }
    }
}

fn stalled(limit: Duration) -> UpstreamError {
    UpstreamError::Lost { message: format!("no progress for {} ms", limit.as_millis()).into() }
}

/// Time left until a deadline.
pub(crate) fn time_left(deadline: Instant) -> Duration {
    deadline.saturating_duration_since(Instant::now())
}
