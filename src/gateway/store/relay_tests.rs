//! Relayed store calls keep their form, so that two releases understand each other.

use std::time::Duration;

use super::relay::{RelayReply, RelayRequest, read_relay};

#[test]
fn requests_keep_their_form() {
    let text = r#"{"method":"POST","target":"/t?a=1","body":"Ym9keQ==","hold_ms":250}"#;
    let call = RelayRequest::parse(text.as_bytes()).expect("it is readable");
    assert_eq!((&*call.body, call.hold), (&b"body"[..], Duration::from_millis(250)));
    assert_eq!(RelayRequest::new(&call).encode(), text);
}

#[test]
fn replies_keep_their_form() {
    let text = r#"{"status":409,"body":"Ym9keQ=="}"#;
    let (status, body) = read_relay(text.as_bytes()).expect("it is readable");
    assert_eq!(RelayReply::new(status, &body).encode(), text);
}
