//! Serves one request of a caller, from its head to the end of the response.

mod access;
mod admission;
mod ending;
#[cfg(test)]
mod ending_tests;
mod prepare;
mod quota;
mod relay;
mod turn;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Method;
use actix_http::header::HeaderMap;
use bytes::Bytes;
use tokio::task::{unconstrained, yield_now};
use tokio::time::{Instant, sleep_until, timeout_at};

use self::ending::{CallEnd, CallFailure, catch_panic, cut_off_refusal, panic_refusal};
use self::turn::ActiveTurn;
use super::Gateway;
use super::attempt::AttemptProgress;
use super::dialect::CallHead;
use super::http::CloseReason;
use super::http::{CallerReader, CallerRequest, CallerWriter};
use super::memory::MemoryPermit;
use super::refusal::Refusal;
use crate::core::admission::first_event_timeout;
use crate::core::ids::{RequestId, Tokens, UpstreamId};
use crate::core::repeats::RequestFingerprint;
use crate::core::routing::{RouteKind, RouteSpec, ServiceName};
use crate::core::turns::TurnScope;
use crate::core::workspaces::WorkspaceSpec;

const DEADLINE_RETRY_DELAY: Duration = Duration::from_millis(500);

pub(crate) struct CallContext {
    pub(crate) id: RequestId,
    pub(crate) head: CallHead,
    pub(crate) method: Method,
    pub(crate) target: Box<str>,
    /// Without hop-by-hop headers.
    pub(crate) headers: HeaderMap,
    /// Preceded by the chain of a turn once that has been read.
    pub(crate) body: RefCell<Bytes>,
    /// Memory that the call holds until its end.
    pub(crate) memory: MemoryPermit,
    pub(crate) fingerprint: RequestFingerprint,
    pub(crate) route: Rc<RouteSpec>,
    pub(crate) service: ServiceName,
    pub(crate) arrived: Instant,
    pub(crate) deadline: Instant,
    /// Sent to engines only; plain services have no priorities.
    pub(crate) priority: Option<u8>,
    /// Priority of the workspace, else of the route; 0 is the most urgent.
    pub(crate) rank: u8,
    /// `None` if the request was granted without a valid key.
    pub(crate) workspace: Option<Rc<WorkspaceSpec>>,
    /// The engine whose cache holds the chain.
    pub(crate) holder: Option<UpstreamId>,
    /// Tokens per event of the engine's stream.
    event_tokens: Tokens,
    /// `None` if the call is not a turn of a program.
    pub(crate) scope: Option<TurnScope>,
}

impl CallContext {
    /// Time from the arrival after which the caller abandons the stream without a first event; `None`
    /// if it waits until its deadline.
    pub(crate) fn first_event_timeout(&self) -> Option<Duration> {
        let is_stream = self.route.kind == RouteKind::Stream;
        is_stream.then(|| first_event_timeout(self.route.objective, self.route.max_pause))
    }

    /// Frees the body once the request cannot be sent again.
    pub(crate) fn release_body(&self) {
        let body = self.body.take();
        if body.is_unique() {
            self.memory.release(body.len());
        }
    }

    pub(crate) fn program_name(&self) -> &str {
        self.head.program.as_deref().unwrap_or("-")
    }

    pub(crate) fn workspace_name(&self) -> &str {
        self.workspace.as_ref().map_or("-", |workspace| &workspace.name)
    }
}

/// Runs `work` until its deadline; `None` if it has not ended by then. A process that was suspended sees
/// that the deadline is over before it sees what has arrived, so the runtime looks for that once more.
async fn until_deadline<T>(deadline: Instant, work: impl Future<Output = T>) -> Option<T> {
    // Without a budget, as work that always finds input uses it up.
    let passed = unconstrained(async {
        sleep_until(deadline).await;
        yield_now().await;
    });
    tokio::select! {
        biased;
        done = work => Some(done),
        () = passed => None,
    }
}

