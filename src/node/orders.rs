//! Sends engines the orders that bring them to their group's configuration. Only the holder of the
//! model's lease sends them.

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

const ORDER_INTERVAL: Duration = Duration::from_secs(1);
const LEASE_TERM: Duration = Duration::from_secs(15);
const RENEWAL_INTERVAL: Duration = Duration::from_secs(4);
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);
/// Engines in the desired state are checked again at this interval, as one may have restarted.
const STATE_CHECK_INTERVAL: Duration = Duration::from_secs(10);
const MAX_CONCURRENT_REQUESTS: usize = 16;

fn lease_key(model: &str) -> RowKey {
    format!("orders/{model}").into()
}

#[derive(Default)]
struct GroupOrders {
    lease: OrderLease,
    /// Send time of the last committed write of the lease row.
    renewed: Option<Instant>,
    /// When all engines were last in the desired state, and the configuration version of it.
    converged: Option<(Instant, u64)>,
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
                sleep(ORDER_INTERVAL).await;
            }
        });
    }

    /// Runs as one task per model, so that a rollout does not delay another model's renewals.
    async fn serve_orders(self: Rc<Self>, model: Box<str>) {
        let mut group = GroupOrders::default();
        while !self.is_stopped() {
            let desired = self.config.borrow().engine_group(&model).cloned();
            if let Some(desired) = desired {
                self.serve_group(&mut group, &desired.value, desired.version).await;
            }
            sleep(ORDER_INTERVAL).await;
        }
    }

    fn lease_settings(&self) -> LeaseSettings {
        LeaseSettings {
            term: LEASE_TERM,
            order_timeout: ORDER_TIMEOUT,
            clock_error: self.settings.limits.max_clock_error(),
        }
    }

    async fn serve_group(&self, group: &mut GroupOrders, spec: &EngineGroupSpec, version: u64) {
        let assigned = self.is_assigned(&spec.model);
        let settings = self.lease_settings();
        let held = group.lease.valid_fence(&settings, Instant::now()).is_some();
        if !assigned && !held {
            return;
        }
        let due = group.renewed.is_none_or(|at| at.elapsed() >= RENEWAL_INTERVAL);
        if due || !held || !assigned {
            let _ = self.update_lease(group, spec, assigned).await;
        }
        let converged = group.converged.is_some_and(|(at, converged)| {
            converged == version && at.elapsed() < STATE_CHECK_INTERVAL
        });
        if assigned && !converged && group.lease.valid_fence(&settings, Instant::now()).is_some() {
            let complete = self.order_engines(&group.lease, spec).await;
            group.converged = complete.then(|| (Instant::now(), version));
        }
    }

    fn is_assigned(&self, model: &str) -> bool {
        let members: Vec<InstanceId> =
            self.members.borrow().serving().map(|member| member.instance.clone()).collect();
        let owners = assign_engines(vec![model.into()], &members);
        owners.get(model) == Some(&self.settings.instance)
    }

    async fn update_lease(
        &self,
        group: &mut GroupOrders,
        spec: &EngineGroupSpec,
        assigned: bool,
    ) -> Result<(), StoreError> {
        let key = lease_key(&spec.model);
        let found = self.table.read(std::slice::from_ref(&key)).await?.pop().flatten();
        let version = found.as_ref().map_or(0, |row| row.version);
        let row: LeaseRow = found.map_or(Ok(LeaseRow::default()), |row| parse_row(&row))?;
        let (me, settings) = (self.identity(), self.lease_settings());
        if row.holder.as_ref() != Some(&me) {
            group.lease.invalidate();
        }
        group.lease.observe(row, version, Instant::now());
        let action = group.lease.plan(&me, assigned, &settings, Instant::now());
        let LeaseAction::Write { row, version } = action else { return Ok(()) };
        let transaction = TableTransaction::default().check(key.clone(), version).put(key, &row);
        let sent = Instant::now();
        self.metrics.record_store_write();
        // After a lost reply the lease stays as it was; the next read shows whether it changed.
        if self.table.commit(&self.fenced(transaction)).await? == CommitReply::Committed {
            group.lease.record_write(&row, &settings, sent);
            group.renewed = Some(sent);
        }
        Ok(())
    }

    /// Returns true if all engines are in the desired state.
    async fn order_engines(&self, lease: &OrderLease, spec: &EngineGroupSpec) -> bool {
        let mut engines = self.roster.borrow().all(RosterRole::Engine);
        engines.retain(|engine| engine.group == spec.model);
        let states = self.engine_states(&engines).await;
        let orders = next_orders(spec, &states);
        let complete = orders.is_empty() && states.values().flatten().all(|state| !state.busy);
        for (engine, order) in orders {
            // The lease may have expired while the previous order was sent or the process paused.
            let Some(fence) = lease.valid_fence(&self.lease_settings(), Instant::now()) else {
                return false;
            };
            if let Some(entry) = engines.iter().find(|entry| entry.id == engine) {
                self.send_order(entry, FencedOrder { fence, order }).await;
            }
        }
        complete && states.values().all(Option::is_some)
    }

    async fn send_order(&self, engine: &RosterEntry, order: FencedOrder) {
        let reply = timeout(ORDER_TIMEOUT, self.engines.order(&engine.address, &order)).await;
        let result = match &reply {
            Ok(Ok(())) => "taken",
            Ok(Err(_)) => "failed",
            Err(_) => "unanswered",
        };
        let detail = format!("fence={} {} result={result}", order.fence, describe(&order.order));
        self.event("engine_ordered").upstream(&engine.id).detail(detail).log();
        if matches!(order.order, EngineOrder::Load(_)) {
            // Loads delayed by the weight store's rate limit keep engines unavailable.
            sleep(self.settings.limits.engine_load_delay()).await;
        }
    }

    async fn engine_states(
        &self,
        engines: &[RosterEntry],
    ) -> BTreeMap<UpstreamId, Option<EngineState>> {
        let requests = engines.iter().map(|engine| async {
            let state = timeout(ORDER_TIMEOUT, self.engines.state(&engine.address)).await;
            (engine.id.clone(), state.ok().and_then(Result::ok))
        });
        iter(requests).buffer_unordered(MAX_CONCURRENT_REQUESTS).collect().await
    }
}

fn describe(order: &EngineOrder) -> String {
    match order {
        EngineOrder::Load(artifact) => format!("load={}:{}", artifact.name, artifact.version),
        EngineOrder::Unload { name } => format!("unload={name}"),
        EngineOrder::SetRole { role } => format!("role={role}"),
    }
}
