//! Turns of programs for the gateway: their stored records, token ledgers, cache and coordinators.

mod branches;
mod cache;
mod chain;
mod coordinator;
mod ledger;
mod record;
mod settlements;
mod writes;

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::core::ids::RequestId;

pub use branches::{BranchName, PrefixHolder, PrefixHolders};
pub use cache::TurnCache;
pub use chain::{ChainEntry, ChainLookup, LoadedTurns};
pub use coordinator::{CoordinatorSpan, coordinator, coordinators, gains_programs};
pub use ledger::{ProgramLedger, ReserveReply};
pub use record::{RecordError, TurnRecord, split_value};
pub use settlements::{TurnSettlement, TurnSettlements};
pub use writes::{RecordWrite, StoredRows, WriteLimits, WriteProgress, WriteStep};

/// Chosen by the caller.
pub type ProgramName = Box<str>;
/// The request id of the call that made the turn.
pub type TurnId = RequestId;

/// Retention of a program's ledger after its last turn, unless the operator sets one.
pub const DEFAULT_RETENTION: Duration = Duration::from_secs(600);

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TurnScope {
    /// Its history, which later turns continue from, and its tokens.
    #[default]
    History,
    /// Its tokens alone: each turn brings its complete prompt.
    Tokens,
}
