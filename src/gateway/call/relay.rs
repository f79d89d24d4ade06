//! Passes an upstream's answer on to the caller.

use std::rc::Rc;
use std::time::Duration;

use actix_http::StatusCode;
use actix_http::header::CONTENT_TYPE;
use bytes::Bytes;
use tokio::time::Instant;

use super::prepare::end_to_end;
use super::turn::TurnWork;
use super::{CallContext, CallEnd};
use crate::core::ids::UpstreamId;
use crate::core::upstreams::AttemptResult;
use crate::gateway::attempt::{AttemptLog, UpstreamAnswer};
use crate::gateway::events::{EventFramer, EventParser};
use crate::gateway::http::{AnswerError, CallerWriter};
use crate::gateway::refusal::Refusal;
use crate::gateway::{Gateway, GatewayMechanism};

/// Events of a stream whose pace says something about the engine.
const MIN_PACED_EVENTS: u64 = 4;

/// How passing an answer on ended before its end.
enum RelayError {
    CallerLeft,
    Broken(AnswerError),
}

/// What has passed of an answer.
struct RelayState {
    events: EventParser,
    /// Set where a stream may go on elsewhere, for which callers get whole events only.
    whole: Option<EventFramer>,
    /// Time until the first byte of the body was passed on.
    first: Option<Duration>,
    /// When the first bytes came of the answer that is being read.
    first_at: Option<Instant>,
    /// Events that came before that answer.
    before: u64,
}

impl RelayState {
    fn new(call: &CallContext, answer: &UpstreamAnswer) -> Self {
        let is_resumable = call.route.is_resumable && answer.is_event_stream();
        Self {
            events: EventParser::default(),
            whole: is_resumable.then(EventFramer::default),
            first: None,
            first_at: None,
            before: 0,
        }
    }

    /// Whether the body may end here.
    fn is_whole(&self) -> bool {
        self.whole.as_ref().is_none_or(EventFramer::is_empty)
    }

    /// Forgets the part of an event that came before the answer broke off.
    fn restart(&mut self) {
        self.first_at = None;
        self.before = self.events.events();
        if let Some(whole) = self.whole.as_mut() {
            whole.clear();
        }
    }
}

