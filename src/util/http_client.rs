//! HTTP client whose errors distinguish requests never sent from responses lost.

use std::cell::RefCell;
use std::time::Duration;

use actix_http::Method;
use awc::error::SendRequestError;
use awc::{Client, ClientResponse, Connector};
use bytes::Bytes;
use derive_more::{Display, Error};
use futures_util::stream::{Stream, StreamExt};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::http_server::FORWARDED_HEADER;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1500);
const MAX_RESPONSE_BYTES: usize = 256 * 1024 * 1024;

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

pub(crate) type BodyChunks = Box<dyn Stream<Item = Result<Bytes, HttpError>> + Unpin>;

/// A client whose connection pool is replaced after a timeout.
pub(crate) struct HttpClient {
    pooled: RefCell<Client>,
    /// Opens a connection for each request; for requests that must not reuse a stale one.
    unpooled: Client,
}

impl Default for HttpClient {
    fn default() -> Self {
        Self { pooled: RefCell::new(new_client(true)), unpooled: new_client(false) }
    }
}

fn new_client(keep_alive: bool) -> Client {
    let connector = Connector::new().timeout(CONNECT_TIMEOUT).limit(0);
    let connector = if keep_alive {
        connector.conn_keep_alive(Duration::from_secs(15))
    } else {
        connector.conn_keep_alive(Duration::ZERO)
    };
    Client::builder().connector(connector).disable_timeout().no_default_headers().finish()
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

    /// Sends a request and reads the complete response within `timeout`.
    ///
    /// On timeout all pooled connections are dropped: a middlebox that lost the state of one may
    /// have lost the others', and a retry must not reuse them.
    pub(crate) async fn exchange(
        &self,
        method: Method,
        address: &str,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Bytes, HttpError> {
        let client = self.pooled.borrow().clone();
        let exchange = async {
            let mut response = send(&client, method, address, path, body, false).await?;
            response.body().limit(MAX_RESPONSE_BYTES).await.map_err(lost)
        };
        match actix_rt::time::timeout(timeout, exchange).await {
            Ok(response) => response,
            Err(_) => {
                *self.pooled.borrow_mut() = new_client(true);
                Err(HttpError::Lost { message: "the answer did not come in time".into() })
            }
        }
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
        let response = send(&self.unpooled, method, address, path, body, forwarded).await?;
        Ok(Box::new(response.map(|chunk| chunk.map_err(lost))))
    }

    /// Like [`HttpClient::exchange`], over a new connection.
    pub(crate) async fn exchange_unpooled(
        &self,
        method: Method,
        address: &str,
        path: &str,
        body: Bytes,
        forwarded: bool,
        timeout: Duration,
    ) -> Result<Bytes, HttpError> {
        let exchange = async {
            let mut response = send(&self.unpooled, method, address, path, body, forwarded).await?;
            response.body().limit(MAX_RESPONSE_BYTES).await.map_err(lost)
        };
        let message = "the answer did not come in time";
        let timed_out = |_| Err(HttpError::Lost { message: message.into() });
        actix_rt::time::timeout(timeout, exchange).await.unwrap_or_else(timed_out)
    }
}

async fn send(
    client: &Client,
    method: Method,
    address: &str,
    path: &str,
    body: Bytes,
    forwarded: bool,
) -> Result<ClientResponse, HttpError> {
    let mut request = client.request(method, format!("http://{address}{path}"));
    if forwarded {
        request = request.insert_header((FORWARDED_HEADER, "1"));
    }
    let mut response = request.send_body(body).await.map_err(|error| match error {
        SendRequestError::Connect(_) => HttpError::NotSent,
        error => lost(error),
    })?;
    if response.status().is_success() {
        return Ok(response);
    }
    let status = response.status().as_u16();
    let message = response.body().limit(MAX_RESPONSE_BYTES).await.unwrap_or_default();
    let message = String::from_utf8_lossy(&message).into_owned().into();
    Err(HttpError::Status { status, message })
}

fn lost(error: impl ToString) -> HttpError {
    HttpError::Lost { message: error.to_string().into() }
}
