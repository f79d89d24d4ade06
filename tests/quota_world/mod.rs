//! A deployment in a model: members with late views of each other, faults, and an oracle that counts what
//! runs and knows nothing of limiters.

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
pub const LENGTH: Duration = Duration::from_secs(25);
/// A reply that was granted and is not used goes back within this time.
pub const GIVE_BACK: f64 = 0.05;
pub const LOST: f64 = 0.02;
/// Longest pause that a process does not notice itself.
const PAUSE: Duration = Duration::from_secs(1);
/// Latest moment at which a lower limit counts, with the window that it begins.
const CONFIG: Duration = Duration::from_secs(3);
/// Longest time until a changed limit is known somewhere: a third of the bound is left to the window.
const NEWS: Duration = Duration::from_millis(1_500);

#[derive(Debug, Clone)]
pub enum Fault {
    /// Killed, and back after this many milliseconds, knowing nobody.
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
    /// Requests a second of the limit at the start, and its burst.
    pub rate: f64,
    /// Moments in milliseconds from the start.
    pub faults: Vec<(u64, Fault)>,
}

pub fn plan() -> impl Strategy<Value = Plan> {
    let faults = prop::collection::vec((2_000..20_000_u64, fault()), 0..6);
    (any::<u64>(), 2..12_usize, 1.0..60.0_f64, faults)
        .prop_map(|(seed, members, rate, faults)| Plan { seed, members, rate, faults })
}

/// What one member thinks of another, and what it will think next.
#[derive(Debug, Clone, Copy)]
struct Belief {
    status: Option<LimiterStatus>,
    incarnation: u64,
    reachable: bool,
    next: Instant,
}

struct Member {
    view: QuotaView,
    registry: LimiterRegistry,
    beliefs: Vec<Belief>,
    down_until: Instant,
    frozen_until: Instant,
    was_frozen: Option<Instant>,
    was_down: bool,
    /// Others have taken it for failed, and told it.
    doubted: bool,
    incarnation: u64,
    quota: QuotaLimit,
}

pub struct World {
    plan: Plan,
    rng: SmallRng,
    now: Instant,
    begun: Instant,
    members: Vec<Member>,
    cut: (u16, Instant),
    quota: QuotaLimit,
    /// Each limit with the moment of its change and those until which it is known where.
    limits: Vec<(Instant, QuotaLimit)>,
    /// Demand as a multiple of the limit.
    pub demand: f64,
    pub runs: Vec<Instant>,
    next_id: u64,
    pub asked: u64,
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
            beliefs: vec![
                Belief {
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
            doubted: false,
            incarnation: 1,
            quota,
        };
        Self {
            rng: SmallRng::seed_from_u64(plan.seed),
            now,
            begun: now,
            members: (0..count).map(member).collect(),
            cut: (0, now),
            quota,
            limits: vec![(now, quota)],
            demand: 6.0,
            runs: Vec::new(),
            next_id: 0,
            asked: 0,
            plan,
        }
    }

    fn runs_now(&self, member: usize) -> bool {
        let member = &self.members[member];
        self.now >= member.down_until && self.now >= member.frozen_until
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let side = |member: usize| (self.cut.0 >> member) & 1;
        let cut = self.now < self.cut.1 && side(from) != side(to);
        self.runs_now(to) && !cut
    }

    fn delay(&mut self, least: f64, most: f64) -> Duration {
        Duration::from_secs_f64(self.rng.random_range(least..most))
    }

