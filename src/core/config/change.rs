//! Entries of the configuration's change log and the checks of their values.

use std::time::Duration;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use super::engines::EngineGroupSpec;
use crate::core::dispatch::ServiceClass;
use crate::core::ids::{ConfigVersion, DefinitionName, Tokens, WorkspaceId};
use crate::core::timeline::CausalStamp;

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceSpec {
    pub id: WorkspaceId,
    pub class: ServiceClass,
    pub budget: Tokens,
    /// Share within the class, 1 to 1000.
    pub priority: u16,
    pub retired: bool,
}

/// A registered agent program.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DefinitionSpec {
    pub name: DefinitionName,
    pub workspace: WorkspaceId,
    pub model: Box<str>,
    pub shared_prefix: Box<str>,
    pub max_turns: u32,
    pub max_tokens: Tokens,
    pub idle_limit: Duration,
    pub retired: bool,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "object", rename_all = "snake_case")]
pub enum ChangeBody {
    Workspace(WorkspaceSpec),
    Definition(DefinitionSpec),
    EngineGroup(EngineGroupSpec),
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigChange {
    pub version: ConfigVersion,
    pub stamp: CausalStamp,
    pub body: ChangeBody,
}

const MAX_PRIORITY: u16 = 1000;
const MAX_NAME_BYTES: usize = 64;
const MAX_SHARED_PREFIX_BYTES: usize = 256 * 1024;

/// A value that is out of its allowed range.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{field} is '{value}', but must be {allowed}")]
pub struct InvalidSpec {
    pub field: &'static str,
    pub value: Box<str>,
    pub allowed: &'static str,
}

impl InvalidSpec {
    pub(super) fn new(field: &'static str, value: impl ToString, allowed: &'static str) -> Self {
        Self { field, value: value.to_string().into(), allowed }
    }
}

pub(super) fn check_name(field: &'static str, name: &str) -> Result<(), InvalidSpec> {
    let plain = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(plain) {
        return Err(InvalidSpec::new(field, name, "1 to 64 characters of a-z, 0-9 and '-'"));
    }
    Ok(())
}

impl ChangeBody {
    /// Key of the object's row, relative to the configuration prefix of the table.
    pub fn key(&self) -> Box<str> {
        match self {
            Self::Workspace(spec) => format!("workspace/{}", spec.id).into(),
            Self::Definition(spec) => format!("definition/{}/{}", spec.workspace, spec.name).into(),
            Self::EngineGroup(spec) => format!("engines/{}", spec.model).into(),
        }
    }

    /// Checks the values without reference to other objects.
    pub fn check(&self) -> Result<(), InvalidSpec> {
        match self {
            Self::Workspace(spec) => spec.check(),
            Self::Definition(spec) => spec.check(),
            Self::EngineGroup(spec) => spec.check(),
        }
    }
}

impl WorkspaceSpec {
    fn check(&self) -> Result<(), InvalidSpec> {
        check_name("workspace id", &self.id)?;
        if self.priority == 0 || self.priority > MAX_PRIORITY {
            return Err(InvalidSpec::new("priority", self.priority, "1 to 1000"));
        }
        Ok(())
    }
}

impl DefinitionSpec {
    fn check(&self) -> Result<(), InvalidSpec> {
        check_name("definition name", &self.name)?;
        check_name("workspace id", &self.workspace)?;
        if self.model.is_empty() {
            return Err(InvalidSpec::new("model", &self.model, "the name of a model"));
        }
        if self.max_turns == 0 {
            return Err(InvalidSpec::new("max_turns", self.max_turns, "at least 1"));
        }
        if self.max_tokens == 0 {
            return Err(InvalidSpec::new("max_tokens", self.max_tokens, "at least 1"));
        }
        if self.idle_limit.is_zero() {
            return Err(InvalidSpec::new("idle_seconds", 0, "at least 1"));
        }
        if self.shared_prefix.len() > MAX_SHARED_PREFIX_BYTES {
            let length = self.shared_prefix.len();
            return Err(InvalidSpec::new("shared_prefix length", length, "at most 262144 bytes"));
        }
        Ok(())
    }
}