impl Gateway {
    /// Passes an answer on as it comes. A turn's end waits until the turn is durable.
    pub(super) async fn relay(
        self: &Rc<Self>,
        call: &CallContext,
        mut answer: UpstreamAnswer,
        mut turn: Option<TurnWork>,
        log: &AttemptLog,
        writer: &mut CallerWriter,
    ) -> CallEnd {
        let mut state = RelayState::new(call, &answer);
        if self.start_answer(&answer, writer).is_err() {
            return CallEnd::cut("unwritable_head", Some(answer.choice.id));
        }
        loop {
            let error = match self.pass_on(call, &mut answer, &mut state, &mut turn, writer).await {
                Ok(()) => break,
                Err(RelayError::CallerLeft) => {
                    return CallEnd::cut("caller_left", Some(answer.choice.id));
                }
                Err(RelayError::Broken(error)) => error,
            };
            answer = match self.resume(call, answer, &error, &mut state, log, writer).await {
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
        let headers = end_to_end(&answer.head.headers);
        // The declared length is not passed on: a turn's end must be withheld, and a body that
        // breaks off must not look complete.
        writer.start(answer.head.status, headers, self.is_draining())
    }

    /// Passes on an answer's body until its end.
    async fn pass_on(
        &self,
        call: &CallContext,
        answer: &mut UpstreamAnswer,
        state: &mut RelayState,
        turn: &mut Option<TurnWork>,
        writer: &mut CallerWriter,
    ) -> Result<(), RelayError> {
        loop {
            let Some(chunk) = answer.next_chunk().await.map_err(RelayError::Broken)? else {
                let ended = state.is_whole();
                return if ended { Ok(()) } else { Err(RelayError::Broken(AnswerError::Ended)) };
            };
            if state.first_at.is_none() {
                state.first_at = Some(Instant::now());
                answer.guard.heard();
            }
            let chunk = match state.whole.as_mut() {
                Some(whole) => whole.push(&chunk),
                None => chunk,
            };
            if chunk.is_empty() {
                continue;
            }
            let events = state.events.push(&chunk);
            if state.whole.is_some() && state.events.is_out_of_order() {
                return Err(RelayError::Broken(AnswerError::Foreign));
            }
            if let Some(turn) = turn.as_mut() {
                turn.reservation.count(events * call.event_tokens);
            }
            state.first.get_or_insert_with(|| call.arrived.elapsed());
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
        log: &AttemptLog,
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
        if state.whole.is_none() || !is_known || state.events.is_out_of_order() {
            return Err(choice.id);
        }
        state.restart();
        log.last_event.replace(last.clone());
        let next = self.attempt_again(call, &choice, log).await.map_err(|refusal| {
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
        if writer.discard_unsent() && self.start_answer(&next, writer).is_err() {
            return Err(next.choice.id);
        }
        Ok(next)
    }

    async fn end_relay(
        &self,
        call: &CallContext,
        answer: UpstreamAnswer,
        state: RelayState,
        turn: Option<TurnWork>,
        writer: &mut CallerWriter,
    ) -> CallEnd {
        let UpstreamAnswer { choice, connection, head, info, guard, .. } = answer;
        let RelayState { events, first, first_at, before, .. } = state;
        let (upstream, status) = (choice.id.clone(), head.status);
        guard.record(AttemptResult::Answered);
        // The cache of a previous incarnation is gone.
        if self.news.upstreams.borrow().has_incarnation(&upstream, choice.started_at) {
            self.note_resident(call, &upstream);
            self.note_pace(&upstream, first_at, events.events() - before);
        }
        self.pool.put(&choice.address, connection, info.keep_alive);
        if let Some(mut turn) = turn.filter(|_| status == StatusCode::OK) {
            if !events.is_complete() {
                return CallEnd::cut("stream_torn", Some(upstream));
            }
            turn.note_holder(call.head.branch.as_ref(), &choice);
            if turn.is_kept() && !turn.keep(&choice, events, call.deadline).await {
                return CallEnd::cut("turn_not_kept", Some(upstream));
            }
        }
        let keep = writer.finish().await.is_ok() && writer.keeps_alive() && !self.is_draining();
        CallEnd {
            outcome: "answered",
            status: status.as_u16(),
            upstream: Some(upstream),
            first,
            keep,
        }
    }

    /// An answer that broke off is cut visibly, or answered as lost if nothing of it was sent.
    async fn end_broken(&self, upstream: UpstreamId, writer: &mut CallerWriter) -> CallEnd {
        if writer.discard_unsent() {
            let refusal = Refusal::unknown(StatusCode::BAD_GATEWAY, "answer_broken");
            return self.end_refused(&refusal, writer).await;
        }
        CallEnd::cut("answer_broken", Some(upstream))
    }

    /// Notes how fast an engine made its events. The time to the first one depends on the prompt,
    /// and that of a plain service on the request; neither tells about the upstream.
    fn note_pace(&self, upstream: &UpstreamId, first_at: Option<Instant>, events: u64) {
        let paced = self.settings.uses(GatewayMechanism::PaceAvoidance);
        let first_at = first_at.filter(|_| paced && events >= MIN_PACED_EVENTS);
        let Some(first_at) = first_at else { return };
        let millis = first_at.elapsed().as_secs_f64() * 1e3 / (events - 1) as f64;
        self.news.upstreams.borrow_mut().observe_latency(upstream, millis, Instant::now());
    }

    /// Notes what the engine's memory now holds.
    fn note_resident(&self, call: &CallContext, upstream: &UpstreamId) {
        if !self.settings.uses(GatewayMechanism::PromptPlacement) {
            return;
        }
        let mut upstreams = self.news.upstreams.borrow_mut();
        for block in &call.head.blocks {
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
