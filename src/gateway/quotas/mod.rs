//! Limits of workspaces over all instances: asks whoever keeps them, and keeps some for the others.

mod client;
mod member_counter;
mod messages;
#[cfg(test)]
mod messages_tests;
mod shares;

use std::time::Duration;

use async_trait::async_trait;
use tokio::time::Instant;

use crate::core::ids::WorkspaceId;
use crate::core::quotas::{LimitSample, QuotaLimit, QuotaMember, QuotaRequest};

pub(crate) use self::client::QuotaClient;
pub(crate) use self::member_counter::{MemberCounter, MinMembers};
pub(crate) use self::messages::QuotaMessage;
pub(crate) use self::shares::ShareEnforcer;

/// Path of the limits in force, on the address for peers.
pub const LIMITS_PATH: &str = "/limits";

/// How lately a place must have been granted to be given back. A claim takes some 16 ms, and a store
/// that is away holds it for seconds: places of that age, put back all at once, would let a second
/// burst through.
const GIVE_BACK_AGE: Duration = Duration::from_millis(500);

/// What a request that wants to be sent on is told.
#[derive(Debug)]
pub(crate) enum QuotaOutcome {
    Granted(QuotaPermit),
    /// The workspace has asked more than its limit.
    OverLimit {
        retry_after: Duration,
    },
    /// Nobody knows: whoever limits the workspace does not answer.
    Uncertain {
        retry_after: Duration,
    },
}

impl QuotaOutcome {
    /// For metrics.
    pub(crate) fn word(&self) -> &'static str {
        match self {
            Self::Granted(_) => "granted",
            Self::OverLimit { .. } => "over_limit",
            Self::Uncertain { .. } => "uncertain",
        }
    }
}

/// A place within a workspace's limit.
#[derive(Debug)]
pub(crate) struct QuotaPermit {
    workspace: WorkspaceId,
    request: QuotaRequest,
    /// Who granted it; none if that was this instance.
    limiter: Option<Box<str>>,
    granted: Instant,
}

impl QuotaPermit {
    /// Whether it is so new that it may be given back.
    fn is_fresh(&self) -> bool {
        self.granted.elapsed() < GIVE_BACK_AGE
    }
}

/// A way to keep limits over all instances.
#[async_trait(?Send)]
pub(crate) trait QuotaEnforcer {
    /// Waits for a place within a workspace's limit.
    async fn acquire(
        &self,
        workspace: &WorkspaceId,
        quota: QuotaLimit,
        request: QuotaRequest,
    ) -> QuotaOutcome;

    /// Gives back the place of a request that has not run and never will.
    fn release(&self, place: QuotaPermit);

    /// Limits kept here.
    fn samples(&self) -> Vec<LimitSample>;
}

/// The members, and the way to them.
pub(crate) trait QuotaPeers {
    /// Rises whenever the members change.
    fn changes(&self) -> u64;
    /// Rises whenever others took this instance for failed.
    fn suspicions(&self) -> u64;
    fn quota_members(&self) -> Vec<QuotaMember>;
    /// Sends a datagram, which may be lost.
    fn send(&self, to: &str, datagram: &[u8]);
}

/// What a limiter reads of the configuration.
pub(crate) trait QuotaSource {
    /// The limit of a workspace; none if it has none, or if none is known yet.
    fn quota(&self, workspace: &str) -> Option<QuotaLimit>;
}
