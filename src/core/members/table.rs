//! The failure detector of one instance.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;

use super::message::{GossipBody, GossipMessage, MemberInfo, MemberLoad, MemberState};
use crate::core::ids::{Incarnation, InstanceId};

/// Intervals and sizes of the detector.
#[derive(Debug, Clone, Copy)]
pub struct MemberSettings {
    /// One member is probed in each interval, whatever their number.
    pub probe_interval: Duration,
    /// An ack that takes longer is asked for by way of others.
    pub probe_timeout: Duration,
    pub indirect_probes: usize,
    /// A suspect that has not refuted for so long is dead.
    pub suspicion_timeout: Duration,
    /// Updates in one datagram.
    pub max_updates: usize,
    /// A dead member is forgotten after this.
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

/// What the table wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum MemberAction {
    Send {
        to: Box<str>,
        message: GossipMessage,
    },
    /// A member is new or stands differently.
    Changed(MemberInfo),
    /// The datagram just received answers a ping that left at this moment.
    Answered(Instant),
}

#[derive(Debug)]
pub(super) struct MemberEntry {
    pub(super) info: MemberInfo,
    pub(super) since: Instant,
    /// How often the news was passed on.
    pub(super) sent: u32,
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

/// A ping that has not been answered yet.
#[derive(Debug)]
struct PendingPing {
    sequence: u32,
    sent: Instant,
}

/// All members as this instance knows them, itself included.
pub struct MemberTable {
    pub(super) settings: MemberSettings,
    pub(super) me: MemberInfo,
    /// How often this instance's own word was passed on since it last changed.
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

/// A tick this much later than planned means that this process was paused.
const PAUSE_FACTOR: u32 = 3;
/// Members that a newcomer asks at a time; each answers with the whole list.
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
            // A late ack for the former run of this instance must not pass for one of this run.
            sequence: rng.random(),
            rng,
            changes: 0,
            suspicions: 0,
        }
    }

    pub fn me(&self) -> &MemberInfo {
        &self.me
    }

    /// Rises with every change of membership, so that callers can cache what they derive from it.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Rises whenever others thought that this instance had failed, and it refuted that.
    pub fn suspicions(&self) -> u64 {
        self.suspicions
    }

    pub fn get(&self, instance: &str) -> Option<&MemberInfo> {
        if *instance == *self.me.instance {
            return Some(&self.me);
        }
        self.members.get(instance).map(|entry| &entry.info)
    }

    /// Everyone, this instance included.
    pub fn iter(&self) -> impl Iterator<Item = &MemberInfo> {
        std::iter::once(&self.me).chain(self.members.values().map(|entry| &entry.info))
    }

    /// Members that may be given work: alive or merely suspected.
    pub fn serving(&self) -> impl Iterator<Item = &MemberInfo> {
        self.iter().filter(|info| matches!(info.state, MemberState::Alive | MemberState::Suspect))
    }

    /// Sets what this instance says of its own load; it travels with the next messages.
    pub fn set_load(&mut self, load: MemberLoad) {
        self.me.load = load;
    }

    /// Sets where callers connect; the news travels like a change of state.
    pub fn set_http_address(&mut self, address: &str) {
        self.me.http_address = address.into();
        self.bump_me();
    }

    /// Asks a few of the members at these addresses for everybody.
    pub fn join(&mut self, seeds: impl IntoIterator<Item = Box<str>>) -> Vec<MemberAction> {
        let me = self.me.gossip_address.clone();
        let mut others: Vec<_> = seeds.into_iter().filter(|seed| *seed != me).collect();
        others.shuffle(&mut self.rng);
        others.truncate(MAX_JOIN_SEEDS);
        others.into_iter().map(|seed| self.send(seed, 0, GossipBody::Join)).collect()
    }

    /// Asks any member for everybody.
    pub fn request_member_list(&mut self) -> Vec<MemberAction> {
        let any = self.random_members(1, None);
        any.into_iter().map(|to| self.send(to, 0, GossipBody::Join)).collect()
    }

    /// Announces that this instance leaves; the news goes to a few members at once.
    pub fn leave(&mut self, now: Instant) -> Vec<MemberAction> {
        self.me.state = MemberState::Leaving;
        self.bump_me();
        self.push_updates(now)
    }

    /// Tells a few members at once what there is to tell.
    pub fn push_updates(&mut self, now: Instant) -> Vec<MemberAction> {
        let targets = self.random_members(self.settings.indirect_probes, None);
        targets.into_iter().map(|to| self.ping_address(to, now)).collect()
    }

    /// Asks one member for a sign of life and for what it knows.
    pub fn ping(&mut self, instance: &str, now: Instant) -> Vec<MemberAction> {
        let address = self.members.get(instance).map(|entry| entry.info.gossip_address.clone());
        address.into_iter().map(|to| self.ping_address(to, now)).collect()
    }

    fn ping_address(&mut self, to: Box<str>, now: Instant) -> MemberAction {
        let sequence = self.next_sequence();
        self.pending.push(PendingPing { sequence, sent: now });
        self.send(to, sequence, GossipBody::Ping)
    }

    /// Goes on as a new incarnation of the same instance.
    pub fn restart(&mut self, incarnation: Incarnation) {
        self.me.incarnation = incarnation;
        self.bump_me();
    }

    pub(super) fn bump_me(&mut self) {
        self.me.revision += 1;
        self.me_sent = 0;
        self.changes += 1;
    }

    /// To be called often; sends at most one round of probes an interval.
    pub fn tick(&mut self, now: Instant) -> Vec<MemberAction> {
        self.reset_after_pause(now);
        let mut actions = self.expire_suspects(now);
        let timeout = self.settings.probe_interval * 2;
        self.relayed.retain(|ping| now - ping.started < timeout);
        self.pending.retain(|ping| now - ping.sent < timeout);
        actions.extend(self.probe_indirectly(now));
        if now >= self.next_probe {
            actions.extend(self.conclude_probe(now));
            actions.extend(self.start_probe(now));
            self.next_probe = now + self.settings.probe_interval;
        }
        actions
    }

    /// After a pause every ack is overdue and every suspicion has run out, though nobody else
    /// failed: the paused instance would declare its peers dead. It starts its rounds anew.
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
        let ask = |to| self.send(to, sequence, GossipBody::IndirectPing(address.clone()));
        helpers.into_iter().map(ask).collect()
    }

    fn conclude_probe(&mut self, now: Instant) -> Vec<MemberAction> {
        let Some(round) = self.probe.take() else { return Vec::new() };
        let Some(entry) = self.members.get_mut(&round.target) else { return Vec::new() };
        match entry.info.state {
            MemberState::Alive => entry.info.state = MemberState::Suspect,
            // A leaving member finishes its calls; taken for dead at one lost datagram, it would
            // lose its shards and cut them off.
            MemberState::Leaving => entry.info.state = MemberState::LeavingSuspect,
            MemberState::Suspect | MemberState::LeavingSuspect | MemberState::Dead => {
                return Vec::new();
            }
        }
        entry.since = now;
        entry.sent = 0;
        self.changes += 1;
        vec![MemberAction::Changed(entry.info.clone())]
    }

    fn start_probe(&mut self, now: Instant) -> Vec<MemberAction> {
        let Some(target) = self.next_target() else { return Vec::new() };
        let address = self.members[&target].info.gossip_address.clone();
        let ping = self.ping_address(address, now);
        let sequence = self.sequence;
        self.probe = Some(ProbeRound { target, sequence, started: now, indirect: false });
        vec![ping]
    }

    /// Goes round all members in an order that is drawn anew for each round.
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
        // Zero stands for messages that nobody asked for.
        self.sequence = self.sequence.wrapping_add(1).max(1);
        self.sequence
    }

    /// Takes in one datagram.
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
