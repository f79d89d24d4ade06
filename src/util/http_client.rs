//! HTTP client whose errors distinguish requests never sent from responses lost.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use actix_http::header::{HOST, HeaderName, HeaderValue};
use actix_http::{Method, RequestHead, StatusCode};
use bytes::Bytes;
use derive_more::{Display, Error};
use futures_util::stream::{LocalBoxStream, StreamExt, try_unfold};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

use super::client_connection::ClientConnection;
use super::http_server::FORWARDED_HEADER;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1500);
const MAX_RESPONSE_BYTES: usize = 256 * 1024 * 1024;
/// Below the time for which servers of this program keep idle connections.
const KEEP_ALIVE: Duration = Duration::from_secs(15);

#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub(crate) enum HttpError {
    /// No part of the request was sent, so a retry is safe.
    #[display("cannot connect")]
    NotSent,
    #[display("no answer: {message}")]
    Lost { message: Box<str> },
    #[display("status {status}: {message}")]
    Status { status: u16, message: Box<str> },
}

pub(crate) type BodyChunks = LocalBoxStream<'static, Result<Bytes, HttpError>>;

struct IdleConnection {
    connection: ClientConnection,
    expires_at: Instant,
}

/// A client whose idle connections are closed after a timeout.
#[derive(Default)]
pub(crate) struct HttpClient {
    idle: RefCell<HashMap<Box<str>, Vec<IdleConnection>>>,
}

impl HttpClient {
    /// Sends JSON and reads a JSON response within `timeout`.
    pub(crate) async fn call<T: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        body: &impl Serialize,
        timeout: Duration,
    ) -> Result<T, HttpError> {
        let body = serde_json::to_vec(body).expect("requests serialize").into();
        let response = self.exchange(Method::POST, address, path, body, timeout).await?;
        serde_json::from_slice(&response).map_err(lost)
    }

    /// Sends a request and reads the complete response within `limit`.
    ///
    /// On timeout all idle connections are closed: a middlebox that lost the state of one may have
    /// lost the others', and a retry must not reuse them.
    pub(crate) async fn exchange(
        &self,
        method: Method,
        address: &str,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<Bytes, HttpError> {
        let exchange = async {
            let connection = match self.take(address) {
                Some(connection) => connection,
                None => connect(address).await?,
            };
            let (status, mut connection) =
                send(connection, method, address, path, body, false).await?;
            let response = read_rest(status, &mut connection).await;
            self.put(address, connection);
            response
        };
        timeout(limit, exchange).await.unwrap_or_else(|_| {
            self.idle.borrow_mut().clear();
            Err(timed_out())
        })
    }

    /// Sends a request over a new connection and streams the response body.
    pub(crate) async fn open(
        &self,
        method: Method,
        address: &str,
        path: &str,
        body: Bytes,
        forwarded: bool,
    ) -> Result<BodyChunks, HttpError> {
        let connection = connect(address).await?;
        let (status, mut connection) =
            send(connection, method, address, path, body, forwarded).await?;
        if !status.is_success() {
            read_rest(status, &mut connection).await?;
        }
        let chunks = try_unfold(connection, async |mut connection| {
            let chunk = connection.chunk().await.map_err(lost)?;
            Ok(chunk.map(|chunk| (chunk, connection)))
        });
        Ok(chunks.boxed_local())
    }

    /// Like [`HttpClient::exchange`], over a new connection.
    pub(crate) async fn exchange_unpooled(
        &self,
        method: Method,
        address: &str,
        path: &str,
        body: Bytes,
        forwarded: bool,
        limit: Duration,
    ) -> Result<Bytes, HttpError> {
        let exchange = async {
            let connection = connect(address).await?;
            let (status, mut connection) =
                send(connection, method, address, path, body, forwarded).await?;
            read_rest(status, &mut connection).await
        };
        timeout(limit, exchange).await.unwrap_or_else(|_| Err(timed_out()))
    }

    /// Takes an open idle connection.
    fn take(&self, address: &str) -> Option<ClientConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(address)?;
        while let Some(mut candidate) = connections.pop() {
            if Instant::now() < candidate.expires_at && candidate.connection.is_open_and_idle() {
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Keeps a connection for the next request, unless it cannot be reused.
    fn put(&self, address: &str, connection: ClientConnection) {
        if !connection.is_reusable() {
            return;
        }
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|_, connections| {
            connections.retain(|idle| now < idle.expires_at);
            !connections.is_empty()
        });
        let expires_at = now + KEEP_ALIVE;
        idle.entry(address.into()).or_default().push(IdleConnection { connection, expires_at });
    }
}

async fn connect(address: &str) -> Result<ClientConnection, HttpError> {
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = connected.map_err(|_| HttpError::NotSent)?.map_err(|_| HttpError::NotSent)?;
    stream.set_nodelay(true).map_err(|_| HttpError::NotSent)?;
    Ok(ClientConnection::new(stream))
}

/// Sends a request and reads the head of the response.
async fn send(
    mut connection: ClientConnection,
    method: Method,
    address: &str,
    path: &str,
    body: Bytes,
    forwarded: bool,
) -> Result<(StatusCode, ClientConnection), HttpError> {
    let mut head = RequestHead::default();
    head.method = method;
    head.uri = path.parse().map_err(lost)?;
    head.headers.insert(HOST, address.parse().map_err(lost)?);
    if forwarded {
        let name = HeaderName::from_static(FORWARDED_HEADER);
        head.headers.insert(name, HeaderValue::from_static("1"));
    }
    connection.request(head, body).map_err(lost)?;
    let head = connection.head().await.map_err(lost)?;
    Ok((head.status, connection))
}

/// Reads the rest of a response. That of one which is no success is the message of the error.
async fn read_rest(
    status: StatusCode,
    connection: &mut ClientConnection,
) -> Result<Bytes, HttpError> {
    let body = connection.rest(MAX_RESPONSE_BYTES).await.map_err(lost)?;
    if status.is_success() {
        return Ok(body);
    }
    let message = String::from_utf8_lossy(&body).into_owned().into();
    Err(HttpError::Status { status: status.as_u16(), message })
}

fn timed_out() -> HttpError {
    HttpError::Lost { message: "the answer did not come in time".into() }
}

fn lost(error: impl ToString) -> HttpError {
    HttpError::Lost { message: error.to_string().into() }
}
