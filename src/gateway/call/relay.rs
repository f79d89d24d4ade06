//! Streams the response of an upstream to the caller and resumes it if the upstream fails.

use std::rc::Rc;

use actix_http::StatusCode;
use actix_http::header::CONTENT_TYPE;
use bytes::Bytes;
use tokio::time::Instant;

use super::CallContext;
use super::ending::{CallEnd, CallFailure};
use super::prepare::end_to_end_headers;
use super::turn::ActiveTurn;
use crate::core::ids::UpstreamId;
use crate::core::repeats::AttemptEnd;
use crate::core::upstreams::AttemptResult;
use crate::gateway::attempt::{AttemptProgress, UpstreamAnswer, answer_end, record_lost};
use crate::gateway::events::{EventFramer, EventParser};
use crate::gateway::http::CloseReason;
use crate::gateway::http::{AnswerError, CallerWriter};
use crate::gateway::{Gateway, GatewayMechanism};

/// Shorter streams say little about the latency of an engine.
const MIN_LATENCY_EVENTS: u64 = 4;

const EVENT_STREAM: &str = "text/event-stream";

enum RelayError {
    CallerLeft,
    /// There is no memory for what has to be kept of the response.
    MemoryFull,
    Broken(AnswerError),
}

/// Maximum memory of a response that is being relayed. Idempotent requests are buffered up to the same
/// size.
const MAX_RELAY_BYTES: usize = 4 * 1024 * 1024;

/// Progress of a response, over all upstreams that contributed to it.
struct RelayState {
    events: EventParser,
    /// Present for resumable streams, of which only complete events are forwarded.
    complete_events: Option<EventFramer>,
    /// Arrival of the first byte from the current upstream.
    first_byte_at: Option<Instant>,
    /// Events received from earlier upstreams.
    earlier_events: u64,
    /// Bytes that the call's permit holds for the response.
    held_bytes: usize,
}

impl RelayState {
    fn new(call: &CallContext, answer: &UpstreamAnswer, turn: Option<&ActiveTurn>) -> Self {
        let is_resumable = call.route.is_resumable && answer.is_event_stream();
        let is_persisted = turn.is_some_and(ActiveTurn::is_persisted);
        let events = if is_persisted { EventParser::with_output() } else { EventParser::default() };
        Self {
            events,
            complete_events: is_resumable.then(EventFramer::default),
            first_byte_at: None,
            earlier_events: 0,
            held_bytes: 0,
        }
    }

    /// Lets the call's permit hold what is kept of the response. An upstream must not decide how much
    /// that is: an event or a stream may have no end.
    fn hold_memory(&mut self, call: &CallContext) -> Result<(), RelayError> {
        let framed = self.complete_events.as_ref().map_or(0, EventFramer::held_bytes);
        let bytes = self.events.held_bytes() + framed;
        if bytes > MAX_RELAY_BYTES {
            return Err(RelayError::Broken(AnswerError::TooLarge { bytes }));
        }
        if !call.memory.try_resize(self.held_bytes, bytes) {
            return Err(RelayError::MemoryFull);
        }
        self.held_bytes = bytes;
        Ok(())
    }

    /// False in the middle of an event of a resumable stream.
    fn is_complete(&self) -> bool {
        self.complete_events.as_ref().is_none_or(EventFramer::is_empty)
    }

    /// Drops the incomplete event at the end of the broken response.
    fn reset_for_resume(&mut self) {
        self.first_byte_at = None;
        self.earlier_events = self.events.events();
        if let Some(events) = self.complete_events.as_mut() {
            events.clear();
        }
    }
}

impl Gateway {
    /// The end of a turn's response is sent only after the turn is durable.
    pub(super) async fn relay(
        self: &Rc<Self>,
        call: &CallContext,
        mut answer: UpstreamAnswer,
        mut turn: Option<ActiveTurn>,
        progress: &AttemptProgress,
        writer: &mut CallerWriter,
    ) -> Result<CallEnd, CallFailure> {
        let mut state = RelayState::new(call, &answer, turn.as_ref());
        if state.complete_events.is_none() {
            call.release_body();
        }
        self.start_answer(&answer, writer)
            .map_err(|error| unwritable_head(call, &answer, &error))?;
        loop {
            let body =
                self.forward_body(call, &mut answer, &mut state, &mut turn, progress, writer);
            let error = match body.await {
                Ok(()) => break,
                Err(RelayError::CallerLeft) => return Err(CallFailure::CallerLeft),
                Err(RelayError::MemoryFull) => {
                    return Err(CallFailure::AnswerBroken("memory_full"));
                }
                Err(RelayError::Broken(error)) => error,
            };
            answer = self.resume(call, answer, &error, &mut state, progress, writer).await?;
        }
        self.end_relay(call, answer, state, turn, writer).await
    }

