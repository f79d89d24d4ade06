//! Look-up of the workspaces of one configuration version by API key.

use std::collections::HashMap;
use std::rc::Rc;

use derive_more::Display;

use super::{ApiKey, WorkspaceSpec};
use crate::core::ids::WorkspaceId;

/// A configured key that is ignored for at least one workspace.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum InvalidKey {
    /// Would admit callers that send an empty key.
    #[display("workspace '{workspace}' has an empty key, which is ignored")]
    Empty { workspace: WorkspaceId },
    #[display("workspaces '{holder}' and '{other}' share a key; it stays with '{holder}'")]
    Shared { holder: WorkspaceId, other: WorkspaceId },
}

/// Workspaces by key and name. The map's hash is seeded at random in each process, so that the time
/// of a look-up does not reveal how much of a guessed key is right.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct WorkspaceTable {
    by_key: HashMap<ApiKey, Rc<WorkspaceSpec>>,
    by_name: HashMap<WorkspaceId, Rc<WorkspaceSpec>>,
    invalid_keys: Vec<InvalidKey>,
}

impl WorkspaceTable {
    pub fn new(specs: impl IntoIterator<Item = WorkspaceSpec>) -> Self {
        let mut table = Self::default();
        for spec in specs {
            let spec = Rc::new(spec);
            for key in &spec.keys {
                let invalid = table.add_key(key, &spec);
                table.invalid_keys.extend(invalid);
            }
            table.by_name.entry(spec.name.clone()).or_insert(spec);
        }
        table
    }

    fn add_key(&mut self, key: &ApiKey, spec: &Rc<WorkspaceSpec>) -> Option<InvalidKey> {
        if key.is_empty() {
            return Some(InvalidKey::Empty { workspace: spec.name.clone() });
        }
        let holder = self.by_key.entry(key.clone()).or_insert_with(|| spec.clone());
        let shared = holder.name != spec.name;
        shared.then(|| InvalidKey::Shared { holder: holder.name.clone(), other: spec.name.clone() })
    }

    pub fn find_by_key(&self, key: &ApiKey) -> Option<&Rc<WorkspaceSpec>> {
        self.by_key.get(key)
    }

    pub fn get(&self, name: &str) -> Option<&Rc<WorkspaceSpec>> {
        self.by_name.get(name)
    }

    /// Priorities of the workspaces that have their own.
    pub fn priorities(&self) -> impl Iterator<Item = u8> {
        self.by_name.values().filter_map(|spec| spec.priority)
    }

    pub fn invalid_keys(&self) -> &[InvalidKey] {
        &self.invalid_keys
    }

    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }
}
