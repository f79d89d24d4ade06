//! Programs and their histories: journal records, their replay, and the admission of calls.

mod book;
mod program;
mod record;
mod segment;

pub use book::ProgramBook;
pub use program::{
    Admission, CallIntent, CallKey, EndReason, ProgramEnd, ProgramRecord, TurnRecord,
};
pub use record::{JournalBatch, JournalRecord};
pub use segment::{SegmentList, SegmentObject, SegmentRef};