impl Gateway {
    /// Returns an error if the connection must be closed.
    pub(crate) async fn serve_call(
        self: &Rc<Self>,
        request: CallerRequest,
        arrived: Instant,
        reader: &mut CallerReader,
        writer: &mut CallerWriter,
    ) -> Result<(), CloseReason> {
        let method = request.method.clone();
        let prepared = tokio::select! {
            prepared = catch_panic(self.prepare(request, arrived, reader, writer)) => {
                prepared.unwrap_or_else(|_| Err((RequestId::default(), panic_refusal(false))))
            }
            () = self.stop.cut_off() => Err((RequestId::default(), cut_off_refusal(false))),
        };
        let mut call = match prepared {
            Ok(prepared) => prepared,
            Err((id, refusal)) => {
                return self.refuse_unrouted(&id, &method, &refusal, arrived, writer).await;
            }
        };
        writer.begin_answer();
        let progress = AttemptProgress::default();
        let end = tokio::select! {
            biased;
            () = reader.closed() => CallEnd::caller_left(),
            end = self.run_call(&mut call, &progress, writer) => end,
            () = self.stop.cut_off() => {
                self.end_failed(&CallFailure::CutOff, &progress, writer).await
            }
        };
        self.record_end(&call, &end, &progress, writer);
        end.close.map_or(Ok(()), Err)
    }

    /// Refuses a request whose head was not read in time, at the end of a stop.
    pub(crate) async fn refuse_unread(&self, writer: &mut CallerWriter) -> Result<(), CloseReason> {
        let refusal = cut_off_refusal(false);
        log::info!("event=request_unreadable error=\"{}\"", refusal.reason);
        self.metrics.record_refusal(refusal.reason);
        self.send_refusal(&refusal, writer, true).await.and(Err(CloseReason::Announced))
    }

    async fn refuse_unrouted(
        &self,
        id: &str,
        method: &Method,
        refusal: &Refusal,
        arrived: Instant,
        writer: &mut CallerWriter,
    ) -> Result<(), CloseReason> {
        log::info!(
            "event=call_refused request={id} method={method} status={} reason={} ms={}",
            refusal.status.as_u16(),
            refusal.reason,
            arrived.elapsed().as_millis()
        );
        self.metrics.record_refusal(refusal.reason);
        // The rest of the body would be parsed as the next request.
        self.send_refusal(refusal, writer, true).await.and(Err(CloseReason::Announced))
    }

    pub(crate) async fn send_refusal(
        &self,
        refusal: &Refusal,
        writer: &mut CallerWriter,
        close: bool,
    ) -> Result<(), CloseReason> {
        let close = close || self.is_draining();
        let sent = writer.answer(refusal.status, refusal.headers(), refusal.body(), close).await;
        sent.map_err(|_| CloseReason::CallerLeft)?;
        writer.next_request()
    }

    async fn run_call(
        self: &Rc<Self>,
        call: &mut CallContext,
        progress: &AttemptProgress,
        writer: &mut CallerWriter,
    ) -> CallEnd {
        match catch_panic(self.answer_call(call, progress, writer)).await.flatten() {
            Ok(end) => end,
            Err(failure) => self.end_failed(&failure, progress, writer).await,
        }
    }

    async fn answer_call(
        self: &Rc<Self>,
        call: &mut CallContext,
        progress: &AttemptProgress,
        writer: &mut CallerWriter,
    ) -> Result<CallEnd, CallFailure> {
        let caught_up = timeout_at(call.deadline, self.losses.await_caught_up()).await;
        caught_up.map_err(|_| CallFailure::DeadlineReached)?;
        self.check_losses(call, progress)?;
        let _permit = self.acquire_permit(call, progress).await?;
        let deadline = call.deadline;
        let answered = until_deadline(deadline, self.run_permitted(call, progress, writer)).await;
        answered.unwrap_or(Err(CallFailure::DeadlineReached))
    }

    async fn run_permitted(
        self: &Rc<Self>,
        call: &mut CallContext,
        progress: &AttemptProgress,
        writer: &mut CallerWriter,
    ) -> Result<CallEnd, CallFailure> {
        let turn = match call.scope {
            Some(scope) => Some(self.prepare_turn_in_time(call, scope, progress).await?),
            None => None,
        };
        let answer = self.attempt(call, progress).await?;
        self.relay(call, answer, turn, progress, writer).await
    }

    async fn prepare_turn_in_time(
        self: &Rc<Self>,
        call: &mut CallContext,
        scope: TurnScope,
        progress: &AttemptProgress,
    ) -> Result<ActiveTurn, Refusal> {
        let deadline = call.deadline;
        let prepared = timeout_at(deadline, self.prepare_turn(call, scope, progress)).await;
        prepared.unwrap_or(Err(Refusal::not_run("store_slow", DEADLINE_RETRY_DELAY)))
    }
}
