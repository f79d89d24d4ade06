//! Quota datagrams between instances. They share the socket of the failure detector.

use serde::{Deserialize, Serialize};

use crate::core::ids::WorkspaceId;
use crate::core::quotas::{QuotaReply, QuotaRequest, QuotaRequestId};

/// First byte of each quota datagram. Datagrams of the failure detector are packed Cap'n Proto, where
/// it announces more segments than a datagram can hold.
const MESSAGE_TAG: u8 = 0xFF;

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum QuotaMessage {
    /// Requests a permit. A repetition under the same id is the same request.
    Ask { id: QuotaRequestId, workspace: WorkspaceId, ask: QuotaRequest },
    Reply {
        id: QuotaRequestId,
        reply: QuotaReply,
        /// Address of the limiter as the sender sees it, if that is not the sender itself. The
        /// name is a word on the wire.
        chief: Option<Box<str>>,
    },
    /// Releases a recent permit unused. The name is a word on the wire.
    GiveBack { workspace: WorkspaceId, ask: QuotaRequest },
}

impl QuotaMessage {
    pub(super) fn encode(&self) -> Vec<u8> {
        let mut datagram = vec![MESSAGE_TAG];
        serde_json::to_writer(&mut datagram, self).expect("messages serialize");
        datagram
    }

    /// None if the datagram is of another kind.
    pub(crate) fn decode(datagram: &[u8]) -> Option<Result<Self, serde_json::Error>> {
        let payload = datagram.strip_prefix(&[MESSAGE_TAG])?;
        Some(serde_json::from_slice(payload))
    }
}
