//! Interface to the platform's names and formats for callers, upstreams and the store.

use std::time::Duration;

use actix_http::header::HeaderMap;
use bytes::Bytes;
use derive_more::{Display, Error};

use super::rows::{
    ChangesReply, CommitReply, RangeReply, RowRange, RowTransaction, RowVersion, StoreCall,
    StoredRow,
};
use crate::core::ids::{RequestId, Tokens, UpstreamId, WorkspaceId};
use crate::core::routing::RouteTable;
use crate::core::turns::{BranchName, ProgramName, TurnId};
use crate::core::upstreams::{PromptBlock, UpstreamEntry};
use crate::core::workspaces::ApiKey;
use crate::node::platform::StoreError;

/// Decoded headers of a caller's request.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CallHead {
    /// Differs between attempts of the same caller.
    pub request: Option<RequestId>,
    /// Time from now until the caller stops waiting.
    pub deadline: Option<Duration>,
    /// Shared by requests about the same object.
    pub affinity: Option<Box<str>>,
    pub program: Option<ProgramName>,
    pub branch: Option<BranchName>,
    /// Time until the program should finish.
    pub finish: Option<Duration>,
    /// Limit for the tokens that all turns of the program generate.
    pub token_budget: Option<Tokens>,
    /// Limit for the tokens that this turn generates.
    pub max_output: Option<Tokens>,
    pub prompt_tokens: Option<Tokens>,
    /// The turn that this one continues.
    pub previous: Option<TurnId>,
    pub blocks: Vec<PromptBlock>,
    /// Identifies the workspace of the caller.
    pub key: Option<ApiKey>,
}

/// A request head that is invalid under any configuration, or one that cannot be encoded.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("the field '{field}' is {problem}")]
pub struct HeadError {
    pub field: Box<str>,
    pub problem: Box<str>,
}

/// Headers that the gateway adds to a request to an upstream.
#[derive(Debug, Clone, PartialEq)]
pub struct AttemptHead {
    /// Any other upstream at the same address rejects the request.
    pub upstream: UpstreamId,
    /// Time left for the upstream to respond.
    pub deadline: Duration,
    /// From 0, the most urgent, to 9; none if the order does not matter.
    pub priority: Option<u8>,
    /// None if the route requires no key.
    pub workspace: Option<WorkspaceId>,
    /// The event after which an interrupted stream resumes; none to start from the first one.
    pub last_event: Option<Box<str>>,
}

#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AnswerHead {
    /// Id of the request that the response belongs to.
    pub request: Option<RequestId>,
    /// True if the upstream guarantees that the request did not run.
    pub not_run: bool,
    /// Announced time for which an idle connection stays open.
    pub keep_alive: Option<Duration>,
}

#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AddressQuery {
    pub zone: Box<str>,
    pub region: Box<str>,
}

/// A row of the store that could not be decoded.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{what} is malformed: {reason}")]
pub struct DecodeError {
    pub what: Box<str>,
    pub reason: Box<str>,
}

/// Encodes and decodes the formats of the platform. Implementations make no decisions.
pub trait GatewayDialect {
    /// Only a head that is invalid under any configuration is an error.
    fn call_head(&self, headers: &HeaderMap) -> Result<CallHead, HeadError>;

    /// Returns the caller's headers without those reserved for the system, plus those of the attempt.
    /// An error if a value of the attempt cannot be sent in a header.
    fn upstream_headers(
        &self,
        caller: &HeaderMap,
        attempt: &AttemptHead,
    ) -> Result<HeaderMap, HeadError>;

    fn answer_head(&self, headers: &HeaderMap) -> AnswerHead;

    /// Returns none if the request is not an address query.
    fn address_query(&self, path: &str, query: &str) -> Option<AddressQuery>;

    fn address_reply(&self, addresses: &[Box<str>], ttl: Duration) -> Bytes;

    fn ready_path(&self) -> &'static str;

    fn commit_call(&self, transaction: &RowTransaction) -> StoreCall;
    fn commit_reply(&self, status: u16, body: &[u8]) -> Result<CommitReply, StoreError>;

    fn range_call(&self, range: &RowRange) -> StoreCall;
    fn range_reply(&self, status: u16, body: &[u8]) -> Result<RangeReply, StoreError>;

    /// Lists the partitions of a table in order, those that follow `after`.
    fn partitions_call(&self, table: &str, after: Option<&str>) -> StoreCall;
    fn partitions_reply(&self, status: u16, body: &[u8]) -> Result<Vec<Box<str>>, StoreError>;

    /// Requests the changes of a table after a version. The store waits up to `wait` for a change.
    fn changes_call(&self, table: &str, after: RowVersion, wait: Duration) -> StoreCall;
    fn changes_reply(&self, status: u16, body: &[u8]) -> Result<ChangesReply, StoreError>;

    fn routes_table(&self) -> &'static str;
    /// Returns none if the row does not hold routes.
    fn route_table(&self, row: &StoredRow) -> Result<Option<RouteTable>, DecodeError>;

    /// Table in which upstreams register.
    fn upstreams_table(&self) -> &'static str;
    fn upstream_entry(&self, row: &StoredRow) -> Result<UpstreamEntry, DecodeError>;
}
