//! What the store says of routes and upstreams, and how it comes here: from the store itself, or from
//! an instance of the zone that reads it for others.

mod follow;

mod messages;
#[cfg(test)]
mod messages_tests;
mod reader;
mod table_log;
#[cfg(test)]
mod table_log_tests;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{Mutex, Notify};
use tokio::time::Instant;

use self::table_log::NewsLog;
use super::dialect::GatewayDialect;
use super::http::ConnectionPool;
use super::quotas::QuotaSource;
use super::rows::{RowVersion, StoredRow};
use super::store::StoreLink;
use crate::core::ids::UpstreamId;
use crate::core::quotas::QuotaLimit;
use crate::core::routing::{RouteTable, TableVersion, TableView, UpdateOutcome};
use crate::core::upstreams::{UpstreamEntry, UpstreamTable, UpstreamUpdate};
use crate::util::pause::ClockMark;

pub(crate) use self::reader::{NEWS_PATH, NewsReaders};

/// Routes confirmed so lately need not be asked for again to say that one does not exist. It is less
/// than the time in which a new route must be in force.
const FRESH: Duration = Duration::from_millis(1_500);

/// What the instance knows from the store's news.
pub(crate) struct StoreNews {
    store: Rc<StoreLink>,
    pool: Rc<ConnectionPool>,
    dialect: Rc<dyn GatewayDialect>,
    routes: RefCell<TableView>,
    /// When the question was sent that last confirmed the routes.
    routes_asked: Cell<Option<ClockMark>>,
    pub(crate) upstreams: RefCell<UpstreamTable>,
    upstreams_known: Cell<bool>,
    /// What each row of an upstream said last; none if it could not be read.
    listed: RefCell<BTreeMap<UpstreamId, Option<UpstreamEntry>>>,
    /// Versions of entries that could not be read, so that each is told of once.
    rejected: RefCell<BTreeMap<UpstreamId, RowVersion>>,
    route_log: RefCell<NewsLog>,
    upstream_log: RefCell<NewsLog>,
    /// Tells of changes, for followers that wait for them.
    changed: Notify,
    /// Whether a reader tells the news, so that this instance does not ask the store.
    led: Cell<bool>,
    /// Instances between the store and this one.
    hops: Cell<u32>,
    /// Who reads news for this instance.
    readers: Option<Rc<dyn NewsReaders>>,
    /// Tells of the end of that.
    released: Notify,
    /// Held while the routes are read for requests that wait.
    refresh: Mutex<()>,
}

impl StoreNews {
    pub(crate) fn new(
        store: Rc<StoreLink>,
        pool: Rc<ConnectionPool>,
        dialect: Rc<dyn GatewayDialect>,
        readers: Option<Rc<dyn NewsReaders>>,
    ) -> Self {
        Self {
            store,
            pool,
            dialect,
            routes: RefCell::default(),
            routes_asked: Cell::new(None),
            upstreams: RefCell::default(),
            upstreams_known: Cell::new(false),
            listed: RefCell::default(),
            rejected: RefCell::default(),
            route_log: RefCell::default(),
            upstream_log: RefCell::default(),
            changed: Notify::new(),
            led: Cell::new(false),
            hops: Cell::new(0),
            readers,
            released: Notify::new(),
            refresh: Mutex::new(()),
        }
    }

    pub(crate) fn routes(&self) -> Option<Rc<RouteTable>> {
        self.routes.borrow().current()
    }

    /// How long ago the routes were last read or confirmed; zero while none are known.
    pub(crate) fn routes_age(&self) -> Duration {
        self.routes.borrow().confirmed_at().map_or(Duration::ZERO, |at| at.elapsed())
    }

    /// Whether requests can be served: routes and upstreams have been read at least once.
    pub(crate) fn is_complete(&self) -> bool {
        self.upstreams_known.get() && self.routes.borrow().current().is_some()
    }

    /// Whether a peer reads the store's news for this instance.
    pub(crate) fn is_led(&self) -> bool {
        self.led.get()
    }

    /// Reads the routes again unless that was done just now; false if they cannot be had.
    ///
    /// An instance that was paused, or whose news were late, would deny a route or a key that was added
    /// meanwhile. All that ask at a time share one question, and while the store is away none is sent,
    /// so a flood of unknown keys is no flood of questions.
    pub(crate) async fn refresh_routes(&self) -> bool {
        if self.has_fresh_routes() {
            return true;
        }
        let _turn = self.refresh.lock().await;
        if self.has_fresh_routes() {
            return true;
        }
        self.check_routes().await.is_ok()
    }

    fn has_fresh_routes(&self) -> bool {
        let confirmed = self.routes.borrow().confirmed_at();
        let paused = self.routes_asked.get().is_some_and(|asked| asked.is_paused());
        confirmed.is_some_and(|at| at.elapsed() < FRESH) && !paused
    }

