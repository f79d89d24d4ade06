//! Calls whose result is there but not durable yet: how long they are held, and what callers
//! hear when the platform's table is down for longer.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::timeout;

use super::context::CallContext;
use super::live::LiveCall;
use crate::core::history::JournalRecord;
use crate::core::outcome::{CallOutcome, CallRefusal, RefusalReason, UnknownCall};
use crate::node::instance::Node;
use crate::node::journal::JournalError;

const LEAST_RETRY: Duration = Duration::from_secs(1);
const MOST_RETRY: Duration = Duration::from_secs(15);

impl Node {
    /// Refuses new work while the table has not answered for longer than a bound.
    ///
    /// A call that starts now would spend tokens, or wait to record its intent, for an answer
    /// that nobody may be given before the table is back. Callers learn at once that it did not
    /// run and when to return; the wait grows with the outage, so that they do not crowd.
    pub(crate) fn check_store(&self) -> Result<(), CallRefusal> {
        let Some(failing) = self.journal.failing_for() else { return Ok(()) };
        if failing < self.settings.limits.store_outage_timeout() {
            return Ok(());
        }
        let wait = (failing / 2).clamp(LEAST_RETRY, MOST_RETRY);
        Err(CallRefusal::retry(RefusalReason::StoreUnavailable, wait))
    }

    /// Appends a call's records and waits until they are durable, however long that takes.
    ///
    /// Followers wait no longer than the limit for held results: a connection that only says it
    /// waits looks hung, and its caller gives up without knowing that the answer will be kept.
    /// They are told that the outcome is unknown as yet and that the same request may be sent
    /// again: it joins the call, or gets the recorded answer.
    pub(super) async fn append_held(
        &self,
        context: &CallContext,
        records: Vec<JournalRecord>,
    ) -> Result<(), JournalError> {
        let append = self.journal.append(context.epoch, records);
        tokio::pin!(append);
        loop {
            match timeout(self.settings.limits.commit_timeout(), &mut append).await {
                Ok(result) => return result,
                Err(_) => self.dismiss_followers(context),
            }
        }
    }

    /// Ends the call for those who follow it now; it goes on for those who come later.
    fn dismiss_followers(&self, context: &CallContext) {
        if context.epoch != self.incarnation() {
            return;
        }
        let key = (context.request.program, context.request.number);
        let later = LiveCall::new();
        let Some(call) = self.live.borrow_mut().insert(key, later.clone()) else {
            self.live.borrow_mut().remove(&key);
            return;
        };
        later.push(&call.text());
        self.event("call_held").program(key.0).detail(format!("number={}", key.1)).log();
        call.finish(CallOutcome::Unknown(UnknownCall {
            message: "the result is not durable yet; send the same request id again".into(),
            retryable: true,
        }));
    }

    /// The call as its followers have it now.
    pub(super) fn take_live(&self, context: &CallContext, first: Rc<LiveCall>) -> Rc<LiveCall> {
        let key = (context.request.program, context.request.number);
        self.live.borrow_mut().remove(&key).unwrap_or(first)
    }
}
