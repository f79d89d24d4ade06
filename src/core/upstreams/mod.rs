//! The upstreams listed in the store, their passive health, and the choice of one for a request.

mod choice;
mod departures;
mod failures;
mod health;
mod index;
mod placement;
mod pressure;
mod readability;
mod speed;
mod table;

use std::time::Duration;

use derive_more::Display;

use crate::core::ids::{Tokens, UpstreamId};
use crate::core::routing::ServiceName;

pub use choice::{ChoiceRequest, UpstreamChoice};
pub use failures::AvoidedUpstream;
pub use health::{AttemptResult, UpstreamHealth};
pub use speed::AttemptTiming;
pub use table::{UpstreamTable, UpstreamUpdate};

/// Identifies a block of a prompt; prompts with a common prefix share the ids of its blocks.
pub type BlockId = Box<str>;

/// Number of a heartbeat; an upstream counts its own from its start.
pub type EntrySequence = u64;

/// Start time of an upstream in Unix milliseconds, by its own clock.
pub type StartMillis = u64;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum UpstreamState {
    #[display("ready")]
    Ready,
    #[display("draining")]
    Draining,
}

/// One run of an upstream; a restart may keep the id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamIncarnation {
    pub id: UpstreamId,
    pub started_at: Option<StartMillis>,
}

/// An upstream's own entry in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamEntry {
    /// May be kept across restarts; `started_at` distinguishes the incarnations.
    pub id: UpstreamId,
    /// Absent where every incarnation has a new id.
    pub started_at: Option<StartMillis>,
    pub service: ServiceName,
    pub address: Box<str>,
    pub zone: Box<str>,
    /// Maximum concurrent requests.
    pub slots: u32,
    pub state: UpstreamState,
    pub sequence: EntrySequence,
    /// Remaining warm-up time after the start.
    pub warming: Duration,
}

impl UpstreamEntry {
    /// Compares all but the number of the heartbeat.
    pub fn is_same(&self, other: &Self) -> bool {
        *self == Self { sequence: self.sequence, ..other.clone() }
    }
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptBlock {
    pub id: BlockId,
    pub tokens: Tokens,
}
