//! The change feed of routes and upstreams, read from the store or from an instance of the zone
//! that reads the store for others.

mod follow;

mod change_log;
#[cfg(test)]
mod change_log_tests;
#[cfg(test)]
mod leaving_tests;
mod messages;
#[cfg(test)]
mod messages_tests;
mod reader;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::futures::Notified;
use tokio::sync::{Mutex, Notify};
use tokio::time::{Instant, sleep_until};

use self::change_log::ChangeLog;
use super::dialect::GatewayDialect;
use super::http::ConnectionPool;
use super::quotas::QuotaSource;
use super::rows::{RowVersion, StoredRow};
use super::store::StoreLink;
use crate::core::ids::{InstanceId, UpstreamId};
use crate::core::load::LoadKey;
use crate::core::quotas::QuotaLimit;
use crate::core::routing::{RouteTable, TableVersion, TableView, UpdateOutcome};
use crate::core::upstreams::{UpstreamEntry, UpstreamIncarnation, UpstreamTable, UpstreamUpdate};
use crate::util::pause::ClockMark;

pub(crate) use self::reader::{FEED_PATH, FeedReaders};

/// Routes that were confirmed within this time are not read again before a request for an unknown
/// route is denied. It is shorter than the time in which a new route must be in force.
const FRESH_ROUTES_MAX_AGE: Duration = Duration::from_millis(1_500);

/// How long a request waits for an overdue list of upstreams. Reading the store takes some milliseconds
/// after a pause; if it takes longer, the store or the readers are in trouble of their own.
const STALE_LIST_TIMEOUT: Duration = Duration::from_millis(500);

/// What an instance knew of the upstreams when it sent a request.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct UpstreamListState {
    pub(crate) version: RowVersion,
    /// Time since the request to the store that last confirmed the list.
    pub(crate) age: Duration,
    /// The list came from a reader.
    pub(crate) is_led: bool,
}

/// Is told of upstreams that ended without having announced it.
pub(crate) trait UpstreamListener {
    fn upstreams_ended(self: Rc<Self>, ended: &[LoadKey]);
}

pub(crate) struct ChangeFeed {
    store: Rc<StoreLink>,
    pool: Rc<ConnectionPool>,
    dialect: Rc<dyn GatewayDialect>,
    routes: RefCell<TableView>,
    /// Notified when other routes are in force.
    routes_changed: Notify,
    /// Time of the request that last confirmed the routes.
    routes_requested: Cell<Option<ClockMark>>,
    pub(crate) upstreams: RefCell<UpstreamTable>,
    upstreams_loaded: Cell<bool>,
    /// Last entry of each row; `None` if it could not be decoded.
    last_entries: RefCell<BTreeMap<UpstreamId, Option<UpstreamEntry>>>,
    /// Versions of entries that could not be decoded, so that each is logged once.
    rejected: RefCell<BTreeMap<UpstreamId, RowVersion>>,
    route_log: RefCell<ChangeLog>,
    upstream_log: RefCell<ChangeLog>,
    /// Notified when the store or a reader has confirmed the list of upstreams.
    confirmed: Notify,
    /// Wakes requests of followers.
    changed: Notify,
    /// While set, a reader provides the feed and this instance does not read the store.
    following: Cell<bool>,
    hops: Cell<u32>,
    /// The reader that is followed, and the instances between the store and it.
    path: RefCell<Vec<InstanceId>>,
    /// `None` if readers are disabled.
    readers: Option<Rc<dyn FeedReaders>>,
    reader_changed: Notify,
    /// Serializes reads of the routes, so that waiting callers share one.
    refresh: Mutex<()>,
    upstream_listener: RefCell<Option<Rc<dyn UpstreamListener>>>,
}

impl ChangeFeed {
    pub(crate) fn new(
        store: Rc<StoreLink>,
        pool: Rc<ConnectionPool>,
        dialect: Rc<dyn GatewayDialect>,
        readers: Option<Rc<dyn FeedReaders>>,
    ) -> Self {
        Self {
            store,
            pool,
            dialect,
            routes: RefCell::default(),
            routes_changed: Notify::new(),
            routes_requested: Cell::new(None),
            upstreams: RefCell::default(),
            upstreams_loaded: Cell::new(false),
            last_entries: RefCell::default(),
            rejected: RefCell::default(),
            route_log: RefCell::default(),
            upstream_log: RefCell::default(),
            confirmed: Notify::new(),
            changed: Notify::new(),
            following: Cell::new(false),
            hops: Cell::new(0),
            path: RefCell::default(),
            readers,
            reader_changed: Notify::new(),
            refresh: Mutex::new(()),
            upstream_listener: RefCell::default(),
        }
    }

    pub(crate) fn set_upstream_listener(&self, listener: Rc<dyn UpstreamListener>) {
        *self.upstream_listener.borrow_mut() = Some(listener);
    }

    pub(crate) fn routes(&self) -> Option<Rc<RouteTable>> {
        self.routes.borrow().current()
    }

