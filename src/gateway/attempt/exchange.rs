//! Sends one request over an upstream connection and reads the response head.

use actix_http::{RequestHead, ResponseHead, StatusCode};

use super::MAX_DISCARDED_BODY_BYTES;
use crate::core::repeats::AttemptEnd;
use crate::gateway::Gateway;
use crate::gateway::call::CallContext;
use crate::gateway::dialect::AnswerHead;
use crate::gateway::http::{AnswerError, ClientConnection};

const MAX_FOREIGN_ANSWERS: usize = 3;

/// Skips late responses to earlier requests on the connection. A response that names no request is
/// accepted only if it says that the request did not run.
pub(super) async fn exchange(
    gateway: &Gateway,
    connection: &mut ClientConnection,
    call: &CallContext,
    head: RequestHead,
) -> Result<(ResponseHead, AnswerHead), AnswerError> {
    connection.request(head, call.body.borrow().clone())?;
    for _ in 0..MAX_FOREIGN_ANSWERS {
        let head = connection.head().await?;
        let info = gateway.dialect.answer_head(&head.headers);
        if info.request.as_ref() == Some(&call.id) {
            return Ok((head, info));
        }
        // An upstream may refuse a request before it has read the request id.
        if info.request.is_none() && info.not_run {
            return Ok((head, info));
        }
        if info.request.is_none() && head.status == StatusCode::MISDIRECTED_REQUEST {
            return Ok((head, info));
        }
        connection.rest(MAX_DISCARDED_BODY_BYTES).await?;
        if connection.ended_by_close() {
            break;
        }
    }
    Err(AnswerError::Foreign)
}

pub(super) fn error_label(error: &AnswerError) -> &'static str {
    match error {
        AnswerError::Ended => "connection_ended",
        AnswerError::Broken(_) => "connection_broken",
        AnswerError::Malformed(_) | AnswerError::BadBody(_) => "not_an_answer",
        AnswerError::Foreign => "foreign_answers",
        AnswerError::TooLarge { .. } => "answer_too_large",
    }
}

pub(super) fn error_end(error: &AnswerError) -> AttemptEnd {
    match error.is_connection_end() {
        true => AttemptEnd::ConnectionEnded,
        false => AttemptEnd::Unreadable,
    }
}

/// How an attempt ended whose answer was read to its end.
pub(crate) fn answer_end(connection: &ClientConnection, status: StatusCode) -> AttemptEnd {
    let status = status.as_u16();
    match connection.ended_by_close() {
        true => AttemptEnd::AnsweredUntilClose { status },
        false => AttemptEnd::Answered { status },
    }
}
