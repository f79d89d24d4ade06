//! The policies that a run puts together.

use std::time::Duration;

use crate::core::dispatch::{
    CacheAwareChooser, ColdProgramLimits, EngineChooser, FirstComeFirstServed,
    LeastAttainedService, LeastLoadedChooser, PrefillCost, QueuePolicy, ShortestCallFirst,
    StickyChooser,
};

use super::engine::PREFILL_PER_TOKEN;

/// Order of an engine's queue.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum QueueOrder {
    FirstCome,
    PerCall,
    LeastAttained,
}

impl QueueOrder {
    pub(super) fn policy(self) -> Box<dyn QueuePolicy> {
        match self {
            Self::FirstCome => Box::new(FirstComeFirstServed),
            Self::PerCall => Box::new(ShortestCallFirst),
            Self::LeastAttained => Box::new(LeastAttainedService::default()),
        }
    }
}

/// Who decides about an engine's slots.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SlotControl {
    /// One instance owns an engine's queue and grants permits.
    Owner,
    /// Every instance sends as it likes; calls wait in the engine.
    Alone,
    /// As `Alone`, but each call looks at two random engines only.
    TwoChoices,
    /// Every instance has its own part of each engine's slots.
    StaticShares,
}

/// What an instance knows of the load of engines that it does not own.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LoadKnowledge {
    /// Only what a refusal told within the last two seconds.
    Refusals,
    /// What a refusal or a grant told within two seconds, else the mean of the instance's own
    /// engines.
    OwnMean,
    /// The mean load of the engine's owner, 0.5 to 3 s old, as gossip carries it.
    Members,
    /// The engine's own load, 0.5 to 3 s old.
    Engines,
}

/// Which of an instance's engines a program meets first.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum HomeChoice {
    /// The program lives where its start arrived.
    Entry,
    /// The program lives with the owner of the engine that was chosen for its first call.
    EngineOwner,
}

/// How an engine is chosen.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ChoiceRule {
    LeastLoaded,
    Sticky,
    /// By expected cost; a token to prefill counts `weight` times its time, as it also delays the
    /// other calls of the engine.
    CacheAware {
        weight: u32,
        remote_millis: u64,
        crowded: u16,
    },
}

impl ChoiceRule {
    pub(super) fn chooser(self) -> Box<dyn EngineChooser> {
        match self {
            Self::LeastLoaded => Box::new(LeastLoadedChooser),
            Self::Sticky => Box::new(StickyChooser),
            Self::CacheAware { weight, remote_millis, crowded } => {
                let cost = PrefillCost { per_token: PREFILL_PER_TOKEN * weight };
                {
                    let remote_cost = Duration::from_millis(remote_millis);
                    Box::new(CacheAwareChooser { cost, remote_cost, pressure_threshold: crowded })
                }
            }
        }
    }
}

/// What happens to a program's prefix while it pauses.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PauseRule {
    /// The engine evicts it when it needs the memory.
    Keep,
    /// It is dropped when the pause is of a kind that takes long.
    DropLong,
    DropAll,
    /// As `DropLong`, but exported and read back later.
    ExportLong,
}

/// One policy for everything that is decided.
#[derive(Debug, Clone, PartialEq)]
pub struct PolicySetup {
    pub order: QueueOrder,
    pub control: SlotControl,
    pub knowledge: LoadKnowledge,
    pub rule: ChoiceRule,
    pub home: HomeChoice,
    /// How long a call waits in one queue before an engine is chosen anew.
    pub patience: Option<Duration>,
    /// Whether owners tell their load with every answer.
    pub replies: bool,
    /// Random engines of others that a call looks at, beside its own and those that hold some of
    /// its prompt; all of them if absent.
    pub sample: Option<usize>,
    pub admission: Option<ColdProgramLimits>,
    pub pause: PauseRule,
    /// Whether engines that have become slow are avoided.
    pub watch_pace: bool,
    /// Calls that one program may make.
    pub turn_limit: Option<usize>,
    /// How long a tool may take.
    pub tool_limit: Option<Duration>,
    /// A trial call is cancelled for paying work that has waited for so long.
    pub preempt_after: Option<Duration>,
}

impl PolicySetup {
    /// What the node does.
    pub fn chosen() -> Self {
        Self {
            knowledge: LoadKnowledge::Members,
            rule: ChoiceRule::CacheAware { weight: 3, remote_millis: 500, crowded: 500 },
            sample: Some(2),
            preempt_after: Some(Duration::from_millis(250)),
            watch_pace: true,
            admission: Some(ColdProgramLimits { paying: 1300, trial: 1000 }),
            ..Self::first()
        }
    }

    /// Baseline of the comparisons; [`Self::chosen`] differs from it only in the fields it names.
    pub fn first() -> Self {
        Self {
            order: QueueOrder::LeastAttained,
            control: SlotControl::Owner,
            knowledge: LoadKnowledge::Refusals,
            rule: ChoiceRule::CacheAware { weight: 1, remote_millis: 0, crowded: u16::MAX },
            home: HomeChoice::Entry,
            patience: None,
            replies: false,
            sample: None,
            pause: PauseRule::Keep,
            watch_pace: false,
            turn_limit: None,
            tool_limit: None,
            admission: None,
            preempt_after: None,
        }
    }
}
