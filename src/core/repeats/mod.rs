//! Bounds how often the same work is sent to upstreams that do not survive it.
//!
//! A request that ends its upstream (a malformed prompt, a query that exhausts the memory) would
//! otherwise end one after the other, as its caller comes back and each attempt looks like the first.

mod attempts;
mod ends;
mod fingerprint;
mod losses;
mod message;
mod rerun;

pub use attempts::{AttemptKey, AttemptState, UnprovenAttempt};
pub use ends::{AttemptEnd, EndMeaning};
pub use fingerprint::{FingerprintFields, RequestFingerprint};
pub use losses::{LOSS_RETENTION, LossTable, WorkStanding, WorkVerdict};
pub use message::{LossMessage, ProvenWork, ReportedAttempt, ReportedWork};
pub use rerun::{RerunCounts, RerunDecision, RerunLimits, SentUpstreams};

/// Upstreams that may be lost one after the other under the same request. Two may be lost by chance.
pub const MAX_LOSSES: usize = 3;
