//! Connections that wait for their next request, by address.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use actix_http::{Method, RequestHead, StatusCode};
use bytes::Bytes;
use derive_more::{Display, Error, From};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

use super::{AnswerError, UpstreamConnection, detect_dead_peer};
use crate::gateway::latency::LatencyEstimate;

/// Longest time for a connection: a lost opening packet is repeated only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Shortest time for one where another upstream can be tried instead, and its multiple of the usual time.
const CONNECT_MIN: Duration = Duration::from_millis(40);
const CONNECT_FACTOR: f64 = 8.0;
/// Share of the newest connection in the usual time.
const CONNECT_SHARE: f64 = 0.125;
/// How long ago a kept connection may have carried an answer to be given another request. A peer that is
/// gone without a word is noticed seconds later; what was sent to it meanwhile waits for nothing, and may
/// not be sent again if it must not run twice.
const PROVEN_FOR: Duration = Duration::from_secs(1);
/// Usual time between two uses of a connection above which that is asked for. Where connections are used
/// more often, an upstream that is gone is found out by a few requests and avoided by the others.
const RARE_USE: Duration = Duration::from_millis(1_500);
/// The usual time before any was seen: an instance with few requests would learn it too late.
const EXPECTED_IDLE: Duration = Duration::from_secs(3);
/// Share of the newest idle time in the usual one.
const IDLE_SHARE: f64 = 0.02;
/// Idle time allowed where the peer names none; common servers close after five seconds.
const DEFAULT_KEEP: Duration = Duration::from_secs(4);
/// Subtracted from the time the peer names, so that no request meets its close.
const KEEP_MARGIN: Duration = Duration::from_millis(700);
/// Idle connections kept for an address; bursts beyond that open anew.
const MAX_IDLE: usize = 12;
/// Largest answer that is read as a whole: the store's largest page, encoded.
const MAX_WHOLE: usize = 4 * 1024 * 1024;

/// Why there is no connection. No byte of a request has left.
#[derive(Debug, Display, Error, From)]
pub(crate) enum ConnectError {
    #[display("'{address}' is no address")]
    #[from(skip)]
    BadAddress { address: Box<str> },
    #[display("cannot connect: {_0}")]
    Refused(std::io::Error),
    #[display("cannot connect in time")]
    Late,
}

/// Why an exchange has no answer.
#[derive(Debug, Display, Error, From)]
pub(crate) enum ExchangeError {
    #[display("{_0}")]
    NotSent(ConnectError),
    #[display("{_0}")]
    Lost(AnswerError),
    #[display("the answer did not come in time")]
    Late,
}

struct IdleConnection {
    connection: UpstreamConnection,
    until: Instant,
    /// When it last carried an answer.
    used: Instant,
}

/// All idle connections of an instance.
pub(crate) struct ConnectionPool {
    idle: RefCell<HashMap<Box<str>, Vec<IdleConnection>>>,
    usual_connect: Cell<LatencyEstimate>,
    /// How long connections have been idle when their upstream gets a request.
    usual_idle: Cell<LatencyEstimate>,
}

impl Default for ConnectionPool {
    fn default() -> Self {
        let usual_connect = Cell::new(LatencyEstimate::new(CONNECT_SHARE));
        let usual_idle = Cell::new(LatencyEstimate::new(IDLE_SHARE).with_initial(EXPECTED_IDLE));
        Self { idle: RefCell::default(), usual_connect, usual_idle }
    }
}

impl ConnectionPool {
    /// A kept connection that is still good; the one used last comes first.
    pub(crate) fn take(&self, address: &str) -> Option<UpstreamConnection> {
        self.take_used_since(address, None)
    }

