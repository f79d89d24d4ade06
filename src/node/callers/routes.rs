//! Routes callers' HTTP requests to the node and streams its answers.

use std::rc::Rc;
use std::time::Duration;

use actix_http::{Method, StatusCode};
use futures_util::future::LocalBoxFuture;
use futures_util::stream::unfold;
use rand::seq::SliceRandom;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use super::body::{AddressesBody, CallBody, EndedBody, RefusalBody, StartBody, StartedBody};
use crate::core::history::EndReason;
use crate::core::ids::{CallNumber, ProgramId, format_program_id, parse_program_id};
use crate::core::outcome::{CallOutcome, CallRefusal, RefusalReason, RequestFailure};
use crate::node::calls::{CallEvent, LiveCall};
use crate::node::instance::Node;
use crate::node::peers::StartRequest;
use crate::node::shutdown::OpenRequest;
use crate::util::http_server::{
    HttpRequest, HttpResponse, body_response, json_response, line_response, text_response,
};
use crate::util::lines::json_line;

const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const MAX_REQUEST_ID_BYTES: usize = 128;

pub(super) async fn handle_request(node: Rc<Node>, request: HttpRequest) -> HttpResponse {
    let _open = node.open_request();
    let path = request.path.clone();
    let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
    let answer: Result<HttpResponse, RequestFailure> =
        match (request.method.clone(), segments.as_slice()) {
            (Method::GET, ["v1", "addresses"]) => Ok(addresses_response(&node)),
            (Method::GET, ["healthz"]) => Ok(json_response(StatusCode::OK, &"ok")),
            (Method::GET, ["metrics"]) => Ok(metrics_response(&node)),
            (Method::POST, ["v1", "programs"]) => start_program(&node, &request).await,
            (Method::GET, ["v1", "programs", id]) => {
                show_program(&node, id, &request).await.map_err(Into::into)
            }
            (Method::DELETE, ["v1", "programs", id]) => end_program(&node, id, &request).await,
            (Method::POST, ["v1", "programs", id, "calls"]) => {
                submit_call(&node, id, &request).await.map_err(Into::into)
            }
            (Method::GET, ["v1", "programs", id, "calls", number]) => {
                follow_call(&node, id, number, &request).await.map_err(Into::into)
            }
            _ => return text_response(StatusCode::NOT_FOUND, "there is no such path or method"),
        };
    answer.unwrap_or_else(|failure| match failure {
        RequestFailure::NotRun(refusal) => {
            node.metrics.record_refusal(reason_name(&refusal.reason));
            refusal_response(&refusal)
        }
        RequestFailure::Unknown(unknown) => {
            json_response(StatusCode::GATEWAY_TIMEOUT, &CallOutcome::Unknown(unknown))
        }
    })
}

fn addresses_response(node: &Node) -> HttpResponse {
    let members = node.members.borrow();
    let mut addresses: Vec<_> =
        members.serving().map(|member| member.http_address.clone()).collect();
    // Callers try the addresses in order, so a shuffle spreads the load.
    addresses.shuffle(&mut rand::rng());
    let keep_seconds = node.settings.limits.address_keep_seconds;
    json_response(StatusCode::OK, &AddressesBody { addresses, keep_seconds })
}

fn metrics_response(node: &Node) -> HttpResponse {
    node.sample_metrics();
    let text = node.metrics.exposition();
    body_response(StatusCode::OK, "text/plain; version=0.0.4", text.into())
}

async fn start_program(
    node: &Rc<Node>,
    request: &HttpRequest,
) -> Result<HttpResponse, RequestFailure> {
    let body: StartBody = parse_body(request)?;
    let parent = body.parent.as_deref().map(program_id).transpose()?;
    let start = StartRequest {
        workspace: body.workspace,
        definition: body.definition,
        start_key: body.start_key,
        parent,
    };
    let program = format_program_id(node.start_program(start).await?);
    let address = node.settings.http_address.clone();
    Ok(json_response(StatusCode::CREATED, &StartedBody { program, address }))
}

