//! The one way to the platform's store: directly, or by a peer where this instance is cut off.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use actix_http::Method;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::dialect::GatewayDialect;
use super::http::ConnectionPool;
use super::rows::{
    ChangesReply, CommitReply, RangeReply, RowRange, RowTransaction, RowVersion, StoreCall,
};
use crate::node::platform::StoreError;

/// Shortest and longest wait for the store beyond what it holds a call on purpose. It answers
/// within some 4 to 10 ms, and within 400 where it is slowed 60-fold and transactions queue.
const DIRECT_LIMIT_MIN: Duration = Duration::from_millis(200);
const DIRECT_LIMIT_MAX: Duration = Duration::from_millis(1_200);
/// Waits for the store are limited to this many times its usual answer time.
const PATIENCE_FACTOR: f64 = 10.0;
/// Share of the newest answer time in the usual one: about the last eight count.
const LATENCY_SHARE: f64 = 0.125;
/// Answers lost in a row after which the direct way counts as failed. Single ones are lost while
/// the store serves all others; taken for an outage, each would refuse all turns for a while.
const LOST_LIMIT: u32 = 3;
/// Longest wait for a peer that asks the store for this instance.
const RELAY_LIMIT: Duration = Duration::from_millis(1_100);
/// Peers asked for one call: with a third of the instances cut off, two find the way in 8 of 9.
const RELAY_TRIES: usize = 2;
/// While the direct way fails, it is tried again this often.
const DIRECT_RETRY: Duration = Duration::from_millis(500);

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
    /// The usual answer time, in seconds; it doubles with each answer that does not come.
    latency: f64,
    lost_in_row: u32,
    /// Since when no way has worked.
    lost: Option<Instant>,
    direct_failed: Option<Instant>,
    relay_failed: Option<Instant>,
}

impl StoreHealth {
    fn answered(&mut self, seconds: f64) {
        self.lost_in_row = 0;
        self.latency += LATENCY_SHARE * (seconds - self.latency);
    }

    fn unanswered(&mut self) {
        self.lost_in_row += 1;
        let longest = DIRECT_LIMIT_MAX.as_secs_f64() / PATIENCE_FACTOR;
        let least = DIRECT_LIMIT_MIN.as_secs_f64() / PATIENCE_FACTOR;
        self.latency = (self.latency.max(least) * 2.0).min(longest);
    }

    fn limit(&self) -> Duration {
        let limit = Duration::from_secs_f64(self.latency * PATIENCE_FACTOR);
        limit.clamp(DIRECT_LIMIT_MIN, DIRECT_LIMIT_MAX)
    }

    /// Whether each way has failed so lately that another try would only add to an outage.
    fn is_hopeless(&self) -> bool {
        let lately = |failed: Option<Instant>| failed.is_some_and(|at| at.elapsed() < DIRECT_RETRY);
        lately(self.direct_failed) && lately(self.relay_failed)
    }
}

/// The client of the store.
pub(crate) struct StoreLink {
    address: Box<str>,
    pool: Rc<ConnectionPool>,
    dialect: Rc<dyn GatewayDialect>,
    peers: RefCell<Option<Rc<dyn RelayPeers>>>,
    health: RefCell<StoreHealth>,
    calls: Cell<u64>,
}

