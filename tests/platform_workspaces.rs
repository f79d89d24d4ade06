//! The adapter: workspaces and their keys in the operator's configuration, good and bad.

#[path = "../platform/mod.rs"]
mod platform;

use bytes::Bytes;
use merlinsaddle::core::workspaces::ApiKey;
use merlinsaddle::gateway::dialect::GatewayDialect;
use merlinsaddle::gateway::rows::{RowKey, StoredRow};
use platform::PlatformDialect;
use rstest::rstest;

fn row(text: &str) -> StoredRow {
    let key = RowKey { table: "t".into(), partition: "".into(), key: "config".into() };
    StoredRow { key, value: Some(Bytes::from(text.to_owned())), version: 7 }
}

const WORKSPACES: &str = r#"{"version":7,"routes":[],"services":[],
    "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,
              "idle-timeout-ms":15000},
    "tenants":[{"name":"acme","api-keys":["k1","k2"],"priority":1,"rate-per-s":20,"burst":30},
               {"name":"free","api-keys":["k3"]},{"name":"locked"}]}"#;

#[test]
fn workspaces_are_decoded_and_print_no_key() {
    let table = PlatformDialect.route_table(&row(WORKSPACES));
    let table = table.expect("it is valid").expect("it is the configuration");
    let workspaces = table.workspaces().expect("it names some");
    let names: Vec<_> = ["k1", "k2", "k3", "k4"]
        .map(|key| workspaces.find_by_key(&ApiKey::new(key)).map(|holder| holder.name.clone()))
        .into();
    insta::assert_debug_snapshot!(
        (names, workspaces.get("acme"), workspaces.get("free"), workspaces.get("locked")),
        @r#"
    (
        [
            Some(
                "acme",
            ),
            Some(
                "acme",
            ),
            Some(
                "free",
            ),
            None,
        ],
        Some(
            WorkspaceSpec {
                name: "acme",
                keys: [
                    ApiKey(..),
                    ApiKey(..),
                ],
                priority: Some(
                    1,
                ),
                quota: Some(
                    QuotaLimit {
                        rate: 20.0,
                        burst: 30.0,
                    },
                ),
            },
        ),
        Some(
            WorkspaceSpec {
                name: "free",
                keys: [
                    ApiKey(..),
                ],
                priority: None,
                quota: None,
            },
        ),
        Some(
            WorkspaceSpec {
                name: "locked",
                keys: [],
                priority: None,
                quota: None,
            },
        ),
    )
    "#
    );
    let printed = format!("{table:?}");
    for key in ["k1", "k2", "k3"] {
        assert!(!printed.contains(key), "{printed}");
    }
}

/// The operator's tool writes a key where a list is expected, or spells a number as the key. The
/// error goes to the log, which more people read than may know keys: it names the place and leaves
/// out what stands there.
#[rstest]
#[case(r#"{"version":1,"routes":[],"services":[],"limits":{"max-header-bytes":1,"max-body-bytes":1,"header-timeout-ms":1,"idle-timeout-ms":1},"tenants":[{"name":"a","api-keys":"s3cret"}]}"#)]
#[case(r#"{"version":1,"routes":[],"services":[],"limits":{"max-header-bytes":1,"max-body-bytes":1,"header-timeout-ms":1,"idle-timeout-ms":1},"tenants":[{"name":"a","priority":"s3cret"}]}"#)]
#[case(r#"{"version":1,"routes":[],"services":[],"limits":{"max-header-bytes":1,"max-body-bytes":1,"header-timeout-ms":1,"idle-timeout-ms":1},"tenants":["s3cret"]}"#)]
#[case(r#"{"version":1,"tenants":[{"name":"a","api-keys":["s3cret"}"#)]
fn an_unreadable_configuration_tells_no_key(#[case] text: &str) {
    let error = PlatformDialect.route_table(&row(text)).expect_err("it is bad");
    let text = error.to_string();
    assert!(!text.contains("s3cret"), "{text}");
    assert!(text.contains("line 1 column"), "{text}");
}
