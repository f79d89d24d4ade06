//! Runs the core on sockets and timers, against the platform's services.

mod audit;
mod batch;
pub mod callers;
pub mod calls;
mod config_sync;
mod engines;
mod gossip;
mod grants;
mod instance;
mod journal;
mod launch;
mod metrics;
pub mod operators;
mod orders;
mod ownership;
pub mod peers;
pub mod platform;
mod programs;
mod release;
mod roster;
mod shutdown;
pub mod upstream;

pub use config_sync::ChangeError;
pub use instance::{Node, NodeParts, start_node};
pub use journal::JournalError;
pub use launch::{LaunchError, NodeSockets, launch_node};