    fn strike(&mut self, fault: Fault) {
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

    /// Whoever is back knows itself only, or forgets what it gave out.
    fn wake(&mut self, me: usize) {
        let now = self.now;
        if std::mem::take(&mut self.members[me].was_down) {
            self.members[me].was_frozen = None;
            self.members[me].incarnation += 1;
            self.members[me].registry = LimiterRegistry::new(BOUNDS, true, now);
            for other in 0..self.members.len() {
                let learned = now + self.delay(0.05, 1.5);
                let status = (other == me).then_some(LimiterStatus::Alive);
                self.members[me].beliefs[other] =
                    Belief { status, incarnation: 0, reachable: true, next: learned };
            }
            let count = self.members.len();
            self.members[me].view = QuotaView::new(name(me), Vec::new(), count, now);
        }
        if std::mem::take(&mut self.members[me].doubted) {
            self.members[me].registry.restart(now);
        }
        if let Some(since) = self.members[me].was_frozen.take()
            && now - since >= PAUSE
        {
            self.members[me].registry.restart(now);
        }
    }

    /// Follows who can be reached, late.
    fn believe(&mut self, me: usize) {
        use LimiterStatus::{Alive, Gone, Suspect};
        for other in (0..self.members.len()).filter(|other| *other != me) {
            let reachable = self.reaches(me, other);
            let before = self.members[me].beliefs[other];
            if before.reachable != reachable {
                let next = self.now + self.delay(0.1, 1.0);
                self.members[me].beliefs[other] = Belief { reachable, next, ..before };
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
                // It hears that it was taken for failed, refutes that, and forgets what it gave out.
                self.members[other].doubted = true;
            }
            self.members[me].beliefs[other] = Belief { status, incarnation, reachable, next };
        }
        let known = self.members[me].beliefs.iter().enumerate().filter_map(|(other, belief)| {
            let (instance, address) = (name(other), name(other));
            let incarnation = belief.incarnation;
            Some(QuotaMember { instance, incarnation, address, status: belief.status? })
        });
        let known = known.collect();
        let (count, now) = (self.members.len(), self.now);
        let member = &mut self.members[me];
        member.view.update(known, count, now);
        let Member { view, registry, .. } = member;
        registry.tick(view, now);
    }

    /// One request at a member.
    fn request(&mut self, me: usize, workspace: &WorkspaceId) {
        self.next_id += 1;
        self.asked += 1;
        let id = self.next_id;
        let ask = QuotaRequest { is_first: self.rng.random_bool(0.08) };
        let asked = self.members[me].view.candidates(workspace).map(|member| {
            member.map(|member| member.instance[1..].parse::<usize>().expect("a number"))
        });
        for target in asked.into_iter().flatten() {
            if target != me && !self.reaches(me, target) {
                continue;
            }
            let now = self.now;
            let Member { view, registry, quota, .. } = &mut self.members[target];
            let request = LimiterRequest { id, workspace, quota_request: ask, quota: *quota };
            let (reply, is_primary) = registry.decide(request, view, now);
            if self.rng.random_bool(LOST) {
                continue;
            }
            match reply {
                QuotaReply::Granted { .. } if self.rng.random_bool(GIVE_BACK) => {
                    self.members[target].registry.release(workspace, ask, now);
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

    pub fn play(&mut self) {
        let workspace: Box<str> = "acme".into();
        let mut faults = self.plan.faults.clone();
        faults.sort_by_key(|(at, _)| *at);
        let mut faults = faults.into_iter().peekable();
        while self.now - self.begun < LENGTH {
            let elapsed = (self.now - self.begun).as_millis() as u64;
            while let Some((_, fault)) = faults.next_if(|(at, _)| *at <= elapsed) {
                self.strike(fault);
            }
            for me in 0..self.members.len() {
                if !self.runs_now(me) {
                    continue;
                }
                self.wake(me);
                self.believe(me);
                // A changed limit is known everywhere within its time, here sooner, there later.
                let late = NEWS.mul_f64((me + 1) as f64 / self.members.len() as f64);
                let known = self.limits.iter().rev().find(|(at, _)| self.now - *at >= late);
                self.members[me].quota = known.map_or(self.limits[0].1, |(_, quota)| *quota);
            }
            let rate = self.quota.rate.max(5.0) * self.demand;
            let mut due = rate * STEP.as_secs_f64();
            while due > 0.0 {
                let me = self.rng.random_range(0..self.members.len());
                if self.rng.random_bool(due.min(1.0)) && self.runs_now(me) {
                    self.request(me, &workspace);
                }
                due -= 1.0;
            }
            self.now += STEP;
        }
    }

    /// The limit that binds in a window: the highest that was in force in it or shortly before.
    fn binding(&self, from: Instant) -> QuotaLimit {
        let until = from + BOUNDS.window;
        let mut highest = self.limits[0].1;
        highest.rate = 0.0;
        for (number, (at, quota)) in self.limits.iter().enumerate() {
            let ended = self.limits.get(number + 1).map(|(next, _)| *next + CONFIG);
            let binds = *at <= until && ended.is_none_or(|ended| ended > from);
            if binds && quota.rate > highest.rate {
                highest = *quota;
            }
        }
        highest
    }

    /// Most requests that ran in a window beyond what is allowed there.
    pub fn excess(&mut self) -> f64 {
        self.runs.sort();
        let mut worst = f64::MIN;
        let mut end = 0;
        for (start, from) in self.runs.iter().enumerate() {
            while end < self.runs.len() && self.runs[end] < *from + BOUNDS.window {
                end += 1;
            }
            let quota = self.binding(*from);
            let bound = BOUNDS.limit(quota) + BOUNDS.tolerance(quota);
            worst = worst.max((end - start) as f64 - bound);
        }
        worst
    }
}
