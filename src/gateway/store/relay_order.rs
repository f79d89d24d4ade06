//! Orders the peers that may relay store calls by recent success.

use std::time::Duration;

use crate::gateway::latency::FailedPeers;

/// How long a peer that failed to relay sorts last: short against a network partition, long against
/// the interval at which the peer itself probes the store.
const FAILED_PEER_MAX_AGE: Duration = Duration::from_secs(1);

#[derive(Debug)]
pub(super) struct RelayOrder {
    /// Tried first: other peers may be cut off too, and each of these delays the call.
    last_success: Option<Box<str>>,
    failed: FailedPeers,
}

impl Default for RelayOrder {
    fn default() -> Self {
        Self { last_success: None, failed: FailedPeers::new(FAILED_PEER_MAX_AGE) }
    }
}

impl RelayOrder {
    pub(super) fn record(&mut self, peer: &str, relayed: bool) {
        if relayed {
            self.failed.clear(peer);
            self.last_success = Some(peer.into());
            return;
        }
        self.failed.record(peer);
        if self.last_success.as_deref() == Some(peer) {
            self.last_success = None;
        }
    }

    /// The sort is stable: peers of equal rank keep their order.
    pub(super) fn order(&self, mut peers: Vec<Box<str>>) -> Vec<Box<str>> {
        peers.sort_by_key(|peer| match peer {
            peer if self.last_success.as_ref() == Some(peer) => 0,
            peer if !self.failed.contains(peer) => 1,
            _ => 2,
        });
        peers
    }
}
