//! A call's place within its workspace's limit.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::timeout_at;

use super::{CallContext, DEADLINE_RETRY};
use crate::core::quotas::QuotaAsk;
use crate::gateway::Gateway;
use crate::gateway::attempt::AttemptLog;
use crate::gateway::quotas::{QuotaKeeper, QuotaOutcome, QuotaPlace};
use crate::gateway::refusal::Refusal;

/// The place of a call, if its workspace has a limit.
pub(super) struct CallPlace {
    quotas: Rc<dyn QuotaKeeper>,
    place: Option<QuotaPlace>,
}

impl CallPlace {
    /// Gives the place back if no upstream has run the call: only what runs counts.
    pub(super) fn settle(mut self, log: &AttemptLog) {
        let unrun = log.runs.get() == 0 && !log.exposed.get();
        if let Some(place) = self.place.take().filter(|_| unrun) {
            self.quotas.give_back(place);
        }
    }
}

impl Gateway {
    /// Waits for a place within the workspace's limit, before anything is done for the call: a turn that
    /// is refused must not cost writes of the store.
    pub(super) async fn take_place(
        &self,
        call: &CallContext,
        is_turn: bool,
    ) -> Result<CallPlace, Refusal> {
        let quotas = self.quotas.clone();
        let limited = call.workspace.as_ref().and_then(|space| Some((space, space.quota?)));
        let Some((workspace, quota)) = limited else {
            return Ok(CallPlace { quotas, place: None });
        };
        let ask = QuotaAsk { opens: is_turn && call.head.previous.is_none() };
        let asked = quotas.ask(&workspace.name, quota, ask);
        let outcome = timeout_at(call.deadline, asked)
            .await
            .unwrap_or(QuotaOutcome::Uncertain { retry_after: DEADLINE_RETRY });
        self.metrics.quota_asked(&workspace.name, &outcome, call.arrived.elapsed());
        let (word, retry_after) = match &outcome {
            QuotaOutcome::Granted(_) => ("granted", Duration::ZERO),
            QuotaOutcome::OverLimit { retry_after } => ("over_limit", *retry_after),
            QuotaOutcome::Uncertain { retry_after } => ("uncertain", *retry_after),
        };
        if word != "granted" {
            log::info!(
                "event=quota_refused request={} workspace={} outcome={word} opens={} rate={} \
                 burst={} retry_ms={} ms={}",
                call.id,
                workspace.name,
                ask.opens,
                quota.rate,
                quota.burst,
                retry_after.as_millis(),
                call.arrived.elapsed().as_millis()
            );
        }
        match outcome {
            QuotaOutcome::Granted(place) => Ok(CallPlace { quotas, place: Some(place) }),
            QuotaOutcome::OverLimit { .. } => Err(Refusal::over_quota(retry_after)),
            QuotaOutcome::Uncertain { .. } => Err(Refusal::not_run("quota_uncertain", retry_after)),
        }
    }
}
