//! Limits without messages between instances: each applies an equal share of every limit.

use tokio::time::Instant;

use super::bucket::{BucketParams, TokenBucket};
use super::{MAX_PERMIT_DELAY, QuotaBounds, QuotaLimit, QuotaReply};

#[derive(Debug, Clone)]
pub struct QuotaShare {
    bucket: TokenBucket,
}

impl QuotaShare {
    /// Starts empty, as the requests that an earlier incarnation granted are unknown.
    pub fn new(now: Instant) -> Self {
        Self { bucket: TokenBucket::new(0.0, now) }
    }

    pub fn decide(
        &mut self,
        limit: QuotaLimit,
        bounds: QuotaBounds,
        instances: usize,
        now: Instant,
    ) -> QuotaReply {
        let share = 1.0 / instances.max(1) as f64;
        let rate = limit.rate * (1.0 + bounds.over) * share;
        // A capacity below one would grant nothing. The rounding lets the sum of all shares exceed
        // the limit.
        let capacity = ((limit.burst * (1.0 + bounds.over) + bounds.slack) * share).max(1.0);
        let params = BucketParams { rate, capacity };
        self.bucket.refill(params, now);
        match self.bucket.take(1.0, params, MAX_PERMIT_DELAY) {
            Some(after) => QuotaReply::Granted { after },
            None => QuotaReply::Refused { retry_after: self.bucket.wait(1.0, params) },
        }
    }
}
