//! Membership of a zone's instances by a gossip protocol with indirect probes and suspicion, and
//! the choice of leaders among them.

mod dissemination;
mod groups;
mod message;
mod table;

pub use groups::{GroupRole, group_role, leaders, preferred_member, preferred_members, tree_role};
pub use message::{GossipBody, GossipMessage, MemberInfo, MemberLoad, MemberState};
pub use table::{MemberAction, MemberSettings, MemberTable};
