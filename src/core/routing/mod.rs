//! Which service a caller's request goes to, and under what limits.

mod table;

use std::time::Duration;

use derive_more::Display;

pub use table::{RouteTable, UpdateOutcome, TableView};

/// Name of a service, as routes refer to it.
pub type ServiceName = Box<str>;
/// Version of a route table; rises with every accepted change.
pub type TableVersion = u64;

/// What the system may do with a request again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum RouteKind {
    /// May run more than once.
    #[display("idempotent")]
    Idempotent,
    /// Runs at most once for each request of a caller.
    #[display("at_most_once")]
    AtMostOnce,
    /// A stream of events; runs at most once unless its route says that it may be resumed.
    #[display("stream")]
    Stream,
}

/// One route: requests of a host below a path prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteSpec {
    pub name: Box<str>,
    pub host: Box<str>,
    /// Begins and ends with a slash.
    pub prefix: Box<str>,
    pub kind: RouteKind,
    /// Longest time a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is of full use.
    pub objective: Duration,
    /// 0 is the most urgent.
    pub priority: u8,
    /// Services with their weights; requests are shared out in proportion.
    pub targets: Vec<(ServiceName, u32)>,
    /// Upstreams that may run one request.
    pub max_attempts: u32,
    /// Whether an upstream is faster with what it handled before.
    pub sticky: bool,
    /// Whether the system keeps what was said, so that a turn brings only its new input.
    pub keeps_history: bool,
    /// How long turns and ledgers of programs are kept after they were last named, where the operator
    /// says.
    pub retention: Option<Duration>,
    /// Whether a stream that broke off may go on at another upstream after its last event.
    pub is_resumable: bool,
    /// Whether callers need no key.
    pub is_open: bool,
}

impl RouteSpec {
    /// Whether a request may run again after it may have run.
    pub fn is_idempotent(&self) -> bool {
        self.kind == RouteKind::Idempotent || self.is_resumable
    }

    /// The service for a request, by a number drawn evenly from the whole range of `u32`.
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

/// What is true of all upstreams of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSpec {
    pub name: ServiceName,
    /// Connections an upstream accepts from all callers together.
    pub max_connections: u32,
    /// Set for model engines.
    pub engine: Option<EngineSpec>,
}

/// What is true of all engines of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSpec {
    pub slots: u32,
    /// Generated tokens in each event of a stream.
    pub event_tokens: u64,
}

/// What a caller may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    pub header_bytes: usize,
    pub body_bytes: usize,
    /// Longest time from a request's first byte to the end of its head.
    pub header_timeout: Duration,
    /// How long a connection may wait for its next request.
    pub idle_timeout: Duration,
}
