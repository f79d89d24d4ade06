//! News of a death and of the life before it, in the wrong order.

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

fn news(updates: Vec<MemberInfo>) -> GossipMessage {
    GossipMessage {
        stamp: CausalStamp::default(),
        from: "teller".into(),
        from_address: "teller:3".into(),
        config_head: 0,
        head_age: None,
        sequence: 0,
        updates,
        body: GossipBody::Ack,
    }
}

/// A machine is gone for good. An instance that has just started asks two members for everybody: the first
/// knows of the death, the second has not heard of it. Callers must not be sent to the machine by that; a
/// new run of it counts.
#[tokio::test(start_paused = true)]
async fn a_newcomer_believes_the_death_it_heard_of_first() {
    let me = info("me", 1, MemberState::Alive);
    let mut table = MemberTable::new(MemberSettings::default(), me, 7, Instant::now());
    let state = |table: &MemberTable| table.get("gone").map(|member| member.state);
    table.receive(&news(vec![info("gone", 5, MemberState::Dead)]), Instant::now());
    table.receive(&news(vec![info("gone", 5, MemberState::Alive)]), Instant::now());
    assert_eq!(state(&table), Some(MemberState::Dead));
    // Nothing of it is passed on, to newcomers neither: the news of the death would go round for ever.
    let mut join = news(Vec::new());
    join.body = GossipBody::Join;
    let welcome = table.receive(&join, Instant::now());
    let sent = format!("{welcome:?}{:?}", table.tick(Instant::now()));
    assert!(sent.contains("me:3") && !sent.contains("gone"), "{sent}");
    table.receive(&news(vec![info("gone", 6, MemberState::Alive)]), Instant::now());
    assert_eq!(state(&table), Some(MemberState::Alive));
}
