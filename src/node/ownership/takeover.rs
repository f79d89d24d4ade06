//! Taking over from an incarnation that is believed dead: fence it first, then claim.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use crate::core::budget::{AccountRow, BudgetRow, UnresolvedSpending};
use crate::core::ids::{Incarnation, ShardId};
use crate::core::ownership::IncarnationRow;
use crate::node::instance::Node;
use crate::node::journal::{
    UNFENCED, account_key, batch_key, budget_key, incarnation_key, journal_prefix, stranded_key,
};
use crate::node::platform::{RowKey, StoreError, TableTransaction, parse_row};

/// Where a suspect's journal ended when it was last looked at.
#[derive(Debug, Clone, Copy)]
pub(crate) struct JournalTail {
    next: u64,
    seen: Instant,
}

/// A journal that has not grown for so long is taken as a sign of death.
const TAIL_QUIET: Duration = Duration::from_millis(500);
const TAIL_PAGE: usize = 256;

impl Node {
    /// Takes shards over from an incarnation that the members call dead.
    ///
    /// A peer that only this instance cannot reach is not dead: if its journal still grows, it is
    /// left alone. Being wrong costs the other its shards for a moment, never a history, because
    /// every write of it fails once its row is fenced.
    pub(super) async fn take_over(
        self: &Rc<Self>,
        incarnation: Incarnation,
        shards: &[ShardId],
    ) -> Result<(), StoreError> {
        if !self.is_quiet(incarnation).await? {
            return Ok(());
        }
        self.fence(incarnation).await?;
        let ended_at = self.journal_end(incarnation, 0).await?;
        self.close_account(incarnation).await?;
        self.reread_shards(shards).await?;
        let still = |shard: &&ShardId| {
            let table = self.shards.borrow();
            table.owner(**shard).is_some_and(|owner| owner.incarnation == incarnation)
        };
        let left: Vec<ShardId> = shards.iter().filter(still).copied().collect();
        self.claim_shards(&left, Some(incarnation), ended_at).await?;
        self.suspects.borrow_mut().remove(&incarnation);
        Ok(())
    }

    pub(crate) async fn is_quiet(&self, incarnation: Incarnation) -> Result<bool, StoreError> {
        let known = self.suspects.borrow().get(&incarnation).copied();
        let next = self.journal_end(incarnation, known.map_or(0, |tail| tail.next)).await?;
        let tail = match known {
            Some(tail) if tail.next == next => tail,
            _ => JournalTail { next, seen: Instant::now() },
        };
        self.suspects.borrow_mut().insert(incarnation, tail);
        Ok(tail.seen.elapsed() >= TAIL_QUIET)
    }

    /// Ends an incarnation's right to write anything.
    pub(crate) async fn fence(&self, incarnation: Incarnation) -> Result<(), StoreError> {
        let key = incarnation_key(incarnation);
        let Some(found) = self.table.read(std::slice::from_ref(&key)).await?.pop().flatten() else {
            return Ok(());
        };
        if found.version != UNFENCED {
            return Ok(());
        }
        let mut row: IncarnationRow = parse_row(&found)?;
        row.fenced_by = Some(self.incarnation());
        let transaction = TableTransaction::default().check(key.clone(), UNFENCED).put(key, &row);
        self.metrics.record_store_write();
        self.table.commit(&transaction).await?;
        self.event("incarnation_fenced")
            .detail(format!("fenced={incarnation} member={}", row.instance))
            .log();
        Ok(())
    }

    /// The batch after an incarnation's last one, looking from batch `from` on.
    async fn journal_end(&self, incarnation: Incarnation, from: u64) -> Result<u64, StoreError> {
        let prefix = journal_prefix(incarnation);
        let mut next = from;
        loop {
            let after = next.checked_sub(1).map(|last| batch_key(incarnation, last));
            let page = self.table.scan(&prefix, after.as_deref(), TAIL_PAGE).await?;
            if let Some(last) = page.last().and_then(|row| parse_batch_key(&row.key)) {
                next = last + 1;
            }
            if page.len() < TAIL_PAGE {
                return Ok(next);
            }
        }
    }

    /// Gives back what a fenced incarnation had drawn and certainly not spent.
    ///
    /// What lies between its ceiling and its known costs stays drawn in a row of its own until the
    /// engines have told what its last attempts cost. The account's row goes in the same
    /// transaction, so that it happens once, whoever tries.
    pub(crate) async fn close_account(&self, incarnation: Incarnation) -> Result<(), StoreError> {
        loop {
            let key = account_key(incarnation);
            let found = self.table.read(std::slice::from_ref(&key)).await?.pop().flatten();
            let Some(found) = found else { return Ok(()) };
            let account: AccountRow = parse_row(&found)?;
            let keys: Vec<RowKey> = account.workspaces.keys().map(|id| budget_key(id)).collect();
            let rows = self.table.read(&keys).await?;
            let mut transaction =
                TableTransaction::default().check(key.clone(), found.version).delete(key);
            for (held, row) in account.workspaces.values().zip(rows.iter().zip(&keys)) {
                let (Some(row), key) = row else { continue };
                let budget: BudgetRow = parse_row(row)?;
                let drawn = budget.drawn - held.refundable();
                let spent = budget.spent + held.spent - held.reported;
                let next = BudgetRow { drawn, spent, ..budget };
                transaction = transaction.check(key.clone(), row.version).put(key.clone(), &next);
            }
            let stranded = self.stranded_row(&account);
            if !stranded.workspaces.is_empty() {
                let key = stranded_key(incarnation);
                transaction = transaction.check(key.clone(), 0).put(key, &stranded);
            }
            self.metrics.record_store_write();
            // A conflict or a lost reply: look again whether the account is still there.
            let _ = self.table.commit(&transaction).await;
        }
    }

    fn stranded_row(&self, account: &AccountRow) -> UnresolvedSpending {
        let uncertain = account.workspaces.iter().filter(|(_, held)| held.uncertain() > 0);
        UnresolvedSpending {
            workspaces: uncertain.map(|(id, held)| (id.clone(), held.uncertain())).collect(),
            open_from: account.open_from,
            open_since_millis: account.open_since_millis,
            closed_millis: self.wall().as_millis() as u64,
        }
    }

    /// Gives back all unspent grants of this incarnation, before it ends.
    pub(crate) async fn return_grants(&self) {
        if self.fence(self.incarnation()).await.is_ok() {
            let _ = self.close_account(self.incarnation()).await;
        }
    }
}

fn parse_batch_key(key: &str) -> Option<u64> {
    key.rsplit('/').next()?.parse().ok()
}
