//! One request of a caller, from its head to the end of its answer.

use std::rc::Rc;
use std::time::Duration;

use actix_http::header::{CONNECTION, HeaderMap, HeaderName};
use actix_http::{Method, StatusCode};
use bytes::Bytes;
use rand::random;
use tokio::time::{Instant, timeout_at};

use super::Gateway;
use super::attempt::{AttemptLog, UpstreamAnswer, chain_body};
use super::dialect::CallHead;
use super::events::EventParser;
use super::http::{AnswerError, CallerReader, CallerRequest, CallerWriter};
use super::metrics::CallSample;
use super::refusal::Refusal;
use super::turns::{
    ChainError, MAX_NAME_BYTES, ReserveError, TurnChain, TurnClaim, TurnReservation,
};
use crate::core::ids::{RequestId, Tokens, UpstreamId};
use crate::core::routing::{RouteSpec, RouteTable, ServiceName};
use crate::core::turns::{ProgramName, TurnId, TurnRecord};
use crate::core::upstreams::AttemptResult;
use crate::node::platform::StoreError;

/// When a caller may come back to an instance that has no routes yet: they are read in a second.
const NO_ROUTES_RETRY: Duration = Duration::from_millis(500);
/// When a caller may come back while the store is away. What lasts longer than a blip lasts for
/// seconds; callers wait up to a third of their time, which is 2 s for a turn, and try a few times:
/// sooner, they would have used up their tries before the store is back.
const STORE_RETRY: Duration = Duration::from_secs(2);
/// When a caller may come back whose request found no place before its deadline.
const DEADLINE_RETRY: Duration = Duration::from_millis(500);
/// Time left to the caller after a reservation is given up.
const RESERVE_MARGIN: Duration = Duration::from_millis(200);
/// Times a turn is prepared before what it continues from counts as gone.
const CLAIM_TRIES: usize = 3;
/// Events of a stream whose pace says something about the engine.
const MIN_PACED_EVENTS: u64 = 4;
/// Headers that concern one connection only (RFC 9110, 7.6.1), and those the codec writes.
const HOP_HEADERS: [&str; 10] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];

/// Everything that is decided about a request before it is sent on.
pub(crate) struct CallContext {
    pub(crate) id: RequestId,
    pub(crate) head: CallHead,
    pub(crate) method: Method,
    pub(crate) target: Box<str>,
    /// The caller's headers without those of its connection.
    pub(crate) headers: HeaderMap,
    /// What the upstream is sent.
    pub(crate) body: Bytes,
    pub(crate) route: Rc<RouteSpec>,
    pub(crate) service: ServiceName,
    pub(crate) arrived: Instant,
    pub(crate) deadline: Instant,
    pub(crate) priority: Option<u8>,
    /// The engine that holds the chain.
    pub(crate) holder: Option<UpstreamId>,
    /// Tokens in each event of the engine's stream.
    event_tokens: Tokens,
}

/// The part of a call that belongs to a program's history.
struct TurnWork {
    previous: Option<TurnId>,
    /// The program that made it, if it is another one.
    origin: Option<ProgramName>,
    input: Bytes,
    reservation: TurnReservation,
}

/// How a call ended, for the log and the metrics.
struct CallEnd {
    outcome: &'static str,
    status: u16,
    upstream: Option<UpstreamId>,
    /// Time until the first byte of the answer's body was passed on.
    first: Option<Duration>,
    /// Whether the caller's connection is good for another request.
    keep: bool,
}

impl CallEnd {
    fn cut(outcome: &'static str, upstream: Option<UpstreamId>) -> Self {
        Self { outcome, status: 0, upstream, first: None, keep: false }
    }
}

/// Removes what concerns only the connection a message came on.
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let nominated: Vec<Box<str>> = headers
        .get_all(CONNECTION)
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase().into())
        .collect();
    let kept = |name: &HeaderName| {
        let name = name.as_str();
        !HOP_HEADERS.contains(&name) && !nominated.iter().any(|hop| **hop == *name)
    };
    let mut result = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers.iter().filter(|(name, _)| kept(name)) {
        result.append(name.clone(), value.clone());
    }
    result
}

