//! Turns whose history the system keeps: records that never change, and the tokens of a program.

mod cache;
mod coordinator;
mod ledger;
mod record;

use crate::core::ids::RequestId;

pub use cache::{ChainLookup, TurnCache};
pub use coordinator::{CoordinatorSpan, coordinator};
pub use ledger::{ProgramLedger, ReserveReply};
pub use record::{RecordError, TurnRecord, split_value};

/// Name of a program, chosen by its caller.
pub type ProgramName = Box<str>;
/// Name of a turn: the request id of the call that made it.
pub type TurnId = RequestId;
