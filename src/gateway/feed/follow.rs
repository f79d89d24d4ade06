//! Asks the store for news of routes and upstreams, unless a reader tells them.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::ChangeFeed;
use crate::gateway::rows::{ChangesReply, RowRange};
use crate::node::platform::StoreError;
use crate::util::pause::ClockMark;

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

impl ChangeFeed {
    pub(super) async fn read_routes(&self) -> Result<(), StoreError> {
        let asked = ClockMark::now();
        let table = self.dialect.routes_table();
        let range =
            RowRange { table: table.into(), partition: Box::default(), from: None, limit: None };
        let reply = self.store.range(&range).await?;
        self.replace_routes(reply.rows, reply.version, asked);
        Ok(())
    }

    /// Asks whether the routes have changed; they are long, so they are told only if they have.
    pub(super) async fn check_routes(&self) -> Result<(), StoreError> {
        let mark = ClockMark::now();
        let after = self.route_log.borrow().head();
        match self.store.changes(self.dialect.routes_table(), after, Duration::ZERO).await? {
            ChangesReply::Changes { rows, version } => {
                self.change_routes(rows, version, mark.steady(), mark);
                Ok(())
            }
            ChangesReply::HistoryGone => self.read_routes().await,
        }
    }

    pub(crate) async fn follow_routes(self: Rc<Self>) {
        self.first(|| self.read_routes()).await;
        let table = self.dialect.routes_table();
        loop {
            self.unled().await;
            let mark = ClockMark::now();
            let asked = mark.steady();
            let after = self.route_log.borrow().head();
            match self.store.changes(table, after, ROUTES_WAIT).await {
                Ok(ChangesReply::Changes { rows, version }) => {
                    // Without changes it was held, and tells of the moment at which it was let go.
                    let held = if rows.is_empty() { ROUTES_WAIT } else { Duration::ZERO };
                    self.change_routes(rows, version, asked + held.min(asked.elapsed()), mark);
                }
                Ok(ChangesReply::HistoryGone) => {
                    log::info!("event=history_gone table={table} after={after}");
                    self.first(|| self.read_routes()).await;
                }
                Err(_) => sleep(RETRY_PAUSE).await,
            }
            sleep(ROUTES_PACE.saturating_sub(asked.elapsed())).await;
        }
    }

    async fn read_upstreams(&self) -> Result<(), StoreError> {
        let asked = Instant::now();
        let table = self.dialect.upstreams_table();
        let mut range =
            RowRange { table: table.into(), partition: Box::default(), from: None, limit: None };
        let mut rows = Vec::new();
        let mut oldest = None;
        loop {
            let reply = self.store.range(&range).await?;
            oldest = oldest.or(Some(reply.version));
            let last = reply.rows.last().map(|row| format!("{}\0", row.key.key));
            rows.extend(reply.rows);
            let Some(next) = last.filter(|_| reply.truncated) else { break };
            range.from = Some(next.into());
            // The store's bytes have a price, a peer's of the zone have none.
            if !self.is_complete() && self.start_from_reader().await {
                return Ok(());
            }
        }
        self.replace_upstreams(rows, oldest.unwrap_or_default(), asked);
        Ok(())
    }

    pub(crate) async fn follow_upstreams(self: Rc<Self>) {
        self.first(|| self.read_upstreams()).await;
        let table = self.dialect.upstreams_table();
        loop {
            self.unled().await;
            let asked = Instant::now();
            let after = self.upstream_log.borrow().head();
            match self.store.changes(table, after, Duration::ZERO).await {
                Ok(ChangesReply::Changes { rows, version }) => {
                    self.change_upstreams(rows, version, asked);
                }
                Ok(ChangesReply::HistoryGone) => {
                    log::info!("event=history_gone table={table} after={after}");
                    self.first(|| self.read_upstreams()).await;
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
            self.upstreams.borrow_mut().set_store_readable(false, Instant::now());
            self.store.reachable().await;
            self.upstreams.borrow_mut().set_store_readable(true, Instant::now());
        }
    }

    /// Ends when no reader tells the news, at once if none does.
    async fn unled(&self) {
        loop {
            let released = self.released.notified();
            if !self.is_led() {
                return;
            }
            released.await;
        }
    }

    /// Tries until it succeeds.
    async fn first<F: Future<Output = Result<(), StoreError>>>(&self, read: impl Fn() -> F) {
        while read().await.is_err() {
            sleep(RETRY_PAUSE).await;
        }
    }
}
