//! Whether a request may be served: its route, and the workspace whose key it carries.

use std::rc::Rc;

use actix_http::StatusCode;

use super::prepare::NO_ROUTES_RETRY;
use crate::core::routing::{RouteSpec, RouteTable};
use crate::core::workspaces::{ApiKey, WorkspaceSpec};
use crate::gateway::Gateway;
use crate::gateway::http::CallerRequest;
use crate::gateway::refusal::Refusal;

/// What a configuration grants a request.
pub(super) struct CallGrant {
    pub(super) table: Rc<RouteTable>,
    pub(super) route: Rc<RouteSpec>,
    /// None where nobody has to show a key.
    pub(super) workspace: Option<Rc<WorkspaceSpec>>,
}

/// Why a configuration does not allow a request; a newer one may.
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
    /// Finds the route and the workspace of a request.
    ///
    /// What the configuration here does not allow is denied only if that is certainly the newest one:
    /// an instance whose news are late would deny a route or a key that was added meanwhile, and its
    /// caller would not try again.
    pub(super) async fn authorize(
        &self,
        request: &CallerRequest,
        key: Option<&ApiKey>,
    ) -> Result<CallGrant, Refusal> {
        let Some(table) = self.feed.routes() else {
            return Err(Refusal::not_run("no_routes_yet", NO_ROUTES_RETRY));
        };
        if !self.trusts_keys(&table).await {
            return Err(Refusal::not_run("keys_uncertain", NO_ROUTES_RETRY));
        }
        if let Ok(grant) = grant(&table, request, key) {
            return Ok(grant);
        }
        let fresh = self.feed.refresh_routes().await;
        let table = self.feed.routes().unwrap_or(table);
        grant(&table, request, key).map_err(|denial| match fresh {
            true => denial.refusal(),
            false => Refusal::not_run("routes_uncertain", NO_ROUTES_RETRY),
        })
    }

    /// Whether the keys known here still count. Where the operator asks for it, an instance that has
    /// not heard of the store for longer than a key may outlive its end serves nobody who needs one:
    /// cut off, it would go on serving whoever was locked out.
    async fn trusts_keys(&self, table: &RouteTable) -> bool {
        let Some(limit) = self.settings.strict_key_age() else { return true };
        table.workspaces().is_none()
            || self.feed.routes_age() <= limit
            || self.feed.refresh_routes().await
    }
}

fn grant(
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
