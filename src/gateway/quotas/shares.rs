//! Enforces quotas without requests between instances: each enforces an equal share of each limit.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use async_trait::async_trait;
use tokio::time::{Instant, sleep};

use super::{MinMembers, QuotaEnforcer, QuotaOutcome, QuotaPeers, QuotaPermit};
use crate::core::ids::WorkspaceId;
use crate::core::quotas::{
    LimitSample, QuotaBounds, QuotaLimit, QuotaReply, QuotaRequest, QuotaShare,
};

pub(crate) struct ShareEnforcer {
    bounds: QuotaBounds,
    peers: Rc<dyn QuotaPeers>,
    min_members: MinMembers,
    shares: RefCell<HashMap<WorkspaceId, QuotaShare>>,
}

impl ShareEnforcer {
    pub(crate) fn new(
        bounds: QuotaBounds,
        peers: Rc<dyn QuotaPeers>,
        min_members: MinMembers,
    ) -> Self {
        Self { bounds, peers, min_members, shares: RefCell::default() }
    }
}

#[async_trait(?Send)]
impl QuotaEnforcer for ShareEnforcer {
    async fn acquire(
        &self,
        workspace: &WorkspaceId,
        quota: QuotaLimit,
        request: QuotaRequest,
    ) -> QuotaOutcome {
        let now = Instant::now();
        let member_count =
            self.peers.quota_members().len().max(self.min_members.get().unwrap_or(0));
        let reply = {
            let mut shares = self.shares.borrow_mut();
            let share = shares.entry(workspace.clone()).or_insert_with(|| QuotaShare::new(now));
            share.decide(quota, self.bounds, member_count, now)
        };
        match reply {
            QuotaReply::Granted { after } => {
                sleep(after).await;
                let (workspace, granted_at) = (workspace.clone(), Instant::now());
                QuotaOutcome::Granted(QuotaPermit { workspace, request, limiter: None, granted_at })
            }
            QuotaReply::Refused { retry_after } => QuotaOutcome::OverLimit { retry_after },
        }
    }

    fn release(&self, _permit: QuotaPermit) {}

    fn samples(&self) -> Vec<LimitSample> {
        Vec::new()
    }
}