impl Gateway {
    /// Answers one request; false if the connection must be closed.
    pub(crate) async fn serve_call(
        self: &Rc<Self>,
        request: CallerRequest,
        arrived: Instant,
        reader: &mut CallerReader,
        writer: &mut CallerWriter,
    ) -> bool {
        let method = request.method.clone();
        let (call, turn) = match self.prepare(request, arrived, reader, writer).await {
            Ok(prepared) => prepared,
            Err((id, refusal)) => {
                return self.refuse_unrouted(&id, &method, &refusal, arrived, writer).await;
            }
        };
        let log = AttemptLog::default();
        let end = tokio::select! {
            biased;
            () = reader.closed() => CallEnd::cut("caller_left", None),
            end = self.run_call(&call, turn, &log, writer) => end,
        };
        self.note_end(&call, &end, &log);
        end.keep
    }

    fn note_end(&self, call: &CallContext, end: &CallEnd, log: &AttemptLog) {
        let elapsed = call.arrived.elapsed();
        let sample = CallSample {
            route: &call.route.name,
            outcome: end.outcome,
            elapsed,
            first: end.first,
            tries: log.tries.get(),
        };
        self.metrics.call_ended(&sample);
        log::info!(
            "event=call_ended request={} program={} route={} kind={} outcome={} status={} \
             upstream={} tries={} runs={} first_ms={} ms={}",
            call.id,
            call.head.program.as_deref().unwrap_or("-"),
            call.route.name,
            call.route.kind,
            end.outcome,
            end.status,
            end.upstream.as_deref().unwrap_or("-"),
            log.tries.get(),
            log.runs.get(),
            end.first.map_or(0, |first| first.as_millis()),
            elapsed.as_millis(),
        );
    }

    /// Refuses a request for which no route was found or whose body could not be read.
    async fn refuse_unrouted(
        &self,
        id: &str,
        method: &Method,
        refusal: &Refusal,
        arrived: Instant,
        writer: &mut CallerWriter,
    ) -> bool {
        log::info!(
            "event=call_refused request={id} method={method} status={} reason={} ms={}",
            refusal.status.as_u16(),
            refusal.reason,
            arrived.elapsed().as_millis()
        );
        self.metrics.refused(refusal.reason);
        // What is left of the body would be taken for the next request.
        self.send_refusal(refusal, writer, true).await
    }

    pub(crate) async fn send_refusal(
        &self,
        refusal: &Refusal,
        writer: &mut CallerWriter,
        close: bool,
    ) -> bool {
        let close = close || self.is_draining();
        let sent = writer.answer(refusal.status, refusal.headers(), refusal.body(), close).await;
        sent.is_ok() && !close && writer.keeps_alive()
    }

    /// Finds the route of a request and reads its body.
    async fn prepare(
        self: &Rc<Self>,
        request: CallerRequest,
        arrived: Instant,
        reader: &mut CallerReader,
        writer: &mut CallerWriter,
    ) -> Result<(CallContext, bool), (RequestId, Refusal)> {
        let head = match self.dialect.call_head(&request.headers) {
            Ok(head) => head,
            Err(error) => {
                log::info!("event=head_malformed error=\"{error}\"");
                let refusal = Refusal::rejected(StatusCode::BAD_REQUEST, "malformed_head");
                return Err((RequestId::default(), refusal));
            }
        };
        let id = head.request.clone().unwrap_or_default();
        let fail = |refusal| (id.clone(), refusal);
        let (table, route) = self.find_route(&request).await.map_err(fail)?;
        if id.is_empty() {
            let refusal = Refusal::rejected(StatusCode::BAD_REQUEST, "no_request_id");
            return Err(fail(refusal));
        }
        let wait = head.deadline.unwrap_or(route.timeout).min(route.timeout);
        let deadline = arrived + wait;
        let limit = table.limits.body_bytes.min(self.settings.body_bytes());
        let body = reader.body(&request, writer, limit, deadline).await.map_err(|error| {
            let refusal = Refusal::unreadable(&error);
            fail(refusal.unwrap_or(Refusal::rejected(StatusCode::BAD_REQUEST, "broken_body")))
        })?;
        let Some(service) = route.service(random()).cloned() else {
            return Err(fail(Refusal::not_run("route_without_service", NO_ROUTES_RETRY)));
        };
        let engine = table.service(&service).and_then(|spec| spec.engine.as_ref());
        let call = CallContext {
            id: id.clone(),
            method: request.method.clone(),
            target: request.target.clone(),
            headers: end_to_end(&request.headers),
            body,
            priority: engine.map(|_| route.priority.min(9)),
            event_tokens: engine.map_or(1, |engine| engine.event_tokens),
            service,
            arrived,
            deadline,
            holder: None,
            head,
            route,
        };
        let is_turn = call.route.retention.is_some();
        Ok((call, is_turn))
    }

