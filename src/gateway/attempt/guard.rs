//! Reports the start, first byte and result of an attempt to the upstream table and admission gate.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use actix_http::StatusCode;
use tokio::time::{Instant, timeout};

use crate::core::ids::{Tokens, UpstreamId};
use crate::core::load::LoadKey;
use crate::core::repeats::AttemptEnd;
use crate::core::routing::{RouteKind, ServiceName};
use crate::core::upstreams::{AttemptResult, AttemptTiming, UpstreamChoice};
use crate::gateway::call::CallContext;
use crate::gateway::http::ClientConnection;
use crate::gateway::repeats::{WorkAttempt, WorkTarget};
use crate::gateway::{Gateway, GatewayMechanism};

/// An answer that arrives at once is an error or a short text, not a model's stream.
const MIN_STREAMING: Duration = Duration::from_millis(1);

/// An upstream that ends with an error as its last words closes its connections within this time.
const LAST_WORDS_WATCH: Duration = Duration::from_secs(1);

/// An attempt in progress. Reported on drop, as abandoned unless a result was recorded.
pub(crate) struct AttemptGuard {
    gateway: Rc<Gateway>,
    upstream: UpstreamId,
    started_at: Instant,
    service: ServiceName,
    /// Set where the load of upstreams is shared, until the end was reported.
    load_key: Cell<Option<LoadKey>>,
    missing_tokens: Tokens,
    found_slot: bool,
    /// Whether the times of events are observed; a buffered answer has none.
    is_streamed: bool,
    first_byte_at: Cell<Option<Instant>>,
    objective: Duration,
    /// Expected time to process the prompt; 0 without a prompt.
    prefill_ms: f64,
    first_byte_received: Cell<bool>,
    result: Cell<AttemptResult>,
    work: WorkAttempt,
}

fn work_attempt(gateway: &Rc<Gateway>, call: &CallContext, choice: &UpstreamChoice) -> WorkAttempt {
    let target = WorkTarget {
        request: call.id.clone(),
        program: call.program_name().into(),
        upstream: choice.id.clone(),
        fingerprint: call.fingerprint,
        service: call.service.clone(),
        upstream_key: choice.load_key,
    };
    let (feed, incarnation) = (gateway.feed.clone(), choice.incarnation());
    WorkAttempt::new(gateway.losses.clone(), target, move || feed.has_incarnation(&incarnation))
}

impl AttemptGuard {
    pub(super) fn new(gateway: &Rc<Gateway>, call: &CallContext, choice: &UpstreamChoice) -> Self {
        let mut upstreams = gateway.feed.upstreams.borrow_mut();
        let started_at = Instant::now();
        upstreams.started(&choice.id, choice.prefill_ms, started_at);
        let load_key = gateway.shares_load(&call.service).then_some(choice.load_key);
        if let Some(key) = load_key {
            gateway.load.started(key);
        }
        if !gateway.settings.uses(GatewayMechanism::SilenceAvoidance) {
            upstreams.record_first_byte(&choice.id, started_at);
        }
        Self {
            gateway: gateway.clone(),
            upstream: choice.id.clone(),
            started_at,
            service: call.service.clone(),
            load_key: Cell::new(load_key),
            missing_tokens: choice.missing_tokens,
            found_slot: choice.found_slot,
            is_streamed: call.route.kind != RouteKind::Idempotent,
            first_byte_at: Cell::new(None),
            objective: call.route.objective,
            prefill_ms: choice.prefill_ms,
            first_byte_received: Cell::new(false),
            result: Cell::new(AttemptResult::Abandoned),
            work: work_attempt(gateway, call, choice),
        }
    }

    pub(super) fn record_sent(&self) {
        self.work.record_sent();
    }

    /// Records that the upstream sent a part of its answer.
    pub(crate) fn record_byte(&self) {
        self.work.record_byte();
    }

