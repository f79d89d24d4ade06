//! Platform client over HTTP with JSON bodies.

use actix_http::Method;
use async_trait::async_trait;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::{
    CommitReply, KeyedRow, ObjectStore, RosterEntry, RosterSource, RowKey, STORE_TIMEOUT,
    StoreError, StoredRow, TableStore, TableTransaction,
};
use crate::util::http_client::{HttpClient, HttpError};

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct ReadRequest {
    pub(crate) keys: Vec<RowKey>,
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct ScanRequest {
    pub(crate) prefix: Box<str>,
    pub(crate) after: Option<Box<str>>,
    pub(crate) limit: usize,
}

pub struct HttpPlatform {
    address: Box<str>,
    client: HttpClient,
}

impl HttpPlatform {
    pub fn new(address: &str) -> Self {
        Self { address: address.into(), client: HttpClient::default() }
    }

    async fn exchange_object(
        &self,
        method: Method,
        name: &str,
        body: Bytes,
    ) -> Result<Bytes, HttpError> {
        let path = format!("/objects/{name}");
        self.client.exchange(method, &self.address, &path, body, STORE_TIMEOUT).await
    }
}

const NOT_FOUND: u16 = 404;
const UNAVAILABLE: u16 = 503;
const GATEWAY_TIMEOUT: u16 = 504;

fn store_error(error: HttpError) -> StoreError {
    match error {
        HttpError::NotSent | HttpError::Status { status: UNAVAILABLE, .. } => {
            StoreError::Unavailable
        }
        HttpError::Lost { .. } | HttpError::Status { status: GATEWAY_TIMEOUT, .. } => {
            StoreError::ReplyLost
        }
        HttpError::Status { .. } => StoreError::Malformed { message: error.to_string().into() },
    }
}

#[async_trait(?Send)]
impl TableStore for HttpPlatform {
    async fn commit(&self, transaction: &TableTransaction) -> Result<CommitReply, StoreError> {
        let call = self.client.call(&self.address, "/table/commit", transaction, STORE_TIMEOUT);
        call.await.map_err(store_error)
    }

    async fn read(&self, keys: &[RowKey]) -> Result<Vec<Option<StoredRow>>, StoreError> {
        let request = ReadRequest { keys: keys.to_vec() };
        let call = self.client.call(&self.address, "/table/read", &request, STORE_TIMEOUT);
        call.await.map_err(store_error)
    }

    async fn scan(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
    ) -> Result<Vec<KeyedRow>, StoreError> {
        let after = after.map(Into::into);
        let request = ScanRequest { prefix: prefix.into(), after, limit };
        let call = self.client.call(&self.address, "/table/scan", &request, STORE_TIMEOUT);
        call.await.map_err(store_error)
    }
}

#[async_trait(?Send)]
impl ObjectStore for HttpPlatform {
    async fn put(&self, name: &str, body: Bytes) -> Result<(), StoreError> {
        self.exchange_object(Method::PUT, name, body).await.map(drop).map_err(store_error)
    }

    async fn get(&self, name: &str) -> Result<Option<Bytes>, StoreError> {
        match self.exchange_object(Method::GET, name, Bytes::new()).await {
            Ok(body) => Ok(Some(body)),
            Err(HttpError::Status { status: NOT_FOUND, .. }) => Ok(None),
            Err(error) => Err(store_error(error)),
        }
    }

    async fn delete(&self, name: &str) -> Result<(), StoreError> {
        self.exchange_object(Method::DELETE, name, Bytes::new())
            .await
            .map(drop)
            .map_err(store_error)
    }
}

#[async_trait(?Send)]
impl RosterSource for HttpPlatform {
    async fn list(&self) -> Result<Vec<RosterEntry>, StoreError> {
        let empty = Bytes::new();
        let exchange =
            self.client.exchange(Method::GET, &self.address, "/roster", empty, STORE_TIMEOUT);
        let body = exchange.await.map_err(store_error)?;
        serde_json::from_slice(&body)
            .map_err(|error| StoreError::Malformed { message: error.to_string().into() })
    }
}
