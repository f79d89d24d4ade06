//! A model of a deployment with delayed member views, faults, and a check of each window's requests
//! that does not depend on the limiters.

use std::time::Duration;

use merlinsaddle::core::ids::WorkspaceId;
use merlinsaddle::core::quotas::{
    LimiterRegistry, LimiterRequest, LimiterStatus, QuotaBounds, QuotaLimit, QuotaMember,
    QuotaReply, QuotaRequest, QuotaView,
};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;

const BOUNDS: QuotaBounds = QuotaBounds { window: Duration::from_secs(5), over: 0.1, slack: 20.0 };
const STEP: Duration = Duration::from_millis(20);
pub const SIMULATION_DURATION: Duration = Duration::from_secs(25);
/// Probability that a permit is released unused.
pub const RELEASE_PROBABILITY: f64 = 0.05;
pub const REPLY_LOSS_PROBABILITY: f64 = 0.02;
/// Shorter pauses are not detected by the process.
const PAUSE_DETECTION_TIME: Duration = Duration::from_secs(1);
/// A lowered limit is not enforced before this delay.
const LOWERED_LIMIT_DELAY: Duration = Duration::from_secs(3);
/// Maximum delay until a member applies a changed limit.
const MAX_LIMIT_DELAY: Duration = Duration::from_millis(1_500);

#[derive(Debug, Clone)]
pub enum Fault {
    /// Restarts after this time without knowing the other members.
    Kill {
        member: usize,
        millis: u64,
    },
    Freeze {
        member: usize,
        millis: u64,
    },
    /// Members with their bit set cannot reach those without.
    Cut {
        side: u16,
        millis: u64,
    },
    KillAll {
        millis: u64,
    },
    Limit {
        rate: f64,
    },
    Demand {
        times: f64,
    },
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        (0..12_usize, 100..4_000_u64).prop_map(|(member, millis)| Fault::Kill { member, millis }),
        (0..12_usize, 100..5_000_u64).prop_map(|(member, millis)| Fault::Freeze { member, millis }),
        (1..4_095_u16, 500..9_000_u64).prop_map(|(side, millis)| Fault::Cut { side, millis }),
        (200..2_000_u64).prop_map(|millis| Fault::KillAll { millis }),
        (1.0..60.0_f64).prop_map(|rate| Fault::Limit { rate }),
        (0.3..8.0_f64).prop_map(|times| Fault::Demand { times }),
    ]
}

#[derive(Debug, Clone)]
pub struct Plan {
    pub seed: u64,
    pub members: usize,
    /// Initial limit in requests per second, and its burst.
    pub rate: f64,
    /// With their times in milliseconds from the start.
    pub faults: Vec<(u64, Fault)>,
}

pub fn plan() -> impl Strategy<Value = Plan> {
    let faults = prop::collection::vec((2_000..20_000_u64, fault()), 0..6);
    (any::<u64>(), 2..12_usize, 1.0..60.0_f64, faults)
        .prop_map(|(seed, members, rate, faults)| Plan { seed, members, rate, faults })
}

/// One member's view of another, which follows reachability with a delay.
#[derive(Debug, Clone, Copy)]
struct PeerView {
    status: Option<LimiterStatus>,
    incarnation: u64,
    reachable: bool,
    next: Instant,
}

struct Member {
    view: QuotaView,
    registry: LimiterRegistry,
    peers: Vec<PeerView>,
    down_until: Instant,
    frozen_until: Instant,
    was_frozen: Option<Instant>,
    was_down: bool,
    /// It has refuted a suspicion by others.
    suspected: bool,
    incarnation: u64,
    quota: QuotaLimit,
}

pub struct World {
    plan: Plan,
    rng: SmallRng,
    now: Instant,
    started: Instant,
    members: Vec<Member>,
    cut: (u16, Instant),
    quota: QuotaLimit,
    /// Each limit with the time of its change.
    limits: Vec<(Instant, QuotaLimit)>,
    /// Demand as a multiple of the limit.
    pub demand: f64,
    pub runs: Vec<Instant>,
    next_id: u64,
    pub requested: u64,
}

pub fn name(member: usize) -> Box<str> {
    format!("i{member}").into()
}

