//! What an attempt under way tells of its upstream.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use crate::core::ids::UpstreamId;
use crate::core::routing::ServiceName;
use crate::core::upstreams::{AttemptResult, UpstreamChoice};
use crate::gateway::call::CallContext;
use crate::gateway::{Gateway, GatewayMechanism};

/// An attempt under way; it ends as abandoned unless something else is recorded.
pub(crate) struct AttemptGuard {
    gateway: Rc<Gateway>,
    upstream: UpstreamId,
    begun: Instant,
    service: ServiceName,
    objective: Duration,
    /// Time the upstream was expected to read the prompt, in milliseconds; 0 without one.
    prefill_ms: f64,
    heard: Cell<bool>,
    result: Cell<AttemptResult>,
}

impl AttemptGuard {
    pub(super) fn new(gateway: &Rc<Gateway>, call: &CallContext, choice: &UpstreamChoice) -> Self {
        let mut upstreams = gateway.feed.upstreams.borrow_mut();
        let begun = Instant::now();
        upstreams.started(&choice.id, choice.prefill_ms, begun);
        if !gateway.settings.uses(GatewayMechanism::SilenceAvoidance) {
            upstreams.record_first_byte(&choice.id, begun);
        }
        Self {
            gateway: gateway.clone(),
            upstream: choice.id.clone(),
            begun,
            service: call.service.clone(),
            objective: call.route.objective,
            prefill_ms: choice.prefill_ms,
            heard: Cell::new(false),
            result: Cell::new(AttemptResult::Abandoned),
        }
    }

    /// Notes that the first bytes of the answer's body came.
    pub(crate) fn heard(&self) {
        self.gateway.feed.upstreams.borrow_mut().record_first_byte(&self.upstream, self.begun);
        if let Some(waited) = self.take_wait() {
            let mut gate = self.gateway.gate.borrow_mut();
            gate.record_wait(&self.service, waited, self.objective, Instant::now());
        }
    }

    /// How long a prompt has waited for its first word, in milliseconds; none without a prompt, or if
    /// the word has come.
    fn take_wait(&self) -> Option<f64> {
        if self.heard.replace(true) || self.prefill_ms <= 0.0 {
            return None;
        }
        let waited = self.begun.elapsed().as_secs_f64() * 1e3 - self.prefill_ms;
        Some(waited.max(0.0))
    }

    pub(crate) fn record(&self, result: AttemptResult) {
        self.result.set(result);
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        if self.result.get() == AttemptResult::Abandoned
            && let Some(waited) = self.take_wait()
        {
            let mut gate = self.gateway.gate.borrow_mut();
            gate.record_abandoned(&self.service, waited, Instant::now());
        }
        let mut upstreams = self.gateway.feed.upstreams.borrow_mut();
        upstreams.ended(&self.upstream, self.begun, self.result.get(), Instant::now());
    }
}
