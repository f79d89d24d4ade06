//! One workspace's account in memory.

use super::row::WorkspaceAccount;
use crate::core::ids::Tokens;

/// An account in use retains this multiple of what it used in the last review period.
const RETAINED_USE_FACTOR: Tokens = 4;

#[derive(Debug, Default)]
pub(super) struct LedgerAccount {
    pub(super) durable: WorkspaceAccount,
    pub(super) spent: Tokens,
    /// The part of `spent` whose attempts have no older open one.
    pub(super) closed: Tokens,
    pub(super) reserved: Tokens,
    /// Sum of the waiting calls' tokens, on top of `committed`.
    pub(super) requested: Tokens,
    pub(super) min_requested: Tokens,
    /// The row did not cover the last draw.
    pub(super) is_underfunded: bool,
    /// [`BudgetRow::unspent`](super::row::BudgetRow::unspent) when the row was last read.
    pub(super) row_unspent: Tokens,
    /// Tokens to retain when the next commit returns the rest; absent if it returns nothing.
    pub(super) retained: Option<Tokens>,
    /// `spent` at the start of the review period, and the highest `committed` since.
    period_spent: Tokens,
    period_peak: Tokens,
}

impl LedgerAccount {
    pub(super) fn committed(&self) -> Tokens {
        self.spent + self.reserved
    }

    pub(super) fn reserve(&mut self, tokens: Tokens) {
        self.reserved += tokens;
        self.period_peak = self.period_peak.max(self.committed());
    }

    pub(super) fn request(&mut self, tokens: Tokens) {
        self.min_requested =
            if self.requested == 0 { tokens } else { self.min_requested.min(tokens) };
        self.requested += tokens;
    }

    pub(super) fn schedule_return(&mut self) {
        let used = self.period_peak.saturating_sub(self.period_spent);
        let retained = self.period_spent + used * RETAINED_USE_FACTOR;
        self.period_spent = self.spent;
        self.period_peak = self.committed();
        let surplus = self.surplus(retained);
        let unreported = used == 0 && self.closed > self.durable.reported;
        self.retained = (surplus > 0 || unreported).then_some(retained);
    }

    /// Nothing is left to use, return or report. Reservations lie below the ceiling, so none is
    /// open then.
    pub(super) fn is_finished(&self) -> bool {
        let spent = self.spent;
        self.durable == WorkspaceAccount { drawn: spent, ceiling: spent, spent, reported: spent }
    }

    /// Tokens to return if at least `retained` of those drawn stay.
    pub(super) fn surplus(&self, retained: Tokens) -> Tokens {
        let used = self.committed() + self.requested;
        self.durable.drawn.saturating_sub(used.max(retained))
    }
}
