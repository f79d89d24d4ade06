//! Decides when an instance reports its own load, and applies the summaries that it gets.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use super::message::{LoadCounts, LoadList, LoadReport, LoadSequence, SummaryBody, first_sequence};
use super::view::LoadView;
use super::{LoadKey, UpstreamLoad};
use crate::core::ids::{Incarnation, InstanceId};

/// Bounds the datagrams of a busy instance.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(50);
/// Three reports may be lost before the aggregator drops the last one.
const MAX_REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Interval while the aggregator has no totals to send: the reports still must not expire there.
const OVERSIZED_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a summary after which the second-ranked aggregator gets the reports too.
const AGGREGATOR_TIMEOUT: Duration = Duration::from_millis(250);
/// Summaries without totals come at longer intervals.
const OVERSIZED_TIMEOUT: Duration = Duration::from_millis(1_100);
/// Covers the time for which aggregators keep a report and a round.
const HISTORY_AGE: Duration = Duration::from_secs(1);

/// The aggregators of an instance, in the order of their rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AggregatorRank {
    First,
    Second,
}

#[derive(Debug)]
struct SentReport {
    sequence: LoadSequence,
    sent_at: Instant,
    loads: LoadList,
}

/// The newest summary of an aggregator.
#[derive(Debug)]
struct LastRound {
    aggregator: Box<str>,
    number: LoadSequence,
    received_at: Instant,
}

#[derive(Debug)]
pub struct LoadReporter {
    sequence: LoadSequence,
    last_report: Option<Instant>,
    is_changed: bool,
    /// Nothing is in flight, and the last report said so.
    is_idle: bool,
    /// When the current period of reports began.
    active_since: Option<Instant>,
    first_summary_at: Option<Instant>,
    /// The first aggregator has too many upstreams to send totals.
    is_oversized: bool,
    history: VecDeque<SentReport>,
    rounds: Vec<LastRound>,
}

impl LoadReporter {
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            sequence: first_sequence(incarnation),
            last_report: None,
            is_changed: false,
            is_idle: true,
            active_since: None,
            first_summary_at: None,
            is_oversized: false,
            history: VecDeque::new(),
            rounds: Vec::new(),
        }
    }

    /// Records that own counts changed; true if no change was pending.
    pub fn record_change(&mut self) -> bool {
        !std::mem::replace(&mut self.is_changed, true)
    }

    pub fn is_idle(&self) -> bool {
        self.is_idle && !self.is_changed
    }

    /// When the next report is due; `None` while nothing is in flight.
    pub fn due(&self, now: Instant) -> Option<Instant> {
        if self.is_idle() {
            return None;
        }
        let interval = match (self.is_oversized && !self.uses_second(now), self.is_changed) {
            (true, _) => OVERSIZED_INTERVAL,
            (false, true) => MIN_REPORT_INTERVAL,
            (false, false) => MAX_REPORT_INTERVAL,
        };
        Some(self.last_report.map_or(now, |last| last + interval))
    }

    /// The report that is due now.
    pub fn report(
        &mut self,
        view: &LoadView,
        sender: &InstanceId,
        incarnation: Incarnation,
        now: Instant,
    ) -> LoadReport {
        self.begin(view, now);
        self.sequence = self.sequence.wrapping_add(1).max(1);
        let loads = LoadList::new(view.own_counts());
        self.history.retain(|sent| now.saturating_duration_since(sent.sent_at) < HISTORY_AGE);
        let sent = SentReport { sequence: self.sequence, sent_at: now, loads: loads.clone() };
        self.history.push_back(sent);
        LoadReport { sender: sender.clone(), incarnation, sequence: self.sequence, loads }
    }

    /// Replaces a report at the aggregator itself, which reads its own counts directly.
    pub fn skip_report(&mut self, view: &LoadView, now: Instant) {
        self.begin(view, now);
    }

    fn begin(&mut self, view: &LoadView, now: Instant) {
        if self.is_idle {
            self.active_since = Some(now);
        }
        self.is_changed = false;
        self.is_idle = view.own_counts().next().is_none();
        self.last_report = Some(now);
    }

    /// Called when another member becomes the first aggregator.
    pub fn change_aggregator(&mut self, now: Instant) {
        self.active_since = Some(now);
        self.first_summary_at = None;
        self.is_oversized = false;
    }

    /// True if the first aggregator does not answer.
    pub fn uses_second(&self, now: Instant) -> bool {
        let since = self.active_since.max(self.first_summary_at);
        let timeout = if self.is_oversized { OVERSIZED_TIMEOUT } else { AGGREGATOR_TIMEOUT };
        since.is_some_and(|since| now.saturating_duration_since(since) >= timeout)
    }

    /// False shortly after an idle period, when no summary can have arrived.
    pub fn expects_totals(&self, now: Instant) -> bool {
        self.is_oversized || self.uses_second(now)
    }

    /// Applies a summary to the view; false if it is repeated, out of order, or not needed.
    pub fn receive(
        &mut self,
        (from, rank): (&str, AggregatorRank),
        acknowledged: LoadSequence,
        body: &SummaryBody,
        view: &mut LoadView,
        now: Instant,
    ) -> bool {
        if !self.is_next_round(from, body.number, now) {
            return false;
        }
        match rank {
            AggregatorRank::First => {
                self.first_summary_at = Some(now);
                self.is_oversized = body.loads.is_none();
            }
            // It may know only the few instances that do not reach the first one.
            AggregatorRank::Second if !self.uses_second(now) => return false,
            AggregatorRank::Second => {}
        }
        let Some(loads) = &body.loads else { return false };
        // The totals include a report whose counts are unknown by now.
        let Some(sent) = self.history.iter().find(|sent| sent.sequence == acknowledged) else {
            return false;
        };
        view.set_others(subtract(loads, sent.loads.iter()), now);
        true
    }

    /// Applies a round that this instance made itself; false if it is not needed.
    pub fn apply_own_round(
        &self,
        rank: AggregatorRank,
        body: &SummaryBody,
        view: &mut LoadView,
        now: Instant,
    ) -> bool {
        if rank == AggregatorRank::Second && !self.uses_second(now) {
            return false;
        }
        let Some(loads) = &body.loads else { return false };
        let others = subtract(loads, view.own_counts());
        view.set_others(others, now);
        true
    }

    fn is_next_round(&mut self, from: &str, number: LoadSequence, now: Instant) -> bool {
        // An aggregator whose clock was set back may restart with lower numbers.
        self.rounds.retain(|last| now.saturating_duration_since(last.received_at) < HISTORY_AGE);
        match self.rounds.iter_mut().find(|last| *last.aggregator == *from) {
            Some(last) if number <= last.number => return false,
            Some(last) => (last.number, last.received_at) = (number, now),
            None => {
                self.rounds.push(LastRound { aggregator: from.into(), number, received_at: now });
            }
        }
        true
    }
}

fn subtract(
    totals: &LoadList,
    own: impl IntoIterator<Item = (LoadKey, UpstreamLoad)>,
) -> LoadCounts {
    let mut others: LoadCounts = totals.iter().collect();
    for (key, load) in own {
        if let Some(other) = others.get_mut(&key) {
            other.subtract(load);
        }
    }
    others
}
