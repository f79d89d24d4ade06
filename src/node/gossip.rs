//! Drives the failure detector with timers and datagrams, and applies membership changes.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::instance::Node;
use super::platform::RosterRole;
use crate::core::ids::InstanceId;
use crate::core::members::{GossipMessage, MemberAction, MemberState};

const TICK_INTERVAL: Duration = Duration::from_millis(50);
const REJOIN_INTERVAL: Duration = Duration::from_secs(2);

impl Node {
    pub(crate) fn spawn_gossip(self: Rc<Self>) {
        actix_rt::spawn(async move {
            let mut next_join = Instant::now();
            while !self.is_stopped() {
                if Instant::now() >= next_join {
                    self.join_members();
                    next_join = Instant::now() + REJOIN_INTERVAL;
                }
                let actions = self.members.borrow_mut().tick(Instant::now());
                self.perform(actions);
                sleep(TICK_INTERVAL).await;
            }
        });
    }

    /// Requests the member list from roster instances that are unknown or considered dead.
    ///
    /// After a long partition each side considers the other dead and no longer probes it; only the
    /// roster lets them rejoin.
    fn join_members(&self) {
        let seeds: Vec<_> = {
            let members = self.members.borrow();
            let roster = self.roster.borrow().all(RosterRole::Instance);
            let unknown = roster.into_iter().filter(|entry| {
                members.get(&entry.id).is_none_or(|member| member.state == MemberState::Dead)
            });
            unknown.map(|entry| entry.address).collect()
        };
        let actions = self.members.borrow_mut().join(seeds);
        self.perform(actions);
    }

    pub fn receive_gossip(&self, message: &GossipMessage) {
        if self.is_stopped() {
            return;
        }
        self.observe_stamp(message.stamp);
        let actions = self.members.borrow_mut().receive(message, Instant::now());
        let ping_sent = actions.iter().find_map(|action| match action {
            MemberAction::Answered(ping_sent) => Some(*ping_sent),
            MemberAction::Send { .. } | MemberAction::Changed(_) => None,
        });
        self.observe_config(message, ping_sent);
        self.perform(actions);
    }

    pub(crate) fn perform(&self, actions: Vec<MemberAction>) {
        let mut changed = false;
        for action in actions {
            match action {
                MemberAction::Send { to, mut message } => {
                    message.stamp = self.stamp();
                    message.config_head = self.config_version();
                    message.head_age = self.config.borrow().age(Instant::now());
                    self.peers.gossip(&to, message);
                }
                MemberAction::Answered(_) => {}
                MemberAction::Changed(member) => {
                    changed = true;
                    self.event("member_changed")
                        .detail(format!("member={} state={}", member.instance, member.state))
                        .log();
                    if member.state == MemberState::Dead {
                        self.drop_holder(&member.instance);
                    }
                }
            }
        }
        if changed || self.draining.get() {
            self.members_changed();
        }
    }

    /// Updates shard placement and engine ownership after a membership change.
    pub(crate) fn members_changed(&self) {
        let serving: Vec<InstanceId> =
            self.members.borrow().serving().map(|member| member.instance.clone()).collect();
        self.shards.borrow_mut().set_members(&serving);
        self.reassign_engines();
        self.ownership_hint.notify_one();
    }
}
