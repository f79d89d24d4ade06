//! Rate limits of workspaces over all instances. Each workspace has one [`limiter`] among the
//! members, which all instances ask before they forward a request.
//!
//! Limiters store nothing: a member that takes over starts with an empty bucket. [`share`] limits
//! without messages instead.

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

/// A call that is refused two or three times ends its program, so calls are delayed first. Short,
/// as delayed requests also run after another limiter has taken over: with 500 ms, a freeze of
/// 0.6 s alone made a window 1% too full.
const MAX_PERMIT_DELAY: Duration = Duration::from_millis(250);

#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaLimit {
    /// Requests per second, above 0.
    pub rate: f64,
    /// Requests, at least 1.
    pub burst: f64,
}

/// How far the requests in any window may exceed a limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaBounds {
    pub window: Duration,
    /// Fraction of what the limit allows in a window.
    pub over: f64,
    /// Requests.
    pub slack: f64,
}

impl QuotaBounds {
    /// Requests in any window beyond the limit.
    pub fn tolerance(&self, limit: QuotaLimit) -> f64 {
        self.over * self.limit(limit) + self.slack
    }

    /// Requests in any window within the limit.
    pub fn limit(&self, limit: QuotaLimit) -> f64 {
        limit.rate * self.window.as_secs_f64() + limit.burst
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum QuotaReply {
    /// The request may be forwarded after this delay.
    Granted {
        after: Duration,
    },
    Refused {
        retry_after: Duration,
    },
}
