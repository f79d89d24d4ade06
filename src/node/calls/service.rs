//! Calls to plain services: retried if idempotent, else sent at most once.

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

/// Times an idempotent call is sent.
const MAX_ATTEMPTS: usize = 3;
const SERVICE_RETRY: Duration = Duration::from_secs(1);

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
            let refusal = CallRefusal::retry(RefusalReason::Overloaded, SERVICE_RETRY);
            return CallConclusion::refused(refusal);
        }
        if idempotent {
            self.run_idempotent(context, service, &targets).await
        } else {
            self.run_once(context, service, &targets).await
        }
    }

    async fn run_idempotent(
        &self,
        context: &CallContext,
        service: &str,
        targets: &[RosterEntry],
    ) -> CallConclusion {
        let mut sent = false;
        let first = context.request.program as usize;
        for attempt in 0..MAX_ATTEMPTS {
            let target = &targets[(first + attempt) % targets.len()];
            match self.execute_service(context, service, target).await {
                Ok(reply) => return answered(reply, target.id.clone()),
                Err(UpstreamError::Lost { .. }) => sent = true,
                Err(_) => {}
            }
        }
        if !sent {
            let refusal = CallRefusal::retry(RefusalReason::Overloaded, SERVICE_RETRY);
            return CallConclusion::refused(refusal);
        }
        let message = "the service did not answer; the same request id may be sent again";
        let outcome = unknown(message, true);
        CallConclusion { outcome, records: Vec::new(), lasting: false }
    }

    /// Sends a non-idempotent call at most once.
    ///
    /// The intent is durable before the first byte goes out, in a write that fails if this
    /// incarnation has been fenced. Whoever finds an intent without a result, here or after a
    /// takeover, records the outcome as unknown and never sends it again.
    async fn run_once(
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
        match self.append_held(context, vec![intent]).await {
            Ok(()) => {}
            // Fenced before the intent was written: nothing was sent and no intent stands.
            Err(JournalError::Fenced) => {
                let refusal = CallRefusal::retry(RefusalReason::OwnerMoving, SERVICE_RETRY);
                return CallConclusion::refused(refusal);
            }
            // Nothing was sent, but the intent may stand, and the next owner will not send it.
            Err(JournalError::Open) => {
                let outcome = unknown("the call's owner was lost while it recorded the call", true);
                return CallConclusion { outcome, records: Vec::new(), lasting: false };
            }
        }
        match self.execute_service(context, service, target).await {
            Ok(reply) => answered(reply, target.id.clone()),
            Err(UpstreamError::Lost { message }) => {
                let outcome = unknown(&message, false);
                CallConclusion { outcome, records: Vec::new(), lasting: true }
            }
            Err(UpstreamError::NotSent | UpstreamError::Refused { .. }) => {
                let (program, number) = (request.program, request.number);
                let withdrawn = JournalRecord::Withdrawn { program, number };
                let refusal = CallRefusal::retry(RefusalReason::Overloaded, SERVICE_RETRY);
                let outcome = CallOutcome::NotRun(refusal);
                CallConclusion { outcome, records: vec![withdrawn], lasting: false }
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
        let limit = Duration::from_millis(settings.timeout_ms);
        let request = ServiceRequest {
            request_id: format!("{:016x}-{}", context.request.program, context.request.request_id)
                .into(),
            input: context.request.input.clone(),
        };
        let sending = self.services.execute(&target.address, &request);
        let reply = timeout(limit, sending).await.unwrap_or_else(|_| {
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

fn unknown(message: &str, retryable: bool) -> CallOutcome {
    CallOutcome::Unknown(UnknownCall { message: message.into(), retryable })
}
