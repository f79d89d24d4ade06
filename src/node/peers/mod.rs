//! Other instances as this one uses them.

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

/// A request for a slot on an engine that another instance owns.
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
    /// The part of them that takes memory of its own.
    pub own_tokens: u32,
    /// Whether it is the first call of a program that nobody waits for.
    pub newcomer: bool,
    /// How long the request may wait in the queue.
    pub wait: Duration,
}

/// Answer to a [`PermitRequest`].
#[derive(Debug, Clone, PartialEq)]
pub enum PermitReply {
    Granted,
    /// No slot became free in time; asking again makes sense after this.
    Refused(Duration),
    /// The asked instance does not own the engine.
    NotOwner,
}

/// A request to start a program.
#[derive(Debug, Clone, PartialEq)]
pub struct StartRequest {
    pub workspace: WorkspaceId,
    pub definition: Box<str>,
    /// Repeating a start with the same key gives the same program while it lives.
    pub start_key: Option<Box<str>>,
    pub parent: Option<ProgramId>,
}

/// The other instance did not answer.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("instance {instance} does not answer")]
pub struct PeerError {
    pub instance: InstanceId,
    /// Whether it may have got the request; if not, what was asked has not been done.
    pub sent: bool,
}

impl PeerError {
    /// No byte of the request left.
    pub fn unreachable(to: &MemberInfo) -> Self {
        Self { instance: to.instance.clone(), sent: false }
    }

    /// The answer was lost.
    pub fn lost(to: &MemberInfo) -> Self {
        Self { instance: to.instance.clone(), sent: true }
    }
}

/// Ways to other instances.
#[async_trait(?Send)]
pub trait PeerNetwork {
    /// Sends a datagram; it may be lost.
    fn gossip(&self, to: &str, message: GossipMessage);

    /// Asks for a sign of life.
    async fn ping(&self, to: &MemberInfo) -> Result<(), PeerError>;

    async fn acquire(
        &self,
        to: &MemberInfo,
        request: PermitRequest,
    ) -> Result<PermitReply, PeerError>;

    async fn finish(
        &self,
        to: &MemberInfo,
        engine: &str,
        permit: PermitId,
    ) -> Result<(), PeerError>;

    /// Asks the holder of a slot to give it back.
    async fn revoke(&self, to: &MemberInfo, permit: PermitId) -> Result<(), PeerError>;

    /// Hints that these shards have no owner any more.
    async fn shards_released(&self, to: &MemberInfo, shards: Vec<ShardId>)
    -> Result<(), PeerError>;

    /// Which of these programs have ended, as far as the asked instance owns them.
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

    /// Carries a call to its program's owner; the answer streams back into the returned call.
    async fn forward_call(
        &self,
        to: &MemberInfo,
        request: CallRequest,
    ) -> Result<Result<Rc<LiveCall>, CallRefusal>, PeerError>;

    /// Follows a call that was submitted earlier.
    async fn forward_follow(
        &self,
        to: &MemberInfo,
        program: ProgramId,
        number: CallNumber,
    ) -> Result<Result<Rc<LiveCall>, CallRefusal>, PeerError>;

    /// Ends a program at its owner.
    async fn forward_end(
        &self,
        to: &MemberInfo,
        program: ProgramId,
    ) -> Result<Result<(), CallRefusal>, PeerError>;

    /// Reads a program's state at its owner, as JSON.
    async fn forward_show(
        &self,
        to: &MemberInfo,
        program: ProgramId,
    ) -> Result<Result<Box<str>, CallRefusal>, PeerError>;
}
