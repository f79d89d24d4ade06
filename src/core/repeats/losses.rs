//! Remembers under which work upstreams were lost, over the attempts of its callers.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use derive_more::Display;
use tokio::time::Instant;

use super::attempts::WorkAttempts;
use super::{MAX_LOSSES, RequestFingerprint, UnprovenAttempt};
use crate::core::load::LoadKey;
use crate::core::routing::ServiceName;

/// Covers the retries of a caller and the time in which a program sends a failed turn again.
pub const LOSS_RETENTION: Duration = Duration::from_secs(60);
/// About 2 MB.
const MAX_RECORDS: usize = 4_096;
/// Covers the time after which the entry of a silent upstream is removed.
const WATCH_PERIOD: Duration = Duration::from_secs(20);
const MAX_WATCHED: usize = 1_024;
/// How long a caller is asked to stay away if nothing tells when an attempt in flight ends.
const IN_FLIGHT_DELAY: Duration = Duration::from_secs(1);

/// An attempt whose upstream may turn out to have ended.
#[derive(Debug, Clone)]
struct WatchedAttempt {
    fingerprint: RequestFingerprint,
    service: ServiceName,
    attempt: UnprovenAttempt,
}

#[derive(Debug, Clone)]
struct LossRecord {
    attempts: WorkAttempts,
    updated_at: Instant,
}

/// What is known of a work before an upstream gets it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WorkStanding {
    /// Upstreams that were lost one after the other.
    pub lost: usize,
    /// Attempts that may turn out to be losses.
    pub open: usize,
    /// Time until the next of them is settled, as far as it is known.
    pub settles_in: Option<Duration>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum WorkVerdict {
    #[display("allowed")]
    Allowed,
    /// It may be allowed after this time, when it is known how earlier attempts ended.
    #[display("waits {} ms", _0.as_millis())]
    Waits(Duration),
    #[display("stopped")]
    Stopped,
}

impl WorkStanding {
    pub fn verdict(&self) -> WorkVerdict {
        if self.lost >= MAX_LOSSES {
            WorkVerdict::Stopped
        } else if self.lost + self.open >= MAX_LOSSES {
            WorkVerdict::Waits(self.settles_in.unwrap_or(IN_FLIGHT_DELAY))
        } else {
            WorkVerdict::Allowed
        }
    }

    pub fn is_clean(&self) -> bool {
        self.lost + self.open == 0
    }
}

/// Attempts without proof by fingerprint; bounded in time and number.
#[derive(Debug, Default)]
pub struct LossTable {
    records: HashMap<RequestFingerprint, LossRecord>,
    watched: VecDeque<WatchedAttempt>,
}

impl LossTable {
    /// Returns the number of upstreams that were lost one after the other if the attempt raised it.
    pub fn record(
        &mut self,
        fingerprint: RequestFingerprint,
        attempt: UnprovenAttempt,
        now: Instant,
    ) -> Option<usize> {
        self.make_room(fingerprint, now);
        let record = self
            .records
            .entry(fingerprint)
            .or_insert(LossRecord { attempts: WorkAttempts::default(), updated_at: now });
        let before = record.attempts.lost();
        record.attempts.merge(attempt, now);
        record.updated_at = now;
        Some(record.attempts.lost()).filter(|count| *count > before)
    }

    fn make_room(&mut self, fingerprint: RequestFingerprint, now: Instant) {
        if self.records.len() < MAX_RECORDS || self.records.contains_key(&fingerprint) {
            return;
        }
        self.records.retain(|_, record| is_recent(record, now));
        // Records with one loss are the ones that a mass failure leaves behind, those without any the
        // ones that impatient callers do.
        let oldest = self
            .records
            .iter()
            .min_by_key(|(_, record)| (record.attempts.lost(), record.updated_at));
        let oldest = oldest.map(|(fingerprint, _)| *fingerprint);
        if self.records.len() >= MAX_RECORDS
            && let Some(oldest) = oldest
        {
            self.records.remove(&oldest);
        }
    }

