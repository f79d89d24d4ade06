//! Sends a request to upstreams until one of them returns a response to forward.

mod exchange;
mod guard;
mod progress;
mod send;

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use actix_http::{ResponseHead, StatusCode};
use bytes::Bytes;
use tokio::time::{Instant, sleep};

pub(crate) use exchange::answer_end;
pub(crate) use guard::AttemptGuard;
pub(crate) use progress::AttemptProgress;
pub(crate) use send::record_lost;

use super::call::CallContext;
use super::dialect::AnswerHead;
use super::http::ClientConnection;
use super::refusal::Refusal;
use super::{Gateway, GatewayMechanism};
use crate::core::admission::{ExpectedStart, retry_delay};
use crate::core::ids::UpstreamId;
use crate::core::repeats::RerunDecision;
use crate::core::upstreams::{AttemptResult, ChoiceRequest, UpstreamChoice};

const MAX_TRIED_UPSTREAMS: usize = 8;
/// Wait before upstreams that rejected the request are tried again.
const UPSTREAM_RETRY_INTERVAL: Duration = Duration::from_millis(30);
/// Rejecting upstreams are retried within the objective divided by this, so that a refused caller has
/// time left for another attempt.
const RETRY_WINDOW_DIVISOR: u32 = 4;
/// Leaves full upstreams time to finish some requests.
const UPSTREAMS_FULL_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Covers the start of an upstream and its arrival over the change feed.
const NO_UPSTREAM_RETRY_DELAY: Duration = Duration::from_millis(700);
/// Covers the detection of upstreams that fail. A random part of up to the same length spreads the
/// returns.
const RETRY_BUDGET_DELAY: Duration = Duration::from_millis(500);
const MAX_DISCARDED_BODY_BYTES: usize = 1024 * 1024;

/// Beginning of the body of an answer that was read before the answer is forwarded.
pub(crate) struct BufferedBody {
    pub(crate) pieces: VecDeque<Bytes>,
    /// Otherwise the rest is read from the connection.
    pub(crate) is_whole: bool,
}

pub(crate) struct UpstreamAnswer {
    pub(crate) choice: UpstreamChoice,
    pub(crate) connection: ClientConnection,
    pub(crate) head: ResponseHead,
    pub(crate) info: AnswerHead,
    /// Buffered body of an idempotent request; otherwise read from the connection.
    pub(crate) body: Option<BufferedBody>,
    pub(crate) guard: AttemptGuard,
    pub(crate) sent_at: Instant,
}

impl UpstreamAnswer {
    /// Returns the connection of an answer that is not forwarded to the pool.
    fn release(self) {
        let Self { choice, connection, head, info, guard, .. } = self;
        guard.release_connection(connection, &choice.address, head.status, info.keep_alive);
    }
}

enum AttemptError {
    NotRun(AttemptResult),
    Unknown(&'static str),
    /// The work may not be sent any longer.
    Refused(Refusal),
}

impl Gateway {
    /// Retries at another upstream only if the request did not run or its route allows a rerun.
    pub(crate) async fn attempt(
        self: &Rc<Self>,
        call: &CallContext,
        progress: &AttemptProgress,
    ) -> Result<UpstreamAnswer, Refusal> {
        self.try_upstreams(call, None, &mut Vec::new(), progress).await
    }

    /// Continues a stream that the upstream `broken` did not complete.
    pub(crate) async fn attempt_resume(
        self: &Rc<Self>,
        call: &CallContext,
        broken: &UpstreamChoice,
        progress: &AttemptProgress,
    ) -> Result<UpstreamAnswer, Refusal> {
        let mut tried = Vec::new();
        let pinned = self.plan_rerun(call, broken, &mut tried, progress)?;
        self.try_upstreams(call, pinned, &mut tried, progress).await
    }

    /// Returns the upstream that must get the request again; `None` if any untried one may.
    fn plan_rerun(
        &self,
        call: &CallContext,
        lost: &UpstreamChoice,
        tried: &mut Vec<UpstreamId>,
        progress: &AttemptProgress,
    ) -> Result<Option<UpstreamChoice>, Refusal> {
        match self.decide_rerun(call, progress) {
            RerunDecision::OtherUpstream => {
                tried.push(lost.id.clone());
                Ok(None)
            }
            RerunDecision::SameUpstream => {
                progress.same_upstream_reruns.set(progress.same_upstream_reruns.get() + 1);
                Ok(Some(lost.clone()))
            }
            RerunDecision::Forbidden => {
                Err(Refusal::unknown(StatusCode::BAD_GATEWAY, "answer_lost"))
            }
            RerunDecision::UpstreamsLost => {
                Err(Refusal::unknown(StatusCode::BAD_GATEWAY, "upstreams_lost"))
            }
        }
    }

