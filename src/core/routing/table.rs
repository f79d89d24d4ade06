//! Versioned route tables and the newest one known to an instance.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use super::{CallerLimits, RouteSpec, ServiceName, ServiceSpec, TableVersion};
use crate::core::order::RequestOrder;
use crate::core::workspaces::WorkspaceTable;

#[derive(Debug, Clone, PartialEq)]
pub struct RouteTable {
    pub version: TableVersion,
    pub limits: CallerLimits,
    services: BTreeMap<ServiceName, ServiceSpec>,
    /// By host, longest prefix first.
    hosts: BTreeMap<Box<str>, Vec<Rc<RouteSpec>>>,
    /// `None` if requests need no API key.
    workspaces: Option<WorkspaceTable>,
    /// By the ranks of the workspaces and of the routes to engines.
    order: RequestOrder,
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
        let order = RequestOrder::default();
        let mut table = Self { version, limits, services, hosts, workspaces: None, order };
        table.order = RequestOrder::new(table.ranks());
        table
    }

    /// Restricts the routes to callers of these workspaces.
    pub fn with_workspaces(self, workspaces: WorkspaceTable) -> Self {
        let mut table = Self { workspaces: Some(workspaces), ..self };
        table.order = RequestOrder::new(table.ranks());
        table
    }

    /// Ranks that requests to engines can have.
    fn ranks(&self) -> impl Iterator<Item = u8> {
        let is_engine = |name| self.service(name).is_some_and(|spec| spec.engine.is_some());
        let routes = self.hosts.values().flatten();
        let routes =
            routes.filter(move |route| route.targets.iter().any(|(name, _)| is_engine(name)));
        let workspaces = self.workspaces.iter().flat_map(WorkspaceTable::priorities);
        routes.map(|route| route.priority).chain(workspaces)
    }

    /// Order in which engines serve the requests of these routes.
    pub fn order(&self) -> &RequestOrder {
        &self.order
    }

    /// `None` if requests need no API key.
    pub fn workspaces(&self) -> Option<&WorkspaceTable> {
        self.workspaces.as_ref()
    }

    /// The route with the longest prefix of `path`. A port in `host` is ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<RouteSpec>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let routes = self.hosts.get(&*name)?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.services.get(name)
    }

    /// The maximum over all routes; `None` if no route keeps turns.
    pub fn retention(&self) -> Option<Duration> {
        self.hosts.values().flatten().filter_map(|route| route.retention).max()
    }

    pub fn route_count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateOutcome {
    Applied,
    /// Not newer than the current table.
    Old,
}

/// The newest table seen; it is never replaced by an older one.
#[derive(Debug, Default)]
pub struct TableView {
    current: Option<Rc<RouteTable>>,
    confirmed_at: Option<Instant>,
}

impl TableView {
    /// Replaces the current table if `table` is newer. A reply that arrives out of order must not
    /// restore routes that were removed.
    pub fn update(&mut self, table: RouteTable) -> UpdateOutcome {
        if self.current.as_ref().is_some_and(|current| current.version >= table.version) {
            return UpdateOutcome::Old;
        }
        self.current = Some(table.into());
        UpdateOutcome::Applied
    }

    /// Records that the store had no newer table at `now`.
    pub fn confirm(&mut self, now: Instant) {
        self.confirmed_at = Some(now);
    }

    pub fn current(&self) -> Option<Rc<RouteTable>> {
        self.current.clone()
    }

    /// When the current table was last known to be the newest.
    pub fn confirmed_at(&self) -> Option<Instant> {
        self.confirmed_at
    }
}
