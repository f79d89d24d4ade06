//! Which peers to ask first for store calls.

use std::time::Duration;

use crate::gateway::latency::FailedPeers;

/// How long a peer that did not relay is asked last: a cut lasts seconds, and one that has healed is
/// noticed by the peer's own probe within half a second.
const FAILED_LAST: Duration = Duration::from_secs(1);

/// What is known of peers as relays.
#[derive(Debug)]
pub(super) struct RelayOrder {
    /// The one that relayed last. It is asked first: others may be cut off too, and each that is costs
    /// the call a detour.
    proven: Option<Box<str>>,
    failed: FailedPeers,
}

impl Default for RelayOrder {
    fn default() -> Self {
        Self { proven: None, failed: FailedPeers::new(FAILED_LAST) }
    }
}

impl RelayOrder {
    /// Notes whether a peer relayed a call.
    pub(super) fn note(&mut self, peer: &str, relayed: bool) {
        if relayed {
            self.failed.clear(peer);
            self.proven = Some(peer.into());
            return;
        }
        self.failed.record(peer);
        if self.proven.as_deref() == Some(peer) {
            self.proven = None;
        }
    }

    /// Peers in the order in which to ask them; equals keep theirs.
    pub(super) fn order(&self, mut peers: Vec<Box<str>>) -> Vec<Box<str>> {
        peers.sort_by_key(|peer| match peer {
            peer if self.proven.as_ref() == Some(peer) => 0,
            peer if !self.failed.contains(peer) => 1,
            _ => 2,
        });
        peers
    }
}
