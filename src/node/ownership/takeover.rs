//! Takes shards over from an incarnation that is considered dead: fences it, then claims them.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use crate::core::budget::{AccountRow, BudgetRow, UnresolvedSpending};
use crate::core::ids::{Incarnation, ShardId};
use crate::core::ownership::IncarnationRow;
use crate::node::instance::Node;
use crate::node::journal::{
    UNFENCED_VERSION, account_key, batch_key, budget_key, incarnation_key, journal_prefix,
    unresolved_key,
};
use crate::node::platform::{RowKey, StoreError, TableTransaction, parse_row};

/// End of a suspected incarnation's journal, and when it was first read.
#[derive(Debug, Clone, Copy)]
pub(crate) struct JournalTail {
    next: u64,
    seen_at: Instant,
}

/// An incarnation whose journal has grown within this time is not fenced.
const JOURNAL_IDLE_TIMEOUT: Duration = Duration::from_millis(500);
const TAIL_PAGE_SIZE: usize = 256;

impl Node {
    /// Does nothing while the incarnation's journal still grows: it may only be unreachable from
    /// here. Fencing a live owner interrupts its shards but loses no history, as all its writes
    /// fail from then on.
    pub(super) async fn take_over(
        self: &Rc<Self>,
        incarnation: Incarnation,
        shards: &[ShardId],
    ) -> Result<(), StoreError> {
        if !self.is_journal_idle(incarnation).await? {
            return Ok(());
        }
        self.fence(incarnation).await?;
        let journal_end = self.journal_end(incarnation, 0).await?;
        self.close_account(incarnation).await?;
        self.reread_shards(shards).await?;
        let still = |shard: &&ShardId| {
            let table = self.shards.borrow();
            table.owner(**shard).is_some_and(|owner| owner.incarnation == incarnation)
        };
        let left: Vec<ShardId> = shards.iter().filter(still).copied().collect();
        self.claim_shards(&left, Some(incarnation), journal_end).await?;
        self.suspects.borrow_mut().remove(&incarnation);
        Ok(())
    }

    pub(crate) async fn is_journal_idle(
        &self,
        incarnation: Incarnation,
    ) -> Result<bool, StoreError> {
        let known = self.suspects.borrow().get(&incarnation).copied();
        let next = self.journal_end(incarnation, known.map_or(0, |tail| tail.next)).await?;
        let tail = match known {
            Some(tail) if tail.next == next => tail,
            _ => JournalTail { next, seen_at: Instant::now() },
        };
        self.suspects.borrow_mut().insert(incarnation, tail);
        Ok(tail.seen_at.elapsed() >= JOURNAL_IDLE_TIMEOUT)
    }

    /// All later writes of the incarnation fail; does nothing if it is fenced already.
    pub(crate) async fn fence(&self, incarnation: Incarnation) -> Result<(), StoreError> {
        let key = incarnation_key(incarnation);
        let Some(found) = self.table.read(std::slice::from_ref(&key)).await?.pop().flatten() else {
            return Ok(());
        };
        if found.version != UNFENCED_VERSION {
            return Ok(());
        }
        let mut row: IncarnationRow = parse_row(&found)?;
        row.fenced_by = Some(self.incarnation());
        let transaction =
            TableTransaction::default().check(key.clone(), UNFENCED_VERSION).put(key, &row);
        self.metrics.record_store_write();
        self.table.commit(&transaction).await?;
        self.event("incarnation_fenced")
            .detail(format!("fenced={incarnation} member={}", row.instance))
            .log();
        Ok(())
    }

    /// Returns the number after the incarnation's last batch, scanning from batch `from`.
    async fn journal_end(&self, incarnation: Incarnation, from: u64) -> Result<u64, StoreError> {
        let prefix = journal_prefix(incarnation);
        let mut next = from;
        loop {
            let after = next.checked_sub(1).map(|last| batch_key(incarnation, last));
            let page = self.table.scan(&prefix, after.as_deref(), TAIL_PAGE_SIZE).await?;
            if let Some(last) = page.last().and_then(|row| parse_batch_key(&row.key)) {
                next = last + 1;
            }
            if page.len() < TAIL_PAGE_SIZE {
                return Ok(next);
            }
        }
    }

    /// Returns the budget that a fenced incarnation drew and certainly did not spend.
    ///
    /// The uncertain part stays drawn, in a row of unresolved spending, until the engines report
    /// the cost of its last attempts. The same transaction deletes the account's row, so concurrent
    /// callers return the budget only once.
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
            let unresolved = self.unresolved_spending(&account);
            if !unresolved.workspaces.is_empty() {
                let key = unresolved_key(incarnation);
                transaction = transaction.check(key.clone(), 0).put(key, &unresolved);
            }
            self.metrics.record_store_write();
            // After a conflict or a lost reply the account is read again.
            let _ = self.table.commit(&transaction).await;
        }
    }

    fn unresolved_spending(&self, account: &AccountRow) -> UnresolvedSpending {
        let uncertain = account.workspaces.iter().filter(|(_, held)| held.uncertain() > 0);
        UnresolvedSpending {
            workspaces: uncertain.map(|(id, held)| (id.clone(), held.uncertain())).collect(),
            open_from: account.open_from,
            open_since_millis: account.open_since_millis,
            closed_millis: self.wall().as_millis() as u64,
        }
    }

    /// Fences this incarnation, so call it only at shutdown.
    pub(crate) async fn return_grants(&self) {
        if self.fence(self.incarnation()).await.is_ok() {
            let _ = self.close_account(self.incarnation()).await;
        }
    }
}

fn parse_batch_key(key: &str) -> Option<u64> {
    key.rsplit('/').next()?.parse().ok()
}
