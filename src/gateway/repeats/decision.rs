//! Applies the bound on lost upstreams to calls.

use actix_http::StatusCode;
use tokio::time::Instant;

use crate::core::repeats::{MAX_LOSSES, RerunDecision, RerunLimits, UpstreamLoss};
use crate::core::upstreams::{UpstreamChoice, UpstreamIncarnation};
use crate::gateway::Gateway;
use crate::gateway::attempt::AttemptProgress;
use crate::gateway::call::CallContext;
use crate::gateway::http::AnswerError;
use crate::gateway::refusal::Refusal;

/// Reruns of a resumable stream at an upstream that has it already.
const MAX_SAME_UPSTREAM_RERUNS: u32 = 3;

impl Gateway {
    /// Refuses a request under which too many upstreams were lost, so that no further one is. It has
    /// run, or an earlier attempt of its caller has, so the caller is not told to come back.
    pub(crate) fn check_losses(&self, call: &CallContext) -> Result<(), Refusal> {
        let lost = self.losses.count(call.fingerprint);
        if lost < MAX_LOSSES {
            return Ok(());
        }
        self.metrics.record_stopped(&call.service);
        log::warn!(
            "event=request_stopped request={} program={} route={} service={} fingerprint={} \
             lost={lost} age_ms={}",
            call.id,
            call.program_name(),
            call.route.name,
            call.service,
            call.fingerprint,
            self.losses.age(call.fingerprint).as_millis()
        );
        Err(Refusal::unknown(StatusCode::BAD_GATEWAY, "upstreams_lost"))
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
        let lost = self.losses.count(call.fingerprint);
        let sent = progress.sent.borrow();
        let counts = sent.counts(|incarnation| self.is_listed(incarnation), lost);
        let decision = limits.decide(counts);
        // Without it each failed answer of a request that runs once would be logged.
        if !call.route.is_idempotent() {
            return decision;
        }
        log::info!(
            "event=rerun_decided request={} program={} fingerprint={} decision={decision} sent={} \
             running={} lost={} lost_age_ms={} max_attempts={}",
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

    pub(crate) fn is_listed(&self, incarnation: &UpstreamIncarnation) -> bool {
        let upstreams = self.feed.upstreams.borrow();
        upstreams.has_incarnation(&incarnation.id, incarnation.started_at)
    }

    /// Counts an upstream whose connection ended before its answer was complete.
    pub(crate) fn record_failure(
        &self,
        call: &CallContext,
        progress: &AttemptProgress,
        choice: &UpstreamChoice,
        sent_at: Instant,
        error: &AnswerError,
    ) {
        if !error.is_connection_end() {
            return;
        }
        let incarnation = choice.incarnation();
        let is_listed = self.is_listed(&incarnation);
        progress.sent.borrow_mut().record_lost(&incarnation);
        let loss = UpstreamLoss { upstream: choice.load_key, sent_at, lost_at: Instant::now() };
        let lost = self.losses.record(call.fingerprint, &call.service, loss);
        log::info!(
            "event=upstream_lost request={} program={} service={} upstream={} fingerprint={} \
             lost={lost} listed={is_listed} sent_ms={} cause=\"{error}\"",
            call.id,
            call.program_name(),
            call.service,
            choice.id,
            call.fingerprint,
            sent_at.elapsed().as_millis()
        );
    }
}
