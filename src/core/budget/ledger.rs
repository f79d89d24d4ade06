//! Reservations against grants, in memory.

use std::collections::BTreeMap;

use super::account::LedgerAccount;
use super::attempt::{AttemptNumber, AttemptWindow};
use super::row::{AccountRow, BudgetRow, WorkspaceAccount};
use crate::core::ids::{Incarnation, Tokens, WorkspaceId};

/// Sizes of what is drawn at a time.
#[derive(Debug, Clone, Copy)]
pub struct LedgerSettings {
    /// Most tokens drawn beyond what waits.
    pub slice: Tokens,
    /// Tokens that may be spent between two commits beyond what is reserved.
    pub headroom: Tokens,
}

/// Tokens held for one attempt until it settles.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a reservation must be settled, or its tokens stay held"]
pub struct Reservation {
    pub workspace: WorkspaceId,
    pub tokens: Tokens,
    /// The attempt's number, by which an engine is asked for its cost after a crash.
    pub attempt: AttemptNumber,
    /// The incarnation that holds the tokens.
    pub epoch: Incarnation,
}

/// Answer to a request for tokens.
#[derive(Debug, PartialEq, Eq)]
pub enum ReserveOutcome {
    Held(Reservation),
    /// More has to be drawn first: ask again after the next commit.
    Draw,
    /// The row has too little left, but more is granted elsewhere and may come back.
    Scarce,
    /// The tokens are spent: no wait brings them back.
    Exhausted,
}

/// A wish to draw from a workspace's row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DrawRequest {
    pub workspace: WorkspaceId,
    /// What waiting calls need in all.
    pub needed: Tokens,
    /// The least that lets one of them run.
    pub least: Tokens,
}

/// What one commit changes in a workspace's row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GrantChange {
    pub workspace: WorkspaceId,
    pub granted: Tokens,
    pub returned: Tokens,
    /// Newly known to be spent.
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
    epoch: Incarnation,
    /// Tokens spent by accounts that are no longer kept.
    finished: Tokens,
}

impl BudgetLedger {
    pub fn new(settings: LedgerSettings, epoch: Incarnation) -> Self {
        let (accounts, attempts) = (BTreeMap::new(), AttemptWindow::default());
        Self { accounts, attempts, settings, epoch, finished: 0 }
    }

    /// Holds the worst case of an attempt, if the durable ceiling covers it.
    ///
    /// Spending up to a ceiling that is already in the table is what keeps a crash from hiding
    /// tokens: whatever this process does before its next write stays below it.
    pub fn reserve(&mut self, workspace: &str, tokens: Tokens, wall_millis: u64) -> ReserveOutcome {
        let account = self.accounts.entry(workspace.into()).or_default();
        let total = account.committed() + tokens;
        if total <= account.durable.ceiling {
            account.reserve(tokens);
            let attempt = self.attempts.open(wall_millis);
            let (workspace, epoch) = (workspace.into(), self.epoch);
            return ReserveOutcome::Held(Reservation { workspace, tokens, attempt, epoch });
        }
        if account.short && total > account.durable.drawn {
            account.short = false;
            let unreported = account.spent - account.durable.reported;
            return if account.row_unspent < unreported + tokens {
                ReserveOutcome::Exhausted
            } else {
                ReserveOutcome::Scarce
            };
        }
        account.want(tokens);
        ReserveOutcome::Draw
    }

