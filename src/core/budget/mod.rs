//! Spending limits: grants drawn from a workspace's row and reservations made on them.

mod account;
mod attempt;
mod ledger;
mod row;

pub use attempt::AttemptNumber;
pub use ledger::{
    BudgetLedger, DrawRequest, GrantChange, LedgerSettings, Reservation, ReserveOutcome,
};
pub use row::{AccountRow, BudgetRow, UnresolvedSpending, WorkspaceAccount};
