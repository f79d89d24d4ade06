//! The configuration known to one instance, and how recently it was known to be current.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use super::change::{ChangeBody, ConfigChange, DefinitionSpec, WorkspaceSpec};
use super::engines::EngineGroupSpec;
use crate::core::ids::{ConfigVersion, DefinitionName, WorkspaceId};

#[derive(Debug, Clone, PartialEq)]
pub struct Versioned<T> {
    pub version: ConfigVersion,
    pub value: T,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApplyOutcome {
    Applied,
    Old,
    Gap,
}

/// No change above `head` had been accepted at `at`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct HeadObservation {
    head: ConfigVersion,
    at: Instant,
}

/// No change above `head` had been accepted `age` ago.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeadBound {
    pub head: ConfigVersion,
    pub age: Duration,
}

/// All objects set by operators, up to one version.
#[derive(Debug, Default)]
pub struct ConfigView {
    version: ConfigVersion,
    /// The highest version known to exist; above `version` while changes are missing.
    head: ConfigVersion,
    observation: Option<HeadObservation>,
    /// Latest time at which `version` was known to be the newest.
    current_at: Option<Instant>,
    workspaces: BTreeMap<WorkspaceId, Versioned<WorkspaceSpec>>,
    definitions: BTreeMap<(WorkspaceId, DefinitionName), Versioned<DefinitionSpec>>,
    engine_groups: BTreeMap<Box<str>, Versioned<EngineGroupSpec>>,
    log: Vec<ConfigChange>,
}

/// Peers that lag further read the table. At a change every five seconds the log covers twenty
/// minutes. Its memory has to be bounded, as a shared prefix has up to 256 KB.
const MAX_LOG_CHANGES: usize = 256;

impl ConfigView {
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    pub fn head(&self) -> ConfigVersion {
        self.head
    }

    /// Applies a change if its version directly follows the current one.
    pub fn apply(&mut self, change: &ConfigChange) -> ApplyOutcome {
        self.head = self.head.max(change.version);
        if change.version <= self.version {
            return ApplyOutcome::Old;
        }
        if change.version > self.version + 1 {
            return ApplyOutcome::Gap;
        }
        self.set(change.version, &change.body);
        self.version = change.version;
        self.update_current_at();
        self.log.push(change.clone());
        if self.log.len() > MAX_LOG_CHANGES {
            self.log.drain(..MAX_LOG_CHANGES / 2);
        }
        ApplyOutcome::Applied
    }

    /// Loads one object of a snapshot taken at or after [`ConfigView::version`].
    pub fn load(&mut self, version: ConfigVersion, body: &ChangeBody) {
        self.set(version, body);
    }

    /// Completes the loading of a snapshot that contains all changes up to `version`.
    pub fn finish_load(&mut self, version: ConfigVersion) {
        self.version = self.version.max(version);
        self.head = self.head.max(version);
        self.update_current_at();
    }

    /// Skips older values: a snapshot may hold objects newer than the log entries replayed after it.
    fn set(&mut self, version: ConfigVersion, body: &ChangeBody) {
        if self.object_version(body) >= version {
            return;
        }
        match body {
            ChangeBody::Workspace(spec) => {
                let value = Versioned { version, value: spec.clone() };
                self.workspaces.insert(spec.id.clone(), value);
            }
            ChangeBody::Definition(spec) => {
                let key = (spec.workspace.clone(), spec.name.clone());
                let value = Versioned { version, value: spec.clone() };
                self.definitions.insert(key, value);
            }
            ChangeBody::EngineGroup(spec) => {
                let value = Versioned { version, value: spec.clone() };
                self.engine_groups.insert(spec.model.clone(), value);
            }
        }
    }

    /// Records that `head` exists, without a claim that nothing newer does.
    pub fn raise_head(&mut self, head: ConfigVersion) {
        self.head = self.head.max(head);
    }

    pub fn is_behind(&self) -> bool {
        self.version < self.head
    }

    /// Records that no change above `head` had been accepted at `at`, by this instance's clock.
    ///
    /// If the time is not known exactly, `at` must be earlier, never later: otherwise the view counts
    /// as current for longer than its bound, and a retired workspace is still served.
    pub fn observe_head(&mut self, head: ConfigVersion, at: Instant) {
        self.head = self.head.max(head);
        if self.observation.is_none_or(|known| known.at < at) {
            self.observation = Some(HeadObservation { head, at });
        }
        self.update_current_at();
    }

    fn update_current_at(&mut self) {
        let Some(observation) = self.observation else { return };
        if self.version >= observation.head {
            self.current_at = self.current_at.max(Some(observation.at));
        }
    }

    /// Time since this view was last known to be the newest.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.current_at.map(|at| now.saturating_duration_since(at))
    }

    pub fn head_bound(&self, now: Instant) -> Option<HeadBound> {
        self.age(now).map(|age| HeadBound { head: self.version, age })
    }

    /// Returns whether this view was the newest within the last `bound`.
    ///
    /// An instance partitioned from table and peers must take no new work once this is false, or it
    /// would serve a retired workspace.
    pub fn is_current(&self, now: Instant, bound: Duration) -> bool {
        self.age(now).is_some_and(|age| age <= bound)
    }

    pub fn workspace(&self, id: &str) -> Option<&Versioned<WorkspaceSpec>> {
        self.workspaces.get(id)
    }

    pub fn definition(&self, workspace: &str, name: &str) -> Option<&Versioned<DefinitionSpec>> {
        self.definitions.get(&(workspace.into(), name.into()))
    }

    pub fn workspaces(&self) -> impl Iterator<Item = &Versioned<WorkspaceSpec>> {
        self.workspaces.values()
    }

    pub fn definitions(&self) -> impl Iterator<Item = &Versioned<DefinitionSpec>> {
        self.definitions.values()
    }

    pub fn engine_group(&self, model: &str) -> Option<&Versioned<EngineGroupSpec>> {
        self.engine_groups.get(model)
    }

    pub fn engine_groups(&self) -> impl Iterator<Item = &Versioned<EngineGroupSpec>> {
        self.engine_groups.values()
    }

    /// Version of the object that `body` sets; 0 if it does not exist.
    pub fn object_version(&self, body: &ChangeBody) -> ConfigVersion {
        let found = match body {
            ChangeBody::Workspace(spec) => self.workspace(&spec.id).map(|found| found.version),
            ChangeBody::Definition(spec) => {
                self.definition(&spec.workspace, &spec.name).map(|found| found.version)
            }
            ChangeBody::EngineGroup(spec) => {
                self.engine_group(&spec.model).map(|found| found.version)
            }
        };
        found.unwrap_or(0)
    }

    /// Changes above `version`; `None` if some are no longer in the log.
    pub fn changes_since(&self, version: ConfigVersion) -> Option<Vec<ConfigChange>> {
        let newer: Vec<_> =
            self.log.iter().filter(|change| change.version > version).cloned().collect();
        let complete = newer.len() as u64 == self.version.saturating_sub(version);
        complete.then_some(newer)
    }
}