    async fn try_upstreams(
        self: &Rc<Self>,
        call: &CallContext,
        mut pinned: Option<UpstreamChoice>,
        tried: &mut Vec<UpstreamId>,
        progress: &AttemptProgress,
    ) -> Result<UpstreamAnswer, Refusal> {
        let retry_deadline = call.arrived + call.route.objective / RETRY_WINDOW_DIVISOR;
        loop {
            let is_pinned = pinned.is_some();
            let Some(choice) = pinned.take().or_else(|| self.choose(call, tried)) else {
                if tried.is_empty() {
                    return Err(no_upstream_refusal(
                        progress,
                        "no_upstream",
                        NO_UPSTREAM_RETRY_DELAY,
                    ));
                }
                if Instant::now() + UPSTREAM_RETRY_INTERVAL >= retry_deadline
                    || tried.len() >= MAX_TRIED_UPSTREAMS
                {
                    return Err(no_upstream_refusal(
                        progress,
                        "upstreams_full",
                        UPSTREAMS_FULL_RETRY_DELAY,
                    ));
                }
                sleep(UPSTREAM_RETRY_INTERVAL).await;
                tried.retain(|id| progress.sent.borrow().contains(id));
                continue;
            };
            self.check_stop(call, progress)?;
            self.check_losses(call, progress)?;
            self.check_start(call, &choice, progress)?;
            self.check_retry(call, progress)?;
            progress.tries.set(progress.tries.get() + 1);
            match self.attempt_upstream(call, &choice, progress).await {
                Ok(answer) if self.should_retry_elsewhere(call, &answer, progress) => {
                    answer.guard.record(AttemptResult::Broken);
                    answer.release();
                    tried.push(choice.id);
                }
                Ok(answer) => {
                    self.record_success(call, &answer);
                    return Ok(answer);
                }
                Err(AttemptError::NotRun(result)) => {
                    log::info!(
                        "event=attempt_not_run request={} upstream={} cause={result:?}",
                        call.id,
                        choice.id
                    );
                    if result == AttemptResult::Unreachable {
                        progress.record_unreachable(&choice);
                    } else if is_pinned && result == AttemptResult::Withdrawn {
                        return Err(Refusal::unknown(StatusCode::BAD_GATEWAY, "upstream_left"));
                    } else if is_pinned {
                        sleep(UPSTREAM_RETRY_INTERVAL).await;
                        pinned = self.plan_rerun(call, &choice, tried, progress)?;
                        continue;
                    }
                    tried.push(choice.id);
                    if tried.len() >= MAX_TRIED_UPSTREAMS {
                        return Err(no_upstream_refusal(
                            progress,
                            "upstreams_full",
                            UPSTREAMS_FULL_RETRY_DELAY,
                        ));
                    }
                }
                Err(AttemptError::Refused(refusal)) => return Err(refusal),
                Err(AttemptError::Unknown(cause)) => {
                    log::warn!(
                        "event=attempt_unknown request={} upstream={} runs={} cause=\"{cause}\"",
                        call.id,
                        choice.id,
                        progress.runs.get()
                    );
                    pinned = self.plan_rerun(call, &choice, tried, progress)?;
                }
            }
        }
    }

    fn should_retry_elsewhere(
        &self,
        call: &CallContext,
        answer: &UpstreamAnswer,
        progress: &AttemptProgress,
    ) -> bool {
        if !answer.head.status.is_server_error() {
            return false;
        }
        progress.error_answers.set(progress.error_answers.get() + 1);
        self.decide_rerun(call, progress) == RerunDecision::OtherUpstream
    }

    fn choose(&self, call: &CallContext, tried: &[UpstreamId]) -> Option<UpstreamChoice> {
        let affinity = call.head.affinity.as_deref().filter(|_| call.route.sticky);
        let shares_load =
            self.shares_load(&call.service) && self.settings.uses(GatewayMechanism::LoadPlacement);
        let view = self.load.view.borrow();
        let request = ChoiceRequest {
            service: &call.service,
            zone: &self.settings.zone,
            blocks: &call.head.blocks,
            holder: call.holder.as_ref(),
            affinity,
            tried,
            connected: &|address| self.pool.has_idle(address),
            salt: rand::random(),
            load: shares_load.then_some(&*view),
            now: Instant::now(),
        };
        self.feed.upstreams.borrow().choose(&request)
    }

