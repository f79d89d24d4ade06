//! A call's place within its workspace's limit.

use std::rc::Rc;

use tokio::time::timeout_at;

use super::{CallContext, DEADLINE_RETRY_DELAY};
use crate::core::quotas::QuotaRequest;
use crate::core::turns::TurnScope;
use crate::gateway::Gateway;
use crate::gateway::attempt::AttemptProgress;
use crate::gateway::quotas::{QuotaKeeper, QuotaOutcome, QuotaPlace};
use crate::gateway::refusal::Refusal;

/// The place of a call, if its workspace has a limit.
pub(super) struct CallPermit {
    quotas: Rc<dyn QuotaKeeper>,
    permit: Option<QuotaPlace>,
}

impl CallPermit {
    /// Gives the place back if no upstream has run the call: only what runs counts.
    pub(super) fn release_if_unrun(mut self, progress: &AttemptProgress) {
        let unrun = !progress.may_have_run();
        if let Some(permit) = self.permit.take().filter(|_| unrun) {
            self.quotas.give_back(permit);
        }
    }
}

impl Gateway {
    /// Waits for a place within the workspace's limit, before anything is done for the call: a turn that
    /// is refused must not cost writes of the store.
    pub(super) async fn acquire_permit(&self, call: &CallContext) -> Result<CallPermit, Refusal> {
        let quotas = self.quotas.clone();
        let limited =
            call.workspace.as_ref().and_then(|workspace| Some((workspace, workspace.quota?)));
        let Some((workspace, quota)) = limited else {
            return Ok(CallPermit { quotas, permit: None });
        };
        // Whether a turn without a history is its program's first is known to the coordinator alone.
        let opens = call.scope == Some(TurnScope::History) && call.head.previous.is_none();
        let request = QuotaRequest { opens };
        let reply = quotas.ask(&workspace.name, quota, request);
        let outcome = timeout_at(call.deadline, reply)
            .await
            .unwrap_or(QuotaOutcome::Uncertain { retry_after: DEADLINE_RETRY_DELAY });
        self.metrics.quota_asked(&workspace.name, outcome.word(), call.arrived.elapsed());
        let (refusal, retry_after) = match outcome {
            QuotaOutcome::Granted(permit) => {
                return Ok(CallPermit { quotas, permit: Some(permit) });
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
