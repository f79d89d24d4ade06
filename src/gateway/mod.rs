//! Serves callers that know nothing of owners: any instance serves any request, and the
//! platform's store judges what must be unique.
//!
//! [`dialect`] is the border to a platform's names and formats; everything else is in the
//! product's own terms.

mod attempt;
mod call;
mod committer;
mod desk;
pub mod dialect;
mod events;
mod http;
mod latency;
mod members;
mod metrics;
mod news;
mod offer;
mod quotas;
mod refusal;
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

use crate::core::admission::AdmissionGate;
use committer::StoreCommitter;
use dialect::GatewayDialect;
use http::ConnectionPool;
use members::MemberView;
use metrics::{GatewayMetrics, GatewaySample};
use news::StoreNews;
use offer::CallerOffer;
use quotas::QuotaEnforcer;
use stop::StopState;
use store::StoreLink;
use turns::TurnKeeper;

pub use quotas::LIMITS_PATH;
pub use run::{GatewaySockets, RunningGateway, launch_gateway};
pub use settings::{GatewayMechanism, GatewaySettings, QuotaWay};

/// One running gateway. All its tasks share it on one thread.
pub(crate) struct Gateway {
    pub(crate) settings: GatewaySettings,
    pub(crate) dialect: Rc<dyn GatewayDialect>,
    pub(crate) pool: Rc<ConnectionPool>,
    pub(crate) store: Rc<StoreLink>,
    pub(crate) news: Rc<StoreNews>,
    pub(crate) turns: Rc<TurnKeeper>,
    pub(crate) committer: Rc<StoreCommitter>,
    pub(crate) members: Rc<MemberView>,
    pub(crate) quotas: Rc<dyn QuotaEnforcer>,
    pub(crate) metrics: GatewayMetrics,
    pub(crate) stop: StopState,
    pub(crate) offer: CallerOffer,
    /// Which new programs are let in.
    pub(crate) gate: RefCell<AdmissionGate>,
    pub(crate) open_calls: Cell<u32>,
    pub(crate) calls_ended: Notify,
}

impl Gateway {
    /// Whether callers may be sent here.
    pub(crate) fn is_ready(&self) -> bool {
        self.news.is_complete() && !self.is_draining()
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.stop.is_draining()
    }

    /// Brings the gauges up to date.
    pub(crate) fn sample_metrics(&self) {
        self.metrics.sample(&GatewaySample {
            members: self.members.alive_count() as u64,
            upstreams: self.news.upstreams.borrow().len() as u64,
            upstreams_aside: self.news.upstreams.borrow().ejected_count(Instant::now()) as u64,
            routes_version: self.news.routes().map_or(0, |table| table.version),
            routes_age: self.news.routes_age(),
            cached_bytes: self.turns.cached_bytes() as u64,
            open_calls: self.open_calls.get().into(),
            reservations: self.turns.reservations(),
            store_batches: self.committer.batches(),
            store_outage: self.store.outage().unwrap_or_default(),
        });
    }
}
