//! Index of upstreams by service, ordered per key without sorting thousands of entries.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64;

use super::UpstreamEntry;
use crate::core::ids::UpstreamId;
use crate::core::routing::ServiceName;

/// Entries sorted at first. Visits seldom go beyond them, as most entries are available.
const PARTIAL_SORT_LEN: usize = 64;

#[derive(Debug)]
struct IndexEntry {
    id: UpstreamId,
    id_hash: u64,
    zone_hash: u64,
}

#[derive(Debug, Default)]
pub(super) struct ServiceIndex {
    services: HashMap<ServiceName, Vec<IndexEntry>>,
}

/// Bit mixer: every input bit affects the others, so that each key yields its own order.
pub(super) fn mix(value: u64) -> u64 {
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

    /// Visits the upstreams of a service in the order of `key`, those of `zone` first, until `visit`
    /// returns false. The order is the same on every instance.
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
