//! Follows the store's news of routes and upstreams.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::dialect::GatewayDialect;
use super::http::ConnectionPool;
use super::rows::{ChangesReply, RowRange, RowVersion, StoredRow};
use super::store::StoreLink;
use crate::core::ids::UpstreamId;
use crate::core::routing::{RouteTable, TableNews, TableView};
use crate::core::upstreams::{ListNews, UpstreamEntry, UpstreamTable};
use crate::node::platform::StoreError;

/// How long the store may hold a question for new routes. A connection that has gone silent is
/// noticed only when this has passed, and routes must be in force within 2 s.
const ROUTES_WAIT: Duration = Duration::from_millis(900);
/// Shortest time between two questions for routes: a storm of versions is read at this pace.
const ROUTES_PACE: Duration = Duration::from_millis(250);
/// Time between two questions for upstreams. Each upstream writes every 1.2 s, so a question
/// that waits for changes would be answered at once; 2 s are allowed until one that drains gets
/// no new work.
const UPSTREAMS_PACE: Duration = Duration::from_millis(700);
/// Pause after a failed question.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Routes confirmed so lately need not be read again to say that one does not exist.
const FRESH: Duration = Duration::from_millis(400);

/// What the instance knows from the store's news.
pub(crate) struct StoreNews {
    store: Rc<StoreLink>,
    pool: Rc<ConnectionPool>,
    dialect: Rc<dyn GatewayDialect>,
    routes: RefCell<TableView>,
    pub(crate) upstreams: RefCell<UpstreamTable>,
    upstreams_known: Cell<bool>,
    /// Versions of entries that could not be read, so that each is told of once.
    rejected: RefCell<BTreeMap<UpstreamId, RowVersion>>,
}

impl StoreNews {
    pub(crate) fn new(
        store: Rc<StoreLink>,
        pool: Rc<ConnectionPool>,
        dialect: Rc<dyn GatewayDialect>,
    ) -> Self {
        Self {
            store,
            pool,
            dialect,
            routes: RefCell::default(),
            upstreams: RefCell::default(),
            upstreams_known: Cell::new(false),
            rejected: RefCell::default(),
        }
    }

    pub(crate) fn routes(&self) -> Option<Rc<RouteTable>> {
        self.routes.borrow().current()
    }

    /// How long ago the routes were last read or confirmed; zero while none are known.
    pub(crate) fn routes_age(&self) -> Duration {
        self.routes.borrow().confirmed().map_or(Duration::ZERO, |at| at.elapsed())
    }

    /// Whether requests can be served: routes and upstreams have been read at least once.
    pub(crate) fn is_complete(&self) -> bool {
        self.upstreams_known.get() && self.routes.borrow().current().is_some()
    }

    /// Reads the routes again unless that was done just now; false if they cannot be had.
    ///
    /// An instance that was paused, or whose news were late, would deny a route that was added
    /// meanwhile.
    pub(crate) async fn refresh_routes(&self) -> bool {
        let confirmed = self.routes.borrow().confirmed();
        if confirmed.is_some_and(|at| at.elapsed() < FRESH) {
            return true;
        }
        self.read_routes().await.is_ok()
    }

    async fn read_routes(&self) -> Result<RowVersion, StoreError> {
        let asked = Instant::now();
        let table = self.dialect.routes_table();
        let range = RowRange { table: table.into(), part: Box::default(), from: None, limit: None };
        let reply = self.store.range(&range).await?;
        for row in &reply.rows {
            self.take_routes(row);
        }
        self.routes.borrow_mut().confirm(asked);
        Ok(reply.version)
    }

    /// Takes a version of the routes; one that cannot be read leaves the last good one in force.
    fn take_routes(&self, row: &StoredRow) {
        let table = match self.dialect.route_table(row) {
            Ok(Some(table)) => table,
            Ok(None) => return,
            Err(error) => {
                log::error!("event=routes_rejected row={} error=\"{error}\"", row.key.key);
                return;
            }
        };
        let (version, routes) = (table.version, table.route_count());
        if self.routes.borrow_mut().offer(table) == TableNews::Applied {
            log::info!("event=routes_applied version={version} routes={routes}");
        }
    }

    pub(crate) async fn follow_routes(self: Rc<Self>) {
        let mut after = self.first(|| self.read_routes()).await;
        let table = self.dialect.routes_table();
        loop {
            let asked = Instant::now();
            match self.store.changes(table, after, ROUTES_WAIT).await {
                Ok(ChangesReply::Changes { rows, version }) => {
                    for row in &rows {
                        self.take_routes(row);
                    }
                    after = version.max(after);
                    self.routes.borrow_mut().confirm(asked);
                }
                Ok(ChangesReply::HistoryGone) => {
                    log::info!("event=history_gone table={table} after={after}");
                    after = self.first(|| self.read_routes()).await;
                }
                Err(_) => sleep(RETRY_PAUSE).await,
            }
            sleep(ROUTES_PACE.saturating_sub(asked.elapsed())).await;
        }
    }

