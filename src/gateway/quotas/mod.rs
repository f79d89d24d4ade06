//! Enforces the limits of workspaces across all instances. Each workspace has a limiter among them
//! that grants its permits.

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

/// Served on the peer address.
pub const LIMITS_PATH: &str = "/limits";

/// Older permits are not released. A claim takes about 16 ms, but a store outage holds requests for
/// seconds; their permits, released all at once, would let a second burst through.
const MAX_RELEASE_AGE: Duration = Duration::from_millis(500);

#[derive(Debug)]
pub(crate) enum QuotaOutcome {
    Granted(QuotaPermit),
    OverLimit {
        retry_after: Duration,
    },
    /// Neither the limiter nor its standby replied.
    Uncertain {
        retry_after: Duration,
    },
}

impl QuotaOutcome {
    /// Label value of metrics.
    pub(crate) fn label(&self) -> &'static str {
        match self {
            Self::Granted(_) => "granted",
            Self::OverLimit { .. } => "over_limit",
            Self::Uncertain { .. } => "uncertain",
        }
    }
}

/// The right to send one request of a workspace upstream.
#[derive(Debug)]
pub(crate) struct QuotaPermit {
    workspace: WorkspaceId,
    request: QuotaRequest,
    /// Address of the limiter; none if this instance granted the permit.
    limiter: Option<Box<str>>,
    granted_at: Instant,
}

impl QuotaPermit {
    fn is_releasable(&self) -> bool {
        self.granted_at.elapsed() < MAX_RELEASE_AGE
    }
}

#[async_trait(?Send)]
pub(crate) trait QuotaEnforcer {
    /// Waits until the permit may be used.
    async fn acquire(
        &self,
        workspace: &WorkspaceId,
        quota: QuotaLimit,
        request: QuotaRequest,
    ) -> QuotaOutcome;

    /// Refunds the permit of a request that no upstream has run or will run.
    fn release(&self, permit: QuotaPermit);

    /// Limits of which this instance is the limiter or the standby.
    fn samples(&self) -> Vec<LimitSample>;
}

pub(crate) trait QuotaPeers {
    /// Incremented at each change of the members.
    fn changes(&self) -> u64;
    /// Incremented when this instance refutes a suspicion by other members.
    fn suspicions(&self) -> u64;
    fn quota_members(&self) -> Vec<QuotaMember>;
    /// The datagram may be lost.
    fn send(&self, to: &str, datagram: &[u8]);
}

/// Reads limits from the configuration.
pub(crate) trait QuotaSource {
    /// None if the workspace has no limit, or if no configuration has been read yet.
    fn quota(&self, workspace: &str) -> Option<QuotaLimit>;
}
