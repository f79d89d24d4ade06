//! Client of the platform's store. Calls go directly, or through a peer if this instance cannot
//! reach the store.

mod clock;
#[cfg(test)]
mod clock_tests;
mod health;
#[cfg(test)]
mod health_tests;
mod paths;
mod relay;
mod relay_order;
#[cfg(test)]
mod relay_tests;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

use self::clock::StoreClock;
use self::health::StoreHealth;
use self::paths::StorePath;
use self::relay::{RelayReply, RelayRequest};
use self::relay_order::RelayOrder;
use super::dialect::GatewayDialect;
use super::http::ConnectionPool;
use super::metrics::StoreMeter;
use super::rows::{
    ChangesReply, CommitReply, RangeReply, RowRange, RowTransaction, RowVersion, StoreCall,
};
use crate::node::platform::StoreError;

pub(crate) use self::relay::{RELAY_PATH, RelayError};

/// Interval of probes while no path works.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Interval of probes while only the direct path fails. It is longer, as no caller waits for it and
/// each probe counts as a store call.
const DIRECT_PROBE_INTERVAL: Duration = Duration::from_millis(500);

pub(crate) trait RelayPeers {
    /// Peers that may relay, those that are likelier to reach the store first.
    fn relay_addresses(&self) -> Vec<Box<str>>;
}

type StoreAnswer = Result<(u16, Bytes), StoreError>;

pub(crate) struct StoreLink {
    address: Box<str>,
    pool: Rc<ConnectionPool>,
    dialect: Rc<dyn GatewayDialect>,
    peers: RefCell<Option<Rc<dyn RelayPeers>>>,
    relays: RefCell<RelayOrder>,
    health: RefCell<StoreHealth>,
    /// Notified when the store becomes unavailable or recovers.
    changed: Notify,
    meter: StoreMeter,
    clock: Cell<StoreClock>,
    cross_partition: bool,
}

impl StoreLink {
    pub(crate) fn new(
        address: &str,
        pool: Rc<ConnectionPool>,
        dialect: Rc<dyn GatewayDialect>,
        cross_partition: bool,
        meter: StoreMeter,
    ) -> Self {
        Self {
            address: address.into(),
            pool,
            dialect,
            peers: RefCell::default(),
            relays: RefCell::default(),
            health: RefCell::default(),
            changed: Notify::new(),
            meter,
            clock: Cell::default(),
            cross_partition,
        }
    }

    pub(crate) fn set_peers(&self, peers: Rc<dyn RelayPeers>) {
        *self.peers.borrow_mut() = Some(peers);
    }

    /// Time since the store became unavailable over all paths; `None` while it is available.
    pub(crate) fn outage(&self) -> Option<Duration> {
        self.health.borrow().unavailable_since().map(|since| since.elapsed())
    }

    /// Waits until the store is available.
    pub(crate) async fn reachable(&self) {
        self.wait_until_outage_is(false).await;
    }

    /// Waits until no path to the store works.
    pub(crate) async fn unreachable(&self) {
        self.wait_until_outage_is(true).await;
    }

    async fn wait_until_outage_is(&self, outage: bool) {
        loop {
            let changed = self.changed.notified();
            if self.outage().is_some() == outage {
                return;
            }
            changed.await;
        }
    }

    pub(crate) async fn commit(
        &self,
        transaction: &RowTransaction,
    ) -> Result<CommitReply, StoreError> {
        let call = self.dialect.commit_call(transaction);
        let (status, body) = self.call(&call).await?;
        self.dialect.commit_reply(status, &body)
    }

    pub(crate) async fn range(&self, range: &RowRange) -> Result<RangeReply, StoreError> {
        let begun = Instant::now();
        let (status, body) = self.call(&self.dialect.range_call(range)).await?;
        let reply = self.dialect.range_reply(status, &body)?;
        let mut clock = self.clock.get();
        clock.record(reply.now, begun, Instant::now());
        self.clock.set(clock);
        Ok(reply)
    }

    /// Returns one page of the names of a table's partitions that sort after `after`.
    pub(crate) async fn partitions(
        &self,
        table: &str,
        after: Option<&str>,
    ) -> Result<Vec<Box<str>>, StoreError> {
        let (status, body) = self.call(&self.dialect.partitions_call(table, after)).await?;
        self.dialect.partitions_reply(status, &body)
    }

