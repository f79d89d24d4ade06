//! Sums the reports of a zone's instances and the sums of the other zones.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use super::message::{
    LoadCounts, LoadList, LoadMessage, LoadReport, LoadSequence, SummaryBody, ZoneLoad,
    first_sequence,
};
use super::view::LoadView;
use crate::core::ids::{Incarnation, InstanceId};

/// Covers two lost reports; counts that are older say little.
pub(super) const REPORT_RETENTION: Duration = Duration::from_millis(750);
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(50);
/// With longer intervals the views of the recipients would be stale between summaries.
const MAX_ROUND_INTERVAL: Duration = Duration::from_millis(200);
/// Interval of summaries without totals.
const OVERSIZED_INTERVAL: Duration = Duration::from_millis(500);
/// Limit of the datagrams to one recipient.
const MAX_BYTES_PER_SECOND: f64 = 4096.0;
/// Instances that one zone can have; a larger number in a datagram is wrong.
const MAX_ZONE_REPORTERS: u32 = 65_535;
/// Bytes of a summary in addition to its body.
const SUMMARY_HEADER: usize = 6;

#[derive(Debug)]
struct HeldReport {
    address: Box<str>,
    incarnation: Incarnation,
    sequence: LoadSequence,
    received_at: Instant,
    loads: LoadList,
}

#[derive(Debug)]
struct HeldZone {
    address: Box<str>,
    number: LoadSequence,
    received_at: Instant,
    reporters: u32,
    loads: Option<LoadList>,
}

/// Totals or a zone's sum, of which the larger one decides whether both are sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TotalsSize {
    pub is_oversized: bool,
    pub upstreams: usize,
    pub bytes: usize,
}

/// What an aggregator sends at a time.
#[derive(Debug)]
pub struct LoadRound {
    /// Addresses, and the reports of theirs that are included.
    pub recipients: Vec<(Box<str>, LoadSequence)>,
    pub body: SummaryBody,
    /// The body as [`encode_summary`](super::encode_summary) takes it.
    pub encoded_body: Vec<u8>,
    /// Datagram for the aggregators of the other zones.
    pub zone_datagram: Vec<u8>,
    /// Aggregators of other zones that sent their sums. Some may replace the one that is expected.
    pub zone_senders: Vec<Box<str>>,
    /// Set in the first round with totals that do not fit, and in the first one that fits again.
    pub size_change: Option<TotalsSize>,
}

/// Identity under which an aggregator sends its zone's sum.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadSender {
    pub instance: InstanceId,
    pub zone: Box<str>,
}

#[derive(Debug)]
pub struct LoadAggregator {
    reports: HashMap<InstanceId, HeldReport>,
    /// By zone and sender. A zone has two senders while its aggregator changes.
    zones: HashMap<(Box<str>, InstanceId), HeldZone>,
    number: LoadSequence,
    last_round: Option<Instant>,
    interval: Duration,
    /// The last round had counts of this zone.
    has_counts: bool,
    /// The counts of the last round did not fit.
    is_oversized: bool,
    /// Bounds the reports and the sums that are kept.
    max_senders: usize,
}

