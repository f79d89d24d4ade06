//! Frames of a JSON head line and a raw body, so that callers' texts need no escaping.

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use serde::Serialize;
use serde::de::DeserializeOwned;

#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("the head is malformed: {reason}")]
pub(crate) struct FrameError {
    pub(crate) reason: Box<str>,
}

/// Encodes a frame; the body is the concatenation of its parts.
pub(crate) fn frame(head: &impl Serialize, body: &[&[u8]]) -> Bytes {
    let head = serde_json::to_vec(head).expect("heads serialize");
    let size: usize = body.iter().map(|part| part.len()).sum();
    let mut value = BytesMut::with_capacity(head.len() + 1 + size);
    value.extend_from_slice(&head);
    value.extend_from_slice(b"\n");
    for part in body {
        value.extend_from_slice(part);
    }
    value.freeze()
}

/// Decodes a frame into its head and body.
pub(crate) fn unframe<T: DeserializeOwned>(value: &Bytes) -> Result<(T, Bytes), FrameError> {
    let error = |reason: &dyn ToString| FrameError { reason: reason.to_string().into() };
    let head_end = value.iter().position(|byte| *byte == b'\n').ok_or_else(|| error(&"no head"))?;
    let head = serde_json::from_slice(&value[..head_end]).map_err(|cause| error(&cause))?;
    Ok((head, value.slice(head_end + 1..)))
}
