//! Recovers budget drawn by dead incarnations: closes accounts that no takeover closes, and
//! refunds unresolved spending once the engines have reported its actual cost.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use futures_util::stream::{StreamExt, iter};
use tokio::time::{sleep, timeout};

use super::instance::Node;
use super::journal::{ACCOUNT_PREFIX, UNRESOLVED_PREFIX, budget_key, incarnation_key};
use super::platform::{
    KeyedRow, RosterEntry, RosterRole, RowKey, StoreError, TableTransaction, parse_row, scan_all,
};
use super::upstream::{AttemptClosure, CloseRequest, WorkspaceCost};
use crate::core::budget::{BudgetRow, UnresolvedSpending};
use crate::core::ids::{Incarnation, Tokens, UpstreamId, WorkspaceId};
use crate::core::members::MemberState;
use crate::core::ownership::IncarnationRow;

const AUDIT_INTERVAL: Duration = Duration::from_secs(5);
/// The instance that serves this shard runs the audits. Concurrent audits are safe.
const AUDIT_SHARD: u16 = 0;
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_CONCURRENT_CLOSES: usize = 16;
/// After this time unresolved tokens count as spent.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(600);
/// Minimum uptime before an incarnation without a member counts as ended; gossip may not have
/// delivered the member list earlier.
const MIN_MEMBERSHIP_UPTIME: Duration = Duration::from_secs(10);

type CostsByEngine = BTreeMap<UpstreamId, AttemptClosure>;
type TokensByWorkspace = BTreeMap<WorkspaceId, Tokens>;

impl Node {
    pub(crate) fn spawn_audit(self: Rc<Self>) {
        actix_rt::spawn(async move {
            let mut replies: BTreeMap<Incarnation, CostsByEngine> = BTreeMap::new();
            let mut tracked: Option<BTreeSet<Incarnation>> = None;
            while !self.is_stopped() {
                sleep(AUDIT_INTERVAL).await;
                if !self.serving_shards().contains(&AUDIT_SHARD) {
                    replies.clear();
                    tracked = None;
                    continue;
                }
                let _ = self.close_orphans(&mut tracked).await;
                let _ = self.recover_unresolved(&mut replies).await;
            }
        });
    }

    /// No takeover covers an instance that dies after it has handed over its shards but before it
    /// has returned its grants. All accounts are scanned once, when this instance becomes the
    /// auditor; later only departed members are checked.
    async fn close_orphans(
        &self,
        tracked: &mut Option<BTreeSet<Incarnation>>,
    ) -> Result<(), StoreError> {
        if tracked.is_none() {
            let found = scan_all(&*self.table, ACCOUNT_PREFIX).await?;
            let incarnations =
                found.iter().filter_map(|row| parse_incarnation(row, ACCOUNT_PREFIX));
            *tracked = Some(incarnations.collect());
        }
        let Some(tracked) = tracked else { return Ok(()) };
        let live = self.live_incarnations();
        tracked.extend(&live);
        let departed: Vec<_> = tracked.difference(&live).copied().collect();
        for incarnation in departed {
            if self.has_ended(incarnation).await? && self.is_journal_idle(incarnation).await? {
                self.fence(incarnation).await?;
                self.close_account(incarnation).await?;
                self.suspects.borrow_mut().remove(&incarnation);
                tracked.remove(&incarnation);
            }
        }
        Ok(())
    }

    fn live_incarnations(&self) -> BTreeSet<Incarnation> {
        let members = self.members.borrow();
        let live = members.iter().filter(|member| member.state != MemberState::Dead);
        live.map(|member| member.incarnation).chain([self.incarnation()]).collect()
    }

    async fn has_ended(&self, incarnation: Incarnation) -> Result<bool, StoreError> {
        if self.uptime() < MIN_MEMBERSHIP_UPTIME {
            return Ok(false);
        }
        let key = incarnation_key(incarnation);
        let Some(found) = self.table.read(&[key]).await?.pop().flatten() else { return Ok(true) };
        let row: IncarnationRow = parse_row(&found)?;
        let members = self.members.borrow();
        Ok(members.get(&row.instance).is_none_or(|member| {
            member.incarnation > incarnation || member.state == MemberState::Dead
        }))
    }

