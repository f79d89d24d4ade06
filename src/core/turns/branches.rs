//! Records which engine holds the prompt prefix of each branch of a program.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::core::ids::UpstreamId;
use crate::core::upstreams::StartMillis;

/// Chosen by the caller. In a branch each turn continues the one before.
pub type BranchName = Box<str>;

/// Exceeds the number of sub-agents that one program runs at once.
const MAX_BRANCHES: usize = 16;

/// The engine that ran a turn, and so holds its prompt and its output.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixHolder {
    /// The branch of that turn; stored and sent as `line`.
    pub line: Option<BranchName>,
    pub upstream: UpstreamId,
    /// Incarnation of the engine; absent if the engine does not report it.
    pub born: Option<StartMillis>,
}

/// The holders of a program's most recent branches, the latest last.
#[derive(Debug, Clone, Default)]
pub struct PrefixHolders {
    holders: VecDeque<PrefixHolder>,
}

impl PrefixHolders {
    pub fn record(&mut self, holder: PrefixHolder) {
        self.holders.retain(|known| known.line != holder.line);
        self.holders.push_back(holder);
        if self.holders.len() > MAX_BRANCHES {
            self.holders.pop_front();
        }
    }

    /// Falls back to the latest branch: a new branch starts with a prefix of another one.
    pub fn holder(&self, branch: Option<&BranchName>) -> Option<&PrefixHolder> {
        let own = self.holders.iter().find(|known| known.line.as_ref() == branch);
        own.or(self.holders.back())
    }
}
