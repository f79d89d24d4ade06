//! Guards against changes of the wire format that would break a rolling update.

use bytes::Bytes;

use super::messages::{WatchReply, WatchRequest};

#[test]
fn reply_encoding_is_stable() {
    let text = Bytes::from_static(
        b"{\"routes\":{\"head\":4,\"age_ms\":30,\"whole\":true,\"more\":false,\"rows\":[{\"part\":\"p\",\"key\":\"k\",\"version\":4,\"bytes\":3}]},\
\"upstreams\":{\"head\":9,\"age_ms\":20,\"whole\":false,\"more\":true,\"rows\":[{\"part\":\"p\",\"key\":\"u\",\"version\":8,\"bytes\":2},{\"part\":\"p\",\"key\":\"gone\",\"version\":9,\"bytes\":null}]},\
\"returned_ms\":700,\"held_ms\":600,\"hops\":2}\nabcde",
    );
    let reply = WatchReply::decode(&text, "routes", "upstreams").expect("it decodes");
    assert_eq!(reply.encode(), text);
}

#[test]
fn request_encoding_is_stable() {
    let text = r#"{"routes_after":4,"upstreams_after":9,"continues":true,"hold_ms":600}"#;
    let request: WatchRequest = serde_json::from_str(text).expect("it decodes");
    assert_eq!(serde_json::to_string(&request).expect("requests serialize"), text);
}
