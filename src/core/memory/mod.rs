//! Memory of requests in flight: which request may hold more, which waits, and which is refused.

mod bounds;
mod ledger;

pub use bounds::MemoryBounds;
pub use ledger::{MemoryDecision, MemoryLedger, MemoryRequest, MemoryStage, TicketId, WaitOutcome};
