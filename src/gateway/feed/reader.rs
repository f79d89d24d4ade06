//! Follows the change feed of a reader, an instance of the zone that reads the store for others, so
//! that the store's load does not grow with the instances. A follower whose reader fails or has
//! outdated data reads the store itself at once.

use std::rc::Rc;
use std::time::Duration;

use actix_http::Method;
use bytes::Bytes;
use tokio::time::{Instant, sleep, sleep_until};

use super::ChangeFeed;
use super::change_log::ChangeLog;
use super::messages::{TableChanges, WatchReply, WatchRequest};
use crate::core::ids::InstanceId;
use crate::gateway::latency::FailedPeers;
use crate::util::pause::ClockMark;

pub(crate) const FEED_PATH: &str = "/news";

/// How long a reader may hold a request. Together with [`REPLY_TIMEOUT`] and the reader's own
/// interval it bounds how late a change is seen when a reader freezes.
const HOLD_TIMEOUT: Duration = Duration::from_millis(600);
/// The same for a request of an instance that is a reader itself, whose followers wait as well.
const READER_HOLD_TIMEOUT: Duration = Duration::from_millis(300);
/// Added to [`MAX_AGE`] for each instance between the store and the reader.
const MAX_AGE_PER_HOP: Duration = Duration::from_millis(400);
/// Depth of the tree of readers with some thousand instances in a zone.
const MAX_HOPS: u32 = 2;
/// How long a starting instance waits for a reader before it reads a long list of upstreams itself.
const START_TIMEOUT: Duration = Duration::from_millis(400);
const START_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time for the reply beyond the time that the request is held.
const REPLY_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum age of a reader's data. It exceeds the 0.9 s for which the store holds a reader's
/// requests; beyond it the store is silent or slow for the reader, but maybe not for the follower.
const MAX_AGE: Duration = Duration::from_millis(1_200);
/// Long enough that a frozen reader costs a follower little, short against the one or two seconds
/// after which members drop it.
const READER_EJECTION: Duration = Duration::from_millis(800);
const READER_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Assigns readers to the instances of a zone.
pub(crate) trait FeedReaders {
    /// Peer address of this instance's reader; `None` if it reads the store itself.
    fn feed_reader(&self) -> Option<Box<str>>;

    /// Returns true if other instances follow this one.
    fn reads_feed(&self) -> bool;

    fn instance(&self) -> InstanceId;
}

#[derive(Debug, derive_more::Display)]
enum ReaderFailure {
    #[display("{_0}")]
    Silent(crate::gateway::http::ExchangeError),
    #[display("status {_0}")]
    Refused(u16),
    #[display("{_0}")]
    Malformed(crate::util::framed::FrameError),
    #[display("its data is {} ms old", _0.as_millis())]
    Outdated(Duration),
    #[display("it follows this instance")]
    Cycle,
}

impl ChangeFeed {
    pub(crate) async fn follow_readers(self: Rc<Self>) {
        let Some(readers) = self.readers.clone() else { return };
        let mut failed = FailedPeers::new(READER_EJECTION);
        loop {
            let reader = readers.feed_reader().filter(|_| self.is_complete());
            let Some(reader) = reader.filter(|reader| !failed.contains(reader)) else {
                self.set_reader(None);
                sleep(READER_POLL_INTERVAL).await;
                continue;
            };
            match self.watch(&reader).await {
                Ok(()) => self.set_reader(Some(&reader)),
                Err(failure) => {
                    log::info!("event=news_reader_passed_over peer={reader} error=\"{failure}\"");
                    failed.record(&reader);
                    self.set_reader(None);
                }
            }
        }
    }

    fn set_reader(&self, reader: Option<&str>) {
        if self.following.replace(reader.is_some()) == reader.is_some() {
            return;
        }
        log::info!("event=news_source reader={}", reader.unwrap_or("none"));
        self.update_readability();
        self.reader_changed.notify_waiters();
    }

    /// Reads all upstreams from a reader rather than from the store; false if no reader provides
    /// them.
    pub(super) async fn start_from_reader(&self) -> bool {
        let Some(readers) = self.readers.clone() else { return false };
        let deadline = Instant::now() + START_TIMEOUT;
        let reader = loop {
            match readers.feed_reader() {
                Some(reader) => break reader,
                None if Instant::now() >= deadline => return false,
                None => sleep(START_POLL_INTERVAL).await,
            }
        };
        let result = self.watch(&reader).await;
        let outcome = result.as_ref().map_or_else(|error| error.to_string(), |()| "read".into());
        log::info!("event=start_from_reader peer={reader} outcome=\"{outcome}\"");
        result.is_ok()
    }

    /// Requests changes from a reader, page by page, and applies them together.
    async fn watch(&self, reader: &str) -> Result<(), ReaderFailure> {
        let is_reader = self.readers.as_ref().is_some_and(|readers| readers.reads_feed());
        let hold = if is_reader { READER_HOLD_TIMEOUT } else { HOLD_TIMEOUT };
        let mut request = WatchRequest {
            routes_after: self.route_log.borrow().head(),
            upstreams_after: self.upstream_log.borrow().head(),
            continues: false,
            hold_ms: hold.as_millis() as u64,
        };
        let requested = ClockMark::now();
        let mut pages: Vec<WatchReply> = Vec::new();
        loop {
            let reply = self.fetch_page(reader, &request, hold).await?;
            let more = reply.upstreams.page.more;
            let last = reply.upstreams.page.rows.last().map(|row| row.version);
            request.routes_after = reply.routes.head;
            pages.push(reply);
            let Some(last) = last.filter(|_| more) else { break };
            request.upstreams_after = last;
            request.continues = true;
        }
        if let Some(reply) = WatchReply::join(pages) {
            self.apply_reply(reply, requested);
        }
        Ok(())
    }