impl World {
    pub fn new(plan: Plan) -> Self {
        let now = Instant::now();
        let quota = QuotaLimit { rate: plan.rate, burst: plan.rate };
        let count = plan.members;
        let member = |me: usize| Member {
            view: QuotaView::new(name(me), Vec::new(), count, now),
            registry: LimiterRegistry::new(BOUNDS, true, now),
            peers: vec![
                PeerView {
                    status: Some(LimiterStatus::Alive),
                    incarnation: 1,
                    reachable: true,
                    next: now
                };
                count
            ],
            down_until: now,
            frozen_until: now,
            was_frozen: None,
            was_down: false,
            suspected: false,
            incarnation: 1,
            quota,
        };
        Self {
            rng: SmallRng::seed_from_u64(plan.seed),
            now,
            started: now,
            members: (0..count).map(member).collect(),
            cut: (0, now),
            quota,
            limits: vec![(now, quota)],
            demand: 6.0,
            runs: Vec::new(),
            next_id: 0,
            requested: 0,
            plan,
        }
    }

    fn is_running(&self, member: usize) -> bool {
        let member = &self.members[member];
        self.now >= member.down_until && self.now >= member.frozen_until
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let side = |member: usize| (self.cut.0 >> member) & 1;
        let cut = self.now < self.cut.1 && side(from) != side(to);
        self.is_running(to) && !cut
    }

    fn delay(&mut self, min_secs: f64, max_secs: f64) -> Duration {
        Duration::from_secs_f64(self.rng.random_range(min_secs..max_secs))
    }

    fn inject(&mut self, fault: Fault) {
        let after = |millis| self.now + Duration::from_millis(millis);
        match fault {
            Fault::Kill { member, millis } => {
                let until = after(millis);
                let member = member % self.members.len();
                self.members[member].down_until = until;
                self.members[member].was_down = true;
            }
            Fault::Freeze { member, millis } => {
                let until = after(millis);
                let member = member % self.members.len();
                self.members[member].frozen_until = until;
                self.members[member].was_frozen.get_or_insert(self.now);
            }
            Fault::Cut { side, millis } => self.cut = (side, after(millis)),
            Fault::KillAll { millis } => {
                let until = after(millis);
                for member in &mut self.members {
                    member.down_until = until;
                    member.was_down = true;
                }
            }
            Fault::Limit { rate } => {
                self.quota = QuotaLimit { rate, burst: rate };
                self.limits.push((self.now, self.quota));
            }
            Fault::Demand { times } => self.demand = times,
        }
    }

    /// Applies the effects of a restart, a suspicion or a detected pause.
    fn resume(&mut self, me: usize) {
        let now = self.now;
        if std::mem::take(&mut self.members[me].was_down) {
            self.members[me].was_frozen = None;
            self.members[me].incarnation += 1;
            self.members[me].registry = LimiterRegistry::new(BOUNDS, true, now);
            for other in 0..self.members.len() {
                let discovered = now + self.delay(0.05, 1.5);
                let status = (other == me).then_some(LimiterStatus::Alive);
                self.members[me].peers[other] =
                    PeerView { status, incarnation: 0, reachable: true, next: discovered };
            }
            let count = self.members.len();
            self.members[me].view = QuotaView::new(name(me), Vec::new(), count, now);
        }
        if std::mem::take(&mut self.members[me].suspected) {
            self.members[me].registry.restart(now);
        }
        if let Some(since) = self.members[me].was_frozen.take()
            && now - since >= PAUSE_DETECTION_TIME
        {
            self.members[me].registry.restart(now);
        }
    }

    /// Updates the views of other members, with delays.
    fn update_view(&mut self, me: usize) {
        use LimiterStatus::{Alive, Gone, Suspect};
        for other in (0..self.members.len()).filter(|other| *other != me) {
            let reachable = self.reaches(me, other);
            let before = self.members[me].peers[other];
            if before.reachable != reachable {
                let next = self.now + self.delay(0.1, 1.0);
                self.members[me].peers[other] = PeerView { reachable, next, ..before };
                continue;
            }
            if self.now < before.next {
                continue;
            }
            let next = self.now + Duration::from_secs(1);
            let status = match (reachable, before.status) {
                (true, _) => Some(Alive),
                (false, Some(Alive)) => Some(Suspect),
                (false, Some(Suspect | Gone)) => Some(Gone),
                (false, None) => None,
            };
            let incarnation = match reachable {
                true => self.members[other].incarnation,
                false => before.incarnation,
            };
            let back = status == Some(Alive) && matches!(before.status, Some(Suspect | Gone));
            if back && incarnation == before.incarnation {
                // It refutes the suspicion and restarts its limiters.
                self.members[other].suspected = true;
            }
            self.members[me].peers[other] = PeerView { status, incarnation, reachable, next };
        }
        let known = self.members[me].peers.iter().enumerate().filter_map(|(other, peer)| {
            let (instance, address) = (name(other), name(other));
            let incarnation = peer.incarnation;
            Some(QuotaMember { instance, incarnation, address, status: peer.status? })
        });
        let known = known.collect();
        let (count, now) = (self.members.len(), self.now);
        let member = &mut self.members[me];
        member.view.update(known, count, now);
        let Member { view, registry, .. } = member;
        registry.tick(view, now);
    }

