//! The topics on which policies are compared, each with its variants.

use std::time::Duration;

use super::load::{FaultKind, FaultPlan, LoadProfile};
use super::setup::{
    ChoiceRule, HomeChoice, LoadKnowledge, PauseRule, PolicySetup, QueueOrder, SlotControl,
};
use super::table::PolicyVariant;
use crate::core::dispatch::ColdProgramLimits;

/// One matter to decide.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum BenchTopic {
    /// Order of an engine's queue under a surge of trial work.
    QueueOrder,
    /// How an engine is found when load is known late.
    EngineChoice,
    /// Where prefixes are kept at the peak near the memory limit.
    Cache,
    /// Engines that die or slow down, owners that move, loops and hung tools.
    Guards,
}

impl BenchTopic {
    /// The variants to compare, on engines and load divided by `parts`.
    pub fn variants(self, parts: u32) -> Vec<PolicyVariant> {
        match self {
            Self::QueueOrder => queue_order(&LoadProfile::sarhad().scaled(parts)),
            Self::EngineChoice => engine_choice(&LoadProfile::sarhad().scaled(parts)),
            Self::Cache => cache(&LoadProfile::register().scaled(parts)),
            Self::Guards => guards(&LoadProfile::sarhad().calm().scaled(parts)),
        }
    }
}

/// When faults strike, as a part of the run's length.
const FAULT_PART: u32 = 3;

fn variant(name: &'static str, setup: PolicySetup, profile: &LoadProfile) -> PolicyVariant {
    PolicyVariant { name, setup, profile: profile.clone() }
}

fn queue_order(surge: &LoadProfile) -> Vec<PolicyVariant> {
    let calm = surge.calm();
    let crowd = LoadProfile { paying_surge: 3.0, trial_surge: 1.0, ..surge.clone() };
    let long = LoadProfile { trial_output: 10, trial_surge: 3.0, ..surge.clone() };
    let patient = PolicySetup { preempt_after: None, ..PolicySetup::chosen() };
    let order = |order| PolicySetup { order, ..patient.clone() };
    let preempt = |millis| PolicySetup {
        preempt_after: Some(Duration::from_millis(millis)),
        ..PolicySetup::chosen()
    };
    vec![
        variant("first come, no surge", order(QueueOrder::FirstCome), &calm),
        variant("first come", order(QueueOrder::FirstCome), surge),
        variant("per call, no surge", order(QueueOrder::PerCall), &calm),
        variant("per call", order(QueueOrder::PerCall), surge),
        variant("least attained, never preempt, no surge", patient.clone(), &calm),
        variant("least attained, never preempt", patient.clone(), surge),
        variant("chosen: preempt after 250 ms, no surge", PolicySetup::chosen(), &calm),
        variant("chosen: preempt after 250 ms", PolicySetup::chosen(), surge),
        variant("least attained, preempt after 1 s", preempt(1000), surge),
        variant("least attained, preempt after 100 ms", preempt(100), surge),
        variant("least attained, preempt at once", preempt(0), surge),
        variant("10 times longer trial answers, never preempt", patient.clone(), &long),
        variant("10 times longer, preempt after 1 s", preempt(1000), &long),
        variant("10 times longer, chosen", PolicySetup::chosen(), &long),
        variant("10 times longer, preempt after 100 ms", preempt(100), &long),
        variant("3-fold paying load: first come", order(QueueOrder::FirstCome), &crowd),
        variant("3-fold paying load: per call", order(QueueOrder::PerCall), &crowd),
        variant("3-fold paying load: never preempt", patient, &crowd),
        variant("3-fold paying load: chosen", PolicySetup::chosen(), &crowd),
    ]
}

fn engine_choice(surge: &LoadProfile) -> Vec<PolicyVariant> {
    let calm = surge.calm();
    let first = PolicySetup::first();
    let chosen = PolicySetup::chosen();
    let control = |control| PolicySetup { control, ..first.clone() };
    let knowledge = |knowledge, setup: &PolicySetup| PolicySetup { knowledge, ..setup.clone() };
    let rule = |weight, remote_millis, crowded| PolicySetup {
        rule: ChoiceRule::CacheAware { weight, remote_millis, crowded },
        ..chosen.clone()
    };
    let patient = |setup: &PolicySetup| PolicySetup {
        patience: Some(Duration::from_millis(250)),
        ..setup.clone()
    };
    let sample = |sample, setup: PolicySetup| PolicySetup { sample, ..setup };
    let at_owner = PolicySetup { home: HomeChoice::EngineOwner, ..chosen.clone() };
    let replies = PolicySetup { replies: true, ..chosen.clone() };
    vec![
        variant("each alone, lagging load", control(SlotControl::Alone), surge),
        variant("power of two choices", control(SlotControl::TwoChoices), surge),
        variant("static shares", control(SlotControl::StaticShares), surge),
        variant("owner: first", first.clone(), surge),
        variant("first, 250 ms patience", patient(&first), surge),
        variant("first, member load", knowledge(LoadKnowledge::Members, &first), surge),
        variant("first, engine load", knowledge(LoadKnowledge::Engines, &first), surge),
        variant("first, sample 2", sample(Some(2), first.clone()), surge),
        variant("owner: chosen, no surge", chosen.clone(), &calm),
        variant("owner: chosen", chosen.clone(), surge),
        variant("chosen, replies tell load", replies, surge),
        variant("chosen, 250 ms patience", patient(&chosen), surge),
        variant("chosen, no sample", sample(None, chosen.clone()), surge),
        variant("chosen, sample 4", sample(Some(4), chosen.clone()), surge),
        variant("chosen, homed at the engine's owner", at_owner, surge),
        variant("chosen, own mean", knowledge(LoadKnowledge::OwnMean, &chosen), surge),
        variant("chosen, engine load", knowledge(LoadKnowledge::Engines, &chosen), surge),
        variant("chosen, refusals only", knowledge(LoadKnowledge::Refusals, &chosen), surge),
        variant("chosen, near 0 ms", rule(3, 0, 500), surge),
        variant("chosen, near 200 ms", rule(3, 200, 500), surge),
        variant("chosen, prefill weight 1", rule(1, 500, 500), surge),
    ]
}

