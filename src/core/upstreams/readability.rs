//! Whether the store can be read, for the time by which removals of upstreams are deferred.

use std::time::Duration;

use tokio::time::Instant;

/// Upstreams rewrite entries that expired in an outage within about 2 s of the recovery. The rest
/// is for the change feed to deliver them.
const RECOVERY_GRACE: Duration = Duration::from_millis(2_300);

/// Periods in which the store could be read over any path.
#[derive(Debug, Default)]
pub(super) struct StoreReadability {
    unreadable_since: Option<Instant>,
    recovered_at: Option<Instant>,
    /// Total length of the outages that have ended.
    unreadable_time: Duration,
    origin: Option<Instant>,
}

impl StoreReadability {
    pub(super) fn set(&mut self, readable: bool, now: Instant) {
        match (readable, self.unreadable_since) {
            (true, Some(since)) => {
                self.unreadable_time += now.saturating_duration_since(since);
                self.unreadable_since = None;
                self.recovered_at = Some(now);
            }
            (false, None) => {
                self.origin.get_or_insert(now);
                self.unreadable_since = Some(now);
            }
            (true, None) | (false, Some(_)) => {}
        }
    }

    pub(super) fn record_recovery(&mut self, at: Instant) {
        self.origin.get_or_insert(at);
        self.recovered_at = self.recovered_at.max(Some(at));
    }

    /// Returns `None` unless the recovery was recent.
    pub(super) fn time_since_recovery(&self, now: Instant) -> Option<Duration> {
        let elapsed = self.recovered_at.map(|recovered| now.saturating_duration_since(recovered));
        elapsed.filter(|elapsed| *elapsed < RECOVERY_GRACE)
    }

    /// Time of readability by which a removal is deferred; `None` if it takes effect at once.
    pub(super) fn grace(&self, now: Instant) -> Option<Duration> {
        if self.unreadable_since.is_some() {
            return Some(RECOVERY_GRACE);
        }
        self.time_since_recovery(now).map(|elapsed| RECOVERY_GRACE - elapsed)
    }

    /// Total time of readability, from an arbitrary origin. It stands still in an outage.
    pub(super) fn total(&self, now: Instant) -> Duration {
        let Some(origin) = self.origin else { return Duration::ZERO };
        let until = self.unreadable_since.unwrap_or(now);
        until.saturating_duration_since(origin).saturating_sub(self.unreadable_time)
    }
}
