//! Tracks which engine holds which prefix, as estimated from calls and corrected by engine events.

mod working_set;

use std::collections::BTreeMap;

use crate::core::ids::{DefinitionName, ProgramId, Tokens, UpstreamId, WorkspaceId};

pub use working_set::WorkingSet;

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum PrefixKey {
    Program(ProgramId),
    /// Instructions common to all programs of a definition.
    Shared {
        workspace: WorkspaceId,
        definition: DefinitionName,
    },
}

#[derive(Debug, Clone, Copy)]
struct ResidentPrefix {
    tokens: Tokens,
    last_used: u64,
}

#[derive(Debug, Default)]
struct EngineCache {
    prefixes: BTreeMap<PrefixKey, ResidentPrefix>,
    total: Tokens,
}

/// Evicts the least recently used prefix first, as the engines do.
#[derive(Debug, Default)]
pub struct ResidencyMap {
    engines: BTreeMap<UpstreamId, EngineCache>,
    clock: u64,
}

impl ResidencyMap {
    /// Tokens of a program's prompt that an engine is expected to hold.
    pub fn resident(&self, engine: &str, program: ProgramId, shared: &PrefixKey) -> Tokens {
        let Some(cache) = self.engines.get(engine) else { return 0 };
        let tokens = |key: &PrefixKey| cache.prefixes.get(key).map_or(0, |prefix| prefix.tokens);
        tokens(&PrefixKey::Program(program)).max(tokens(shared))
    }

    /// Counts only the program's own history, not the shared prefix.
    pub fn holds(&self, engine: &str, program: ProgramId) -> bool {
        let cache = self.engines.get(engine);
        cache.is_some_and(|cache| cache.prefixes.contains_key(&PrefixKey::Program(program)))
    }

    /// Records that an engine has computed `tokens` of a prefix; `capacity` is its memory.
    pub fn touch(&mut self, engine: &str, key: PrefixKey, tokens: Tokens, capacity: Tokens) {
        self.clock += 1;
        let cache = self.engines.entry(engine.into()).or_default();
        let prefix = ResidentPrefix { tokens, last_used: self.clock };
        let old = cache.prefixes.insert(key, prefix).map_or(0, |prefix| prefix.tokens);
        cache.total = cache.total + tokens - old;
        while cache.total > capacity && cache.prefixes.len() > 1 {
            cache.evict_oldest();
        }
    }

    pub fn drop_program(&mut self, engine: &str, program: ProgramId) {
        if let Some(cache) = self.engines.get_mut(engine) {
            cache.remove(&PrefixKey::Program(program));
        }
    }

    /// To be called when an engine has restarted or left.
    pub fn drop_engine(&mut self, engine: &str) {
        self.engines.remove(engine);
    }
}

impl EngineCache {
    fn evict_oldest(&mut self) {
        let oldest = self.prefixes.iter().min_by_key(|(_, prefix)| prefix.last_used);
        if let Some(key) = oldest.map(|(key, _)| key.clone()) {
            self.remove(&key);
        }
    }

    fn remove(&mut self, key: &PrefixKey) {
        if let Some(prefix) = self.prefixes.remove(key) {
            self.total -= prefix.tokens;
        }
    }
}
