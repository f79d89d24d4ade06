//! Assignment of shards to instances.

use std::collections::BTreeMap;

use merlinsaddle::core::ids::InstanceId;
use merlinsaddle::core::ownership::assign_shards;
use rstest::rstest;

const SHARDS: u16 = 1024;

fn instances(count: usize) -> Vec<InstanceId> {
    (0..count).map(|index| format!("instance-{index}").into()).collect()
}

#[rstest]
#[case(1)]
#[case(3)]
#[case(11)]
#[case(100)]
fn load_of_every_instance_is_bounded(#[case] count: usize) {
    let mut owned: BTreeMap<InstanceId, usize> = BTreeMap::new();
    for owner in assign_shards(SHARDS, &instances(count)).into_values() {
        *owned.entry(owner).or_default() += 1;
    }
    let bound = (usize::from(SHARDS) * 110).div_ceil(count * 100);
    assert_eq!(owned.values().sum::<usize>(), usize::from(SHARDS));
    assert!(owned.values().all(|owned| *owned <= bound), "{owned:?}");
}

/// Guards against a departure that moves more shards than the load bound requires.
#[rstest]
#[case(3)]
#[case(11)]
#[case(100)]
fn departure_of_an_instance_moves_few_other_shards(#[case] count: usize) {
    let members = instances(count);
    let before = assign_shards(SHARDS, &members);
    let after = assign_shards(SHARDS, &members[1..]);
    let own = before.values().filter(|owner| **owner == members[0]).count();
    let moved = before.iter().filter(|(shard, owner)| after[shard] != **owner).count();
    assert!(moved <= own * 2, "{moved} shards moved, {own} of them from the departed instance");
}

#[test]
fn assignment_does_not_depend_on_member_order() {
    let members = instances(11);
    let mut reversed = members.clone();
    reversed.reverse();
    assert_eq!(assign_shards(SHARDS, &members), assign_shards(SHARDS, &reversed));
}

#[test]
fn no_shard_is_assigned_without_members() {
    assert!(assign_shards(SHARDS, &[]).is_empty());
}
