//! The failure detector of one instance.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;

use super::message::{GossipBody, GossipMessage, MemberInfo, MemberLoad, MemberState};
use crate::core::ids::{Incarnation, InstanceId};

#[derive(Debug, Clone, Copy)]
pub struct MemberSettings {
    /// One member is probed in each interval, however many there are.
    pub probe_interval: Duration,
    /// Time until indirect probes are sent.
    pub probe_timeout: Duration,
    pub indirect_probes: usize,
    /// Time after which a suspect that has not refuted is dead.
    pub suspicion_timeout: Duration,
    /// Per datagram.
    pub max_updates: usize,
    pub forget_after: Duration,
}

impl Default for MemberSettings {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_millis(500),
            probe_timeout: Duration::from_millis(150),
            indirect_probes: 3,
            suspicion_timeout: Duration::from_secs(2),
            max_updates: 8,
            forget_after: Duration::from_secs(120),
        }
    }
}

/// An action that the caller of the table has to perform.
#[derive(Debug, Clone, PartialEq)]
pub enum MemberAction {
    Send {
        to: Box<str>,
        message: GossipMessage,
    },
    /// A member joined, restarted or changed its state.
    Changed(MemberInfo),
    /// The received datagram answers a ping that was sent at this time.
    Answered(Instant),
}

#[derive(Debug)]
pub(super) struct MemberEntry {
    pub(super) info: MemberInfo,
    pub(super) since: Instant,
    /// Times that this update was sent.
    pub(super) sent: u32,
    /// Sent before updates that are not.
    pub(super) is_urgent: bool,
    /// This instance raised the suspicion, so it tells the member until it is refuted.
    pub(super) is_own_suspicion: bool,
}

impl MemberEntry {
    pub(super) fn new(info: MemberInfo, now: Instant) -> Self {
        Self { info, since: now, sent: 0, is_urgent: false, is_own_suspicion: false }
    }
}

#[derive(Debug)]
struct ProbeRound {
    target: InstanceId,
    sequence: u32,
    started: Instant,
    indirect: bool,
}

#[derive(Debug)]
struct RelayedPing {
    sequence: u32,
    requester: Box<str>,
    requester_sequence: u32,
    started: Instant,
}

#[derive(Debug)]
struct PendingPing {
    sequence: u32,
    sent: Instant,
}

pub struct MemberTable {
    pub(super) settings: MemberSettings,
    pub(super) me: MemberInfo,
    /// Times that this instance's own update was sent since it last changed.
    pub(super) me_sent: u32,
    pub(super) members: BTreeMap<InstanceId, MemberEntry>,
    order: Vec<InstanceId>,
    probe: Option<ProbeRound>,
    relayed: Vec<RelayedPing>,
    pending: Vec<PendingPing>,
    next_probe: Instant,
    last_tick: Option<Instant>,
    sequence: u32,
    pub(super) rng: SmallRng,
    pub(super) changes: u64,
    pub(super) suspicions: u64,
}

/// A gap between ticks of more than this many probe intervals means that the process was paused.
const PAUSE_FACTOR: u32 = 3;
/// Each seed replies with the complete member list.
const MAX_JOIN_SEEDS: usize = 3;

