//! Which engine a call is placed on, from what this instance knows.

use std::time::Duration;

use rand::seq::SliceRandom;
use tokio::time::Instant;

use crate::config::ModelSettings;
use crate::core::cache::PrefixKey;
use crate::core::dispatch::{
    CacheAwareChooser, ClassLoad, EngineCandidate, EngineChooser, EngineNeed, PrefillCost,
};
use crate::core::ids::{ProgramId, UpstreamId};
use crate::core::members::MemberLoad;
use crate::node::calls::CallContext;
use crate::node::instance::Node;
use crate::node::platform::{RosterEntry, RosterRole};

/// A load another instance told is believed for so long.
const HINT_LIFETIME: Duration = Duration::from_secs(2);
/// Random engines of others that a call looks at.
///
/// If every call looked at all, instances that hear the same late reports would all send their
/// calls to the same engine until the next report.
const SAMPLE: usize = 2;
/// What a slot of another instance's engine counts: two messages, and a load known late.
const REMOTE_COST: Duration = Duration::from_millis(500);
/// A token to prefill counts so many times its time: it also delays the other calls of the engine.
const PREFILL_WEIGHT: u32 = 3;
/// Above this share of an engine's memory, in per mille, memory decides where programs begin.
const CROWDED: u16 = 500;

impl Node {
    pub(super) fn choose_engine(
        &self,
        context: &CallContext,
        avoid: &[UpstreamId],
    ) -> Option<RosterEntry> {
        let model = self.settings.model(&context.model)?;
        let mut engines = self.roster.borrow().serving(RosterRole::Engine, &context.model);
        engines.retain(|engine| !avoid.contains(&engine.id));
        let mut engines = self.sample(engines, context.request.program);
        let candidates: Vec<_> =
            engines.iter().map(|engine| self.candidate(engine, context, model)).collect();
        let per_token = Duration::from_micros(model.prefill_micros_per_token.into());
        let cost = PrefillCost { per_token: per_token * PREFILL_WEIGHT };
        let chooser =
            CacheAwareChooser { cost, remote_cost: REMOTE_COST, pressure_threshold: CROWDED };
        let need = EngineNeed { prompt: context.prompt_tokens(), cold: context.newcomer };
        let index = chooser.choose(&candidates, need)?;
        Some(engines.swap_remove(index))
    }

    /// The engines of this instance, those that hold the program's prefix, and a few others.
    fn sample(&self, engines: Vec<RosterEntry>, program: ProgramId) -> Vec<RosterEntry> {
        let mut scheduler = self.slot_scheduler.borrow_mut();
        let residency = self.residency.borrow();
        let near = |engine: &RosterEntry| {
            scheduler.slots.contains_key(&engine.id) || residency.holds(&engine.id, program)
        };
        let (mut chosen, mut others): (Vec<_>, Vec<_>) = engines.into_iter().partition(near);
        others.shuffle(&mut scheduler.rng);
        chosen.extend(others.into_iter().take(SAMPLE));
        chosen
    }

    fn candidate(
        &self,
        engine: &RosterEntry,
        context: &CallContext,
        model: &ModelSettings,
    ) -> EngineCandidate {
        let shared = PrefixKey::Shared {
            workspace: context.workspace.clone(),
            definition: context.definition.clone(),
        };
        let program = context.request.program;
        let resident = self.residency.borrow().resident(&engine.id, program, &shared);
        let scheduler = self.slot_scheduler.borrow();
        if let Some(slots) = scheduler.slots.get(&engine.id) {
            let load = slots.load(Instant::now());
            let class = load.of(context.class);
            return EngineCandidate {
                engine: engine.id.clone(),
                slots: slots.capacity(),
                load: class.load,
                wait: class.wait,
                resident,
                local: true,
                pressure: load.pressure,
                occupancy: load.occupancy,
            };
        }
        let told = self.owner_load(scheduler.owners.get(&engine.id).map(|owner| &**owner));
        let class = told_load(told, context, model.slots);
        let hint = scheduler.hints.get(&engine.id).filter(|hint| hint.at.elapsed() < HINT_LIFETIME);
        EngineCandidate {
            engine: engine.id.clone(),
            slots: model.slots,
            load: class.load,
            wait: hint.map_or(class.wait, |hint| hint.wait),
            resident,
            local: false,
            pressure: told.pressure,
            occupancy: told.hold(),
        }
    }

    /// What the owner of an engine last told of its engines' mean load.
    fn owner_load(&self, owner: Option<&str>) -> MemberLoad {
        let members = self.members.borrow();
        let owner = owner.and_then(|owner| members.get(owner));
        owner.map_or(MemberLoad::default(), |member| member.load)
    }
}

/// A class's load on an engine whose owner tells this of its engines.
fn told_load(told: MemberLoad, context: &CallContext, slots: usize) -> ClassLoad {
    let load = usize::from(told.of(context.class)) * slots / 1000;
    let ahead = (load + 1).saturating_sub(slots) as u32;
    ClassLoad { load, wait: told.hold() * ahead / slots as u32 }
}
