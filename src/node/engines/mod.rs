//! Acquires engine slots for calls: from the local queue if this instance owns the engine, from
//! the owner otherwise.

mod choice;
mod scheduler;

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, sleep};

use super::calls::{CallContext, time_left};
use super::instance::Node;
use super::peers::{PermitReply, PermitRequest};
use super::platform::{RosterEntry, RosterRole};
use crate::config::ModelSettings;
use crate::core::cache::WorkingSet;
use crate::core::dispatch::{
    ColdProgramLimits, EngineSlots, LeastAttainedService, SlotRequest, SlotRevocation,
};
use crate::core::ids::{InstanceId, PermitId, ProgramId, Tokens, UpstreamId};
use crate::core::members::MemberInfo;
use crate::core::outcome::{CallRefusal, RefusalReason};
use crate::core::ownership::assign_engines;

pub(crate) use scheduler::SlotScheduler;
use scheduler::{EngineHint, MIN_RETRY_DELAY};

const SLOT_TICK_INTERVAL: Duration = Duration::from_millis(50);
/// A program without calls for this long no longer counts towards an engine's working set.
const PROGRAM_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Memory pressure, in per mille, above which calls of cold programs wait.
const COLD_PROGRAM_LIMITS: ColdProgramLimits = ColdProgramLimits { paying: 1300, trial: 1000 };
/// Delay before the owner is looked up again after it denied owning the engine or did not answer.
const OWNER_RETRY_DELAY: Duration = Duration::from_millis(100);
const RELEASE_RETRY_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Debug, Clone, Copy)]
pub(crate) struct SlotNeed {
    /// Worst-case tokens of the call.
    pub(crate) tokens: Tokens,
    /// Part of `tokens` that is not in a shared prefix.
    pub(crate) own_tokens: Tokens,
    pub(crate) deadline: Instant,
}

/// A slot held on an engine, released on drop.
pub(crate) struct EnginePermit {
    node: Rc<Node>,
    engine: RosterEntry,
    permit: PermitId,
    owner: Option<MemberInfo>,
    revoked: Rc<Notify>,
}

impl EnginePermit {
    pub(crate) fn engine(&self) -> &UpstreamId {
        &self.engine.id
    }

    pub(crate) fn address(&self) -> &str {
        &self.engine.address
    }

    /// Completes when the engine's owner has revoked the permit.
    pub(crate) async fn revoked(&self) {
        self.revoked.notified().await;
    }
}

impl Drop for EnginePermit {
    fn drop(&mut self) {
        self.node.slot_scheduler.borrow_mut().revocations.remove(&self.permit);
        match self.owner.take() {
            None => self.node.release_permit(&self.engine.id, self.permit),
            Some(owner) => {
                self.node.clone().release_remote_permit(owner, self.engine.id.clone(), self.permit);
            }
        }
    }
}

impl Node {
    pub(crate) fn spawn_slot_scheduler(self: Rc<Self>) {
        actix_rt::spawn(async move {
            while !self.is_stopped() {
                sleep(SLOT_TICK_INTERVAL).await;
                let now = Instant::now();
                self.slot_scheduler.borrow_mut().advance(now);
                let revocations = self.slot_scheduler.borrow_mut().preempt(now);
                self.clone().revoke(revocations);
                let load = self.slot_scheduler.borrow().load(now);
                self.members.borrow_mut().set_load(load);
            }
        });
    }

    /// To be called after a change of members or of the roster.
    pub(crate) fn reassign_engines(&self) {
        let entries = self.roster.borrow().all(RosterRole::Engine);
        let members: Vec<InstanceId> =
            self.members.borrow().serving().map(|member| member.instance.clone()).collect();
        let engines = entries.iter().map(|entry| entry.id.clone()).collect();
        let owners = assign_engines(engines, &members);
        let mut scheduler = self.slot_scheduler.borrow_mut();
        let owned: BTreeSet<_> = owners
            .iter()
            .filter(|(_, owner)| **owner == self.settings.instance)
            .map(|(engine, _)| engine.clone())
            .collect();
        scheduler.slots.retain(|engine, _| owned.contains(engine));
        for entry in entries.iter().filter(|entry| owned.contains(&entry.id)) {
            let Some(model) = self.settings.model(&entry.group) else { continue };
            scheduler.slots.entry(entry.id.clone()).or_insert_with(|| new_slots(model));
        }
        scheduler.owners = owners;
        scheduler.waiters.retain(|(engine, _), _| owned.contains(engine));
        for entry in entries.iter().filter(|entry| entry.leaving) {
            scheduler.refuse_waiting(&entry.id);
        }
    }

