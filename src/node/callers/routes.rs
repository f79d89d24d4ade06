//! From paths to the node and back.

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

/// A stream that has nothing to say says so this often.
const WAITING_INTERVAL: Duration = Duration::from_secs(1);
const REQUEST_ID_MAX: usize = 128;

pub(super) async fn route(node: Rc<Node>, request: HttpRequest) -> HttpResponse {
    let _open = node.open_request();
    let path = request.path.clone();
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    let answer: Result<HttpResponse, RequestFailure> =
        match (request.method.clone(), parts.as_slice()) {
            (Method::GET, ["v1", "addresses"]) => Ok(addresses(&node)),
            (Method::GET, ["healthz"]) => Ok(json_response(StatusCode::OK, &"ok")),
            (Method::GET, ["metrics"]) => Ok(metrics(&node)),
            (Method::POST, ["v1", "programs"]) => start(&node, &request).await,
            (Method::GET, ["v1", "programs", id]) => {
                show(&node, id, &request).await.map_err(Into::into)
            }
            (Method::DELETE, ["v1", "programs", id]) => end(&node, id, &request).await,
            (Method::POST, ["v1", "programs", id, "calls"]) => {
                call(&node, id, &request).await.map_err(Into::into)
            }
            (Method::GET, ["v1", "programs", id, "calls", number]) => {
                follow(&node, id, number, &request).await.map_err(Into::into)
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

fn addresses(node: &Node) -> HttpResponse {
    let members = node.members.borrow();
    let mut addresses: Vec<_> =
        members.serving().map(|member| member.http_address.clone()).collect();
    // Callers begin with the first one.
    addresses.shuffle(&mut rand::rng());
    let keep_seconds = node.settings.limits.address_keep_seconds;
    json_response(StatusCode::OK, &AddressesBody { addresses, keep_seconds })
}

fn metrics(node: &Node) -> HttpResponse {
    node.sample_metrics();
    let text = node.metrics.exposition();
    body_response(StatusCode::OK, "text/plain; version=0.0.4", text.into())
}

async fn start(node: &Rc<Node>, request: &HttpRequest) -> Result<HttpResponse, RequestFailure> {
    let body: StartBody = parse(request)?;
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

async fn show(
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

async fn end(
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

async fn call(
    node: &Rc<Node>,
    id: &str,
    request: &HttpRequest,
) -> Result<HttpResponse, CallRefusal> {
    let program = program_id(id)?;
    let body: CallBody = parse(request)?;
    check_call(&body)?;
    let (submitting, call, forwarded) =
        (node.clone(), body.into_request(program), request.forwarded);
    let submission = Box::pin(async move {
        if forwarded { submitting.submit_here(call).await } else { submitting.submit(call).await }
    });
    stream(node, CallSource::Submitted(submission), 0).await
}

async fn follow(
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
    stream(node, CallSource::Known(call), offset).await
}

/// Where the events of a stream come from.
enum CallSource {
    /// The call still waits for its shard or for an earlier call.
    Submitted(LocalBoxFuture<'static, Result<Rc<LiveCall>, CallRefusal>>),
    Known(Rc<LiveCall>),
}

/// The events of one call for one follower.
struct CallStream {
    source: CallSource,
    offset: usize,
    _open: OpenRequest,
}

impl CallStream {
    /// The next event, at the latest after the interval at which followers hear something.
    async fn next(&mut self) -> CallEvent {
        let event = timeout(WAITING_INTERVAL, self.advance()).await;
        event.unwrap_or(CallEvent::Waiting)
    }

    async fn advance(&mut self) -> CallEvent {
        if let CallSource::Submitted(submission) = &mut self.source {
            match submission.await {
                Ok(call) => self.source = CallSource::Known(call),
                Err(refusal) => return CallEvent::Final(CallOutcome::NotRun(refusal)),
            }
        }
        let CallSource::Known(call) = &self.source else { unreachable!("it was set above") };
        let event = call.next(self.offset).await;
        if let CallEvent::Tokens { offset, text } = &event {
            self.offset = offset + text.len();
        }
        event
    }
}

/// Answers with the events of a call. One that is refused before anything of it was streamed is
/// answered with the refusal's own status. One that waits is told so: its caller, or the instance
/// that carries it, would else take the connection for dead.
async fn stream(
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
        let last = matches!(event, CallEvent::Final(_));
        Some((json_line(&event), (!last).then_some((call, None))))
    });
    Ok(line_response(Box::pin(lines), Some(&node.settings.http_address)))
}

fn parse<T: DeserializeOwned>(request: &HttpRequest) -> Result<T, CallRefusal> {
    serde_json::from_slice(&request.body).map_err(|error| malformed(&error.to_string()))
}

fn check_call(body: &CallBody) -> Result<(), CallRefusal> {
    if body.request_id.is_empty() || body.request_id.len() > REQUEST_ID_MAX {
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
    let mut response = json_response(status(&refusal.reason), &body);
    if let Some(wait) = refusal.retry_after {
        let seconds = wait.as_millis().div_ceil(1000).to_string();
        if let Ok(value) = seconds.parse() {
            response.headers_mut().insert(actix_http::header::RETRY_AFTER, value);
        }
    }
    response
}

fn status(reason: &RefusalReason) -> StatusCode {
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

/// The reason's name in metrics, as in the JSON form.
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
