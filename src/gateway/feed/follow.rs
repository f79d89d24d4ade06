//! Reads routes and upstreams from the store while this instance follows no reader.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::ChangeFeed;
use crate::gateway::rows::{ChangesReply, RowRange};
use crate::node::platform::StoreError;
use crate::util::pause::ClockMark;

/// How long the store may hold a request for new routes. A silent connection is detected only after
/// this time, and a new route must be in force within 2 s.
const ROUTES_HOLD_TIMEOUT: Duration = Duration::from_millis(900);
/// Bounds the rate of reads during a burst of new versions.
const MIN_ROUTES_INTERVAL: Duration = Duration::from_millis(250);
/// Upstreams are polled: each of them writes every 1.2 s, so a held request would return at once. A
/// draining upstream must get no new work within 2 s.
const UPSTREAMS_POLL_INTERVAL: Duration = Duration::from_millis(700);
const RETRY_DELAY: Duration = Duration::from_millis(200);

impl ChangeFeed {
    pub(super) async fn read_routes(&self) -> Result<(), StoreError> {
        let requested = ClockMark::now();
        let table = self.dialect.routes_table();
        let range =
            RowRange { table: table.into(), partition: Box::default(), from: None, limit: None };
        let reply = self.store.range(&range).await?;
        self.replace_routes(reply.rows, reply.version, requested);
        Ok(())
    }

    /// Reads changes only, as the table of routes is long.
    pub(super) async fn check_routes(&self) -> Result<(), StoreError> {
        let mark = ClockMark::now();
        let after = self.route_log.borrow().head();
        match self.store.changes(self.dialect.routes_table(), after, Duration::ZERO).await? {
            ChangesReply::Changes { rows, version } => {
                self.update_routes(rows, version, mark.steady(), mark);
                Ok(())
            }
            ChangesReply::HistoryGone => self.read_routes().await,
        }
    }

    pub(crate) async fn follow_routes(self: Rc<Self>) {
        self.retry(|| self.read_routes()).await;
        let table = self.dialect.routes_table();
        loop {
            self.until_not_following().await;
            let mark = ClockMark::now();
            let requested = mark.steady();
            let after = self.route_log.borrow().head();
            match self.store.changes(table, after, ROUTES_HOLD_TIMEOUT).await {
                Ok(ChangesReply::Changes { rows, version }) => {
                    // A reply without changes was held, and is current as of its end.
                    let held = if rows.is_empty() { ROUTES_HOLD_TIMEOUT } else { Duration::ZERO };
                    self.update_routes(
                        rows,
                        version,
                        requested + held.min(requested.elapsed()),
                        mark,
                    );
                }
                Ok(ChangesReply::HistoryGone) => {
                    log::info!("event=history_gone table={table} after={after}");
                    self.retry(|| self.read_routes()).await;
                }
                Err(_) => sleep(RETRY_DELAY).await,
            }
            sleep(MIN_ROUTES_INTERVAL.saturating_sub(requested.elapsed())).await;
        }
    }

    async fn read_upstreams(&self) -> Result<(), StoreError> {
        let requested = Instant::now();
        let table = self.dialect.upstreams_table();
        let mut range =
            RowRange { table: table.into(), partition: Box::default(), from: None, limit: None };
        let mut rows = Vec::new();
        let mut first_version = None;
        loop {
            let reply = self.store.range(&range).await?;
            first_version = first_version.or(Some(reply.version));
            let last = reply.rows.last().map(|row| format!("{}\0", row.key.key));
            rows.extend(reply.rows);
            let Some(next) = last.filter(|_| reply.truncated) else { break };
            range.from = Some(next.into());
            // Traffic from the store is billed, traffic within the zone is not.
            if !self.is_complete() && self.start_from_reader().await {
                return Ok(());
            }
        }
        self.replace_upstreams(rows, first_version.unwrap_or_default(), requested);
        Ok(())
    }

    pub(crate) async fn follow_upstreams(self: Rc<Self>) {
        self.retry(|| self.read_upstreams()).await;
        let table = self.dialect.upstreams_table();
        loop {
            self.until_not_following().await;
            let requested = Instant::now();
            let after = self.upstream_log.borrow().head();
            match self.store.changes(table, after, Duration::ZERO).await {
                Ok(ChangesReply::Changes { rows, version }) => {
                    self.update_upstreams(rows, version, requested);
                }
                Ok(ChangesReply::HistoryGone) => {
                    log::info!("event=history_gone table={table} after={after}");
                    self.retry(|| self.read_upstreams()).await;
                }
                Err(_) => {
                    sleep(RETRY_DELAY).await;
                    self.store.reachable().await;
                    continue;
                }
            }
            sleep(UPSTREAMS_POLL_INTERVAL.saturating_sub(requested.elapsed())).await;
        }
    }

    /// Records outages of the store. Entries that vanished are kept for a limited time from its
    /// recovery; counted from the next change, an upstream that has left would get work for too
    /// long.
    pub(crate) async fn follow_outages(self: Rc<Self>) {
        loop {
            self.store.unreachable().await;
            self.update_readability();
            self.store.reachable().await;
            self.update_readability();
        }
    }

    /// A reader that sends fresh data shows that the store works, whatever the way of this instance.
    pub(super) fn update_readability(&self) {
        let readable = self.is_following() || self.store.outage().is_none();
        self.upstreams.borrow_mut().set_store_readable(readable, Instant::now());
    }

    async fn until_not_following(&self) {
        loop {
            let changed = self.reader_changed.notified();
            if !self.is_following() {
                return;
            }
            changed.await;
        }
    }

    async fn retry<F: Future<Output = Result<(), StoreError>>>(&self, read: impl Fn() -> F) {
        while read().await.is_err() {
            sleep(RETRY_DELAY).await;
        }
    }
}
