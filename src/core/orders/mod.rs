//! Orders to engines: who may give them, and which ones bring engines to their wanted state.

mod lease;
mod rollout;

pub use lease::{LeaseAction, LeaseRow, LeaseSettings, OrderLease};
pub use rollout::{
    EngineArtifact, EngineOrder, EngineRole, EngineState, FencedOrder, FencingNumber, next_orders,
};
