//! Enforces the limit of a workspace before a call runs.

use std::rc::Rc;

use tokio::time::timeout_at;

use super::{CallContext, DEADLINE_RETRY_DELAY};
use crate::core::quotas::QuotaRequest;
use crate::core::turns::TurnScope;
use crate::gateway::Gateway;
use crate::gateway::attempt::AttemptProgress;
use crate::gateway::quotas::{QuotaEnforcer, QuotaOutcome, QuotaPermit};
use crate::gateway::refusal::Refusal;

/// Held until the call ends in any way. Empty if the workspace of the call has no limit.
pub(super) struct CallPermit<'a> {
    quotas: Rc<dyn QuotaEnforcer>,
    permit: Option<QuotaPermit>,
    progress: &'a AttemptProgress,
}

impl Drop for CallPermit<'_> {
    /// Only calls that may have run count against the limit.
    fn drop(&mut self) {
        let unrun = !self.progress.may_have_run();
        if let Some(permit) = self.permit.take().filter(|_| unrun) {
            self.quotas.release(permit);
        }
    }
}

impl Gateway {
    /// Comes before any other work for the call, so that a refused turn costs no writes to the store.
    pub(super) async fn acquire_permit<'a>(
        &self,
        call: &CallContext,
        progress: &'a AttemptProgress,
    ) -> Result<CallPermit<'a>, Refusal> {
        let quotas = self.quotas.clone();
        let limited =
            call.workspace.as_ref().and_then(|workspace| Some((workspace, workspace.quota?)));
        let Some((workspace, quota)) = limited else {
            return Ok(CallPermit { quotas, permit: None, progress });
        };
        // Without a history only the coordinator knows whether a turn is its program's first.
        let opens = call.scope == Some(TurnScope::History) && call.head.previous.is_none();
        let request = QuotaRequest { opens };
        let reply = quotas.acquire(&workspace.name, quota, request);
        let outcome = timeout_at(call.deadline, reply)
            .await
            .unwrap_or(QuotaOutcome::Uncertain { retry_after: DEADLINE_RETRY_DELAY });
        self.metrics.record_quota(&workspace.name, outcome.label(), call.arrived.elapsed());
        let (refusal, retry_after) = match outcome {
            QuotaOutcome::Granted(permit) => {
                return Ok(CallPermit { quotas, permit: Some(permit), progress });
            }
            QuotaOutcome::OverLimit { retry_after } => {
                (Refusal::over_quota(retry_after), retry_after)
            }
            QuotaOutcome::Uncertain { retry_after } => {
                (Refusal::not_run("quota_uncertain", retry_after), retry_after)
            }
        };
        log::info!(
            "event=quota_refused request={} workspace={} outcome={} opens={} rate={} burst={} \
             retry_ms={} ms={}",
            call.id,
            workspace.name,
            refusal.reason,
            request.opens,
            quota.rate,
            quota.burst,
            retry_after.as_millis(),
            call.arrived.elapsed().as_millis()
        );
        Err(refusal)
    }
}
