//! Applies the bound on lost upstreams to calls.

use tokio::time::Instant;

use crate::core::repeats::{RerunDecision, RerunLimits};
use crate::core::upstreams::{UpstreamChoice, UpstreamIncarnation};
use crate::gateway::Gateway;
use crate::gateway::attempt::AttemptProgress;
use crate::gateway::call::CallContext;
use crate::gateway::http::AnswerError;

/// Reruns of a resumable stream at an upstream that has it already.
const MAX_SAME_UPSTREAM_RERUNS: u32 = 3;

impl Gateway {
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
        let sent = progress.sent.borrow();
        let counts = sent.counts(|incarnation| self.is_listed(incarnation), 0);
        let decision = limits.decide(counts);
        // Without it each failed answer of a request that runs once would be logged.
        if !call.route.is_idempotent() {
            return decision;
        }
        log::info!(
            "event=rerun_decided request={} program={} fingerprint={} decision={decision} sent={} \
             running={} lost={} max_attempts={}",
            call.id,
            call.program_name(),
            call.fingerprint,
            sent.len(),
            counts.running,
            counts.lost,
            limits.max_attempts
        );
        decision
    }

    fn is_listed(&self, incarnation: &UpstreamIncarnation) -> bool {
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
        log::info!(
            "event=upstream_lost request={} program={} service={} upstream={} fingerprint={} \
             listed={is_listed} sent_ms={} cause=\"{error}\"",
            call.id,
            call.program_name(),
            call.service,
            choice.id,
            call.fingerprint,
            sent_at.elapsed().as_millis()
        );
    }
}
