//! The limiter of one workspace.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::core::decay::decay_factor;

use super::bucket::{BucketParams, TokenBucket};
use super::{MAX_PERMIT_DELAY, QuotaBounds, QuotaLimit, QuotaReply};

/// Share of the tolerance that the primary uses. The standby gets as much, and a fifth is a reserve
/// for the time after a mass start, in which members disagree about the primary: with all of it
/// shared out, a window was 1% too full then.
const PRIMARY_TOLERANCE_SHARE: f64 = 0.4;
/// Share of the tolerance that a standby holds as its burst, and grants once more in each window:
/// two fifths together.
const STANDBY_TOLERANCE_SHARE: f64 = 0.2;
/// Assumed requests per program until some have been observed: three to seven turns with about two
/// calls each.
const PRIOR_PROGRAM_REQUESTS: f64 = 12.0;
/// Bounds the estimate, as calls outside any program count as requests of programs too. The longest
/// programs have about 60 turns.
const MAX_PROGRAM_REQUESTS: f64 = 60.0;
/// Weight of the prior, in programs.
const PRIOR_PROGRAM_COUNT: f64 = 4.0;
/// Covers some programs of a workspace that starts one every two seconds.
const PROGRAM_REQUESTS_DECAY: Duration = Duration::from_secs(20);
/// Share of the rate that new programs may claim. The rest absorbs programs longer than the mean,
/// so that running ones are not refused.
const PROGRAM_RATE_SHARE: f64 = 0.9;
/// Share of the bucket's capacity below which new programs are limited by their expected requests.
/// Above it that would refuse programs of a workspace that stays below its limit.
const LOW_LEVEL_SHARE: f64 = 0.85;
/// Programs that may start at once even if the limit is small: callers of a small workspace now and
/// then arrive in threes.
const MIN_PROGRAM_BURST: f64 = 3.0;
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Callers wait up to a third of their time, 1.7 s of the longest objective, and give up rather
/// than wait longer.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_600);

/// The role of an instance in limiting a workspace.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimiterRole {
    /// Grants the limit times `share`, the fraction of the known members that it sees alive: each
    /// side of a network partition has a primary, and their shares add up to one. Without it both
    /// halves of a partitioned network would grant the whole limit.
    Primary { share: f64 },
    /// Answers members that do not reach the primary. It grants part of the tolerance only, as the
    /// primary may still be running.
    Standby,
    /// Grants nothing: shortly after a start many members may be taken for the standby.
    Observer,
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimiterParams {
    pub quota: QuotaLimit,
    pub bounds: QuotaBounds,
    pub role: LimiterRole,
}

impl LimiterRole {
    pub fn is_primary(self) -> bool {
        matches!(self, Self::Primary { .. })
    }
}

impl LimiterParams {
    fn call_bucket(&self) -> BucketParams {
        match self.role {
            LimiterRole::Primary { share } => {
                let over = 1.0 + PRIMARY_TOLERANCE_SHARE * self.bounds.over;
                let capacity =
                    self.quota.burst * over + PRIMARY_TOLERANCE_SHARE * self.bounds.slack;
                BucketParams { rate: self.quota.rate * over * share, capacity: capacity * share }
            }
            LimiterRole::Observer => BucketParams { rate: 0.0, capacity: 0.0 },
            LimiterRole::Standby => {
                let capacity = STANDBY_TOLERANCE_SHARE * self.bounds.tolerance(self.quota);
                BucketParams {
                    rate: capacity / self.bounds.window.as_secs_f64().max(1.0),
                    capacity,
                }
            }
        }
    }

