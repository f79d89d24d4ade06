//! Results of calls and other requests. Callers must be able to tell the three outcomes apart.

use std::time::Duration;

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

use super::ids::{CallNumber, Tokens, UpstreamId};

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, From)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum CallOutcome {
    /// The complete answer of a call that ran; it is part of the durable history.
    Answered(CallAnswer),
    /// No byte of the call reached an upstream and no intent is stored; it may be sent again.
    NotRun(CallRefusal),
    /// The call may have run. The system never resends a non-idempotent call.
    Unknown(UnknownCall),
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CallAnswer {
    pub text: Box<str>,
    pub upstream: UpstreamId,
    pub usage: TokenUsage,
}

/// Token counts of one call, as reported by the engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenUsage {
    pub prompt: Tokens,
    /// The part of `prompt` that was served from the engine's cache.
    pub cached: Tokens,
    pub generated: Tokens,
}

impl TokenUsage {
    /// Tokens charged to the workspace; cached prompt tokens are charged in full.
    pub fn billed(&self) -> Tokens {
        self.prompt + self.generated
    }
}

/// Refusal of a call or another request of which no part ran.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Display)]
#[display("{reason}")]
pub struct CallRefusal {
    #[serde(flatten)]
    pub reason: RefusalReason,
    /// Delay before a retry; absent if no retry can succeed.
    #[serde(with = "retry_millis", rename = "retry_after_ms", default)]
    pub retry_after: Option<Duration>,
}

impl CallRefusal {
    pub fn permanent(reason: RefusalReason) -> Self {
        Self { reason, retry_after: None }
    }

    pub fn retry(reason: RefusalReason, delay: Duration) -> Self {
        Self { reason, retry_after: Some(delay) }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(tag = "reason", rename_all = "snake_case")]
pub enum RefusalReason {
    #[display("the request is malformed: {message}")]
    Malformed { message: Box<str> },
    #[display("there is no such program here")]
    UnknownProgram,
    #[display("there is no such workspace, or it is retired")]
    UnknownWorkspace,
    #[display("the workspace has no such program definition")]
    UnknownDefinition,
    #[display("there is no such upstream")]
    UnknownUpstream,
    #[display("the program has ended")]
    ProgramEnded,
    #[display("the next call of this program is number {expected}")]
    WrongNumber { expected: CallNumber },
    #[display("call number or request id already stands for another call")]
    RequestReused,
    #[display("the program has reached a limit of its definition: {limit}")]
    LimitReached { limit: Box<str> },
    #[display("the workspace's budget does not cover the call")]
    BudgetExhausted,
    #[display("no upstream has room before the call's deadline")]
    Overloaded,
    #[display("the program's shard is moving to another instance")]
    OwnerMoving,
    #[display("the platform's store does not answer")]
    StoreUnavailable,
    #[display("this instance cannot show that its configuration is current")]
    ConfigStale,
    #[display("this instance is leaving")]
    Draining,
}

/// Failure of a request other than a call.
#[derive(Debug, Clone, PartialEq, Display, From)]
pub enum RequestFailure {
    NotRun(CallRefusal),
    /// The request may have run, or may run later. It is idempotent, so it may be repeated.
    Unknown(UnknownCall),
}

impl RequestFailure {
    pub fn unknown(message: &str) -> Self {
        Self::Unknown(UnknownCall { message: message.into(), retryable: true })
    }
}

/// A call or another request that may have run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Display)]
#[display("{message}")]
pub struct UnknownCall {
    pub message: Box<str>,
    /// True only for idempotent requests, which may be sent again under the same request id.
    pub retryable: bool,
}

mod retry_millis {
    use std::time::Duration;

    use serde::{Deserialize, Deserializer, Serializer};

    pub fn serialize<S: Serializer>(delay: &Option<Duration>, to: S) -> Result<S::Ok, S::Error> {
        match delay {
            Some(delay) => to.serialize_some(&(delay.as_millis() as u64)),
            None => to.serialize_none(),
        }
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Option<Duration>, D::Error> {
        let millis = Option::<u64>::deserialize(from)?;
        Ok(millis.map(Duration::from_millis))
    }
}
