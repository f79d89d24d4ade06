//! Sends a request to the upstream that was chosen for it, if that may still get it.

use std::rc::Rc;

use actix_http::error::PayloadError;
use actix_http::{RequestHead, StatusCode};
use tokio::time::Instant;

use super::exchange::{answer_end, error_end, error_label, exchange};
use super::{
    AttemptError, AttemptGuard, AttemptProgress, BufferedBody, MAX_DISCARDED_BODY_BYTES,
    UpstreamAnswer,
};
use crate::core::repeats::AttemptEnd;
use crate::core::routing::RouteKind;
use crate::core::upstreams::{AttemptResult, UpstreamChoice};
use crate::gateway::Gateway;
use crate::gateway::call::CallContext;
use crate::gateway::dialect::AttemptHead;
use crate::gateway::http::{AnswerError, ClientConnection};
use crate::gateway::memory::BodyBuffer;
use crate::gateway::refusal::Refusal;

/// Responses to idempotent requests, which are buffered, usually have a few kilobytes.
const MAX_BUFFERED_BODY_BYTES: usize = 4 * 1024 * 1024;

impl Gateway {
    pub(super) async fn attempt_upstream(
        self: &Rc<Self>,
        call: &CallContext,
        choice: &UpstreamChoice,
        progress: &AttemptProgress,
    ) -> Result<UpstreamAnswer, AttemptError> {
        let guard = AttemptGuard::new(self, call, choice);
        let connection =
            self.pool.get_for_attempt(&choice.address, progress.connect_failures.get()).await;
        let mut connection = connection.map_err(|error| {
            log::debug!("event=connect_failed upstream={} error=\"{error}\"", choice.id);
            progress.connect_failures.set(progress.connect_failures.get() + 1);
            guard.record(AttemptResult::Unreachable);
            AttemptError::NotRun(AttemptResult::Unreachable)
        })?;
        self.await_fresh_list(call, choice).await;
        self.check_upstream(call, choice, progress, &guard)?;
        if let Err(refusal) = self.check_losses(call, progress) {
            guard.record(AttemptResult::Withdrawn);
            return Err(AttemptError::Refused(refusal));
        }
        let head = self.attempt_head(call, choice, progress).inspect_err(|_| {
            guard.record(AttemptResult::Withdrawn);
        })?;
        let sent_at = Instant::now();
        guard.record_sent();
        progress.maybe_running.set(true);
        progress.upstream.replace(Some(choice.id.clone()));
        let waited = progress.sent_after.get().unwrap_or_else(|| call.arrived.elapsed());
        progress.sent_after.set(Some(waited));
        let exchange = exchange(self, &mut connection, call, head).await;
        let (head, info) = exchange.map_err(|error| {
            guard.record(AttemptResult::Broken);
            progress.record_run(choice);
            record_lost(progress, choice, &guard, &error);
            log::debug!("event=answer_lost upstream={} error=\"{error}\"", choice.id);
            AttemptError::Unknown(error_label(&error))
        })?;
        let misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
        if info.not_run || misdirected {
            progress.maybe_running.set(false);
            let result = if misdirected { AttemptResult::Unreachable } else { AttemptResult::Full };
            guard.record(result);
            guard.record_end(AttemptEnd::NotRun);
            if connection.rest(MAX_DISCARDED_BODY_BYTES).await.is_ok() {
                self.pool.put(&choice.address, connection, info.keep_alive);
            }
            return Err(AttemptError::NotRun(result));
        }
        guard.record_byte();
        progress.record_run(choice);
        let body = self.buffer_body(call, &mut connection).await.map_err(|error| {
            guard.record(AttemptResult::Broken);
            record_lost(progress, choice, &guard, &error);
            AttemptError::Unknown(error_label(&error))
        })?;
        if body.as_ref().is_some_and(|body| body.is_whole) {
            guard.record_end(answer_end(&connection, head.status));
        }
        Ok(UpstreamAnswer { choice: choice.clone(), connection, head, info, body, guard, sent_at })
    }

