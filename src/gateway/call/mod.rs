//! One request of a caller, from its head to the end of its answer.

mod access;
mod prepare;
mod quota;
mod relay;
mod turn;

use std::rc::Rc;
use std::time::Duration;

use actix_http::header::HeaderMap;
use actix_http::{Method, StatusCode};
use bytes::Bytes;
use tokio::time::{Instant, timeout_at};

use self::turn::TurnWork;
use super::Gateway;
use super::attempt::AttemptLog;
use super::dialect::CallHead;
use super::http::{CallerReader, CallerRequest, CallerWriter};
use super::metrics::CallSample;
use super::refusal::Refusal;
use crate::core::ids::{RequestId, Tokens, UpstreamId};
use crate::core::routing::{RouteSpec, ServiceName};
use crate::core::turns::TurnScope;
use crate::core::workspaces::WorkspaceSpec;

/// When a caller may come back whose request found no place before its deadline.
const DEADLINE_RETRY: Duration = Duration::from_millis(500);

/// Everything that is decided about a request before it is sent on.
pub(crate) struct CallContext {
    pub(crate) id: RequestId,
    pub(crate) head: CallHead,
    pub(crate) method: Method,
    pub(crate) target: Box<str>,
    /// The caller's headers without those of its connection.
    pub(crate) headers: HeaderMap,
    /// What the upstream is sent; a turn's chain comes before its input once it has been read.
    pub(crate) body: Bytes,
    pub(crate) route: Rc<RouteSpec>,
    pub(crate) service: ServiceName,
    pub(crate) arrived: Instant,
    pub(crate) deadline: Instant,
    /// What the upstream is told, if it knows an order.
    pub(crate) priority: Option<u8>,
    /// Its rank here: the workspace's, else the route's; 0 is the most urgent.
    pub(crate) rank: u8,
    /// Whose request it is; none where nobody had to show a key.
    pub(crate) workspace: Option<Rc<WorkspaceSpec>>,
    /// The engine that holds the chain.
    pub(crate) holder: Option<UpstreamId>,
    /// Tokens in each event of the engine's stream.
    event_tokens: Tokens,
    /// What the system keeps of it; none if it is no turn of a program.
    pub(crate) scope: Option<TurnScope>,
}

/// How a call ended, for the log and the metrics.
struct CallEnd {
    outcome: &'static str,
    status: u16,
    upstream: Option<UpstreamId>,
    /// Time until the first byte of the answer's body was passed on.
    first: Option<Duration>,
    /// Whether the caller's connection is good for another request.
    keep: bool,
}

impl CallContext {
    /// For logs.
    pub(crate) fn workspace_name(&self) -> &str {
        self.workspace.as_ref().map_or("-", |workspace| &workspace.name)
    }
}

impl CallEnd {
    fn cut(outcome: &'static str, upstream: Option<UpstreamId>) -> Self {
        Self { outcome, status: 0, upstream, first: None, keep: false }
    }
}

impl Gateway {
    /// Answers one request; false if the connection must be closed.
    pub(crate) async fn serve_call(
        self: &Rc<Self>,
        request: CallerRequest,
        arrived: Instant,
        reader: &mut CallerReader,
        writer: &mut CallerWriter,
    ) -> bool {
        let method = request.method.clone();
        let mut call = match self.prepare(request, arrived, reader, writer).await {
            Ok(prepared) => prepared,
            Err((id, refusal)) => {
                return self.refuse_unrouted(&id, &method, &refusal, arrived, writer).await;
            }
        };
        let log = AttemptLog::default();
        let end = tokio::select! {
            biased;
            () = reader.closed() => CallEnd::cut("caller_left", None),
            end = self.run_call(&mut call, &log, writer) => end,
        };
        self.note_end(&call, &end, &log);
        end.keep
    }