    /// Completes at the next change of the routes after this call, even if it is awaited later.
    pub(crate) fn routes_changed(&self) -> Notified<'_> {
        self.routes_changed.notified()
    }

    /// Time since the routes were last confirmed; zero before they are first read.
    pub(crate) fn routes_age(&self) -> Duration {
        self.routes.borrow().confirmed_at().map_or(Duration::ZERO, |at| at.elapsed())
    }

    /// Returns true once routes and upstreams have been read, so that requests can be served.
    pub(crate) fn is_complete(&self) -> bool {
        self.upstreams_loaded.get() && self.routes.borrow().current().is_some()
    }

    pub(crate) fn list_state(&self) -> UpstreamListState {
        let log = self.upstream_log.borrow();
        UpstreamListState {
            version: log.head(),
            age: log.age().unwrap_or_default(),
            is_led: self.is_following(),
        }
    }

    /// Returns whether the list has this incarnation.
    pub(crate) fn has_incarnation(&self, incarnation: &UpstreamIncarnation) -> bool {
        let upstreams = self.upstreams.borrow();
        upstreams.has_incarnation(&incarnation.id, incarnation.started_at)
    }

    pub(crate) fn is_following(&self) -> bool {
        self.following.get()
    }

    /// Reads the routes again unless they were just confirmed; false if the store does not answer.
    ///
    /// Without it, an instance that was paused or lags behind would deny a route or key that was
    /// added meanwhile. Concurrent callers share one request, so that a flood of unknown keys does
    /// not reach the store.
    pub(crate) async fn refresh_routes(&self) -> bool {
        if self.has_fresh_routes() {
            return true;
        }
        let _guard = self.refresh.lock().await;
        if self.has_fresh_routes() {
            return true;
        }
        self.check_routes().await.is_ok()
    }

    fn has_fresh_routes(&self) -> bool {
        let confirmed = self.routes.borrow().confirmed_at();
        let paused = self.routes_requested.get().is_some_and(|requested| requested.is_paused());
        confirmed.is_some_and(|at| at.elapsed() < FRESH_ROUTES_MAX_AGE) && !paused
    }

    /// Reads the routes if a peer has a newer version, even if they were just confirmed: a reader
    /// that lags behind confirms outdated routes.
    pub(crate) async fn catch_up(&self, peer_version: TableVersion) {
        let _guard = self.refresh.lock().await;
        let version = self.routes().map_or(TableVersion::MAX, |table| table.version);
        if version < peer_version
            && let Err(error) = self.check_routes().await
        {
            log::info!(
                "event=routes_behind version={version} heard={peer_version} error=\"{error}\""
            );
        }
    }

    fn replace_routes(&self, rows: Vec<StoredRow>, head: RowVersion, requested: ClockMark) {
        for row in &rows {
            self.apply_routes(row);
        }
        self.route_log.borrow_mut().replace(rows, head, requested.steady());
        self.confirm_routes(requested.steady(), requested);
        self.changed.notify_waiters();
    }

    /// Records that the routes were current at `at`, by the reply to a request sent at `requested`.
    fn confirm_routes(&self, at: Instant, requested: ClockMark) {
        self.routes.borrow_mut().confirm(at);
        self.routes_requested.set(Some(requested));
    }

    /// Applies all changes up to `head`, as of `at`.
    fn update_routes(
        &self,
        rows: Vec<StoredRow>,
        head: RowVersion,
        at: Instant,
        requested: ClockMark,
    ) {
        let mut log = self.route_log.borrow_mut();
        for row in rows {
            self.apply_routes(&row);
            log.put(row);
            self.changed.notify_waiters();
        }
        log.advance(head, at);
        self.confirm_routes(at, requested);
    }

    /// A version that cannot be decoded leaves the previous one in force.
    fn apply_routes(&self, row: &StoredRow) {
        let table = match self.dialect.route_table(row) {
            Ok(Some(table)) => table,
            Ok(None) => return,
            Err(error) => {
                log::error!("event=routes_rejected row={} error=\"{error}\"", row.key.key);
                return;
            }
        };
        let (version, routes) = (table.version, table.route_count());
        if self.routes.borrow_mut().update(table) == UpdateOutcome::Old {
            return;
        }
        self.routes_changed.notify_waiters();
        let table = self.routes.borrow().current();
        let workspaces = table.as_ref().and_then(|table| table.workspaces());
        log::info!(
            "event=routes_applied version={version} routes={routes} workspaces={} led={}",
            workspaces.map_or("open".into(), |workspaces| workspaces.len().to_string()),
            self.is_following()
        );
        for problem in workspaces.map_or(&[][..], |workspaces| workspaces.invalid_keys()) {
            log::error!("event=key_unusable version={version} problem=\"{problem}\"");
        }
    }

    /// Ignores a list that is older than what is known: a reply that was under way while another
    /// source sent newer changes would list upstreams again that have left since.
    fn replace_upstreams(&self, rows: Vec<StoredRow>, head: RowVersion, requested: Instant) {
        let known = self.upstream_log.borrow().head();
        if head < known {
            log::info!("event=upstreams_outdated head={head} known={known}");
            return;
        }
        let read: Vec<_> = rows.iter().map(|row| (row, self.read_entry(row))).collect();
        let entries: Vec<_> = read.iter().filter_map(|(_, entry)| entry.clone()).collect();
        log::info!("event=upstreams_read count={} led={}", entries.len(), self.is_following());
        let listed = read.into_iter().map(|(row, entry)| (row.key.key.clone(), entry));
        *self.last_entries.borrow_mut() = listed.collect();
        let mut upstreams = self.upstreams.borrow_mut();
        upstreams.replace(entries, Instant::now());
        self.handle_ended(&mut upstreams);
        self.upstreams_loaded.set(true);
        self.upstream_log.borrow_mut().replace(rows, head, requested);
        self.confirmed.notify_waiters();
        self.changed.notify_waiters();
    }

    /// Ignores rows up to the known position, for the same reason.
    fn update_upstreams(&self, rows: Vec<StoredRow>, head: RowVersion, requested: Instant) {
        let now = Instant::now();
        let known = self.upstream_log.borrow().head();
        let mut upstreams = self.upstreams.borrow_mut();
        for row in rows.into_iter().filter(|row| row.version > known) {
            self.update_upstream(&mut upstreams, row, now);
        }
        for upstream in upstreams.expire(now) {
            log::info!("event=upstream_changed upstream={upstream} state=lapsed");
        }
        self.handle_ended(&mut upstreams);
        self.upstream_log.borrow_mut().advance(head, requested);
        self.confirmed.notify_waiters();
    }

    /// Waits a moment for the list of upstreams to be confirmed if that is overdue, as after a pause of the
    /// process. Returns the time waited; `None` if the list is fresh, or if the store is unavailable, so
    /// that nothing can confirm it.
    pub(crate) async fn await_fresh_list(&self) -> Option<Duration> {
        if !self.is_list_overdue() {
            return None;
        }
        let begun = Instant::now();
        let deadline = begun + STALE_LIST_TIMEOUT;
        while self.is_list_overdue() && Instant::now() < deadline {
            tokio::select! {
                () = self.confirmed.notified() => {}
                () = self.store.unreachable() => {}
                () = sleep_until(deadline) => {}
            }
        }
        Some(begun.elapsed())
    }

    fn is_list_overdue(&self) -> bool {
        self.has_feed_gap() && self.store.outage().is_none()
    }

    fn update_upstream(&self, upstreams: &mut UpstreamTable, row: StoredRow, now: Instant) {
        let id = row.key.key.clone();
        let entry = self.read_entry(&row);
        let update = match &entry {
            Some(entry) => UpstreamUpdate::Listed(entry.clone()),
            None if row.value.is_some() => UpstreamUpdate::Undecodable(id.clone()),
            None => UpstreamUpdate::Removed(id.clone()),
        };
        let state =
            entry.as_ref().map_or_else(|| "removed".into(), |entry| entry.state.to_string());
        if upstreams.apply(update, now) {
            log::info!(
                "event=upstream_changed upstream={id} state={state} version={} led={}",
                row.version,
                self.is_following()
            );
        }
        if entry.is_some() && upstreams.get(&id).is_none() {
            log::info!("event=heartbeat_outdated upstream={id} version={}", row.version);
            return;
        }
        // Upstreams rewrite their entries all the time; followers get only those that differ.
        let removed = row.value.is_none();
        let same = match (self.last_entries.borrow().get(&id), &entry) {
            (Some(Some(last)), Some(entry)) => last.is_same(entry),
            (last, entry) => last == Some(entry),
        };
        if same && !removed {
            return;
        }
        match removed {
            true => self.last_entries.borrow_mut().remove(&id),
            false => self.last_entries.borrow_mut().insert(id, entry),
        };
        self.upstream_log.borrow_mut().put(row);
        self.changed.notify_waiters();
    }

    /// Returns `None` for a row that is removed or cannot be decoded. Its previous entry is
    /// dropped; other rows are unaffected.
    fn read_entry(&self, row: &StoredRow) -> Option<UpstreamEntry> {
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

    fn handle_ended(&self, upstreams: &mut UpstreamTable) {
        for address in upstreams.take_stale_addresses() {
            self.pool.close_idle(&address);
        }
        let ended = upstreams.take_ended();
        let listener = self.upstream_listener.borrow().clone();
        if let Some(listener) = listener.filter(|_| !ended.is_empty()) {
            listener.upstreams_ended(&ended);
        }
    }
}

impl QuotaSource for ChangeFeed {
    fn quota(&self, workspace: &str) -> Option<QuotaLimit> {
        self.routes()?.workspaces()?.get(workspace)?.quota
    }
}
