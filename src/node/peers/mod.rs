//! Communication with other instances: requests, their transport, and the server side.

mod codec;
#[cfg(test)]
mod codec_tests;
mod network;
mod server;
mod timed;

use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use derive_more::{Display, Error};

use super::calls::{CallRequest, LiveCall};
use crate::core::config::ConfigChange;
use crate::core::dispatch::ServiceClass;
use crate::core::ids::{
    CallNumber, ConfigVersion, InstanceId, PermitId, ProgramId, ShardId, Tokens, UpstreamId,
    WorkspaceId,
};
use crate::core::members::{GossipMessage, MemberInfo};
use crate::core::outcome::CallRefusal;

pub(crate) use codec::{decode_gossip, encode_gossip};
pub use network::RpcNetwork;
pub(crate) use server::run_connection;
pub use server::serve_peers;
pub(crate) use timed::TimedPeers;

/// Requests a permit for an engine that another instance owns.
#[derive(Debug, Clone, PartialEq)]
pub struct PermitRequest {
    pub permit: PermitId,
    pub holder: InstanceId,
    pub program: ProgramId,
    pub workspace: WorkspaceId,
    pub engine: UpstreamId,
    pub class: ServiceClass,
    pub weight: u16,
    pub attained: Tokens,
    pub tokens: u32,
    /// The part of `tokens` that needs memory of its own: all but the shared prefix.
    pub own_tokens: u32,
    /// First call of a program without a parent, for which no engine holds memory.
    pub cold: bool,
    /// Maximum time in the queue.
    pub wait: Duration,
}

#[derive(Debug, Clone, PartialEq)]
pub enum PermitReply {
    Granted,
    /// No slot became free in time; the duration is the delay before a retry.
    Refused(Duration),
    /// The instance does not own the engine.
    NotOwner,
}

#[derive(Debug, Clone, PartialEq)]
pub struct StartRequest {
    pub workspace: WorkspaceId,
    pub definition: Box<str>,
    /// Idempotency key: a repeated start returns the same program until it ends.
    pub start_key: Option<Box<str>>,
    pub parent: Option<ProgramId>,
}

#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("instance {instance} does not answer")]
pub struct PeerError {
    pub instance: InstanceId,
    /// True if the request may have reached the instance; if false, it was not executed.
    pub sent: bool,
}

impl PeerError {
    /// No byte of the request was sent.
    pub fn unreachable(to: &MemberInfo) -> Self {
        Self { instance: to.instance.clone(), sent: false }
    }

    /// The request may have been executed.
    pub fn lost(to: &MemberInfo) -> Self {
        Self { instance: to.instance.clone(), sent: true }
    }
}

/// Transport to other instances.
#[async_trait(?Send)]
pub trait PeerNetwork {
    /// Sends a datagram without a delivery guarantee.
    fn gossip(&self, to: &str, message: GossipMessage);

    async fn ping(&self, to: &MemberInfo) -> Result<(), PeerError>;

    async fn acquire(
        &self,
        to: &MemberInfo,
        request: PermitRequest,
    ) -> Result<PermitReply, PeerError>;

    async fn release(
        &self,
        to: &MemberInfo,
        engine: &str,
        permit: PermitId,
    ) -> Result<(), PeerError>;

    /// Asks the holder of a permit to release it.
    async fn revoke(&self, to: &MemberInfo, permit: PermitId) -> Result<(), PeerError>;

    /// Notifies an instance that these shards no longer have an owner. This is only a hint.
    async fn shards_released(&self, to: &MemberInfo, shards: Vec<ShardId>)
    -> Result<(), PeerError>;

    /// Returns those of the programs that have ended; only programs that `to` owns are considered.
    async fn ended_programs(
        &self,
        to: &MemberInfo,
        programs: Vec<ProgramId>,
    ) -> Result<Vec<ProgramId>, PeerError>;

    async fn changes_since(
        &self,
        to: &MemberInfo,
        version: ConfigVersion,
    ) -> Result<Vec<ConfigChange>, PeerError>;

    /// Forwards a call to its program's owner; the answer is streamed into the returned call.
    async fn forward_call(
        &self,
        to: &MemberInfo,
        request: CallRequest,
    ) -> Result<Result<Rc<LiveCall>, CallRefusal>, PeerError>;

    /// Attaches to a call that was submitted earlier.
    async fn forward_follow(
        &self,
        to: &MemberInfo,
        program: ProgramId,
        number: CallNumber,
    ) -> Result<Result<Rc<LiveCall>, CallRefusal>, PeerError>;

    async fn forward_end(
        &self,
        to: &MemberInfo,
        program: ProgramId,
    ) -> Result<Result<(), CallRefusal>, PeerError>;

    /// Returns the program's state as JSON.
    async fn forward_show(
        &self,
        to: &MemberInfo,
        program: ProgramId,
    ) -> Result<Result<Box<str>, CallRefusal>, PeerError>;
}
