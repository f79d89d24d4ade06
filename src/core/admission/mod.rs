//! Admission of programs at their first turn, so that under overload the engines run programs that
//! can still end in time.
//!
//! [`ProgramAdmission`] decides from the load of all instances. [`AdmissionGate`] decides from the
//! waits that this instance observes, where the load of the others is unknown.

mod deadline;
mod gate;
mod level;
mod priorities;
mod programs;
mod retry;
mod returns;
mod setpoint;

pub use deadline::{ExpectedStart, first_event_timeout, retry_delay};
pub use gate::{AdmissionGate, AdmissionReply, AdmissionRequest};
pub use programs::{ProgramAdmission, ProgramDecision, ProgramRequest, StartedTurn};
pub use retry::RetryBudget;
