//! Upstreams as the store lists them, how they have behaved, and which one a request goes to.

mod choice;
mod health;
mod index;
mod table;

use std::time::Duration;

use derive_more::Display;

use crate::core::ids::{Tokens, UpstreamId};
use crate::core::routing::ServiceName;

pub use choice::{ChoiceRequest, UpstreamChoice};
pub use health::{AttemptResult, RecentLoad, UpstreamHealth};
pub use table::{UpstreamUpdate, UpstreamTable};

/// Name of a part of a prompt; requests whose prompts begin alike name the same parts.
pub type BlockId = Box<str>;

/// When an upstream started, in milliseconds since 1970 by its own clock.
pub type StartMillis = u64;

/// Whether an upstream takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum UpstreamState {
    #[display("ready")]
    Ready,
    #[display("draining")]
    Draining,
}

/// One upstream as it describes itself in the store's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamEntry {
    /// An upstream that starts again may keep it; `born` tells its lives apart.
    pub id: UpstreamId,
    /// Absent where upstreams get a new id at each start.
    pub started_at: Option<StartMillis>,
    pub service: ServiceName,
    pub address: Box<str>,
    pub zone: Box<str>,
    /// Requests it runs at once.
    pub slots: u32,
    pub state: UpstreamState,
    /// How much longer it is slow after its start.
    pub warming: Duration,
}

/// One part of a prompt, in the prompt's order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptBlock {
    pub id: BlockId,
    pub tokens: Tokens,
}
