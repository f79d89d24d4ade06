//! Gives engines their orders, as the one instance that holds the lease of their model.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use futures_util::stream::{StreamExt, iter};
use tokio::time::{Instant, sleep, timeout};

use super::instance::Node;
use super::platform::{
    CommitReply, RosterEntry, RosterRole, RowKey, StoreError, TableTransaction, parse_row,
};
use crate::core::config::EngineGroupSpec;
use crate::core::ids::{InstanceId, UpstreamId};
use crate::core::orders::{
    EngineOrder, EngineState, FencedOrder, LeaseAction, LeaseRow, LeaseSettings, OrderLease,
    next_orders,
};
use crate::core::ownership::assign_engines;

const ORDER_TICK: Duration = Duration::from_secs(1);
const LEASE_TERM: Duration = Duration::from_secs(15);
const RENEWAL: Duration = Duration::from_secs(4);
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);
/// How often engines that are as wanted are looked at again: one may have restarted.
const STATE_CHECK: Duration = Duration::from_secs(10);
const ENGINES_AT_ONCE: usize = 16;

fn lease_key(model: &str) -> RowKey {
    format!("orders/{model}").into()
}

/// What this instance keeps of one model's engines.
#[derive(Default)]
struct GroupOrders {
    lease: OrderLease,
    /// When the lease's row was last written or found held by another.
    renewed: Option<Instant>,
    /// When all engines were last found as wanted, and in which version of the wish.
    settled: Option<(Instant, u64)>,
}

impl Node {
    pub(crate) fn spawn_orders(self: Rc<Self>) {
        actix_rt::spawn(async move {
            let mut served: BTreeSet<Box<str>> = BTreeSet::new();
            while !self.is_stopped() {
                let models: Vec<Box<str>> = {
                    let config = self.config.borrow();
                    config.engine_groups().map(|found| found.value.model.clone()).collect()
                };
                for model in models {
                    if served.insert(model.clone()) {
                        actix_rt::spawn(self.clone().serve_orders(model));
                    }
                }
                sleep(ORDER_TICK).await;
            }
        });
    }

    /// Serves one model in a task of its own: a rollout of another must not delay its renewals.
    async fn serve_orders(self: Rc<Self>, model: Box<str>) {
        let mut group = GroupOrders::default();
        while !self.is_stopped() {
            let wanted = self.config.borrow().engine_group(&model).cloned();
            if let Some(wanted) = wanted {
                self.serve_group(&mut group, &wanted.value, wanted.version).await;
            }
            sleep(ORDER_TICK).await;
        }
    }

    fn lease_terms(&self) -> LeaseSettings {
        LeaseSettings {
            term: LEASE_TERM,
            order_timeout: ORDER_TIMEOUT,
            clock_error: self.settings.limits.max_clock_error(),
        }
    }

    async fn serve_group(&self, group: &mut GroupOrders, spec: &EngineGroupSpec, version: u64) {
        let mine = self.should_order(&spec.model);
        let terms = self.lease_terms();
        let held = group.lease.valid_fence(&terms, Instant::now()).is_some();
        if !mine && !held {
            return;
        }
        let due = group.renewed.is_none_or(|at| at.elapsed() >= RENEWAL);
        if due || !held || !mine {
            let _ = self.keep_lease(group, spec, mine).await;
        }
        let settled = group
            .settled
            .is_some_and(|(at, settled)| settled == version && at.elapsed() < STATE_CHECK);
        if mine && !settled && group.lease.valid_fence(&terms, Instant::now()).is_some() {
            let done = self.order_engines(&group.lease, spec).await;
            group.settled = done.then(|| (Instant::now(), version));
        }
    }

    /// Whether this instance is the one that the members assign to a model.
    fn should_order(&self, model: &str) -> bool {
        let members: Vec<InstanceId> =
            self.members.borrow().serving().map(|member| member.instance.clone()).collect();
        let owners = assign_engines(vec![model.into()], &members);
        owners.get(model) == Some(&self.settings.instance)
    }

