//! The one way to the platform's store: directly, or by a peer where this instance is cut off.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use actix_http::{Method, StatusCode};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use futures_util::stream::{FuturesUnordered, StreamExt};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, sleep_until};

use super::dialect::GatewayDialect;
use super::http::{ConnectionPool, ExchangeError};
use super::metrics::StoreMeter;
use super::rows::{
    ChangesReply, CommitReply, RangeReply, RowRange, RowTransaction, RowVersion, StoreCall,
    StoreCallKind,
};
use crate::node::platform::StoreError;

/// Shortest and longest wait for an answer of the store beyond what it holds a call on purpose. It
/// answers within 4 to 10 ms, and within some 700 where it is slowed 60-fold.
const CALL_LIMIT_MIN: Duration = Duration::from_millis(1_200);
const CALL_LIMIT_MAX: Duration = Duration::from_millis(2_500);
/// The limit as a multiple of the usual answer time.
const LIMIT_FACTOR: f64 = 8.0;
/// Usual answer time above which the store counts as slow: five times the longest that was seen on
/// calm days.
const SLOW_LATENCY: Duration = Duration::from_millis(80);
/// Shortest and longest wait before the same call is also sent another way, and its multiple of the
/// usual answer time. All writes have conditions, so the second of two changes nothing; a lost
/// answer then costs some 100 ms instead of the whole limit.
const HEDGE_DELAY_MIN: Duration = Duration::from_millis(100);
const HEDGE_DELAY_MAX: Duration = Duration::from_millis(600);
const HEDGE_FACTOR: f64 = 4.0;
/// Factor between one such wait and the next: a store that has turned slow must not get each call
/// four times.
const HEDGE_BACKOFF: u32 = 3;
/// Share of the newest answer time in the usual one: about the last four count.
const LATENCY_SHARE: f64 = 0.25;
/// Peers asked for one call: with a third of the instances cut off, two find the way in 8 of 9.
const RELAY_TRIES: usize = 2;
/// While the direct way fails, one call takes it again this often.
const DIRECT_RETRY: Duration = Duration::from_millis(500);
/// While no way works, one call looks this often whether the store is back.
const PROBE_PACE: Duration = Duration::from_millis(250);

/// Path of the relay on the address for peers.
pub(crate) const RELAY_PATH: &str = "/store";

/// A store call that a peer makes for another instance.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct RelayRequest {
    method: Box<str>,
    target: Box<str>,
    body: Box<str>,
    hold_ms: u64,
}

/// What the store answered the peer.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct RelayReply {
    status: u16,
    body: Box<str>,
}

/// Addresses of peers that may relay, in the order in which to ask them.
pub(crate) trait RelayPeers {
    fn relay_addresses(&self) -> Vec<Box<str>>;
}

/// What is known of the ways to the store.
#[derive(Debug, Clone, Copy, Default)]
struct StoreHealth {
    /// The usual answer time, in seconds.
    latency: f64,
    /// Since when no way has worked.
    lost: Option<Instant>,
    /// When a call failed on the direct way, unless one has succeeded since.
    direct_failed: Option<Instant>,
    direct_answered: Option<Instant>,
    /// When any way last brought an answer.
    answered: Option<Instant>,
}

impl StoreHealth {
    fn scaled(&self, factor: f64, least: Duration, most: Duration) -> Duration {
        Duration::from_secs_f64(self.latency * factor).clamp(least, most)
    }

    fn limit(&self) -> Duration {
        self.scaled(LIMIT_FACTOR, CALL_LIMIT_MIN, CALL_LIMIT_MAX)
    }

    fn hedge_delay(&self) -> Duration {
        self.scaled(HEDGE_FACTOR, HEDGE_DELAY_MIN, HEDGE_DELAY_MAX)
    }
}

/// A way to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
enum StoreWay {
    Direct {
        /// Whether to open a connection: kept ones may have gone silent.
        fresh: bool,
    },
    Peer(Box<str>),
}

type StoreAnswer = Result<(u16, Bytes), StoreError>;

/// The client of the store.
pub(crate) struct StoreLink {
    address: Box<str>,
    pool: Rc<ConnectionPool>,
    dialect: Rc<dyn GatewayDialect>,
    peers: RefCell<Option<Rc<dyn RelayPeers>>>,
    health: RefCell<StoreHealth>,
    /// Tells of every loss and return of the store.
    changed: Notify,
    meter: StoreMeter,
    /// The store's clock and when it was read.
    clock: Cell<Option<(Duration, Instant)>>,
    across: bool,
}

