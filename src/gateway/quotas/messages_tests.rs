//! Datagrams about limits keep their form, so that two releases understand each other.

use rstest::rstest;

use super::messages::QuotaMessage;

#[rstest]
#[case::ask(br#"{"ask":{"id":7,"workspace":"w","ask":{"opens":true}}}"#)]
#[case::reply(
    br#"{"reply":{"id":7,"reply":{"refused":{"retry_after":{"secs":1,"nanos":0}}},"chief":"b"}}"#
)]
#[case::release(br#"{"give_back":{"workspace":"w","ask":{"opens":false}}}"#)]
fn datagrams_keep_their_form(#[case] text: &[u8]) {
    let datagram = [&[0xFF], text].concat();
    let message = QuotaMessage::decode(&datagram).expect("it is one about limits");
    assert_eq!(message.expect("it is readable").encode(), datagram);
}
