//! Load of upstreams, summed over all instances of the deployment.

mod aggregator;
mod failures;
mod message;
mod pressure;
mod reporter;
mod view;

use std::ops::{Add, AddAssign};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::core::upstreams::StartMillis;

pub use aggregator::{LoadAggregator, LoadRound, LoadSender, TotalsSize};
pub use failures::{ReportedFailures, probe_key, report_weight};
pub use message::{
    LoadCounts, LoadList, LoadMessage, LoadReport, LoadSequence, LoadSummary, SummaryBody,
    ZoneLoad, encode_summary,
};
pub use pressure::ServicePressure;
pub use reporter::{AggregatorRank, LoadReporter};
pub use view::LoadView;

/// Identifies an incarnation of an upstream in load messages: a hash of its id and start time.
pub type LoadKey = u32;

pub fn load_key(id: &str, started_at: Option<StartMillis>) -> LoadKey {
    let start = started_at.unwrap_or_default();
    (xxh3_64(id.as_bytes()) ^ start.wrapping_mul(0x9E37_79B9_7F4A_7C15)) as LoadKey
}

/// Attempts in flight at one upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamLoad {
    /// Attempts that were started and have not ended.
    pub running: u32,
    /// Those of them without a first byte.
    pub waiting: u32,
    /// Reports that the upstream has failed; that of an instance that reaches most of its other
    /// upstreams counts twice.
    pub failing: u32,
}

/// Saturates, as a wrong datagram must not make a sum overflow.
impl Add for UpstreamLoad {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            running: self.running.saturating_add(other.running),
            waiting: self.waiting.saturating_add(other.waiting),
            failing: self.failing.saturating_add(other.failing),
        }
    }
}

impl AddAssign for UpstreamLoad {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl UpstreamLoad {
    pub fn is_zero(&self) -> bool {
        *self == Self::default()
    }

    fn subtract(&mut self, other: Self) {
        self.running = self.running.saturating_sub(other.running);
        self.waiting = self.waiting.saturating_sub(other.waiting);
        self.failing = self.failing.saturating_sub(other.failing);
    }
}