impl StoreLink {
    pub(crate) fn new(
        address: &str,
        pool: Rc<ConnectionPool>,
        dialect: Rc<dyn GatewayDialect>,
        across: bool,
        meter: StoreMeter,
    ) -> Self {
        Self {
            address: address.into(),
            pool,
            dialect,
            peers: RefCell::default(),
            health: RefCell::default(),
            changed: Notify::new(),
            meter,
            clock: Cell::new(None),
            across,
        }
    }

    /// Sets who may relay calls.
    pub(crate) fn set_peers(&self, peers: Rc<dyn RelayPeers>) {
        *self.peers.borrow_mut() = Some(peers);
    }

    /// How long no way to the store has worked; none while one does.
    pub(crate) fn outage(&self) -> Option<Duration> {
        self.health.borrow().lost.map(|since| since.elapsed())
    }

    /// Ends when the store is reachable, at once if it is.
    pub(crate) async fn reachable(&self) {
        self.until(false).await;
    }

    /// Ends when no way to the store works.
    pub(crate) async fn unreachable(&self) {
        self.until(true).await;
    }

    async fn until(&self, away: bool) {
        loop {
            let changed = self.changed.notified();
            if self.outage().is_some() == away {
                return;
            }
            changed.await;
        }
    }

    pub(crate) async fn commit(
        &self,
        transaction: &RowTransaction,
    ) -> Result<CommitReply, StoreError> {
        let call = self.dialect.commit_call(transaction);
        let (status, body) = self.call(&call).await?;
        self.dialect.commit_reply(status, &body)
    }

    pub(crate) async fn range(&self, range: &RowRange) -> Result<RangeReply, StoreError> {
        let (status, body) = self.call(&self.dialect.range_call(range)).await?;
        let reply = self.dialect.range_reply(status, &body)?;
        self.clock.set(Some((reply.now, Instant::now())));
        Ok(reply)
    }

    /// Names of a table's parts after one of them, a page.
    pub(crate) async fn parts(
        &self,
        table: &str,
        after: Option<&str>,
    ) -> Result<Vec<Box<str>>, StoreError> {
        let (status, body) = self.call(&self.dialect.parts_call(table, after)).await?;
        self.dialect.parts_reply(status, &body)
    }

    /// The store's steady clock, in milliseconds, as far as its last page of rows tells.
    pub(crate) fn now_millis(&self) -> u64 {
        let now = self.clock.get().map_or(Duration::ZERO, |(now, read)| now + read.elapsed());
        now.as_millis() as u64
    }

    /// Whether the store answers far more slowly than it usually does.
    pub(crate) fn is_slow(&self) -> bool {
        self.health.borrow().latency > SLOW_LATENCY.as_secs_f64()
    }

    /// Whether transactions may concern several parts.
    pub(crate) fn takes_across(&self) -> bool {
        self.across
    }

    pub(crate) async fn changes(
        &self,
        table: &str,
        after: RowVersion,
        wait: Duration,
    ) -> Result<ChangesReply, StoreError> {
        let (status, body) = self.call(&self.dialect.changes_call(table, after, wait)).await?;
        self.dialect.changes_reply(status, &body)
    }

    /// Makes a call unless the store is away; then nothing is sent.
    async fn call(&self, call: &StoreCall) -> StoreAnswer {
        if self.outage().is_some() {
            return Err(StoreError::Unavailable);
        }
        let begun = Instant::now();
        let result = self.race(call).await;
        if matches!(result, Err(StoreError::Unavailable | StoreError::ReplyLost)) {
            self.note_failed(begun);
        }
        result
    }

    /// Sends a call one way, after a while or a failure another way too; the first answer counts.
    async fn race(&self, call: &StoreCall) -> StoreAnswer {
        let health = *self.health.borrow();
        let limit = Instant::now() + call.hold + health.limit();
        let mut ways = self.ways().into_iter();
        let mut running = FuturesUnordered::new();
        let mut next_at = Instant::now();
        let mut delay = health.hedge_delay();
        let mut result = Err(StoreError::Unavailable);
        loop {
            if Instant::now() >= next_at || running.is_empty() {
                match ways.next() {
                    Some(way) => running.push(self.send(way, call, limit)),
                    None if running.is_empty() => return result,
                    None => {}
                }
                next_at = Instant::now() + call.hold + delay;
                delay *= HEDGE_BACKOFF;
            }
            let wake = if ways.len() == 0 { limit } else { next_at.min(limit) };
            tokio::select! {
                Some(answer) = running.next() => match answer {
                    Ok(answer) => return Ok(answer),
                    // What may have taken effect outweighs what has not.
                    Err(StoreError::Unavailable) => {}
                    Err(error) => result = Err(error),
                },
                () = sleep_until(wake) => {
                    if Instant::now() >= limit {
                        return Err(StoreError::ReplyLost);
                    }
                }
            }
        }
    }

