//! A lease that lets one instance at a time send orders to the engines of a model.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::rollout::FencingToken;
use crate::core::ownership::ShardOwner;

/// The stored lease. A renewal writes the same row again, which raises its version.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Absent after the holder has released the lease.
    pub holder: Option<ShardOwner>,
    /// Increases by one with each new holder.
    pub fence: FencingToken,
}

#[derive(Debug, Clone, Copy)]
pub struct LeaseSettings {
    /// Counted by the holder from before it sends a renewal, by others from when they first read
    /// the renewed row.
    pub term: Duration,
    /// Time limit of an order; none is sent if less than this is left of the lease.
    pub order_timeout: Duration,
    /// Maximum drift between two clocks during a term.
    pub clock_error: Duration,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseAction {
    Wait,
    /// Write this row if the stored row still has this version.
    Write {
        row: LeaseRow,
        version: u64,
    },
}

#[derive(Debug, Clone)]
struct ObservedLease {
    row: LeaseRow,
    version: u64,
    observed_at: Instant,
}

/// Wall clocks of different instances are never compared. The holder counts the term from before
/// it sent its last renewal and the others from a later moment, so the holder's term ends first
/// if drift stays within `clock_error`. A holder that was paused must check
/// [`OrderLease::valid_fence`] before each order.
#[derive(Debug, Default)]
pub struct OrderLease {
    observed: Option<ObservedLease>,
    /// Fencing token and end of the last term that the store confirmed.
    held: Option<(FencingToken, Instant)>,
}

impl OrderLease {
    /// Records a read of the row; the term is counted from the first read of each version.
    pub fn observe(&mut self, row: LeaseRow, version: u64, now: Instant) {
        if self.observed.as_ref().is_none_or(|observed| observed.version != version) {
            self.observed = Some(ObservedLease { row, version, observed_at: now });
        }
    }

    /// Decides what to do with the row observed last, given whether `me` should hold the lease.
    pub fn plan(
        &self,
        me: &ShardOwner,
        should_hold: bool,
        settings: &LeaseSettings,
        now: Instant,
    ) -> LeaseAction {
        let Some(observed) = &self.observed else { return LeaseAction::Wait };
        let write = |row| LeaseAction::Write { row, version: observed.version };
        let mut row = observed.row.clone();
        if row.holder.as_ref() == Some(me) {
            row.holder = should_hold.then(|| me.clone());
            return write(row);
        }
        // Only expiry proves that a former holder sends no more orders, even to engines that check
        // fencing tokens: an engine loses the highest token it has seen when it restarts.
        let expired = now - observed.observed_at >= settings.term + settings.clock_error;
        if !should_hold || !(row.holder.is_none() || expired) {
            return LeaseAction::Wait;
        }
        row.fence += 1;
        row.holder = Some(me.clone());
        write(row)
    }

    /// To be called when the store has confirmed a write of `row` that was sent at `sent` or later.
    pub fn record_write(&mut self, row: &LeaseRow, settings: &LeaseSettings, sent: Instant) {
        let held = row.holder.is_some();
        self.held = held.then_some((row.fence, sent + settings.term));
    }

    /// To be called when the stored row does not name this instance as the holder.
    pub fn invalidate(&mut self) {
        self.held = None;
    }

    /// Returns the fencing token if an order sent now arrives before the lease ends.
    pub fn valid_fence(&self, settings: &LeaseSettings, now: Instant) -> Option<FencingToken> {
        let (fence, end) = self.held?;
        let latest = end - settings.order_timeout - settings.clock_error;
        (now < latest).then_some(fence)
    }
}
