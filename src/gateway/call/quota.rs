//! A call's place within its workspace's limit.

use std::rc::Rc;

use tokio::time::timeout_at;

use super::{CallContext, DEADLINE_RETRY};
use crate::core::quotas::QuotaRequest;
use crate::core::turns::TurnScope;
use crate::gateway::Gateway;
use crate::gateway::attempt::AttemptLog;
use crate::gateway::quotas::{QuotaEnforcer, QuotaOutcome, QuotaPermit};
use crate::gateway::refusal::Refusal;

/// The place of a call, if its workspace has a limit.
pub(super) struct CallPlace {
    quotas: Rc<dyn QuotaEnforcer>,
    place: Option<QuotaPermit>,
}

impl CallPlace {
    /// Gives the place back if no upstream has run the call: only what runs counts.
    pub(super) fn settle(mut self, log: &AttemptLog) {
        let unrun = !log.may_have_run();
        if let Some(place) = self.place.take().filter(|_| unrun) {
            self.quotas.release(place);
        }
    }
}

impl Gateway {
    /// Waits for a place within the workspace's limit, before anything is done for the call: a turn that
    /// is refused must not cost writes of the store.
    pub(super) async fn take_place(&self, call: &CallContext) -> Result<CallPlace, Refusal> {
        let quotas = self.quotas.clone();
        let limited = call.workspace.as_ref().and_then(|space| Some((space, space.quota?)));
        let Some((workspace, quota)) = limited else {
            return Ok(CallPlace { quotas, place: None });
        };
        // Whether a turn without a history is its program's first is known to the coordinator alone.
        let opens = call.scope == Some(TurnScope::History) && call.head.previous.is_none();
        let ask = QuotaRequest { opens };
        let asked = quotas.acquire(&workspace.name, quota, ask);
        let outcome = timeout_at(call.deadline, asked)
            .await
            .unwrap_or(QuotaOutcome::Uncertain { retry_after: DEADLINE_RETRY });
        self.metrics.quota_asked(&workspace.name, outcome.label(), call.arrived.elapsed());
        let (refusal, retry_after) = match outcome {
            QuotaOutcome::Granted(place) => return Ok(CallPlace { quotas, place: Some(place) }),
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
            ask.opens,
            quota.rate,
            quota.burst,
            retry_after.as_millis(),
            call.arrived.elapsed().as_millis()
        );
        Err(refusal)
    }
}