    async fn read_upstreams(&self) -> Result<RowVersion, StoreError> {
        let table = self.dialect.upstreams_table();
        let mut range =
            RowRange { table: table.into(), part: Box::default(), from: None, limit: None };
        let mut entries = Vec::new();
        let mut oldest = None;
        loop {
            let reply = self.store.range(&range).await?;
            oldest = oldest.or(Some(reply.version));
            let last = reply.rows.last().map(|row| format!("{}\0", row.key.key));
            entries.extend(reply.rows.iter().filter_map(|row| self.listed(row)));
            match last.filter(|_| reply.truncated) {
                Some(next) => range.from = Some(next.into()),
                None => break,
            }
        }
        log::info!("event=upstreams_read count={}", entries.len());
        let now = Instant::now();
        let mut upstreams = self.upstreams.borrow_mut();
        upstreams.replace(entries, now);
        self.forget_left(&mut upstreams);
        self.upstreams_known.set(true);
        Ok(oldest.unwrap_or_default())
    }

    /// What a row says of an upstream; none if it names no upstream to use. Then whatever stood in
    /// the row before is gone, and all other rows hold.
    fn listed(&self, row: &StoredRow) -> Option<UpstreamEntry> {
        if row.value.is_none() {
            self.rejected.borrow_mut().remove(&row.key.key);
            return None;
        }
        let error = match self.dialect.upstream_entry(row) {
            Ok(entry) => {
                self.rejected.borrow_mut().remove(&row.key.key);
                return Some(entry);
            }
            Err(error) => error,
        };
        let known = self.rejected.borrow_mut().insert(row.key.key.clone(), row.version);
        if known != Some(row.version) {
            let (upstream, version) = (&row.key.key, row.version);
            log::error!(
                "event=upstream_rejected upstream={upstream} version={version} error=\"{error}\""
            );
        }
        None
    }

    pub(crate) async fn follow_upstreams(self: Rc<Self>) {
        let mut after = self.first(|| self.read_upstreams()).await;
        let table = self.dialect.upstreams_table();
        loop {
            let asked = Instant::now();
            match self.store.changes(table, after, Duration::ZERO).await {
                Ok(ChangesReply::Changes { rows, version }) => {
                    self.take_upstreams(&rows);
                    after = version.max(after);
                }
                Ok(ChangesReply::HistoryGone) => {
                    log::info!("event=history_gone table={table} after={after}");
                    after = self.first(|| self.read_upstreams()).await;
                }
                Err(_) => {
                    sleep(RETRY_PAUSE).await;
                    self.store.reachable().await;
                    continue;
                }
            }
            sleep(UPSTREAMS_PACE.saturating_sub(asked.elapsed())).await;
        }
    }

    /// Notes when the store is away. How long entries that vanished are doubted counts from its
    /// return: counted from the next news, one that had really left was given work for longer than
    /// the two seconds that are allowed, at an instance that had long been calm.
    pub(crate) async fn follow_outages(self: Rc<Self>) {
        loop {
            self.store.unreachable().await;
            self.upstreams.borrow_mut().store_readable(false, Instant::now());
            self.store.reachable().await;
            self.upstreams.borrow_mut().store_readable(true, Instant::now());
        }
    }

    fn take_upstreams(&self, rows: &[StoredRow]) {
        let now = Instant::now();
        let mut upstreams = self.upstreams.borrow_mut();
        for row in rows {
            let news = match self.listed(row) {
                Some(entry) => ListNews::Listed(entry),
                None => ListNews::Removed(row.key.key.clone()),
            };
            let state = match &news {
                ListNews::Listed(entry) => entry.state.to_string(),
                ListNews::Removed(_) => "removed".to_owned(),
            };
            if upstreams.apply(news, now) {
                let (upstream, version) = (&row.key.key, row.version);
                log::info!(
                    "event=upstream_changed upstream={upstream} state={state} version={version}"
                );
            }
        }
        self.forget_left(&mut upstreams);
        for upstream in upstreams.expire(now) {
            log::info!("event=upstream_changed upstream={upstream} state=lapsed");
        }
    }

    fn forget_left(&self, upstreams: &mut UpstreamTable) {
        for address in upstreams.take_left_addresses() {
            self.pool.forget(&address);
        }
    }

    /// Tries until it succeeds.
    async fn first<F: Future<Output = Result<RowVersion, StoreError>>>(
        &self,
        read: impl Fn() -> F,
    ) -> RowVersion {
        loop {
            match read().await {
                Ok(version) => return version,
                Err(_) => sleep(RETRY_PAUSE).await,
            }
        }
    }
}
