//! The one way to the platform's store: directly, or by a peer where this instance is cut off.

mod health;
mod relay;
mod relay_order;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use actix_http::{Method, StatusCode};
use bytes::Bytes;
use futures_util::stream::{FuturesUnordered, StreamExt};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, sleep_until};

use self::health::StoreHealth;
use self::relay::{RelayReply, RelayRequest, read_relay};
use self::relay_order::RelayOrder;
use super::dialect::GatewayDialect;
use super::http::{ConnectionPool, ExchangeError};
use super::metrics::StoreMeter;
use super::rows::{
    ChangesReply, CommitReply, RangeReply, RowRange, RowTransaction, RowVersion, StoreCall,
};
use crate::node::platform::StoreError;

pub(crate) use self::relay::{RELAY_PATH, RelayError};

/// Factor between the wait before a call takes its second way and that before the third: a store that
/// has turned slow must not get each call four times.
const HEDGE_BACKOFF: u32 = 3;
/// Peers asked for one call: those that serve callers reach the store as a rule, and with half of the
/// others cut off as well, three find the way in 7 of 8.
const RELAY_TRIES: usize = 3;
/// While no way works, a question looks this often whether the store is back.
const PROBE_PACE: Duration = Duration::from_millis(250);
/// While only the direct way fails, a question looks this often whether it works again: nobody waits
/// for it, and each counts as a call of the store.
const DIRECT_PROBE_PACE: Duration = Duration::from_millis(500);

