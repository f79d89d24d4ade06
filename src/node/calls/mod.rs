//! Handles calls from admission to their final outcome.

mod context;
mod durability;
mod live;
mod model;
mod route;
mod service;
mod submit;

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::core::history::CallKey;
use crate::core::ids::{CallNumber, ProgramId, RequestId, TargetName};

pub(crate) use context::CallContext;
pub use live::{CallEvent, LiveCall};
pub(crate) use model::time_left;
pub(crate) use route::ProgramRoute;

#[derive(Debug, Clone, PartialEq)]
pub struct CallRequest {
    pub program: ProgramId,
    pub number: CallNumber,
    pub request_id: RequestId,
    pub input: Box<str>,
    pub target: CallTarget,
    /// Limits the wait for an upstream; `limits.call_deadline_ms` if absent.
    pub deadline: Option<Duration>,
}

impl CallRequest {
    /// Submissions with equal keys are the same call.
    pub(crate) fn key(&self) -> CallKey {
        CallKey {
            number: self.number,
            request_id: self.request_id.clone(),
            input: self.input.clone(),
            target: self.target.name(),
        }
    }
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum CallTarget {
    /// The model of the program's definition.
    Model { max_tokens: u32 },
    Service {
        service: Box<str>,
        #[serde(default)]
        idempotent: bool,
    },
}

impl CallTarget {
    /// The name is stored in histories.
    pub(crate) fn name(&self) -> TargetName {
        match self {
            Self::Model { .. } => "model".into(),
            Self::Service { service, .. } => format!("service/{service}").into(),
        }
    }
}