    fn start_answer(
        &self,
        answer: &UpstreamAnswer,
        writer: &mut CallerWriter,
    ) -> std::io::Result<()> {
        let headers = end_to_end_headers(&answer.head.headers);
        // The declared length is not forwarded: the end of a turn must be withheld, and a truncated
        // body must not look complete.
        writer.start(answer.head.status, headers, self.is_draining())
    }

    async fn forward_body(
        &self,
        call: &CallContext,
        answer: &mut UpstreamAnswer,
        state: &mut RelayState,
        turn: &mut Option<ActiveTurn>,
        progress: &AttemptProgress,
        writer: &mut CallerWriter,
    ) -> Result<(), RelayError> {
        // Other bodies need not have lines, which the parser keeps until they end.
        let is_parsed = answer.is_event_stream() || is_turn(answer, turn.as_ref());
        loop {
            let Some(chunk) = answer.next_chunk().await.map_err(RelayError::Broken)? else {
                let has_ended = state.is_complete() && !is_cut_empty(answer, &state.events);
                return if has_ended {
                    Ok(())
                } else {
                    Err(RelayError::Broken(AnswerError::Ended))
                };
            };
            answer.guard.record_byte();
            if state.first_byte_at.is_none() {
                state.first_byte_at = Some(Instant::now());
                answer.guard.record_first_byte();
            }
            let chunk = match state.complete_events.as_mut() {
                Some(events) => events.push(&chunk),
                None => chunk,
            };
            let events = if is_parsed { state.events.push(&chunk) } else { 0 };
            state.hold_memory(call)?;
            if chunk.is_empty() {
                continue;
            }
            if state.complete_events.is_some() && state.events.is_out_of_order() {
                return Err(RelayError::Broken(AnswerError::Foreign));
            }
            if let Some(turn) = turn.as_mut() {
                turn.reservation.record_tokens(events * call.event_tokens);
            }
            progress.record_first_byte(call.arrived);
            writer.chunk(chunk).await.map_err(|_| RelayError::CallerLeft)?;
        }
    }

