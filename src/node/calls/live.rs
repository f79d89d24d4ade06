//! The streamed answer and the outcome of a call, for any number of followers.

use std::cell::{Ref, RefCell};
use std::rc::Rc;

use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use crate::core::outcome::CallOutcome;

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum CallEvent {
    /// The part of the answer that starts at byte `offset`.
    Tokens { offset: usize, text: Box<str> },
    /// Keepalive, which distinguishes a slow call from a dead connection.
    Waiting,
    /// Always the last event.
    Final(CallOutcome),
}

#[derive(Debug, Default)]
struct LiveState {
    text: String,
    outcome: Option<CallOutcome>,
}

/// The part of an answer received so far, and the outcome once it is known.
#[derive(Debug, Default)]
pub struct LiveCall {
    state: RefCell<LiveState>,
    changed: Notify,
}

impl LiveCall {
    pub fn new() -> Rc<Self> {
        Rc::new(Self::default())
    }

    pub fn finished(outcome: CallOutcome) -> Rc<Self> {
        let call = Self::new();
        if let CallOutcome::Answered(answer) = &outcome {
            call.push(&answer.text);
        }
        call.finish(outcome);
        call
    }

    pub(crate) fn push(&self, text: &str) {
        self.state.borrow_mut().text.push_str(text);
        self.changed.notify_waiters();
    }

    /// Appends the part of the complete answer that was not streamed; services stream nothing.
    pub(crate) fn push_remainder(&self, answer: &str) {
        let streamed = self.text().len();
        if let Some(rest) = answer.get(streamed..) {
            self.push(rest);
        }
    }

    /// Later outcomes are ignored.
    pub(crate) fn finish(&self, outcome: CallOutcome) {
        self.state.borrow_mut().outcome.get_or_insert(outcome);
        self.changed.notify_waiters();
    }

    pub fn outcome(&self) -> Option<CallOutcome> {
        self.state.borrow().outcome.clone()
    }

    pub fn text(&self) -> Ref<'_, str> {
        Ref::map(self.state.borrow(), |state| state.text.as_str())
    }

    /// Waits for the next event of a follower that has the answer up to byte `offset`.
    pub async fn next(&self, offset: usize) -> CallEvent {
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if let Some(event) = self.ready_event(offset) {
                return event;
            }
            changed.await;
        }
    }

    fn ready_event(&self, offset: usize) -> Option<CallEvent> {
        let state = self.state.borrow();
        if let Some(text) = state.text.get(offset..).filter(|text| !text.is_empty()) {
            return Some(CallEvent::Tokens { offset, text: text.into() });
        }
        state.outcome.clone().map(CallEvent::Final)
    }

    pub async fn wait(&self) -> CallOutcome {
        loop {
            let offset = self.text().len();
            if let CallEvent::Final(outcome) = self.next(offset).await {
                return outcome;
            }
        }
    }
}
