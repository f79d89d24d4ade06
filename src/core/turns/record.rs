//! One finished turn as the store keeps it.

use std::ops::Range;

use bytes::Bytes;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use super::{ProgramName, TurnId};
use crate::core::ids::{Tokens, UpstreamId};
use crate::core::upstreams::StartMillis;
use crate::util::framed::{frame, unframe};

/// What a caller sent and what the engine answered. It never changes once it is written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TurnRecord {
    /// The turn it continues from; none at the start of a chain.
    pub previous: Option<TurnId>,
    /// The program that made that turn, where it is another one than this turn's.
    pub origin: Option<ProgramName>,
    /// The engine that ran it and so holds the chain in its memory.
    pub upstream: UpstreamId,
    /// Start time of its incarnation, if known.
    pub started_at: Option<StartMillis>,
    /// Tokens passed on to the caller. The record settles the turn's reservation by being there.
    pub used: Tokens,
    /// The caller's new input.
    pub input: Bytes,
    /// The data of each event, each followed by a line feed.
    pub output: Bytes,
}

/// The first line of a stored record; input and output follow it.
#[derive(Debug, Serialize, Deserialize)]
struct RecordHead {
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
}

/// A stored record that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("the stored turn is malformed: {reason}")]
pub struct RecordError {
    reason: Box<str>,
}

impl TurnRecord {
    /// The stored form.
    pub fn encode(&self) -> Bytes {
        let head = RecordHead {
            previous: self.previous.clone(),
            origin: self.origin.clone(),
            upstream: self.upstream.clone(),
            started_at: self.started_at,
            used: self.used,
            input: self.input.len(),
        };
        frame(&head, &[&self.input, &self.output])
    }

    /// Reads what [`TurnRecord::encode`] wrote.
    pub fn decode(value: Bytes) -> Result<Self, RecordError> {
        let (head, body): (RecordHead, Bytes) =
            unframe(&value).map_err(|cause| RecordError { reason: cause.reason })?;
        if head.input > body.len() {
            return Err(RecordError { reason: "it is shorter than its input".into() });
        }
        Ok(Self {
            previous: head.previous,
            origin: head.origin,
            upstream: head.upstream,
            started_at: head.started_at,
            used: head.used,
            input: body.slice(..head.input),
            output: body.slice(head.input..),
        })
    }

    /// Bytes of input and output.
    pub fn bytes(&self) -> usize {
        self.input.len() + self.output.len()
    }
}

/// Cuts a value of `len` bytes into ranges of at most `most` bytes; an empty value is one range.
pub fn split_value(len: usize, most: usize) -> Vec<Range<usize>> {
    let starts = (0..len.max(1)).step_by(most);
    starts.map(|start| start..(start + most).min(len)).collect()
}
