//! Adds budget draws and returns to the transaction of a journal commit.

use std::collections::BTreeMap;
use std::rc::Rc;

use tokio::time::sleep;

use super::instance::Node;
use super::journal::{
    CONFIG_HEAD_KEY, MAX_RETRY_DELAY, MIN_RETRY_DELAY, UNFENCED_VERSION, budget_key,
    incarnation_key,
};
use super::platform::{RowKey, StoredRow, TableTransaction, parse_row};
use crate::core::budget::{AccountRow, BudgetRow, DrawRequest};
use crate::core::ids::{ConfigVersion, WorkspaceId};

pub(super) struct GrantPlan {
    draws: Vec<DrawRequest>,
    rows: BTreeMap<WorkspaceId, BudgetRow>,
    account: AccountRow,
    /// Configuration head, read together with the budget rows.
    pub(super) head: Option<ConfigVersion>,
    /// False if a commit without records can be skipped.
    pub(super) needed: bool,
}

#[derive(Default)]
struct BudgetRows {
    budgets: BTreeMap<WorkspaceId, (BudgetRow, u64)>,
    head: Option<ConfigVersion>,
    /// This incarnation has been fenced, and the rows already include its spending.
    fenced: bool,
}

impl Node {
    pub(crate) fn spawn_grant_review(self: Rc<Self>) {
        actix_rt::spawn(async move {
            while !self.is_stopped() {
                sleep(self.settings.limits.budget_idle_timeout()).await;
                self.ledger.borrow_mut().schedule_returns();
                if self.ledger.borrow().needs_commit() {
                    self.journal.request_commit();
                }
            }
        });
    }

    pub(super) async fn plan_grants(
        &self,
        mut transaction: TableTransaction,
    ) -> (TableTransaction, GrantPlan) {
        let pending = self.ledger.borrow().pending_workspaces();
        let found = self.read_budgets(&pending).await;
        let members = self.members.borrow().serving().count();
        let mut ledger = self.ledger.borrow_mut();
        let draws = ledger.draws();
        let (mut changes, mut rows) = (Vec::new(), BTreeMap::new());
        for (workspace, (row, version)) in found.budgets {
            let Some(change) = ledger.grant_change(&workspace, row, members) else {
                rows.insert(workspace, row);
                continue;
            };
            let key = budget_key(&workspace);
            transaction = transaction.check(key.clone(), version).put(key, &change.row);
            rows.insert(workspace, change.row);
            changes.push(change);
        }
        // A fenced incarnation always commits and so detects its fence. Refusing draws instead
        // would be wrong, as its ledger and the rows both count its spending.
        let needed = !changes.is_empty() || ledger.can_raise_ceiling() || found.fenced;
        let account = ledger.prepare_row(&changes, self.wall().as_millis() as u64);
        let head = found.head;
        (transaction, GrantPlan { draws, rows, account, head, needed })
    }

    async fn read_budgets(&self, workspaces: &[WorkspaceId]) -> BudgetRows {
        if workspaces.is_empty() {
            return BudgetRows::default();
        }
        let mut keys: Vec<RowKey> =
            vec![CONFIG_HEAD_KEY.into(), incarnation_key(self.incarnation())];
        keys.extend(workspaces.iter().map(|workspace| budget_key(workspace)));
        let mut found = self.read_until_answered(&keys).await.into_iter();
        let head = found.next().flatten();
        let fenced = found.next().flatten().is_some_and(|row| row.version != UNFENCED_VERSION);
        let head = Some(head.and_then(|row| parse_row(&row).ok()).unwrap_or(0));
        let mut budgets = BTreeMap::new();
        for (workspace, row) in workspaces.iter().zip(found) {
            let Some(row) = row else { continue };
            if let Ok(parsed) = parse_row::<BudgetRow>(&row) {
                budgets.insert(workspace.clone(), (parsed, row.version));
            }
        }
        BudgetRows { budgets, head, fenced }
    }

    async fn read_until_answered(&self, keys: &[RowKey]) -> Vec<Option<StoredRow>> {
        let mut retry = MIN_RETRY_DELAY;
        loop {
            match self.table.read(keys).await {
                Ok(found) => {
                    self.journal.set_failing(false);
                    return found;
                }
                Err(_) => self.journal.set_failing(true),
            }
            sleep(retry).await;
            retry = (retry * 2).min(MAX_RETRY_DELAY);
        }
    }

    pub(super) fn grants_committed(&self, plan: &GrantPlan) {
        let mut ledger = self.ledger.borrow_mut();
        ledger.apply_commit(&plan.account, &plan.draws, &plan.rows);
    }

    /// To be called when nothing was written because nothing could be drawn.
    pub(super) fn grants_refused(&self, plan: &GrantPlan) {
        self.ledger.borrow_mut().apply_refusal(&plan.draws, &plan.rows);
    }
}

impl GrantPlan {
    pub(super) fn account(&self) -> &AccountRow {
        &self.account
    }
}