    pub fn standing(&self, fingerprint: RequestFingerprint, now: Instant) -> WorkStanding {
        if self.records.is_empty() {
            return WorkStanding::default();
        }
        let record = self.records.get(&fingerprint).filter(|record| is_recent(record, now));
        let Some(record) = record else { return WorkStanding::default() };
        let attempts = &record.attempts;
        WorkStanding {
            lost: attempts.lost(),
            open: attempts.open(now),
            settles_in: attempts.settles_in(now),
        }
    }

    /// Upstreams that were lost one after the other under the fingerprint.
    pub fn count(&self, fingerprint: RequestFingerprint, now: Instant) -> usize {
        self.standing(fingerprint, now).lost
    }

    /// Time since the last attempt without proof under the fingerprint.
    pub fn age(&self, fingerprint: RequestFingerprint, now: Instant) -> Option<Duration> {
        let attempts = self.attempts(fingerprint).iter();
        attempts.map(|attempt| now.saturating_duration_since(attempt.ended_at)).min()
    }

    pub fn attempts(&self, fingerprint: RequestFingerprint) -> &[UnprovenAttempt] {
        self.records.get(&fingerprint).map_or(&[], |record| record.attempts.all())
    }

    /// The work with attempts that count, that with the most losses first.
    pub fn counted(&self, now: Instant) -> Vec<RequestFingerprint> {
        let recent = self.records.iter().filter(|(_, record)| is_recent(record, now));
        let mut counted: Vec<_> = recent
            .map(|(fingerprint, record)| {
                (record.attempts.lost(), record.attempts.open(now), *fingerprint)
            })
            .filter(|(lost, open, _)| lost + open > 0)
            .collect();
        counted.sort_by_key(|(lost, open, fingerprint)| {
            (std::cmp::Reverse((*lost, *open)), *fingerprint)
        });
        counted.into_iter().map(|(_, _, fingerprint)| fingerprint).collect()
    }

    /// Records that the work ended well at `proven_at`. Returns how many attempts that settles.
    pub fn prove(&mut self, fingerprint: RequestFingerprint, proven_at: Instant) -> usize {
        let record = self.records.get_mut(&fingerprint);
        record.map_or(0, |record| record.attempts.prove(proven_at))
    }

    /// Keeps an attempt that ended at `attempt.ended_at`, until its upstream is known to have ended or has
    /// lived on for a while.
    pub fn watch(
        &mut self,
        fingerprint: RequestFingerprint,
        service: ServiceName,
        attempt: UnprovenAttempt,
        now: Instant,
    ) {
        let is_old = |watched: &WatchedAttempt| {
            now.saturating_duration_since(watched.attempt.ended_at) >= WATCH_PERIOD
        };
        while self.watched.front().is_some_and(is_old) || self.watched.len() >= MAX_WATCHED {
            self.watched.pop_front();
        }
        self.watched.push_back(WatchedAttempt { fingerprint, service, attempt });
    }

    /// Counts the suspicions at upstreams that have ended since, also those of other instances, which may
    /// have ended too.
    pub fn confirm_ended(&mut self, ended: &[LoadKey]) {
        self.records.values_mut().for_each(|record| record.attempts.confirm_ended(ended));
    }

    /// Takes the watched attempts at upstreams that have ended since.
    pub fn take_ended(
        &mut self,
        ended: &[LoadKey],
        now: Instant,
    ) -> Vec<(RequestFingerprint, ServiceName, UnprovenAttempt)> {
        let (mut found, mut kept) = (Vec::new(), VecDeque::new());
        for watched in self.watched.drain(..) {
            let age = now.saturating_duration_since(watched.attempt.ended_at);
            match ended.contains(&watched.attempt.upstream) {
                true if age < WATCH_PERIOD => {
                    found.push((watched.fingerprint, watched.service, watched.attempt))
                }
                true => {}
                false => kept.push_back(watched),
            }
        }
        self.watched = kept;
        found
    }

    pub fn len(&self) -> usize {
        self.records.len()
    }

    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    pub fn contains(&self, fingerprint: RequestFingerprint) -> bool {
        self.records.contains_key(&fingerprint)
    }

    pub fn prune(&mut self, now: Instant) {
        self.records.retain(|_, record| is_recent(record, now));
    }
}

fn is_recent(record: &LossRecord, now: Instant) -> bool {
    now.saturating_duration_since(record.updated_at) < LOSS_RETENTION
}
