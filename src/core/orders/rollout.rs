//! Which orders bring a model's engines nearer to what operators want.

use std::collections::BTreeMap;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::core::config::EngineGroupSpec;
use crate::core::ids::UpstreamId;

/// Rises with each holder of a lease; an engine may refuse a lower token than it has seen.
pub type FencingToken = u64;

/// What part of calls an engine takes.
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

/// A model's weights or an adapter, in one version.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EngineArtifact {
    pub name: Box<str>,
    pub version: Box<str>,
}

/// One order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "snake_case")]
pub enum EngineOrder {
    /// Loads a version from the weight store in place of any other of the same name.
    Load(EngineArtifact),
    Unload {
        name: Box<str>,
    },
    SetRole {
        role: EngineRole,
    },
}

/// An order as it goes to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencedOrder {
    pub fence: FencingToken,
    #[serde(flatten)]
    pub order: EngineOrder,
}

/// How an engine stands.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    pub loaded: Vec<EngineArtifact>,
    pub role: EngineRole,
    /// An order is being carried out, and no call is taken meanwhile.
    pub busy: bool,
}

/// The orders to send now: at most one an engine, and never so many that more than the wanted
/// share of the engines is away. An engine whose state is unknown counts as away.
///
/// At least one engine may be away, or a small group could never change.
pub fn next_orders(
    spec: &EngineGroupSpec,
    states: &BTreeMap<UpstreamId, Option<EngineState>>,
) -> Vec<(UpstreamId, EngineOrder)> {
    let limit = (states.len() * usize::from(spec.max_away_percent) / 100).max(1);
    let away = |state: &&Option<EngineState>| state.as_ref().is_none_or(|state| state.busy);
    let room = limit.saturating_sub(states.values().filter(away).count());
    let idle = states.iter().filter_map(|(engine, state)| {
        let state = state.as_ref().filter(|state| !state.busy)?;
        Some((engine.clone(), next_order(spec, state)?))
    });
    idle.take(room).collect()
}

fn next_order(spec: &EngineGroupSpec, state: &EngineState) -> Option<EngineOrder> {
    let missing = spec.artifacts.iter().find(|artifact| !state.loaded.contains(artifact));
    if let Some(artifact) = missing {
        return Some(EngineOrder::Load(artifact.clone()));
    }
    let wanted = |name: &str| spec.artifacts.iter().any(|artifact| &*artifact.name == name);
    if let Some(extra) = state.loaded.iter().find(|artifact| !wanted(&artifact.name)) {
        return Some(EngineOrder::Unload { name: extra.name.clone() });
    }
    (state.role != spec.role).then_some(EngineOrder::SetRole { role: spec.role })
}