    fn request(&mut self, me: usize, workspace: &WorkspaceId) {
        self.next_id += 1;
        self.requested += 1;
        let id = self.next_id;
        let quota_request = QuotaRequest { opens: self.rng.random_bool(0.08) };
        let candidates = self.members[me].view.candidates(workspace).map(|member| {
            member.map(|member| {
                member.instance[1..].parse::<usize>().expect("instance names end with a number")
            })
        });
        for target in candidates.into_iter().flatten() {
            if target != me && !self.reaches(me, target) {
                continue;
            }
            let now = self.now;
            let Member { view, registry, quota, .. } = &mut self.members[target];
            let request = LimiterRequest { id, workspace, quota_request, quota: *quota };
            let (reply, is_primary) = registry.decide(request, view, now);
            if self.rng.random_bool(REPLY_LOSS_PROBABILITY) {
                continue;
            }
            match reply {
                QuotaReply::Granted { .. } if self.rng.random_bool(RELEASE_PROBABILITY) => {
                    self.members[target].registry.release(workspace, quota_request, now);
                    return;
                }
                QuotaReply::Granted { after } => {
                    self.runs.push(now + after);
                    return;
                }
                QuotaReply::Refused { .. } if is_primary => return,
                QuotaReply::Refused { .. } => {}
            }
        }
    }

    pub fn run(&mut self) {
        let workspace: Box<str> = "acme".into();
        let mut faults = self.plan.faults.clone();
        faults.sort_by_key(|(at, _)| *at);
        let mut faults = faults.into_iter().peekable();
        while self.now - self.started < SIMULATION_DURATION {
            let elapsed = (self.now - self.started).as_millis() as u64;
            while let Some((_, fault)) = faults.next_if(|(at, _)| *at <= elapsed) {
                self.inject(fault);
            }
            for me in 0..self.members.len() {
                if !self.is_running(me) {
                    continue;
                }
                self.resume(me);
                self.update_view(me);
                // Members apply a changed limit at different times.
                let delay = MAX_LIMIT_DELAY.mul_f64((me + 1) as f64 / self.members.len() as f64);
                let known = self.limits.iter().rev().find(|(at, _)| self.now - *at >= delay);
                self.members[me].quota = known.map_or(self.limits[0].1, |(_, quota)| *quota);
            }
            let rate = self.quota.rate.max(5.0) * self.demand;
            let mut due = rate * STEP.as_secs_f64();
            while due > 0.0 {
                let me = self.rng.random_range(0..self.members.len());
                if self.rng.random_bool(due.min(1.0)) && self.is_running(me) {
                    self.request(me, &workspace);
                }
                due -= 1.0;
            }
            self.now += STEP;
        }
    }

    /// The highest limit in force during a window or shortly before it.
    fn binding_limit(&self, from: Instant) -> QuotaLimit {
        let until = from + BOUNDS.window;
        let mut highest = self.limits[0].1;
        highest.rate = 0.0;
        for (number, (at, quota)) in self.limits.iter().enumerate() {
            let ended = self.limits.get(number + 1).map(|(next, _)| *next + LOWERED_LIMIT_DELAY);
            let binds = *at <= until && ended.is_none_or(|ended| ended > from);
            if binds && quota.rate > highest.rate {
                highest = *quota;
            }
        }
        highest
    }

    /// Maximum number of requests in any window beyond its bound; negative if none exceeds it.
    pub fn excess(&mut self) -> f64 {
        self.runs.sort();
        let mut worst = f64::MIN;
        let mut end = 0;
        for (start, from) in self.runs.iter().enumerate() {
            while end < self.runs.len() && self.runs[end] < *from + BOUNDS.window {
                end += 1;
            }
            let quota = self.binding_limit(*from);
            let bound = BOUNDS.limit(quota) + BOUNDS.tolerance(quota);
            worst = worst.max((end - start) as f64 - bound);
        }
        worst
    }
}
