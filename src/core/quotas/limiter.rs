//! The limiter of one workspace.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::bucket::{BucketParams, TokenBucket};
use super::{MAX_PERMIT_DELAY, QuotaBounds, QuotaLimit, QuotaReply};

/// Part of the margin that a limiter itself uses: two fifths. As much is for its deputy, and a fifth for
/// chance while members that have started find out who goes before whom: with all of it shared out, a
/// window of a modelled mass start was 1% too full.
const PRIMARY_TOLERANCE_SHARE: f64 = 0.4;
/// Part of the margin that a deputy holds at once, and gives out again in a window: two fifths together.
const STANDBY_TOLERANCE_SHARE: f64 = 0.2;
/// Requests of a program where none has been seen: three to seven turns with some two calls each.
const PRIOR_PROGRAM_REQUESTS: f64 = 12.0;
/// Most that a program is taken to need: calls that belong to no program count like those of one, and
/// would make each the dearer. The longest have some 60 turns.
const MAX_PROGRAM_REQUESTS: f64 = 60.0;
/// Programs that the prior counts for.
const PRIOR_PROGRAM_COUNT: f64 = 4.0;
/// Time over which requests and programs are counted, fading: some programs of a workspace with one
/// in two seconds.
const PROGRAM_REQUESTS_DECAY: Duration = Duration::from_secs(20);
/// Part of the rate that new programs may plan with. What is left takes up programs that need more
/// than the mean: at all of it, programs under way were refused.
const PROGRAM_RATE_SHARE: f64 = 0.9;
/// Part of the bucket below which new programs are held to their plan. Above it there is room, whatever
/// they are expected to need: held to it always, a workspace a little below its limit was refused
/// programs that all would have ended.
const LOW_LEVEL_SHARE: f64 = 0.85;
/// Programs that may begin at once however small the limit is: callers of a small workspace come in
/// threes now and then.
const MIN_PROGRAM_BURST: f64 = 3.0;
/// Shortest and longest time after which a refused request is told to come back. Callers wait up to a
/// third of their time, 1.7 s of the longest objective; what comes later than that is not waited for.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_600);

/// As what an instance limits a workspace.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimiterRole {
    /// The workspace is its own, as far as it knows. `share` is the part of the known members that it
    /// sees alive: where a network falls into pieces, each piece has a limiter, and their shares add up
    /// to one. Without it two halves of a cut network had twice the limit.
    Primary { share: f64 },
    /// Another member's, whom somebody does not reach. It gives out a part of the margin only, so that
    /// the limit holds though the other may go on.
    Standby,
    /// Another member's, and this instance has started so lately that many may be taken for its deputy.
    /// It gives out nothing.
    Observer,
}

/// The limit of a workspace as one instance applies it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimiterParams {
    pub quota: QuotaLimit,
    pub bounds: QuotaBounds,
    pub role: LimiterRole,
}

impl LimiterRole {
    /// Whether the instance limits the workspace for all.
    pub fn is_primary(self) -> bool {
        matches!(self, Self::Primary { .. })
    }
}

impl LimiterParams {
    /// What is let in at once and a second.
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

    /// What new programs may need that have so many requests each: in a window as much as the limit
    /// holds there, and always some of them at once.
    fn program_bucket(&self, size: f64) -> BucketParams {
        let calls = self.call_bucket();
        BucketParams {
            rate: calls.rate * PROGRAM_RATE_SHARE,
            capacity: calls.capacity.max(MIN_PROGRAM_BURST * size),
        }
    }
}

/// What a request asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaRequest {
    /// Whether it is the first request of a program, which stands for all that follow.
    #[serde(rename = "opens")]
    pub is_first: bool,
}

/// How many requests a program has, learned from those that were let in.
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
        let kept = (-age.as_secs_f64() / PROGRAM_REQUESTS_DECAY.as_secs_f64()).exp();
        self.at = self.at.max(now);
        self.requests = self.requests * kept + 1.0;
        self.programs = self.programs * kept + f64::from(u8::from(is_first));
    }

    /// Takes back what was noted just now.
    fn retract(&mut self, is_first: bool) {
        self.requests = (self.requests - 1.0).max(0.0);
        self.programs = (self.programs - f64::from(u8::from(is_first))).max(0.0);
    }

    fn mean(&self) -> f64 {
        let requests = self.requests + PRIOR_PROGRAM_REQUESTS * PRIOR_PROGRAM_COUNT;
        (requests / (self.programs + PRIOR_PROGRAM_COUNT)).clamp(1.0, MAX_PROGRAM_REQUESTS)
    }
}

/// When the next refused request may come back: one after another, at the pace at which there is room,
/// so that they do not return together and find the bucket empty again.
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

/// Lets requests of one workspace in at its rate, and new programs at the rate at which all their
/// requests fit.
///
/// A program of seven turns and a dozen calls that is stopped in its midst has wasted all of them, so
/// its first turn is refused instead, and whatever is under way finds room.
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
    /// A limiter that has been responsible since a moment, and whose workspace has asked nothing.
    pub fn new(since: Instant, params: LimiterParams, now: Instant) -> Self {
        let size = ProgramSize::new(now);
        let mut calls = TokenBucket::new(0.0, since);
        calls.refill(params.call_bucket(), now);
        let mut programs = TokenBucket::new(0.0, since);
        programs.refill(params.program_bucket(size.mean()), now);
        let retries = RetryQueue { next: now };
        Self { calls, programs, size, call_retries: retries, program_retries: retries, refused: 0 }
    }

    /// Decides about a request. `by_program` tells whether first requests are held to what their
    /// programs need.
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
        if request.is_first && by_program && is_low && program_wait > MAX_PERMIT_DELAY {
            self.refused += 1;
            let step = programs.fill_time(size);
            let retry_after = self.program_retries.schedule(program_wait, step, now);
            return QuotaReply::Refused { retry_after };
        }
        let Some(after) = self.calls.take(1.0, calls, MAX_PERMIT_DELAY) else {
            self.refused += 1;
            // It was needed all the same: counted by what is let in alone, programs seem to need the
            // less the more of their calls are refused, and ever more of them are begun.
            if !request.is_first {
                self.size.observe(false, now);
            }
            let step = calls.fill_time(1.0);
            let retry_after = self.call_retries.schedule(self.calls.wait(1.0, calls), step, now);
            return QuotaReply::Refused { retry_after };
        };
        if request.is_first {
            self.programs.charge(size, programs);
        }
        self.size.observe(request.is_first, now);
        QuotaReply::Granted { after }
    }

    /// Takes back a place that was granted lately and not used.
    pub fn release(&mut self, request: QuotaRequest, params: LimiterParams) {
        // First of all it was never there, or less is put back than was charged.
        self.size.retract(request.is_first);
        self.calls.refund(1.0, params.call_bucket());
        if request.is_first {
            let size = self.size.mean();
            self.programs.refund(size, params.program_bucket(size));
        }
    }

    /// Empties the bucket; what waits for its place still runs and stays counted.
    pub fn drain(&mut self, now: Instant) {
        self.calls.drain(now);
        self.programs.drain(now);
    }

    /// Requests that may go on now; below zero where some wait.
    pub fn level(&self, params: LimiterParams, now: Instant) -> f64 {
        let mut calls = self.calls;
        calls.refill(params.call_bucket(), now);
        calls.level()
    }

    pub fn refused(&self) -> u64 {
        self.refused
    }
}