    async fn find_route(
        &self,
        request: &CallerRequest,
    ) -> Result<(Rc<RouteTable>, Rc<RouteSpec>), Refusal> {
        let find = |table: &Rc<RouteTable>| table.find(&request.host, request.path()).cloned();
        let Some(table) = self.news.routes() else {
            return Err(Refusal::not_run("no_routes_yet", NO_ROUTES_RETRY));
        };
        if let Some(route) = find(&table) {
            return Ok((table, route));
        }
        let fresh = self.news.refresh_routes().await;
        let table = self.news.routes().unwrap_or(table);
        match find(&table) {
            Some(route) => Ok((table, route)),
            None if fresh => Err(Refusal::rejected(StatusCode::NOT_FOUND, "no_such_route")),
            None => Err(Refusal::not_run("routes_uncertain", NO_ROUTES_RETRY)),
        }
    }

    /// Runs a prepared call and writes its answer.
    async fn run_call(
        self: &Rc<Self>,
        call: &CallContext,
        is_turn: bool,
        log: &AttemptLog,
        writer: &mut CallerWriter,
    ) -> CallEnd {
        if !is_turn {
            return self.send_on(call, None, log, writer).await;
        }
        match timeout_at(call.deadline, self.prepare_turn(call)).await {
            Ok(Ok((turn, prepared))) => self.send_on(&prepared, Some(turn), log, writer).await,
            Ok(Err(refusal)) => self.end_refused(&refusal, writer).await,
            Err(_) => {
                let refusal = Refusal::not_run("store_slow", DEADLINE_RETRY);
                self.end_refused(&refusal, writer).await
            }
        }
    }

    async fn end_refused(&self, refusal: &Refusal, writer: &mut CallerWriter) -> CallEnd {
        self.metrics.refused(refusal.reason);
        let keep = self.send_refusal(refusal, writer, false).await;
        let status = refusal.status.as_u16();
        CallEnd { outcome: refusal.reason, status, upstream: None, first: None, keep }
    }

    /// Reads the chain and sets the turn's tokens aside.
    async fn prepare_turn(
        self: &Rc<Self>,
        call: &CallContext,
    ) -> Result<(TurnWork, CallContext), Refusal> {
        let bad = |reason| Refusal::rejected(StatusCode::BAD_REQUEST, reason);
        let program = call.head.program.clone().ok_or_else(|| bad("no_program"))?;
        if call.id.len() > MAX_NAME_BYTES || program.len() > MAX_NAME_BYTES {
            return Err(bad("name_too_long"));
        }
        let (chain, reservation) = self.claim_turn(call, &program).await?;
        let holder = chain.turns.last().map(|turn| turn.upstream.clone());
        let body = chain_body(&chain.turns, &call.body);
        let turn = TurnWork {
            previous: call.head.previous.clone(),
            origin: chain.origin,
            input: call.body.clone(),
            reservation,
        };
        Ok((turn, call.with_chain(body, holder)))
    }

    /// Reads what a turn continues from and sets its tokens aside, anew if it has expired since it
    /// was seen here.
    async fn claim_turn(
        &self,
        call: &CallContext,
        program: &ProgramName,
    ) -> Result<(TurnChain, TurnReservation), Refusal> {
        let not_found = || Refusal::rejected(StatusCode::NOT_FOUND, "no_such_turn");
        for _ in 0..CLAIM_TRIES {
            let chain = match &call.head.previous {
                Some(previous) => self.turns.chain(program, previous).await,
                None => Ok(TurnChain::default()),
            };
            let chain = chain.map_err(|error| match error {
                ChainError::NoSuchTurn => not_found(),
                ChainError::Store(error) => self.store_refusal(&error),
            })?;
            match self.reserve(call, program, &chain).await {
                Ok(reservation) => return Ok((chain, reservation)),
                Err(ReserveError::Expired) => {}
                Err(error) => return Err(self.reserve_refusal(call, program, error)),
            }
        }
        Err(not_found())
    }

    async fn reserve(
        &self,
        call: &CallContext,
        program: &ProgramName,
        chain: &TurnChain,
    ) -> Result<TurnReservation, ReserveError> {
        let retention = call.route.retention.unwrap_or_default();
        for origin in chain.origins() {
            self.turns.keep(&origin, retention, call.deadline).await?;
        }
        let budget = call.head.token_budget.unwrap_or(Tokens::MAX);
        let most = call.head.max_output.unwrap_or(0);
        let limit = call.deadline - RESERVE_MARGIN.min(call.route.timeout);
        let claim = TurnClaim { most, budget, retention };
        self.turns.reserve(program, &call.id, claim, limit).await
    }