impl StoreLink {
    pub(crate) fn new(
        address: &str,
        pool: Rc<ConnectionPool>,
        dialect: Rc<dyn GatewayDialect>,
    ) -> Self {
        Self {
            address: address.into(),
            pool,
            dialect,
            peers: RefCell::default(),
            health: RefCell::default(),
            calls: Cell::new(0),
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

    /// Calls made so far, relayed ones for peers included.
    pub(crate) fn calls(&self) -> u64 {
        self.calls.get()
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
        self.dialect.range_reply(status, &body)
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

    /// Tries the direct way, then peers.
    async fn call(&self, call: &StoreCall) -> Result<(u16, Bytes), StoreError> {
        if self.health.borrow().is_hopeless() {
            return Err(StoreError::Unavailable);
        }
        let failed = self.health.borrow().direct_failed;
        let mut result = Err(StoreError::Unavailable);
        if failed.is_none_or(|at| at.elapsed() >= DIRECT_RETRY) {
            if failed.is_some() {
                // The others keep to the relays until this one call has found out.
                self.health.borrow_mut().direct_failed = Some(Instant::now());
            }
            result = self.direct(call).await;
            self.note_direct(&result);
        }
        if result.is_err() && self.health.borrow().direct_failed.is_some() {
            result = self.relay(call, result).await;
        }
        self.note_any(&result);
        result
    }

    /// A call that only the direct way may take; what peers ask for comes here.
    pub(crate) async fn direct(&self, call: &StoreCall) -> Result<(u16, Bytes), StoreError> {
        self.calls.set(self.calls.get() + 1);
        let limit = self.health.borrow().limit() + call.hold;
        let asked = Instant::now();
        let body = call.body.clone();
        let method = call.method.clone();
        let answer = self.pool.exchange(&self.address, method, &call.target, body, limit).await;
        match answer {
            // Refused, with nothing done: another instance may be served all the same.
            Ok((status, _)) if matches!(status.as_u16(), 429 | 503) => Err(StoreError::Unavailable),
            Ok((status, body)) => {
                // A held call's time tells how long nothing changed.
                if call.hold.is_zero() {
                    self.health.borrow_mut().answered(asked.elapsed().as_secs_f64());
                }
                Ok((status.as_u16(), body))
            }
            Err(error) => {
                self.health.borrow_mut().unanswered();
                log::debug!("event=store_call_failed target={} error=\"{error}\"", call.target);
                Err(StoreError::ReplyLost)
            }
        }
    }

    async fn relay(
        &self,
        call: &StoreCall,
        direct: Result<(u16, Bytes), StoreError>,
    ) -> Result<(u16, Bytes), StoreError> {
        let peers = self.peers.borrow().as_ref().map(|peers| peers.relay_addresses());
        let request = RelayRequest {
            method: call.method.as_str().into(),
            target: call.target.clone(),
            body: STANDARD.encode(&call.body).into(),
            hold_ms: call.hold.as_millis() as u64,
        };
        let body: Bytes = serde_json::to_vec(&request).expect("relays serialize").into();
        let mut result = direct;
        for peer in peers.unwrap_or_default().into_iter().take(RELAY_TRIES) {
            let limit = RELAY_LIMIT + call.hold;
            let sent =
                self.pool.exchange(&peer, Method::POST, RELAY_PATH, body.clone(), limit).await;
            match sent {
                Ok((status, answer)) if status.is_success() => return read_relay(&answer),
                // The peer did not reach the store, or is gone itself.
                Ok(_) | Err(_) => {}
            }
            // A relayed call whose answer is lost may still take effect.
            result = Err(StoreError::ReplyLost);
        }
        self.health.borrow_mut().relay_failed = Some(Instant::now());
        result
    }

    fn note_direct(&self, result: &Result<(u16, Bytes), StoreError>) {
        let mut health = self.health.borrow_mut();
        match (result, health.direct_failed) {
            (Ok(_), Some(_)) => {
                health.direct_failed = None;
                log::info!("event=dependency_regained dependency=store way=direct");
            }
            (Err(StoreError::ReplyLost), None) if health.lost_in_row < LOST_LIMIT => {}
            (Err(error), None) => {
                health.direct_failed = Some(Instant::now());
                log::warn!("event=dependency_lost dependency=store way=direct error=\"{error}\"");
            }
            (Ok(_), None) | (Err(_), Some(_)) => {}
        }
    }

    fn note_any(&self, result: &Result<(u16, Bytes), StoreError>) {
        let mut health = self.health.borrow_mut();
        match (result, health.lost) {
            (Ok(_), Some(since)) => {
                let outage_ms = since.elapsed().as_millis();
                health.lost = None;
                log::info!("event=dependency_regained dependency=store outage_ms={outage_ms}");
            }
            (Err(_), None) if health.direct_failed.is_none() => {}
            (Err(error), None) => {
                health.lost = Some(Instant::now());
                log::warn!("event=dependency_lost dependency=store error=\"{error}\"");
            }
            (Ok(_), None) | (Err(_), Some(_)) => {}
        }
    }

    /// Makes a call for a peer; none if the store did not answer it.
    pub(crate) async fn serve_relay(&self, request: &[u8]) -> Result<Bytes, RelayError> {
        let request: RelayRequest =
            serde_json::from_slice(request).map_err(|_| RelayError::Malformed)?;
        let call = StoreCall {
            method: request.method.parse().map_err(|_| RelayError::Malformed)?,
            target: request.target,
            body: STANDARD.decode(&*request.body).map_err(|_| RelayError::Malformed)?.into(),
            hold: Duration::from_millis(request.hold_ms),
        };
        let (status, body) = self.direct(&call).await.map_err(|_| RelayError::NoAnswer)?;
        let reply = RelayReply { status, body: STANDARD.encode(&body).into() };
        Ok(serde_json::to_vec(&reply).expect("replies serialize").into())
    }
}

/// Why a peer's call was not relayed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RelayError {
    Malformed,
    NoAnswer,
}

fn read_relay(answer: &[u8]) -> Result<(u16, Bytes), StoreError> {
    let malformed =
        |message: &dyn ToString| StoreError::Malformed { message: message.to_string().into() };
    let reply: RelayReply = serde_json::from_slice(answer).map_err(|error| malformed(&error))?;
    let body = STANDARD.decode(&*reply.body).map_err(|error| malformed(&error))?;
    Ok((reply.status, body.into()))
}
