//! Gateway in which any instance serves any request. Conditional writes to the platform's store
//! ensure uniqueness, and [`dialect`] isolates the names and formats of the platform.

mod attempt;
mod call;
mod committer;
pub mod dialect;
mod events;
mod feed;
mod handlers;
mod http;
mod latency;
mod load;
mod members;
mod memory;
mod metrics;
mod quotas;
mod readiness;
mod refusal;
mod repeats;
pub mod rows;
mod run;
mod server;
mod settings;
mod stop;
mod store;
mod sweep;
mod turns;

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use tokio::sync::Notify;
use tokio::time::Instant;

use crate::core::admission::{AdmissionGate, ProgramAdmission, RetryBudget};
use crate::core::routing::ServiceSpec;
use committer::StoreCommitter;
use dialect::GatewayDialect;
use feed::ChangeFeed;
use http::ConnectionPool;
use load::{LoadDemand, SharedLoad};
use members::MemberView;
use memory::{MemoryGate, resident_bytes};
use metrics::{GatewayMetrics, GatewaySample, ServiceSample};
use quotas::QuotaEnforcer;
use readiness::AdvertisedReadiness;
use repeats::LossExchange;
use stop::StopState;
use store::StoreLink;
use turns::TurnManager;

pub use quotas::LIMITS_PATH;
pub use run::{GatewaySockets, RunningGateway, launch_gateway};
pub use settings::{GatewayMechanism, GatewaySettings, QuotaMode};

/// State of a running gateway, shared by its tasks on one thread.
pub(crate) struct Gateway {
    pub(crate) settings: GatewaySettings,
    pub(crate) dialect: Rc<dyn GatewayDialect>,
    pub(crate) pool: Rc<ConnectionPool>,
    pub(crate) store: Rc<StoreLink>,
    pub(crate) feed: Rc<ChangeFeed>,
    pub(crate) turns: Rc<TurnManager>,
    pub(crate) committer: Rc<StoreCommitter>,
    pub(crate) members: Rc<MemberView>,
    pub(crate) quotas: Rc<dyn QuotaEnforcer>,
    pub(crate) metrics: GatewayMetrics,
    pub(crate) memory: Rc<MemoryGate>,
    pub(crate) stop: StopState,
    pub(crate) readiness: AdvertisedReadiness,
    pub(crate) gate: RefCell<AdmissionGate>,
    pub(crate) admission: RefCell<ProgramAdmission>,
    pub(crate) retries: RefCell<RetryBudget>,
    pub(crate) load: Rc<SharedLoad>,
    pub(crate) losses: Rc<LossExchange>,
    pub(crate) open_calls: Cell<u32>,
    /// Connections of callers.
    pub(crate) open_connections: Cell<u32>,
    /// Of these, those that have got their last answer.
    pub(crate) lingering_connections: Cell<u32>,
    /// Listeners for callers.
    pub(crate) open_listeners: Cell<u32>,
    pub(crate) connections_ended: Notify,
}

impl Gateway {
    /// Whether instances share the load of the service: one of model engines at which an instance sees
    /// few requests.
    pub(crate) fn shares_load(&self, service: &str) -> bool {
        if !self.settings.uses(GatewayMechanism::SharedLoad) {
            return false;
        }
        let routes = self.feed.routes();
        let spec = routes.as_ref().and_then(|table| table.service(service));
        let engine = spec.and_then(|spec| spec.engine.as_ref());
        engine.is_some_and(|engine| self.sees_few(engine.slots))
    }

    /// An instance's own counts say little where it has fewer than two requests at a full engine.
    fn sees_few(&self, slots: u32) -> bool {
        (slots as usize) < 2 * self.members.alive_count()
    }

    /// Returns true if load is shared for the service and the counts of the other instances are recent.
    pub(crate) fn knows_load(&self, service: &str) -> bool {
        self.shares_load(service) && self.load.is_fresh()
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.feed.is_complete() && !self.is_draining()
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.stop.is_draining()
    }

    pub(crate) fn sample_metrics(&self) {
        self.metrics.sample(&GatewaySample {
            members: self.members.alive_count() as u64,
            upstreams: self.feed.upstreams.borrow().len() as u64,
            upstreams_ejected: self.feed.upstreams.borrow().ejected_count(Instant::now()) as u64,
            routes_version: self.feed.routes().map_or(0, |table| table.version),
            routes_age: self.feed.routes_age(),
            cached_bytes: self.turns.cached_bytes() as u64,
            open_calls: self.open_calls.get().into(),
            held_bytes: self.memory.held() as u64,
            held_bytes_bound: self.memory.bound() as u64,
            resident_bytes: resident_bytes().unwrap_or_default(),
            reservations: self.turns.reservations(),
            store_batches: self.committer.batches(),
            store_outage: self.store.outage().unwrap_or_default(),
            load_age: self.load.view.borrow().age(Instant::now()),
            load_reporters: self.load.reporters().into(),
            loss_records: self.losses.record_count() as u64,
            services: self.service_samples(),
        });
    }

    fn service_samples(&self) -> Vec<ServiceSample> {
        let Some(routes) = self.feed.routes() else { return Vec::new() };
        let upstreams = self.feed.upstreams.borrow();
        let view = self.load.view.borrow();
        let shared = routes.services().filter(|spec| self.shares_load(&spec.name));
        let sample = |spec: &ServiceSpec| {
            let pressure = upstreams.pressure(&spec.name, &view, Instant::now())?;
            Some(ServiceSample { service: spec.name.clone(), pressure })
        };
        shared.filter_map(sample).collect()
    }
}

impl LoadDemand for Gateway {
    fn shares_any_load(&self) -> bool {
        if !self.settings.uses(GatewayMechanism::SharedLoad) {
            return false;
        }
        let Some(routes) = self.feed.routes() else { return false };
        let engines = routes.services().filter_map(|spec| spec.engine.as_ref());
        let slots = engines.map(|engine| engine.slots).min();
        slots.is_some_and(|slots| self.sees_few(slots))
    }
}