    /// The ways in the order in which to try them.
    fn ways(&self) -> Vec<StoreWay> {
        let peers = self.peers.borrow().as_ref().map(|peers| peers.relay_addresses());
        let peers = peers.unwrap_or_default().into_iter().take(RELAY_TRIES).map(StoreWay::Peer);
        let mut health = self.health.borrow_mut();
        if health.direct_failed.is_some_and(|at| at.elapsed() < DIRECT_RETRY) {
            return peers.chain([StoreWay::Direct { fresh: true }]).collect();
        }
        if health.direct_failed.is_some() {
            // The others keep to their peers until this call has found out.
            health.direct_failed = Some(Instant::now());
        }
        let direct = [StoreWay::Direct { fresh: false }, StoreWay::Direct { fresh: true }];
        direct.into_iter().chain(peers).collect()
    }

    async fn send(&self, way: StoreWay, call: &StoreCall, limit: Instant) -> StoreAnswer {
        let begun = Instant::now();
        let limit = limit.saturating_duration_since(begun);
        let is_direct = matches!(way, StoreWay::Direct { .. });
        let answer = match &way {
            StoreWay::Direct { fresh } => self.send_direct(call, *fresh, limit).await,
            StoreWay::Peer(peer) => self.send_by_peer(peer, call, limit).await,
        };
        match &answer {
            Ok(_) => self.note_answer(is_direct, begun, call),
            Err(error) if is_direct => self.note_direct_failed(begun, error),
            Err(_) => {}
        }
        answer
    }

    async fn send_direct(&self, call: &StoreCall, fresh: bool, limit: Duration) -> StoreAnswer {
        if fresh {
            self.pool.forget(&self.address);
        }
        let body = call.body.clone();
        let method = call.method.clone();
        let begun = Instant::now();
        let answer = self.pool.exchange(&self.address, method, &call.target, body, limit).await;
        self.meter.call_ended(call.kind, call_outcome(&answer), begun.elapsed());
        match answer {
            // Refused, with nothing done: another instance may be served all the same.
            Ok((status, _)) if matches!(status.as_u16(), 429 | 503) => Err(StoreError::Unavailable),
            Ok((status, body)) => Ok((status.as_u16(), body)),
            Err(ExchangeError::NotSent(_)) => Err(StoreError::Unavailable),
            Err(error) => {
                log::debug!("event=store_call_failed target={} error=\"{error}\"", call.target);
                Err(StoreError::ReplyLost)
            }
        }
    }

    async fn send_by_peer(&self, peer: &str, call: &StoreCall, limit: Duration) -> StoreAnswer {
        let request = RelayRequest {
            method: call.method.as_str().into(),
            target: call.target.clone(),
            body: STANDARD.encode(&call.body).into(),
            hold_ms: call.hold.as_millis() as u64,
        };
        let body = serde_json::to_vec(&request).expect("relays serialize").into();
        let sent = self.pool.exchange(peer, Method::POST, RELAY_PATH, body, limit).await;
        match sent {
            Ok((status, answer)) if status.is_success() => read_relay(&answer),
            // The peer is cut off itself, and has sent nothing.
            Ok((StatusCode::SERVICE_UNAVAILABLE, _)) => Err(StoreError::Unavailable),
            Err(ExchangeError::NotSent(_)) => Err(StoreError::Unavailable),
            Ok(_) | Err(_) => Err(StoreError::ReplyLost),
        }
    }

    fn note_answer(&self, is_direct: bool, begun: Instant, call: &StoreCall) {
        let mut health = self.health.borrow_mut();
        health.answered = Some(Instant::now());
        if !is_direct {
            return;
        }
        health.direct_answered = Some(Instant::now());
        // A held call's time tells how long nothing changed.
        if call.hold.is_zero() {
            let seconds = begun.elapsed().as_secs_f64();
            health.latency += LATENCY_SHARE * (seconds - health.latency);
        }
        if health.direct_failed.take().is_some() {
            log::info!("event=dependency_regained dependency=store way=direct");
        }
    }

