//! News from an instance of the zone that asks the store for others too.
//!
//! If each instance asked the store, calls and bytes would grow with the instances. A reader is a hint as a
//! coordinator is: it says how long ago it asked the store, and whoever hears nothing from it, or nothing
//! fresh, asks the store itself at once.

use std::rc::Rc;
use std::time::Duration;

use actix_http::Method;
use bytes::Bytes;
use tokio::time::{Instant, sleep, sleep_until};

use super::StoreNews;
use super::messages::{NewsQuestion, NewsReply, TableNews};
use super::table_log::NewsLog;
use crate::gateway::latency::FailedPeers;
use crate::util::pause::ClockMark;

/// Path of the news on the address for peers.
pub(crate) const NEWS_PATH: &str = "/news";

/// How long a reader may hold a question. Together with the patience and the reader's own pace it bounds
/// how late a change is known where a reader freezes.
const HOLD: Duration = Duration::from_millis(600);
/// The same for a question of an instance that reads news for others: what its reader misses is missed
/// by all of them.
const RELAY_HOLD: Duration = Duration::from_millis(300);
/// How much older news may be for each instance between the store and the reader.
const HOP_AGE: Duration = Duration::from_millis(400);
/// How long an instance that starts before a long list of upstreams waits for a reader.
const START_WAIT: Duration = Duration::from_millis(400);
/// Pause between two looks for a reader at a start.
const START_PACE: Duration = Duration::from_millis(20);
/// How long a follower waits beyond the time that a question may be held.
const PATIENCE: Duration = Duration::from_millis(250);
/// Longest time since a reader asked the store. Its own questions are held for 0.9 s; beyond that the
/// store is silent or slow for it, and may not be for the follower.
const MAX_AGE: Duration = Duration::from_millis(1_200);
/// How long a reader that failed is not asked. Long enough that one that is frozen costs a follower
/// little, short against the second or two after which the members drop it.
const PASSED_OVER: Duration = Duration::from_millis(800);
/// How often an instance without a reader looks whether there is one, or whether it is complete.
const LOOK_PACE: Duration = Duration::from_millis(200);

/// Who reads news for whom.
pub(crate) trait NewsReaders {
    /// Peer address of the instance that reads news for this one; none if it reads them itself.
    fn news_reader(&self) -> Option<Box<str>>;

    /// Whether this instance reads news for others.
    fn reads_news(&self) -> bool;
}

/// Why a reader is not followed.
#[derive(Debug, derive_more::Display)]
enum ReaderFailure {
    #[display("{_0}")]
    Silent(crate::gateway::http::ExchangeError),
    #[display("status {_0}")]
    Refused(u16),
    #[display("{_0}")]
    Malformed(crate::util::framed::FrameError),
    #[display("its news are {} ms old", _0.as_millis())]
    Old(Duration),
}

impl StoreNews {
    /// Follows the reader of the moment, as long as there is one.
    pub(crate) async fn follow_readers(self: Rc<Self>) {
        let Some(readers) = self.readers.clone() else { return };
        let mut failed = FailedPeers::new(PASSED_OVER);
        loop {
            let reader = readers.news_reader().filter(|_| self.is_complete());
            let Some(reader) = reader.filter(|reader| !failed.contains(reader)) else {
                self.set_led(None);
                sleep(LOOK_PACE).await;
                continue;
            };
            match self.ask(&reader).await {
                Ok(()) => self.set_led(Some(&reader)),
                Err(failure) => {
                    log::info!("event=news_reader_passed_over peer={reader} error=\"{failure}\"");
                    failed.record(&reader);
                    self.set_led(None);
                }
            }
        }
    }

    fn set_led(&self, reader: Option<&str>) {
        if self.led.replace(reader.is_some()) == reader.is_some() {
            return;
        }
        log::info!("event=news_source reader={}", reader.unwrap_or("none"));
        self.released.notify_waiters();
    }

    /// Reads all upstreams from a reader rather than from the store; false if none can tell them.
    pub(super) async fn start_from_reader(&self) -> bool {
        let Some(readers) = self.readers.clone() else { return false };
        let late = Instant::now() + START_WAIT;
        let reader = loop {
            match readers.news_reader() {
                Some(reader) => break reader,
                None if Instant::now() >= late => return false,
                None => sleep(START_PACE).await,
            }
        };
        let result = self.ask(&reader).await;
        let outcome = result.as_ref().map_or_else(|error| error.to_string(), |()| "read".into());
        log::info!("event=start_from_reader peer={reader} outcome=\"{outcome}\"");
        result.is_ok()
    }

