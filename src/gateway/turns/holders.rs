//! Remembers which engines ran the latest turns of programs whose history is not stored.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::core::turns::{BranchName, PrefixHolder, PrefixHolders, ProgramName};

/// A program unused for this long has ended or pauses, and its prefix is likely evicted.
const HOLDER_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
const MIN_PRUNE_COUNT: usize = 1_024;

struct ProgramHolders {
    holders: PrefixHolders,
    used_at: Instant,
}

pub(super) struct HolderTable {
    programs: HashMap<ProgramName, ProgramHolders>,
    prune_at: usize,
}

impl Default for HolderTable {
    fn default() -> Self {
        Self { programs: HashMap::new(), prune_at: MIN_PRUNE_COUNT }
    }
}

impl HolderTable {
    pub(super) fn record(&mut self, program: &ProgramName, holder: PrefixHolder) {
        self.prune();
        let now = Instant::now();
        let known = self.programs.entry(program.clone());
        let known = known
            .or_insert_with(|| ProgramHolders { holders: PrefixHolders::default(), used_at: now });
        known.used_at = now;
        known.holders.record(holder);
    }

    pub(super) fn holder(
        &self,
        program: &str,
        branch: Option<&BranchName>,
    ) -> Option<PrefixHolder> {
        self.programs.get(program)?.holders.holder(branch).cloned()
    }

    fn prune(&mut self) {
        if self.programs.len() < self.prune_at {
            return;
        }
        self.programs.retain(|_, known| known.used_at.elapsed() <= HOLDER_IDLE_TIMEOUT);
        self.prune_at = MIN_PRUNE_COUNT.max(self.programs.len() * 2);
    }
}