    pub(crate) fn drop_holder(&self, holder: &str) {
        self.slot_scheduler.borrow_mut().drop_holder(holder);
    }

    /// Notifies the holders once; if a message is lost, the trial call keeps its slot to its end.
    fn revoke(self: Rc<Self>, revocations: Vec<SlotRevocation>) {
        for SlotRevocation { permit, holder } in revocations {
            if holder == self.settings.instance {
                self.revoke_permit(permit);
                continue;
            }
            let Some(holder) = self.members.borrow().get(&holder).cloned() else { continue };
            let node = self.clone();
            actix_rt::spawn(async move {
                let _ = node.peers.revoke(&holder, permit).await;
            });
        }
    }

    pub(crate) fn revoke_permit(&self, permit: PermitId) {
        if let Some(revoked) = self.slot_scheduler.borrow().revocations.get(&permit) {
            revoked.notify_one();
        }
    }

    /// To be called when the engine has freed the memory of an ended program.
    pub(crate) fn forget_program(&self, engine: &str, program: ProgramId) {
        if let Some(slots) = self.slot_scheduler.borrow_mut().slots.get_mut(engine) {
            slots.end_program(program);
        }
    }

    pub(crate) async fn acquire_local_permit(&self, request: PermitRequest) -> PermitReply {
        let leaving = self.roster.borrow().get(&request.engine).is_some_and(|entry| entry.leaving);
        if leaving {
            return PermitReply::Refused(MIN_RETRY_DELAY);
        }
        let waiting = {
            let mut scheduler = self.slot_scheduler.borrow_mut();
            let now = Instant::now();
            let Some(slots) = scheduler.slots.get_mut(&request.engine) else {
                return PermitReply::NotOwner;
            };
            slots.enqueue(SlotRequest {
                permit: request.permit,
                holder: request.holder,
                program: request.program,
                workspace: request.workspace,
                class: request.class,
                weight: request.weight,
                attained: request.attained,
                tokens: request.tokens,
                own_tokens: request.own_tokens,
                cold: request.cold,
                arrived: now,
                deadline: now + request.wait,
            });
            let (waiter, waiting) = oneshot::channel();
            scheduler.waiters.insert((request.engine, request.permit), waiter);
            scheduler.advance(now);
            waiting
        };
        waiting.await.unwrap_or(PermitReply::NotOwner)
    }

    pub(crate) fn release_permit(&self, engine: &str, permit: PermitId) {
        let now = Instant::now();
        let mut scheduler = self.slot_scheduler.borrow_mut();
        if let Some(slots) = scheduler.slots.get_mut(engine) {
            slots.release(permit, now);
        }
        scheduler.advance(now);
    }

    /// Retries until the owner confirms or its incarnation ends: an unreleased slot would stay
    /// occupied.
    fn release_remote_permit(
        self: Rc<Self>,
        owner: MemberInfo,
        engine: UpstreamId,
        permit: PermitId,
    ) {
        actix_rt::spawn(async move {
            while !self.is_stopped() {
                if self.peers.release(&owner, &engine, permit).await.is_ok() {
                    return;
                }
                sleep(RELEASE_RETRY_INTERVAL).await;
                let members = self.members.borrow();
                let known = members.get(&owner.instance);
                if known.is_none_or(|member| member.incarnation != owner.incarnation) {
                    return;
                }
            }
        });
    }

