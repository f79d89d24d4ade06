//! Data of an admitted call that scheduling and execution use.

use tokio::time::Instant;

use super::CallRequest;
use crate::core::dispatch::ServiceClass;
use crate::core::ids::{Incarnation, Tokens, WorkspaceId};

#[derive(Debug, Clone)]
pub(crate) struct CallContext {
    pub(crate) request: CallRequest,
    pub(crate) workspace: WorkspaceId,
    pub(crate) class: ServiceClass,
    pub(crate) weight: u16,
    pub(crate) model: Box<str>,
    pub(crate) definition: Box<str>,
    pub(crate) shared_prefix: Box<str>,
    pub(crate) deadline: Instant,
    pub(crate) attained: Tokens,
    /// True for the first model call of a program that is not a sub-agent.
    pub(crate) cold: bool,
    /// The shared prefix, then the inputs and answers in order.
    pub(crate) prompt: Vec<Box<str>>,
    /// Admitted the call; no other incarnation may commit its result.
    pub(crate) incarnation: Incarnation,
}

/// Only for estimates; budgets use the model's `min_bytes_per_token`.
const AVERAGE_BYTES_PER_TOKEN: usize = 4;

impl CallContext {
    pub(crate) fn prompt_tokens(&self) -> Tokens {
        let bytes: usize = self.prompt.iter().map(|part| part.len()).sum();
        (bytes / AVERAGE_BYTES_PER_TOKEN) as Tokens
    }

    /// Estimates the prefix that all programs of the definition share.
    pub(crate) fn shared_tokens(&self) -> Tokens {
        (self.shared_prefix.len() / AVERAGE_BYTES_PER_TOKEN) as Tokens
    }
}
