//! Permits for the memory that a request holds, from the first byte of its body to its end.

mod buffer;
#[cfg(test)]
mod gate_tests;
mod resident;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use derive_more::{Display, Error};
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

pub(crate) use buffer::BodyBuffer;
pub(crate) use resident::{ResidentWatch, resident_bytes};

use super::metrics::MemoryMeter;
use crate::core::ids::RequestId;
use crate::core::memory::{
    MemoryBounds, MemoryDecision, MemoryLedger, MemoryRequest, MemoryStage, TicketId, WaitOutcome,
};

/// Head, parsed headers, and the buffers of the connections to the caller and the upstream.
pub(crate) const CALL_BYTES: usize = 24 * 1024;

/// Refused requests return within this time.
const SHORTAGE_MEMORY: Duration = Duration::from_secs(1);

#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("memory for requests is full: {reason}")]
pub(crate) struct MemoryFull {
    reason: WaitOutcome,
}

#[derive(Debug, Default)]
struct WaitState {
    outcome: Cell<Option<WaitOutcome>>,
    decided: Notify,
}

/// Memory of all requests of the instance.
pub(crate) struct MemoryGate {
    ledger: RefCell<MemoryLedger>,
    waiting: RefCell<HashMap<TicketId, Rc<WaitState>>>,
    /// The last time at which a request did not get memory at once.
    short_at: Cell<Option<Instant>>,
    meter: MemoryMeter,
}

impl MemoryGate {
    pub(crate) fn new(bounds: MemoryBounds, meter: MemoryMeter) -> Self {
        let ledger = RefCell::new(MemoryLedger::new(bounds));
        Self { ledger, waiting: RefCell::default(), short_at: Cell::new(None), meter }
    }

    pub(crate) fn held(&self) -> usize {
        self.ledger.borrow().held()
    }

    pub(crate) fn bound(&self) -> usize {
        self.ledger.borrow().bounds().total
    }

    /// A permit for a request, which holds nothing yet.
    pub(crate) fn permit(self: &Rc<Self>, request: RequestId, rank: u8) -> MemoryPermit {
        MemoryPermit {
            gate: self.clone(),
            request,
            rank,
            held: Cell::new(0),
            is_growing: Cell::new(false),
        }
    }

    fn decide(&self, tickets: impl IntoIterator<Item = TicketId>, outcome: WaitOutcome) {
        let mut waiting = self.waiting.borrow_mut();
        for ticket in tickets {
            if let Some(state) = waiting.remove(&ticket) {
                state.outcome.set(Some(outcome));
                state.decided.notify_one();
            }
        }
    }

    fn release(&self, bytes: usize) {
        let granted = self.ledger.borrow_mut().release(bytes);
        self.decide(granted, WaitOutcome::Granted);
    }

    fn end_growth(&self) {
        let granted = self.ledger.borrow_mut().end_growth();
        self.decide(granted, WaitOutcome::Granted);
    }

    fn cancel(&self, ticket: TicketId) {
        self.waiting.borrow_mut().remove(&ticket);
        let granted = self.ledger.borrow_mut().cancel(ticket);
        self.decide(granted, WaitOutcome::Granted);
    }

    async fn acquire(self: &Rc<Self>, request: MemoryRequest, wait: Duration) -> WaitOutcome {
        let (decision, displaced) = self.ledger.borrow_mut().request(request);
        self.decide(displaced, WaitOutcome::QueueFull);
        let ticket = match decision {
            MemoryDecision::Granted => return WaitOutcome::Granted,
            MemoryDecision::Refused(reason) => {
                self.short_at.set(Some(Instant::now()));
                return reason;
            }
            MemoryDecision::Waiting(ticket) => ticket,
        };
        self.short_at.set(Some(Instant::now()));
        let state = Rc::new(WaitState::default());
        self.waiting.borrow_mut().insert(ticket, state.clone());
        let place = WaitPlace { gate: self, ticket, request, state: &state };
        // A grant that comes together with the end of the wait is in the state.
        let _ = timeout(wait, state.decided.notified()).await;
        place.leave()
    }
}

/// Gives up its place, or what it was granted, if the wait is dropped.
struct WaitPlace<'a> {
    gate: &'a MemoryGate,
    ticket: TicketId,
    request: MemoryRequest,
    state: &'a WaitState,
}

impl WaitPlace<'_> {
    fn leave(self) -> WaitOutcome {
        let outcome = self.state.outcome.take();
        if outcome.is_some() {
            std::mem::forget(self);
        }
        outcome.unwrap_or(WaitOutcome::TimedOut)
    }
}

