//! Calls under way: from their admission to their final outcome.

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

/// A call as its caller issues it.
#[derive(Debug, Clone, PartialEq)]
pub struct CallRequest {
    pub program: ProgramId,
    pub number: CallNumber,
    pub request_id: RequestId,
    pub input: Box<str>,
    pub target: CallTarget,
    /// Longest time to wait for an upstream; the setting's value if absent.
    pub deadline: Option<Duration>,
}

impl CallRequest {
    /// What makes another submission the same call.
    pub(crate) fn key(&self) -> CallKey {
        CallKey {
            number: self.number,
            request_id: self.request_id.clone(),
            input: self.input.clone(),
            target: self.target.name(),
        }
    }
}

/// Where a call goes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum CallTarget {
    /// The model of the program's definition.
    Model { max_tokens: u32 },
    Service {
        service: Box<str>,
        /// Whether running it twice does no harm. Assumed not, unless the caller says so.
        #[serde(default)]
        idempotent: bool,
    },
}

impl CallTarget {
    /// The target's name in a history.
    pub(crate) fn name(&self) -> TargetName {
        match self {
            Self::Model { .. } => "model".into(),
            Self::Service { service, .. } => format!("service/{service}").into(),
        }
    }
}