    fn note_end(&self, call: &CallContext, end: &CallEnd, log: &AttemptLog) {
        let elapsed = call.arrived.elapsed();
        let sample = CallSample {
            route: &call.route.name,
            outcome: end.outcome,
            elapsed,
            first_byte: end.first,
            attempts: log.tries.get(),
            sent_after: log.sent_after.get(),
        };
        self.metrics.record_call(&sample);
        log::info!(
            "event=call_ended request={} program={} route={} kind={} outcome={} status={} \
             upstream={} tries={} runs={} coordinator={} claimed_ms={} sent_ms={} first_ms={} \
             ms={} workspace={}",
            call.id,
            call.head.program.as_deref().unwrap_or("-"),
            call.route.name,
            call.route.kind,
            end.outcome,
            end.status,
            end.upstream.as_deref().unwrap_or("-"),
            log.tries.get(),
            log.runs.get(),
            log.coordinator.borrow().as_deref().unwrap_or("-"),
            log.claimed_after.get().map_or(0, |waited| waited.as_millis()),
            log.sent_after.get().map_or(0, |waited| waited.as_millis()),
            end.first.map_or(0, |first| first.as_millis()),
            elapsed.as_millis(),
            call.workspace_name(),
        );
    }

    /// Refuses a request for which no route was found or whose body could not be read.
    async fn refuse_unrouted(
        &self,
        id: &str,
        method: &Method,
        refusal: &Refusal,
        arrived: Instant,
        writer: &mut CallerWriter,
    ) -> bool {
        log::info!(
            "event=call_refused request={id} method={method} status={} reason={} ms={}",
            refusal.status.as_u16(),
            refusal.reason,
            arrived.elapsed().as_millis()
        );
        self.metrics.record_refusal(refusal.reason);
        // What is left of the body would be taken for the next request.
        self.send_refusal(refusal, writer, true).await
    }

    pub(crate) async fn send_refusal(
        &self,
        refusal: &Refusal,
        writer: &mut CallerWriter,
        close: bool,
    ) -> bool {
        let close = close || self.is_draining();
        let sent = writer.answer(refusal.status, refusal.headers(), refusal.body(), close).await;
        sent.is_ok() && !close && writer.keeps_alive()
    }

    /// Runs a prepared call and writes its answer.
    async fn run_call(
        self: &Rc<Self>,
        call: &mut CallContext,
        log: &AttemptLog,
        writer: &mut CallerWriter,
    ) -> CallEnd {
        let place = match self.take_place(call).await {
            Ok(place) => place,
            Err(refusal) => return self.end_refused(&refusal, writer).await,
        };
        let end = self.run_admitted(call, log, writer).await;
        place.settle(log);
        end
    }

    /// Runs a call for which there is room within its workspace's limit.
    async fn run_admitted(
        self: &Rc<Self>,
        call: &mut CallContext,
        log: &AttemptLog,
        writer: &mut CallerWriter,
    ) -> CallEnd {
        let Some(scope) = call.scope else {
            return self.send_on(call, None, log, writer).await;
        };
        match timeout_at(call.deadline, self.prepare_turn(call, scope, log)).await {
            Ok(Ok(turn)) => self.send_on(call, Some(turn), log, writer).await,
            Ok(Err(refusal)) => self.end_refused(&refusal, writer).await,
            Err(_) => {
                let refusal = Refusal::not_run("store_slow", DEADLINE_RETRY);
                self.end_refused(&refusal, writer).await
            }
        }
    }

    async fn end_refused(&self, refusal: &Refusal, writer: &mut CallerWriter) -> CallEnd {
        self.metrics.record_refusal(refusal.reason);
        let keep = self.send_refusal(refusal, writer, false).await;
        let status = refusal.status.as_u16();
        CallEnd { outcome: refusal.reason, status, upstream: None, first: None, keep }
    }

    /// Sends a call to upstreams and its answer to the caller.
    async fn send_on(
        self: &Rc<Self>,
        call: &CallContext,
        turn: Option<TurnWork>,
        log: &AttemptLog,
        writer: &mut CallerWriter,
    ) -> CallEnd {
        let answer = match timeout_at(call.deadline, self.attempt(call, log)).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(refusal)) => return self.end_refused(&refusal, writer).await,
            Err(_) => {
                let refusal = if log.may_have_run() {
                    Refusal::unknown(StatusCode::GATEWAY_TIMEOUT, "deadline")
                } else {
                    Refusal::not_run("deadline_unrun", DEADLINE_RETRY)
                };
                return self.end_refused(&refusal, writer).await;
            }
        };
        let upstream = answer.choice.id.clone();
        let relay = self.relay(call, answer, turn, log, writer);
        match timeout_at(call.deadline, relay).await {
            Ok(end) => end,
            Err(_) => CallEnd::cut("deadline_midway", Some(upstream)),
        }
    }
}
