//! Places calls on engines and orders the engines' queues.

mod choice;
mod policy;
mod slots;

pub use choice::{
    CacheAwareChooser, EngineCandidate, EngineChooser, EngineNeed, LeastLoadedChooser, PrefillCost,
    StickyChooser,
};
pub use policy::{FirstComeFirstServed, LeastAttainedService, QueuePolicy, ShortestCallFirst};
pub use slots::{
    ClassLoad, ColdProgramLimits, EngineLoad, EngineSlots, ServiceClass, SlotEvent, SlotRequest,
    SlotRevocation,
};
