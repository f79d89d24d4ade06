//! Error responses that the gateway itself generates.

use std::time::Duration;

use actix_http::StatusCode;
use actix_http::error::ParseError;
use actix_http::header::{CONTENT_TYPE, HeaderMap, HeaderValue, RETRY_AFTER, WWW_AUTHENTICATE};
use bytes::Bytes;

use super::http::ReadError;

/// Covers the end of some uploads, or of chains that are read. A random part of up to the same length spreads the returns.
const MEMORY_RETRY_DELAY: Duration = Duration::from_millis(300);

#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Refusal {
    pub(crate) status: StatusCode,
    /// Identifier for logs, metrics and the caller.
    pub(crate) reason: &'static str,
    /// Set only if the request did not run and will not run.
    pub(crate) retry_after: Option<Duration>,
}

impl Refusal {
    /// The request did not run and may be retried after `wait`.
    pub(crate) fn not_run(reason: &'static str, wait: Duration) -> Self {
        Self { status: StatusCode::SERVICE_UNAVAILABLE, reason, retry_after: Some(wait) }
    }

    /// A retry of the same request would fail as well.
    pub(crate) fn rejected(status: StatusCode, reason: &'static str) -> Self {
        Self { status, reason, retry_after: None }
    }

    /// The request did not run because its workspace is over its limit; `wait` is the time until
    /// the limit allows it.
    pub(crate) fn over_quota(wait: Duration) -> Self {
        let status = StatusCode::TOO_MANY_REQUESTS;
        Self { status, reason: "over_quota", retry_after: Some(wait) }
    }

    /// The request may have run.
    pub(crate) fn unknown(status: StatusCode, reason: &'static str) -> Self {
        Self { status, reason, retry_after: None }
    }

    /// The request did not run, as there is no memory for it or its history.
    pub(crate) fn memory_full() -> Self {
        let wait = MEMORY_RETRY_DELAY.mul_f64(1.0 + rand::random::<f64>());
        Self::not_run("memory_full", wait)
    }

    /// The request did not run, as this instance stops before its deadline; others serve it at once.
    pub(crate) fn stopping() -> Self {
        Self::not_run("stopping", Duration::ZERO)
    }

    /// None if the caller has disconnected.
    pub(crate) fn unreadable(error: &ReadError) -> Option<Self> {
        let (status, reason) = match error {
            ReadError::Ended | ReadError::Broken(_) => return None,
            ReadError::Malformed(ParseError::Version) => {
                (StatusCode::HTTP_VERSION_NOT_SUPPORTED, "http_version")
            }
            ReadError::Malformed(_) => (StatusCode::BAD_REQUEST, "malformed"),
            ReadError::HeadTooLarge { .. } => {
                (StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, "head_too_large")
            }
            ReadError::BodyTooLarge { .. } => (StatusCode::PAYLOAD_TOO_LARGE, "body_too_large"),
            ReadError::NoMemory(_) => return Some(Self::memory_full()),
            ReadError::TimedOut => (StatusCode::REQUEST_TIMEOUT, "request_too_slow"),
        };
        Some(Self::rejected(status, reason))
    }

    pub(crate) fn headers(&self) -> HeaderMap {
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if self.status == StatusCode::UNAUTHORIZED {
            headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static("ApiKey"));
        }
        if let Some(wait) = self.retry_after {
            let seconds = format!("{:.2}", wait.as_secs_f64());
            let value = seconds.parse().expect("numbers are header values");
            headers.insert(RETRY_AFTER, value);
        }
        headers
    }

    pub(crate) fn body(&self) -> Bytes {
        format!("{{\"error\":\"{}\"}}", self.reason).into()
    }
}
