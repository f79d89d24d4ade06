//! Passes an upstream's answer on to the caller.

use std::rc::Rc;
use std::time::Duration;

use actix_http::StatusCode;
use actix_http::header::CONTENT_TYPE;
use bytes::Bytes;
use tokio::time::Instant;

use super::prepare::end_to_end_headers;
use super::turn::ActiveTurn;
use super::{CallContext, CallEnd};
use crate::core::ids::UpstreamId;
use crate::core::upstreams::AttemptResult;
use crate::gateway::attempt::{AttemptProgress, UpstreamAnswer};
use crate::gateway::events::{EventParser, WholeEvents};
use crate::gateway::http::{AnswerError, CallerWriter};
use crate::gateway::refusal::Refusal;
use crate::gateway::{Gateway, GatewayMechanism};

/// Events of a stream whose pace says something about the engine.
const MIN_LATENCY_EVENTS: u64 = 4;

/// How passing an answer on ended before its end.
enum RelayError {
    CallerLeft,
    Broken(AnswerError),
}

/// What has passed of an answer.
struct RelayState {
    events: EventParser,
    /// Set where a stream may go on elsewhere, for which callers get whole events only.
    complete_events: Option<WholeEvents>,
    /// Time until the first byte of the body was passed on.
    first_byte_after: Option<Duration>,
    /// When the first bytes came of the answer that is being read.
    first_byte_at: Option<Instant>,
    /// Events that came before that answer.
    earlier_events: u64,
}

impl RelayState {
    fn new(call: &CallContext, answer: &UpstreamAnswer) -> Self {
        let is_resumable = call.route.is_resumable && answer.is_event_stream();
        Self {
            events: EventParser::default(),
            complete_events: is_resumable.then(WholeEvents::default),
            first_byte_after: None,
            first_byte_at: None,
            earlier_events: 0,
        }
    }

    /// Whether the body may end here.
    fn is_complete(&self) -> bool {
        self.complete_events.as_ref().is_none_or(WholeEvents::is_empty)
    }

    /// Forgets the part of an event that came before the answer broke off.
    fn reset_for_resume(&mut self) {
        self.first_byte_at = None;
        self.earlier_events = self.events.events();
        if let Some(events) = self.complete_events.as_mut() {
            events.clear();
        }
    }
}

impl Gateway {
    /// Passes an answer on as it comes. A turn's end waits until the turn is durable.
    pub(super) async fn relay(
        self: &Rc<Self>,
        call: &CallContext,
        mut answer: UpstreamAnswer,
        mut turn: Option<ActiveTurn>,
        progress: &AttemptProgress,
        writer: &mut CallerWriter,
    ) -> CallEnd {
        let mut state = RelayState::new(call, &answer);
        if self.start_answer(&answer, writer).is_err() {
            return CallEnd::aborted("unwritable_head", Some(answer.choice.id));
        }
        loop {
            let error =
                match self.forward_body(call, &mut answer, &mut state, &mut turn, writer).await {
                    Ok(()) => break,
                    Err(RelayError::CallerLeft) => {
                        return CallEnd::aborted("caller_left", Some(answer.choice.id));
                    }
                    Err(RelayError::Broken(error)) => error,
                };
            answer = match self.resume(call, answer, &error, &mut state, progress, writer).await {
                Ok(next) => next,
                Err(upstream) => return self.end_broken(upstream, writer).await,
            };
        }
        self.end_relay(call, answer, state, turn, writer).await
    }

    fn start_answer(
        &self,
        answer: &UpstreamAnswer,
        writer: &mut CallerWriter,
    ) -> std::io::Result<()> {
        let headers = end_to_end_headers(&answer.head.headers);
        // The declared length is not passed on: a turn's end must be withheld, and a body that
        // breaks off must not look complete.
        writer.start(answer.head.status, headers, self.is_draining())
    }

    /// Passes on an answer's body until its end.
    async fn forward_body(
        &self,
        call: &CallContext,
        answer: &mut UpstreamAnswer,
        state: &mut RelayState,
        turn: &mut Option<ActiveTurn>,
        writer: &mut CallerWriter,
    ) -> Result<(), RelayError> {
        loop {
            let Some(chunk) = answer.next_chunk().await.map_err(RelayError::Broken)? else {
                let ended = state.is_complete();
                return if ended { Ok(()) } else { Err(RelayError::Broken(AnswerError::Ended)) };
            };
            if state.first_byte_at.is_none() {
                state.first_byte_at = Some(Instant::now());
                answer.guard.record_first_byte();
            }
            let chunk = match state.complete_events.as_mut() {
                Some(events) => events.push(&chunk),
                None => chunk,
            };
            if chunk.is_empty() {
                continue;
            }
            let events = state.events.push(&chunk);
            if state.complete_events.is_some() && state.events.is_disordered() {
                return Err(RelayError::Broken(AnswerError::Foreign));
            }
            if let Some(turn) = turn.as_mut() {
                turn.reservation.count(events * call.event_tokens);
            }
            state.first_byte_after.get_or_insert_with(|| call.arrived.elapsed());
            writer.chunk(chunk).await.map_err(|_| RelayError::CallerLeft)?;
        }
    }

