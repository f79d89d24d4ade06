//! Measurements of the real code, each one command away.

mod cores;
mod members;
mod path;
pub mod policy;
mod threads;
mod workspace_cores;

pub use cores::{CoreReport, CoreSlope, measure_cores};
pub use members::{MemberDisturbance, MemberReport, MemberScenario, measure_members};
pub use path::{PathReport, PathSettings, measure_path};
