//! The configuration as one instance knows it.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use super::change::{ChangeBody, ConfigChange, DefinitionSpec, WorkspaceSpec};
use super::engines::EngineGroupSpec;
use crate::core::ids::{ConfigVersion, DefinitionName, WorkspaceId};

/// A value and the change that set it.
#[derive(Debug, Clone, PartialEq)]
pub struct Versioned<T> {
    pub version: ConfigVersion,
    pub value: T,
}

/// What became of a change that arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApplyOutcome {
    Applied,
    /// Already in force; nothing changed.
    Old,
    /// Changes in between are missing.
    Gap,
}

/// At `at`, no change above `head` had been accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct HeadObservation {
    head: ConfigVersion,
    at: Instant,
}

/// What one instance can tell others of the head: `age` ago, nothing above `head` existed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeadBound {
    pub head: ConfigVersion,
    pub age: Duration,
}

/// Everything operators have set, up to one version.
#[derive(Debug, Default)]
pub struct ConfigView {
    version: ConfigVersion,
    /// The highest head seen anywhere; above `version` while changes are missing.
    head: ConfigVersion,
    /// The latest moment at which the head is known not to have been above a version.
    observation: Option<HeadObservation>,
    /// A moment at which `version` was certainly the newest.
    current_at: Option<Instant>,
    workspaces: BTreeMap<WorkspaceId, Versioned<WorkspaceSpec>>,
    definitions: BTreeMap<(WorkspaceId, DefinitionName), Versioned<DefinitionSpec>>,
    engine_groups: BTreeMap<Box<str>, Versioned<EngineGroupSpec>>,
    log: Vec<ConfigChange>,
}

/// Changes kept to serve peers that lag. At a change each five seconds these last twenty minutes;
/// whoever lags further reads the table. More would not fit: a shared prefix has up to 256 KB.
const MAX_LOG_CHANGES: usize = 256;

impl ConfigView {
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    pub fn head(&self) -> ConfigVersion {
        self.head
    }

    /// Takes up a change if it is the very next one; an older value never replaces a newer one.
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

    /// Ends the loading of a snapshot.
    pub fn finish_load(&mut self, version: ConfigVersion) {
        self.version = self.version.max(version);
        self.head = self.head.max(version);
        self.update_current_at();
    }

    /// A snapshot may hold objects newer than the log entries replayed after it, so an older
    /// value is passed over here.
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

    /// A peer knows this version; it says nothing about newer ones.
    pub fn raise_head(&mut self, head: ConfigVersion) {
        self.head = self.head.max(head);
    }

    /// Whether a newer version is known to exist.
    pub fn is_behind(&self) -> bool {
        self.version < self.head
    }

    /// At `at`, by this instance's clock, no change above `head` had been accepted.
    ///
    /// The claim holds for every earlier moment too, so where the true moment is not known exactly
    /// a moment before it is sound and one after it is not: a view would pass for current longer
    /// than the bound, and a retired workspace would be served on.
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

    /// How long ago this view was certainly the newest.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.current_at.map(|at| now.saturating_duration_since(at))
    }

    /// What others may conclude from this view.
    pub fn head_bound(&self, now: Instant) -> Option<HeadBound> {
        self.age(now).map(|age| HeadBound { head: self.version, age })
    }

    /// Whether this view was the newest within the last `bound`.
    ///
    /// An instance cut off from table and peers would go on serving a retired workspace; taking
    /// no new work when this turns false keeps an accepted change in force everywhere.
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

    /// What operators want of the engines, by model.
    pub fn engine_groups(&self) -> impl Iterator<Item = &Versioned<EngineGroupSpec>> {
        self.engine_groups.values()
    }

    /// The version of the object a change would set; 0 if it does not exist.
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

    /// Changes above `version` for a peer; `None` if they are not all kept any more.
    pub fn changes_since(&self, version: ConfigVersion) -> Option<Vec<ConfigChange>> {
        let newer: Vec<_> =
            self.log.iter().filter(|change| change.version > version).cloned().collect();
        let complete = newer.len() as u64 == self.version.saturating_sub(version);
        complete.then_some(newer)
    }
}
