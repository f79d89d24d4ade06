//! The attempts of a work that brought no proof that it ended well.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::core::load::LoadKey;

/// Drawn at random for each attempt. The id of an upstream does not identify a loss: one that restarts
/// keeps it, and the list tells the restart late.
pub type AttemptKey = u64;

/// Covers three heartbeats, after which the entry of a silent upstream is removed, and the delay of the
/// list.
pub(super) const SUSPICION_PERIOD: Duration = Duration::from_millis(4_500);
/// Covers the different delays of the reports of two instances.
const OVERLAP_TOLERANCE: Duration = Duration::from_millis(100);
/// A fault that takes several upstreams, such as that of a rack, ends them within this time.
const SHARED_FAULT_WINDOW: Duration = Duration::from_millis(300);
/// Some of the losses may overlap and count once.
const MAX_ATTEMPTS_KEPT: usize = 12;

/// What is known of an attempt; a later state replaces an earlier one wherever both are known.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Display,
)]
pub enum AttemptState {
    /// Sent again after a loss. Remains if the instance that sent it ends.
    #[display("in_flight")]
    InFlight,
    /// It did not run, or its upstream answered.
    #[display("harmless")]
    Harmless,
    /// Given up without an answer; its upstream may have ended silently.
    #[display("suspected")]
    Suspected,
    #[display("lost")]
    Lost,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnprovenAttempt {
    pub key: AttemptKey,
    /// Identifies the incarnation, as far as the list told it.
    pub upstream: LoadKey,
    pub state: AttemptState,
    pub sent_at: Instant,
    /// While in flight, the time at which it was sent.
    pub ended_at: Instant,
}

impl UnprovenAttempt {
    /// Whether it counts beside the losses.
    fn is_open(&self, now: Instant) -> bool {
        match self.state {
            AttemptState::InFlight => true,
            AttemptState::Suspected => !self.suspicion_left(now).is_zero(),
            AttemptState::Harmless | AttemptState::Lost => false,
        }
    }

    fn suspicion_left(&self, now: Instant) -> Duration {
        SUSPICION_PERIOD.saturating_sub(now.saturating_duration_since(self.ended_at))
    }

    fn is_lost(&self) -> bool {
        self.state == AttemptState::Lost
    }
}

/// Upstreams that were lost one after the other. Where a fault takes several upstreams at once, it may
/// take all requests that ask for the same; that says nothing against the request.
fn count_successive<'a>(attempts: impl IntoIterator<Item = &'a UnprovenAttempt>) -> usize {
    let mut lost: Vec<_> = attempts.into_iter().filter(|attempt| attempt.is_lost()).collect();
    lost.sort_by_key(|attempt| (attempt.ended_at, attempt.key));
    let (mut count, mut last_end): (usize, Option<Instant>) = (0, None);
    for attempt in lost {
        let is_shared = last_end.is_some_and(|last| {
            attempt.sent_at + OVERLAP_TOLERANCE < last
                && attempt.ended_at < last + SHARED_FAULT_WINDOW
        });
        if !is_shared {
            count += 1;
            last_end = Some(attempt.ended_at);
        }
    }
    count
}

/// The attempts of one work, and the last proof that it ended well.
#[derive(Debug, Clone, Default)]
pub(super) struct WorkAttempts {
    attempts: Vec<UnprovenAttempt>,
    proven_at: Option<Instant>,
}

impl WorkAttempts {
    pub(super) fn lost(&self) -> usize {
        count_successive(&self.attempts)
    }

    /// Attempts that may turn out to be losses.
    pub(super) fn open(&self, now: Instant) -> usize {
        self.attempts.iter().filter(|attempt| attempt.is_open(now)).count()
    }

    /// Time until the next suspicion is settled; `None` without any.
    pub(super) fn settles_in(&self, now: Instant) -> Option<Duration> {
        let suspected =
            self.attempts.iter().filter(|attempt| attempt.state == AttemptState::Suspected);
        let left = suspected.map(|attempt| attempt.suspicion_left(now));
        left.filter(|left| !left.is_zero()).min()
    }

    pub(super) fn all(&self) -> &[UnprovenAttempt] {
        &self.attempts
    }

    /// Keeps what is later of the known and the new state. Ignores what a proof has settled, so that a
    /// late report does not bring it back.
    pub(super) fn merge(&mut self, attempt: UnprovenAttempt, now: Instant) {
        if self.proven_at.is_some_and(|proven_at| attempt.ended_at <= proven_at) {
            return;
        }
        match self.attempts.iter_mut().find(|known| known.key == attempt.key) {
            Some(known) if known.state < attempt.state => *known = attempt,
            Some(_) => {}
            None => {
                self.attempts.push(attempt);
                self.make_room(now);
            }
        }
    }

    fn make_room(&mut self, now: Instant) {
        if self.attempts.len() <= MAX_ATTEMPTS_KEPT {
            return;
        }
        let is_settled = |attempt: &UnprovenAttempt| !attempt.is_lost() && !attempt.is_open(now);
        let count = self.lost();
        let is_redundant = |position: usize| {
            let others = self.attempts.iter().enumerate();
            let others = others.filter(|(at, _)| *at != position).map(|(_, attempt)| attempt);
            self.attempts[position].is_lost() && count_successive(others) == count
        };
        let settled = self.attempts.iter().position(is_settled);
        let redundant = (0..self.attempts.len()).find(|position| is_redundant(*position));
        let open = self.attempts.iter().position(|attempt| !attempt.is_lost());
        self.attempts.remove(settled.or(redundant).or(open).unwrap_or(MAX_ATTEMPTS_KEPT));
    }

    /// Suspicions at upstreams that have ended become losses.
    pub(super) fn confirm_ended(&mut self, ended: &[LoadKey]) {
        let suspected =
            self.attempts.iter_mut().filter(|attempt| attempt.state == AttemptState::Suspected);
        let confirmed = suspected.filter(|attempt| ended.contains(&attempt.upstream));
        confirmed.for_each(|attempt| attempt.state = AttemptState::Lost);
    }

    /// Drops the attempts that ended before the proof. Returns how many there were.
    pub(super) fn prove(&mut self, proven_at: Instant) -> usize {
        let before = self.attempts.len();
        self.attempts.retain(|attempt| attempt.ended_at > proven_at);
        self.proven_at = self.proven_at.max(Some(proven_at));
        before - self.attempts.len()
    }
}
