//! Ends calls: decides what their callers get when there is no whole answer of an upstream.

use std::panic::AssertUnwindSafe;
use std::time::Duration;

use actix_http::StatusCode;
use futures_util::FutureExt;

use super::{CallContext, DEADLINE_RETRY_DELAY};
use crate::gateway::Gateway;
use crate::gateway::attempt::AttemptProgress;
use crate::gateway::http::CloseReason;
use crate::gateway::http::{AnswerState, CallerWriter};
use crate::gateway::metrics::CallSample;
use crate::gateway::refusal::Refusal;

/// Outcome of calls whose callers disconnected.
const CALLER_LEFT: &str = "caller_left";
const CUT_OFF: &str = "cut_off_by_stop";
const PANICKED: &str = "internal_error";
const PANIC_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Why a call ends without the whole answer of an upstream.
#[derive(Debug, PartialEq)]
pub(super) enum CallFailure {
    Refused(Refusal),
    DeadlineReached,
    /// The upstream's answer cannot be completed.
    AnswerBroken(&'static str),
    CallerLeft,
    /// This instance stops, and its grace period is over.
    CutOff,
    Panicked,
}

pub(super) struct CallEnd {
    outcome: &'static str,
    /// 0 if the caller did not get a whole answer.
    status: u16,
    /// Why the caller's connection must be closed; `None` if it can carry another request.
    pub(super) close: Option<CloseReason>,
}

impl From<Refusal> for CallFailure {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}

impl CallFailure {
    /// The answer to a caller that has received nothing. `None` if the caller is gone.
    pub(super) fn refusal(&self, progress: &AttemptProgress) -> Option<Refusal> {
        let may_have_run = progress.may_have_run();
        Some(match self {
            Self::CallerLeft => return None,
            Self::Refused(refusal) => refusal.clone(),
            Self::DeadlineReached if may_have_run => {
                Refusal::unknown(StatusCode::GATEWAY_TIMEOUT, "deadline")
            }
            Self::DeadlineReached => Refusal::not_run("deadline_unrun", DEADLINE_RETRY_DELAY),
            Self::CutOff if may_have_run => Refusal::unknown(StatusCode::GATEWAY_TIMEOUT, CUT_OFF),
            Self::CutOff => Refusal::not_run(CUT_OFF, Duration::ZERO),
            Self::AnswerBroken(reason) => Refusal::unknown(StatusCode::BAD_GATEWAY, reason),
            Self::Panicked => panic_refusal(may_have_run),
        })
    }

    /// Outcome of a call whose answer was partly sent.
    fn midway_outcome(&self) -> &'static str {
        match self {
            Self::Refused(refusal) => refusal.reason,
            Self::DeadlineReached => "deadline_midway",
            Self::AnswerBroken(reason) => reason,
            Self::CallerLeft => CALLER_LEFT,
            Self::CutOff => CUT_OFF,
            Self::Panicked => PANICKED,
        }
    }
}

impl CallEnd {
    pub(super) fn answered(status: StatusCode, close: Option<CloseReason>) -> Self {
        Self { outcome: "answered", status: status.as_u16(), close }
    }

    pub(super) fn caller_left() -> Self {
        Self { outcome: CALLER_LEFT, status: 0, close: Some(CloseReason::CallerLeft) }
    }

    fn incomplete(outcome: &'static str) -> Self {
        Self { outcome, status: 0, close: Some(CloseReason::Incomplete) }
    }
}

/// Runs `work`; a panic is a failure of its call only.
pub(super) async fn catch_panic<T>(work: impl Future<Output = T>) -> Result<T, CallFailure> {
    // The state shared with other calls is in cells, which are released as the panic unwinds.
    AssertUnwindSafe(work).catch_unwind().await.map_err(|_| {
        log::error!("event=call_panicked");
        CallFailure::Panicked
    })
}

pub(super) fn cut_off_refusal(may_have_run: bool) -> Refusal {
    match may_have_run {
        true => Refusal::unknown(StatusCode::GATEWAY_TIMEOUT, CUT_OFF),
        false => Refusal::not_run(CUT_OFF, Duration::ZERO),
    }
}

pub(super) fn panic_refusal(may_have_run: bool) -> Refusal {
    match may_have_run {
        true => Refusal::unknown(StatusCode::BAD_GATEWAY, PANICKED),
        false => Refusal::not_run(PANICKED, PANIC_RETRY_DELAY),
    }
}

impl Gateway {
    /// Gives the caller a whole answer if it has received nothing; otherwise closes the connection, so
    /// that the answer is visibly incomplete.
    pub(super) async fn end_failed(
        &self,
        failure: &CallFailure,
        progress: &AttemptProgress,
        writer: &mut CallerWriter,
    ) -> CallEnd {
        let Some(refusal) = failure.refusal(progress) else { return CallEnd::caller_left() };
        if !writer.discard_unsent() {
            return CallEnd::incomplete(failure.midway_outcome());
        }
        self.metrics.record_refusal(refusal.reason);
        let close = self.send_refusal(&refusal, writer, false).await.err();
        CallEnd { outcome: refusal.reason, status: refusal.status.as_u16(), close }
    }

    pub(super) fn record_end(
        &self,
        call: &CallContext,
        end: &CallEnd,
        progress: &AttemptProgress,
        writer: &CallerWriter,
    ) {
        let elapsed = call.arrived.elapsed();
        let list = progress.list_state.get();
        let first_byte = progress.first_byte_after.get();
        let answer = writer.answer_state();
        let upstream = progress.upstream.borrow();
        let upstream = upstream.as_deref().unwrap_or("-");
        let sample = CallSample {
            route: &call.route.name,
            outcome: end.outcome,
            elapsed,
            first_byte,
            attempts: progress.tries.get(),
            sent_after: progress.sent_after.get(),
        };
        self.metrics.record_call(&sample);
        log::info!(
            "event=call_ended request={} program={} route={} kind={} outcome={} status={} \
             upstream={upstream} tries={} runs={} coordinator={} claimed_ms={} \
             sent_ms={} first_ms={} ms={} fingerprint={} workspace={} list_version={} list_ms={} \
             led={} answer={answer}",
            call.id,
            call.program_name(),
            call.route.name,
            call.route.kind,
            end.outcome,
            end.status,
            progress.tries.get(),
            progress.runs.get(),
            progress.coordinator.borrow().as_deref().unwrap_or("-"),
            progress.claimed_after.get().map_or(0, |waited| waited.as_millis()),
            progress.sent_after.get().map_or(0, |waited| waited.as_millis()),
            first_byte.map_or(0, |waited| waited.as_millis()),
            elapsed.as_millis(),
            call.fingerprint,
            call.workspace_name(),
            list.version,
            list.age.as_millis(),
            list.is_led,
        );
        let has_left = end.outcome == CALLER_LEFT || writer.has_failed();
        if answer == AnswerState::Whole || has_left {
            return;
        }
        self.metrics.record_unanswered(end.outcome);
        log::warn!(
            "event=call_unanswered request={} reason={} upstream={upstream} sent_bytes={} ms={}",
            call.id,
            end.outcome,
            writer.sent_bytes(),
            elapsed.as_millis()
        );
    }
}