    /// The bucket for the expected requests of new programs with `size` requests each.
    fn program_bucket(&self, size: f64) -> BucketParams {
        let calls = self.call_bucket();
        BucketParams {
            rate: calls.rate * PROGRAM_RATE_SHARE,
            capacity: calls.capacity.max(MIN_PROGRAM_BURST * size),
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaRequest {
    /// Set for the first request of a program, which is decided for all of its requests.
    pub opens: bool,
}

/// Estimates the requests per program from decaying counts.
#[derive(Debug, Clone, Copy)]
struct ProgramSize {
    requests: f64,
    programs: f64,
    at: Instant,
}

impl ProgramSize {
    fn new(now: Instant) -> Self {
        Self { requests: 0.0, programs: 0.0, at: now }
    }

    fn observe(&mut self, is_first: bool, now: Instant) {
        let age = now.saturating_duration_since(self.at);
        let kept = decay_factor(age, PROGRAM_REQUESTS_DECAY);
        self.at = self.at.max(now);
        self.requests = self.requests * kept + 1.0;
        self.programs = self.programs * kept + f64::from(u8::from(is_first));
    }

    /// Undoes the last observation.
    fn retract(&mut self, is_first: bool) {
        self.requests = (self.requests - 1.0).max(0.0);
        self.programs = (self.programs - f64::from(u8::from(is_first))).max(0.0);
    }

    fn mean(&self) -> f64 {
        let requests = self.requests + PRIOR_PROGRAM_REQUESTS * PRIOR_PROGRAM_COUNT;
        (requests / (self.programs + PRIOR_PROGRAM_COUNT)).clamp(1.0, MAX_PROGRAM_REQUESTS)
    }
}

/// Spaces the retries of refused requests at the rate of the bucket, so that they do not return all
/// at once.
#[derive(Debug, Clone, Copy)]
struct RetryQueue {
    next: Instant,
}

impl RetryQueue {
    fn schedule(&mut self, wait: Duration, step: Duration, now: Instant) -> Duration {
        let at = self.next.max(now + wait);
        let retry = at.saturating_duration_since(now);
        if retry < MAX_RETRY_DELAY {
            self.next = at + step;
        }
        retry.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY)
    }
}

/// Limits the requests of one workspace, and its new programs so that all their requests fit.
///
/// A program that is refused halfway has wasted its earlier requests, so new programs are refused
/// first.
#[derive(Debug, Clone)]
pub struct WorkspaceLimiter {
    calls: TokenBucket,
    programs: TokenBucket,
    size: ProgramSize,
    call_retries: RetryQueue,
    program_retries: RetryQueue,
    refused: u64,
}

impl WorkspaceLimiter {
    /// `since` is the time from which this limiter is responsible; its buckets were empty then.
    pub fn new(since: Instant, params: LimiterParams, now: Instant) -> Self {
        let size = ProgramSize::new(now);
        let mut calls = TokenBucket::new(0.0, since);
        calls.refill(params.call_bucket(), now);
        let mut programs = TokenBucket::new(0.0, since);
        programs.refill(params.program_bucket(size.mean()), now);
        let retries = RetryQueue { next: now };
        Self { calls, programs, size, call_retries: retries, program_retries: retries, refused: 0 }
    }

    /// `by_program` limits first requests by the expected requests of their programs.
    pub fn decide(
        &mut self,
        request: QuotaRequest,
        params: LimiterParams,
        by_program: bool,
        now: Instant,
    ) -> QuotaReply {
        let size = self.size.mean();
        let (calls, programs) = (params.call_bucket(), params.program_bucket(size));
        self.calls.refill(calls, now);
        self.programs.refill(programs, now);
        let program_wait = self.programs.wait(size, programs);
        let is_low = self.calls.level() < LOW_LEVEL_SHARE * calls.capacity;
        if request.opens && by_program && is_low && program_wait > MAX_PERMIT_DELAY {
            self.refused += 1;
            let step = programs.fill_time(size);
            let retry_after = self.program_retries.schedule(program_wait, step, now);
            return QuotaReply::Refused { retry_after };
        }
        let Some(after) = self.calls.take(1.0, calls, MAX_PERMIT_DELAY) else {
            self.refused += 1;
            // Refused requests count too: otherwise refusals lower the estimate, and too many
            // programs are let in.
            if !request.opens {
                self.size.observe(false, now);
            }
            let step = calls.fill_time(1.0);
            let retry_after = self.call_retries.schedule(self.calls.wait(1.0, calls), step, now);
            return QuotaReply::Refused { retry_after };
        };
        if request.opens {
            self.programs.charge(size, programs);
        }
        self.size.observe(request.opens, now);
        QuotaReply::Granted { after }
    }

    /// Returns a permit that was granted and not used.
    pub fn release(&mut self, request: QuotaRequest, params: LimiterParams) {
        // Retracted first, as the charge was computed before the request was observed.
        self.size.retract(request.opens);
        self.calls.refund(1.0, params.call_bucket());
        if request.opens {
            let size = self.size.mean();
            self.programs.refund(size, params.program_bucket(size));
        }
    }

    /// Empties the buckets. Delayed permits remain valid and stay charged.
    pub fn drain(&mut self, now: Instant) {
        self.calls.drain(now);
        self.programs.drain(now);
    }

    /// Available requests; negative if permits are delayed.
    pub fn level(&self, params: LimiterParams, now: Instant) -> f64 {
        let mut calls = self.calls;
        calls.refill(params.call_bucket(), now);
        calls.level()
    }

    pub fn refused(&self) -> u64 {
        self.refused
    }
}