    /// Continues a broken stream.
    async fn resume(
        self: &Rc<Self>,
        call: &CallContext,
        broken: UpstreamAnswer,
        error: &AnswerError,
        state: &mut RelayState,
        progress: &AttemptProgress,
        writer: &mut CallerWriter,
    ) -> Result<UpstreamAnswer, CallFailure> {
        const BROKEN: CallFailure = CallFailure::AnswerBroken("answer_broken");
        broken.guard.record(AttemptResult::Broken);
        let UpstreamAnswer { choice, connection, guard, sent_at, .. } = broken;
        log::warn!(
            "event=answer_broken request={} upstream={} sent_ms={} events={} error=\"{error}\"",
            call.id,
            choice.id,
            sent_at.elapsed().as_millis(),
            state.events.events()
        );
        record_lost(progress, &choice, &guard, error);
        // Upstreams cancel a request when its connection closes.
        drop((connection, guard));
        let last = state.events.last_id().cloned();
        let is_known = state.events.events() == 0 || last.is_some();
        if state.complete_events.is_none() || !is_known || state.events.is_out_of_order() {
            return Err(BROKEN);
        }
        state.reset_for_resume();
        progress.last_event.replace(last.clone());
        let next = self.attempt_resume(call, &choice, progress).await.map_err(|refusal| {
            log::info!("event=stream_not_resumed request={} reason={}", call.id, refusal.reason);
            BROKEN
        })?;
        if !next.is_event_stream() {
            return Err(BROKEN);
        }
        log::info!(
            "event=stream_resumed request={} from={} to={} after={}",
            call.id,
            choice.id,
            next.choice.id,
            last.as_deref().unwrap_or("-")
        );
        // If nothing was sent yet, the caller gets the headers of the new upstream.
        if writer.discard_unsent() {
            self.start_answer(&next, writer)
                .map_err(|error| unwritable_head(call, &next, &error))?;
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
    ) -> Result<CallEnd, CallFailure> {
        let must_be_complete = answer.is_event_stream() || is_turn(&answer, turn.as_ref());
        let UpstreamAnswer { choice, connection, head, info, guard, .. } = answer;
        let RelayState { events, first_byte_at, earlier_events, .. } = state;
        let (upstream, status) = (choice.id.clone(), head.status);
        if must_be_complete && !events.is_complete() {
            guard.record(AttemptResult::Broken);
            guard.record_end(AttemptEnd::Torn);
            return Err(CallFailure::AnswerBroken("stream_torn"));
        }
        guard.record(AttemptResult::Answered);
        guard.record_end(answer_end(&connection, status));
        // An upstream that restarted has lost its cache.
        if self.feed.upstreams.borrow().has_incarnation(&upstream, choice.started_at) {
            self.record_resident_blocks(call, &upstream);
            self.record_event_latency(&upstream, first_byte_at, events.events() - earlier_events);
        }
        guard.release_connection(connection, &choice.address, status, info.keep_alive);
        if let Some(mut turn) = turn.filter(|_| status == StatusCode::OK) {
            turn.record_holder(call.head.branch.as_ref(), &choice);
            if !turn.is_persisted() {
                turn.finish().await;
            } else if !turn.persist(&choice, events, call.deadline).await {
                return Err(CallFailure::AnswerBroken("turn_not_kept"));
            }
        }
        let finished = writer.finish().await.map_err(|_| CloseReason::CallerLeft);
        match writer.has_failed() {
            true => Err(CallFailure::CallerLeft),
            false => {
                let close = finished.and_then(|()| writer.next_request()).err();
                Ok(CallEnd::answered(status, close))
            }
        }
    }

    /// Time per event after the first. The time to the first event depends on the prompt, and that of
    /// a plain service on the request, so neither is a measure of the upstream.
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
        self.feed.upstreams.borrow_mut().observe_latency(upstream, millis, Instant::now());
    }

    fn record_resident_blocks(&self, call: &CallContext, upstream: &UpstreamId) {
        if !self.settings.uses(GatewayMechanism::PromptPlacement) {
            return;
        }
        let mut upstreams = self.feed.upstreams.borrow_mut();
        for block in &call.head.blocks {
            upstreams.record_resident(upstream, &block.id);
        }
    }
}

fn unwritable_head(
    call: &CallContext,
    answer: &UpstreamAnswer,
    error: &std::io::Error,
) -> CallFailure {
    log::warn!(
        "event=head_unwritable request={} upstream={} error=\"{error}\"",
        call.id,
        answer.choice.id
    );
    CallFailure::AnswerBroken("unwritable_head")
}

/// Whether a stream without a length ended with its connection before any event: an engine that crashed
/// ends it so too.
fn is_cut_empty(answer: &UpstreamAnswer, events: &EventParser) -> bool {
    events.events() == 0 && answer.is_event_stream() && answer.connection.ended_by_close()
}

fn is_turn(answer: &UpstreamAnswer, turn: Option<&ActiveTurn>) -> bool {
    turn.is_some() && answer.head.status == StatusCode::OK
}

impl UpstreamAnswer {
    fn is_event_stream(&self) -> bool {
        let kind = self.head.headers.get(CONTENT_TYPE).and_then(|kind| kind.to_str().ok());
        let essence = kind.and_then(|kind| kind.split(';').next()).map(str::trim);
        let is_events = essence.is_some_and(|kind| kind.eq_ignore_ascii_case(EVENT_STREAM));
        self.head.status == StatusCode::OK && is_events
    }

    /// `None` at the end of the body.
    async fn next_chunk(&mut self) -> Result<Option<Bytes>, AnswerError> {
        let pieces = self.body.as_mut().map(|body| &mut body.pieces);
        let piece = pieces.and_then(|pieces| {
            pieces.retain(|piece| !piece.is_empty());
            pieces.pop_front()
        });
        match piece {
            Some(piece) => Ok(Some(piece)),
            None => self.connection.chunk().await,
        }
    }
}
