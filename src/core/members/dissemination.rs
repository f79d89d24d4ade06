//! Applies received member updates and selects those that outgoing messages carry.

use rand::RngExt;
use tokio::time::Instant;

use super::message::{GossipBody, GossipMessage, MemberInfo, MemberState};
use super::table::{MemberAction, MemberEntry, MemberTable};
use crate::core::ids::ConfigVersion;
use crate::core::timeline::CausalStamp;

/// An update is sent this many times for each decimal digit of the member count. A higher value
/// lets the joins of a restart of hundreds fill all datagrams for minutes.
const RETRANSMIT_FACTOR: u32 = 5;
/// With 8, a refutation was lost among 30 members at 5% loss, and a living member was declared
/// dead.
const MIN_RETRANSMITS: u32 = 16;
/// Send count of an entry that is never forwarded.
const NOT_FORWARDED: u32 = u32::MAX;
const MAX_JOIN_REPLY_UPDATES: usize = 8;

impl MemberTable {
    pub(super) fn answer_join(&mut self, joining_member: Box<str>) -> Vec<MemberAction> {
        let known = self.members.values().filter(|entry| entry.sent != NOT_FORWARDED);
        let others = known.map(|entry| entry.info.clone());
        let everyone: Vec<_> = std::iter::once(self.me.clone()).chain(others).collect();
        let mut actions = Vec::new();
        for chunk in everyone.chunks(MAX_JOIN_REPLY_UPDATES) {
            let mut message = self.message(0, GossipBody::Ack);
            message.updates = chunk.to_vec();
            actions.push(MemberAction::Send { to: joining_member.clone(), message });
        }
        actions
    }

    pub(super) fn apply_update(&mut self, update: &MemberInfo, now: Instant) -> Vec<MemberAction> {
        if update.instance == self.me.instance {
            self.refute(update);
            return Vec::new();
        }
        match self.members.get_mut(&update.instance) {
            Some(entry) if update.overrides(&entry.info) => {
                let same = entry.info.state == update.state
                    && entry.info.incarnation == update.incarnation;
                entry.is_urgent = is_urgent(&entry.info, update);
                entry.info = update.clone();
                entry.is_own_suspicion = false;
                entry.sent = 0;
                if same {
                    return Vec::new();
                }
                entry.since = now;
            }
            Some(entry) => {
                if update.revision == entry.info.revision && update.state == entry.info.state {
                    entry.info.load = update.load;
                }
                return Vec::new();
            }
            // Kept so that an outdated update does not make the member alive again here, which
            // would send callers to a machine that is gone. Not forwarded: joining members would
            // pass it to each other and never forget it.
            None if update.state == MemberState::Dead => {
                let mut entry = MemberEntry::new(update.clone(), now);
                entry.sent = NOT_FORWARDED;
                self.members.insert(update.instance.clone(), entry);
                return Vec::new();
            }
            None => {
                let mut entry = MemberEntry::new(update.clone(), now);
                entry.is_urgent = update.state != MemberState::Alive;
                self.members.insert(update.instance.clone(), entry);
            }
        }
        self.changes += 1;
        vec![MemberAction::Changed(update.clone())]
    }

    /// Raises the revision if others suspect this instance, which overrides the suspicion.
    fn refute(&mut self, update: &MemberInfo) {
        let wrong = update.state.is_suspect() || update.state == MemberState::Dead;
        let about_me = update.incarnation == self.me.incarnation;
        if wrong && about_me && update.revision >= self.me.revision {
            self.me.revision = update.revision;
            self.suspicions += 1;
            self.bump_me();
        }
    }

    pub(super) fn send(&mut self, to: Box<str>, sequence: u32, body: GossipBody) -> MemberAction {
        let mut message = self.message(sequence, body);
        message.updates = self.pick_updates();
        self.add_receiver_suspicion(&to, &mut message.updates);
        MemberAction::Send { to, message }
    }

    /// Adds a suspicion of the receiver, so that it can refute it: the update may already have been
    /// sent often enough without having reached it.
    fn add_receiver_suspicion(&self, to: &str, updates: &mut Vec<MemberInfo>) {
        let receiver = self.members.values().find(|entry| *entry.info.gossip_address == *to);
        let Some(info) = receiver.map(|entry| &entry.info) else { return };
        let suspected = info.state.is_suspect() || info.state == MemberState::Dead;
        if suspected && !updates.contains(info) {
            updates.push(info.clone());
        }
    }

    /// The sending node fills in the stamp and the configuration head.
    fn message(&self, sequence: u32, body: GossipBody) -> GossipMessage {
        GossipMessage {
            stamp: CausalStamp::default(),
            from: self.me.instance.clone(),
            from_address: self.me.gossip_address.clone(),
            config_head: ConfigVersion::default(),
            head_age: None,
            sequence,
            updates: Vec::new(),
            body,
        }
    }

    /// Picks urgent updates, then those that were sent least often, up to the retransmission limit.
    /// The limit also holds for this instance's own update, which would otherwise make up half of all
    /// bytes.
    fn pick_updates(&mut self) -> Vec<MemberInfo> {
        let members = self.members.len() as u32 + 1;
        let limit = (RETRANSMIT_FACTOR * (members.ilog10() + 1)).max(MIN_RETRANSMITS);
        let mut fresh: Vec<_> = self.members.values_mut().filter(|e| e.sent < limit).collect();
        let jitter: u32 = self.rng.random();
        fresh.sort_by_key(|entry| {
            let order = entry.info.incarnation ^ u64::from(jitter);
            (!entry.is_urgent, entry.sent, entry.since, order)
        });
        let mut updates = Vec::new();
        if self.me_sent < limit {
            self.me_sent += 1;
            updates.push(self.me.clone());
        }
        for entry in fresh.into_iter().take(self.settings.max_updates - 1) {
            entry.sent += 1;
            updates.push(entry.info.clone());
        }
        updates
    }
}

/// Callers and peers go on using a member that stops serving until they hear of it, so such updates
/// must not wait behind the joins of a mass start. A refutation must be as fast as the suspicion.
fn is_urgent(known: &MemberInfo, update: &MemberInfo) -> bool {
    let is_withdrawn = update.http_address.is_empty() && !known.http_address.is_empty();
    let is_refuted = update.incarnation == known.incarnation && known.state != update.state;
    update.state != MemberState::Alive || is_withdrawn || is_refuted
}
