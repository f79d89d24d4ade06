//! Datagrams by which instances exchange the load of upstreams.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::{LoadKey, UpstreamLoad};
use crate::core::ids::{Incarnation, InstanceId};

/// First byte of each load datagram. Datagrams of the failure detector are packed Cap'n Proto, where
/// it announces more segments than a datagram can hold; 0xFF marks quota datagrams.
const MESSAGE_TAG: u8 = 0xFE;
/// Position of [`LoadMessage::Summary`] among the variants, by which `postcard` identifies it.
const SUMMARY_VARIANT: u8 = 1;

/// Numbers the reports of an instance and the rounds of an aggregator.
pub type LoadSequence = u32;

/// Bounds what one list can add to the counts of an upstream. Sums of many lists saturate.
const MAX_COUNT: u32 = 4_095;
const MAX_PACKED: u32 = MAX_COUNT * (MAX_COUNT + 1) / 2 + MAX_COUNT;

pub type LoadCounts = HashMap<LoadKey, UpstreamLoad>;

/// First number of an incarnation. Incarnations are start times in milliseconds, which grow faster
/// than the numbers do, so that a restart usually continues with higher ones. The mask, which keeps
/// the encoded numbers short, lets them wrap about every 17 minutes: lower numbers after a restart are
/// dropped until the receivers have forgotten the former incarnation, within a second.
pub fn first_sequence(incarnation: Incarnation) -> LoadSequence {
    (incarnation & 0xF_FFFF) as LoadSequence + 1
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoadMessage {
    Report(LoadReport),
    Summary(LoadSummary),
    Zone(ZoneLoad),
}

/// All attempts of an instance in flight.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    pub sender: InstanceId,
    pub incarnation: Incarnation,
    pub sequence: LoadSequence,
    pub loads: LoadList,
}

/// Totals of all zones.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadSummary {
    /// The recipient's report that the totals include.
    pub acknowledged: LoadSequence,
    pub body: SummaryBody,
}

/// The part of a summary that is the same for all recipients.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SummaryBody {
    pub number: LoadSequence,
    /// Instances whose counts are included.
    pub reporters: u32,
    /// `None` if there are too many upstreams to send them while they are fresh.
    pub loads: Option<LoadList>,
}

/// Sum of a zone, for the aggregators of the others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneLoad {
    pub zone: Box<str>,
    pub sender: InstanceId,
    pub number: LoadSequence,
    pub reporters: u32,
    /// `None` like that of [`SummaryBody`].
    pub loads: Option<LoadList>,
}

/// Counts by upstream, in a form that encodes compactly: keys in ascending order as differences, and
/// both counts as one number, which is below 128 for up to 14 attempts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "UncheckedList")]
pub struct LoadList {
    /// Difference to the previous key, and the packed counts.
    counts: Vec<(LoadKey, u32)>,
    /// Position in `counts`, failing.
    failing: Vec<(u32, u32)>,
}

/// A received list, whose keys may repeat.
#[derive(Deserialize)]
struct UncheckedList {
    counts: Vec<(LoadKey, u32)>,
    failing: Vec<(u32, u32)>,
}

impl TryFrom<UncheckedList> for LoadList {
    type Error = &'static str;

    fn try_from(list: UncheckedList) -> Result<Self, Self::Error> {
        let UncheckedList { counts, failing } = list;
        let repeats = counts.iter().skip(1).any(|(step, _)| *step == 0);
        let last = counts.iter().try_fold(0, |key: LoadKey, (step, _)| key.checked_add(*step));
        if repeats || last.is_none() {
            return Err("keys are not in ascending order");
        }
        Ok(Self { counts, failing })
    }
}

impl LoadList {
    /// Omits counts that are zero.
    pub fn new(loads: impl IntoIterator<Item = (LoadKey, UpstreamLoad)>) -> Self {
        let mut sorted: Vec<_> = loads.into_iter().filter(|(_, load)| !load.is_zero()).collect();
        sorted.sort_unstable_by_key(|(key, _)| *key);
        let mut list = Self::default();
        let mut previous: LoadKey = 0;
        for (position, (key, load)) in (0..).zip(sorted) {
            list.counts.push((key.wrapping_sub(previous), pack(load)));
            if load.failing > 0 {
                list.failing.push((position, load.failing));
            }
            previous = key;
        }
        list
    }

    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }

    pub fn len(&self) -> usize {
        self.counts.len()
    }

    pub fn iter(&self) -> impl Iterator<Item = (LoadKey, UpstreamLoad)> + '_ {
        let mut failing = self.failing.iter().peekable();
        let mut key: LoadKey = 0;
        (0..).zip(&self.counts).map(move |(position, (step, packed))| {
            key = key.wrapping_add(*step);
            let failing = failing.next_if(|(at, _)| *at == position).map_or(0, |(_, count)| *count);
            (key, UpstreamLoad { failing: failing.min(MAX_COUNT), ..unpack(*packed) })
        })
    }

    pub fn add_to(&self, counts: &mut LoadCounts) {
        for (key, load) in self.iter() {
            *counts.entry(key).or_default() += load;
        }
    }
}

/// Numbers the pairs of running and waiting, of which the second is not larger than the first.
fn pack(load: UpstreamLoad) -> u32 {
    let running = load.running.min(MAX_COUNT);
    running * (running + 1) / 2 + load.waiting.min(running)
}

fn unpack(packed: u32) -> UpstreamLoad {
    let packed = packed.min(MAX_PACKED);
    let running = ((8 * packed + 1).isqrt() - 1) / 2;
    UpstreamLoad { running, waiting: packed - running * (running + 1) / 2, failing: 0 }
}

impl LoadMessage {
    /// Label value of metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Report(_) => "report",
            Self::Summary(_) => "summary",
            Self::Zone(_) => "zone",
        }
    }

    pub fn encode(&self) -> Vec<u8> {
        postcard::to_extend(self, vec![MESSAGE_TAG]).expect("messages serialize")
    }

    /// None if the datagram is of another kind.
    pub fn decode(datagram: &[u8]) -> Option<Result<Self, postcard::Error>> {
        let payload = datagram.strip_prefix(&[MESSAGE_TAG])?;
        Some(postcard::from_bytes(payload))
    }
}

impl ZoneLoad {
    pub(super) fn upstream_count(&self) -> usize {
        self.loads.as_ref().map_or(0, LoadList::len)
    }
}

impl SummaryBody {
    pub(super) fn upstream_count(&self) -> usize {
        self.loads.as_ref().map_or(0, LoadList::len)
    }

    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("messages serialize")
    }
}

/// Encodes a summary from its encoded body, so that the body is encoded once for all recipients.
pub fn encode_summary(acknowledged: LoadSequence, body: &[u8]) -> Vec<u8> {
    let datagram = vec![MESSAGE_TAG, SUMMARY_VARIANT];
    let mut datagram = postcard::to_extend(&acknowledged, datagram).expect("numbers serialize");
    datagram.extend_from_slice(body);
    datagram
}