impl LoadAggregator {
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            reports: HashMap::new(),
            zones: HashMap::new(),
            number: first_sequence(incarnation),
            last_round: None,
            interval: MIN_ROUND_INTERVAL,
            has_counts: false,
            is_oversized: false,
            max_senders: usize::MAX,
        }
    }

    pub fn reporters(&self) -> usize {
        self.reports.len()
    }

    /// Forged senders must not take more memory than the members of the deployment.
    pub fn limit_senders(&mut self, members: usize) {
        self.max_senders = members;
    }

    /// False if a newer report of the sender is known, or too many other senders.
    pub fn receive_report(&mut self, from: &str, report: LoadReport, now: Instant) -> bool {
        let LoadReport { sender, incarnation, sequence, loads } = report;
        let held = self.reports.get(&sender).filter(|held| is_recent(held.received_at, now));
        if held.is_some_and(|held| (held.incarnation, held.sequence) >= (incarnation, sequence)) {
            return false;
        }
        if !self.reports.contains_key(&sender) {
            self.reports.retain(|_, held| is_recent(held.received_at, now));
            if self.reports.len() >= self.max_senders {
                return false;
            }
        }
        let address = from.into();
        let held = HeldReport { address, incarnation, sequence, received_at: now, loads };
        self.reports.insert(sender, held);
        true
    }

    /// False if a newer sum of the sender is known, or too many other senders.
    pub fn receive_zone(&mut self, from: &str, load: ZoneLoad, now: Instant) -> bool {
        let ZoneLoad { zone, sender, number, reporters, loads } = load;
        let key = (zone, sender);
        let held = self.zones.get(&key).filter(|held| is_recent(held.received_at, now));
        if held.is_some_and(|held| held.number >= number) {
            return false;
        }
        if !self.zones.contains_key(&key) {
            self.zones.retain(|_, held| is_recent(held.received_at, now));
            if self.zones.len() >= self.max_senders {
                return false;
            }
        }
        let address = from.into();
        let reporters = reporters.min(MAX_ZONE_REPORTERS);
        self.zones.insert(key, HeldZone { address, number, received_at: now, reporters, loads });
        true
    }

    /// Sums of other zones that are kept.
    pub fn zone_sums(&self) -> usize {
        self.zones.len()
    }

    /// Drops all reports, which may be outdated after a pause of the process.
    pub fn reset(&mut self) {
        self.reports.clear();
        self.zones.clear();
    }

    /// When the next round is due; `None` while there is nothing to sum. `replies_to_me` if this
    /// instance is its own aggregator; `is_idle` if it has no attempts in flight.
    pub fn due(&self, replies_to_me: bool, is_idle: bool, now: Instant) -> Option<Instant> {
        // After its last attempt, one more round tells the other zones.
        let counts_own = replies_to_me && (!is_idle || self.has_counts);
        let needed = counts_own || !self.reports.is_empty();
        needed.then(|| self.last_round.map_or(now, |last| last + self.interval))
    }

    /// Sums what is known now, with this instance's own counts.
    pub fn round(&mut self, own: &LoadView, me: &LoadSender, now: Instant) -> LoadRound {
        self.reports.retain(|_, held| is_recent(held.received_at, now));
        self.zones.retain(|_, held| is_recent(held.received_at, now));
        self.number = self.number.wrapping_add(1);
        self.last_round = Some(now);
        let mut counts: LoadCounts = own.own_counts().collect();
        self.reports.values().for_each(|held| held.loads.add_to(&mut counts));
        self.has_counts = !counts.is_empty();
        let reporters = self.reports.len() as u32 + 1;
        let zone_loads = LoadList::new(counts.iter().map(|(key, load)| (*key, *load)));
        let zone = ZoneLoad {
            zone: me.zone.clone(),
            sender: me.instance.clone(),
            number: self.number,
            reporters,
            loads: Some(zone_loads),
        };
        let body = self.total(counts, reporters, &me.zone);
        let recipients = self.reports.values().map(|held| (held.address.clone(), held.sequence));
        let recipients = recipients.collect();
        self.limit_size(recipients, body, zone)
    }

    fn total(&self, mut counts: LoadCounts, mut reporters: u32, my_zone: &str) -> SummaryBody {
        let mut is_complete = true;
        for held in self.other_zones(my_zone) {
            reporters = reporters.saturating_add(held.reporters);
            match &held.loads {
                Some(loads) => loads.add_to(&mut counts),
                None => is_complete = false,
            }
        }
        let loads = is_complete.then(|| LoadList::new(counts));
        SummaryBody { number: self.number, reporters, loads }
    }

    /// One sum for each other zone. Of two senders the one that more instances report to is right.
    fn other_zones(&self, my_zone: &str) -> impl Iterator<Item = &HeldZone> {
        let mut best: HashMap<&str, &HeldZone> = HashMap::new();
        for ((zone, _), held) in self.zones.iter().filter(|((zone, _), _)| **zone != *my_zone) {
            let known = best.entry(zone).or_insert(held);
            if (held.reporters, held.received_at) > (known.reporters, known.received_at) {
                *known = held;
            }
        }
        best.into_values()
    }

    /// Sets the interval, and omits totals that cannot be sent while they are fresh.
    fn limit_size(
        &mut self,
        recipients: Vec<(Box<str>, LoadSequence)>,
        mut body: SummaryBody,
        mut zone: ZoneLoad,
    ) -> LoadRound {
        let mut zone_datagram = LoadMessage::Zone(zone.clone()).encode();
        let mut encoded_body = body.encode();
        let zone_interval = interval_of(zone_datagram.len());
        let interval = zone_interval.max(interval_of(encoded_body.len() + SUMMARY_HEADER));
        let is_oversized = interval > MAX_ROUND_INTERVAL;
        let changed = std::mem::replace(&mut self.is_oversized, is_oversized) != is_oversized;
        let size_change = changed.then(|| TotalsSize {
            is_oversized,
            upstreams: zone.upstream_count().max(body.upstream_count()),
            bytes: zone_datagram.len().max(encoded_body.len() + SUMMARY_HEADER),
        });
        if zone_interval > MAX_ROUND_INTERVAL {
            zone.loads = None;
            zone_datagram = LoadMessage::Zone(zone).encode();
        }
        if is_oversized {
            body.loads = None;
            encoded_body = body.encode();
        }
        self.interval = if body.loads.is_some() {
            interval.max(MIN_ROUND_INTERVAL)
        } else {
            OVERSIZED_INTERVAL
        };
        let zone_senders = self.zones.values().map(|held| held.address.clone()).collect();
        LoadRound { recipients, body, encoded_body, zone_datagram, zone_senders, size_change }
    }
}

fn is_recent(received_at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(received_at) < REPORT_RETENTION
}

fn interval_of(bytes: usize) -> Duration {
    Duration::from_secs_f64(bytes as f64 / MAX_BYTES_PER_SECOND)
}
