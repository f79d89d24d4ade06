//! Assigns workspaces to limiters by rendezvous hashing over one instance's view of the members.

use std::time::Duration;

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use super::limiter::LimiterRole;
use crate::core::ids::{Incarnation, InstanceId};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimiterStatus {
    Alive,
    /// Still asked, but replaced as the limiter.
    Suspect,
    /// Dead, or on another side of a network partition.
    Gone,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuotaMember {
    pub instance: InstanceId,
    /// Another incarnation does not know the permits that this one granted.
    pub incarnation: Incarnation,
    pub address: Box<str>,
    pub status: LimiterStatus,
}

#[derive(Debug, Clone)]
struct LostMember {
    instance: InstanceId,
    incarnation: Incarnation,
    lost_at: Instant,
    /// Set if the same incarnation is alive again.
    returned_at: Option<Instant>,
}

#[derive(Debug, Clone)]
pub struct QuotaView {
    me: InstanceId,
    members: Vec<QuotaMember>,
    /// Includes members that are gone.
    known_count: usize,
    /// Last change of the set of alive members.
    changed: Instant,
    /// This instance took over a workspace when it lost the members that rank higher for it.
    lost: Vec<LostMember>,
    started: Instant,
}

/// Longer than it takes a limiter that has taken over to fill its bucket.
const LOST_MEMBER_RETENTION: Duration = Duration::from_secs(60);
/// For this time after its start an instance that does not know all members grants less: after a
/// mass start several instances take themselves for the limiter or its standby of one workspace.
/// News of all members takes about a second.
const DISCOVERY_DURATION: Duration = Duration::from_secs(2);
/// Returned members do not count towards the share for this time. The limiters on both sides of a
/// healed network partition detect it within about a second of each other, and would both grant the
/// full limit in between.
const REJOIN_DURATION: Duration = Duration::from_secs(2);

impl QuotaView {
    /// `min_members` is a stored member count. Without it an instance that has just started knows
    /// only itself, and would grant the full limit.
    pub fn new(
        me: InstanceId,
        members: Vec<QuotaMember>,
        min_members: usize,
        now: Instant,
    ) -> Self {
        let known_count = members.len().max(min_members);
        Self { me, members, known_count, changed: now, lost: Vec::new(), started: now }
    }

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

    /// Time of the last change of the set of alive members.
    pub fn changed(&self) -> Instant {
        self.changed
    }

    /// Time at which this instance lost the last member that ranks higher for the workspace; none
    /// if there was none.
    pub fn taken_over(&self, workspace: &str) -> Option<Instant> {
        let own = weight(workspace, &self.me);
        let before = self.lost.iter().filter(|other| weight(workspace, &other.instance) > own);
        before.map(|other| other.lost_at).max()
    }

    pub fn limiter(&self, workspace: &str) -> Option<&QuotaMember> {
        self.alive_members().max_by_key(|member| weight(workspace, &member.instance))
    }

    pub fn alive_count(&self) -> usize {
        self.alive().count()
    }

    pub fn is_me(&self, member: &QuotaMember) -> bool {
        member.instance == self.me
    }

    /// Members to ask about a workspace: its limiter, then the standby. Suspects are included.
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
        best.map(|candidate| candidate.map(|(_, member)| member))
    }

    /// The role of this instance for a workspace.
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

    /// Fraction of the known members that are alive, without those that just returned.
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
