//! Turns of programs: records of those whose history the system keeps, and the tokens of a program.

mod allowance;
mod branches;
mod cache;
mod coordinator;
mod ledger;
mod record;

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::core::ids::RequestId;

pub use allowance::{AllowanceDemand, PREALLOCATED_TURNS, TokenAllowance};
pub use branches::{BranchName, PrefixHolder, PrefixHolders};
pub use cache::{ChainLookup, TurnCache};
pub use coordinator::{CoordinatorSpan, coordinator, coordinators};
pub use ledger::{ProgramLedger, ReserveReply};
pub use record::{RecordError, TurnRecord, split_value};

/// Name of a program, chosen by its caller.
pub type ProgramName = Box<str>;
/// Name of a turn: the request id of the call that made it.
pub type TurnId = RequestId;

/// How long a program's ledger is kept after its last turn where the operator does not say.
pub const DEFAULT_RETENTION: Duration = Duration::from_secs(600);

/// What the system keeps of a turn.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TurnScope {
    /// Its history, which later turns go on from, and its tokens.
    #[default]
    History,
    /// Its tokens alone: each turn brings its whole prompt.
    Tokens,
}
