//! Rendezvous hashing with a bound on the load.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::core::ids::{InstanceId, ShardId, UpstreamId};

/// A member may own this share above the mean, in percent.
const LOAD_BOUND_PERCENT: usize = 110;

/// The desired owner of every shard: the instance with the highest weight that is not full yet.
///
/// Every instance that knows the same members computes the same; a member that comes or goes
/// moves its own shards and few others. Empty without members.
pub fn assign_shards(shards: ShardId, members: &[InstanceId]) -> BTreeMap<ShardId, InstanceId> {
    assign_keys((0..shards).collect(), |shard| mix(u64::from(*shard) + 1), members)
}

/// The owner of every engine, by the same rule.
pub fn assign_engines(
    engines: Vec<UpstreamId>,
    members: &[InstanceId],
) -> BTreeMap<UpstreamId, InstanceId> {
    assign_keys(engines, |engine| xxh3_64(engine.as_bytes()), members)
}

/// A member's hash, computed once, and the keys it was given so far.
struct MemberLoad<'a> {
    instance: &'a InstanceId,
    hash: u64,
    owned: usize,
}

fn assign_keys<K: Ord>(
    keys: Vec<K>,
    hash: impl Fn(&K) -> u64,
    members: &[InstanceId],
) -> BTreeMap<K, InstanceId> {
    let mut desired = BTreeMap::new();
    if members.is_empty() {
        return desired;
    }
    let bound = (keys.len() * LOAD_BOUND_PERCENT).div_ceil(members.len() * 100);
    let load = |instance| MemberLoad { instance, hash: member_hash(instance), owned: 0 };
    let mut loads: Vec<MemberLoad<'_>> = members.iter().map(load).collect();
    for key in keys {
        let seed = hash(&key);
        let open = loads.iter_mut().filter(|load| load.owned < bound);
        let best = open.max_by_key(|load| mix(load.hash ^ seed));
        let best = best.expect("the bound leaves room for every key");
        best.owned += 1;
        desired.insert(key, best.instance.clone());
    }
    desired
}

fn member_hash(instance: &InstanceId) -> u64 {
    xxh3_64(instance.as_bytes())
}

/// Finalizer of SplitMix64: every bit of the input reaches every bit of the output.
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
