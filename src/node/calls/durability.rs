//! Waits for call records to become durable, and refuses new calls while the platform's table is
//! unavailable.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::timeout;

use super::context::CallContext;
use super::live::LiveCall;
use crate::core::history::JournalRecord;
use crate::core::outcome::{CallOutcome, CallRefusal, RefusalReason, UnknownCall};
use crate::node::instance::Node;
use crate::node::journal::JournalError;

const MIN_RETRY_DELAY: Duration = Duration::from_secs(1);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(15);

impl Node {
    /// Refuses new work once the table has been unavailable for longer than the configured bound.
    ///
    /// Such a call could not be answered before the table recovers. The retry delay grows with the
    /// outage to spread the retries.
    pub(crate) fn check_store(&self) -> Result<(), CallRefusal> {
        let Some(outage) = self.journal.outage_duration() else { return Ok(()) };
        if outage < self.settings.limits.store_outage_timeout() {
            return Ok(());
        }
        let delay = (outage / 2).clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
        Err(CallRefusal::retry(RefusalReason::StoreUnavailable, delay))
    }

    /// Appends a call's records and waits, without a timeout, until they are durable.
    ///
    /// Followers wait for at most `commit_hold`, then receive a retryable unknown outcome. The same
    /// request attaches to the running call or returns the recorded answer.
    pub(super) async fn append_durable(
        &self,
        context: &CallContext,
        records: Vec<JournalRecord>,
    ) -> Result<(), JournalError> {
        let append = self.journal.append(context.incarnation, records);
        tokio::pin!(append);
        loop {
            match timeout(self.settings.limits.commit_timeout(), &mut append).await {
                Ok(result) => return result,
                Err(_) => self.detach_followers(context),
            }
        }
    }

    /// Ends the streams of the current followers; later ones attach to a new `LiveCall`.
    fn detach_followers(&self, context: &CallContext) {
        if context.incarnation != self.incarnation() {
            return;
        }
        let key = (context.request.program, context.request.number);
        let replacement = LiveCall::new();
        let Some(call) = self.live.borrow_mut().insert(key, replacement.clone()) else {
            self.live.borrow_mut().remove(&key);
            return;
        };
        replacement.push(&call.text());
        self.event("call_held").program(key.0).detail(format!("number={}", key.1)).log();
        call.finish(CallOutcome::Unknown(UnknownCall {
            message: "the result is not durable yet; send the same request id again".into(),
            retryable: true,
        }));
    }

    /// Removes the `LiveCall` that current followers read, which may have replaced `original`.
    pub(super) fn remove_live_call(
        &self,
        context: &CallContext,
        original: Rc<LiveCall>,
    ) -> Rc<LiveCall> {
        let key = (context.request.program, context.request.number);
        self.live.borrow_mut().remove(&key).unwrap_or(original)
    }
}
