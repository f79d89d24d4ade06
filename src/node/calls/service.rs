//! Runs calls on plain services: retried if idempotent, otherwise sent at most once.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::timeout;

use super::context::CallContext;
use super::submit::CallConclusion;
use crate::core::history::{CallIntent, JournalRecord};
use crate::core::ids::UpstreamId;
use crate::core::outcome::{
    CallAnswer, CallOutcome, CallRefusal, RefusalReason, TokenUsage, UnknownCall,
};
use crate::node::instance::Node;
use crate::node::journal::JournalError;
use crate::node::platform::{RosterEntry, RosterRole};
use crate::node::upstream::{ServiceReply, ServiceRequest, UpstreamError};

const MAX_ATTEMPTS: usize = 3;
const SERVICE_RETRY_DELAY: Duration = Duration::from_secs(1);

impl Node {
    pub(super) async fn run_service(
        self: &Rc<Self>,
        context: &CallContext,
        service: &str,
        idempotent: bool,
    ) -> CallConclusion {
        if self.settings.service(service).is_none() {
            let refusal = CallRefusal::permanent(RefusalReason::UnknownUpstream);
            return CallConclusion::refused(refusal);
        }
        let targets = self.roster.borrow().serving(RosterRole::Service, service);
        if targets.is_empty() {
            let refusal = CallRefusal::retry(RefusalReason::Overloaded, SERVICE_RETRY_DELAY);
            return CallConclusion::refused(refusal);
        }
        if idempotent {
            self.run_idempotent(context, service, &targets).await
        } else {
            self.run_at_most_once(context, service, &targets).await
        }
    }

    async fn run_idempotent(
        &self,
        context: &CallContext,
        service: &str,
        targets: &[RosterEntry],
    ) -> CallConclusion {
        let mut maybe_sent = false;
        let offset = context.request.program as usize;
        for attempt in 0..MAX_ATTEMPTS {
            let target = &targets[(offset + attempt) % targets.len()];
            match self.execute_service(context, service, target).await {
                Ok(reply) => return answered(reply, target.id.clone()),
                Err(UpstreamError::Lost { .. }) => maybe_sent = true,
                Err(_) => {}
            }
        }
        if !maybe_sent {
            let refusal = CallRefusal::retry(RefusalReason::Overloaded, SERVICE_RETRY_DELAY);
            return CallConclusion::refused(refusal);
        }
        let message = "the service did not answer; the same request id may be sent again";
        let outcome = unknown_outcome(message, true);
        CallConclusion { outcome, records: Vec::new(), is_turn: false }
    }

    /// Sends a non-idempotent call at most once.
    ///
    /// The intent is made durable before the first byte is sent, in a write that fails if this
    /// incarnation has been fenced. An owner that loads an intent without a result records the
    /// outcome as unknown and never resends the call.
    async fn run_at_most_once(
        &self,
        context: &CallContext,
        service: &str,
        targets: &[RosterEntry],
    ) -> CallConclusion {
        let request = &context.request;
        let target = &targets[request.program as usize % targets.len()];
        let intent = CallIntent {
            number: request.number,
            request_id: request.request_id.clone(),
            input: request.input.clone(),
            target: request.target.name(),
            upstream: target.id.clone(),
        };
        let intent = JournalRecord::Intended { program: request.program, intent };
        match self.append_durable(context, vec![intent]).await {
            Ok(()) => {}
            // Nothing was sent and no intent is stored.
            Err(JournalError::Fenced) => {
                let refusal = CallRefusal::retry(RefusalReason::OwnerMoving, SERVICE_RETRY_DELAY);
                return CallConclusion::refused(refusal);
            }
            // Nothing was sent, but the intent may be stored, and the next owner never sends it.
            Err(JournalError::Indeterminate) => {
                let outcome =
                    unknown_outcome("the call's owner was lost while it recorded the call", true);
                return CallConclusion { outcome, records: Vec::new(), is_turn: false };
            }
        }
        match self.execute_service(context, service, target).await {
            Ok(reply) => answered(reply, target.id.clone()),
            Err(UpstreamError::Lost { message }) => {
                let outcome = unknown_outcome(&message, false);
                CallConclusion { outcome, records: Vec::new(), is_turn: true }
            }
            Err(UpstreamError::NotSent | UpstreamError::Refused { .. }) => {
                let (program, number) = (request.program, request.number);
                let withdrawn = JournalRecord::Withdrawn { program, number };
                let refusal = CallRefusal::retry(RefusalReason::Overloaded, SERVICE_RETRY_DELAY);
                let outcome = CallOutcome::NotRun(refusal);
                CallConclusion { outcome, records: vec![withdrawn], is_turn: false }
            }
        }
    }

    async fn execute_service(
        &self,
        context: &CallContext,
        service: &str,
        target: &RosterEntry,
    ) -> Result<ServiceReply, UpstreamError> {
        let settings = self.settings.service(service).expect("the service was looked up before");
        let reply_timeout = Duration::from_millis(settings.timeout_ms);
        let request = ServiceRequest {
            request_id: format!("{:016x}-{}", context.request.program, context.request.request_id)
                .into(),
            input: context.request.input.clone(),
        };
        let sending = self.services.execute(&target.address, &request);
        let reply = timeout(reply_timeout, sending).await.unwrap_or_else(|_| {
            Err(UpstreamError::Lost { message: "the service did not answer in time".into() })
        });
        match &reply {
            Ok(_) => self.readmit_upstream(&target.id),
            Err(error) if error.is_refusal() => self.eject_upstream(&target.id),
            Err(_) => {}
        }
        reply
    }
}

fn answered(reply: ServiceReply, upstream: UpstreamId) -> CallConclusion {
    let usage = TokenUsage::default();
    CallConclusion::answered(CallAnswer { text: reply.text, upstream, usage })
}

fn unknown_outcome(message: &str, retryable: bool) -> CallOutcome {
    CallOutcome::Unknown(UnknownCall { message: message.into(), retryable })
}
