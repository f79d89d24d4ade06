//! Checks of response heads that the codec does not make.

use actix_http::error::ParseError;
use httparse::{EMPTY_HEADER, Response, Status};

/// As many fields as the codec accepts.
const MAX_FIELDS: usize = 96;
/// The codec accepts further ones, which have no meaning (RFC 9110, 15).
const MAX_STATUS: u16 = 599;

/// Returns whether the head at the start of `input` is complete.
///
/// The codec drops blanks between the name of a field and its colon. Such a field may be one that
/// frames the body.
pub(super) fn check_head(input: &[u8]) -> Result<bool, ParseError> {
    let mut fields = [EMPTY_HEADER; MAX_FIELDS];
    let mut response = Response::new(&mut fields);
    let is_complete = matches!(response.parse(input)?, Status::Complete(_));
    match response.code {
        Some(status) if status > MAX_STATUS => Err(ParseError::Status),
        _ => Ok(is_complete),
    }
}
