//! One request and the head of its answer on one connection.

use actix_http::{RequestHead, ResponseHead, StatusCode};

use super::MAX_DISCARDED_BODY_BYTES;
use crate::gateway::Gateway;
use crate::gateway::call::CallContext;
use crate::gateway::dialect::AnswerHead;
use crate::gateway::http::{AnswerError, UpstreamConnection};

/// Answers to other requests that are skipped on one connection.
const MAX_FOREIGN_ANSWERS: usize = 3;

/// Sends the request and reads the head of the answer to it, skipping late answers to others.
pub(super) async fn exchange(
    gateway: &Gateway,
    connection: &mut UpstreamConnection,
    call: &CallContext,
    head: RequestHead,
) -> Result<(ResponseHead, AnswerHead), AnswerError> {
    connection.request(head, call.body.clone())?;
    for _ in 0..MAX_FOREIGN_ANSWERS {
        let head = connection.head().await?;
        let info = gateway.dialect.answer_head(&head.headers);
        if info.request.as_ref() == Some(&call.id) {
            return Ok((head, info));
        }
        // A refusal may come before the upstream has read whose request it is.
        if info.request.is_none() && info.not_run {
            return Ok((head, info));
        }
        if info.request.is_none() && head.status == StatusCode::MISDIRECTED_REQUEST {
            return Ok((head, info));
        }
        connection.rest(MAX_DISCARDED_BODY_BYTES).await?;
    }
    Err(AnswerError::Foreign)
}

pub(super) fn error_label(error: &AnswerError) -> &'static str {
    match error {
        AnswerError::Ended => "connection_ended",
        AnswerError::Broken(_) => "connection_broken",
        AnswerError::Malformed(_) | AnswerError::BadBody(_) => "not_an_answer",
        AnswerError::Foreign => "foreign_answers",
    }
}
