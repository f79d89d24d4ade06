//! Tracks attempts in the order of their reservations until their costs are known.

use std::collections::BTreeMap;

use crate::core::ids::{Tokens, WorkspaceId};

/// Counts the attempts of an incarnation.
pub type AttemptNumber = u64;

#[derive(Debug)]
enum AttemptState {
    Open { since_millis: u64 },
    Settled { workspace: WorkspaceId, used: Tokens },
}

/// All attempts from the oldest open one on.
///
/// An account row names the oldest open attempt: `spent` covers those before it, and only the
/// engines know the costs from it on. Without that number, attempts settled before the last write
/// would be counted twice when the account of a dead incarnation is closed.
#[derive(Debug, Default)]
pub(super) struct AttemptWindow {
    attempts: BTreeMap<AttemptNumber, AttemptState>,
    next: AttemptNumber,
}

impl AttemptWindow {
    pub(super) fn open(&mut self, wall_millis: u64) -> AttemptNumber {
        let number = self.next;
        self.next += 1;
        self.attempts.insert(number, AttemptState::Open { since_millis: wall_millis });
        number
    }

    /// Returns the costs that no longer follow an older open attempt.
    pub(super) fn settle(
        &mut self,
        number: AttemptNumber,
        workspace: WorkspaceId,
        used: Tokens,
    ) -> Vec<(WorkspaceId, Tokens)> {
        self.attempts.insert(number, AttemptState::Settled { workspace, used });
        let mut closed = Vec::new();
        while let Some(first) = self.attempts.first_entry() {
            if matches!(first.get(), AttemptState::Open { .. }) {
                break;
            }
            if let AttemptState::Settled { workspace, used } = first.remove() {
                closed.push((workspace, used));
            }
        }
        closed
    }

    /// The number of the next attempt if none is open.
    pub(super) fn oldest_open(&self) -> AttemptNumber {
        self.attempts.first_key_value().map_or(self.next, |(number, _)| *number)
    }

    pub(super) fn oldest_open_since_millis(&self) -> Option<u64> {
        match self.attempts.first_key_value()?.1 {
            AttemptState::Open { since_millis } => Some(*since_millis),
            AttemptState::Settled { .. } => None,
        }
    }
}
