//! The other way that was weighed: an equal part of each limit at each instance, no message.

use tokio::time::Instant;

use super::bucket::{BucketParams, TokenBucket};
use super::{MAX_PERMIT_DELAY, QuotaBounds, QuotaLimit, QuotaReply};

/// One instance's part of a workspace's limit.
#[derive(Debug, Clone)]
pub struct QuotaShare {
    bucket: TokenBucket,
}

impl QuotaShare {
    /// A part that begins empty, as an instance that has started knows nothing of what its former run
    /// gave out.
    pub fn new(now: Instant) -> Self {
        Self { bucket: TokenBucket::new(0.0, now) }
    }

    /// Decides about a request at one of `instances`.
    pub fn decide(
        &mut self,
        limit: QuotaLimit,
        bounds: QuotaBounds,
        instances: usize,
        now: Instant,
    ) -> QuotaReply {
        let part = 1.0 / instances.max(1) as f64;
        let rate = limit.rate * (1.0 + bounds.over) * part;
        // A part below one request would hold none at all; that the whole is exceeded by the rounding
        // is what speaks against this way.
        let capacity = ((limit.burst * (1.0 + bounds.over) + bounds.slack) * part).max(1.0);
        let params = BucketParams { rate, capacity };
        self.bucket.refill(params, now);
        match self.bucket.take(1.0, params, MAX_PERMIT_DELAY) {
            Some(after) => QuotaReply::Granted { after },
            None => QuotaReply::Refused { retry_after: self.bucket.wait(1.0, params) },
        }
    }
}