    /// Asks a reader for what is new, page by page, and takes what it tells.
    async fn ask(&self, reader: &str) -> Result<(), ReaderFailure> {
        let relays = self.readers.as_ref().is_some_and(|readers| readers.reads_news());
        let hold = if relays { RELAY_HOLD } else { HOLD };
        let mut question = NewsQuestion {
            routes_after: self.route_log.borrow().head(),
            upstreams_after: self.upstream_log.borrow().head(),
            continues: false,
            hold_ms: hold.as_millis() as u64,
        };
        let asked = ClockMark::now();
        let mut pages: Vec<NewsReply> = Vec::new();
        loop {
            let reply = self.ask_page(reader, &question, hold).await?;
            let more = reply.upstreams.page.more;
            let last = reply.upstreams.page.rows.last().map(|row| row.version);
            question.routes_after = reply.routes.head;
            pages.push(reply);
            let Some(last) = last.filter(|_| more) else { break };
            question.upstreams_after = last;
            question.continues = true;
        }
        if let Some(reply) = NewsReply::join(pages) {
            self.take_reply(reply, asked);
        }
        Ok(())
    }

    async fn ask_page(
        &self,
        reader: &str,
        question: &NewsQuestion,
        hold: Duration,
    ) -> Result<NewsReply, ReaderFailure> {
        let body = serde_json::to_vec(question).expect("questions serialize").into();
        let limit = hold + PATIENCE;
        let answer = self.pool.exchange(reader, Method::POST, NEWS_PATH, body, limit).await;
        let (status, text) = answer.map_err(ReaderFailure::Silent)?;
        if !status.is_success() {
            return Err(ReaderFailure::Refused(status.as_u16()));
        }
        let (routes, upstreams) = (self.dialect.routes_table(), self.dialect.upstreams_table());
        let reply =
            NewsReply::decode(&text, routes, upstreams).map_err(ReaderFailure::Malformed)?;
        let age = reply.routes.age.max(reply.upstreams.age);
        if age > oldest_news(reply.hops) {
            return Err(ReaderFailure::Old(age));
        }
        Ok(reply)
    }

    /// Takes what a reader tells, as of the moment at which it let the question go or before; the way
    /// back counts as age.
    fn take_reply(&self, reply: NewsReply, asked: ClockMark) {
        let told = asked.steady() + reply.held.min(asked.steady().elapsed());
        let before = |age: Duration| told.checked_sub(age).unwrap_or(asked.steady());
        if let Some(returned) = reply.returned {
            self.upstreams.borrow_mut().record_store_recovery(before(returned));
        }
        self.hops.set(reply.hops + 1);
        let TableNews { head, age, page } = reply.routes;
        match page.whole {
            true => self.replace_routes(page.rows, head, asked),
            false => self.change_routes(page.rows, head, before(age), asked),
        }
        let TableNews { head, age, page } = reply.upstreams;
        match page.whole {
            true => self.replace_upstreams(page.rows, head, before(age)),
            false => self.change_upstreams(page.rows, head, before(age)),
        }
    }

    /// Answers a follower once there is something new, or when it has waited long enough; none if this
    /// instance has nothing fresh to tell, or has just lost the store: left to find out by callers'
    /// turns, followers refused turns that could have waited for its return.
    pub(crate) async fn serve_news(&self, question: &[u8]) -> Option<Bytes> {
        let question: NewsQuestion = serde_json::from_slice(question).ok()?;
        let begun = Instant::now();
        let until = begun + Duration::from_millis(question.hold_ms).min(HOLD);
        loop {
            let changed = self.changed.notified();
            let (routes_after, after) = (question.routes_after, question.upstreams_after);
            let routes = table_news(&self.route_log.borrow(), routes_after, false)?;
            let upstreams = table_news(&self.upstream_log.borrow(), after, question.continues)?;
            let age = routes.age.max(upstreams.age);
            let hops = if self.is_led() { self.hops.get() } else { 0 };
            let oldest = oldest_news(hops);
            if age > oldest || self.store.outage().is_some() {
                return None;
            }
            let has_news = !routes.page.rows.is_empty() || !upstreams.page.rows.is_empty();
            if has_news || question.continues || Instant::now() >= until {
                let returned = self.upstreams.borrow().time_since_recovery(Instant::now());
                let held = begun.elapsed();
                return Some(NewsReply { routes, upstreams, returned, held, hops }.encode());
            }
            tokio::select! {
                () = changed => {}
                () = self.store.unreachable() => {}
                () = sleep_until(until.min(Instant::now() + oldest - age)) => {}
            }
        }
    }
}

/// What a log tells a follower; none if the store was never asked.
fn table_news(log: &NewsLog, after: u64, continues: bool) -> Option<TableNews> {
    Some(TableNews { head: log.head(), age: log.age()?, page: log.since(after, continues) })
}

/// Longest time since the store was asked whose news are followed.
fn oldest_news(hops: u32) -> Duration {
    MAX_AGE + HOP_AGE * hops
}
