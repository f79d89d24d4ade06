//! Checks of response heads that the codec does not make.

use actix_http::error::ParseError;
use httparse::{EMPTY_HEADER, Response, Status};

/// As many fields as the codec accepts.
const MAX_FIELDS: usize = 96;
/// The codec accepts further ones, which have no meaning (RFC 9110, 15).
const MAX_STATUS: u16 = 599;
const SWITCHING_PROTOCOLS: u16 = 101;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum HeadKind {
    Incomplete,
    /// Precedes that of the response, and has this many bytes.
    Interim {
        bytes: usize,
    },
    Final,
}

/// Checks the head at the start of `input`.
///
/// The codec drops blanks between the name of a field and its colon. Such a field may be one that
/// frames the body.
pub(super) fn check_head(input: &[u8]) -> Result<HeadKind, ParseError> {
    let mut fields = [EMPTY_HEADER; MAX_FIELDS];
    let mut response = Response::new(&mut fields);
    let parsed = response.parse(input)?;
    match (parsed, response.code) {
        // No request asks for another protocol.
        (_, Some(SWITCHING_PROTOCOLS)) => Err(ParseError::Status),
        (_, Some(status)) if status > MAX_STATUS => Err(ParseError::Status),
        (Status::Complete(bytes), Some(100..200)) => Ok(HeadKind::Interim { bytes }),
        (Status::Complete(_), _) => Ok(HeadKind::Final),
        (Status::Partial, _) => Ok(HeadKind::Incomplete),
    }
}
