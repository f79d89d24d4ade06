//! Upstreams by service, in a form that a choice among thousands can look through.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64;

use super::UpstreamEntry;
use crate::core::ids::UpstreamId;
use crate::core::routing::ServiceName;

/// Entries that are put in order at first; few of them are not usable.
const PARTIAL_SORT_LEN: usize = 64;

/// What a choice needs to know of an upstream that it does not look at closer.
#[derive(Debug)]
struct IndexEntry {
    id: UpstreamId,
    id_hash: u64,
    zone_hash: u64,
}

/// The upstreams of each service.
#[derive(Debug, Default)]
pub(super) struct ServiceIndex {
    services: HashMap<ServiceName, Vec<IndexEntry>>,
}

/// Spreads the bits of a number over all others.
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 32)).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    value ^ (value >> 29)
}

impl ServiceIndex {
    pub(super) fn insert(&mut self, entry: &UpstreamEntry) {
        let indexed = IndexEntry {
            id: entry.id.clone(),
            id_hash: xxh3_64(entry.id.as_bytes()),
            zone_hash: xxh3_64(entry.zone.as_bytes()),
        };
        self.services.entry(entry.service.clone()).or_default().push(indexed);
    }

    pub(super) fn remove(&mut self, entry: &UpstreamEntry) {
        let id_hash = xxh3_64(entry.id.as_bytes());
        let Some(entries) = self.services.get_mut(&entry.service) else { return };
        let same = |known: &IndexEntry| known.id_hash == id_hash && known.id == entry.id;
        if let Some(position) = entries.iter().position(same) {
            entries.swap_remove(position);
        }
    }

    /// Passes on the upstreams of a service in the order of a key, those of a zone first, until enough
    /// were taken. The order of a key is the same at every instance.
    pub(super) fn visit<'a>(
        &'a self,
        service: &str,
        zone: &str,
        key: u64,
        mut visit: impl FnMut(&'a UpstreamId) -> bool,
    ) {
        let Some(entries) = self.services.get(service) else { return };
        let zone_hash = xxh3_64(zone.as_bytes());
        let ranked = |(position, entry): (usize, &IndexEntry)| {
            (entry.zone_hash != zone_hash, mix(entry.id_hash ^ key), position as u32)
        };
        let mut order: Vec<(bool, u64, u32)> = entries.iter().enumerate().map(ranked).collect();
        let mut ordered = order.len();
        if ordered > PARTIAL_SORT_LEN {
            order.select_nth_unstable(PARTIAL_SORT_LEN);
            ordered = PARTIAL_SORT_LEN;
        }
        order[..ordered].sort_unstable();
        for place in 0..order.len() {
            if place == ordered {
                order[ordered..].sort_unstable();
            }
            if !visit(&entries[order[place].2 as usize].id) {
                return;
            }
        }
    }
}
