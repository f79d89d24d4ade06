//! Request and response bodies of the callers' HTTP interface.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::core::ids::{CallNumber, ProgramId, RequestId, WorkspaceId};
use crate::core::outcome::CallRefusal;
use crate::node::calls::{CallRequest, CallTarget};

#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct CallBody {
    pub(crate) number: CallNumber,
    pub(crate) request_id: RequestId,
    pub(crate) input: Box<str>,
    #[serde(flatten)]
    pub(crate) target: CallTarget,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) deadline_ms: Option<u64>,
}

impl CallBody {
    pub(crate) fn into_request(self, program: ProgramId) -> CallRequest {
        CallRequest {
            program,
            number: self.number,
            request_id: self.request_id,
            input: self.input,
            target: self.target,
            deadline: self.deadline_ms.map(Duration::from_millis),
        }
    }

    pub(crate) fn from_request(request: &CallRequest) -> Self {
        Self {
            number: request.number,
            request_id: request.request_id.clone(),
            input: request.input.clone(),
            target: request.target.clone(),
            deadline_ms: request.deadline.map(|deadline| deadline.as_millis() as u64),
        }
    }
}

#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct StartBody {
    pub(crate) workspace: WorkspaceId,
    pub(crate) definition: Box<str>,
    #[serde(default)]
    pub(crate) start_key: Option<Box<str>>,
    /// Program id; makes the started program its sub-agent.
    #[serde(default)]
    pub(crate) parent: Option<Box<str>>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct StartedBody {
    pub(crate) program: Box<str>,
    /// Serves calls of this program without forwarding them.
    pub(crate) address: Box<str>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct AddressesBody {
    pub(crate) addresses: Vec<Box<str>>,
    /// Maximum age of the list at the client.
    pub(crate) keep_seconds: u32,
}

#[derive(Debug, Clone, Serialize)]
pub(crate) struct RefusalBody<'a> {
    pub(crate) outcome: &'static str,
    #[serde(flatten)]
    pub(crate) refusal: &'a CallRefusal,
    pub(crate) message: Box<str>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct EndedBody {
    pub(crate) ended: bool,
}