/// Addresses of peers that may relay, those that are likelier to reach the store first.
pub(crate) trait RelayPeers {
    fn relay_addresses(&self) -> Vec<Box<str>>;
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
    relays: RefCell<RelayOrder>,
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
            relays: RefCell::default(),
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
        self.health.borrow().lost().map(|since| since.elapsed())
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
        self.health.borrow().is_slow()
    }

    /// Whether the store refuses only some writes, for their rate.
    pub(crate) fn is_over_rate(&self) -> bool {
        self.health.borrow().is_over_rate()
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
            // From now on calls fail at once, until a probe finds the store.
            if self.health.borrow_mut().failed(begun) {
                self.changed.notify_waiters();
            }
        }
        result
    }

    /// How long calls have gone by peers because the direct way fails; none while it works or no way
    /// does.
    pub(crate) fn relayed(&self) -> Option<Duration> {
        self.health.borrow().relayed()
    }

    /// Sends a call one way, after a while or a failure another way too; the first answer counts.
    ///
    /// Where a peer answers while the direct way is silent, that way counts as lost at once. Left to
    /// time out, each call of an instance behind a cut waited 400 to 520 ms for its peer (one turn in
    /// ten to fifty, for as long as the cut lasted).
    async fn race(&self, call: &StoreCall) -> StoreAnswer {
        let health = *self.health.borrow();
        let limit = Instant::now() + call.hold + health.limit();
        let mut ways = self.ways().into_iter();
        let mut running = FuturesUnordered::new();
        let mut next_at = Instant::now();
        let mut delay = health.hedge_delay();
        let begun = Instant::now();
        let mut direct_pending: usize = 0;
        let mut result = Err(StoreError::Unavailable);
        loop {
            if Instant::now() >= next_at || running.is_empty() {
                match ways.next() {
                    Some(way) => {
                        let direct = matches!(way, StoreWay::Direct { .. });
                        direct_pending += usize::from(direct);
                        running.push(async move { (direct, self.send(way, call, limit).await) });
                    }
                    None if running.is_empty() => return result,
                    None => {}
                }
                next_at = Instant::now() + call.hold + delay;
                delay *= HEDGE_BACKOFF;
            }
            let wake = if ways.len() == 0 { limit } else { next_at.min(limit) };
            tokio::select! {
                Some((direct, answer)) = running.next() => {
                    direct_pending -= usize::from(direct);
                    match answer {
                        Ok(answer) => {
                            if !direct && direct_pending > 0 {
                                self.health.borrow_mut().direct_failed(begun, &StoreError::ReplyLost);
                            }
                            return Ok(answer);
                        }
                        // Every other way ends at the same rate: each refused call came back up to
                        // four times, and 3,000 calls a second became 5,000. What is under way may
                        // still take effect.
                        Err(StoreError::Unavailable) if direct && self.is_over_rate() => {
                            ways = Vec::new().into_iter();
                        }
                        // What may have taken effect outweighs what has not.
                        Err(StoreError::Unavailable) => {}
                        Err(error) => result = Err(error),
                    }
                }
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
        let peers = self.relays.borrow_mut().order(peers.unwrap_or_default());
        let peers = peers.into_iter().take(RELAY_TRIES).map(StoreWay::Peer);
        if self.health.borrow().is_direct_lost() {
            return peers.chain([StoreWay::Direct { fresh: true }]).collect();
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
            Ok(_) if is_direct => {
                self.health.borrow_mut().direct_answered(begun, !call.hold.is_zero());
            }
            Ok(_) => self.health.borrow_mut().answered(),
            // Its failures are judged where their cause is known.
            Err(_) => {}
        }
        if let StoreWay::Peer(peer) = &way {
            self.relays.borrow_mut().note(peer, answer.is_ok());
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
        let error = match answer {
            Ok((StatusCode::TOO_MANY_REQUESTS, _)) => {
                self.health.borrow_mut().refused_for_rate(begun);
                return Err(StoreError::Unavailable);
            }
            // Refused, with nothing done: another instance may be served all the same.
            Ok((StatusCode::SERVICE_UNAVAILABLE, _)) => StoreError::Unavailable,
            Ok((status, body)) => return Ok((status.as_u16(), body)),
            Err(ExchangeError::NotSent(_)) => StoreError::Unavailable,
            Err(error) => {
                log::debug!("event=store_call_failed target={} error=\"{error}\"", call.target);
                StoreError::ReplyLost
            }
        };
        self.health.borrow_mut().direct_failed(begun, &error);
        Err(error)
    }

    async fn send_by_peer(&self, peer: &str, call: &StoreCall, limit: Duration) -> StoreAnswer {
        let body = RelayRequest::new(call).encode();
        let sent = self.pool.exchange(peer, Method::POST, RELAY_PATH, body, limit).await;
        match sent {
            Ok((status, answer)) if status.is_success() => read_relay(&answer),
            // The peer is cut off itself, and has sent nothing.
            Ok((StatusCode::SERVICE_UNAVAILABLE, _)) => Err(StoreError::Unavailable),
            Err(ExchangeError::NotSent(_)) => Err(StoreError::Unavailable),
            Ok(_) | Err(_) => Err(StoreError::ReplyLost),
        }
    }

    /// Looks for the store while it is away. Probes overlap: one that hangs must not keep the next
    /// from finding that the store is back.
    pub(crate) async fn watch(self: Rc<Self>) {
        let mut direct_at = Instant::now();
        loop {
            sleep(PROBE_PACE).await;
            let direct_lost = self.health.borrow().is_direct_lost();
            if self.outage().is_some() {
                actix_rt::spawn(self.clone().probe());
            } else if direct_lost && Instant::now() >= direct_at {
                direct_at = Instant::now() + DIRECT_PROBE_PACE;
                actix_rt::spawn(self.clone().probe_direct());
            }
        }
    }

    /// Looks whether the direct way works again, so that no call of a caller has to find out.
    async fn probe_direct(self: Rc<Self>) {
        let table = self.dialect.routes_table();
        let call = self.dialect.changes_call(table, RowVersion::MAX / 2, Duration::ZERO);
        let limit = Instant::now() + self.health.borrow().limit();
        // An answer is noted where it arrives; a failure changes nothing.
        let _ = self.send(StoreWay::Direct { fresh: true }, &call, limit).await;
    }

    async fn probe(self: Rc<Self>) {
        let table = self.dialect.routes_table();
        let call = self.dialect.changes_call(table, RowVersion::MAX / 2, Duration::ZERO);
        if self.race(&call).await.is_err() {
            return;
        }
        let lost = self.health.borrow_mut().returned();
        if let Some(since) = lost {
            let outage_ms = since.elapsed().as_millis();
            log::info!("event=dependency_regained dependency=store way=any outage_ms={outage_ms}");
            self.changed.notify_waiters();
        }
    }

    /// Makes a call for a peer; none if the store did not answer it.
    pub(crate) async fn serve_relay(&self, request: &[u8]) -> Result<Bytes, RelayError> {
        let call = RelayRequest::parse(request)?;
        if self.health.borrow().is_direct_lost() {
            return Err(RelayError::CutOff);
        }
        let limit = Instant::now() + call.hold + self.health.borrow().limit();
        let way = StoreWay::Direct { fresh: false };
        let (status, body) = self.send(way, &call, limit).await.map_err(|error| match error {
            StoreError::Unavailable => RelayError::CutOff,
            StoreError::ReplyLost | StoreError::Malformed { .. } => RelayError::NoAnswer,
        })?;
        Ok(RelayReply::new(status, &body).encode())
    }
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