    async fn fetch_page(
        &self,
        reader: &str,
        request: &WatchRequest,
        hold: Duration,
    ) -> Result<WatchReply, ReaderFailure> {
        let body = serde_json::to_vec(request).expect("requests serialize").into();
        let timeout = hold + REPLY_TIMEOUT;
        let answer = self.pool.exchange(reader, Method::POST, FEED_PATH, body, timeout).await;
        let (status, text) = answer.map_err(ReaderFailure::Silent)?;
        if !status.is_success() {
            return Err(ReaderFailure::Refused(status.as_u16()));
        }
        let (routes, upstreams) = (self.dialect.routes_table(), self.dialect.upstreams_table());
        let reply =
            WatchReply::decode(&text, routes, upstreams).map_err(ReaderFailure::Malformed)?;
        // Members may differ in their views, so that readers follow each other. None of them would
        // read the store.
        let me = self.readers.as_ref().map(|readers| readers.instance());
        if me.is_some_and(|me| reply.path.contains(&me)) {
            return Err(ReaderFailure::Cycle);
        }
        let age = reply.routes.age.max(reply.upstreams.age);
        if age > max_age_after(reply.hops) {
            return Err(ReaderFailure::Outdated(age));
        }
        Ok(reply)
    }

    /// Applies a reply. Its time is the earliest at which the reader can have sent it, so that the
    /// data is never taken for newer than it is.
    pub(super) fn apply_reply(&self, reply: WatchReply, requested: ClockMark) {
        let replied_at = requested.steady() + reply.held.min(requested.steady().elapsed());
        let before = |age: Duration| replied_at.checked_sub(age).unwrap_or(requested.steady());
        if let Some(recovered) = reply.recovered.filter(|_| self.has_feed_gap()) {
            self.upstreams.borrow_mut().record_store_recovery(before(recovered));
        }
        self.hops.set(reply.hops + 1);
        *self.path.borrow_mut() = reply.path;
        let TableChanges { head, age, page } = reply.routes;
        match page.complete {
            true => self.replace_routes(page.rows, head, requested),
            false => self.update_routes(page.rows, head, before(age), requested),
        }
        let TableChanges { head, age, page } = reply.upstreams;
        match page.complete {
            true => self.replace_upstreams(page.rows, head, before(age)),
            false => self.update_upstreams(page.rows, head, before(age)),
        }
    }

    /// Returns true if no reply came for longer than a reader that reaches the store takes. Otherwise a
    /// recovery that the reader reports is one of its own way to the store, and no entry has lapsed.
    pub(super) fn has_feed_gap(&self) -> bool {
        let longest = MAX_AGE + HOLD_TIMEOUT + REPLY_TIMEOUT;
        self.upstream_log.borrow().age().is_none_or(|age| age > longest)
    }

    /// The instances between the store and a follower of this one.
    fn reader_path(&self) -> Vec<InstanceId> {
        let mut path = if self.is_following() { self.path.borrow().clone() } else { Vec::new() };
        path.extend(self.readers.as_ref().map(|readers| readers.instance()));
        path
    }

    /// Replies to a follower once something has changed or the hold time has passed. Returns `None`
    /// if the data is outdated or the store is unavailable, so that followers notice the outage
    /// themselves before a caller's turn does.
    pub(crate) async fn serve_feed(&self, request: &[u8]) -> Option<Bytes> {
        let request: WatchRequest = serde_json::from_slice(request).ok()?;
        let begun = Instant::now();
        let deadline = begun + Duration::from_millis(request.hold_ms).min(HOLD_TIMEOUT);
        loop {
            let changed = self.changed.notified();
            let (routes_after, after) = (request.routes_after, request.upstreams_after);
            let routes = changes_of(&self.route_log.borrow(), routes_after, false)?;
            let upstreams = changes_of(&self.upstream_log.borrow(), after, request.continues)?;
            let age = routes.age.max(upstreams.age);
            let hops = if self.is_following() { self.hops.get() } else { 0 };
            let max_age = max_age_after(hops);
            if age > max_age || self.store.outage().is_some() {
                return None;
            }
            let has_changes = !routes.page.rows.is_empty() || !upstreams.page.rows.is_empty();
            if has_changes || request.continues || Instant::now() >= deadline {
                let recovered = self.upstreams.borrow().time_since_recovery(Instant::now());
                let (held, path) = (begun.elapsed(), self.reader_path());
                let reply = WatchReply { routes, upstreams, recovered, held, hops, path };
                return Some(reply.encode());
            }
            tokio::select! {
                () = changed => {}
                () = self.store.unreachable() => {}
                () = sleep_until(deadline.min(Instant::now() + max_age - age)) => {}
            }
        }
    }
}

fn max_age_after(hops: u32) -> Duration {
    MAX_AGE + MAX_AGE_PER_HOP * hops.min(MAX_HOPS)
}

/// Returns `None` before the first reply of the store.
fn changes_of(log: &ChangeLog, after: u64, continues: bool) -> Option<TableChanges> {
    Some(TableChanges { head: log.head(), age: log.age()?, page: log.since(after, continues) })
}