    /// A kept connection that carried an answer since then.
    fn take_used_since(&self, address: &str, since: Option<Instant>) -> Option<UpstreamConnection> {
        let mut idle = self.idle.borrow_mut();
        let waiting = idle.get_mut(address)?;
        let now = Instant::now();
        while let Some(mut candidate) =
            waiting.pop_if(|candidate| since.is_none_or(|since| candidate.used >= since))
        {
            if now < candidate.until && candidate.connection.is_quiet() {
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Whether a connection to an address is kept.
    pub(crate) fn has_idle(&self, address: &str) -> bool {
        self.idle.borrow().get(address).is_some_and(|waiting| !waiting.is_empty())
    }

    /// Opens a connection.
    pub(crate) async fn connect(&self, address: &str) -> Result<UpstreamConnection, ConnectError> {
        self.connect_within(address, CONNECT_TIMEOUT).await
    }

    async fn connect_within(
        &self,
        address: &str,
        patience: Duration,
    ) -> Result<UpstreamConnection, ConnectError> {
        let parsed: SocketAddr =
            address.parse().map_err(|_| ConnectError::BadAddress { address: address.into() })?;
        let begun = Instant::now();
        let stream = timeout(patience, TcpStream::connect(parsed))
            .await
            .map_err(|_| ConnectError::Late)??;
        let mut usual = self.usual_connect.get();
        usual.record_since(begun);
        self.usual_connect.set(usual);
        detect_dead_peer(&stream);
        Ok(UpstreamConnection::new(stream))
    }

    /// A connection for a request that may still go elsewhere: an upstream that does not take one in a
    /// multiple of the usual time is left for the next, with more patience after each that was tried.
    pub(crate) async fn get_proven(
        &self,
        address: &str,
        tried: u32,
    ) -> Result<UpstreamConnection, ConnectError> {
        self.note_idle(address);
        let rare = self.usual_idle.get().mean() > RARE_USE;
        let since = Instant::now().checked_sub(PROVEN_FOR).filter(|_| rare);
        if let Some(connection) = self.take_used_since(address, since) {
            return Ok(connection);
        }
        let usual = self.usual_connect.get();
        let least = usual.scaled(CONNECT_FACTOR, CONNECT_MIN, CONNECT_TIMEOUT);
        let patience = least * 2_u32.saturating_pow(tried.min(4));
        self.connect_within(address, patience.min(CONNECT_TIMEOUT)).await
    }

    /// A kept connection or a new one.
    pub(crate) async fn get(&self, address: &str) -> Result<UpstreamConnection, ConnectError> {
        match self.take(address) {
            Some(connection) => Ok(connection),
            None => self.connect(address).await,
        }
    }

    fn note_idle(&self, address: &str) {
        let idle = self.idle.borrow();
        let Some(newest) = idle.get(address).and_then(|waiting| waiting.last()) else { return };
        let mut usual = self.usual_idle.get();
        usual.record_since(newest.used);
        self.usual_idle.set(usual);
    }

    /// Keeps a connection for later if it is good for it.
    pub(crate) fn put(
        &self,
        address: &str,
        connection: UpstreamConnection,
        keep: Option<Duration>,
    ) {
        let keep = keep.map_or(DEFAULT_KEEP, |keep| keep.saturating_sub(KEEP_MARGIN));
        if !connection.is_reusable() || keep.is_zero() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let waiting = idle.entry(address.into()).or_default();
        if waiting.len() < MAX_IDLE {
            let now = Instant::now();
            waiting.push(IdleConnection { connection, until: now + keep, used: now });
        }
    }

    /// Closes connections that have waited too long or whose peer has closed.
    pub(crate) fn prune(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, waiting| {
            waiting.retain_mut(|idle| now < idle.until && idle.connection.is_quiet());
            !waiting.is_empty()
        });
    }

    /// Closes all idle connections to an address: what has forgotten one of them may have
    /// forgotten the others, and a retry must not meet them.
    pub(crate) fn forget(&self, address: &str) {
        self.idle.borrow_mut().remove(address);
    }

    /// Sends a request and reads the whole answer within `limit`.
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
            let answer = connection.rest(MAX_WHOLE).await?;
            self.put(address, connection, None);
            Ok((head.status, answer))
        };
        let result = timeout(limit, exchange).await.unwrap_or(Err(ExchangeError::Late));
        if result.is_err() {
            self.forget(address);
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
