//! The replicated configuration: a log of changes, applied in version order.

mod change;
mod engines;
mod source;
mod view;

pub use change::{ChangeBody, ConfigChange, DefinitionSpec, InvalidSpec, WorkspaceSpec};
pub use engines::EngineGroupSpec;
pub use source::{HeadSource, head_source};
pub use view::{ApplyOutcome, ConfigView, HeadBound, Versioned};