impl MemberTable {
    pub fn new(settings: MemberSettings, me: MemberInfo, seed: u64, now: Instant) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        Self {
            settings,
            me,
            me_sent: 0,
            members: BTreeMap::new(),
            order: Vec::new(),
            probe: None,
            relayed: Vec::new(),
            pending: Vec::new(),
            next_probe: now,
            last_tick: None,
            // A late ack for an earlier incarnation must not match a ping of this one.
            sequence: rng.random(),
            rng,
            changes: 0,
            suspicions: 0,
        }
    }

    pub fn me(&self) -> &MemberInfo {
        &self.me
    }

    /// Counts changes of membership, so that callers can cache what they derive from it.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Counts the suspicions of this instance that it has refuted.
    pub fn suspicions(&self) -> u64 {
        self.suspicions
    }

    pub fn get(&self, instance: &str) -> Option<&MemberInfo> {
        if *instance == *self.me.instance {
            return Some(&self.me);
        }
        self.members.get(instance).map(|entry| &entry.info)
    }

    /// All members, this instance included.
    pub fn iter(&self) -> impl Iterator<Item = &MemberInfo> {
        std::iter::once(&self.me).chain(self.members.values().map(|entry| &entry.info))
    }

    /// Members that may receive new work: alive or suspected.
    pub fn serving(&self) -> impl Iterator<Item = &MemberInfo> {
        self.iter().filter(|info| matches!(info.state, MemberState::Alive | MemberState::Suspect))
    }

    /// Takes effect with the next messages, without an update of its own.
    pub fn set_load(&mut self, load: MemberLoad) {
        self.me.load = load;
    }

    /// Unlike the load, the address is propagated as an update of its own.
    pub fn set_http_address(&mut self, address: &str) {
        self.me.http_address = address.into();
        self.bump_me();
    }

    /// Requests the member list from a few of these addresses.
    pub fn join(&mut self, seeds: impl IntoIterator<Item = Box<str>>) -> Vec<MemberAction> {
        let me = self.me.gossip_address.clone();
        let mut others: Vec<_> = seeds.into_iter().filter(|seed| *seed != me).collect();
        others.shuffle(&mut self.rng);
        others.truncate(MAX_JOIN_SEEDS);
        others.into_iter().map(|seed| self.send(seed, 0, GossipBody::Join)).collect()
    }

    /// Requests the member list from a random member.
    pub fn request_member_list(&mut self) -> Vec<MemberAction> {
        let any = self.random_members(1, None);
        any.into_iter().map(|to| self.send(to, 0, GossipBody::Join)).collect()
    }

    pub fn leave(&mut self, now: Instant) -> Vec<MemberAction> {
        self.me.state = MemberState::Leaving;
        self.bump_me();
        self.push_updates(now)
    }

    /// Pings a few random members at once, which carries pending updates.
    pub fn push_updates(&mut self, now: Instant) -> Vec<MemberAction> {
        let targets = self.random_members(self.settings.indirect_probes, None);
        targets.into_iter().map(|to| self.ping_address(to, now)).collect()
    }

    pub fn ping(&mut self, instance: &str, now: Instant) -> Vec<MemberAction> {
        let address = self.members.get(instance).map(|entry| entry.info.gossip_address.clone());
        address.into_iter().map(|to| self.ping_address(to, now)).collect()
    }

    fn ping_address(&mut self, to: Box<str>, now: Instant) -> MemberAction {
        let sequence = self.next_sequence();
        self.pending.push(PendingPing { sequence, sent: now });
        self.send(to, sequence, GossipBody::Ping)
    }

    /// Continues as a new incarnation of the same instance.
    pub fn restart(&mut self, incarnation: Incarnation) {
        self.me.incarnation = incarnation;
        self.bump_me();
    }

    pub(super) fn bump_me(&mut self) {
        self.me.revision += 1;
        self.me_sent = 0;
        self.changes += 1;
    }

    /// Must be called several times per probe interval.
    pub fn tick(&mut self, now: Instant) -> Vec<MemberAction> {
        self.reset_after_pause(now);
        let mut actions = self.expire_suspects(now);
        let timeout = self.settings.probe_interval * 2;
        self.relayed.retain(|ping| now - ping.started < timeout);
        self.pending.retain(|ping| now - ping.sent < timeout);
        actions.extend(self.probe_indirectly(now));
        if now >= self.next_probe {
            actions.extend(self.conclude_probe(now));
            actions.extend(self.ping_suspects(now));
            actions.extend(self.start_probe(now));
            self.next_probe = now + self.settings.probe_interval;
        }
        actions
    }

    /// After a pause of this process every ack is overdue and every suspicion expired; without a
    /// reset it would declare its peers dead.
    fn reset_after_pause(&mut self, now: Instant) {
        let limit = self.settings.probe_interval * PAUSE_FACTOR;
        let paused = self.last_tick.is_some_and(|last| now - last > limit);
        self.last_tick = Some(now);
        if paused {
            self.probe = None;
            self.next_probe = now;
            for entry in self.members.values_mut() {
                entry.since = now;
            }
        }
    }

    fn expire_suspects(&mut self, now: Instant) -> Vec<MemberAction> {
        let mut actions = Vec::new();
        for entry in self.members.values_mut() {
            let expired = now - entry.since >= self.settings.suspicion_timeout;
            if entry.info.state.is_suspect() && expired {
                entry.info.state = MemberState::Dead;
                entry.since = now;
                entry.sent = 0;
                entry.is_urgent = true;
                self.changes += 1;
                actions.push(MemberAction::Changed(entry.info.clone()));
            }
        }
        let forget = self.settings.forget_after;
        self.members
            .retain(|_, entry| entry.info.state != MemberState::Dead || now - entry.since < forget);
        actions
    }

    fn probe_indirectly(&mut self, now: Instant) -> Vec<MemberAction> {
        let timeout = self.settings.probe_timeout;
        let Some(round) = &mut self.probe else { return Vec::new() };
        if round.indirect || now - round.started < timeout {
            return Vec::new();
        }
        round.indirect = true;
        let (target, sequence) = (round.target.clone(), round.sequence);
        let Some(address) = self.members.get(&target).map(|e| e.info.gossip_address.clone()) else {
            return Vec::new();
        };
        let helpers = self.random_members(self.settings.indirect_probes, Some(&target));
        let request = |to| self.send(to, sequence, GossipBody::IndirectPing(address.clone()));
        helpers.into_iter().map(request).collect()
    }

    fn conclude_probe(&mut self, now: Instant) -> Vec<MemberAction> {
        let Some(round) = self.probe.take() else { return Vec::new() };
        let Some(entry) = self.members.get_mut(&round.target) else { return Vec::new() };
        match entry.info.state {
            MemberState::Alive => entry.info.state = MemberState::Suspect,
            // A leaving member still finishes calls, which it would lose if one lost datagram made
            // it dead.
            MemberState::Leaving => entry.info.state = MemberState::LeavingSuspect,
            MemberState::Suspect | MemberState::LeavingSuspect | MemberState::Dead => {
                return Vec::new();
            }
        }
        entry.since = now;
        entry.sent = 0;
        entry.is_urgent = true;
        entry.is_own_suspicion = true;
        self.changes += 1;
        vec![MemberAction::Changed(entry.info.clone())]
    }

    /// A suspect that never hears of the suspicion cannot refute it.
    fn ping_suspects(&mut self, now: Instant) -> Vec<MemberAction> {
        let suspects = self
            .members
            .values()
            .filter(|entry| entry.is_own_suspicion && entry.info.state.is_suspect());
        let addresses: Vec<_> = suspects.map(|entry| entry.info.gossip_address.clone()).collect();
        addresses.into_iter().map(|address| self.ping_address(address, now)).collect()
    }

    fn start_probe(&mut self, now: Instant) -> Vec<MemberAction> {
        let Some(target) = self.next_target() else { return Vec::new() };
        let address = self.members[&target].info.gossip_address.clone();
        let ping = self.ping_address(address, now);
        let sequence = self.sequence;
        self.probe = Some(ProbeRound { target, sequence, started: now, indirect: false });
        vec![ping]
    }

    /// Iterates over all members, shuffled again for each round.
    fn next_target(&mut self) -> Option<InstanceId> {
        loop {
            if self.order.is_empty() {
                let live = self.members.values().filter(|e| e.info.state != MemberState::Dead);
                self.order = live.map(|entry| entry.info.instance.clone()).collect();
                self.order.shuffle(&mut self.rng);
            }
            let target = self.order.pop()?;
            let known = self.members.get(&target);
            if known.is_some_and(|entry| entry.info.state != MemberState::Dead) {
                return Some(target);
            }
        }
    }

    fn random_members(&mut self, count: usize, except: Option<&str>) -> Vec<Box<str>> {
        let live = self.members.values().filter(|entry| {
            entry.info.state != MemberState::Dead && Some(&*entry.info.instance) != except
        });
        let mut addresses: Vec<_> = live.map(|entry| entry.info.gossip_address.clone()).collect();
        addresses.shuffle(&mut self.rng);
        addresses.truncate(count);
        addresses
    }

    fn next_sequence(&mut self) -> u32 {
        // Zero marks unsolicited messages.
        self.sequence = self.sequence.wrapping_add(1).max(1);
        self.sequence
    }

    pub fn receive(&mut self, message: &GossipMessage, now: Instant) -> Vec<MemberAction> {
        let mut actions = Vec::new();
        for update in &message.updates {
            actions.extend(self.apply_update(update, now));
        }
        let sender = message.from_address.clone();
        match &message.body {
            GossipBody::Ping => {
                actions.push(self.send(sender, message.sequence, GossipBody::Ack));
            }
            GossipBody::Ack => actions.extend(self.acknowledge(message)),
            GossipBody::IndirectPing(target) => {
                let sequence = self.next_sequence();
                self.relayed.push(RelayedPing {
                    sequence,
                    requester: sender,
                    requester_sequence: message.sequence,
                    started: now,
                });
                actions.push(self.send(target.clone(), sequence, GossipBody::Ping));
            }
            GossipBody::Join => actions.extend(self.answer_join(sender)),
        }
        actions
    }

    fn acknowledge(&mut self, message: &GossipMessage) -> Vec<MemberAction> {
        if self.probe.as_ref().is_some_and(|round| round.sequence == message.sequence) {
            self.probe = None;
        }
        let mut actions = Vec::new();
        if let Some(index) = self.pending.iter().position(|ping| ping.sequence == message.sequence)
        {
            actions.push(MemberAction::Answered(self.pending.swap_remove(index).sent));
        }
        let relayed = self.relayed.iter().position(|ping| ping.sequence == message.sequence);
        if let Some(index) = relayed {
            let ping = self.relayed.swap_remove(index);
            actions.push(self.send(ping.requester, ping.requester_sequence, GossipBody::Ack));
        }
        actions
    }
}
