//! Guards against encoding changes that break gossip between releases.

use std::time::Duration;

use rstest::rstest;

use super::codec::{decode_gossip, encode_gossip};
use crate::core::members::{GossipBody, GossipMessage, MemberInfo, MemberLoad, MemberState};
use crate::core::timeline::CausalStamp;

fn message(body: GossipBody, state: MemberState) -> GossipMessage {
    let update = MemberInfo {
        instance: "b".into(),
        incarnation: 3,
        revision: 2,
        state,
        zone: "z".into(),
        http_address: "h".into(),
        rpc_address: "r".into(),
        gossip_address: "g".into(),
        load: MemberLoad { paying: 1, trial: 2, pressure: 3, hold_millis: 4 },
    };
    GossipMessage {
        stamp: CausalStamp { wall_micros: 8, counter: 1 },
        from: "a".into(),
        from_address: "f".into(),
        config_head: 5,
        head_age: Some(Duration::from_millis(6)),
        sequence: 7,
        updates: vec![update],
        body,
    }
}

fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

#[rstest]
#[case::ping(
    GossipBody::Ping,
    MemberState::Alive,
    "101b50030501050107010711100211151211151211154700000108010101610166510403050103410202150103041111121111121111121111121111120162017a016801720167"
)]
#[case::ack(
    GossipBody::Ack,
    MemberState::Suspect,
    "101b500305010511070101071110021115121115121115470000010801010161016651040305010351020102150103041111121111121111121111121111120162017a016801720167"
)]
#[case::indirect_ping(GossipBody::IndirectPing("t".into()), MemberState::Leaving, "101c50030501051107020107111002111512111512111547114912010801010161016651040305010351020202150103041111121111121111121111121111120162017a0168017201670174")]
#[case::join(
    GossipBody::Join,
    MemberState::LeavingSuspect,
    "101b500305010511070301071110021115121115121115470000010801010161016651040305010351020402150103041111121111121111121111121111120162017a016801720167"
)]
#[case::dead(
    GossipBody::Ping,
    MemberState::Dead,
    "101b5003050105010701071110021115121115121115470000010801010161016651040305010351020302150103041111121111121111121111121111120162017a016801720167"
)]
fn gossip_encoding_is_unchanged(
    #[case] body: GossipBody,
    #[case] state: MemberState,
    #[case] expected: &str,
) {
    let message = message(body, state);
    let datagram = encode_gossip(&message);
    assert_eq!(hexadecimal(&datagram), expected);
    assert_eq!(decode_gossip(&datagram).expect("datagram decodes"), message);
}
