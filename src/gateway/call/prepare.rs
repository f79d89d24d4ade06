//! Prepares a request for its upstream: headers, route, deadline, body and service.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use actix_http::StatusCode;
use actix_http::header::{CONNECTION, HeaderMap, HeaderName};
use rand::random;
use tokio::time::Instant;

use super::CallContext;
use super::access::CallGrant;
use crate::core::ids::RequestId;
use crate::core::repeats::{FingerprintFields, RequestFingerprint};
use crate::core::routing::{RouteKind, RouteSpec};
use crate::core::turns::TurnScope;
use crate::core::workspaces::WorkspaceSpec;
use crate::gateway::Gateway;
use crate::gateway::dialect::CallHead;
use crate::gateway::http::{CallerReader, CallerRequest, CallerWriter};
use crate::gateway::refusal::Refusal;

/// Covers the first read of the routes after a start.
pub(super) const NO_ROUTES_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Memory is awaited for at most the objective, and the timeout, divided by this, so that a refused
/// caller has time left for another attempt.
pub(super) const MEMORY_WAIT_DIVISOR: u32 = 5;
/// Hop-by-hop headers (RFC 9110, 7.6.1) and those that the codec writes.
const HOP_BY_HOP_HEADERS: [&str; 10] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];

/// Removes hop-by-hop headers and those named by `Connection`.
pub(super) fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let nominated: Vec<Box<str>> = headers
        .get_all(CONNECTION)
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase().into())
        .collect();
    let is_end_to_end = |name: &HeaderName| {
        let name = name.as_str();
        !HOP_BY_HOP_HEADERS.contains(&name) && !nominated.iter().any(|hop| **hop == *name)
    };
    let mut result = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers.iter().filter(|(name, _)| is_end_to_end(name)) {
        result.append(name.clone(), value.clone());
    }
    result
}

/// A program's token budget is enforced even on routes that keep no history.
fn turn_scope(head: &CallHead, route: &RouteSpec) -> Option<TurnScope> {
    if route.keeps_history {
        return Some(TurnScope::History);
    }
    let budgeted = head.program.is_some() && head.token_budget.is_some();
    (budgeted && route.kind == RouteKind::Stream).then_some(TurnScope::Tokens)
}

fn fingerprint(
    request: &CallerRequest,
    head: &CallHead,
    workspace: Option<&WorkspaceSpec>,
    body: &[u8],
) -> RequestFingerprint {
    RequestFingerprint::of(&FingerprintFields {
        workspace: workspace.map(|workspace| &*workspace.name),
        program: head.program.as_deref(),
        branch: head.branch.as_deref(),
        previous: head.previous.as_deref(),
        affinity: head.affinity.as_deref(),
        method: request.method.as_str(),
        host: &request.host,
        target: &request.target,
        body,
    })
}

impl Gateway {
    pub(super) async fn prepare(
        self: &Rc<Self>,
        request: CallerRequest,
        arrived: Instant,
        reader: &mut CallerReader,
        writer: &mut CallerWriter,
    ) -> Result<CallContext, (RequestId, Refusal)> {
        let head = match self.dialect.call_head(&request.headers) {
            Ok(head) => head,
            Err(error) => {
                log::info!("event=head_malformed error=\"{error}\"");
                let refusal = Refusal::rejected(StatusCode::BAD_REQUEST, "malformed_head");
                return Err((RequestId::default(), refusal));
            }
        };
        let id = head.request.clone().unwrap_or_default();
        let fail = |refusal| (id.clone(), refusal);
        let grant = self.authorize_in_time(&request, &head, arrived).await.map_err(fail)?;
        let CallGrant { table, route, workspace } = grant;
        if id.is_empty() {
            let refusal = Refusal::rejected(StatusCode::BAD_REQUEST, "no_request_id");
            return Err(fail(refusal));
        }
        let timeout = head.deadline.unwrap_or(route.timeout).min(route.timeout);
        let deadline = arrived + timeout;
        if self.stop.may_cut_off(route.kind, arrived, deadline) {
            return Err(fail(Refusal::stopping()));
        }
        let max_body_bytes = table.limits.body_bytes.min(self.settings.body_bytes());
        let workspace_rank = workspace.as_ref().and_then(|workspace| workspace.priority);
        let rank = workspace_rank.unwrap_or(route.priority);
        let memory = self.memory.permit(id.clone(), rank);
        let memory_wait =
            (route.objective / MEMORY_WAIT_DIVISOR).min(timeout / MEMORY_WAIT_DIVISOR);
        let body = reader
            .body(&request, writer, max_body_bytes, deadline, &memory, memory_wait)
            .await
            .map_err(|error| {
                let refusal = Refusal::unreadable(&error);
                fail(refusal.unwrap_or(Refusal::rejected(StatusCode::BAD_REQUEST, "broken_body")))
            })?;
        let Some(service) = route.service(random()).cloned() else {
            return Err(fail(Refusal::not_run("route_without_service", NO_ROUTES_RETRY_DELAY)));
        };
        let engine = table.service(&service).and_then(|spec| spec.engine.as_ref());
        let call = CallContext {
            id: id.clone(),
            fingerprint: fingerprint(&request, &head, workspace.as_deref(), &body),
            method: request.method.clone(),
            target: request.target.clone(),
            headers: end_to_end_headers(&request.headers),
            body: RefCell::new(body),
            memory,
            priority: engine.map(|_| rank.min(9)),
            rank,
            workspace,
            event_tokens: engine.map_or(1, |engine| engine.event_tokens),
            service,
            arrived,
            deadline,
            holder: None,
            scope: turn_scope(&head, &route),
            head,
            route,
        };
        Ok(call)
    }
}
