//! Passes an upstream's answer on to the caller.

use std::rc::Rc;

use actix_http::StatusCode;
use bytes::Bytes;
use tokio::time::Instant;

use super::prepare::end_to_end;
use super::turn::TurnWork;
use super::{CallContext, CallEnd};
use crate::core::ids::UpstreamId;
use crate::core::upstreams::AttemptResult;
use crate::gateway::attempt::UpstreamAnswer;
use crate::gateway::events::EventParser;
use crate::gateway::http::{AnswerError, CallerWriter};
use crate::gateway::refusal::Refusal;
use crate::gateway::{Gateway, GatewayMechanism};

/// Events of a stream whose pace says something about the engine.
const MIN_PACED_EVENTS: u64 = 4;

impl Gateway {
    /// Passes an answer on as it comes. A turn's end waits until the turn is durable.
    pub(super) async fn relay(
        self: &Rc<Self>,
        call: &CallContext,
        mut answer: UpstreamAnswer,
        mut turn: Option<TurnWork>,
        writer: &mut CallerWriter,
    ) -> CallEnd {
        let upstream = answer.choice.id.clone();
        let status = answer.head.status;
        let mut events = EventParser::default();
        let mut first = None;
        let mut first_at = None;
        let headers = end_to_end(&answer.head.headers);
        // The declared length is not passed on: a turn's end must be withheld, and a body that
        // breaks off must not look complete.
        if writer.start(status, headers, self.is_draining()).is_err() {
            return CallEnd::cut("unwritable_head", Some(upstream));
        }
        loop {
            let chunk = match answer.next_chunk().await {
                Ok(Some(chunk)) => chunk,
                Ok(None) => break,
                Err(error) => return self.end_broken(call, &answer, &error, writer).await,
            };
            if let Some(turn) = turn.as_mut() {
                turn.reservation.count(events.push(&chunk) * call.event_tokens);
            }
            first.get_or_insert_with(|| call.arrived.elapsed());
            if first_at.is_none() {
                first_at = Some(Instant::now());
                answer.guard.heard();
            }
            if writer.chunk(chunk).await.is_err() {
                return CallEnd::cut("caller_left", Some(upstream));
            }
        }
        answer.guard.record(AttemptResult::Answered);
        // What a former life has read is in nobody's memory.
        if self.news.upstreams.borrow().lives(&upstream, answer.choice.born) {
            self.note_resident(call, &upstream);
            self.note_pace(&upstream, first_at, events.events());
        }
        let UpstreamAnswer { choice, connection, info, .. } = answer;
        self.pool.put(&choice.address, connection, info.keep_alive);
        if let Some(turn) = turn.filter(|_| status == StatusCode::OK) {
            if !events.is_whole() {
                return CallEnd::cut("stream_torn", Some(upstream));
            }
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
    async fn end_broken(
        &self,
        call: &CallContext,
        answer: &UpstreamAnswer,
        error: &AnswerError,
        writer: &mut CallerWriter,
    ) -> CallEnd {
        answer.guard.record(AttemptResult::Broken);
        log::warn!(
            "event=answer_broken request={} upstream={} sent_ms={} error=\"{error}\"",
            call.id,
            answer.choice.id,
            answer.sent_at.elapsed().as_millis()
        );
        if writer.take_back() {
            let refusal = Refusal::unknown(StatusCode::BAD_GATEWAY, "answer_broken");
            return self.end_refused(&refusal, writer).await;
        }
        CallEnd::cut("answer_broken", Some(answer.choice.id.clone()))
    }

    /// Notes how fast an engine made its events. The time to the first one depends on the prompt,
    /// and that of a plain service on the request; neither tells about the upstream.
    fn note_pace(&self, upstream: &UpstreamId, first_at: Option<Instant>, events: u64) {
        let paced = self.settings.uses(GatewayMechanism::PaceAvoidance);
        let first_at = first_at.filter(|_| paced && events >= MIN_PACED_EVENTS);
        let Some(first_at) = first_at else { return };
        let millis = first_at.elapsed().as_secs_f64() * 1e3 / (events - 1) as f64;
        self.news.upstreams.borrow_mut().measure(upstream, millis, Instant::now());
    }

    /// Notes what the engine's memory now holds.
    fn note_resident(&self, call: &CallContext, upstream: &UpstreamId) {
        if !self.settings.uses(GatewayMechanism::PromptPlacement) {
            return;
        }
        let mut upstreams = self.news.upstreams.borrow_mut();
        for part in &call.head.parts {
            upstreams.note_resident(upstream, &part.part);
        }
    }
}

impl UpstreamAnswer {
    /// The next part of the body; none at its end.
    async fn next_chunk(&mut self) -> Result<Option<Bytes>, AnswerError> {
        match self.body.take() {
            Some(body) if !body.is_empty() => Ok(Some(body)),
            _ => self.connection.chunk().await,
        }
    }
}