    fn record_success(&self, call: &CallContext, answer: &UpstreamAnswer) {
        if !answer.head.status.is_server_error() && self.shares_load(&call.service) {
            self.retries.borrow_mut().record_success(&call.service, Instant::now());
        }
    }

    /// Rejects a request that has not run if the service has made too many attempts at further
    /// upstreams. One that may have run is limited by its route.
    fn check_retry(&self, call: &CallContext, progress: &AttemptProgress) -> Result<(), Refusal> {
        if progress.tries.get() == 0
            || !self.settings.uses(GatewayMechanism::RetryBudget)
            || !self.knows_load(&call.service)
        {
            return Ok(());
        }
        let (mut retries, now) = (self.retries.borrow_mut(), Instant::now());
        if progress.may_have_run() {
            retries.record_attempt(&call.service, now);
            return Ok(());
        }
        if retries.try_attempt(&call.service, now) {
            return Ok(());
        }
        log::info!(
            "event=retry_refused request={} service={} tries={}",
            call.id,
            call.service,
            progress.tries.get()
        );
        let delay = RETRY_BUDGET_DELAY.mul_f64(1.0 + rand::random::<f64>());
        let time_left = call.deadline.saturating_duration_since(now);
        Err(Refusal::not_run("retry_budget", retry_delay(delay, time_left)))
    }

    /// Rejects a request that has not run if this instance stops before its deadline. It may have waited
    /// since before the stop.
    fn check_stop(&self, call: &CallContext, progress: &AttemptProgress) -> Result<(), Refusal> {
        let may_cut_off = self.stop.may_cut_off(call.route.kind, Instant::now(), call.deadline);
        match may_cut_off && !progress.may_have_run() {
            true => Err(Refusal::stopping()),
            false => Ok(()),
        }
    }

    /// Rejects a request that has not run if it would start later than its caller waits.
    fn check_start(
        &self,
        call: &CallContext,
        choice: &UpstreamChoice,
        progress: &AttemptProgress,
    ) -> Result<(), Refusal> {
        if progress.may_have_run()
            || !self.settings.uses(GatewayMechanism::StartDeadline)
            || !self.knows_load(&call.service)
        {
            return Ok(());
        }
        let start = ExpectedStart {
            wait: Duration::from_secs_f64(choice.wait_ms / 1e3),
            prefill: Duration::from_secs_f64(choice.prefill_ms / 1e3),
            elapsed: call.arrived.elapsed(),
            until_deadline: call.deadline.saturating_duration_since(Instant::now()),
            first_event_timeout: call.first_event_timeout(),
        };
        let Some(retry_after) = start.rejection(rand::random()) else { return Ok(()) };
        log::info!(
            "event=turn_turned_away request={} program={} service={} reason=start_too_late \
             wait_ms={} prefill_ms={} caller_ms={} retry_ms={}",
            call.id,
            call.program_name(),
            call.service,
            start.wait.as_millis(),
            start.prefill.as_millis(),
            start.caller_waits().as_millis(),
            retry_after.as_millis()
        );
        Err(Refusal::not_run("start_too_late", retry_after))
    }
}

/// Tells the caller to retry only if no upstream may have run the request.
fn no_upstream_refusal(
    progress: &AttemptProgress,
    reason: &'static str,
    retry_after: Duration,
) -> Refusal {
    if progress.may_have_run() {
        return Refusal::unknown(StatusCode::BAD_GATEWAY, "answer_lost");
    }
    Refusal::not_run(reason, retry_after)
}

/// The inputs and outputs of the chain, followed by the new input.
pub(crate) fn chain_body(chain: &[Rc<crate::core::turns::TurnRecord>], input: &Bytes) -> Bytes {
    if chain.is_empty() {
        return input.clone();
    }
    let size: usize = chain.iter().map(|turn| turn.bytes()).sum::<usize>() + input.len();
    let mut body = bytes::BytesMut::with_capacity(size);
    for turn in chain {
        body.extend_from_slice(&turn.input);
        body.extend_from_slice(&turn.output);
    }
    body.extend_from_slice(input);
    body.freeze()
}
