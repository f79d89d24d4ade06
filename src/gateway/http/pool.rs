//! Pool of idle connections to upstreams, peers and the store.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use actix_http::{Method, RequestHead, StatusCode};
use bytes::Bytes;
use derive_more::{Display, Error, From};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

use super::{AnswerError, ClientConnection, detect_dead_peer};
use crate::gateway::latency::LatencyEstimate;

/// A lost SYN is retransmitted only after a second, so a retry is faster than waiting.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Minimum connect timeout if another upstream can be tried instead.
const MIN_CONNECT_TIMEOUT: Duration = Duration::from_millis(40);
/// That timeout as a multiple of the mean connect time.
const CONNECT_TIMEOUT_FACTOR: f64 = 8.0;
const CONNECT_TIME_WEIGHT: f64 = 0.125;
/// Maximum time since the last response on an idle connection for its reuse by rarely used
/// upstreams. A dead peer is detected seconds later, and a request that was sent to it by then
/// cannot be retried if it must not run twice.
const MAX_REUSE_AGE: Duration = Duration::from_secs(1);
/// Mean idle time above which connections count as rarely used. With more frequent use, few
/// requests are lost to a dead upstream before it is ejected.
const RARE_USE_INTERVAL: Duration = Duration::from_millis(1_500);
/// Initial mean idle time, above `RARE_USE_INTERVAL` so that an instance with few requests starts
/// out careful.
const INITIAL_IDLE_TIME: Duration = Duration::from_secs(3);
const IDLE_TIME_WEIGHT: f64 = 0.02;
/// Keep-alive time if the peer announces none; common servers close idle connections after 5 s.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);
/// Subtracted from the announced time, so that no request races with the close by the peer.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);
/// A peer may announce any number of seconds.
const MAX_KEEP_ALIVE: Duration = Duration::from_secs(3_600);
const MAX_IDLE_CONNECTIONS: usize = 12;
/// Fits the largest page of the store, encoded.
const MAX_EXCHANGE_BODY: usize = 4 * 1024 * 1024;

/// No byte of the request has been sent.
#[derive(Debug, Display, Error, From)]
pub(crate) enum ConnectError {
    #[display("'{address}' is not a socket address")]
    #[from(skip)]
    BadAddress { address: Box<str> },
    #[display("cannot connect: {_0}")]
    Refused(std::io::Error),
    #[display("connect timed out")]
    TimedOut,
}

/// Only `NotSent` guarantees that the request did not run.
#[derive(Debug, Display, Error, From)]
pub(crate) enum ExchangeError {
    #[display("{_0}")]
    NotSent(ConnectError),
    #[display("{_0}")]
    Lost(AnswerError),
    #[display("no response in time")]
    TimedOut,
}

struct IdleConnection {
    connection: ClientConnection,
    expires_at: Instant,
    used_at: Instant,
}

pub(crate) struct ConnectionPool {
    idle: RefCell<HashMap<Box<str>, Vec<IdleConnection>>>,
    connect_time: Cell<LatencyEstimate>,
    /// Idle time of connections when their upstream gets a request.
    idle_time: Cell<LatencyEstimate>,
}

impl Default for ConnectionPool {
    fn default() -> Self {
        let connect_time = Cell::new(LatencyEstimate::new(CONNECT_TIME_WEIGHT));
        let idle_time =
            Cell::new(LatencyEstimate::new(IDLE_TIME_WEIGHT).with_initial(INITIAL_IDLE_TIME));
        Self { idle: RefCell::default(), connect_time, idle_time }
    }
}

impl ConnectionPool {
    /// Takes an open idle connection, the most recently used one first.
    pub(crate) fn take(&self, address: &str) -> Option<ClientConnection> {
        self.take_used_since(address, None)
    }

