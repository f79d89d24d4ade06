//! The messages that members exchange and the state that they report.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::core::dispatch::ServiceClass;
use crate::core::ids::{ConfigVersion, Incarnation, InstanceId};
use crate::core::timeline::CausalStamp;

/// At equal revisions a later variant overrides an earlier one.
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
    #[display("doubted")]
    #[serde(rename = "doubted")]
    LeavingSuspect,
    #[display("dead")]
    Dead,
}

/// Mean load of the engines whose slots the member assigns.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberLoad {
    /// Calls running, or queued at this class or above, in per mille of the slots.
    pub paying: u16,
    pub trial: u16,
    /// Memory that its programs need, in per mille.
    pub pressure: u16,
    /// Mean time that a call holds a slot; zero if unknown.
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
    /// A suspect is declared dead unless it refutes the suspicion in time.
    pub fn is_suspect(self) -> bool {
        matches!(self, Self::Suspect | Self::LeavingSuspect)
    }
}

impl MemberInfo {
    pub fn overrides(&self, old: &Self) -> bool {
        let rank = |info: &Self| (info.incarnation, info.revision, info.state);
        rank(self) > rank(old)
    }
}

#[derive(Debug, Clone, PartialEq)]
pub struct GossipMessage {
    pub stamp: CausalStamp,
    pub from: InstanceId,
    pub from_address: Box<str>,
    pub config_head: ConfigVersion,
    /// Time since `config_head` was known to be the newest version; none if unknown.
    pub head_age: Option<Duration>,
    /// Pairs an ack with its ping.
    pub sequence: u32,
    pub updates: Vec<MemberInfo>,
    pub body: GossipBody,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GossipBody {
    Ping,
    Ack,
    /// Requests a ping of this address on the sender's behalf.
    IndirectPing(Box<str>),
    /// Requests the list of all members.
    Join,
}