    /// Waits for a slot on an engine outside `avoid`, trying other engines after a refusal.
    pub(crate) async fn acquire_engine(
        self: &Rc<Self>,
        context: &CallContext,
        need: SlotNeed,
        avoid: &[UpstreamId],
    ) -> Result<EnginePermit, CallRefusal> {
        let mut refused: Vec<UpstreamId> = avoid.to_vec();
        // Engines whose owners did not answer; retried when no other engine is left.
        let mut unreachable: Vec<UpstreamId> = Vec::new();
        let mut retry_after = MIN_RETRY_DELAY;
        loop {
            let excluded = [refused.as_slice(), unreachable.as_slice()].concat();
            let Some(engine) = self.choose_engine(context, &excluded) else {
                if !unreachable.is_empty() && !time_left(context.deadline).is_zero() {
                    unreachable.clear();
                    sleep(OWNER_RETRY_DELAY).await;
                    continue;
                }
                return Err(CallRefusal::retry(RefusalReason::Overloaded, retry_after));
            };
            let owner = self.engine_owner(&engine.id);
            let permit = self.slot_scheduler.borrow_mut().allocate_permit();
            let request = PermitRequest {
                permit,
                holder: self.settings.instance.clone(),
                program: context.request.program,
                workspace: context.workspace.clone(),
                engine: engine.id.clone(),
                class: context.class,
                weight: context.weight,
                attained: context.attained,
                tokens: need.tokens.min(u32::MAX.into()) as u32,
                own_tokens: need.own_tokens.min(u32::MAX.into()) as u32,
                cold: context.cold,
                wait: time_left(need.deadline),
            };
            let reply = match &owner {
                None => self.acquire_local_permit(request).await,
                Some(owner) => match self.peers.acquire(owner, request).await {
                    Ok(reply) => reply,
                    Err(_) => {
                        // The owner may have queued or granted the request before the failure.
                        self.clone().release_remote_permit(
                            owner.clone(),
                            engine.id.clone(),
                            permit,
                        );
                        unreachable.push(engine.id.clone());
                        PermitReply::NotOwner
                    }
                },
            };
            match reply {
                PermitReply::Granted => {
                    let revoked = Rc::new(Notify::new());
                    self.slot_scheduler.borrow_mut().revocations.insert(permit, revoked.clone());
                    let held = EnginePermit { node: self.clone(), engine, permit, owner, revoked };
                    // The engine may have left service while the call waited.
                    if self.roster.borrow().is_serving(held.engine()) {
                        return Ok(held);
                    }
                    refused.push(held.engine().clone());
                }
                PermitReply::Refused(wait) => {
                    retry_after = wait;
                    self.record_hint(&engine.id, wait);
                    refused.push(engine.id);
                }
                PermitReply::NotOwner => sleep(OWNER_RETRY_DELAY).await,
            }
            if time_left(need.deadline).is_zero() {
                return Err(CallRefusal::retry(RefusalReason::Overloaded, retry_after));
            }
        }
    }

    pub(crate) fn owns_engine(&self, engine: &str) -> bool {
        self.slot_scheduler.borrow().slots.contains_key(engine)
    }

    fn record_hint(&self, engine: &str, wait: Duration) {
        let hint = EngineHint { wait, at: Instant::now() };
        self.slot_scheduler.borrow_mut().hints.insert(engine.into(), hint);
    }

    /// Returns `None` if this instance owns the engine or the owner is unknown.
    fn engine_owner(&self, engine: &str) -> Option<MemberInfo> {
        let scheduler = self.slot_scheduler.borrow();
        let owner = scheduler.owners.get(engine)?;
        if *owner == self.settings.instance {
            return None;
        }
        self.members.borrow().get(owner).cloned()
    }
}

fn new_slots(model: &ModelSettings) -> EngineSlots {
    let memory = WorkingSet::new(model.cache_tokens, PROGRAM_IDLE_TIMEOUT);
    let mut slots =
        EngineSlots::new(model.slots, memory, Box::new(LeastAttainedService::default()));
    slots.limit_cold_programs(COLD_PROGRAM_LIMITS);
    slots
}
