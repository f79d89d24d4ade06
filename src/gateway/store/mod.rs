//! The one way to the platform's store: directly, or by a peer where this instance is cut off.

mod health;
mod relay;
mod relay_order;
#[cfg(test)]
mod relay_tests;
mod ways;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

use self::health::StoreHealth;
use self::relay::{RelayReply, RelayRequest};
use self::relay_order::RelayOrder;
use self::ways::StoreWay;
use super::dialect::GatewayDialect;
use super::http::ConnectionPool;
use super::metrics::StoreMeter;
use super::rows::{
    ChangesReply, CommitReply, RangeReply, RowRange, RowTransaction, RowVersion, StoreCall,
};
use crate::node::platform::StoreError;

pub(crate) use self::relay::{RELAY_PATH, RelayError};

/// While no way works, a question looks this often whether the store is back.
const PROBE_PACE: Duration = Duration::from_millis(250);
/// While only the direct way fails, a question looks this often whether it works again: nobody waits
/// for it, and each counts as a call of the store.
const DIRECT_PROBE_PACE: Duration = Duration::from_millis(500);

/// Addresses of peers that may relay, those that are likelier to reach the store first.
pub(crate) trait RelayPeers {
    fn relay_addresses(&self) -> Vec<Box<str>>;
}

type StoreAnswer = Result<(u16, Bytes), StoreError>;

/// The client of the store.
pub(crate) struct StoreLink {
    address: Box<str>,
    pool: Rc<ConnectionPool>,
    dialect: Rc<dyn GatewayDialect>,
    peers: RefCell<Option<Rc<dyn RelayPeers>>>,
    relays: RefCell<RelayOrder>,
    health: RefCell<StoreHealth>,
    /// Tells of every loss and return of the store.
    changed: Notify,
    meter: StoreMeter,
    /// The store's clock and when it was read.
    clock: Cell<Option<(Duration, Instant)>>,
    across: bool,
}

impl StoreLink {
    pub(crate) fn new(
        address: &str,
        pool: Rc<ConnectionPool>,
        dialect: Rc<dyn GatewayDialect>,
        across: bool,
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
            clock: Cell::new(None),
            across,
        }
    }

    /// Sets who may relay calls.
    pub(crate) fn set_peers(&self, peers: Rc<dyn RelayPeers>) {
        *self.peers.borrow_mut() = Some(peers);
    }

    /// How long no way to the store has worked; none while one does.
    pub(crate) fn outage(&self) -> Option<Duration> {
        self.health.borrow().lost().map(|since| since.elapsed())
    }

    /// Ends when the store is reachable, at once if it is.
    pub(crate) async fn reachable(&self) {
        self.until(false).await;
    }

    /// Ends when no way to the store works.
    pub(crate) async fn unreachable(&self) {
        self.until(true).await;
    }

    async fn until(&self, away: bool) {
        loop {
            let changed = self.changed.notified();
            if self.outage().is_some() == away {
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
        let (status, body) = self.call(&self.dialect.range_call(range)).await?;
        let reply = self.dialect.range_reply(status, &body)?;
        self.clock.set(Some((reply.now, Instant::now())));
        Ok(reply)
    }

    /// Names of a table's parts after one of them, a page.
    pub(crate) async fn partitions(
        &self,
        table: &str,
        after: Option<&str>,
    ) -> Result<Vec<Box<str>>, StoreError> {
        let (status, body) = self.call(&self.dialect.partitions_call(table, after)).await?;
        self.dialect.partitions_reply(status, &body)
    }

    /// The store's steady clock, in milliseconds, as far as its last page of rows tells.
    pub(crate) fn now_millis(&self) -> u64 {
        let now = self.clock.get().map_or(Duration::ZERO, |(now, read)| now + read.elapsed());
        now.as_millis() as u64
    }

    /// Whether the store answers far more slowly than it usually does.
    pub(crate) fn is_slow(&self) -> bool {
        self.health.borrow().is_slow()
    }

    /// Whether the store refuses only some writes, for their rate.
    pub(crate) fn is_over_rate(&self) -> bool {
        self.health.borrow().is_over_rate()
    }

    /// Whether transactions may concern several parts.
    pub(crate) fn takes_across(&self) -> bool {
        self.across
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

    /// Makes a call unless the store is away; then nothing is sent.
    async fn call(&self, call: &StoreCall) -> StoreAnswer {
        if self.outage().is_some() {
            return Err(StoreError::Unavailable);
        }
        let begun = Instant::now();
        let result = self.race(call).await;
        if matches!(result, Err(StoreError::Unavailable | StoreError::ReplyLost)) {
            // From now on calls fail at once, until a probe finds the store.
            if self.health.borrow_mut().failed(begun) {
                self.changed.notify_waiters();
            }
        }
        result
    }

    /// How long calls have gone by peers because the direct way fails; none while it works or no way
    /// does.
    pub(crate) fn relayed(&self) -> Option<Duration> {
        self.health.borrow().relayed()
    }

    /// Looks for the store while it is away. Probes overlap: one that hangs must not keep the next
    /// from finding that the store is back.
    pub(crate) async fn watch(self: Rc<Self>) {
        let mut direct_at = Instant::now();
        loop {
            sleep(PROBE_PACE).await;
            let direct_lost = self.health.borrow().is_direct_lost();
            if self.outage().is_some() {
                actix_rt::spawn(self.clone().probe());
            } else if direct_lost && Instant::now() >= direct_at {
                direct_at = Instant::now() + DIRECT_PROBE_PACE;
                actix_rt::spawn(self.clone().probe_direct());
            }
        }
    }

    /// Looks whether the direct way works again, so that no call of a caller has to find out.
    async fn probe_direct(self: Rc<Self>) {
        let table = self.dialect.routes_table();
        let call = self.dialect.changes_call(table, RowVersion::MAX / 2, Duration::ZERO);
        let limit = Instant::now() + self.health.borrow().limit();
        // An answer is noted where it arrives; a failure changes nothing.
        let _ = self.send(StoreWay::Direct { fresh: true }, &call, limit).await;
    }

    async fn probe(self: Rc<Self>) {
        let table = self.dialect.routes_table();
        let call = self.dialect.changes_call(table, RowVersion::MAX / 2, Duration::ZERO);
        if self.race(&call).await.is_err() {
            return;
        }
        let lost = self.health.borrow_mut().returned();
        if let Some(since) = lost {
            let outage_ms = since.elapsed().as_millis();
            log::info!("event=dependency_regained dependency=store way=any outage_ms={outage_ms}");
            self.changed.notify_waiters();
        }
    }

    /// Makes a call for a peer; none if the store did not answer it.
    pub(crate) async fn serve_relay(&self, request: &[u8]) -> Result<Bytes, RelayError> {
        let call = RelayRequest::parse(request)?;
        if self.health.borrow().is_direct_lost() {
            return Err(RelayError::CutOff);
        }
        let limit = Instant::now() + call.hold + self.health.borrow().limit();
        let way = StoreWay::Direct { fresh: false };
        let (status, body) = self.send(way, &call, limit).await.map_err(|error| match error {
            StoreError::Unavailable => RelayError::CutOff,
            StoreError::ReplyLost | StoreError::Malformed { .. } => RelayError::NoAnswer,
        })?;
        Ok(RelayReply::new(status, &body).encode())
    }
}
