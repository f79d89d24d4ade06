//! Assigns shards and engines to instances by rendezvous hashing with bounded loads.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::core::ids::{InstanceId, ShardId, UpstreamId};

/// Maximum load of a member, relative to the mean.
const MAX_LOAD_PERCENT: usize = 110;

/// Returns the desired owner of every shard: the member of highest weight below the load bound.
///
/// The result depends only on the set of members, and is empty without members. A member that
/// joins or leaves moves few shards besides its own.
pub fn assign_shards(shards: ShardId, members: &[InstanceId]) -> BTreeMap<ShardId, InstanceId> {
    assign_keys((0..shards).collect(), |shard| mix64(u64::from(*shard) + 1), members)
}

/// Returns the owner of every engine, by the rule of [`assign_shards`].
pub fn assign_engines(
    engines: Vec<UpstreamId>,
    members: &[InstanceId],
) -> BTreeMap<UpstreamId, InstanceId> {
    assign_keys(engines, |engine| xxh3_64(engine.as_bytes()), members)
}

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
    let bound = (keys.len() * MAX_LOAD_PERCENT).div_ceil(members.len() * 100);
    let load = |instance| MemberLoad { instance, hash: member_hash(instance), owned: 0 };
    let mut loads: Vec<MemberLoad<'_>> = members.iter().map(load).collect();
    for key in keys {
        let key_hash = hash(&key);
        let below_bound = loads.iter_mut().filter(|load| load.owned < bound);
        let best = below_bound.max_by_key(|load| mix64(load.hash ^ key_hash));
        let best = best.expect("the load bound leaves capacity for every key");
        best.owned += 1;
        desired.insert(key, best.instance.clone());
    }
    desired
}

fn member_hash(instance: &InstanceId) -> u64 {
    xxh3_64(instance.as_bytes())
}

/// The SplitMix64 finalizer: every input bit affects every output bit.
fn mix64(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
