//! Updates about a dead member that arrive out of order.

use merlinsaddle::core::members::{
    GossipBody, GossipMessage, MemberInfo, MemberLoad, MemberSettings, MemberState, MemberTable,
};
use merlinsaddle::core::timeline::CausalStamp;
use tokio::time::Instant;

fn info(name: &str, incarnation: u64, state: MemberState) -> MemberInfo {
    MemberInfo {
        instance: name.into(),
        incarnation,
        revision: 1,
        state,
        zone: "z".into(),
        http_address: format!("{name}:1").into(),
        rpc_address: format!("{name}:2").into(),
        gossip_address: format!("{name}:3").into(),
        load: MemberLoad::default(),
    }
}

fn message(updates: Vec<MemberInfo>) -> GossipMessage {
    GossipMessage {
        stamp: CausalStamp::default(),
        from: "sender".into(),
        from_address: "sender:3".into(),
        config_head: 0,
        head_age: None,
        sequence: 0,
        updates,
        body: GossipBody::Ack,
    }
}

/// A joining member must not route callers to a dead member because of an outdated update, but must
/// accept a new incarnation.
#[tokio::test(start_paused = true)]
async fn outdated_update_does_not_revive_a_dead_member() {
    let me = info("me", 1, MemberState::Alive);
    let mut table = MemberTable::new(MemberSettings::default(), me, 7, Instant::now());
    let state = |table: &MemberTable| table.get("gone").map(|member| member.state);
    table.receive(&message(vec![info("gone", 5, MemberState::Dead)]), Instant::now());
    table.receive(&message(vec![info("gone", 5, MemberState::Alive)]), Instant::now());
    assert_eq!(state(&table), Some(MemberState::Dead));
    // Not forwarded, not even to joining members, which would pass it on for ever.
    let mut join = message(Vec::new());
    join.body = GossipBody::Join;
    let reply = table.receive(&join, Instant::now());
    let sent = format!("{reply:?}{:?}", table.tick(Instant::now()));
    assert!(sent.contains("me:3") && !sent.contains("gone"), "{sent}");
    table.receive(&message(vec![info("gone", 6, MemberState::Alive)]), Instant::now());
    assert_eq!(state(&table), Some(MemberState::Alive));
}
