//! Slot queues of the engines that this instance owns, and routing hints for the others.

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

pub(super) const MIN_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Size of each incarnation's permit id range; a restarted instance must not reuse an id.
const PERMITS_PER_INCARNATION: u64 = 1 << 24;
/// Time that a paying call waits before it preempts a trial call.
const PREEMPTION_DELAY: Duration = Duration::from_millis(250);
const MAX_PER_MILLE: usize = u16::MAX as usize;

pub(super) type GrantWaiter = oneshot::Sender<PermitReply>;

/// Expected wait for a slot, as given by the last refusal of an engine's owner.
#[derive(Debug, Clone, Copy)]
pub(super) struct EngineHint {
    pub(super) wait: Duration,
    pub(super) at: Instant,
}

pub(crate) struct SlotScheduler {
    next_permit: PermitId,
    pub(super) slots: BTreeMap<UpstreamId, EngineSlots>,
    pub(super) owners: BTreeMap<UpstreamId, InstanceId>,
    pub(super) waiters: BTreeMap<(UpstreamId, PermitId), GrantWaiter>,
    pub(super) hints: BTreeMap<UpstreamId, EngineHint>,
    /// Permits of this instance's calls, on local and remote engines.
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

    /// Grants free slots and answers the waiters. A grant whose waiter is gone is released.
    pub(super) fn advance(&mut self, now: Instant) {
        for (engine, slots) in &mut self.slots {
            for event in slots.advance(now) {
                let (permit, reply) = match event {
                    SlotEvent::Granted(permit) => (permit, PermitReply::Granted),
                    SlotEvent::Expired(permit, class) => {
                        let wait = slots.load(now).of(class).wait;
                        (permit, PermitReply::Refused(wait.max(MIN_RETRY_DELAY)))
                    }
                };
                let waiter = self.waiters.remove(&(engine.clone(), permit));
                let undelivered = waiter.is_none_or(|waiter| waiter.send(reply.clone()).is_err());
                if undelivered && reply == PermitReply::Granted {
                    slots.release(permit, now);
                }
            }
        }
    }

    /// Refuses the calls queued for a leaving engine, so that they are placed elsewhere instead of
    /// being granted its slots until their deadlines.
    pub(super) fn refuse_waiting(&mut self, engine: &str) {
        let Some(slots) = self.slots.get_mut(engine) else { return };
        for event in slots.refuse_waiting() {
            let (SlotEvent::Expired(permit, _) | SlotEvent::Granted(permit)) = event;
            if let Some(waiter) = self.waiters.remove(&(engine.into(), permit)) {
                let _ = waiter.send(PermitReply::Refused(MIN_RETRY_DELAY));
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

    pub(super) fn load(&self, now: Instant) -> MemberLoad {
        let mean = EngineLoad::mean(self.slots.values().map(|slots| slots.load(now)));
        let all: usize = self.slots.values().map(EngineSlots::capacity).sum();
        let capacity = all / self.slots.len().max(1);
        let per_mille =
            |class: ClassLoad| (class.load * 1000 / capacity.max(1)).min(MAX_PER_MILLE) as u16;
        MemberLoad {
            paying: per_mille(mean.paying),
            trial: per_mille(mean.trial),
            pressure: mean.pressure,
            hold_millis: mean.occupancy.as_millis() as u32,
        }
    }

    pub(super) fn preempt(&mut self, now: Instant) -> Vec<SlotRevocation> {
        let mut revocations = Vec::new();
        for slots in self.slots.values_mut() {
            while let Some(revocation) = slots.preempt(now, PREEMPTION_DELAY) {
                revocations.push(revocation);
            }
        }
        revocations
    }
}
