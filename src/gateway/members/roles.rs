//! Selects the members that limit workspaces, relay store calls, lead the change feed and sum the load
//! of upstreams.

use std::collections::BTreeMap;

use rand::seq::SliceRandom;

use super::{MemberView, is_ready};
use crate::core::ids::InstanceId;
use crate::core::load::LoadSender;
use crate::core::members::{
    GroupRole, MemberInfo, MemberState, group_role, preferred_member, tree_role,
};
use crate::core::quotas::{LimiterStatus, QuotaMember};
use crate::gateway::feed::FeedReaders;
use crate::gateway::load::{LoadMember, LoadPeers, LoadRoles};
use crate::gateway::quotas::QuotaPeers;
use crate::gateway::repeats::{LossMember, LossMembers, LossPeers};
use crate::gateway::store::RelayPeers;

/// Key by which the members of a zone are ranked as its load aggregator.
const LOAD_KEY: &str = "load";
/// Instances per leader of the change feed.
const READER_SPAN: usize = 16;
/// Leaders of a zone that read from the store; further leaders follow one of these. What the store
/// sends grows with the number of upstreams and must not grow with that of the instances too.
const READER_ROOTS: usize = 4;

impl QuotaPeers for MemberView {
    fn suspicions(&self) -> u64 {
        self.table.borrow().suspicions()
    }

    fn changes(&self) -> u64 {
        self.table.borrow().changes()
    }

    fn quota_members(&self) -> Vec<QuotaMember> {
        let status = |state| match state {
            MemberState::Alive => Some(LimiterStatus::Alive),
            MemberState::Suspect => Some(LimiterStatus::Suspect),
            MemberState::Dead => Some(LimiterStatus::Gone),
            MemberState::Leaving | MemberState::LeavingSuspect => None,
        };
        let table = self.table.borrow();
        let member = |info: &MemberInfo| {
            Some(QuotaMember {
                instance: info.instance.clone(),
                incarnation: info.incarnation,
                address: info.gossip_address.clone(),
                status: status(info.state)?,
            })
        };
        table.iter().filter_map(member).collect()
    }

    fn send(&self, to: &str, datagram: &[u8]) {
        self.send_datagram(to, datagram);
    }
}

impl RelayPeers for MemberView {
    fn relay_addresses(&self) -> Vec<Box<str>> {
        let table = self.table.borrow();
        let me = &table.me().instance;
        let others = table
            .iter()
            .filter(|member| member.state == MemberState::Alive && member.instance != *me);
        let mut others: Vec<_> = others.collect();
        others.shuffle(&mut rand::rng());
        // A ready instance reaches the store, and traffic between zones is charged.
        let zone = &table.me().zone;
        others.sort_by_key(|member| (!is_ready(member), member.zone != *zone));
        others.into_iter().map(|member| member.rpc_address.clone()).collect()
    }
}

impl FeedReaders for MemberView {
    fn feed_reader(&self) -> Option<Box<str>> {
        let table = self.table.borrow();
        let me = table.me();
        let local = table.iter().filter(|member| is_ready(member) && member.zone == me.zone);
        let names = local.map(|member| &*member.instance);
        let role = tree_role("news", &me.instance, READER_SPAN, READER_ROOTS, names);
        let GroupRole::Follower(reader) = role else { return None };
        let reader = table.iter().find(|member| *member.instance == *reader)?;
        Some(reader.rpc_address.clone())
    }

    fn reads_feed(&self) -> bool {
        let table = self.table.borrow();
        let me = table.me();
        let local = table.iter().filter(|member| is_ready(member) && member.zone == me.zone);
        let names = local.map(|member| &*member.instance);
        group_role("news", &me.instance, READER_SPAN, names) == GroupRole::Leader
    }

    fn instance(&self) -> InstanceId {
        self.table.borrow().me().instance.clone()
    }
}

impl LoadPeers for MemberView {
    fn load_roles(&self) -> LoadRoles {
        let table = self.table.borrow();
        let me = table.me();
        let mut zones: BTreeMap<&str, Vec<&MemberInfo>> = BTreeMap::new();
        for member in table.iter().filter(|member| is_ready(member)) {
            zones.entry(&member.zone).or_default().push(member);
        }
        let local = zones.remove(&*me.zone).unwrap_or_default();
        let first = load_aggregator(local.iter().copied());
        let others = local.iter().copied();
        let second = load_aggregator(others.filter(|member| Some(*member) != first));
        let remote = zones.into_values().filter_map(load_aggregator);
        let member = |info: &MemberInfo| LoadMember {
            instance: info.instance.clone(),
            address: info.gossip_address.clone(),
        };
        LoadRoles {
            me: LoadSender { instance: me.instance.clone(), zone: me.zone.clone() },
            incarnation: me.incarnation,
            first: first.map(member),
            second: second.map(member),
            other_zones: remote.map(|info| info.gossip_address.clone()).collect(),
        }
    }

    fn member_count(&self) -> usize {
        self.table.borrow().iter().filter(|member| member.state != MemberState::Dead).count()
    }

    fn send_load(&self, to: &str, datagram: &[u8]) {
        self.send_datagram(to, datagram);
    }

    fn is_preferred(&self, key: &str) -> bool {
        let table = self.table.borrow();
        let ready = table.iter().filter(|member| is_ready(member));
        preferred_member(key, ready.map(|member| &*member.instance)) == Some(&*table.me().instance)
    }
}

impl LossPeers for MemberView {
    fn loss_members(&self) -> LossMembers {
        let table = self.table.borrow();
        let me = table.me();
        let others = table
            .iter()
            .filter(|member| member.state != MemberState::Dead && member.instance != me.instance);
        let member = |info: &MemberInfo| LossMember {
            instance: info.instance.clone(),
            incarnation: info.incarnation,
            address: info.gossip_address.clone(),
            is_ready: is_ready(info),
        };
        LossMembers {
            me: me.instance.clone(),
            am_ready: is_ready(me),
            others: others.map(member).collect(),
        }
    }

    fn member_changes(&self) -> u64 {
        self.table.borrow().changes()
    }

    fn send_loss(&self, to: &str, datagram: &[u8]) {
        self.send_datagram(to, datagram);
    }
}

fn load_aggregator<'a>(
    members: impl IntoIterator<Item = &'a MemberInfo>,
) -> Option<&'a MemberInfo> {
    let members: Vec<_> = members.into_iter().collect();
    let chosen = preferred_member(LOAD_KEY, members.iter().map(|member| &*member.instance))?;
    members.into_iter().find(|member| *member.instance == *chosen)
}
