//! What instances say to each other about limits: datagrams beside those of the failure detector.

use serde::{Deserialize, Serialize};

use crate::core::ids::WorkspaceId;
use crate::core::quotas::{QuotaReply, QuotaRequest, QuotaRequestId};

/// First byte of such a datagram. One of the failure detector cannot begin so: it would be a message
/// of more segments than a datagram holds.
const MARK: u8 = 0xFF;

/// One datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum QuotaMessage {
    /// May a request of this workspace be sent on? Asked again under the same id, it is the same
    /// question.
    Ask { id: QuotaRequestId, workspace: WorkspaceId, ask: QuotaRequest },
    Reply {
        id: QuotaRequestId,
        reply: QuotaReply,
        /// Who limits the workspace as the sender sees it, if that is not the sender itself; its word
        /// counts only if that one is silent.
        chief: Option<Box<str>>,
    },
    /// The place that was granted lately is not used.
    GiveBack { workspace: WorkspaceId, ask: QuotaRequest },
}

impl QuotaMessage {
    pub(super) fn encode(&self) -> Vec<u8> {
        let mut datagram = vec![MARK];
        serde_json::to_writer(&mut datagram, self).expect("messages serialize");
        datagram
    }

    /// Reads a datagram; none if it is another kind.
    pub(crate) fn decode(datagram: &[u8]) -> Option<Result<Self, serde_json::Error>> {
        let text = datagram.strip_prefix(&[MARK])?;
        Some(serde_json::from_slice(text))
    }
}
