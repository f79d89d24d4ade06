//! Who limits which workspace, by one instance's view of the members.

use std::time::Duration;

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use super::limiter::LimiterRole;
use crate::core::ids::{Incarnation, InstanceId};

/// How a member stands as a limiter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimiterStatus {
    Alive,
    /// It may still answer.
    Suspect,
    /// It is gone, or cut off with others.
    Gone,
}

/// A member as far as limiters concern it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuotaMember {
    pub instance: InstanceId,
    /// Another run of it knows nothing of what this one gave out.
    pub incarnation: Incarnation,
    /// Where its datagrams go.
    pub address: Box<str>,
    pub status: LimiterStatus,
}

/// A member that was alive and then was not.
#[derive(Debug, Clone)]
struct LostMember {
    instance: InstanceId,
    incarnation: Incarnation,
    lost_at: Instant,
    /// When the same run of it was alive again.
    returned_at: Option<Instant>,
}

/// The members at a moment.
#[derive(Debug, Clone)]
pub struct QuotaView {
    me: InstanceId,
    members: Vec<QuotaMember>,
    /// Members there are, as far as is known, those that are gone included.
    known_count: usize,
    /// When others came to be alive, or no longer were.
    changed: Instant,
    /// Where one of them would limit a workspace, this instance has taken it over when it was lost.
    lost: Vec<LostMember>,
    /// When this instance began to look.
    started: Instant,
}

/// How long it is known who was lost. Whatever was taken over then has filled up since.
const LOST_MEMBER_RETENTION: Duration = Duration::from_secs(60);
/// How long an instance that has started counts as learning while it knows fewer members than there are:
/// news of all of them takes about a second. Where all start at once, some take themselves for the
/// limiter that do not know yet who goes before them, and many for its deputy; their parts add up to more
/// than one at times.
const DISCOVERY_DURATION: Duration = Duration::from_secs(2);
/// How long a member that is back does not count yet. Where a cut has healed, the limiters on both
/// sides learn of it within a second or so of each other; if each took its part for the whole at
/// once, both would give out the whole limit until then.
const REJOIN_DURATION: Duration = Duration::from_secs(2);

impl QuotaView {
    /// `least` is how many members there are at least, by what was kept of an earlier time: where all
    /// instances start at once, each knows itself first, and would take itself for all there are.
    pub fn new(
        me: InstanceId,
        members: Vec<QuotaMember>,
        min_members: usize,
        now: Instant,
    ) -> Self {
        let known_count = members.len().max(min_members);
        Self { me, members, known_count, changed: now, lost: Vec::new(), started: now }
    }

    /// Takes newer members; what is limited here and stays here goes on.
    pub fn update(&mut self, members: Vec<QuotaMember>, min_members: usize, now: Instant) {
        let newer = Self::new(self.me.clone(), members, min_members, now);
        if self.alive().eq(newer.alive()) {
            (self.members, self.known_count) = (newer.members, newer.known_count);
            return;
        }
        let gone = self.alive_members().filter(|old| !newer.alive().any(|id| *id == old.instance));
        let gone: Vec<_> = gone.map(|old| LostMember::new(old, now)).collect();
        let mut lost = std::mem::take(&mut self.lost);
        lost.retain(|member| now.saturating_duration_since(member.lost_at) < LOST_MEMBER_RETENTION);
        lost.extend(gone);
        for member in &mut lost {
            member.update_returned(&newer, now);
        }
        *self = Self { lost, started: self.started, ..newer };
    }

    fn alive_members(&self) -> impl Iterator<Item = &QuotaMember> {
        self.members.iter().filter(|member| member.status == LimiterStatus::Alive)
    }

    fn alive(&self) -> impl Iterator<Item = &InstanceId> {
        self.alive_members().map(|member| &member.instance)
    }

    /// When others came to be alive, or no longer were.
    pub fn changed(&self) -> Instant {
        self.changed
    }

    /// When this instance took over a workspace, if it limits it: when whoever goes before it was last
    /// seen alive. None if nobody did.
    pub fn taken_over(&self, workspace: &str) -> Option<Instant> {
        let own = weight(workspace, &self.me);
        let before = self.lost.iter().filter(|other| weight(workspace, &other.instance) > own);
        before.map(|other| other.lost_at).max()
    }

    /// The member that limits a workspace, as far as this instance knows.
    pub fn limiter(&self, workspace: &str) -> Option<&QuotaMember> {
        self.alive_members().max_by_key(|member| weight(workspace, &member.instance))
    }

    pub fn alive_count(&self) -> usize {
        self.alive().count()
    }

    pub fn is_me(&self, member: &QuotaMember) -> bool {
        member.instance == self.me
    }

    /// Whom to ask about a workspace: its limiter, and who answers if that one does not.
    pub fn candidates(&self, workspace: &str) -> [Option<&QuotaMember>; 2] {
        let mut best: [Option<(u64, &QuotaMember)>; 2] = [None, None];
        for member in self.members.iter().filter(|m| m.status != LimiterStatus::Gone) {
            let candidate = Some((weight(workspace, &member.instance), member));
            let above = |other: &Option<(u64, &QuotaMember)>| {
                other.is_none_or(|(other, _)| candidate.is_some_and(|(own, _)| own > other))
            };
            if above(&best[0]) {
                best = [candidate, best[0]];
            } else if above(&best[1]) {
                best[1] = candidate;
            }
        }
        best.map(|place| place.map(|(_, member)| member))
    }

    /// As what this instance limits a workspace.
    pub fn role(&self, workspace: &str, now: Instant) -> LimiterRole {
        let is_primary = self.limiter(workspace).is_some_and(|limiter| self.is_me(limiter));
        match (is_primary, self.is_discovering(now)) {
            (true, false) => LimiterRole::Primary { share: self.share(now) },
            (true, true) => LimiterRole::Primary { share: self.share(now) / 2.0 },
            (false, false) => LimiterRole::Standby,
            (false, true) => LimiterRole::Observer,
        }
    }

    fn is_discovering(&self, now: Instant) -> bool {
        let new = now.saturating_duration_since(self.started) < DISCOVERY_DURATION;
        new && self.alive_count() < self.known_count
    }

    /// Part of the known members that are alive, those that are only just back left out.
    fn share(&self, now: Instant) -> f64 {
        let returning = self.lost.iter().filter(|member| member.is_returning(now)).count();
        let counted = self.alive_count().saturating_sub(returning).max(1);
        counted as f64 / self.known_count.max(1) as f64
    }
}

impl LostMember {
    fn new(member: &QuotaMember, now: Instant) -> Self {
        let (instance, incarnation) = (member.instance.clone(), member.incarnation);
        Self { instance, incarnation, lost_at: now, returned_at: None }
    }

    fn update_returned(&mut self, view: &QuotaView, now: Instant) {
        let same = |member: &QuotaMember| {
            member.instance == self.instance && member.incarnation == self.incarnation
        };
        let alive = view.alive_members().any(same);
        self.returned_at = alive.then(|| self.returned_at.unwrap_or(now));
    }

    fn is_returning(&self, now: Instant) -> bool {
        self.returned_at.is_some_and(|at| now.saturating_duration_since(at) < REJOIN_DURATION)
    }
}

fn weight(workspace: &str, instance: &str) -> u64 {
    xxh3_64(format!("quota/{workspace}/{instance}").as_bytes())
}
