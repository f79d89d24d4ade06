//! Recovers budget that dead incarnations hold: closes accounts that no takeover closes, and asks
//! the engines what a dead incarnation's last attempts really cost.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use futures_util::stream::{StreamExt, iter};
use tokio::time::{sleep, timeout};

use super::instance::Node;
use super::journal::{ACCOUNT_PREFIX, STRANDED_PREFIX, budget_key, incarnation_key};
use super::platform::{
    KeyedRow, RosterEntry, RosterRole, RowKey, StoreError, TableTransaction, parse_row, scan_all,
};
use super::upstream::{AttemptClosure, CloseRequest, WorkspaceCost};
use crate::core::budget::{BudgetRow, UnresolvedSpending};
use crate::core::ids::{Incarnation, Tokens, UpstreamId, WorkspaceId};
use crate::core::members::MemberState;
use crate::core::ownership::IncarnationRow;

const AUDIT: Duration = Duration::from_secs(5);
/// The instance that serves this shard does the audits; two at once do no harm.
const AUDIT_SHARD: u16 = 0;
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Engines asked at once.
const CLOSE_PARALLEL: usize = 16;
/// After so long the engines' answers are given up and the tokens stay counted as spent.
const GIVE_UP: Duration = Duration::from_secs(600);
/// Time to hear of the members before an incarnation without a member counts as over.
const MEMBERS_KNOWN: Duration = Duration::from_secs(10);

/// Answers of the engines about one dead incarnation, so far.
type CostsByEngine = BTreeMap<UpstreamId, AttemptClosure>;
type TokensByWorkspace = BTreeMap<WorkspaceId, Tokens>;

impl Node {
    pub(crate) fn spawn_audit(self: Rc<Self>) {
        actix_rt::spawn(async move {
            let mut answers: BTreeMap<Incarnation, CostsByEngine> = BTreeMap::new();
            let mut watched: Option<BTreeSet<Incarnation>> = None;
            while !self.is_stopped() {
                sleep(AUDIT).await;
                if !self.serving_shards().contains(&AUDIT_SHARD) {
                    answers.clear();
                    watched = None;
                    continue;
                }
                let _ = self.close_orphans(&mut watched).await;
                let _ = self.recover_stranded(&mut answers).await;
            }
        });
    }

    /// Closes accounts of incarnations that are over and own no shard.
    ///
    /// An instance that hands over its shards and dies before it gives its grants back is met by
    /// no takeover; its tokens would count as drawn for ever. All accounts are read once, when this
    /// instance begins to audit; from then on only those of members that went.
    async fn close_orphans(
        &self,
        watched: &mut Option<BTreeSet<Incarnation>>,
    ) -> Result<(), StoreError> {
        if watched.is_none() {
            let found = scan_all(&*self.table, ACCOUNT_PREFIX).await?;
            let incarnations =
                found.iter().filter_map(|row| parse_incarnation(row, ACCOUNT_PREFIX));
            *watched = Some(incarnations.collect());
        }
        let Some(watched) = watched else { return Ok(()) };
        let living = self.living_incarnations();
        watched.extend(&living);
        let gone: Vec<_> = watched.difference(&living).copied().collect();
        for incarnation in gone {
            if self.is_over(incarnation).await? && self.is_quiet(incarnation).await? {
                self.fence(incarnation).await?;
                self.close_account(incarnation).await?;
                self.suspects.borrow_mut().remove(&incarnation);
                watched.remove(&incarnation);
            }
        }
        Ok(())
    }

    fn living_incarnations(&self) -> BTreeSet<Incarnation> {
        let members = self.members.borrow();
        let living = members.iter().filter(|member| member.state != MemberState::Dead);
        living.map(|member| member.incarnation).chain([self.incarnation()]).collect()
    }

    async fn is_over(&self, incarnation: Incarnation) -> Result<bool, StoreError> {
        if self.uptime() < MEMBERS_KNOWN {
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

    async fn recover_stranded(
        &self,
        answers: &mut BTreeMap<Incarnation, CostsByEngine>,
    ) -> Result<(), StoreError> {
        for found in scan_all(&*self.table, STRANDED_PREFIX).await? {
            let Some(incarnation) = parse_incarnation(&found, STRANDED_PREFIX) else { continue };
            let row: UnresolvedSpending = parse_row(&found.row)?;
            let costs = answers.entry(incarnation).or_default();
            self.ask_engines(incarnation, &row, costs).await;
            let total = self.total_costs(&row, costs);
            let age = self.wall().saturating_sub(Duration::from_millis(row.closed_millis));
            if total.is_some() || age > GIVE_UP {
                self.settle_stranded(incarnation, &found, &row, total).await?;
                answers.remove(&incarnation);
            }
        }
        Ok(())
    }

    /// Stops the dead incarnation's attempts on every engine that has not confirmed that yet.
    async fn ask_engines(
        &self,
        incarnation: Incarnation,
        row: &UnresolvedSpending,
        costs: &mut CostsByEngine,
    ) {
        let mut engines = self.roster.borrow().all(RosterRole::Engine);
        engines.retain(|engine| !costs.contains_key(&engine.id));
        let request = CloseRequest { incarnation, from: row.open_from };
        let asking = engines.into_iter().map(|engine| self.ask_engine(engine, request));
        let mut asked = iter(asking).buffer_unordered(CLOSE_PARALLEL);
        while let Some((engine, closure)) = asked.next().await {
            if let Some(closure) = closure {
                costs.insert(engine, closure);
            }
        }
    }

    async fn ask_engine(
        &self,
        engine: RosterEntry,
        request: CloseRequest,
    ) -> (UpstreamId, Option<AttemptClosure>) {
        let closing = timeout(CLOSE_TIMEOUT, self.engines.close_attempts(&engine.address, request));
        (engine.id, closing.await.ok().and_then(Result::ok))
    }

    /// What the dead incarnation's open attempts cost in all, or `None` while that is not certain.
    ///
    /// It is uncertain if an engine has not answered, if one remembers less than the time in
    /// question because it restarted, or if one may have left the roster in that time: each may
    /// have billed tokens that no answer shows, and to give those back would overspend.
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
            if closure.remembers() < window {
                return None;
            }
            for WorkspaceCost { workspace, tokens } in &closure.costs {
                *total.entry(workspace.clone()).or_default() += tokens;
            }
        }
        Some(total)
    }

    /// Gives back what was not spent; all of it counts as spent if the costs stayed unknown.
    async fn settle_stranded(
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
        self.metrics.store_write();
        // A conflict or a lost reply: the next audit sees whether the row is still there.
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
