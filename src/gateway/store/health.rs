//! What is known of the ways to the store, from the answers of real calls.

use std::time::Duration;

use tokio::time::Instant;

use crate::gateway::latency::LatencyEstimate;
use crate::node::platform::StoreError;

/// Shortest and longest wait for an answer of the store beyond what it holds a call on purpose. It
/// answers within 4 to 10 ms, and within some 700 where it is slowed 60-fold.
const CALL_LIMIT_MIN: Duration = Duration::from_millis(1_200);
const CALL_LIMIT_MAX: Duration = Duration::from_millis(2_500);
/// The limit as a multiple of the usual answer time.
const LIMIT_FACTOR: f64 = 8.0;
/// Usual answer time above which the store counts as slow: calm days' median is some 14 ms, that of a
/// store slowed 50-fold 250 ms or more (measured).
const SLOW_LATENCY: Duration = Duration::from_millis(80);
/// Shortest and longest wait before the same call is also sent another way, and its multiple of the
/// usual answer time. All writes have conditions, so the second of two changes nothing; a lost
/// answer then costs some 100 ms instead of the whole limit.
///
/// A store that is slowed 60-fold takes 600 ms for a write. With a longest wait of 600 ms each write went
/// out twice and more, which slowed it further: with 2 s worth 0.693 to 0.752 on such a day (mean of three
/// seeds; 0.329 to 0.345 under objectives so tight that nearly all is late, which is chance).
const HEDGE_DELAY_MIN: Duration = Duration::from_millis(100);
const HEDGE_DELAY_MAX: Duration = Duration::from_secs(2);
const HEDGE_FACTOR: f64 = 4.0;
/// Share of the newest answer time in the usual one: about the last four count.
const LATENCY_SHARE: f64 = 0.25;
/// A part refuses writes when more than a second of them waits (429). If the store has answered others
/// within that time, it is there: taken for an outage, one busy part sent every call of an instance
/// the long way or refused all its turns for a quarter of a second.
/// Busy instances make 50 calls a second and more, so half of them refused still leaves one answered
/// in any 40 ms or so.
const OVER_RATE_DOUBT: Duration = Duration::from_millis(300);
/// What is known of the ways to the store.
#[derive(Debug, Clone, Copy)]
pub(super) struct StoreHealth {
    latency: LatencyEstimate,
    /// Since when no way has worked.
    lost: Option<Instant>,
    /// When a call failed on the direct way, unless one has succeeded since.
    direct_failed: Option<Instant>,
    direct_answered: Option<Instant>,
    /// When any way last brought an answer.
    answered: Option<Instant>,
    /// When a call was last refused for its rate.
    over_rate: Option<Instant>,
}

impl Default for StoreHealth {
    fn default() -> Self {
        Self {
            latency: LatencyEstimate::new(LATENCY_SHARE),
            lost: None,
            direct_failed: None,
            direct_answered: None,
            answered: None,
            over_rate: None,
        }
    }
}

impl StoreHealth {
    /// How long a call may take beyond what the store holds it on purpose.
    pub(super) fn limit(&self) -> Duration {
        self.latency.scaled(LIMIT_FACTOR, CALL_LIMIT_MIN, CALL_LIMIT_MAX)
    }

    /// How long a call waits on one way before it also takes the next.
    pub(super) fn hedge_delay(&self) -> Duration {
        self.latency.scaled(HEDGE_FACTOR, HEDGE_DELAY_MIN, HEDGE_DELAY_MAX)
    }

    /// Whether the store answers far more slowly than it usually does.
    pub(super) fn is_slow(&self) -> bool {
        self.latency.mean() > SLOW_LATENCY
    }

    /// Since when no way has worked.
    pub(super) fn lost(&self) -> Option<Instant> {
        self.lost
    }

    /// Whether the last direct call failed.
    pub(super) fn is_direct_lost(&self) -> bool {
        self.direct_failed.is_some()
    }

    /// How long calls have had to go by peers, if one of those has answered meanwhile.
    pub(super) fn relayed(&self) -> Option<Duration> {
        let since = self.direct_failed?;
        let answered = self.answered.is_some_and(|at| at >= since);
        (answered && self.lost.is_none()).then(|| since.elapsed())
    }

    /// A way other than the direct one brought an answer.
    pub(super) fn answered(&mut self) {
        self.answered = Some(Instant::now());
    }

    /// The direct way brought an answer to a call that began then. A held call's time tells only how
    /// long nothing changed.
    pub(super) fn direct_answered(&mut self, begun: Instant, held: bool) {
        self.answered();
        self.direct_answered = Some(Instant::now());
        if !held {
            self.latency.record_since(begun);
        }
        if self.direct_failed.take().is_some() {
            log::info!("event=dependency_regained dependency=store way=direct");
        }
    }

    /// A direct call that began then failed. If another one was answered meanwhile, it was this one's
    /// bad luck: taken for an outage, each lost answer would send all calls the long way for a while.
    pub(super) fn direct_failed(&mut self, begun: Instant, error: &StoreError) {
        let answered = self.direct_answered.is_some_and(|at| at >= begun);
        if answered || self.direct_failed.is_some() {
            return;
        }
        self.direct_failed = Some(Instant::now());
        log::warn!("event=dependency_lost dependency=store way=direct error=\"{error}\"");
    }

    /// A direct call that began then was refused for its rate. A store that turns an instance away may
    /// say so too, but then it answers none of its calls.
    pub(super) fn refused_for_rate(&mut self, begun: Instant) {
        self.over_rate = Some(Instant::now());
        if !self.is_over_rate() {
            self.direct_failed(begun, &StoreError::Unavailable);
        }
    }

    /// Whether only some writes are refused, for their rate.
    pub(super) fn is_over_rate(&self) -> bool {
        let lately = |at: Option<Instant>| at.is_some_and(|at| at.elapsed() < OVER_RATE_DOUBT);
        lately(self.over_rate) && lately(self.direct_answered)
    }

    /// No way brought an answer to a call that began then; true if the store counts as away from now
    /// on.
    pub(super) fn failed(&mut self, begun: Instant) -> bool {
        let answered = self.answered.is_some_and(|at| at >= begun);
        if answered || self.lost.is_some() || self.is_over_rate() {
            return false;
        }
        self.lost = Some(Instant::now());
        log::warn!("event=dependency_lost dependency=store way=any");
        true
    }

    /// The store was found again; since when it had been away.
    pub(super) fn returned(&mut self) -> Option<Instant> {
        self.lost.take()
    }
}
