//! A line of JSON followed by raw bytes: texts of callers travel and are stored as they are.

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Bytes that hold no such line.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("the head is malformed: {reason}")]
pub(crate) struct FrameError {
    pub(crate) reason: Box<str>,
}

/// Puts a head before the parts of a body.
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

/// Takes apart what [`frame`] put together.
pub(crate) fn unframe<T: DeserializeOwned>(value: &Bytes) -> Result<(T, Bytes), FrameError> {
    let error = |reason: &dyn ToString| FrameError { reason: reason.to_string().into() };
    let end = value.iter().position(|byte| *byte == b'\n').ok_or_else(|| error(&"no head"))?;
    let head = serde_json::from_slice(&value[..end]).map_err(|cause| error(&cause))?;
    Ok((head, value.slice(end + 1..)))
}
