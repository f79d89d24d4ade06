//! Remembers the upstreams that left the list, so that a heartbeat that the store applies late does
//! not make them look ready again.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use super::{EntrySequence, StartMillis, UpstreamEntry, UpstreamState};
use crate::core::ids::UpstreamId;

/// Covers the delay of late writes.
const RETENTION: Duration = Duration::from_secs(60);
/// 10,000 take about 1 MB.
const MAX_DEPARTURES: usize = 10_000;

/// Why an entry is no longer listed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum DepartureCause {
    /// Its row was removed while the store worked.
    Removed,
    /// It was not rewritten after an outage of the store, or cannot be decoded.
    Lapsed,
}

/// What an entry of an upstream says that had left the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReturnVerdict {
    /// It is alive, or no departure is known.
    Accepted,
    /// It may be a write of before its departure. A further heartbeat tells.
    Unproven,
    /// It was written before its departure, or after it had begun to drain.
    Outdated,
}

#[derive(Debug, Clone, Copy)]
struct Departure {
    started_at: Option<StartMillis>,
    sequence: EntrySequence,
    was_draining: bool,
    cause: DepartureCause,
    at: Instant,
}

#[derive(Debug, Default)]
pub(super) struct DepartureLog {
    departures: HashMap<UpstreamId, Departure>,
}

impl DepartureLog {
    pub(super) fn record(&mut self, entry: &UpstreamEntry, cause: DepartureCause, now: Instant) {
        if self.departures.len() >= MAX_DEPARTURES {
            self.make_room(now);
        }
        let departure = Departure {
            started_at: entry.started_at,
            sequence: entry.sequence,
            was_draining: entry.state == UpstreamState::Draining,
            cause,
            at: now,
        };
        self.departures.insert(entry.id.clone(), departure);
    }

    fn make_room(&mut self, now: Instant) {
        self.departures.retain(|_, departure| now - departure.at < RETENTION);
        if self.departures.len() < MAX_DEPARTURES {
            return;
        }
        let oldest = self.departures.iter().min_by_key(|(_, departure)| departure.at);
        if let Some(id) = oldest.map(|(id, _)| id.clone()) {
            self.departures.remove(&id);
        }
    }

    pub(super) fn judge(&self, entry: &UpstreamEntry, now: Instant) -> ReturnVerdict {
        let departure = self.departures.get(&entry.id).filter(|departure| {
            departure.started_at == entry.started_at && now - departure.at < RETENTION
        });
        let Some(departure) = departure else { return ReturnVerdict::Accepted };
        if entry.state == UpstreamState::Draining {
            return ReturnVerdict::Accepted;
        }
        if departure.was_draining || entry.sequence <= departure.sequence {
            return ReturnVerdict::Outdated;
        }
        match departure.cause {
            DepartureCause::Removed => ReturnVerdict::Unproven,
            DepartureCause::Lapsed => ReturnVerdict::Accepted,
        }
    }

    pub(super) fn forget(&mut self, id: &str) {
        self.departures.remove(id);
    }
}