    /// Finds the rest of a stream that broke off; the upstream that did, if there is none.
    async fn resume(
        self: &Rc<Self>,
        call: &CallContext,
        broken: UpstreamAnswer,
        error: &AnswerError,
        state: &mut RelayState,
        progress: &AttemptProgress,
        writer: &mut CallerWriter,
    ) -> Result<UpstreamAnswer, UpstreamId> {
        broken.guard.record(AttemptResult::Broken);
        let UpstreamAnswer { choice, connection, guard, sent_at, .. } = broken;
        log::warn!(
            "event=answer_broken request={} upstream={} sent_ms={} events={} error=\"{error}\"",
            call.id,
            choice.id,
            sent_at.elapsed().as_millis(),
            state.events.events()
        );
        // The upstream drops the request when its connection closes.
        drop((connection, guard));
        let last = state.events.last_id().cloned();
        let is_known = state.events.events() == 0 || last.is_some();
        if state.complete_events.is_none() || !is_known || state.events.is_disordered() {
            return Err(choice.id);
        }
        state.reset_for_resume();
        progress.last_event.replace(last.clone());
        let next = self.attempt_resume(call, &choice, progress).await.map_err(|refusal| {
            log::info!("event=stream_not_resumed request={} reason={}", call.id, refusal.reason);
            choice.id.clone()
        })?;
        if !next.is_event_stream() {
            return Err(next.choice.id);
        }
        log::info!(
            "event=stream_resumed request={} from={} to={} after={}",
            call.id,
            choice.id,
            next.choice.id,
            last.as_deref().unwrap_or("-")
        );
        // Where nothing has left, the caller gets the headers of the upstream that answers.
        if writer.take_back() && self.start_answer(&next, writer).is_err() {
            return Err(next.choice.id);
        }
        Ok(next)
    }

    async fn end_relay(
        &self,
        call: &CallContext,
        answer: UpstreamAnswer,
        state: RelayState,
        turn: Option<ActiveTurn>,
        writer: &mut CallerWriter,
    ) -> CallEnd {
        let UpstreamAnswer { choice, connection, head, info, guard, .. } = answer;
        let RelayState { events, first_byte_after, first_byte_at, earlier_events, .. } = state;
        let (upstream, status) = (choice.id.clone(), head.status);
        guard.record(AttemptResult::Answered);
        // The cache of a previous incarnation is gone.
        if self.news.upstreams.borrow().has_incarnation(&upstream, choice.started_at) {
            self.record_resident_blocks(call, &upstream);
            self.record_event_latency(&upstream, first_byte_at, events.events() - earlier_events);
        }
        self.pool.put(&choice.address, connection, info.keep_alive);
        if let Some(mut turn) = turn.filter(|_| status == StatusCode::OK) {
            if !events.is_whole() {
                return CallEnd::aborted("stream_torn", Some(upstream));
            }
            turn.record_holder(call.head.line.as_ref(), &choice);
            if turn.is_persisted() && !turn.persist(&choice, events, call.deadline).await {
                return CallEnd::aborted("turn_not_kept", Some(upstream));
            }
        }
        let keep_alive =
            writer.finish().await.is_ok() && writer.keeps_alive() && !self.is_draining();
        CallEnd {
            outcome: "answered",
            status: status.as_u16(),
            upstream: Some(upstream),
            first_byte_after,
            keep_alive,
        }
    }

    /// An answer that broke off is cut visibly, or answered as lost if nothing of it was sent.
    async fn end_broken(&self, upstream: UpstreamId, writer: &mut CallerWriter) -> CallEnd {
        if writer.take_back() {
            let refusal = Refusal::unknown(StatusCode::BAD_GATEWAY, "answer_broken");
            return self.end_refused(&refusal, writer).await;
        }
        CallEnd::aborted("answer_broken", Some(upstream))
    }

    /// Notes how fast an engine made its events. The time to the first one depends on the prompt,
    /// and that of a plain service on the request; neither tells about the upstream.
    fn record_event_latency(
        &self,
        upstream: &UpstreamId,
        first_byte_at: Option<Instant>,
        events: u64,
    ) {
        let enabled = self.settings.uses(GatewayMechanism::PaceAvoidance);
        let first_byte_at = first_byte_at.filter(|_| enabled && events >= MIN_LATENCY_EVENTS);
        let Some(first_byte_at) = first_byte_at else { return };
        let millis = first_byte_at.elapsed().as_secs_f64() * 1e3 / (events - 1) as f64;
        self.news.upstreams.borrow_mut().observe_latency(upstream, millis, Instant::now());
    }

    /// Notes what the engine's memory now holds.
    fn record_resident_blocks(&self, call: &CallContext, upstream: &UpstreamId) {
        if !self.settings.uses(GatewayMechanism::PromptPlacement) {
            return;
        }
        let mut upstreams = self.news.upstreams.borrow_mut();
        for block in &call.head.parts {
            upstreams.record_resident(upstream, &block.id);
        }
    }
}

impl UpstreamAnswer {
    /// Whether it is a stream of events.
    fn is_event_stream(&self) -> bool {
        let kind = self.head.headers.get(CONTENT_TYPE).and_then(|kind| kind.to_str().ok());
        let is_events = kind.is_some_and(|kind| kind.starts_with("text/event-stream"));
        self.head.status == StatusCode::OK && is_events
    }

    /// The next part of the body; none at its end.
    async fn next_chunk(&mut self) -> Result<Option<Bytes>, AnswerError> {
        match self.body.take() {
            Some(body) if !body.is_empty() => Ok(Some(body)),
            _ => self.connection.chunk().await,
        }
    }
}
