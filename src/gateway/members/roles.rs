//! Selects the members that limit workspaces, relay store calls and lead the change feed.

use rand::seq::SliceRandom;

use super::{MemberView, is_ready};
use crate::core::members::{GroupRole, MemberInfo, MemberState, group_role, tree_role};
use crate::core::quotas::{LimiterStatus, QuotaMember};
use crate::gateway::feed::FeedReaders;
use crate::gateway::quotas::QuotaPeers;
use crate::gateway::store::RelayPeers;

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
        let me = self.instance();
        let table = self.table.borrow();
        let others = table
            .iter()
            .filter(|member| member.state == MemberState::Alive && member.instance != me);
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
}