impl Drop for WaitPlace<'_> {
    fn drop(&mut self) {
        match self.state.outcome.take() {
            None => self.gate.cancel(self.ticket),
            Some(WaitOutcome::Granted) => {
                self.gate.release(self.request.needed);
                if self.request.stage == MemoryStage::Opening {
                    self.gate.end_growth();
                }
            }
            Some(_) => {}
        }
    }
}

/// The memory that one request holds, released on drop.
pub(crate) struct MemoryPermit {
    gate: Rc<MemoryGate>,
    request: RequestId,
    rank: u8,
    held: Cell<usize>,
    /// Its body is the one that grows.
    is_growing: Cell<bool>,
}

impl MemoryPermit {
    /// Waits up to `wait` for the bytes.
    pub(crate) async fn acquire(&self, needed: usize, wait: Duration) -> Result<(), MemoryFull> {
        self.acquire_at(MemoryStage::Unread, needed, wait).await
    }

    /// Waits up to `wait` for the next step of a large body whose length is not known, and first for the
    /// end of others that grow in steps.
    async fn grow(&self, needed: usize, wait: Duration) -> Result<(), MemoryFull> {
        let stage = if self.is_growing.get() { MemoryStage::Growing } else { MemoryStage::Opening };
        self.acquire_at(stage, needed, wait).await?;
        self.is_growing.set(true);
        Ok(())
    }

    fn end_growth(&self) {
        if self.is_growing.take() {
            self.gate.end_growth();
        }
    }

    async fn acquire_at(
        &self,
        stage: MemoryStage,
        needed: usize,
        wait: Duration,
    ) -> Result<(), MemoryFull> {
        let started = Instant::now();
        let request = self.memory_request(stage, needed, !wait.is_zero());
        let outcome = self.gate.acquire(request, wait).await;
        if outcome == WaitOutcome::Granted {
            self.held.set(self.held.get() + needed);
            return Ok(());
        }
        Err(self.refuse(outcome, needed, started.elapsed()))
    }

    /// Others need memory that this request holds.
    pub(crate) fn is_contended(&self) -> bool {
        self.gate.short_at.get().is_some_and(|at| at.elapsed() < SHORTAGE_MEMORY)
    }

    /// Gives up a request whose caller stopped sending the body.
    pub(crate) fn refuse_stalled(&self, waited: Duration) -> MemoryFull {
        self.refuse(WaitOutcome::Stalled, 0, waited)
    }

    fn refuse(&self, reason: WaitOutcome, needed: usize, waited: Duration) -> MemoryFull {
        log::info!(
            "event=memory_refused request={} rank={} needed={needed} own={} held={} bound={} \
             reason={reason} waited_ms={}",
            self.request,
            self.rank,
            self.held.get(),
            self.gate.held(),
            self.gate.bound(),
            waited.as_millis()
        );
        self.gate.meter.record_refusal(reason.label());
        MemoryFull { reason }
    }

    /// Returns false if the bytes are not granted at once.
    pub(crate) fn try_acquire(&self, needed: usize) -> bool {
        let request = self.memory_request(MemoryStage::Unread, needed, false);
        let (decision, _) = self.gate.ledger.borrow_mut().request(request);
        let is_granted = decision == MemoryDecision::Granted;
        if is_granted {
            self.held.set(self.held.get() + needed);
        }
        is_granted
    }

    /// Holds `to` bytes in place of `from` for the answer of a request that runs. A small answer always
    /// gets them, as its upstream has done the work; returns false if a larger one does not get them.
    pub(crate) fn try_resize(&self, from: usize, to: usize) -> bool {
        let Some(more) = to.checked_sub(from) else {
            self.release(from - to);
            return true;
        };
        let is_held = self.gate.ledger.borrow_mut().hold_answer(to, more);
        if is_held {
            self.held.set(self.held.get() + more);
        } else {
            self.refuse(WaitOutcome::NoTime, more, Duration::ZERO);
        }
        is_held
    }

    pub(crate) fn release(&self, bytes: usize) {
        let bytes = bytes.min(self.held.get());
        self.held.set(self.held.get() - bytes);
        self.gate.release(bytes);
    }

    fn memory_request(&self, stage: MemoryStage, needed: usize, may_wait: bool) -> MemoryRequest {
        MemoryRequest { rank: self.rank, stage, own: self.held.get(), needed, may_wait }
    }
}

impl Drop for MemoryPermit {
    fn drop(&mut self) {
        self.end_growth();
        self.gate.release(self.held.get());
    }
}
