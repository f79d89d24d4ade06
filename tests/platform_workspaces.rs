//! Tests of the platform adapter: workspaces and API keys in the configuration.

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
fn workspaces_are_decoded_and_debug_output_has_no_keys() {
    let table = PlatformDialect.route_table(&row(WORKSPACES));
    let table = table.expect("valid row").expect("the configuration row");
    let workspaces = table.workspaces().expect("workspaces are configured");
    let names: Vec<_> = ["k1", "k2", "k3", "k4"]
        .map(|key| {
            workspaces.find_by_key(&ApiKey::new(key)).map(|workspace| workspace.name.clone())
        })
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

/// Guards against API keys in the log when the configuration is malformed: the error gives only
/// the position.
#[rstest]
#[case(r#"{"version":1,"routes":[],"services":[],"limits":{"max-header-bytes":1,"max-body-bytes":1,"header-timeout-ms":1,"idle-timeout-ms":1},"tenants":[{"name":"a","api-keys":"s3cret"}]}"#)]
#[case(r#"{"version":1,"routes":[],"services":[],"limits":{"max-header-bytes":1,"max-body-bytes":1,"header-timeout-ms":1,"idle-timeout-ms":1},"tenants":[{"name":"a","priority":"s3cret"}]}"#)]
#[case(r#"{"version":1,"routes":[],"services":[],"limits":{"max-header-bytes":1,"max-body-bytes":1,"header-timeout-ms":1,"idle-timeout-ms":1},"tenants":["s3cret"]}"#)]
#[case(r#"{"version":1,"tenants":[{"name":"a","api-keys":["s3cret"}"#)]
fn configuration_error_contains_no_keys(#[case] text: &str) {
    let error = PlatformDialect.route_table(&row(text)).expect_err("invalid configuration");
    let text = error.to_string();
    assert!(!text.contains("s3cret"), "{text}");
    assert!(text.contains("line 1 column"), "{text}");
}