    /// A process that resumes, or lacks processor time, knows the upstreams as they were before.
    async fn await_fresh_list(&self, call: &CallContext, choice: &UpstreamChoice) {
        let Some(waited) = self.feed.await_fresh_list().await else { return };
        let list = self.feed.list_state();
        log::info!(
            "event=list_awaited request={} upstream={} service={} waited_ms={} list_ms={}",
            call.id,
            choice.id,
            call.service,
            waited.as_millis(),
            list.age.as_millis()
        );
    }

    /// Withdraws a request whose upstream has left since it was chosen. All ways to an upstream lead
    /// through here: connects, reruns and pauses between attempts take time.
    fn check_upstream(
        &self,
        call: &CallContext,
        choice: &UpstreamChoice,
        progress: &AttemptProgress,
        guard: &AttemptGuard,
    ) -> Result<(), AttemptError> {
        let list = self.feed.list_state();
        progress.list_state.set(list);
        if self.feed.upstreams.borrow().accepts_work(&choice.incarnation(), Instant::now()) {
            self.metrics.record_list_age(list.age);
            return Ok(());
        }
        log::info!(
            "event=attempt_withdrawn request={} upstream={} service={} list_version={} list_ms={} \
             led={}",
            call.id,
            choice.id,
            call.service,
            list.version,
            list.age.as_millis(),
            list.is_led
        );
        self.metrics.record_withdrawn(&call.service);
        guard.record(AttemptResult::Withdrawn);
        Err(AttemptError::NotRun(AttemptResult::Withdrawn))
    }

    /// Buffers the response to an idempotent request, so that a truncated one can be retried before
    /// the caller has received any of it. Without memory for the rest, that is left to flow control.
    async fn buffer_body(
        &self,
        call: &CallContext,
        connection: &mut ClientConnection,
    ) -> Result<Option<BufferedBody>, AnswerError> {
        if call.route.kind != RouteKind::Idempotent {
            return Ok(None);
        }
        let mut body = BodyBuffer::with_capacity(&call.memory, 0, MAX_BUFFERED_BODY_BYTES);
        while let Some(chunk) = connection.chunk().await? {
            if body.exceeds(chunk.len()) {
                return Err(AnswerError::BadBody(PayloadError::Overflow));
            }
            if !body.try_push(&chunk) {
                let pieces = [body.finish(), chunk].into();
                return Ok(Some(BufferedBody { pieces, is_whole: false }));
            }
        }
        Ok(Some(BufferedBody { pieces: [body.finish()].into(), is_whole: true }))
    }

    fn attempt_head(
        &self,
        call: &CallContext,
        choice: &UpstreamChoice,
        progress: &AttemptProgress,
    ) -> Result<RequestHead, AttemptError> {
        let attempt = AttemptHead {
            upstream: choice.id.clone(),
            deadline: call.deadline.saturating_duration_since(Instant::now()),
            priority: call.priority,
            workspace: call.workspace.as_ref().map(|workspace| workspace.name.clone()),
            last_event: progress.last_event.borrow().clone(),
        };
        let mut head = RequestHead::default();
        head.method = call.method.clone();
        // A target in absolute form may have no path.
        head.uri = call.target.parse().map_err(|_| {
            let refusal = Refusal::rejected(StatusCode::BAD_REQUEST, "malformed_target");
            AttemptError::Refused(refusal)
        })?;
        let headers = self.dialect.upstream_headers(&call.headers, &attempt);
        head.headers = headers.map_err(|error| {
            log::warn!(
                "event=head_unencodable request={} upstream={} error=\"{error}\"",
                call.id,
                choice.id
            );
            AttemptError::NotRun(AttemptResult::Withdrawn)
        })?;
        Ok(head)
    }
}

/// Counts an upstream that did not answer.
pub(crate) fn record_lost(
    progress: &AttemptProgress,
    choice: &UpstreamChoice,
    guard: &AttemptGuard,
    error: &AnswerError,
) {
    // A wrong answer shows that the upstream still ran when it sent it.
    if error.is_connection_end() {
        progress.sent.borrow_mut().record_lost(&choice.incarnation());
    }
    guard.record_end(error_end(error));
}