    fn reserve_refusal(
        &self,
        call: &CallContext,
        program: &ProgramName,
        error: ReserveError,
    ) -> Refusal {
        match error {
            ReserveError::Exhausted { committed } => {
                log::info!(
                    "event=budget_exhausted request={} program={program} budget={} \
                     committed={committed} most={}",
                    call.id,
                    call.head.token_budget.unwrap_or(Tokens::MAX),
                    call.head.max_output.unwrap_or(0)
                );
                Refusal::rejected(StatusCode::PAYMENT_REQUIRED, "budget_exhausted")
            }
            ReserveError::Expired => Refusal::rejected(StatusCode::NOT_FOUND, "no_such_turn"),
            ReserveError::Store(error) => self.store_refusal(&error),
        }
    }

    /// Nothing was sent to an upstream, so the caller may come back.
    fn store_refusal(&self, error: &StoreError) -> Refusal {
        let outage = self.store.outage().unwrap_or_default();
        log::debug!("event=store_refusal error=\"{error}\" outage_ms={}", outage.as_millis());
        Refusal::not_run("store_unavailable", STORE_RETRY)
    }

    /// Sends a call to upstreams and its answer to the caller.
    async fn send_on(
        self: &Rc<Self>,
        call: &CallContext,
        turn: Option<TurnWork>,
        log: &AttemptLog,
        writer: &mut CallerWriter,
    ) -> CallEnd {
        let answer = match timeout_at(call.deadline, self.attempt(call, log)).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(refusal)) => return self.end_refused(&refusal, writer).await,
            Err(_) => {
                let refusal = if log.exposed.get() {
                    Refusal::unknown(StatusCode::GATEWAY_TIMEOUT, "deadline")
                } else {
                    Refusal::not_run("deadline_unrun", DEADLINE_RETRY)
                };
                return self.end_refused(&refusal, writer).await;
            }
        };
        let upstream = answer.choice.id.clone();
        let relay = self.relay(call, answer, turn, writer);
        match timeout_at(call.deadline, relay).await {
            Ok(end) => end,
            Err(_) => CallEnd::cut("deadline_midway", Some(upstream)),
        }
    }

    /// Passes an answer on as it comes. A turn's end waits until the turn is durable.
    async fn relay(
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
            first_at.get_or_insert_with(Instant::now);
            if writer.chunk(chunk).await.is_err() {
                return CallEnd::cut("caller_left", Some(upstream));
            }
        }
        answer.guard.record(AttemptResult::Answered);
        self.note_resident(call, &upstream);
        self.note_pace(&upstream, first_at, events.events());
        let UpstreamAnswer { choice, connection, info, .. } = answer;
        self.pool.put(&choice.address, connection, info.keep_alive);
        if let Some(turn) = turn.filter(|_| status == StatusCode::OK) {
            if !events.is_whole() {
                return CallEnd::cut("stream_torn", Some(upstream));
            }
            let record = turn.record(&upstream, events);
            if !turn.reservation.complete(record, call.deadline).await {
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
        let Some(first_at) = first_at.filter(|_| events >= MIN_PACED_EVENTS) else { return };
        let millis = first_at.elapsed().as_secs_f64() * 1e3 / (events - 1) as f64;
        self.news.upstreams.borrow_mut().measure(upstream, millis, Instant::now());
    }

    /// Notes what the engine's memory now holds.
    fn note_resident(&self, call: &CallContext, upstream: &UpstreamId) {
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

impl TurnWork {
    fn record(&self, upstream: &UpstreamId, events: EventParser) -> TurnRecord {
        TurnRecord {
            previous: self.previous.clone(),
            origin: self.origin.clone(),
            upstream: upstream.clone(),
            input: self.input.clone(),
            output: events.into_output(),
        }
    }
}

impl CallContext {
    /// The same call with what comes before its input.
    fn with_chain(&self, body: Bytes, holder: Option<UpstreamId>) -> Self {
        Self {
            id: self.id.clone(),
            head: self.head.clone(),
            method: self.method.clone(),
            target: self.target.clone(),
            headers: self.headers.clone(),
            body,
            route: self.route.clone(),
            service: self.service.clone(),
            arrived: self.arrived,
            deadline: self.deadline,
            priority: self.priority,
            holder,
            event_tokens: self.event_tokens,
        }
    }
}
