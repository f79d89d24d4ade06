//! Client for callers: resolves instance addresses, submits calls, reconnects to their streams and
//! retries under the same request id.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use actix_http::Method;
use bytes::Bytes;
use derive_more::{Display, Error};
use serde::de::DeserializeOwned;
use tokio::time::{Instant, sleep, timeout};

use crate::core::ids::CallNumber;
use crate::core::outcome::{CallOutcome, CallRefusal, UnknownCall};
use crate::node::callers::{AddressesBody, CallBody, StartBody, StartedBody};
use crate::node::calls::{CallEvent, CallTarget};
use crate::util::http_client::{HttpClient, HttpError};
use crate::util::lines::LineReader;

/// Instances send an event each second, also while a call waits.
const STREAM_STALL_TIMEOUT: Duration = Duration::from_secs(4);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
const RETRY_DELAY: Duration = Duration::from_millis(200);

#[derive(Debug, Clone, PartialEq, Display, Error)]
pub enum CallerError {
    #[display("refused: {_0}")]
    Refused(#[error(not(source))] CallRefusal),
    #[display("no instance answers: {message}")]
    Unreachable { message: Box<str> },
}

#[derive(Debug, Clone, PartialEq)]
pub struct ClientCall {
    pub number: CallNumber,
    pub request_id: Box<str>,
    pub input: Box<str>,
    pub target: CallTarget,
}

#[derive(Debug, Clone, PartialEq)]
pub struct CallReport {
    pub outcome: CallOutcome,
    /// Text of the last stream.
    pub streamed: Box<str>,
    pub first_token: Option<Duration>,
    pub last_token: Option<Duration>,
    pub total: Duration,
    /// Submissions after the first, those that reconnect to a running call included.
    pub retries: u32,
}

pub struct CallerClient {
    seeds: Vec<Box<str>>,
    addresses: RefCell<Vec<Box<str>>>,
    addresses_expire_at: Cell<Option<Instant>>,
    next_index: Cell<usize>,
    http: HttpClient,
}

impl CallerClient {
    /// `seeds` are addresses of any instances.
    pub fn new(seeds: impl IntoIterator<Item = Box<str>>) -> Self {
        Self {
            seeds: seeds.into_iter().collect(),
            addresses: RefCell::default(),
            addresses_expire_at: Cell::new(None),
            next_index: Cell::new(0),
            http: HttpClient::default(),
        }
    }

    /// Returns the cached addresses, fetched again once they have expired.
    pub async fn addresses(&self) -> Result<Vec<Box<str>>, CallerError> {
        if self.addresses_expire_at.get().is_some_and(|expiry| Instant::now() < expiry) {
            return Ok(self.addresses.borrow().clone());
        }
        let mut candidates = self.addresses.borrow().clone();
        candidates.extend(self.seeds.iter().cloned());
        let mut last_error: Box<str> = "no address is known".into();
        for address in candidates {
            let path = "/v1/addresses";
            match self.request::<AddressesBody>(Method::GET, &address, path, Bytes::new()).await {
                Ok(body) if !body.addresses.is_empty() => {
                    let lifetime = Duration::from_secs(body.keep_seconds.into());
                    self.addresses_expire_at.set(Some(Instant::now() + lifetime));
                    *self.addresses.borrow_mut() = body.addresses.clone();
                    return Ok(body.addresses);
                }
                Ok(_) => last_error = "no instance is ready".into(),
                Err(error) => last_error = error.to_string().into(),
            }
        }
        Err(CallerError::Unreachable { message: last_error })
    }

    async fn next_address(&self) -> Result<Box<str>, CallerError> {
        let addresses = self.addresses().await?;
        let index = self.next_index.get();
        self.next_index.set(index + 1);
        Ok(addresses[index % addresses.len()].clone())
    }

    fn expire_addresses(&self) {
        self.addresses_expire_at.set(None);
    }

    async fn request<T: DeserializeOwned>(
        &self,
        method: Method,
        address: &str,
        path: &str,
        body: Bytes,
    ) -> Result<T, HttpError> {
        let exchange = self.http.exchange(method, address, path, body, REQUEST_TIMEOUT);
        let answer = exchange.await?;
        serde_json::from_slice(&answer)
            .map_err(|error| HttpError::Lost { message: error.to_string().into() })
    }

    /// Retries a request, rotating over the instances, until it succeeds, is refused for good or
    /// `time_limit` has passed.
    async fn request_with_retries<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        time_limit: Duration,
    ) -> Result<T, CallerError> {
        let deadline = Instant::now() + time_limit;
        loop {
            let message: Box<str> = match self.next_address().await {
                Ok(address) => {
                    match self.request(method.clone(), &address, path, body.clone()).await {
                        Ok(answer) => return Ok(answer),
                        Err(error) => {
                            if let Some(refusal) = final_refusal(&error) {
                                return Err(CallerError::Refused(refusal));
                            }
                            self.expire_addresses();
                            error.to_string().into()
                        }
                    }
                }
                Err(error) => error.to_string().into(),
            };
            if Instant::now() >= deadline {
                return Err(CallerError::Unreachable { message });
            }
            sleep(RETRY_DELAY).await;
        }
    }