    fn take_used_since(&self, address: &str, since: Option<Instant>) -> Option<ClientConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(address)?;
        let now = Instant::now();
        while let Some(mut candidate) =
            connections.pop_if(|candidate| since.is_none_or(|since| candidate.used_at >= since))
        {
            if now < candidate.expires_at && candidate.connection.is_open_and_idle() {
                return Some(candidate.connection);
            }
        }
        None
    }

    pub(crate) fn has_idle(&self, address: &str) -> bool {
        self.idle.borrow().get(address).is_some_and(|connections| !connections.is_empty())
    }

    pub(crate) async fn connect(&self, address: &str) -> Result<ClientConnection, ConnectError> {
        self.connect_within(address, CONNECT_TIMEOUT).await
    }

    async fn connect_within(
        &self,
        address: &str,
        limit: Duration,
    ) -> Result<ClientConnection, ConnectError> {
        let parsed: SocketAddr =
            address.parse().map_err(|_| ConnectError::BadAddress { address: address.into() })?;
        let started = Instant::now();
        let stream = timeout(limit, TcpStream::connect(parsed))
            .await
            .map_err(|_| ConnectError::TimedOut)??;
        let mut connect_time = self.connect_time.get();
        connect_time.record_since(started);
        self.connect_time.set(connect_time);
        detect_dead_peer(&stream);
        Ok(ClientConnection::new(stream))
    }

    /// Returns an idle or a new connection for a request that can fail over to another upstream.
    /// The connect timeout doubles with each upstream that was `tried` before.
    pub(crate) async fn get_for_attempt(
        &self,
        address: &str,
        tried: u32,
    ) -> Result<ClientConnection, ConnectError> {
        self.record_idle_time(address);
        let is_rare = self.idle_time.get().mean() > RARE_USE_INTERVAL;
        let since = Instant::now().checked_sub(MAX_REUSE_AGE).filter(|_| is_rare);
        if let Some(connection) = self.take_used_since(address, since) {
            return Ok(connection);
        }
        let connect_time = self.connect_time.get();
        let first_limit =
            connect_time.scaled(CONNECT_TIMEOUT_FACTOR, MIN_CONNECT_TIMEOUT, CONNECT_TIMEOUT);
        let limit = first_limit * 2_u32.saturating_pow(tried.min(4));
        self.connect_within(address, limit.min(CONNECT_TIMEOUT)).await
    }

    pub(crate) async fn get(&self, address: &str) -> Result<ClientConnection, ConnectError> {
        match self.take(address) {
            Some(connection) => Ok(connection),
            None => self.connect(address).await,
        }
    }

    fn record_idle_time(&self, address: &str) {
        let idle = self.idle.borrow();
        let Some(newest) = idle.get(address).and_then(|connections| connections.last()) else {
            return;
        };
        let mut idle_time = self.idle_time.get();
        idle_time.record_since(newest.used_at);
        self.idle_time.set(idle_time);
    }

    /// Returns a connection to the pool, or closes it if it cannot be reused.
    pub(crate) fn put(
        &self,
        address: &str,
        connection: ClientConnection,
        keep_alive: Option<Duration>,
    ) {
        let keep_alive = keep_alive
            .map_or(DEFAULT_KEEP_ALIVE, |announced| announced.saturating_sub(KEEP_ALIVE_MARGIN))
            .min(MAX_KEEP_ALIVE);
        if !connection.is_reusable() || keep_alive.is_zero() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address.into()).or_default();
        if connections.len() < MAX_IDLE_CONNECTIONS {
            let now = Instant::now();
            connections.push(IdleConnection {
                connection,
                expires_at: now + keep_alive,
                used_at: now,
            });
        }
    }

    pub(crate) fn prune(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, connections| {
            connections
                .retain_mut(|idle| now < idle.expires_at && idle.connection.is_open_and_idle());
            !connections.is_empty()
        });
    }

    /// Closes all idle connections to an address. After one has failed, a retry must not use
    /// another one that may be dead as well.
    pub(crate) fn close_idle(&self, address: &str) {
        self.idle.borrow_mut().remove(address);
    }

    pub(crate) async fn exchange(
        &self,
        address: &str,
        method: Method,
        target: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), ExchangeError> {
        let head = exchange_head(address, method, target);
        let exchange = async {
            let mut connection = self.get(address).await?;
            connection.request(head, body)?;
            let head = connection.head().await?;
            let answer = connection.rest(MAX_EXCHANGE_BODY).await?;
            self.put(address, connection, None);
            Ok((head.status, answer))
        };
        let result = timeout(limit, exchange).await.unwrap_or(Err(ExchangeError::TimedOut));
        if result.is_err() {
            self.close_idle(address);
        }
        result
    }
}

fn exchange_head(address: &str, method: Method, target: &str) -> RequestHead {
    let mut head = RequestHead::default();
    head.method = method;
    head.uri = target.parse().expect("targets are built from encoded parts");
    let host = address.parse().expect("addresses are plain text");
    head.headers.insert(actix_http::header::HOST, host);
    let json = actix_http::header::HeaderValue::from_static("application/json");
    head.headers.insert(actix_http::header::CONTENT_TYPE, json);
    head
}
