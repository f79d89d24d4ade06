//! Ownership of shards of programs: the stored rows, the assignment to instances and its changes.

mod assign;
mod row;
mod table;

pub use assign::{assign_engines, assign_shards};
pub use row::{IncarnationRow, JournalSpan, ShardOwner, ShardRow};
pub use table::{ShardPhase, ShardPlan, ShardTable, ShardView};
