//! What other members do for this one: who limits, relays store calls and reads news.

use rand::seq::SliceRandom;

use super::{MemberView, is_offered};
use crate::core::members::{GroupPlace, MemberInfo, MemberState, group_place};
use crate::core::quotas::{LimiterStanding, QuotaMember};
use crate::gateway::news::NewsReaders;
use crate::gateway::quotas::QuotaPeers;
use crate::gateway::store::RelayPeers;

/// Instances for each one that asks the store for news. Fifteen followers ask it 25 times a second,
/// which is 0.4% of a core at 0.15 ms each (worked out); at 295 instances 20 readers ask the store 50
/// times a second instead of 740.
const READER_SPAN: usize = 16;

impl QuotaPeers for MemberView {
    fn doubts(&self) -> u64 {
        self.table.borrow().doubts()
    }

    fn changes(&self) -> u64 {
        self.table.borrow().changes()
    }

    fn quota_members(&self) -> Vec<QuotaMember> {
        let standing = |state| match state {
            MemberState::Alive => Some(LimiterStanding::Alive),
            MemberState::Suspect => Some(LimiterStanding::Suspect),
            MemberState::Dead => Some(LimiterStanding::Gone),
            MemberState::Leaving | MemberState::Doubted => None,
        };
        let table = self.table.borrow();
        let member = |info: &MemberInfo| {
            Some(QuotaMember {
                instance: info.instance.clone(),
                incarnation: info.incarnation,
                address: info.gossip_address.clone(),
                standing: standing(info.state)?,
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
        // One that offers itself to callers reaches the store; bytes between zones have a price.
        let zone = &table.me().zone;
        others.sort_by_key(|member| (!is_offered(member), member.zone != *zone));
        others.into_iter().map(|member| member.rpc_address.clone()).collect()
    }
}

impl NewsReaders for MemberView {
    fn news_reader(&self) -> Option<Box<str>> {
        let table = self.table.borrow();
        let me = table.me();
        let near = table.iter().filter(|member| is_offered(member) && member.zone == me.zone);
        let names = near.map(|member| &*member.instance);
        let GroupPlace::Follows(reader) = group_place("news", &me.instance, READER_SPAN, names)
        else {
            return None;
        };
        let reader = table.iter().find(|member| *member.instance == *reader)?;
        Some(reader.rpc_address.clone())
    }
}
