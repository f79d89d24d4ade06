//! The border to the platform: how callers, upstreams and the store spell what the gateway uses.

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

/// What a caller's request says about itself, apart from method, path and body.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CallHead {
    /// New for each attempt of a caller.
    pub request: Option<RequestId>,
    /// How long the caller waits from now on.
    pub deadline: Option<Duration>,
    /// What requests about the same object share.
    pub affinity: Option<Box<str>>,
    pub program: Option<ProgramName>,
    /// The line of turns of the program that it belongs to.
    pub line: Option<BranchName>,
    /// Time until the whole program should be done.
    pub finish: Option<Duration>,
    /// Tokens that all turns of the program may generate together.
    pub token_budget: Option<Tokens>,
    /// Most tokens this turn generates.
    pub max_output: Option<Tokens>,
    /// Tokens of the whole prompt.
    pub prompt_tokens: Option<Tokens>,
    /// The turn this one continues from.
    pub previous: Option<TurnId>,
    pub parts: Vec<PromptBlock>,
    /// By which the caller shows its workspace.
    pub key: Option<ApiKey>,
}

/// A head that no configuration makes acceptable.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("the field '{field}' is {problem}")]
pub struct HeadError {
    pub field: Box<str>,
    pub problem: Box<str>,
}

/// What the gateway adds to a request for an upstream.
#[derive(Debug, Clone, PartialEq)]
pub struct AttemptHead {
    /// The upstream that must answer; any other at its address refuses.
    pub expect: UpstreamId,
    /// Time the upstream may still take.
    pub deadline: Duration,
    /// 0 is the most urgent, 9 the least; absent where no order is wanted.
    pub priority: Option<u8>,
    /// Whose request it is; none where nobody had to show a key.
    pub workspace: Option<WorkspaceId>,
    /// The event after which a stream that broke off goes on; absent where it begins.
    pub last_event: Option<Box<str>>,
}

/// What an upstream's answer says about itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AnswerHead {
    /// The request it answers.
    pub request: Option<RequestId>,
    /// Whether the upstream vouches that the request did not run.
    pub not_run: bool,
    /// How long an idle connection stays open, if it says so.
    pub keep_alive: Option<Duration>,
}

/// A question for addresses of this system.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AddressQuery {
    pub zone: Box<str>,
    pub region: Box<str>,
}

/// A row of the store that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{what} is malformed: {reason}")]
pub struct DecodeError {
    pub what: Box<str>,
    pub reason: Box<str>,
}

/// Names and formats of the platform. It decides nothing.
pub trait GatewayDialect {
    /// Reads a caller's head. Only what is wrong under any configuration is an error.
    fn call_head(&self, headers: &HeaderMap) -> Result<CallHead, HeadError>;

    /// The headers for an upstream: the caller's without those that only this system may set.
    fn upstream_headers(&self, caller: &HeaderMap, attempt: &AttemptHead) -> HeaderMap;

    fn answer_head(&self, headers: &HeaderMap) -> AnswerHead;

    /// Reads a question for addresses; none if it is something else.
    fn address_query(&self, path: &str, query: &str) -> Option<AddressQuery>;

    fn address_reply(&self, addresses: &[Box<str>], keep: Duration) -> Bytes;

    /// Path at which the platform asks whether this instance is ready.
    fn ready_path(&self) -> &'static str;

    fn commit_call(&self, transaction: &RowTransaction) -> StoreCall;
    fn commit_reply(&self, status: u16, body: &[u8]) -> Result<CommitReply, StoreError>;

    fn range_call(&self, range: &RowRange) -> StoreCall;
    fn range_reply(&self, status: u16, body: &[u8]) -> Result<RangeReply, StoreError>;

    /// Lists the names of a table's partitions that sort after `after`.
    fn partitions_call(&self, table: &str, after: Option<&str>) -> StoreCall;
    fn partitions_reply(&self, status: u16, body: &[u8]) -> Result<Vec<Box<str>>, StoreError>;

    /// Asks what changed in a table after a version; the store waits up to `wait` for something.
    fn changes_call(&self, table: &str, after: RowVersion, wait: Duration) -> StoreCall;
    fn changes_reply(&self, status: u16, body: &[u8]) -> Result<ChangesReply, StoreError>;

    /// Table in which the operator keeps the routes.
    fn routes_table(&self) -> &'static str;
    /// Reads the routes; none if the row holds something else.
    fn route_table(&self, row: &StoredRow) -> Result<Option<RouteTable>, DecodeError>;

    /// Table in which upstreams list themselves.
    fn upstreams_table(&self) -> &'static str;
    fn upstream_entry(&self, row: &StoredRow) -> Result<UpstreamEntry, DecodeError>;
}
