//! The lease under which one instance orders the engines of one model.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::rollout::FencingNumber;
use crate::core::ownership::ShardOwner;

/// A lease as the table keeps it. Each renewal writes the row again, so that its version rises.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Absent after the holder has let go of it.
    pub holder: Option<ShardOwner>,
    /// Rises by one with each new holder.
    pub fence: FencingNumber,
}

#[derive(Debug, Clone, Copy)]
pub struct LeaseSettings {
    /// Counted by the holder from before it sends a renewal, by others from when they first see
    /// the renewed row.
    pub term: Duration,
    /// Longest an order is under way; none is sent so shortly before the end.
    pub order_timeout: Duration,
    /// How far clocks may drift apart during a term.
    pub clock_error: Duration,
}

/// What to do with the lease's row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseAction {
    /// Leave it alone for now.
    Wait,
    /// Write this row, if it still has this version.
    Write { row: LeaseRow, version: u64 },
}

#[derive(Debug, Clone)]
struct ObservedLease {
    row: LeaseRow,
    version: u64,
    observed_at: Instant,
}

/// One instance's view of a lease.
///
/// No wall clock is compared with another's. The holder counts from before it sent its last
/// renewal, everybody else from a later moment, so the holder stops first if clocks run at about
/// the same speed. A holder that was paused finds its time over when it looks at its clock before
/// the next order.
#[derive(Debug, Default)]
pub struct OrderLease {
    observed: Option<ObservedLease>,
    /// Fencing number and end, while this instance has certainly held it.
    held: Option<(FencingNumber, Instant)>,
}

impl OrderLease {
    /// Takes in the row as it was read.
    pub fn observe(&mut self, row: LeaseRow, version: u64, now: Instant) {
        if self.observed.as_ref().is_none_or(|observed| observed.version != version) {
            self.observed = Some(ObservedLease { row, version, observed_at: now });
        }
    }

    /// Decides about the row that was observed last; `mine` if this instance should hold it.
    pub fn plan(
        &self,
        me: &ShardOwner,
        mine: bool,
        settings: &LeaseSettings,
        now: Instant,
    ) -> LeaseAction {
        let Some(observed) = &self.observed else { return LeaseAction::Wait };
        let write = |row| LeaseAction::Write { row, version: observed.version };
        let mut row = observed.row.clone();
        if row.holder.as_ref() == Some(me) {
            row.holder = mine.then(|| me.clone());
            return write(row);
        }
        // Only time tells that a former holder orders nothing more. That is so for engines that
        // check fencing numbers, too: one that restarts forgets the highest it has seen.
        let expired = now - observed.observed_at >= settings.term + settings.clock_error;
        if !mine || !(row.holder.is_none() || expired) {
            return LeaseAction::Wait;
        }
        row.fence += 1;
        row.holder = Some(me.clone());
        write(row)
    }

    /// A row of [`OrderLease::plan`] was certainly written by a request sent at `sent`.
    pub fn record_write(&mut self, row: &LeaseRow, settings: &LeaseSettings, sent: Instant) {
        let held = row.holder.is_some();
        self.held = held.then_some((row.fence, sent + settings.term));
    }

    /// Another has written the row.
    pub fn invalidate(&mut self) {
        self.held = None;
    }

    /// The fencing number to order with, if an order sent now arrives before the lease ends.
    pub fn valid_fence(&self, settings: &LeaseSettings, now: Instant) -> Option<FencingNumber> {
        let (fence, end) = self.held?;
        let latest = end - settings.order_timeout - settings.clock_error;
        (now < latest).then_some(fence)
    }
}
