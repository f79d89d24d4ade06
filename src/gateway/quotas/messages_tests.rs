//! Guards the wire format of quota datagrams between instances of different releases.

use rstest::rstest;

use super::messages::QuotaMessage;

#[rstest]
#[case::ask(br#"{"ask":{"id":7,"workspace":"w","ask":{"opens":true}}}"#)]
#[case::reply(
    br#"{"reply":{"id":7,"reply":{"refused":{"retry_after":{"secs":1,"nanos":0}}},"chief":"b"}}"#
)]
#[case::release(br#"{"give_back":{"workspace":"w","ask":{"opens":false}}}"#)]
fn decoded_datagram_encodes_to_the_same_bytes(#[case] text: &[u8]) {
    let datagram = [&[0xFF], text].concat();
    let message = QuotaMessage::decode(&datagram).expect("a quota datagram");
    assert_eq!(message.expect("well formed").encode(), datagram);
}