    /// Claims, renews or gives up a lease, as far as its row allows.
    async fn keep_lease(
        &self,
        group: &mut GroupOrders,
        spec: &EngineGroupSpec,
        mine: bool,
    ) -> Result<(), StoreError> {
        let key = lease_key(&spec.model);
        let found = self.table.read(std::slice::from_ref(&key)).await?.pop().flatten();
        let version = found.as_ref().map_or(0, |row| row.version);
        let row: LeaseRow = found.map_or(Ok(LeaseRow::default()), |row| parse_row(&row))?;
        let (me, terms) = (self.identity(), self.lease_terms());
        if row.holder.as_ref() != Some(&me) {
            group.lease.invalidate();
        }
        group.lease.observe(row, version, Instant::now());
        let action = group.lease.plan(&me, mine, &terms, Instant::now());
        let LeaseAction::Write { row, version } = action else { return Ok(()) };
        let transaction = TableTransaction::default().check(key.clone(), version).put(key, &row);
        let sent = Instant::now();
        self.metrics.store_write();
        // After a lost reply the lease counts as it did before; the next reading tells the rest.
        if self.table.commit(&self.fenced(transaction)).await? == CommitReply::Committed {
            group.lease.record_write(&row, &terms, sent);
            group.renewed = Some(sent);
        }
        Ok(())
    }

    /// Sends the orders that are due; returns whether all engines are as wanted.
    async fn order_engines(&self, lease: &OrderLease, spec: &EngineGroupSpec) -> bool {
        let mut engines = self.roster.borrow().all(RosterRole::Engine);
        engines.retain(|engine| engine.group == spec.model);
        let states = self.engine_states(&engines).await;
        let orders = next_orders(spec, &states);
        let done = orders.is_empty() && states.values().flatten().all(|state| !state.busy);
        for (engine, order) in orders {
            // The clock is looked at before each order: sending the one before may have taken
            // long, or this process may have been paused since.
            let Some(fence) = lease.valid_fence(&self.lease_terms(), Instant::now()) else {
                return false;
            };
            if let Some(entry) = engines.iter().find(|entry| entry.id == engine) {
                self.send_order(entry, FencedOrder { fence, order }).await;
            }
        }
        done && states.values().all(Option::is_some)
    }

    async fn send_order(&self, engine: &RosterEntry, order: FencedOrder) {
        let sending = timeout(ORDER_TIMEOUT, self.engines.order(&engine.address, &order)).await;
        let result = match &sending {
            Ok(Ok(())) => "taken",
            Ok(Err(_)) => "failed",
            Err(_) => "unanswered",
        };
        let detail = format!("fence={} {} result={result}", order.fence, describe(&order.order));
        self.event("engine_ordered").upstream(&engine.id).detail(detail).log();
        if matches!(order.order, EngineOrder::Load(_)) {
            // The weight store is rate limited, and loads that it holds up keep engines away.
            sleep(self.settings.limits.engine_load_delay()).await;
        }
    }

    async fn engine_states(
        &self,
        engines: &[RosterEntry],
    ) -> BTreeMap<UpstreamId, Option<EngineState>> {
        let asking = engines.iter().map(|engine| async {
            let state = timeout(ORDER_TIMEOUT, self.engines.state(&engine.address)).await;
            (engine.id.clone(), state.ok().and_then(Result::ok))
        });
        iter(asking).buffer_unordered(ENGINES_AT_ONCE).collect().await
    }
}

fn describe(order: &EngineOrder) -> String {
    match order {
        EngineOrder::Load(artifact) => format!("load={}:{}", artifact.name, artifact.version),
        EngineOrder::Unload { name } => format!("unload={name}"),
        EngineOrder::SetRole { role } => format!("role={role}"),
    }
}
