//! Applies the bound on lost upstreams to calls.

use actix_http::StatusCode;
use tokio::time::Instant;

use crate::core::repeats::{MAX_LOSSES, RerunDecision, RerunLimits, WorkStanding, WorkVerdict};
use crate::gateway::Gateway;
use crate::gateway::attempt::AttemptProgress;
use crate::gateway::call::CallContext;
use crate::gateway::refusal::Refusal;

/// Reruns of a resumable stream at an upstream that has it already.
const MAX_SAME_UPSTREAM_RERUNS: u32 = 3;

impl Gateway {
    /// Refuses a request whose work may have ended as many upstreams as it may, so that no further one
    /// gets it. Asked on arrival, before each choice of an upstream, and again before it is sent.
    pub(crate) fn check_losses(
        &self,
        call: &CallContext,
        progress: &AttemptProgress,
    ) -> Result<(), Refusal> {
        let standing = self.losses.standing(call.fingerprint);
        let verdict = standing.verdict();
        let refusal = match verdict {
            WorkVerdict::Allowed => return Ok(()),
            // An earlier attempt of the caller has run, and coming back does not help.
            WorkVerdict::Stopped => Refusal::unknown(StatusCode::BAD_GATEWAY, "upstreams_lost"),
            WorkVerdict::Waits(_) if progress.may_have_run() => {
                Refusal::unknown(StatusCode::BAD_GATEWAY, "answer_lost")
            }
            WorkVerdict::Waits(time) => Refusal::not_run("work_unsettled", time),
        };
        self.metrics.record_stopped(&call.service);
        log::warn!(
            "event=request_stopped request={} program={} route={} service={} fingerprint={} \
             verdict=\"{verdict}\" lost={} open={} age_ms={}",
            call.id,
            call.program_name(),
            call.route.name,
            call.service,
            call.fingerprint,
            standing.lost,
            standing.open,
            self.losses.age(call.fingerprint).as_millis()
        );
        Err(refusal)
    }

    /// Decides where a request goes that an upstream may have run and did not answer.
    pub(crate) fn decide_rerun(
        &self,
        call: &CallContext,
        progress: &AttemptProgress,
    ) -> RerunDecision {
        let reruns_left = MAX_SAME_UPSTREAM_RERUNS - progress.same_upstream_reruns.get();
        let limits = RerunLimits {
            may_run_again: call.route.is_idempotent() && Instant::now() < call.deadline,
            max_attempts: call.route.max_attempts,
            same_upstream_reruns: if call.route.is_resumable { reruns_left } else { 0 },
        };
        let WorkStanding { lost, open, .. } = self.losses.standing(call.fingerprint);
        let open = open + progress.error_answers.get();
        let sent = progress.sent.borrow();
        let counts = sent.counts(|incarnation| self.feed.has_incarnation(incarnation), lost + open);
        let decision = limits.decide(counts);
        // Without it each failed answer of a request that runs once would be logged.
        if !call.route.is_idempotent() {
            return decision;
        }
        log::info!(
            "event=rerun_decided request={} program={} fingerprint={} decision={decision} sent={} \
             running={} lost={} open={open} lost_age_ms={} max_attempts={} bound={MAX_LOSSES}",
            call.id,
            call.program_name(),
            call.fingerprint,
            sent.len(),
            counts.running,
            counts.lost,
            self.losses.age(call.fingerprint).as_millis(),
            limits.max_attempts
        );
        decision
    }
}