fn cache(peak: &LoadProfile) -> Vec<PolicyVariant> {
    let chosen = PolicySetup::chosen();
    let hot = LoadProfile { paying_surge: 3.0, ..peak.clone() };
    let hotter = LoadProfile { paying_surge: 5.0, ..peak.clone() };
    let rule = |rule| PolicySetup { rule, ..chosen.clone() };
    let aware =
        |weight, crowded| rule(ChoiceRule::CacheAware { weight, remote_millis: 500, crowded });
    let at_owner = PolicySetup { home: HomeChoice::EngineOwner, ..chosen.clone() };
    let pause = |pause| PolicySetup { pause, ..chosen.clone() };
    let hold = |paying, trial| PolicySetup {
        admission: Some(ColdProgramLimits { paying, trial }),
        ..chosen.clone()
    };
    let open = PolicySetup { admission: None, ..chosen.clone() };
    vec![
        variant("least loaded", rule(ChoiceRule::LeastLoaded), peak),
        variant("sticky", rule(ChoiceRule::Sticky), peak),
        variant("cache aware, memory ignored", aware(3, u16::MAX), peak),
        variant("cache aware, prefill weight 1", aware(1, 500), peak),
        variant("chosen: cache aware, mark 500", chosen.clone(), peak),
        variant("chosen, mark 800", aware(3, 800), peak),
        variant("chosen, homed at the engine's owner", at_owner.clone(), peak),
        variant("chosen, drop over long pauses", pause(PauseRule::DropLong), peak),
        variant("chosen, drop over all pauses", pause(PauseRule::DropAll), peak),
        variant("chosen, export over long pauses", pause(PauseRule::ExportLong), peak),
        variant("chosen, newcomers not held back", open.clone(), peak),
        variant("3-fold: least loaded", rule(ChoiceRule::LeastLoaded), &hot),
        variant("3-fold: not held back", open.clone(), &hot),
        variant("3-fold: chosen", chosen.clone(), &hot),
        variant("3-fold: homed at the engine's owner", at_owner, &hot),
        variant("3-fold: held back at 1000/1000", hold(1000, 1000), &hot),
        variant("5-fold: least loaded", rule(ChoiceRule::LeastLoaded), &hotter),
        variant("5-fold: not held back", open, &hotter),
        variant("5-fold: chosen, held back at 1300/1000", chosen.clone(), &hotter),
        variant("5-fold: held back at 1000/1000", hold(1000, 1000), &hotter),
        variant("5-fold: held back at 1000/800", hold(1000, 800), &hotter),
        variant("5-fold: held back at 800/800", hold(800, 800), &hotter),
        variant("5-fold: export over long pauses", pause(PauseRule::ExportLong), &hotter),
    ]
}

fn guards(calm: &LoadProfile) -> Vec<PolicyVariant> {
    let chosen = PolicySetup::chosen();
    let blind = PolicySetup { watch_pace: false, ..chosen.clone() };
    let limited = PolicySetup {
        turn_limit: Some(57),
        tool_limit: Some(Duration::from_secs(10)),
        ..chosen.clone()
    };
    let at = calm.span / FAULT_PART;
    let fault = |kind| LoadProfile { faults: vec![FaultPlan { at, kind }], ..calm.clone() };
    let slow = fault(FaultKind::EngineSlows(0, 10));
    let loops = LoadProfile { loops: 60, ..calm.clone() };
    let hung = LoadProfile { hung_chance: 0.01, ..calm.clone() };
    vec![
        variant("no fault", chosen.clone(), calm),
        variant("an engine dies", chosen.clone(), &fault(FaultKind::EngineDies(0))),
        variant("an engine slows to a tenth, pace ignored", blind, &slow),
        variant("an engine slows to a tenth", chosen.clone(), &slow),
        variant("an engine's owner dies", chosen.clone(), &fault(FaultKind::OwnerMoves(0))),
        variant("60 loops, no limit", chosen.clone(), &loops),
        variant("60 loops, 57 turns at most", limited.clone(), &loops),
        variant("hung tools, no limit", chosen.clone(), &hung),
        variant("hung tools, 10 s at most", limited, &hung),
    ]
}