async fn show_program(
    node: &Rc<Node>,
    id: &str,
    request: &HttpRequest,
) -> Result<HttpResponse, CallRefusal> {
    let program = program_id(id)?;
    let text = if request.forwarded {
        node.show_here(program).await?
    } else {
        node.show_program(program).await?
    };
    Ok(body_response(StatusCode::OK, "application/json", String::from(text).into()))
}

async fn end_program(
    node: &Rc<Node>,
    id: &str,
    request: &HttpRequest,
) -> Result<HttpResponse, RequestFailure> {
    let program = program_id(id)?;
    if request.forwarded {
        node.end_here(program, EndReason::Asked).await?;
    } else {
        node.end_program(program).await?;
    }
    Ok(json_response(StatusCode::OK, &EndedBody { ended: true }))
}

async fn submit_call(
    node: &Rc<Node>,
    id: &str,
    request: &HttpRequest,
) -> Result<HttpResponse, CallRefusal> {
    let program = program_id(id)?;
    let body: CallBody = parse_body(request)?;
    check_call(&body)?;
    let (submitting, call, forwarded) =
        (node.clone(), body.into_request(program), request.forwarded);
    let submission = Box::pin(async move {
        if forwarded { submitting.submit_here(call).await } else { submitting.submit(call).await }
    });
    stream_response(node, CallSource::Submitted(submission), 0).await
}

async fn follow_call(
    node: &Rc<Node>,
    id: &str,
    number: &str,
    request: &HttpRequest,
) -> Result<HttpResponse, CallRefusal> {
    let program = program_id(id)?;
    let number: CallNumber = number.parse().map_err(|_| malformed("a call number is expected"))?;
    let offset = match request.parameter("offset") {
        Some(text) => text.parse().map_err(|_| malformed("offset must be a number of bytes"))?,
        None => 0,
    };
    let call = if request.forwarded {
        node.follow_here(program, number).await?
    } else {
        node.follow(program, number).await?
    };
    stream_response(node, CallSource::Admitted(call), offset).await
}

enum CallSource {
    /// The call waits for its shard or for an earlier call.
    Submitted(LocalBoxFuture<'static, Result<Rc<LiveCall>, CallRefusal>>),
    Admitted(Rc<LiveCall>),
}

struct CallStream {
    source: CallSource,
    offset: usize,
    _open: OpenRequest,
}

impl CallStream {
    async fn next(&mut self) -> CallEvent {
        let event = timeout(KEEPALIVE_INTERVAL, self.advance()).await;
        event.unwrap_or(CallEvent::Waiting)
    }

