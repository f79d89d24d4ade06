//! Tells what is known of a work how each of its attempts ended.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use super::LossExchange;
use crate::core::ids::{RequestId, UpstreamId};
use crate::core::load::LoadKey;
use crate::core::repeats::{
    AttemptEnd, AttemptKey, AttemptState, EndMeaning, RequestFingerprint, UnprovenAttempt,
};
use crate::core::routing::ServiceName;

/// An upstream that sent something within this time had not ended silently.
const SILENCE: Duration = Duration::from_millis(500);

/// What an attempt is made for, and where.
#[derive(Debug, Clone)]
pub(crate) struct WorkTarget {
    /// For the log, as are `program` and `upstream`.
    pub(crate) request: RequestId,
    pub(crate) program: Box<str>,
    pub(crate) upstream: UpstreamId,
    pub(crate) fingerprint: RequestFingerprint,
    pub(crate) service: ServiceName,
    /// Identifies the incarnation of the upstream, as far as the list tells it.
    pub(crate) upstream_key: LoadKey,
}

/// The part of an attempt that its work is told of. One that was sent and whose end was not recorded is
/// given up when it is dropped.
pub(crate) struct WorkAttempt {
    losses: Rc<LossExchange>,
    target: WorkTarget,
    /// Whether the list still has the incarnation.
    is_listed: Box<dyn Fn() -> bool>,
    attempt: Cell<UnprovenAttempt>,
    is_sent: Cell<bool>,
    is_shared: Cell<bool>,
    has_ended: Cell<bool>,
    last_byte_at: Cell<Option<Instant>>,
}

/// A suspicion that is kept in case that the upstream closes its connection.
pub(crate) struct WorkSuspicion {
    losses: Rc<LossExchange>,
    target: WorkTarget,
    attempt: UnprovenAttempt,
}

impl WorkAttempt {
    pub(crate) fn new(
        losses: Rc<LossExchange>,
        target: WorkTarget,
        is_listed: impl Fn() -> bool + 'static,
    ) -> Self {
        let now = Instant::now();
        let attempt = UnprovenAttempt {
            key: rand::random::<AttemptKey>(),
            upstream: target.upstream_key,
            state: AttemptState::InFlight,
            sent_at: now,
            ended_at: now,
        };
        Self {
            losses,
            target,
            is_listed: Box::new(is_listed),
            attempt: Cell::new(attempt),
            is_sent: Cell::new(false),
            is_shared: Cell::new(false),
            has_ended: Cell::new(false),
            last_byte_at: Cell::new(None),
        }
    }

    /// Where an upstream was lost before, the others are told ahead, so that the attempt counts even if
    /// this instance ends with it.
    pub(crate) fn record_sent(&self) {
        let now = Instant::now();
        self.attempt.set(UnprovenAttempt { sent_at: now, ended_at: now, ..self.attempt.get() });
        self.is_sent.set(true);
        if !self.losses.standing(self.target.fingerprint).is_clean() {
            self.is_shared.set(true);
            self.record(AttemptState::InFlight);
        }
    }

    pub(crate) fn record_byte(&self) {
        self.last_byte_at.set(Some(Instant::now()));
    }

    /// The first end that is recorded holds.
    pub(crate) fn record_end(&self, end: AttemptEnd) {
        if !self.is_sent.get() || self.has_ended.replace(true) {
            return;
        }
        let is_listed = (self.is_listed)();
        match end.meaning() {
            EndMeaning::Proof => self.losses.record_proof(self.target.fingerprint),
            EndMeaning::Harmless => self.settle(),
            EndMeaning::Suspected if is_listed => {
                self.record(AttemptState::Suspected);
                self.watch();
            }
            EndMeaning::Watched if is_listed => {
                self.settle();
                self.watch();
            }
            // It ended before the caller gave up, or with its last words.
            EndMeaning::Lost | EndMeaning::Suspected | EndMeaning::Watched => {
                self.record_lost(end, is_listed);
            }
        }
    }

    /// To be recorded if the upstream turns out to have ended right after its answer.
    pub(crate) fn suspicion(&self) -> WorkSuspicion {
        WorkSuspicion {
            losses: self.losses.clone(),
            target: self.target.clone(),
            attempt: self.ended(AttemptState::Suspected),
        }
    }

    fn ended(&self, state: AttemptState) -> UnprovenAttempt {
        UnprovenAttempt { state, ended_at: Instant::now(), ..self.attempt.get() }
    }

    fn record(&self, state: AttemptState) -> usize {
        let WorkTarget { fingerprint, service, .. } = &self.target;
        self.losses.record(*fingerprint, service, self.ended(state))
    }

    fn record_lost(&self, end: AttemptEnd, is_listed: bool) {
        let lost = self.record(AttemptState::Lost);
        let (target, attempt) = (&self.target, self.attempt.get());
        log::info!(
            "event=upstream_lost request={} program={} service={} upstream={} fingerprint={} \
             attempt={:016x} lost={lost} listed={is_listed} sent_ms={} cause=\"{end}\"",
            target.request,
            target.program,
            target.service,
            target.upstream,
            target.fingerprint,
            attempt.key,
            attempt.sent_at.elapsed().as_millis()
        );
    }

    /// Takes back what the others were told when it was sent.
    fn settle(&self) {
        if self.is_shared.get() {
            self.record(AttemptState::Harmless);
        }
    }

    fn watch(&self) {
        let WorkTarget { fingerprint, service, .. } = &self.target;
        self.losses.watch(*fingerprint, service.clone(), self.ended(AttemptState::Harmless));
    }
}

impl Drop for WorkAttempt {
    fn drop(&mut self) {
        let is_silent = self.last_byte_at.get().is_none_or(|at| at.elapsed() >= SILENCE);
        self.record_end(AttemptEnd::GivenUp { is_silent });
    }
}

impl WorkSuspicion {
    pub(crate) fn record(&self, cause: &str) {
        let WorkTarget { request, upstream, fingerprint, service, .. } = &self.target;
        log::info!(
            "event=upstream_suspected request={request} service={service} upstream={upstream} \
             fingerprint={fingerprint} attempt={:016x} cause=\"{cause}\"",
            self.attempt.key
        );
        self.losses.record(*fingerprint, service, self.attempt);
    }
}
