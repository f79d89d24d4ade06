//! Interfaces of the upstreams: model engines and plain services.

mod http;

use std::time::Duration;

use async_trait::async_trait;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::core::budget::AttemptNumber;
use crate::core::dispatch::ServiceClass;
use crate::core::ids::{Incarnation, ProgramId, RequestId, Tokens, WorkspaceId};
use crate::core::orders::{EngineState, FencedOrder};
use crate::core::outcome::TokenUsage;

pub use http::HttpUpstreams;
pub(crate) use http::{CancelRequest, ReleaseRequest};

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GenerateRequest {
    pub request_id: RequestId,
    /// Engines refuse attempts of a closed incarnation.
    pub incarnation: Incarnation,
    /// Sequence number within the incarnation.
    pub attempt: AttemptNumber,
    pub program: ProgramId,
    pub workspace: WorkspaceId,
    /// Engines may serve higher classes first.
    pub class: ServiceClass,
    /// Shared instructions, then alternating inputs and answers, then the new input.
    pub prompt: Vec<Box<str>>,
    pub max_tokens: u32,
    /// Number of answer tokens already received; the engine does not send them again.
    pub resume_at: u32,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum EngineEvent {
    Tokens { text: Box<str>, count: u32 },
    Done { usage: TokenUsage },
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceRequest {
    pub request_id: RequestId,
    pub input: Box<str>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceReply {
    pub text: Box<str>,
}

/// A program whose context an engine keeps in memory.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeldProgram {
    pub program: ProgramId,
    pub tokens: Tokens,
}

/// Closes the attempts of a dead incarnation on an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CloseRequest {
    pub incarnation: Incarnation,
    /// First attempt whose cost is reported.
    pub from: AttemptNumber,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceCost {
    pub workspace: WorkspaceId,
    pub tokens: Tokens,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptClosure {
    /// Retention of the engine's request history, in milliseconds.
    pub remembers_ms: u64,
    pub costs: Vec<WorkspaceCost>,
}

impl AttemptClosure {
    pub fn retention(&self) -> Duration {
        Duration::from_millis(self.remembers_ms)
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum UpstreamError {
    /// No byte of the request was sent.
    #[display("the upstream cannot be reached")]
    NotSent,
    /// The upstream may have run the call.
    #[display("the upstream's answer was lost: {message}")]
    Lost { message: Box<str> },
    /// The upstream confirmed that it did not run the call.
    #[display("the upstream refused the call: {message}")]
    Refused { message: Box<str> },
}

impl UpstreamError {
    /// True if the upstream certainly did not run the call.
    pub fn is_refusal(&self) -> bool {
        matches!(self, Self::NotSent | Self::Refused { .. })
    }
}

#[async_trait(?Send)]
pub trait TokenStream {
    async fn next(&mut self) -> Result<EngineEvent, UpstreamError>;
}

/// `address` selects the engine.
#[async_trait(?Send)]
pub trait EngineClient {
    async fn generate(
        &self,
        address: &str,
        request: &GenerateRequest,
    ) -> Result<Box<dyn TokenStream>, UpstreamError>;

    /// Returns the cost so far, or `None` if the engine does not know the request.
    async fn cancel(
        &self,
        address: &str,
        request_id: &str,
    ) -> Result<Option<TokenUsage>, UpstreamError>;

    /// Stops all attempts of a dead incarnation, refuses later ones, and returns their final cost.
    /// An engine without support refuses; the tokens concerned then stay counted as spent.
    async fn close_attempts(
        &self,
        address: &str,
        request: CloseRequest,
    ) -> Result<AttemptClosure, UpstreamError>;

    /// An engine that checks fencing refuses a lower fencing number than it has seen.
    async fn order(&self, address: &str, order: &FencedOrder) -> Result<(), UpstreamError>;

    async fn state(&self, address: &str) -> Result<EngineState, UpstreamError>;

    /// Frees the memory held for a program.
    async fn release(&self, address: &str, program: ProgramId) -> Result<(), UpstreamError>;

    async fn held_programs(&self, address: &str) -> Result<Vec<HeldProgram>, UpstreamError>;
}

#[async_trait(?Send)]
pub trait ServiceClient {
    async fn execute(
        &self,
        address: &str,
        request: &ServiceRequest,
    ) -> Result<ServiceReply, UpstreamError>;
}