    /// Reads the routes if they are older than a version that a peer has, however lately they were
    /// confirmed: a reader that is a little behind confirms them too.
    pub(crate) async fn catch_up(&self, heard: TableVersion) {
        let _turn = self.refresh.lock().await;
        let version = self.routes().map_or(TableVersion::MAX, |table| table.version);
        if version < heard
            && let Err(error) = self.check_routes().await
        {
            log::info!("event=routes_behind version={version} heard={heard} error=\"{error}\"");
        }
    }

    /// Takes all rows of the routes' table.
    fn replace_routes(&self, rows: Vec<StoredRow>, head: RowVersion, asked: ClockMark) {
        for row in &rows {
            self.take_routes(row);
        }
        self.route_log.borrow_mut().replace(rows, head, asked.steady());
        self.confirm_routes(asked.steady(), asked);
        self.changed.notify_waiters();
    }

    /// Notes that the routes were the newest at a moment, by the answer to a question of another one.
    fn confirm_routes(&self, at: Instant, asked: ClockMark) {
        self.routes.borrow_mut().confirm(at);
        self.routes_asked.set(Some(asked));
    }

    /// Takes changes of the routes' table, all up to `head`, as of a moment.
    fn change_routes(&self, rows: Vec<StoredRow>, head: RowVersion, at: Instant, asked: ClockMark) {
        let mut log = self.route_log.borrow_mut();
        for row in rows {
            self.take_routes(&row);
            log.put(row);
            self.changed.notify_waiters();
        }
        log.advance(head, at);
        self.confirm_routes(at, asked);
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
        if self.routes.borrow_mut().update(table) == UpdateOutcome::Old {
            return;
        }
        let table = self.routes.borrow().current();
        let workspaces = table.as_ref().and_then(|table| table.workspaces());
        log::info!(
            "event=routes_applied version={version} routes={routes} workspaces={} led={}",
            workspaces.map_or("open".into(), |workspaces| workspaces.len().to_string()),
            self.is_led()
        );
        for problem in workspaces.map_or(&[][..], |workspaces| workspaces.invalid_keys()) {
            log::error!("event=key_unusable version={version} problem=\"{problem}\"");
        }
    }

    /// Takes all rows of the upstreams' table.
    fn replace_upstreams(&self, rows: Vec<StoredRow>, head: RowVersion, asked: Instant) {
        let read: Vec<_> = rows.iter().map(|row| (row, self.read_entry(row))).collect();
        let entries: Vec<_> = read.iter().filter_map(|(_, entry)| entry.clone()).collect();
        log::info!("event=upstreams_read count={} led={}", entries.len(), self.is_led());
        let listed = read.into_iter().map(|(row, entry)| (row.key.key.clone(), entry));
        *self.listed.borrow_mut() = listed.collect();
        let mut upstreams = self.upstreams.borrow_mut();
        upstreams.replace(entries, Instant::now());
        self.forget_left(&mut upstreams);
        self.upstreams_known.set(true);
        self.upstream_log.borrow_mut().replace(rows, head, asked);
        self.changed.notify_waiters();
    }

    /// Takes changes of the upstreams' table, all up to `head`.
    fn change_upstreams(&self, rows: Vec<StoredRow>, head: RowVersion, asked: Instant) {
        let now = Instant::now();
        let mut upstreams = self.upstreams.borrow_mut();
        for row in rows {
            self.change_upstream(&mut upstreams, row, now);
        }
        self.forget_left(&mut upstreams);
        for upstream in upstreams.expire(now) {
            log::info!("event=upstream_changed upstream={upstream} state=lapsed");
        }
        self.upstream_log.borrow_mut().advance(head, asked);
    }

    fn change_upstream(&self, upstreams: &mut UpstreamTable, row: StoredRow, now: Instant) {
        let id = row.key.key.clone();
        let entry = self.read_entry(&row);
        let update = match &entry {
            Some(entry) => UpstreamUpdate::Listed(entry.clone()),
            None => UpstreamUpdate::Removed(id.clone()),
        };
        let state =
            entry.as_ref().map_or_else(|| "removed".into(), |entry| entry.state.to_string());
        if upstreams.apply(update, now) {
            log::info!(
                "event=upstream_changed upstream={id} state={state} version={} led={}",
                row.version,
                self.is_led()
            );
        }
        // Upstreams write every second or so; followers are told only of what differs.
        let removed = row.value.is_none();
        let same = self.listed.borrow().get(&id) == Some(&entry);
        if same && !removed {
            return;
        }
        match removed {
            true => self.listed.borrow_mut().remove(&id),
            false => self.listed.borrow_mut().insert(id, entry),
        };
        self.upstream_log.borrow_mut().put(row);
        self.changed.notify_waiters();
    }

    /// What a row says of an upstream; none if it names no upstream to use. Then whatever stood in
    /// the row before is gone, and all other rows hold.
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

    fn forget_left(&self, upstreams: &mut UpstreamTable) {
        for address in upstreams.take_stale_addresses() {
            self.pool.close_idle(&address);
        }
    }
}

impl QuotaSource for StoreNews {
    fn quota(&self, workspace: &str) -> Option<QuotaLimit> {
        self.routes()?.workspaces()?.get(workspace)?.quota
    }
}
