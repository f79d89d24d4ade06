//! Guards against changes of the wire format that would break a rolling update.

use std::time::Duration;

use super::relay::{RelayReply, RelayRequest, decode_reply};

#[test]
fn request_encoding_is_stable() {
    let text = r#"{"method":"POST","target":"/t?a=1","body":"Ym9keQ==","hold_ms":250}"#;
    let call = RelayRequest::parse(text.as_bytes()).expect("it decodes");
    assert_eq!((&*call.body, call.hold), (&b"body"[..], Duration::from_millis(250)));
    assert_eq!(RelayRequest::new(&call).encode(), text);
}

#[test]
fn reply_encoding_is_stable() {
    let text = r#"{"status":409,"body":"Ym9keQ=="}"#;
    let (status, body) = decode_reply(text.as_bytes()).expect("it decodes");
    assert_eq!(RelayReply::new(status, &body).encode(), text);
}
