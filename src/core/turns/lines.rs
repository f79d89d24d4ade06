//! Where the lines of a program ran last.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::core::ids::UpstreamId;
use crate::core::upstreams::StartMillis;

/// Name of a line of turns that follow one another, chosen by its caller.
pub type LineName = Box<str>;

/// Lines of a program that are remembered; sub-agents that run at once are fewer.
const MAX_LINES: usize = 16;

/// The engine that ran a turn, and so holds its prompt and what it generated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LineHolder {
    pub line: Option<LineName>,
    pub upstream: UpstreamId,
    /// Start time of its incarnation, if known.
    pub born: Option<StartMillis>,
}

/// Where the last turn of each line of a program ran, the latest last.
#[derive(Debug, Clone, Default)]
pub struct LineHolders {
    holders: VecDeque<LineHolder>,
}

impl LineHolders {
    pub fn note(&mut self, holder: LineHolder) {
        self.holders.retain(|known| known.line != holder.line);
        self.holders.push_back(holder);
        if self.holders.len() > MAX_LINES {
            self.holders.pop_front();
        }
    }

    /// Who holds what a turn of a line goes on from. A new line begins with the prompt of another one
    /// of the program.
    pub fn holder(&self, line: Option<&LineName>) -> Option<&LineHolder> {
        let own = self.holders.iter().find(|known| known.line.as_ref() == line);
        own.or(self.holders.back())
    }
}
