//! Authorizes requests: finds the route and the workspace of the request's key.

use std::rc::Rc;

use actix_http::StatusCode;

use super::prepare::NO_ROUTES_RETRY_DELAY;
use crate::core::routing::{RouteSpec, RouteTable};
use crate::core::workspaces::{ApiKey, WorkspaceSpec};
use crate::gateway::Gateway;
use crate::gateway::dialect::CallHead;
use crate::gateway::http::CallerRequest;
use crate::gateway::refusal::Refusal;
use tokio::time::{Instant, timeout_at};

pub(super) struct CallGrant {
    pub(super) table: Rc<RouteTable>,
    pub(super) route: Rc<RouteSpec>,
    /// `None` if the request was granted without a valid key.
    pub(super) workspace: Option<Rc<WorkspaceSpec>>,
}

/// Holds for one version of the configuration; a newer one may allow the request.
#[derive(Debug, Clone, Copy)]
enum CallDenial {
    NoSuchRoute,
    NoKey,
    UnknownKey,
}

impl CallDenial {
    fn refusal(self) -> Refusal {
        match self {
            Self::NoSuchRoute => Refusal::rejected(StatusCode::NOT_FOUND, "no_such_route"),
            Self::NoKey => Refusal::rejected(StatusCode::UNAUTHORIZED, "no_key"),
            Self::UnknownKey => Refusal::rejected(StatusCode::UNAUTHORIZED, "unknown_key"),
        }
    }
}

impl Gateway {
    /// Refuses at the caller's deadline what the store has not confirmed by then.
    pub(super) async fn authorize_in_time(
        &self,
        request: &CallerRequest,
        head: &CallHead,
        arrived: Instant,
    ) -> Result<CallGrant, Refusal> {
        let authorized = self.authorize(request, head.key.as_ref());
        match head.deadline {
            None => authorized.await,
            Some(deadline) => {
                let uncertain = Refusal::not_run("routes_uncertain", NO_ROUTES_RETRY_DELAY);
                timeout_at(arrived + deadline, authorized).await.unwrap_or(Err(uncertain))
            }
        }
    }

    /// Denies a request only by a configuration that is confirmed to be the newest: callers do not
    /// retry a denial, and the route or key may have been added since the last update received here.
    async fn authorize(
        &self,
        request: &CallerRequest,
        key: Option<&ApiKey>,
    ) -> Result<CallGrant, Refusal> {
        let Some(table) = self.feed.routes() else {
            return Err(Refusal::not_run("no_routes_yet", NO_ROUTES_RETRY_DELAY));
        };
        if !self.has_current_keys(&table).await {
            return Err(Refusal::not_run("keys_uncertain", NO_ROUTES_RETRY_DELAY));
        }
        if let Ok(grant) = find_grant(&table, request, key) {
            return Ok(grant);
        }
        let is_current = self.feed.refresh_routes().await;
        let table = self.feed.routes().unwrap_or(table);
        find_grant(&table, request, key).map_err(|denial| match is_current {
            true => denial.refusal(),
            false => Refusal::not_run("routes_uncertain", NO_ROUTES_RETRY_DELAY),
        })
    }

    /// With a strict key age, an instance that is cut off from the store for longer refuses requests
    /// where keys are in use, as they may have been revoked.
    async fn has_current_keys(&self, table: &RouteTable) -> bool {
        let Some(max_age) = self.settings.strict_key_age() else { return true };
        table.workspaces().is_none()
            || self.feed.routes_age() <= max_age
            || self.feed.refresh_routes().await
    }
}

fn find_grant(
    table: &Rc<RouteTable>,
    request: &CallerRequest,
    key: Option<&ApiKey>,
) -> Result<CallGrant, CallDenial> {
    let route = table.find(&request.host, request.path()).ok_or(CallDenial::NoSuchRoute)?;
    let workspace = match (table.workspaces(), key) {
        (None, _) => None,
        (Some(workspaces), Some(key)) => workspaces.find_by_key(key).cloned(),
        (Some(_), None) => None,
    };
    if table.workspaces().is_some() && workspace.is_none() && !route.is_open {
        return Err(if key.is_some() { CallDenial::UnknownKey } else { CallDenial::NoKey });
    }
    Ok(CallGrant { table: table.clone(), route: route.clone(), workspace })
}