    async fn recover_unresolved(
        &self,
        replies: &mut BTreeMap<Incarnation, CostsByEngine>,
    ) -> Result<(), StoreError> {
        for found in scan_all(&*self.table, UNRESOLVED_PREFIX).await? {
            let Some(incarnation) = parse_incarnation(&found, UNRESOLVED_PREFIX) else { continue };
            let row: UnresolvedSpending = parse_row(&found.row)?;
            let costs = replies.entry(incarnation).or_default();
            self.close_attempts(incarnation, &row, costs).await;
            let total = self.total_costs(&row, costs);
            let age = self.wall().saturating_sub(Duration::from_millis(row.closed_millis));
            if total.is_some() || age > RECOVERY_TIMEOUT {
                self.settle_unresolved(incarnation, &found, &row, total).await?;
                replies.remove(&incarnation);
            }
        }
        Ok(())
    }

    /// Closes the incarnation's attempts on the engines that are not yet in `costs`.
    async fn close_attempts(
        &self,
        incarnation: Incarnation,
        row: &UnresolvedSpending,
        costs: &mut CostsByEngine,
    ) {
        let mut engines = self.roster.borrow().all(RosterRole::Engine);
        engines.retain(|engine| !costs.contains_key(&engine.id));
        let request = CloseRequest { incarnation, from: row.open_from };
        let requests = engines.into_iter().map(|engine| self.close_attempts_on(engine, request));
        let mut replies = iter(requests).buffer_unordered(MAX_CONCURRENT_CLOSES);
        while let Some((engine, closure)) = replies.next().await {
            if let Some(closure) = closure {
                costs.insert(engine, closure);
            }
        }
    }

    async fn close_attempts_on(
        &self,
        engine: RosterEntry,
        request: CloseRequest,
    ) -> (UpstreamId, Option<AttemptClosure>) {
        let reply = timeout(CLOSE_TIMEOUT, self.engines.close_attempts(&engine.address, request));
        (engine.id, reply.await.ok().and_then(Result::ok))
    }

    /// Returns the total cost of the open attempts, or `None` if some may be unreported: an engine
    /// has not answered, has restarted within the window or may have left the roster within it.
    /// Refunding unreported tokens would overspend the budget.
    fn total_costs(
        &self,
        row: &UnresolvedSpending,
        costs: &CostsByEngine,
    ) -> Option<TokensByWorkspace> {
        let since = Duration::from_millis(row.open_since_millis);
        let window = self.wall().saturating_sub(since) + self.settings.limits.max_clock_error();
        let roster = self.roster.borrow();
        if self.uptime() < window || roster.lost_engine_within(window) {
            return None;
        }
        let mut total = TokensByWorkspace::new();
        for engine in roster.all(RosterRole::Engine) {
            let closure = costs.get(&engine.id)?;
            if closure.retention() < window {
                return None;
            }
            for WorkspaceCost { workspace, tokens } in &closure.costs {
                *total.entry(workspace.clone()).or_default() += tokens;
            }
        }
        Some(total)
    }

    /// Refunds unspent tokens; with an unknown `total` all tokens count as spent.
    async fn settle_unresolved(
        &self,
        incarnation: Incarnation,
        found: &KeyedRow,
        row: &UnresolvedSpending,
        total: Option<TokensByWorkspace>,
    ) -> Result<(), StoreError> {
        let mut transaction = TableTransaction::default()
            .check(found.key.clone(), found.row.version)
            .delete(found.key.clone());
        let keys: Vec<RowKey> = row.workspaces.keys().map(|id| budget_key(id)).collect();
        let budgets = self.table.read(&keys).await?;
        let mut refunded = 0;
        for ((workspace, held), budget) in row.workspaces.iter().zip(budgets) {
            let Some(stored) = budget else { continue };
            let parsed: BudgetRow = parse_row(&stored)?;
            let spent = match &total {
                Some(total) => total.get(workspace).copied().unwrap_or(0).min(*held),
                None => *held,
            };
            let refund = held - spent;
            refunded += refund;
            let drawn = parsed.drawn - refund;
            let next = BudgetRow { drawn, spent: parsed.spent + spent, ..parsed };
            let key = budget_key(workspace);
            transaction = transaction.check(key.clone(), stored.version).put(key, &next);
        }
        self.metrics.record_store_write();
        // After a conflict or a lost reply the next audit checks whether the row still exists.
        if self.table.commit(&transaction).await.is_ok() {
            let certain = total.is_some();
            self.event("stranded_settled")
                .detail(format!("incarnation={incarnation} refunded={refunded} certain={certain}"))
                .log();
        }
        Ok(())
    }
}

fn parse_incarnation(found: &KeyedRow, prefix: &str) -> Option<Incarnation> {
    found.key.strip_prefix(prefix)?.parse().ok()
}
