//! Queue and slots of one engine, managed by the instance that owns it.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::policy::QueuePolicy;
use crate::core::cache::WorkingSet;
use crate::core::ids::{InstanceId, PermitId, ProgramId, Tokens, WorkspaceId};

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceClass {
    Paying,
    Trial,
}

#[derive(Debug, Clone, PartialEq)]
pub struct SlotRequest {
    /// Allocated by the holder and never reused, so that it can release the slot although the reply
    /// to its request was lost.
    pub permit: PermitId,
    /// The instance that runs the program.
    pub holder: InstanceId,
    pub program: ProgramId,
    pub workspace: WorkspaceId,
    pub class: ServiceClass,
    /// Of the workspace, 1 to 1000.
    pub weight: u16,
    /// Service the program has received so far.
    pub attained: Tokens,
    /// Upper bound, charged to the workspace's service.
    pub tokens: u32,
    /// Those that need memory of their own: all but the shared prefix.
    pub own_tokens: u32,
    /// First call of a program without a parent, for which no engine holds memory.
    pub cold: bool,
    pub arrived: Instant,
    pub deadline: Instant,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SlotEvent {
    Granted(PermitId),
    /// The deadline passed in the queue, or the engine takes no new work.
    Expired(PermitId, ServiceClass),
}

/// Asks a holder to release a permit before its call has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SlotRevocation {
    pub permit: PermitId,
    pub holder: InstanceId,
}

/// Load of an engine from the point of view of one class.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ClassLoad {
    /// Calls running and waiting, without those of lower classes.
    pub load: usize,
    /// Expected wait of a request that joins the queue now.
    pub wait: Duration,
}

/// Load of an engine as reported by its owner.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EngineLoad {
    pub paying: ClassLoad,
    pub trial: ClassLoad,
    /// Memory demand of its programs, in per mille of its memory.
    pub pressure: u16,
    /// Time that a call occupies a slot; zero if unknown.
    pub occupancy: Duration,
}

impl ClassLoad {
    fn mean(loads: &[Self]) -> Self {
        let count = loads.len().max(1);
        let load = loads.iter().map(|class| class.load).sum::<usize>() / count;
        let wait = loads.iter().map(|class| class.wait).sum::<Duration>() / count as u32;
        Self { load, wait }
    }
}

impl EngineLoad {
    /// Zero if there are no engines.
    pub fn mean(loads: impl IntoIterator<Item = Self>) -> Self {
        let loads: Vec<_> = loads.into_iter().collect();
        let class = |class| ClassLoad::mean(&loads.iter().map(|l| l.of(class)).collect::<Vec<_>>());
        let pressure: usize = loads.iter().map(|load| usize::from(load.pressure)).sum();
        Self {
            paying: class(ServiceClass::Paying),
            trial: class(ServiceClass::Trial),
            pressure: (pressure / loads.len().max(1)) as u16,
            occupancy: loads.iter().map(|load| load.occupancy).sum::<Duration>()
                / loads.len().max(1) as u32,
        }
    }

    pub fn of(&self, class: ServiceClass) -> ClassLoad {
        match class {
            ServiceClass::Paying => self.paying,
            ServiceClass::Trial => self.trial,
        }
    }
}

/// Memory pressure, in per mille, above which calls of cold programs wait in the queue.
///
/// A lower limit for trial programs keeps them from filling the memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdProgramLimits {
    pub paying: u16,
    pub trial: u16,
}

impl ColdProgramLimits {
    fn of(&self, class: ServiceClass) -> u16 {
        match class {
            ServiceClass::Paying => self.paying,
            ServiceClass::Trial => self.trial,
        }
    }
}

#[derive(Debug)]
struct RunningSlot {
    request: SlotRequest,
    since: Instant,
    revoked: bool,
    /// Exempt from preemption.
    reserved: bool,
}

/// Slots and queue of one engine.
pub struct EngineSlots {
    slots: usize,
    memory: WorkingSet,
    cold_limits: Option<ColdProgramLimits>,
    policy: Box<dyn QueuePolicy>,
    running: BTreeMap<PermitId, RunningSlot>,
    waiting: Vec<SlotRequest>,
    mean_occupancy: Duration,
    /// Until the first call ends, `mean_occupancy` is only a default.
    has_samples: bool,
}

