//! One instance's view of all shards, and the plan that moves them to their desired owners.

use std::collections::{BTreeMap, BTreeSet};

use super::assign::assign_shards;
use super::row::{ShardOwner, ShardRow};
use crate::core::ids::{Incarnation, InstanceId, ShardId};

#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ShardView {
    pub row: ShardRow,
    /// Version of the row in the store; 0 if there is no row yet.
    pub version: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShardPhase {
    /// Claimed; its programs are being loaded.
    Loading,
    Serving,
    /// Accepts no new calls; handed over once its running calls are done.
    Draining,
}

#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ShardPlan {
    /// Unowned shards whose desired owner is this instance.
    pub claim: Vec<ShardId>,
    /// Shards of ended incarnations, each of which must be fenced first.
    pub take_over: BTreeMap<Incarnation, Vec<ShardId>>,
    /// Served shards whose desired owner is not this instance.
    pub hand_over: Vec<ShardId>,
    /// Shards that are stored as owned by this instance after the reply to its claim was lost.
    pub adopt: Vec<ShardId>,
}

#[derive(Debug)]
pub struct ShardTable {
    views: Vec<ShardView>,
    owned: BTreeMap<ShardId, ShardPhase>,
    desired: BTreeMap<ShardId, InstanceId>,
}

impl ShardTable {
    pub fn new(shards: ShardId) -> Self {
        let views = vec![ShardView::default(); shards.into()];
        Self { views, owned: BTreeMap::new(), desired: BTreeMap::new() }
    }

    pub fn shards(&self) -> ShardId {
        self.views.len() as ShardId
    }

    pub fn set_members(&mut self, members: &[InstanceId]) {
        self.desired = assign_shards(self.shards(), members);
    }

    pub fn desired_owner(&self, shard: ShardId) -> Option<&InstanceId> {
        self.desired.get(&shard)
    }

    /// Records a row read from the store; an older version never replaces a newer one.
    pub fn observe(&mut self, shard: ShardId, view: ShardView) {
        let Some(known) = self.views.get_mut(usize::from(shard)) else { return };
        if view.version > known.version {
            *known = view;
        }
    }

    pub fn view(&self, shard: ShardId) -> Option<&ShardView> {
        self.views.get(usize::from(shard))
    }

    pub fn owner(&self, shard: ShardId) -> Option<&ShardOwner> {
        self.view(shard)?.row.owner.as_ref()
    }

    pub fn phase(&self, shard: ShardId) -> Option<ShardPhase> {
        self.owned.get(&shard).copied()
    }

    pub fn set_phase(&mut self, shard: ShardId, phase: ShardPhase) {
        self.owned.insert(shard, phase);
    }

    pub fn clear_phase(&mut self, shard: ShardId) {
        self.owned.remove(&shard);
    }

    /// Drops all ownership, after this instance has been fenced.
    pub fn clear_phases(&mut self) {
        self.owned.clear();
    }

    pub fn owned(&self) -> impl Iterator<Item = (ShardId, ShardPhase)> {
        self.owned.iter().map(|(shard, phase)| (*shard, *phase))
    }

    /// Serving or draining shards whose rows do not name `me` as the owner.
    pub fn lost_shards(&self, me: &ShardOwner) -> Vec<ShardId> {
        let loaded = self.owned.iter().filter(|(_, phase)| **phase != ShardPhase::Loading);
        let lost = loaded.filter(|(shard, _)| self.owner(**shard) != Some(me));
        lost.map(|(shard, _)| *shard).collect()
    }

    pub fn serving(&self) -> impl Iterator<Item = ShardId> {
        let serving = self.owned.iter().filter(|(_, phase)| **phase == ShardPhase::Serving);
        serving.map(|(shard, _)| *shard)
    }

    /// Plans the next changes by `me`; `ended` holds incarnations whose shards may be taken over.
    pub fn plan(&self, me: &ShardOwner, ended: &BTreeSet<Incarnation>) -> ShardPlan {
        let mut plan = ShardPlan::default();
        for (index, view) in self.views.iter().enumerate() {
            let shard = index as ShardId;
            let mine = self.desired.get(&shard) == Some(&me.instance);
            match &view.row.owner {
                _ if self.owned.contains_key(&shard) => {
                    let serving = self.phase(shard) == Some(ShardPhase::Serving);
                    if serving && !mine {
                        plan.hand_over.push(shard);
                    }
                }
                Some(owner) if owner == me => plan.adopt.push(shard),
                None if mine => plan.claim.push(shard),
                Some(owner) if mine && ended.contains(&owner.incarnation) => {
                    plan.take_over.entry(owner.incarnation).or_default().push(shard);
                }
                _ => {}
            }
        }
        plan
    }
}
