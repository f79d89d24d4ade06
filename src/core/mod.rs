//! Decision logic without I/O: modules take messages and the current time and return values.

pub mod admission;
pub mod budget;
pub mod cache;
pub mod config;
pub mod decay;
pub mod dispatch;
pub mod history;
pub mod ids;
pub mod limits;
pub mod load;
pub mod members;
pub mod memory;
pub mod orders;
pub mod outcome;
pub mod ownership;
pub mod quotas;
pub mod repeats;
pub mod routing;
pub mod timeline;
pub mod turns;
pub mod upstreams;
pub mod workspaces;
