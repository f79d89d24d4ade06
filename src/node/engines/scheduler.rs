//! The queues of the engines that this instance owns, and what it knows of the others.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::{Notify, oneshot};
use tokio::time::Instant;

use crate::core::dispatch::{ClassLoad, EngineLoad, EngineSlots, SlotEvent, SlotRevocation};
use crate::core::ids::{Incarnation, InstanceId, PermitId, UpstreamId};
use crate::core::members::MemberLoad;
use crate::node::peers::PermitReply;

/// When a refused call should come back at the earliest.
pub(super) const FULL_RETRY: Duration = Duration::from_secs(1);
/// Permits of successive incarnations start so far apart.
const PERMITS_PER_INCARNATION: u64 = 1 << 24;
/// A paying call that has waited for so long takes the slot of a trial call.
const PREEMPT_AFTER: Duration = Duration::from_millis(250);
const MOST: usize = u16::MAX as usize;

pub(super) type GrantWaiter = oneshot::Sender<PermitReply>;

/// What was last heard of an engine that another instance owns.
#[derive(Debug, Clone, Copy)]
pub(super) struct EngineHint {
    pub(super) wait: Duration,
    pub(super) at: Instant,
}

/// All queues of the engines this instance owns, and what it knows of the others.
pub(crate) struct SlotScheduler {
    next_permit: PermitId,
    pub(super) slots: BTreeMap<UpstreamId, EngineSlots>,
    pub(super) owners: BTreeMap<UpstreamId, InstanceId>,
    pub(super) waiters: BTreeMap<(UpstreamId, PermitId), GrantWaiter>,
    pub(super) hints: BTreeMap<UpstreamId, EngineHint>,
    /// Tells the calls of this instance that their slot is wanted back, wherever it is.
    pub(super) revocations: BTreeMap<PermitId, Rc<Notify>>,
    pub(super) rng: SmallRng,
}

impl SlotScheduler {
    pub(crate) fn new(incarnation: Incarnation, seed: u64) -> Self {
        Self {
            revocations: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(seed),
            next_permit: incarnation * PERMITS_PER_INCARNATION,
            slots: BTreeMap::new(),
            owners: BTreeMap::new(),
            waiters: BTreeMap::new(),
            hints: BTreeMap::new(),
        }
    }

    /// Grants what can be granted and answers those who wait.
    pub(super) fn advance(&mut self, now: Instant) {
        for (engine, slots) in &mut self.slots {
            for event in slots.advance(now) {
                let (permit, reply) = match event {
                    SlotEvent::Granted(permit) => (permit, PermitReply::Granted),
                    SlotEvent::Expired(permit, class) => {
                        let wait = slots.load(now).of(class).wait;
                        (permit, PermitReply::Refused(wait.max(FULL_RETRY)))
                    }
                };
                let waiter = self.waiters.remove(&(engine.clone(), permit));
                let unheard = waiter.is_none_or(|waiter| waiter.send(reply.clone()).is_err());
                if unheard && reply == PermitReply::Granted {
                    slots.release(permit, now);
                }
            }
        }
    }

    /// Sends those who wait for a leaving engine to others; the queue would else go on handing its
    /// slots out for as long as calls may wait.
    pub(super) fn refuse_waiting(&mut self, engine: &str) {
        let Some(slots) = self.slots.get_mut(engine) else { return };
        for event in slots.refuse_waiting() {
            let (SlotEvent::Expired(permit, _) | SlotEvent::Granted(permit)) = event;
            if let Some(waiter) = self.waiters.remove(&(engine.into(), permit)) {
                let _ = waiter.send(PermitReply::Refused(FULL_RETRY));
            }
        }
    }

    pub(super) fn allocate_permit(&mut self) -> PermitId {
        self.next_permit += 1;
        self.next_permit
    }

    pub(super) fn drop_holder(&mut self, holder: &str) {
        for slots in self.slots.values_mut() {
            slots.drop_holder(holder);
        }
    }

    /// The mean load of the engines here, as other instances are told.
    pub(super) fn load(&self, now: Instant) -> MemberLoad {
        let mean = EngineLoad::mean(self.slots.values().map(|slots| slots.load(now)));
        let all: usize = self.slots.values().map(EngineSlots::capacity).sum();
        let capacity = all / self.slots.len().max(1);
        let per_mille = |class: ClassLoad| (class.load * 1000 / capacity.max(1)).min(MOST) as u16;
        MemberLoad {
            paying: per_mille(mean.paying),
            trial: per_mille(mean.trial),
            pressure: mean.pressure,
            hold_millis: mean.occupancy.as_millis() as u32,
        }
    }

    /// Slots to take back from trial calls for paying ones that have waited too long.
    pub(super) fn preempt(&mut self, now: Instant) -> Vec<SlotRevocation> {
        let mut revocations = Vec::new();
        for slots in self.slots.values_mut() {
            while let Some(revocation) = slots.preempt(now, PREEMPT_AFTER) {
                revocations.push(revocation);
            }
        }
        revocations
    }
}
