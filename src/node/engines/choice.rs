//! Chooses an engine for a call from its own queues and the loads that other instances report.

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

const MAX_HINT_AGE: Duration = Duration::from_secs(2);
/// Number of random remote engines considered per call. Considering all of them would make
/// instances with the same stale reports herd onto one engine.
const SAMPLE_SIZE: usize = 2;
/// Penalty of a remote engine: its permit takes two messages and its load report is stale.
const REMOTE_PERMIT_COST: Duration = Duration::from_millis(500);
/// Multiplies prefill time, as prefill also delays the other calls of the engine.
const PREFILL_COST_FACTOR: u32 = 3;
/// Memory pressure, in per mille, above which it decides the placement of cold programs.
const PRESSURE_THRESHOLD: u16 = 500;

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
        let cost = PrefillCost { per_token: per_token * PREFILL_COST_FACTOR };
        let chooser = CacheAwareChooser {
            cost,
            remote_cost: REMOTE_PERMIT_COST,
            pressure_threshold: PRESSURE_THRESHOLD,
        };
        let need = EngineNeed { prompt: context.prompt_tokens(), cold: context.cold };
        let index = chooser.choose(&candidates, need)?;
        Some(engines.swap_remove(index))
    }

    /// Returns local engines, those that hold the program's prefix, and random others.
    fn sample(&self, engines: Vec<RosterEntry>, program: ProgramId) -> Vec<RosterEntry> {
        let mut scheduler = self.slot_scheduler.borrow_mut();
        let residency = self.residency.borrow();
        let preferred = |engine: &RosterEntry| {
            scheduler.slots.contains_key(&engine.id) || residency.holds(&engine.id, program)
        };
        let (mut chosen, mut others): (Vec<_>, Vec<_>) = engines.into_iter().partition(preferred);
        others.shuffle(&mut scheduler.rng);
        chosen.extend(others.into_iter().take(SAMPLE_SIZE));
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
        let reported = self.owner_load(scheduler.owners.get(&engine.id).map(|owner| &**owner));
        let class = reported_load(reported, context, model.slots);
        let hint = scheduler.hints.get(&engine.id).filter(|hint| hint.at.elapsed() < MAX_HINT_AGE);
        EngineCandidate {
            engine: engine.id.clone(),
            slots: model.slots,
            load: class.load,
            wait: hint.map_or(class.wait, |hint| hint.wait),
            resident,
            local: false,
            pressure: reported.pressure,
            occupancy: reported.hold(),
        }
    }

    /// Returns the mean engine load that the owner reported last, zero if it is unknown.
    fn owner_load(&self, owner: Option<&str>) -> MemberLoad {
        let members = self.members.borrow();
        let owner = owner.and_then(|owner| members.get(owner));
        owner.map_or(MemberLoad::default(), |member| member.load)
    }
}

/// Estimates a class's load on a remote engine from its owner's mean load.
fn reported_load(reported: MemberLoad, context: &CallContext, slots: usize) -> ClassLoad {
    let load = usize::from(reported.of(context.class)) * slots / 1000;
    let ahead = (load + 1).saturating_sub(slots) as u32;
    ClassLoad { load, wait: reported.hold() * ahead / slots as u32 }
}
