//! Client of engines and services over HTTP with JSON bodies and JSON lines.

use std::time::Duration;

use actix_http::Method;
use async_trait::async_trait;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::{
    AttemptClosure, CloseRequest, EngineClient, EngineEvent, GenerateRequest, HeldProgram,
    ServiceClient, ServiceReply, ServiceRequest, TokenStream, UpstreamError,
};
use crate::core::ids::{ProgramId, RequestId};
use crate::core::orders::{EngineState, FencedOrder};
use crate::core::outcome::TokenUsage;
use crate::util::http_client::{HttpClient, HttpError};
use crate::util::lines::LineReader;

const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);
/// Upper bound only; callers of a service set their own timeout.
const SERVICE_TIMEOUT: Duration = Duration::from_secs(3600);

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct CancelRequest {
    pub(crate) request_id: RequestId,
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct ReleaseRequest {
    pub(crate) program: ProgramId,
}

#[derive(Default)]
pub struct HttpUpstreams {
    client: HttpClient,
}

const UNAVAILABLE: u16 = 503;

fn upstream_error(error: HttpError) -> UpstreamError {
    match error {
        HttpError::NotSent => UpstreamError::NotSent,
        HttpError::Status { status: UNAVAILABLE, message } => UpstreamError::Refused { message },
        error => UpstreamError::Lost { message: error.to_string().into() },
    }
}

struct HttpTokenStream {
    lines: LineReader,
}

#[async_trait(?Send)]
impl TokenStream for HttpTokenStream {
    async fn next(&mut self) -> Result<EngineEvent, UpstreamError> {
        self.lines.next().await.map_err(upstream_error)
    }
}

#[async_trait(?Send)]
impl EngineClient for HttpUpstreams {
    async fn generate(
        &self,
        address: &str,
        request: &GenerateRequest,
    ) -> Result<Box<dyn TokenStream>, UpstreamError> {
        let body = serde_json::to_vec(request).expect("requests serialize").into();
        let opening = self.client.open(Method::POST, address, "/generate", body, false);
        let lines = LineReader::new(opening.await.map_err(upstream_error)?);
        Ok(Box::new(HttpTokenStream { lines }))
    }

    async fn cancel(
        &self,
        address: &str,
        request_id: &str,
    ) -> Result<Option<TokenUsage>, UpstreamError> {
        let request = CancelRequest { request_id: request_id.into() };
        let call = self.client.call(address, "/cancel", &request, CONTROL_TIMEOUT);
        call.await.map_err(upstream_error)
    }

    async fn close_attempts(
        &self,
        address: &str,
        request: CloseRequest,
    ) -> Result<AttemptClosure, UpstreamError> {
        let call = self.client.call(address, "/close_attempts", &request, CONTROL_TIMEOUT);
        call.await.map_err(upstream_error)
    }

    async fn order(&self, address: &str, order: &FencedOrder) -> Result<(), UpstreamError> {
        let call = self.client.call(address, "/order", order, CONTROL_TIMEOUT);
        call.await.map_err(upstream_error)
    }

    async fn state(&self, address: &str) -> Result<EngineState, UpstreamError> {
        let empty = Bytes::new();
        let exchange = self.client.exchange(Method::GET, address, "/state", empty, CONTROL_TIMEOUT);
        let body = exchange.await.map_err(upstream_error)?;
        serde_json::from_slice(&body)
            .map_err(|error| UpstreamError::Lost { message: error.to_string().into() })
    }

    async fn release(&self, address: &str, program: ProgramId) -> Result<(), UpstreamError> {
        let request = ReleaseRequest { program };
        let call = self.client.call(address, "/release", &request, CONTROL_TIMEOUT);
        call.await.map_err(upstream_error)
    }

    async fn held_programs(&self, address: &str) -> Result<Vec<HeldProgram>, UpstreamError> {
        let empty = Bytes::new();
        let exchange = self.client.exchange(Method::GET, address, "/held", empty, CONTROL_TIMEOUT);
        let body = exchange.await.map_err(upstream_error)?;
        serde_json::from_slice(&body)
            .map_err(|error| UpstreamError::Lost { message: error.to_string().into() })
    }
}

#[async_trait(?Send)]
impl ServiceClient for HttpUpstreams {
    async fn execute(
        &self,
        address: &str,
        request: &ServiceRequest,
    ) -> Result<ServiceReply, UpstreamError> {
        let body: Bytes = serde_json::to_vec(request).expect("requests serialize").into();
        // A pooled connection may be closed by the service while the request is sent, which would
        // leave the outcome of a non-idempotent call unknown.
        let exchange = self.client.exchange_unpooled(
            Method::POST,
            address,
            "/execute",
            body,
            false,
            SERVICE_TIMEOUT,
        );
        let body = exchange.await.map_err(upstream_error)?;
        serde_json::from_slice(&body)
            .map_err(|error| UpstreamError::Lost { message: error.to_string().into() })
    }
}
