//! Orders to engines: the lease needed to send them, and the orders of a rollout.

mod lease;
mod rollout;

pub use lease::{LeaseAction, LeaseRow, LeaseSettings, OrderLease};
pub use rollout::{
    EngineArtifact, EngineOrder, EngineRole, EngineState, FencedOrder, FencingToken, next_orders,
};
