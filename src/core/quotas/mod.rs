//! How many requests a workspace may have run, over all instances together.
//!
//! Each workspace has one limiter among the members, found by hashing as coordinators are. It keeps a
//! bucket of requests ([`limiter`]); all instances ask it before they send a request on. Its memory is
//! soft: whoever takes over begins with an empty bucket, so what the former one gave out needs no
//! record. [`share`] is the other way that was weighed: each instance has its part of each limit.

mod bucket;
mod limiter;
mod registry;
mod share;
mod view;

use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use bucket::{BucketParams, TokenBucket};
pub use limiter::{LimiterParams, LimiterRole, QuotaRequest, WorkspaceLimiter};
pub use registry::{LimitSample, LimiterRegistry, LimiterRequest, QuotaRequestId};
pub use share::QuotaShare;
pub use view::{LimiterStatus, QuotaMember, QuotaView};

/// How long a request may wait for its place. A call that is refused twice or three times ends its
/// program, so it waits while it is not yet late for that. What waits runs whoever takes over meanwhile:
/// with 500 ms, a freeze of 0.6 s alone made a modelled window 1% too full.
const MAX_PERMIT_DELAY: Duration = Duration::from_millis(250);

/// The limit of one workspace.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaLimit {
    /// Requests a second, above 0.
    pub rate: f64,
    /// Requests beyond that at once, at least 1.
    pub burst: f64,
}

/// How exactly limits must be kept: in any window no more than the limit allows there, a part of that
/// and some requests beyond.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaBounds {
    pub window: Duration,
    /// Part of what the limit allows in a window.
    pub over: f64,
    /// Requests.
    pub slack: f64,
}

impl QuotaBounds {
    /// Requests that a workspace may have run in any window beyond its limit.
    pub fn tolerance(&self, limit: QuotaLimit) -> f64 {
        self.over * self.limit(limit) + self.slack
    }

    /// Requests that the limit itself allows in a window.
    pub fn limit(&self, limit: QuotaLimit) -> f64 {
        limit.rate * self.window.as_secs_f64() + limit.burst
    }
}

/// Whether a request may be sent on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum QuotaReply {
    /// It may, after this pause.
    Granted { after: Duration },
    /// It may not; there is room for it after this time.
    Refused { retry_after: Duration },
}
