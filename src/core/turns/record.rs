//! The stored record of a finished turn and its encoding.

use std::ops::Range;

use bytes::Bytes;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use super::{ProgramName, TurnId};
use crate::core::ids::{Tokens, UpstreamId};
use crate::core::upstreams::StartMillis;
use crate::core::workspaces::resolved_name;
use crate::util::framed::{frame, unframe};

/// What a caller sent and what the engine answered; immutable once written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TurnRecord {
    /// None at the start of a chain.
    pub previous: Option<TurnId>,
    /// The program of the previous turn, if it differs from this turn's.
    pub origin: Option<ProgramName>,
    /// Holds the chain in its memory.
    pub upstream: UpstreamId,
    /// Incarnation of the engine; absent if the engine does not report it.
    pub started_at: Option<StartMillis>,
    /// Tokens sent to the caller. The record's existence settles the turn's reservation.
    pub used: Tokens,
    pub input: Bytes,
    /// The data of each event, each followed by a line feed.
    pub output: Bytes,
}

/// The first line of a stored record, before input and output.
#[derive(Debug, Serialize, Deserialize)]
struct RecordHeader {
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    previous: Option<TurnId>,
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    origin: Option<ProgramName>,
    #[serde(rename = "u")]
    upstream: UpstreamId,
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    started_at: Option<StartMillis>,
    #[serde(rename = "t")]
    used: Tokens,
    #[serde(rename = "i")]
    input: usize,
    /// Length of input and output, if the record spans rows.
    #[serde(rename = "n", default, skip_serializing_if = "Option::is_none")]
    body: Option<usize>,
}

#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("stored turn record is malformed: {reason}")]
pub struct RecordError {
    reason: Box<str>,
}

impl TurnRecord {
    pub fn encode(&self) -> Bytes {
        self.encode_as(None)
    }

    /// Lets a reader notice that rows are missing.
    pub(super) fn encode_with_length(&self) -> Bytes {
        self.encode_as(Some(self.bytes()))
    }

    fn encode_as(&self, body: Option<usize>) -> Bytes {
        let header = RecordHeader {
            previous: self.previous.clone(),
            origin: self.origin.clone(),
            upstream: self.upstream.clone(),
            started_at: self.started_at,
            used: self.used,
            input: self.input.len(),
            body,
        };
        frame(&header, &[&self.input, &self.output])
    }

    pub fn decode(value: Bytes) -> Result<Self, RecordError> {
        let (header, body): (RecordHeader, Bytes) =
            unframe(&value).map_err(|cause| RecordError { reason: cause.reason })?;
        if header.body.is_some_and(|length| length != body.len()) {
            return Err(RecordError { reason: "the body is not of the stated length".into() });
        }
        if header.input > body.len() {
            return Err(RecordError { reason: "the body is shorter than the input".into() });
        }
        Ok(Self {
            previous: header.previous,
            origin: header.origin,
            upstream: header.upstream,
            started_at: header.started_at,
            used: header.used,
            input: body.slice(..header.input),
            output: body.slice(header.input..),
        })
    }

    /// Replaces the name of the previous turn by the one that it stands for.
    pub fn resolve_previous(&mut self, turn: &str) {
        if let Some(previous) = &mut self.previous {
            *previous = resolved_name(previous, turn);
        }
    }

    pub fn bytes(&self) -> usize {
        self.input.len() + self.output.len()
    }
}

/// Splits a value of `len` bytes into ranges of at most `max_bytes`; an empty value is one range.
pub fn split_value(len: usize, max_bytes: usize) -> Vec<Range<usize>> {
    let starts = (0..len.max(1)).step_by(max_bytes);
    starts.map(|start| start..(start + max_bytes).min(len)).collect()
}
