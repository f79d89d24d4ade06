//! Reserves tokens for attempts out of the grants that an incarnation has drawn.

use std::collections::BTreeMap;

use super::account::LedgerAccount;
use super::attempt::{AttemptNumber, AttemptWindow};
use super::row::{AccountRow, BudgetRow, WorkspaceAccount};
use crate::core::ids::{Incarnation, Tokens, WorkspaceId};

#[derive(Debug, Clone, Copy)]
pub struct LedgerSettings {
    /// Maximum drawn beyond what waiting calls need.
    pub slice: Tokens,
    /// Maximum spent between two commits beyond what is reserved.
    pub headroom: Tokens,
}

#[derive(Debug, PartialEq, Eq)]
#[must_use = "a reservation must be settled, or its tokens stay held"]
pub struct Reservation {
    pub workspace: WorkspaceId,
    pub tokens: Tokens,
    /// Engines are asked for the cost by this number after a crash.
    pub attempt: AttemptNumber,
    pub incarnation: Incarnation,
}

#[derive(Debug, PartialEq, Eq)]
pub enum ReserveOutcome {
    Held(Reservation),
    /// More must be drawn first: retry after the next commit.
    Draw,
    /// The row cannot cover it now, but other instances may return unspent grants.
    Scarce,
    /// Permanent: the tokens are spent.
    Exhausted,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DrawRequest {
    pub workspace: WorkspaceId,
    /// Covers all waiting calls.
    pub needed: Tokens,
    /// Covers the smallest of them.
    pub min_needed: Tokens,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GrantChange {
    pub workspace: WorkspaceId,
    pub granted: Tokens,
    pub returned: Tokens,
    /// Spending that this change adds to the row.
    pub reported: Tokens,
    /// The row after the change.
    pub row: BudgetRow,
}

/// Grants, reservations and spending of one incarnation.
#[derive(Debug)]
pub struct BudgetLedger {
    accounts: BTreeMap<WorkspaceId, LedgerAccount>,
    attempts: AttemptWindow,
    settings: LedgerSettings,
    incarnation: Incarnation,
    /// Tokens spent by accounts that have been removed.
    finished: Tokens,
}

impl BudgetLedger {
    pub fn new(settings: LedgerSettings, incarnation: Incarnation) -> Self {
        let (accounts, attempts) = (BTreeMap::new(), AttemptWindow::default());
        Self { accounts, attempts, settings, incarnation, finished: 0 }
    }

    /// Reserves the maximum cost of an attempt, if the durable ceiling covers it.
    ///
    /// Spending stays below a ceiling that is already in the table, so a crash hides no tokens.
    pub fn reserve(&mut self, workspace: &str, tokens: Tokens, wall_millis: u64) -> ReserveOutcome {
        let account = self.accounts.entry(workspace.into()).or_default();
        let total = account.committed() + tokens;
        if total <= account.durable.ceiling {
            account.reserve(tokens);
            let attempt = self.attempts.open(wall_millis);
            let (workspace, incarnation) = (workspace.into(), self.incarnation);
            return ReserveOutcome::Held(Reservation { workspace, tokens, attempt, incarnation });
        }
        if account.is_underfunded && total > account.durable.drawn {
            account.is_underfunded = false;
            let unreported = account.spent - account.durable.reported;
            return if account.row_unspent < unreported + tokens {
                ReserveOutcome::Exhausted
            } else {
                ReserveOutcome::Scarce
            };
        }
        account.request(tokens);
        ReserveOutcome::Draw
    }

    /// Replaces a reservation by the attempt's actual cost.
    ///
    /// A reservation of an earlier, fenced incarnation is ignored: the instance that closed that
    /// account counts its tokens.
    pub fn settle(&mut self, reservation: Reservation, used: Tokens) {
        if reservation.incarnation != self.incarnation {
            return;
        }
        let account = self.accounts.entry(reservation.workspace.clone()).or_default();
        account.reserved -= reservation.tokens;
        account.spent += used;
        let closed = self.attempts.settle(reservation.attempt, reservation.workspace, used);
        for (workspace, used) in closed {
            self.accounts.entry(workspace).or_default().closed += used;
        }
    }

    /// Schedules grants unused since the last call for return to the rows.
    ///
    /// A grant that an idle instance holds is unavailable to calls elsewhere.
    pub fn schedule_returns(&mut self) {
        for account in self.accounts.values_mut() {
            account.schedule_return();
        }
    }

    pub fn draws(&self) -> Vec<DrawRequest> {
        let mut draws = Vec::new();
        for (workspace, account) in &self.accounts {
            let total = account.committed() + account.requested;
            if account.requested > 0 && total > account.durable.drawn {
                let needed = total - account.durable.drawn;
                let min_needed = account.committed() + account.min_requested;
                let min_needed = min_needed.saturating_sub(account.durable.drawn);
                draws.push(DrawRequest { workspace: workspace.clone(), needed, min_needed });
            }
        }
        draws
    }

    /// Workspaces whose budget rows the next commit may change.
    pub fn pending_workspaces(&self) -> Vec<WorkspaceId> {
        let pending = self.accounts.iter().filter(|(_, account)| {
            let is_drawing = account.committed() + account.requested > account.durable.drawn;
            account.retained.is_some() || (account.requested > 0 && is_drawing)
        });
        pending.map(|(workspace, _)| workspace.clone()).collect()
    }

    /// The change to write, given the current `row`; none if there is nothing to write.
    pub fn grant_change(
        &self,
        workspace: &str,
        row: BudgetRow,
        instances: usize,
    ) -> Option<GrantChange> {
        let account = self.accounts.get(workspace)?;
        let draw = self.draws().into_iter().find(|draw| &*draw.workspace == workspace);
        let granted = draw.map_or(0, |draw| self.draw_amount(&draw, &row, instances));
        let returned = account.retained.map_or(0, |retained| account.surplus(retained));
        let reported = account.closed - account.durable.reported;
        if granted == 0 && returned == 0 && reported == 0 {
            return None;
        }
        // A row below what is to be returned shows that another instance has closed this account,
        // so the commit fails by the fence.
        let drawn = (row.drawn + granted).checked_sub(returned)?;
        let row = BudgetRow { drawn, spent: row.spent + reported, ..row };
        Some(GrantChange { workspace: workspace.into(), granted, returned, reported, row })
    }

    /// Draws shrink near the limit, so that the last tokens are not spread over all `instances`.
    fn draw_amount(&self, draw: &DrawRequest, row: &BudgetRow, instances: usize) -> Tokens {
        if row.grantable() < draw.min_needed {
            return 0;
        }
        let fair = row.grantable() / (2 * instances.max(1) as Tokens);
        let extra = self.settings.slice.min(fair);
        (draw.needed + extra).min(row.grantable())
    }

    /// Calls wait for a commit, or grants are to be returned.
    pub fn needs_commit(&self) -> bool {
        self.accounts.values().any(|account| account.requested > 0 || account.retained.is_some())
    }

    /// A commit would let a waiting call run without any change of grants.
    pub fn can_raise_ceiling(&self) -> bool {
        self.accounts.values().any(|account| {
            let min_total = account.committed() + account.min_requested;
            account.requested > 0 && min_total <= account.durable.drawn
        })
    }

    /// The account row to write together with these changes.
    ///
    /// Lowers ceilings before the write: a reservation made during it would otherwise rely on a
    /// ceiling that the table no longer shows.
    pub fn prepare_row(&mut self, changes: &[GrantChange], wall_millis: u64) -> AccountRow {
        let mut row = AccountRow {
            open_from: self.attempts.oldest_open(),
            open_since_millis: self.attempts.oldest_open_since_millis().unwrap_or(wall_millis),
            ..AccountRow::default()
        };
        for (workspace, account) in &mut self.accounts {
            let change = changes.iter().find(|change| change.workspace == *workspace);
            let granted = change.map_or(0, |change| change.granted);
            let returned = change.map_or(0, |change| change.returned);
            let reported = change.map_or(0, |change| change.reported);
            let drawn = account.durable.drawn + granted - returned;
            let desired = account.committed() + account.requested + self.settings.headroom;
            let next = WorkspaceAccount {
                drawn,
                ceiling: desired.min(drawn),
                spent: account.closed,
                reported: account.durable.reported + reported,
            };
            account.durable.ceiling = account.durable.ceiling.min(next.ceiling);
            row.workspaces.insert(workspace.clone(), next);
        }
        row
    }

    /// Applies a commit that wrote `row`; `rows` are the budget rows after it.
    pub fn apply_commit(
        &mut self,
        row: &AccountRow,
        draws: &[DrawRequest],
        rows: &BTreeMap<WorkspaceId, BudgetRow>,
    ) {
        for (workspace, written) in &row.workspaces {
            let account = self.accounts.entry(workspace.clone()).or_default();
            let granted = written.drawn.saturating_sub(account.durable.drawn);
            let asked = draws.iter().find(|draw| draw.workspace == *workspace);
            account.is_underfunded = asked.is_some_and(|draw| granted < draw.needed);
            account.row_unspent = rows.get(workspace).map_or(0, BudgetRow::unspent);
            account.durable = *written;
            account.requested = 0;
            account.retained = None;
        }
        // Otherwise the row would grow with every workspace ever served. Closing a finished account
        // changes nothing, so the next row may omit it.
        let spent = &mut self.finished;
        self.accounts.retain(|_, account| {
            let finished = account.is_finished() && !account.is_underfunded;
            if finished {
                *spent += account.spent;
            }
            !finished
        });
    }

    /// Nothing could be drawn, so nothing was written.
    pub fn apply_refusal(
        &mut self,
        draws: &[DrawRequest],
        rows: &BTreeMap<WorkspaceId, BudgetRow>,
    ) {
        for account in self.accounts.values_mut() {
            account.requested = 0;
            account.retained = None;
        }
        for draw in draws {
            let account = self.accounts.entry(draw.workspace.clone()).or_default();
            account.is_underfunded = true;
            account.row_unspent = rows.get(&draw.workspace).map_or(0, BudgetRow::unspent);
        }
    }

    /// For metrics.
    pub fn totals(&self) -> WorkspaceAccount {
        let mut totals = WorkspaceAccount {
            drawn: self.finished,
            ceiling: self.finished,
            spent: self.finished,
            ..WorkspaceAccount::default()
        };
        for account in self.accounts.values() {
            totals.drawn += account.durable.drawn;
            totals.ceiling += account.durable.ceiling;
            totals.spent += account.spent;
        }
        totals
    }
}
