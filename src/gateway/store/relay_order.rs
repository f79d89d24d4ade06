//! Which peers to ask first for store calls.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

/// How long a peer that did not relay is asked last: a cut lasts seconds, and one that has healed is
/// noticed by the peer's own probe within half a second.
const FAILED_LAST: Duration = Duration::from_secs(1);

/// What is known of peers as relays.
#[derive(Debug, Default)]
pub(super) struct RelayOrder {
    /// The one that relayed last. It is asked first: others may be cut off too, and each that is costs
    /// the call a detour.
    proven: Option<Box<str>>,
    failed: BTreeMap<Box<str>, Instant>,
}

impl RelayOrder {
    /// Notes whether a peer relayed a call.
    pub(super) fn note(&mut self, peer: &str, relayed: bool) {
        if relayed {
            self.failed.remove(peer);
            self.proven = Some(peer.into());
            return;
        }
        self.failed.insert(peer.into(), Instant::now());
        if self.proven.as_deref() == Some(peer) {
            self.proven = None;
        }
    }

    /// Peers in the order in which to ask them; equals keep theirs.
    pub(super) fn order(&mut self, mut peers: Vec<Box<str>>) -> Vec<Box<str>> {
        self.failed.retain(|_, at| at.elapsed() < FAILED_LAST);
        peers.sort_by_key(|peer| match peer {
            peer if self.proven.as_ref() == Some(peer) => 0,
            peer if !self.failed.contains_key(peer) => 1,
            _ => 2,
        });
        peers
    }
}
