//! Guards against changes of the stored lease, which instances of different releases share.

use super::SweepLease;

#[test]
fn stored_lease_format_is_stable() {
    let text = r#"{"holder":"a","until_ms":1700}"#;
    let lease: SweepLease = serde_json::from_str(text).expect("leases are readable");
    assert_eq!(serde_json::to_string(&lease).expect("leases serialize"), text);
}
