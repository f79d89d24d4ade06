//! Small stand-ins for the platform and the upstreams, with switches for their faults.

mod engine;
mod fault;
mod gate;
mod network;
mod orders;
mod platform;
mod serve;
mod service;

pub use engine::{EngineSettings, StandinEngine, expected_answer};
pub use fault::{FaultSettings, FaultSwitch};
pub use gate::{GatedEngines, GatedPlatform, GatedServices, LocalUpstreams};
pub use network::{LinkFault, LocalHub, LocalPeers};
pub use orders::TakenOrder;
pub use platform::StandinPlatform;
pub use serve::{serve_engine, serve_platform, serve_service};
pub use service::{ServiceSettings, StandinService};
