//! Routes that map requests of callers to services and set their limits.

mod table;

use std::time::Duration;

use derive_more::Display;

pub use table::{RouteTable, TableView, UpdateOutcome};

pub type ServiceName = Box<str>;
/// Increases with every accepted change.
pub type TableVersion = u64;

/// How often a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum RouteKind {
    #[display("idempotent")]
    Idempotent,
    #[display("at_most_once")]
    AtMostOnce,
    /// A stream of events; runs at most once unless the route is resumable.
    #[display("stream")]
    Stream,
}

#[derive(Debug, Clone, PartialEq)]
pub struct RouteSpec {
    pub name: Box<str>,
    pub host: Box<str>,
    /// Begins and ends with a slash.
    pub prefix: Box<str>,
    pub kind: RouteKind,
    /// Maximum time that a caller waits.
    pub timeout: Duration,
    /// Target latency.
    pub objective: Duration,
    /// Maximum time between the events of a stream; `None` if not configured.
    pub max_pause: Option<Duration>,
    /// 0 is the most urgent.
    pub priority: u8,
    /// Services with the weights by which requests are split.
    pub targets: Vec<(ServiceName, u32)>,
    /// Maximum number of upstreams that run one request.
    pub max_attempts: u32,
    /// Requests with the same affinity key prefer the same upstreams.
    pub sticky: bool,
    /// Turns are stored, so that a request carries only its new input.
    pub keeps_history: bool,
    /// Time for which turns and ledgers of programs are kept after their last use; `None` if not
    /// configured.
    pub retention: Option<Duration>,
    /// A broken stream may continue at another upstream after its last event.
    pub is_resumable: bool,
    /// Callers need no API key.
    pub is_open: bool,
}

impl RouteSpec {
    /// A request that may have run may be run again.
    pub fn is_idempotent(&self) -> bool {
        self.kind == RouteKind::Idempotent || self.is_resumable
    }

    /// Picks a service by weight. `draw` must be uniform over the range of `u32`.
    pub fn service(&self, draw: u32) -> Option<&ServiceName> {
        let total: u64 = self.targets.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let mut point = (u64::from(draw) * total) >> 32;
        for (service, weight) in &self.targets {
            if point < u64::from(*weight) {
                return Some(service);
            }
            point -= u64::from(*weight);
        }
        None
    }
}

#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSpec {
    pub name: ServiceName,
    /// Maximum connections that an upstream accepts in total.
    pub max_connections: u32,
    /// Set for model engines.
    pub engine: Option<EngineSpec>,
}

#[derive(Debug, Clone, PartialEq)]
pub struct EngineSpec {
    pub slots: u32,
    /// Generated tokens per event of a stream.
    pub event_tokens: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    pub header_bytes: usize,
    pub body_bytes: usize,
    /// From a request's first byte to the end of its head.
    pub header_timeout: Duration,
    pub idle_timeout: Duration,
}