    /// Records how the upstream's part of the attempt ended. An attempt that is dropped without it was
    /// given up.
    pub(crate) fn record_end(&self, end: AttemptEnd) {
        self.work.record_end(end);
    }

    /// Returns the connection of an answer to the pool.
    pub(crate) fn release_connection(
        &self,
        connection: ClientConnection,
        address: &str,
        status: StatusCode,
        keep_alive: Option<Duration>,
    ) {
        if status.is_server_error() && connection.is_reusable() {
            self.watch_last_words(connection, address.into(), keep_alive);
        } else {
            self.gateway.pool.put(address, connection, keep_alive);
        }
    }

    /// Suspects an upstream that closes a connection which it had not announced to close, right after an
    /// error.
    fn watch_last_words(
        &self,
        mut connection: ClientConnection,
        address: Box<str>,
        keep_alive: Option<Duration>,
    ) {
        let (gateway, suspicion) = (self.gateway.clone(), self.work.suspicion());
        actix_rt::spawn(async move {
            if timeout(LAST_WORDS_WATCH, connection.input()).await.is_err() {
                gateway.pool.put(&address, connection, keep_alive);
            } else if !connection.is_open_and_idle() {
                suspicion.record("connection closed after an error");
            }
        });
    }

    pub(crate) fn record_first_byte(&self) {
        if self.first_byte_at.get().is_none() {
            self.first_byte_at.set(Some(Instant::now()));
            if let Some(key) = self.load_key.get() {
                self.gateway.load.first_byte(key);
            }
        }
        self.gateway.feed.upstreams.borrow_mut().record_first_byte(&self.upstream, self.started_at);
        if let Some(waited) = self.take_queue_wait() {
            let mut gate = self.gateway.gate.borrow_mut();
            gate.record_wait(&self.service, waited, self.objective, Instant::now());
        }
    }

    /// Milliseconds that the request waited for its first byte beyond the expected prompt time. Taken
    /// once per attempt; `None` without a prompt.
    fn take_queue_wait(&self) -> Option<f64> {
        if self.first_byte_received.replace(true) || self.prefill_ms <= 0.0 {
            return None;
        }
        let waited = self.started_at.elapsed().as_secs_f64() * 1e3 - self.prefill_ms;
        Some(waited.max(0.0))
    }

    pub(crate) fn record(&self, result: AttemptResult) {
        self.result.set(result);
        // The upstream is done, although the caller's part may go on.
        if result == AttemptResult::Answered {
            self.observe_timing();
            self.report_load_end();
        }
    }

    /// Where load is shared, speeds are learned from complete answers.
    fn observe_timing(&self) {
        let first_byte_at = self.first_byte_at.get().filter(|_| self.is_streamed);
        let (Some(first_byte_at), Some(_)) = (first_byte_at, self.load_key.get()) else { return };
        let now = Instant::now();
        let timing = AttemptTiming {
            missing_tokens: self.missing_tokens,
            found_slot: self.found_slot,
            first_event: first_byte_at - self.started_at,
            streaming: now - first_byte_at,
        };
        if timing.streaming < MIN_STREAMING {
            return;
        }
        let mut upstreams = self.gateway.feed.upstreams.borrow_mut();
        upstreams.observe_timing(&self.upstream, self.started_at, &timing, now);
    }

    fn report_load_end(&self) {
        if let Some(key) = self.load_key.take() {
            self.gateway.load.ended(key, self.first_byte_at.get().is_none());
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.report_load_end();
        if self.result.get() == AttemptResult::Abandoned
            && let Some(waited) = self.take_queue_wait()
        {
            let mut gate = self.gateway.gate.borrow_mut();
            gate.record_abandoned(&self.service, waited, Instant::now());
        }
        let mut upstreams = self.gateway.feed.upstreams.borrow_mut();
        upstreams.ended(&self.upstream, self.started_at, self.result.get(), Instant::now());
    }
}
