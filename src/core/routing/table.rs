//! A version of the routes, and the newest one an instance knows.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use super::{CallerLimits, RouteSpec, ServiceName, ServiceSpec, TableVersion};
use crate::core::workspaces::WorkspaceTable;

/// All routes and services of one version.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteTable {
    pub version: TableVersion,
    pub limits: CallerLimits,
    services: BTreeMap<ServiceName, ServiceSpec>,
    /// Routes of each host, those with the longest prefix first.
    hosts: BTreeMap<Box<str>, Vec<Rc<RouteSpec>>>,
    /// Who may ask; none if everybody may.
    workspaces: Option<WorkspaceTable>,
}

impl RouteTable {
    pub fn new(
        version: TableVersion,
        limits: CallerLimits,
        routes: impl IntoIterator<Item = RouteSpec>,
        services: impl IntoIterator<Item = ServiceSpec>,
    ) -> Self {
        let mut hosts: BTreeMap<Box<str>, Vec<Rc<RouteSpec>>> = BTreeMap::new();
        for route in routes {
            hosts.entry(route.host.to_ascii_lowercase().into()).or_default().push(route.into());
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = services.into_iter().map(|spec| (spec.name.clone(), spec)).collect();
        Self { version, limits, services, hosts, workspaces: None }
    }

    /// The same routes for the callers of these workspaces only.
    pub fn with_workspaces(self, workspaces: WorkspaceTable) -> Self {
        Self { workspaces: Some(workspaces), ..self }
    }

    /// Who may ask; none if everybody may.
    pub fn workspaces(&self) -> Option<&WorkspaceTable> {
        self.workspaces.as_ref()
    }

    /// The route with the longest prefix that begins the path.
    ///
    /// `host` may carry a port, which routes do not name.
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<RouteSpec>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let routes = self.hosts.get(&*name)?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.services.get(name)
    }

    /// Longest time that turns of any route are kept; none if no route keeps them.
    pub fn retention(&self) -> Option<Duration> {
        self.hosts.values().flatten().filter_map(|route| route.retention).max()
    }

    pub fn route_count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }
}

/// What became of a version that was offered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateOutcome {
    Applied,
    /// Not newer than the one in force.
    Old,
}

/// The newest table this instance has seen; it never goes back.
#[derive(Debug, Default)]
pub struct TableView {
    current: Option<Rc<RouteTable>>,
    confirmed_at: Option<Instant>,
}

impl TableView {
    /// Takes a table over if it is newer than the one in force.
    ///
    /// A reply that was under way while a later one arrived would otherwise bring dropped routes
    /// back: a request that was refused a moment ago would be served by the old service.
    pub fn update(&mut self, table: RouteTable) -> UpdateOutcome {
        if self.current.as_ref().is_some_and(|current| current.version >= table.version) {
            return UpdateOutcome::Old;
        }
        self.current = Some(table.into());
        UpdateOutcome::Applied
    }

    /// Notes that the store had nothing newer at `now`.
    pub fn confirm(&mut self, now: Instant) {
        self.confirmed_at = Some(now);
    }

    pub fn current(&self) -> Option<Rc<RouteTable>> {
        self.current.clone()
    }

    /// When the table in force was last known to be the newest.
    pub fn confirmed_at(&self) -> Option<Instant> {
        self.confirmed_at
    }
}