    /// The store's monotonic clock in milliseconds, extrapolated from range reads; zero before the
    /// first one.
    pub(crate) fn now_millis(&self) -> u64 {
        self.clock_millis().unwrap_or_default()
    }

    /// The same, but `None` before the first range read.
    pub(crate) fn clock_millis(&self) -> Option<u64> {
        Some(self.clock.get().at(Instant::now())?.as_millis() as u64)
    }

    pub(crate) fn is_slow(&self) -> bool {
        self.health.borrow().is_slow()
    }

    pub(crate) fn is_over_rate(&self) -> bool {
        self.health.borrow().is_over_rate()
    }

    pub(crate) fn supports_cross_partition(&self) -> bool {
        self.cross_partition
    }

    pub(crate) async fn changes(
        &self,
        table: &str,
        after: RowVersion,
        wait: Duration,
    ) -> Result<ChangesReply, StoreError> {
        let (status, body) = self.call(&self.dialect.changes_call(table, after, wait)).await?;
        self.dialect.changes_reply(status, &body)
    }

    /// Fails without sending anything while the store is unavailable.
    async fn call(&self, call: &StoreCall) -> StoreAnswer {
        if self.outage().is_some() {
            return Err(StoreError::Unavailable);
        }
        let begun = Instant::now();
        let result = self.call_hedged(call).await;
        if matches!(result, Err(StoreError::Unavailable | StoreError::ReplyLost)) {
            // Calls fail at once from now on, until a probe succeeds.
            if self.health.borrow_mut().record_failure(begun) {
                self.changed.notify_waiters();
            }
        }
        result
    }

    /// Time since calls are relayed by peers because the direct path fails; `None` while it works
    /// or no path does.
    pub(crate) fn relayed_for(&self) -> Option<Duration> {
        self.health.borrow().relayed_for()
    }

    /// Probes the store while it is unavailable. Probes overlap, so that one that hangs does not
    /// delay the detection of its recovery.
    pub(crate) async fn watch(self: Rc<Self>) {
        let mut next_direct_probe = Instant::now();
        loop {
            self.health.borrow_mut().record_tick(PROBE_INTERVAL);
            sleep(PROBE_INTERVAL).await;
            let direct_unavailable = self.health.borrow().is_direct_unavailable();
            if self.outage().is_some() {
                actix_rt::spawn(self.clone().probe());
            } else if direct_unavailable && Instant::now() >= next_direct_probe {
                next_direct_probe = Instant::now() + DIRECT_PROBE_INTERVAL;
                actix_rt::spawn(self.clone().probe_direct());
            }
        }
    }

    /// Probes the direct path, so that no caller's call is spent on it.
    async fn probe_direct(self: Rc<Self>) {
        let table = self.dialect.routes_table();
        let call = self.dialect.changes_call(table, RowVersion::MAX / 2, Duration::ZERO);
        let deadline = Instant::now() + self.health.borrow().timeout();
        // `send` records an answer; a failure changes nothing.
        let _ = self.send(StorePath::Direct { fresh: true }, &call, deadline).await;
    }

    async fn probe(self: Rc<Self>) {
        let table = self.dialect.routes_table();
        let call = self.dialect.changes_call(table, RowVersion::MAX / 2, Duration::ZERO);
        if self.call_hedged(&call).await.is_err() {
            return;
        }
        let unavailable_since = self.health.borrow_mut().record_recovery();
        if let Some(since) = unavailable_since {
            let outage_ms = since.elapsed().as_millis();
            log::info!("event=dependency_regained dependency=store way=any outage_ms={outage_ms}");
            self.changed.notify_waiters();
        }
    }

    pub(crate) async fn serve_relay(&self, request: &[u8]) -> Result<Bytes, RelayError> {
        let call = RelayRequest::parse(request)?;
        if self.health.borrow().is_direct_unavailable() {
            return Err(RelayError::CutOff);
        }
        let deadline = Instant::now() + call.hold + self.health.borrow().timeout();
        let path = StorePath::Direct { fresh: false };
        let (status, body) =
            self.send(path, &call, deadline).await.map_err(|error| match error {
                StoreError::Unavailable => RelayError::CutOff,
                StoreError::ReplyLost | StoreError::Malformed { .. } => RelayError::NoAnswer,
            })?;
        Ok(RelayReply::new(status, &body).encode())
    }
}
