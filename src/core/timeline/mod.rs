//! Events of an instance, stamped by a hybrid logical clock so that those of many instances merge
//! in causal order.

mod log_line;

use std::collections::VecDeque;
use std::fmt;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::ids::InstanceId;

pub use log_line::{LogLine, select_timeline};

/// A hybrid logical clock reading: wall time, and a counter for events in the same microsecond.
///
/// The receiver of a message advances its clock past the sender's stamp, so an effect is never
/// stamped before its cause, whatever the skew of the wall clocks.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Display,
)]
#[display("{wall_micros}.{counter}")]
pub struct CausalStamp {
    pub wall_micros: u64,
    pub counter: u32,
}

#[derive(Debug, Default)]
pub struct CausalClock {
    last: CausalStamp,
}

impl CausalClock {
    /// Stamps a local event at `wall` since the Unix epoch.
    pub fn tick(&mut self, wall: Duration) -> CausalStamp {
        self.observe(wall, CausalStamp::default())
    }

    /// Stamps the receipt of a message that carried `remote`.
    pub fn observe(&mut self, wall: Duration, remote: CausalStamp) -> CausalStamp {
        let wall_micros = wall.as_micros() as u64;
        let newest = self.last.max(remote);
        self.last = if wall_micros > newest.wall_micros {
            CausalStamp { wall_micros, counter: 0 }
        } else {
            CausalStamp { wall_micros: newest.wall_micros, counter: newest.counter + 1 }
        };
        self.last
    }
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TimelineEvent {
    pub stamp: CausalStamp,
    pub instance: InstanceId,
    pub kind: Box<str>,
    pub program: Box<str>,
    pub workspace: Box<str>,
    pub upstream: Box<str>,
    pub detail: Box<str>,
}

impl fmt::Display for TimelineEvent {
    /// Formats the log line: `key=value` pairs, without those that are empty.
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(to, "event={} stamp={} instance={}", self.kind, self.stamp, self.instance)?;
        self.fmt_subjects(to)
    }
}

impl TimelineEvent {
    /// Writes the non-empty subjects and the detail, each after a space.
    pub fn fmt_subjects(&self, to: &mut impl fmt::Write) -> fmt::Result {
        let subjects = [
            ("program", &self.program),
            ("workspace", &self.workspace),
            ("upstream", &self.upstream),
        ];
        for (name, value) in subjects {
            if !value.is_empty() {
                write!(to, " {name}={value}")?;
            }
        }
        if self.detail.is_empty() { Ok(()) } else { write!(to, " {}", self.detail) }
    }
}

/// A bounded buffer of events that drops the oldest.
#[derive(Debug)]
pub struct EventRing {
    events: VecDeque<TimelineEvent>,
    capacity: usize,
}

impl EventRing {
    pub fn new(capacity: usize) -> Self {
        Self { events: VecDeque::new(), capacity }
    }

    pub fn push(&mut self, event: TimelineEvent) {
        if self.events.len() == self.capacity {
            self.events.pop_front();
        }
        self.events.push_back(event);
    }

    /// Events stamped later than `after_micros`, oldest first.
    pub fn since(&self, after_micros: u64) -> Vec<TimelineEvent> {
        let newer = self.events.iter().filter(|event| event.stamp.wall_micros > after_micros);
        newer.cloned().collect()
    }
}

pub fn merge_events(batches: impl IntoIterator<Item = Vec<TimelineEvent>>) -> Vec<TimelineEvent> {
    let mut merged: Vec<TimelineEvent> = batches.into_iter().flatten().collect();
    merged.sort_by(|a, b| (a.stamp, &a.instance).cmp(&(b.stamp, &b.instance)));
    merged
}
