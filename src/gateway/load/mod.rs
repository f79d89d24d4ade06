//! Shares the load of upstreams between instances, in datagrams on the socket of the failure
//! detector.

mod failures;
mod task;
#[cfg(test)]
mod test_network;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::{Rc, Weak};
use std::time::SystemTime;

use tokio::sync::Notify;
use tokio::time::Instant;

use super::metrics::LoadMeter;
use crate::core::ids::{Incarnation, InstanceId};
use crate::core::load::{
    LoadAggregator, LoadKey, LoadReporter, LoadSender, LoadView, ReportedFailures,
};
use crate::core::upstreams::AvoidedUpstream;
use crate::util::pause::ClockMark;

/// A member that sums the load of its zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct LoadMember {
    pub(crate) instance: InstanceId,
    pub(crate) address: Box<str>,
}

/// Aggregators as this instance sees them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct LoadRoles {
    pub(crate) me: LoadSender,
    pub(crate) incarnation: Incarnation,
    /// Aggregator of this zone; none if no member of it is ready.
    pub(crate) first: Option<LoadMember>,
    /// Replaces the first one while that does not answer.
    pub(crate) second: Option<LoadMember>,
    /// Addresses of the aggregators of the other zones.
    pub(crate) other_zones: Vec<Box<str>>,
}

impl LoadRoles {
    fn is_me(&self, member: Option<&LoadMember>) -> bool {
        member.is_some_and(|member| member.instance == self.me.instance)
    }
}

pub(crate) trait LoadPeers {
    fn load_roles(&self) -> LoadRoles;
    /// Members that are not dead.
    fn member_count(&self) -> usize;
    /// The datagram may be lost.
    fn send_load(&self, to: &str, datagram: &[u8]);
    /// True if rendezvous hashing prefers this instance among all that are ready.
    fn is_preferred(&self, key: &str) -> bool;
}

/// Decides whether the exchange runs.
pub(crate) trait LoadDemand {
    /// True if load is shared for any service of this instance.
    fn shares_any_load(&self) -> bool;
}

/// Upstreams whose failures are shared.
pub(crate) trait SharedUpstreams {
    /// Upstreams that fail at this instance, with the weight of its report.
    fn failure_reports(&self, view: &LoadView, now: Instant) -> Vec<(LoadKey, u32)>;
    fn set_avoided(&self, avoided: &HashMap<LoadKey, AvoidedUpstream>, now: Instant);
}

/// The load view of this instance, kept up to date by its attempts and by peers.
pub(crate) struct SharedLoad {
    pub(crate) view: RefCell<LoadView>,
    reporter: RefCell<LoadReporter>,
    aggregator: RefCell<LoadAggregator>,
    roles: RefCell<LoadRoles>,
    roles_read_at: Cell<Instant>,
    peers: Rc<dyn LoadPeers>,
    meter: LoadMeter,
    wall_clock: fn() -> SystemTime,
    /// When the task last ran.
    last_run: Cell<ClockMark>,
    /// When the task will run next; none while nothing is due.
    next_run: Cell<Option<Instant>>,
    /// Datagrams are dropped until then, as they were queued while the process was paused.
    discard_until: Cell<Instant>,
    /// Last state that was logged.
    logged_fresh: Cell<bool>,
    reporters: Cell<u32>,
    failures: RefCell<ReportedFailures>,
    /// None if failures are not shared.
    upstreams: RefCell<Option<Weak<dyn SharedUpstreams>>>,
    /// None until the gateway is launched; nothing is exchanged before.
    demand: RefCell<Option<Weak<dyn LoadDemand>>>,
    wake: Notify,
}

impl SharedLoad {
    pub(crate) fn new(
        peers: Rc<dyn LoadPeers>,
        meter: LoadMeter,
        wall_clock: fn() -> SystemTime,
    ) -> Self {
        let roles = peers.load_roles();
        let now = Instant::now();
        Self {
            view: RefCell::default(),
            reporter: RefCell::new(LoadReporter::new(roles.incarnation)),
            aggregator: RefCell::new(LoadAggregator::new(roles.incarnation)),
            roles: RefCell::new(roles),
            roles_read_at: Cell::new(now),
            peers,
            meter,
            wall_clock,
            last_run: Cell::new(ClockMark::new(now, wall_clock())),
            next_run: Cell::new(None),
            discard_until: Cell::new(now),
            logged_fresh: Cell::new(false),
            reporters: Cell::new(0),
            failures: RefCell::default(),
            upstreams: RefCell::default(),
            demand: RefCell::default(),
            wake: Notify::new(),
        }
    }

    pub(crate) fn set_upstreams(&self, upstreams: Weak<dyn SharedUpstreams>) {
        *self.upstreams.borrow_mut() = Some(upstreams);
    }

    pub(crate) fn set_demand(&self, demand: Weak<dyn LoadDemand>) {
        *self.demand.borrow_mut() = Some(demand);
    }

    fn is_in_use(&self) -> bool {
        let demand = self.demand.borrow().as_ref().and_then(Weak::upgrade);
        demand.is_some_and(|demand| demand.shares_any_load())
    }

    pub(crate) fn started(&self, key: LoadKey) {
        self.view.borrow_mut().started(key);
        self.record_change();
    }

    pub(crate) fn first_byte(&self, key: LoadKey) {
        self.view.borrow_mut().first_byte(key);
        self.record_change();
    }

    pub(crate) fn ended(&self, key: LoadKey, waited: bool) {
        self.view.borrow_mut().ended(key, waited);
        self.record_change();
    }

    pub(crate) fn is_fresh(&self) -> bool {
        self.view.borrow().is_fresh(Instant::now())
    }

    /// Instances whose counts the view includes.
    pub(crate) fn reporters(&self) -> u32 {
        if self.is_fresh() { self.reporters.get() } else { 0 }
    }

    /// Wakes the task at the first change after a report only; it then sends the others with it.
    fn record_change(&self) {
        if self.reporter.borrow_mut().record_change() {
            self.wake.notify_one();
        }
    }
}
