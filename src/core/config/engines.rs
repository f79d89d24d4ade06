//! Desired state of a model's engines.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::change::{InvalidSpec, check_name};
use crate::core::orders::{EngineArtifact, EngineRole};

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineGroupSpec {
    pub model: Box<str>,
    /// The exact set that each engine loads; names are unique.
    pub artifacts: Vec<EngineArtifact>,
    pub role: EngineRole,
    /// Share of the engines that may be out of service for orders at a time, 1 to 100.
    pub max_away_percent: u8,
}

const MAX_ARTIFACTS: usize = 256;

impl EngineGroupSpec {
    pub(super) fn check(&self) -> Result<(), InvalidSpec> {
        if self.model.is_empty() {
            return Err(InvalidSpec::new("model", &self.model, "the name of a model"));
        }
        if !(1..=100).contains(&self.max_away_percent) {
            return Err(InvalidSpec::new("max_away_percent", self.max_away_percent, "1 to 100"));
        }
        let count = self.artifacts.len();
        if count > MAX_ARTIFACTS {
            return Err(InvalidSpec::new("number of artifacts", count, "at most 256"));
        }
        let mut names = BTreeSet::new();
        for artifact in &self.artifacts {
            check_name("artifact name", &artifact.name)?;
            check_name("artifact version", &artifact.version)?;
            if !names.insert(&artifact.name) {
                return Err(InvalidSpec::new("artifact name", &artifact.name, "named once"));
            }
        }
        Ok(())
    }
}