/// One slot in this many may be reserved by trial calls.
const RESERVED_SLOTS_DIVISOR: usize = 20;
const INITIAL_MEAN_OCCUPANCY: Duration = Duration::from_secs(2);
const MEAN_OCCUPANCY_SAMPLES: u32 = 8;
/// Shorter calls were refused by the engine and are no sample of its speed.
const MIN_OCCUPANCY: Duration = Duration::from_millis(5);

impl EngineSlots {
    pub fn new(slots: usize, memory: WorkingSet, policy: Box<dyn QueuePolicy>) -> Self {
        Self {
            slots,
            memory,
            cold_limits: None,
            policy,
            running: BTreeMap::new(),
            waiting: Vec::new(),
            mean_occupancy: INITIAL_MEAN_OCCUPANCY,
            has_samples: false,
        }
    }

    pub fn limit_cold_programs(&mut self, limits: ColdProgramLimits) {
        self.cold_limits = Some(limits);
    }

    /// The outcome is an event of a later [`EngineSlots::advance`].
    pub fn enqueue(&mut self, request: SlotRequest) {
        self.waiting.push(request);
    }

    /// Expires overdue requests, then grants free slots.
    pub fn advance(&mut self, now: Instant) -> Vec<SlotEvent> {
        let mut events = self.expire(now);
        let deferred = self.defer_cold_calls();
        while self.running.len() < self.slots {
            let Some(index) = self.policy.pick(&self.waiting, now) else { break };
            let next = self.waiting.swap_remove(index);
            let reserved = self.is_reserved(&next);
            self.policy.record_grant(&next);
            self.memory.insert(next.program, next.own_tokens.into(), now);
            events.push(SlotEvent::Granted(next.permit));
            self.running.insert(
                next.permit,
                RunningSlot { request: next, since: now, revoked: false, reserved },
            );
        }
        self.waiting.extend(deferred);
        events
    }

    /// Removes the cold programs that don't fit into memory from the queue and returns them.
    ///
    /// Each would evict the prefix of a paused program, whose next call then evicts another one:
    /// the engine thrashes.
    fn defer_cold_calls(&mut self) -> Vec<SlotRequest> {
        let Some(limits) = self.cold_limits else { return Vec::new() };
        let mut admitted: Tokens = 0;
        let mut deferred = Vec::new();
        self.waiting.sort_by_key(|waiting| (waiting.class, waiting.arrived, waiting.permit));
        self.waiting.retain(|waiting| {
            let tokens = Tokens::from(waiting.own_tokens);
            let per_mille = limits.of(waiting.class);
            if !waiting.cold {
                return true;
            }
            if self.memory.has_capacity(tokens, admitted, per_mille) {
                admitted += tokens;
                return true;
            }
            deferred.push(waiting.clone());
            false
        });
        deferred
    }

    /// Whether a request granted now is exempt from preemption: if it overtakes paying work, it
    /// would be preempted at once, and no trial call would end in a long surge of paying work. The
    /// number of such slots is bounded, as long trial calls would otherwise accumulate in them.
    fn is_reserved(&self, granted: &SlotRequest) -> bool {
        let overtakes = self.waiting.iter().any(|waiting| waiting.class < granted.class);
        let reserved = self.running.values().filter(|slot| slot.reserved).count();
        overtakes && reserved < self.slots.div_ceil(RESERVED_SLOTS_DIVISOR)
    }

    fn is_deferred(&self, request: &SlotRequest) -> bool {
        let Some(limits) = self.cold_limits else { return false };
        let per_mille = limits.of(request.class);
        request.cold && !self.memory.has_capacity(request.own_tokens.into(), 0, per_mille)
    }

    fn expire(&mut self, now: Instant) -> Vec<SlotEvent> {
        self.memory.expire(now);
        let mut expired = Vec::new();
        self.waiting.retain(|waiting| {
            let late = waiting.deadline <= now;
            if late {
                expired.push(SlotEvent::Expired(waiting.permit, waiting.class));
            }
            !late
        });
        expired
    }

