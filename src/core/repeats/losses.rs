//! Remembers under which requests upstreams were lost, over the attempts of their callers.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use tokio::time::Instant;

use super::{MAX_LOSSES, RequestFingerprint};
use crate::core::load::LoadKey;
use crate::core::routing::ServiceName;

/// Covers the retries of a caller and the time in which a program sends a failed turn again.
const LOSS_RETENTION: Duration = Duration::from_secs(60);
/// About 1 MB.
const MAX_RECORDS: usize = 4_096;
/// Some of a record's losses may overlap and count once.
const MAX_LOSSES_KEPT: usize = 2 * MAX_LOSSES;
/// Covers the different delays of the reports of two instances.
const OVERLAP_TOLERANCE: Duration = Duration::from_millis(100);
/// Covers the time after which the entry of a silent upstream is removed.
const WATCH_PERIOD: Duration = Duration::from_secs(10);
const MAX_WATCHED: usize = 1_024;

/// An attempt that got no complete answer because its upstream was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamLoss {
    /// Identifies the incarnation.
    pub upstream: LoadKey,
    pub sent_at: Instant,
    pub lost_at: Instant,
}

/// An attempt that was given up without an answer; its upstream may turn out to have ended.
#[derive(Debug, Clone)]
struct WatchedAttempt {
    fingerprint: RequestFingerprint,
    service: ServiceName,
    loss: UpstreamLoss,
}

#[derive(Debug, Clone)]
struct LossRecord {
    losses: Vec<UpstreamLoss>,
    updated_at: Instant,
}

impl LossRecord {
    fn count(&self) -> usize {
        count_successive(&self.losses)
    }

    /// Drops a loss that overlaps others where there are too many.
    fn push(&mut self, loss: UpstreamLoss) {
        self.losses.push(loss);
        if self.losses.len() <= MAX_LOSSES_KEPT {
            return;
        }
        let count = self.count();
        let without = |position: usize| {
            let mut rest = self.losses.clone();
            rest.remove(position);
            rest
        };
        let all = 0..self.losses.len();
        let redundant = all.clone().find(|at| count_successive(&without(*at)) == count);
        self.losses = without(redundant.unwrap_or(all.end - 1));
    }
}

/// Upstreams that were lost one after the other. Where a fault takes several upstreams at once, it may
/// take all requests that ask for the same; that says nothing against the request.
fn count_successive(losses: &[UpstreamLoss]) -> usize {
    let mut sorted = losses.to_vec();
    sorted.sort_by_key(|loss| loss.lost_at);
    let (mut count, mut last_lost): (usize, Option<Instant>) = (0, None);
    for loss in sorted {
        if last_lost.is_none_or(|lost_at| loss.sent_at + OVERLAP_TOLERANCE >= lost_at) {
            count += 1;
            last_lost = Some(loss.lost_at);
        }
    }
    count
}

/// Losses by fingerprint; bounded in time and number.
#[derive(Debug, Default)]
pub struct LossTable {
    records: HashMap<RequestFingerprint, LossRecord>,
    watched: VecDeque<WatchedAttempt>,
}

impl LossTable {
    /// Returns the number of upstreams that were lost one after the other if the loss raised it.
    pub fn record(
        &mut self,
        fingerprint: RequestFingerprint,
        loss: UpstreamLoss,
        now: Instant,
    ) -> Option<usize> {
        self.make_room(fingerprint, now);
        let record = self
            .records
            .entry(fingerprint)
            .or_insert(LossRecord { losses: Vec::new(), updated_at: now });
        let is_known = record.losses.iter().any(|known| known.upstream == loss.upstream);
        if is_known {
            return None;
        }
        let before = record.count();
        record.push(loss);
        record.updated_at = now;
        Some(record.count()).filter(|count| *count > before)
    }

    fn make_room(&mut self, fingerprint: RequestFingerprint, now: Instant) {
        if self.records.len() < MAX_RECORDS || self.records.contains_key(&fingerprint) {
            return;
        }
        self.records.retain(|_, record| is_recent(record, now));
        // Records with one loss are the ones that a mass failure leaves behind.
        let oldest =
            self.records.iter().min_by_key(|(_, record)| (record.count(), record.updated_at));
        let oldest = oldest.map(|(fingerprint, _)| *fingerprint);
        if self.records.len() >= MAX_RECORDS
            && let Some(oldest) = oldest
        {
            self.records.remove(&oldest);
        }
    }

    /// Upstreams that were lost one after the other under the fingerprint.
    pub fn count(&self, fingerprint: RequestFingerprint, now: Instant) -> usize {
        if self.records.is_empty() {
            return 0;
        }
        let record = self.records.get(&fingerprint).filter(|record| is_recent(record, now));
        record.map_or(0, LossRecord::count)
    }

    /// Time since the last loss under the fingerprint.
    pub fn age(&self, fingerprint: RequestFingerprint, now: Instant) -> Option<Duration> {
        let losses = self.records.get(&fingerprint)?.losses.iter();
        losses.map(|loss| now.saturating_duration_since(loss.lost_at)).min()
    }

    pub fn losses(&self, fingerprint: RequestFingerprint) -> &[UpstreamLoss] {
        self.records.get(&fingerprint).map_or(&[], |record| &record.losses)
    }

    /// Forgets the losses of a request that was answered. Returns how many there were.
    pub fn clear(&mut self, fingerprint: RequestFingerprint) -> usize {
        if self.records.is_empty() {
            return 0;
        }
        self.records.remove(&fingerprint).map_or(0, |record| record.count())
    }

    /// Keeps an attempt that was given up at `loss.lost_at`, until its upstream is known to have ended
    /// or has lived on for a while.
    pub fn watch(
        &mut self,
        fingerprint: RequestFingerprint,
        service: ServiceName,
        loss: UpstreamLoss,
        now: Instant,
    ) {
        let is_old = |watched: &WatchedAttempt| {
            now.saturating_duration_since(watched.loss.lost_at) >= WATCH_PERIOD
        };
        while self.watched.front().is_some_and(is_old) || self.watched.len() >= MAX_WATCHED {
            self.watched.pop_front();
        }
        self.watched.push_back(WatchedAttempt { fingerprint, service, loss });
    }

    /// Takes the attempts that were given up at upstreams that have ended since.
    pub fn take_ended(
        &mut self,
        ended: &[LoadKey],
        now: Instant,
    ) -> Vec<(RequestFingerprint, ServiceName, UpstreamLoss)> {
        let (mut found, mut kept) = (Vec::new(), VecDeque::new());
        for watched in self.watched.drain(..) {
            let age = now.saturating_duration_since(watched.loss.lost_at);
            match ended.contains(&watched.loss.upstream) {
                true if age < WATCH_PERIOD => {
                    found.push((watched.fingerprint, watched.service, watched.loss))
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

    pub fn prune(&mut self, now: Instant) {
        self.records.retain(|_, record| is_recent(record, now));
    }
}

fn is_recent(record: &LossRecord, now: Instant) -> bool {
    now.saturating_duration_since(record.updated_at) < LOSS_RETENTION
}