    /// A direct call failed. If another one was answered meanwhile, it was this one's bad luck: taken
    /// for an outage, each lost answer would send all calls the long way for a while.
    fn note_direct_failed(&self, begun: Instant, error: &StoreError) {
        let mut health = self.health.borrow_mut();
        let answered = health.direct_answered.is_some_and(|at| at >= begun);
        if answered || health.direct_failed.is_some() {
            return;
        }
        health.direct_failed = Some(Instant::now());
        log::warn!("event=dependency_lost dependency=store way=direct error=\"{error}\"");
    }

    /// No way brought an answer. From now on calls fail at once, until a probe finds the store.
    fn note_failed(&self, begun: Instant) {
        let mut health = self.health.borrow_mut();
        let answered = health.answered.is_some_and(|at| at >= begun);
        if answered || health.lost.is_some() {
            return;
        }
        health.lost = Some(Instant::now());
        self.changed.notify_waiters();
        log::warn!("event=dependency_lost dependency=store way=any");
    }

    /// Looks for the store while it is away. Probes overlap: one that hangs must not keep the next
    /// from finding that the store is back.
    pub(crate) async fn watch(self: Rc<Self>) {
        loop {
            sleep(PROBE_PACE).await;
            if self.outage().is_some() {
                actix_rt::spawn(self.clone().probe());
            }
        }
    }

    async fn probe(self: Rc<Self>) {
        let table = self.dialect.routes_table();
        let call = self.dialect.changes_call(table, RowVersion::MAX / 2, Duration::ZERO);
        if self.race(&call).await.is_err() {
            return;
        }
        let lost = self.health.borrow_mut().lost.take();
        if let Some(since) = lost {
            let outage_ms = since.elapsed().as_millis();
            log::info!("event=dependency_regained dependency=store way=any outage_ms={outage_ms}");
            self.changed.notify_waiters();
        }
    }

    /// Makes a call for a peer; none if the store did not answer it.
    pub(crate) async fn serve_relay(&self, request: &[u8]) -> Result<Bytes, RelayError> {
        let request: RelayRequest =
            serde_json::from_slice(request).map_err(|_| RelayError::Malformed)?;
        let call = StoreCall {
            kind: StoreCallKind::Relayed,
            method: request.method.parse().map_err(|_| RelayError::Malformed)?,
            target: request.target,
            body: STANDARD.decode(&*request.body).map_err(|_| RelayError::Malformed)?.into(),
            hold: Duration::from_millis(request.hold_ms),
        };
        if self.health.borrow().direct_failed.is_some() {
            return Err(RelayError::CutOff);
        }
        let limit = Instant::now() + call.hold + self.health.borrow().limit();
        let way = StoreWay::Direct { fresh: false };
        let (status, body) = self.send(way, &call, limit).await.map_err(|error| match error {
            StoreError::Unavailable => RelayError::CutOff,
            StoreError::ReplyLost | StoreError::Malformed { .. } => RelayError::NoAnswer,
        })?;
        let reply = RelayReply { status, body: STANDARD.encode(&body).into() };
        Ok(serde_json::to_vec(&reply).expect("replies serialize").into())
    }
}

/// Why a peer's call was not relayed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RelayError {
    Malformed,
    /// Nothing was sent: this instance does not reach the store either.
    CutOff,
    /// The call may have taken effect.
    NoAnswer,
}

/// How a call ended, as the metrics name it.
fn call_outcome(answer: &Result<(StatusCode, Bytes), ExchangeError>) -> &'static str {
    match answer {
        Ok((StatusCode::PRECONDITION_FAILED, _)) => "conflict",
        Ok((StatusCode::TOO_MANY_REQUESTS, _)) => "over_rate",
        Ok((StatusCode::SERVICE_UNAVAILABLE, _)) => "turned_away",
        Ok((status, _)) if status.is_success() => "answered",
        Ok(_) => "rejected",
        Err(ExchangeError::NotSent(_)) => "not_sent",
        Err(_) => "lost",
    }
}

fn read_relay(answer: &[u8]) -> Result<(u16, Bytes), StoreError> {
    let malformed =
        |message: &dyn ToString| StoreError::Malformed { message: message.to_string().into() };
    let reply: RelayReply = serde_json::from_slice(answer).map_err(|error| malformed(&error))?;
    let body = STANDARD.decode(&*reply.body).map_err(|error| malformed(&error))?;
    Ok((reply.status, body.into()))
}