    /// Releases a slot or cancels a waiting request. Idempotent.
    pub fn release(&mut self, permit: PermitId, now: Instant) {
        self.waiting.retain(|waiting| waiting.permit != permit);
        if let Some(slot) = self.running.remove(&permit) {
            let occupancy = now - slot.since;
            if occupancy < MIN_OCCUPANCY {
                return;
            }
            if !self.has_samples {
                self.mean_occupancy = occupancy;
            }
            let others = self.mean_occupancy * (MEAN_OCCUPANCY_SAMPLES - 1);
            self.mean_occupancy = (others + occupancy) / MEAN_OCCUPANCY_SAMPLES;
            self.has_samples = true;
        }
    }

    /// Rejects all waiting requests of an engine that takes no new work; running calls go on.
    pub fn refuse_waiting(&mut self) -> Vec<SlotEvent> {
        let expired = |waiting: SlotRequest| SlotEvent::Expired(waiting.permit, waiting.class);
        self.waiting.drain(..).map(expired).collect()
    }

    pub fn end_program(&mut self, program: ProgramId) {
        self.memory.remove(program);
    }

    /// Releases the slots and requests of an instance that died.
    pub fn drop_holder(&mut self, holder: &str) {
        self.waiting.retain(|waiting| &*waiting.holder != holder);
        self.running.retain(|_, slot| &*slot.request.holder != holder);
    }

    /// Revokes the slot of the youngest trial call, which loses least work, for a paying call that
    /// has waited `limit`. The caller notifies the holder, which releases the permit.
    ///
    /// Deferred calls don't count: the slot would go to another trial call, to be preempted again.
    pub fn preempt(&mut self, now: Instant, limit: Duration) -> Option<SlotRevocation> {
        let starving = self.waiting.iter().filter(|waiting| {
            let late = now.saturating_duration_since(waiting.arrived) >= limit;
            waiting.class == ServiceClass::Paying && late && !self.is_deferred(waiting)
        });
        let revoked = self.running.values().filter(|slot| slot.revoked).count();
        if starving.count() <= revoked || self.running.len() < self.slots {
            return None;
        }
        let trial = |slot: &RunningSlot| slot.request.class == ServiceClass::Trial;
        let candidates = self
            .running
            .iter_mut()
            .filter(|(_, slot)| trial(slot) && !slot.revoked && !slot.reserved);
        let (permit, slot) = candidates.max_by_key(|(_, slot)| slot.since)?;
        slot.revoked = true;
        Some(SlotRevocation { permit: *permit, holder: slot.request.holder.clone() })
    }

    pub fn load(&self, now: Instant) -> EngineLoad {
        EngineLoad {
            paying: self.class_load(ServiceClass::Paying),
            trial: self.class_load(ServiceClass::Trial),
            pressure: self.memory.pressure(),
            occupancy: self.occupancy(now),
        }
    }

    /// The mean occupancy, or the mean age of running calls if greater, which detects a slow engine
    /// before its first slow call ends.
    fn occupancy(&self, now: Instant) -> Duration {
        let ages = self.running.values().map(|slot| now.saturating_duration_since(slot.since));
        let mean_age = ages.sum::<Duration>() / self.running.len().max(1) as u32;
        let mean_occupancy = if self.has_samples { self.mean_occupancy } else { Duration::ZERO };
        mean_occupancy.max(mean_age)
    }

    /// Leaves out lower classes: paying calls overtake trial calls, so a queue of these must not
    /// divert them from the engine that holds their prefix.
    fn class_load(&self, class: ServiceClass) -> ClassLoad {
        let waiting = self.waiting.iter().filter(|waiting| waiting.class <= class).count();
        let running = self.running.values().filter(|slot| slot.request.class <= class).count();
        let full = self.running.len() >= self.slots;
        let ahead = if full { waiting as u32 + 1 } else { 0 };
        let wait = self.mean_occupancy * ahead / self.slots as u32;
        ClassLoad { load: running + waiting, wait }
    }

    pub fn next_deadline(&self) -> Option<Instant> {
        self.waiting.iter().map(|waiting| waiting.deadline).min()
    }

    pub fn running(&self) -> usize {
        self.running.len()
    }

    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    pub fn capacity(&self) -> usize {
        self.slots
    }
}