    async fn advance(&mut self) -> CallEvent {
        if let CallSource::Submitted(submission) = &mut self.source {
            match submission.await {
                Ok(call) => self.source = CallSource::Admitted(call),
                Err(refusal) => return CallEvent::Final(CallOutcome::NotRun(refusal)),
            }
        }
        let CallSource::Admitted(call) = &self.source else {
            unreachable!("the submission was awaited")
        };
        let event = call.next(self.offset).await;
        if let CallEvent::Tokens { offset, text } = &event {
            self.offset = offset + text.len();
        }
        event
    }
}

/// Streams the events of a call. A refusal that comes as the first event is returned with its own
/// HTTP status. Keepalives show the caller or the forwarding instance that the connection is
/// alive.
async fn stream_response(
    node: &Rc<Node>,
    source: CallSource,
    offset: usize,
) -> Result<HttpResponse, CallRefusal> {
    let mut call = CallStream { source, offset, _open: node.open_request() };
    let first = call.next().await;
    if let CallEvent::Final(CallOutcome::NotRun(refusal)) = first {
        return Err(refusal);
    }
    let lines = unfold(Some((call, Some(first))), |state| async {
        let (mut call, first) = state?;
        let event = match first {
            Some(event) => event,
            None => call.next().await,
        };
        let is_final = matches!(event, CallEvent::Final(_));
        Some((json_line(&event), (!is_final).then_some((call, None))))
    });
    Ok(line_response(Box::pin(lines), Some(&node.settings.http_address)))
}

fn parse_body<T: DeserializeOwned>(request: &HttpRequest) -> Result<T, CallRefusal> {
    serde_json::from_slice(&request.body).map_err(|error| malformed(&error.to_string()))
}

fn check_call(body: &CallBody) -> Result<(), CallRefusal> {
    if body.request_id.is_empty() || body.request_id.len() > MAX_REQUEST_ID_BYTES {
        return Err(malformed("request_id must have 1 to 128 bytes"));
    }
    if body.number == 0 {
        return Err(malformed("number counts from 1"));
    }
    if let crate::node::calls::CallTarget::Model { max_tokens: 0 } = body.target {
        return Err(malformed("max_tokens must be at least 1"));
    }
    Ok(())
}

fn program_id(text: &str) -> Result<ProgramId, CallRefusal> {
    parse_program_id(text).map_err(|error| malformed(&error.to_string()))
}

fn malformed(message: &str) -> CallRefusal {
    CallRefusal::permanent(RefusalReason::Malformed { message: message.into() })
}

fn refusal_response(refusal: &CallRefusal) -> HttpResponse {
    let message = refusal.reason.to_string().into();
    let body = RefusalBody { outcome: "not_run", refusal, message };
    let mut response = json_response(status_code(&refusal.reason), &body);
    if let Some(delay) = refusal.retry_after {
        let seconds = delay.as_millis().div_ceil(1000).to_string();
        if let Ok(value) = seconds.parse() {
            response.headers_mut().insert(actix_http::header::RETRY_AFTER, value);
        }
    }
    response
}

fn status_code(reason: &RefusalReason) -> StatusCode {
    match reason {
        RefusalReason::Malformed { .. } => StatusCode::BAD_REQUEST,
        RefusalReason::UnknownProgram
        | RefusalReason::UnknownWorkspace
        | RefusalReason::UnknownDefinition
        | RefusalReason::UnknownUpstream => StatusCode::NOT_FOUND,
        RefusalReason::ProgramEnded => StatusCode::GONE,
        RefusalReason::WrongNumber { .. } | RefusalReason::RequestReused => StatusCode::CONFLICT,
        RefusalReason::LimitReached { .. } => StatusCode::FORBIDDEN,
        RefusalReason::BudgetExhausted => StatusCode::PAYMENT_REQUIRED,
        RefusalReason::Overloaded => StatusCode::TOO_MANY_REQUESTS,
        RefusalReason::OwnerMoving
        | RefusalReason::StoreUnavailable
        | RefusalReason::ConfigStale
        | RefusalReason::Draining => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Metric label; must equal the reason's name in JSON.
fn reason_name(reason: &RefusalReason) -> &'static str {
    match reason {
        RefusalReason::Malformed { .. } => "malformed",
        RefusalReason::UnknownProgram => "unknown_program",
        RefusalReason::UnknownWorkspace => "unknown_workspace",
        RefusalReason::UnknownDefinition => "unknown_definition",
        RefusalReason::UnknownUpstream => "unknown_upstream",
        RefusalReason::ProgramEnded => "program_ended",
        RefusalReason::WrongNumber { .. } => "wrong_number",
        RefusalReason::RequestReused => "request_reused",
        RefusalReason::LimitReached { .. } => "limit_reached",
        RefusalReason::BudgetExhausted => "budget_exhausted",
        RefusalReason::Overloaded => "overloaded",
        RefusalReason::OwnerMoving => "owner_moving",
        RefusalReason::StoreUnavailable => "store_unavailable",
        RefusalReason::ConfigStale => "config_stale",
        RefusalReason::Draining => "draining",
    }
}
