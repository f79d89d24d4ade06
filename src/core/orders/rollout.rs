//! Plans the orders that bring the engines of a model to their desired state.

use std::collections::BTreeMap;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::core::config::EngineGroupSpec;
use crate::core::ids::UpstreamId;

/// Rises with each holder of a lease; an engine may refuse a lower token than it has seen.
pub type FencingToken = u64;

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Prefill and decoding.
    #[default]
    #[display("mixed")]
    Mixed,
    #[display("prefill")]
    Prefill,
    #[display("decode")]
    Decode,
}

/// A version of the weights of a model or of an adapter.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EngineArtifact {
    pub name: Box<str>,
    pub version: Box<str>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "snake_case")]
pub enum EngineOrder {
    /// Loads a version from the weight store, replacing any other version of the same name.
    Load(EngineArtifact),
    Unload {
        name: Box<str>,
    },
    SetRole {
        role: EngineRole,
    },
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencedOrder {
    pub fence: FencingToken,
    #[serde(flatten)]
    pub order: EngineOrder,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    pub loaded: Vec<EngineArtifact>,
    pub role: EngineRole,
    /// The engine is executing an order and accepts no calls.
    pub busy: bool,
}

/// Returns the orders to send now, at most one per engine, so that no more than
/// `max_away_percent` of the engines are unavailable. An engine of unknown state is unavailable.
///
/// The limit is at least one engine, or a small group could never change.
pub fn next_orders(
    spec: &EngineGroupSpec,
    states: &BTreeMap<UpstreamId, Option<EngineState>>,
) -> Vec<(UpstreamId, EngineOrder)> {
    let limit = (states.len() * usize::from(spec.max_away_percent) / 100).max(1);
    let unavailable = |state: &&Option<EngineState>| state.as_ref().is_none_or(|state| state.busy);
    let capacity = limit.saturating_sub(states.values().filter(unavailable).count());
    let idle = states.iter().filter_map(|(engine, state)| {
        let state = state.as_ref().filter(|state| !state.busy)?;
        Some((engine.clone(), next_order(spec, state)?))
    });
    idle.take(capacity).collect()
}

fn next_order(spec: &EngineGroupSpec, state: &EngineState) -> Option<EngineOrder> {
    let missing = spec.artifacts.iter().find(|artifact| !state.loaded.contains(artifact));
    if let Some(artifact) = missing {
        return Some(EngineOrder::Load(artifact.clone()));
    }
    let desired = |name: &str| spec.artifacts.iter().any(|artifact| &*artifact.name == name);
    if let Some(extra) = state.loaded.iter().find(|artifact| !desired(&artifact.name)) {
        return Some(EngineOrder::Unload { name: extra.name.clone() });
    }
    (state.role != spec.role).then_some(EngineOrder::SetRole { role: spec.role })
}
