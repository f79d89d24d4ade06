//! Rows of the table that hold budgets, and what incarnations have drawn of them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::attempt::AttemptNumber;
use crate::core::ids::{Tokens, WorkspaceId};

/// A workspace's budget. `drawn <= limit` holds in every version of the row.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetRow {
    pub limit: Tokens,
    /// Sum of all grants to instances, less the returned tokens.
    pub drawn: Tokens,
    /// The part of `drawn` that is known to be spent; it never decreases.
    #[serde(default)]
    pub spent: Tokens,
}

impl BudgetRow {
    pub fn grantable(&self) -> Tokens {
        self.limit.saturating_sub(self.drawn)
    }

    /// A call that needs more can never run.
    pub fn unspent(&self) -> Tokens {
        self.limit.saturating_sub(self.spent)
    }
}

/// What one incarnation holds of all budgets, written in the transactions of its journal batches.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountRow {
    pub workspaces: BTreeMap<WorkspaceId, WorkspaceAccount>,
    /// Oldest open attempt; `spent` covers exactly the attempts before it.
    #[serde(default)]
    pub open_from: AttemptNumber,
    /// Wall time at which that attempt was reserved, or of the write if there was none.
    #[serde(default)]
    pub open_since_millis: u64,
}

/// One workspace's part of an [`AccountRow`], in tokens since the incarnation started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceAccount {
    pub drawn: Tokens,
    /// The incarnation spends no more than this before it writes the row again, so
    /// `drawn - ceiling` can be returned once it is fenced.
    pub ceiling: Tokens,
    pub spent: Tokens,
    /// The part of `spent` that is included in the budget row.
    #[serde(default)]
    pub reported: Tokens,
}

impl WorkspaceAccount {
    /// Certainly unspent once the incarnation is fenced.
    pub fn refundable(&self) -> Tokens {
        self.drawn.saturating_sub(self.ceiling)
    }

    /// Possibly spent when the incarnation was fenced.
    pub fn uncertain(&self) -> Tokens {
        self.ceiling.saturating_sub(self.spent)
    }
}

/// What a fenced incarnation may have spent, until the engines have reported the actual costs.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnresolvedSpending {
    /// Tokens that still count as drawn.
    pub workspaces: BTreeMap<WorkspaceId, Tokens>,
    /// First attempt whose cost the engines must report.
    pub open_from: AttemptNumber,
    /// Costs since then are needed, by the dead instance's wall clock.
    pub open_since_millis: u64,
    /// By the wall clock of the instance that closed the account.
    pub closed_millis: u64,
}