    /// Ends a reservation with what the attempt really cost.
    ///
    /// One made before this instance was fenced is passed over: its tokens are counted by whoever
    /// closed the account of that incarnation.
    pub fn settle(&mut self, reservation: Reservation, used: Tokens) {
        if reservation.epoch != self.epoch {
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

    /// Marks what has not been used since the last review for its return to the rows.
    ///
    /// A grant that stays with an idle instance is refused to calls elsewhere although it is not
    /// spent.
    pub fn review(&mut self) {
        for account in self.accounts.values_mut() {
            account.review();
        }
    }

    /// What the next commit should draw from budget rows.
    pub fn draws(&self) -> Vec<DrawRequest> {
        let mut draws = Vec::new();
        for (workspace, account) in &self.accounts {
            let total = account.committed() + account.wanted;
            if account.wanted > 0 && total > account.durable.drawn {
                let needed = total - account.durable.drawn;
                let least = account.committed() + account.least;
                let least = least.saturating_sub(account.durable.drawn);
                draws.push(DrawRequest { workspace: workspace.clone(), needed, least });
            }
        }
        draws
    }

    /// The workspaces whose rows the next commit may change.
    pub fn touched(&self) -> Vec<WorkspaceId> {
        let touched = self.accounts.iter().filter(|(_, account)| {
            let drawing = account.committed() + account.wanted > account.durable.drawn;
            account.keep.is_some() || (account.wanted > 0 && drawing)
        });
        touched.map(|(workspace, _)| workspace.clone()).collect()
    }

    /// What to change in a row that stands like this; `None` leaves it alone.
    pub fn change(&self, workspace: &str, row: BudgetRow, instances: usize) -> Option<GrantChange> {
        let account = self.accounts.get(workspace)?;
        let draw = self.draws().into_iter().find(|draw| &*draw.workspace == workspace);
        let granted = draw.map_or(0, |draw| self.draw_amount(&draw, &row, instances));
        let returned = account.keep.map_or(0, |keep| account.surplus(keep));
        let reported = account.closed - account.durable.reported;
        if granted == 0 && returned == 0 && reported == 0 {
            return None;
        }
        // A row below what is to be returned shows that another instance has closed this account;
        // nothing is changed then, and the commit fails by the fence.
        let drawn = (row.drawn + granted).checked_sub(returned)?;
        let row = BudgetRow { drawn, spent: row.spent + reported, ..row };
        Some(GrantChange { workspace: workspace.into(), granted, returned, reported, row })
    }

    /// How much to draw from a row that stands like this; slices shrink as the limit comes near,
    /// so that the last tokens are not scattered over `instances` instances.
    fn draw_amount(&self, draw: &DrawRequest, row: &BudgetRow, instances: usize) -> Tokens {
        if row.grantable() < draw.least {
            return 0;
        }
        let fair = row.grantable() / (2 * instances.max(1) as Tokens);
        let extra = self.settings.slice.min(fair);
        (draw.needed + extra).min(row.grantable())
    }

    /// Whether calls wait for a commit that raises a ceiling or draws more, or grants go back.
    pub fn needs_commit(&self) -> bool {
        self.accounts.values().any(|account| account.wanted > 0 || account.keep.is_some())
    }

    /// Whether a commit would let a waiting call run without any change of grants.
    pub fn can_rise(&self) -> bool {
        self.accounts.values().any(|account| {
            let lowest = account.committed() + account.least;
            account.wanted > 0 && lowest <= account.durable.drawn
        })
    }

    /// The row to write together with these changes of grants.
    ///
    /// Ceilings that fall do so here and not at the commit's end: a reservation made while the
    /// write is under way would otherwise lean on a ceiling that the table no longer shows.
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
            let wish = account.committed() + account.wanted + self.settings.headroom;
            let next = WorkspaceAccount {
                drawn,
                ceiling: wish.min(drawn),
                spent: account.closed,
                reported: account.durable.reported + reported,
            };
            account.durable.ceiling = account.durable.ceiling.min(next.ceiling);
            row.workspaces.insert(workspace.clone(), next);
        }
        row
    }

    /// The row has been written. `draws` names the workspaces whose rows were asked, `rows` how
    /// those stand now.
    pub fn committed(
        &mut self,
        row: &AccountRow,
        draws: &[DrawRequest],
        rows: &BTreeMap<WorkspaceId, BudgetRow>,
    ) {
        for (workspace, written) in &row.workspaces {
            let account = self.accounts.entry(workspace.clone()).or_default();
            let granted = written.drawn.saturating_sub(account.durable.drawn);
            let asked = draws.iter().find(|draw| draw.workspace == *workspace);
            account.short = asked.is_some_and(|draw| granted < draw.needed);
            account.row_unspent = rows.get(workspace).map_or(0, BudgetRow::unspent);
            account.durable = *written;
            account.wanted = 0;
            account.keep = None;
        }
        // The row of an instance that lives long would name every workspace it ever served. Closing
        // a finished account changes nothing, so the next row may leave it out.
        let spent = &mut self.finished;
        self.accounts.retain(|_, account| {
            let finished = account.is_finished() && !account.short;
            if finished {
                *spent += account.spent;
            }
            !finished
        });
    }

    /// Nothing could be drawn and nothing was written.
    pub fn refused(&mut self, draws: &[DrawRequest], rows: &BTreeMap<WorkspaceId, BudgetRow>) {
        for account in self.accounts.values_mut() {
            account.wanted = 0;
            account.keep = None;
        }
        for draw in draws {
            let account = self.accounts.entry(draw.workspace.clone()).or_default();
            account.short = true;
            account.row_unspent = rows.get(&draw.workspace).map_or(0, BudgetRow::unspent);
        }
    }

    /// Tokens drawn and spent in all, for the metrics.
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