    /// A repeated start key returns the same program, at the same instance.
    pub async fn start_program(
        &self,
        workspace: &str,
        definition: &str,
        start_key: Option<Box<str>>,
        time_limit: Duration,
    ) -> Result<Box<str>, CallerError> {
        let body = StartBody {
            workspace: workspace.into(),
            definition: definition.into(),
            start_key,
            parent: None,
        };
        let body = serde_json::to_vec(&body).expect("starts serialize").into();
        let started: StartedBody =
            self.request_with_retries(Method::POST, "/v1/programs", body, time_limit).await?;
        Ok(started.program)
    }

    pub async fn end_program(
        &self,
        program: &str,
        time_limit: Duration,
    ) -> Result<(), CallerError> {
        let path = format!("/v1/programs/{program}");
        let _: serde_json::Value =
            self.request_with_retries(Method::DELETE, &path, Bytes::new(), time_limit).await?;
        Ok(())
    }

    pub async fn show_program(
        &self,
        program: &str,
        time_limit: Duration,
    ) -> Result<serde_json::Value, CallerError> {
        let path = format!("/v1/programs/{program}");
        self.request_with_retries(Method::GET, &path, Bytes::new(), time_limit).await
    }

    /// Follows a call to its final outcome over any number of connections and instances.
    ///
    /// Retryable refusals and unknown outcomes are submitted again with the same request id until
    /// `time_limit` has passed.
    pub async fn call(
        &self,
        program: &str,
        call: &ClientCall,
        time_limit: Duration,
    ) -> Result<CallReport, CallerError> {
        let started = Instant::now();
        let mut progress = CallProgress::default();
        let mut retries = 0;
        loop {
            let last_error = match self.attempt(program, call, &mut progress, started).await {
                Ok(outcome) => {
                    let delay = retry_delay(&outcome);
                    let Some(delay) = delay.filter(|delay| started.elapsed() + *delay < time_limit)
                    else {
                        return Ok(CallReport {
                            outcome,
                            streamed: progress.text.into(),
                            first_token: progress.first_token,
                            last_token: progress.last_token,
                            total: started.elapsed(),
                            retries,
                        });
                    };
                    sleep(delay).await;
                    None
                }
                Err(error) => {
                    self.expire_addresses();
                    sleep(RETRY_DELAY).await;
                    Some(error)
                }
            };
            retries += 1;
            if started.elapsed() >= time_limit {
                let message = last_error.map_or("timed out".into(), |error| error.to_string());
                return Err(CallerError::Unreachable { message: message.into() });
            }
        }
    }

    async fn attempt(
        &self,
        program: &str,
        call: &ClientCall,
        progress: &mut CallProgress,
        started: Instant,
    ) -> Result<CallOutcome, HttpError> {
        let address = self
            .next_address()
            .await
            .map_err(|error| HttpError::Lost { message: error.to_string().into() })?;
        let body = CallBody {
            number: call.number,
            request_id: call.request_id.clone(),
            input: call.input.clone(),
            target: call.target.clone(),
            deadline_ms: None,
        };
        let body = serde_json::to_vec(&body).expect("calls serialize").into();
        let path = format!("/v1/programs/{program}/calls");
        let opening = self.http.open(Method::POST, &address, &path, body, false);
        let opened = timeout(STREAM_STALL_TIMEOUT, opening).await;
        let chunks = match opened.unwrap_or_else(|_| Err(stall_error())) {
            Ok(chunks) => chunks,
            Err(error) => return parse_refusal(&error).map(CallOutcome::NotRun).ok_or(error),
        };
        // Each stream sends the answer from its start.
        progress.text.clear();
        let mut lines = LineReader::new(chunks);
        loop {
            let next = timeout(STREAM_STALL_TIMEOUT, lines.next::<CallEvent>()).await;
            match next.unwrap_or_else(|_| Err(stall_error()))? {
                CallEvent::Tokens { text, .. } => {
                    progress.first_token.get_or_insert(started.elapsed());
                    progress.last_token = Some(started.elapsed());
                    progress.text.push_str(&text);
                }
                CallEvent::Waiting => {}
                CallEvent::Final(outcome) => return Ok(outcome),
            }
        }
    }
}

#[derive(Debug, Default)]
struct CallProgress {
    text: String,
    first_token: Option<Duration>,
    last_token: Option<Duration>,
}

fn stall_error() -> HttpError {
    HttpError::Lost { message: "the stream has stalled".into() }
}

fn parse_refusal(error: &HttpError) -> Option<CallRefusal> {
    let HttpError::Status { message, .. } = error else { return None };
    serde_json::from_str(message).ok()
}

/// Returns refusals that a retry cannot change.
fn final_refusal(error: &HttpError) -> Option<CallRefusal> {
    parse_refusal(error).filter(|refusal| refusal.retry_after.is_none())
}

/// Returns `None` for outcomes that are final.
fn retry_delay(outcome: &CallOutcome) -> Option<Duration> {
    match outcome {
        CallOutcome::NotRun(refusal) => refusal.retry_after,
        CallOutcome::Unknown(UnknownCall { retryable: true, .. }) => Some(RETRY_DELAY),
        CallOutcome::Unknown(_) | CallOutcome::Answered(_) => None,
    }
}
