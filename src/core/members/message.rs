//! What members tell one another.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::core::dispatch::ServiceClass;
use crate::core::ids::{ConfigVersion, Incarnation, InstanceId};
use crate::core::timeline::CausalStamp;

/// How a member stands, in rising order of what overrides what at equal revisions.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Display,
)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    #[display("alive")]
    Alive,
    #[display("suspect")]
    Suspect,
    /// Alive, but takes no new work and hands over its shards.
    #[display("leaving")]
    Leaving,
    /// Leaving, and suspect.
    #[display("doubted")]
    #[serde(rename = "doubted")]
    LeavingSuspect,
    #[display("dead")]
    Dead,
}

/// The mean load of the engines whose slots a member hands out.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberLoad {
    /// Calls running and waiting that are not behind the class, in per mille of the slots.
    pub paying: u16,
    pub trial: u16,
    /// Memory its programs need, in per mille.
    pub pressure: u16,
    /// How long a call holds a slot; zero if that is not known.
    pub hold_millis: u32,
}

impl MemberLoad {
    pub fn of(&self, class: ServiceClass) -> u16 {
        match class {
            ServiceClass::Paying => self.paying,
            ServiceClass::Trial => self.trial,
        }
    }

    pub fn hold(&self) -> Duration {
        Duration::from_millis(self.hold_millis.into())
    }
}

/// One instance as it describes itself, or as others saw it last.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberInfo {
    pub instance: InstanceId,
    pub incarnation: Incarnation,
    /// Raised by the member itself to refute a suspicion or to change its state.
    pub revision: u32,
    pub state: MemberState,
    pub zone: Box<str>,
    pub http_address: Box<str>,
    pub rpc_address: Box<str>,
    pub gossip_address: Box<str>,
    pub load: MemberLoad,
}

impl MemberState {
    /// Whether the member has to answer for itself before it is taken for dead.
    pub fn is_suspect(self) -> bool {
        matches!(self, Self::Suspect | Self::LeavingSuspect)
    }
}

impl MemberInfo {
    /// Whether this news replaces `old`.
    pub fn overrides(&self, old: &Self) -> bool {
        let rank = |info: &Self| (info.incarnation, info.revision, info.state);
        rank(self) > rank(old)
    }
}

/// One datagram.
#[derive(Debug, Clone, PartialEq)]
pub struct GossipMessage {
    pub stamp: CausalStamp,
    pub from: InstanceId,
    pub from_address: Box<str>,
    pub config_head: ConfigVersion,
    /// How long ago nothing above `config_head` existed, if the sender can tell.
    pub head_age: Option<Duration>,
    /// Pairs an ack with its ping.
    pub sequence: u32,
    pub updates: Vec<MemberInfo>,
    pub body: GossipBody,
}

/// What a datagram asks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GossipBody {
    Ping,
    Ack,
    /// Ping this address on the sender's behalf.
    IndirectPing(Box<str>),
    /// The sender is new and wants to know everybody.
    Join,
}
