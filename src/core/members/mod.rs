//! Which instances are there: a gossiping failure detector with indirect probes and suspicion; and who
//! of them does a work for the others.

mod dissemination;
mod groups;
mod message;
mod table;

pub use groups::{GroupRole, group_role, leaders, preferred_member, tree_role};
pub use message::{GossipBody, GossipMessage, MemberInfo, MemberLoad, MemberState};
pub use table::{MemberAction, MemberSettings, MemberTable};
