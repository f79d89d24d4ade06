//! Messages by which a peer makes store calls for an instance that cannot reach the store.

use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::StoreAnswer;
use crate::gateway::rows::{StoreCall, StoreCallKind};
use crate::node::platform::StoreError;

pub(crate) const RELAY_PATH: &str = "/store";

#[derive(Debug, Serialize, Deserialize)]
pub(super) struct RelayRequest {
    method: Box<str>,
    target: Box<str>,
    body: Box<str>,
    hold_ms: u64,
}

#[derive(Debug, Serialize, Deserialize)]
pub(super) struct RelayReply {
    status: u16,
    body: Box<str>,
}

impl RelayRequest {
    pub(super) fn new(call: &StoreCall) -> Self {
        Self {
            method: call.method.as_str().into(),
            target: call.target.clone(),
            body: STANDARD.encode(&call.body).into(),
            hold_ms: call.hold.as_millis() as u64,
        }
    }

    pub(super) fn parse(text: &[u8]) -> Result<StoreCall, RelayError> {
        let request: Self = serde_json::from_slice(text).map_err(|_| RelayError::Malformed)?;
        Ok(StoreCall {
            kind: StoreCallKind::Relayed,
            method: request.method.parse().map_err(|_| RelayError::Malformed)?,
            target: request.target,
            body: STANDARD.decode(&*request.body).map_err(|_| RelayError::Malformed)?.into(),
            hold: Duration::from_millis(request.hold_ms),
        })
    }

    pub(super) fn encode(&self) -> Bytes {
        serde_json::to_vec(self).expect("relay requests serialize").into()
    }
}

impl RelayReply {
    pub(super) fn new(status: u16, body: &[u8]) -> Self {
        Self { status, body: STANDARD.encode(body).into() }
    }

    pub(super) fn encode(&self) -> Bytes {
        serde_json::to_vec(self).expect("relay replies serialize").into()
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RelayError {
    Malformed,
    /// Nothing was sent, as this instance cannot reach the store either.
    CutOff,
    /// The call may have taken effect.
    NoAnswer,
}

pub(super) fn decode_reply(answer: &[u8]) -> StoreAnswer {
    let malformed =
        |message: &dyn ToString| StoreError::Malformed { message: message.to_string().into() };
    let reply: RelayReply = serde_json::from_slice(answer).map_err(|error| malformed(&error))?;
    let body = STANDARD.decode(&*reply.body).map_err(|error| malformed(&error))?;
    Ok((reply.status, body.into()))
}
