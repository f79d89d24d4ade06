//! Memory of a gateway process while heads of requests arrive on many connections.

mod gateway_process;
mod platform_standin;
mod workdir;

use std::time::Duration;

use gateway_process::GatewayProcess;
use platform_standin::http::Wire;
use platform_standin::{Deployment, HOST, call, default_routes, manifest};
use rstest::rstest;
use serde_json::json;
use tokio::time::sleep;
use workdir::own_ip;

const GOSSIP_PORT: u16 = 7290;
const MEGABYTE: u64 = 1024 * 1024;
const CONNECTIONS: usize = 400;
const MAX_HEADER_BYTES: usize = 64 * 1024;
/// Below the time within which a head must arrive.
const HOLD_TIME: Duration = Duration::from_secs(1);
/// With 40 MB for the process, requests may hold a quarter of them; buffers have up to twice the size of
/// what they hold.
const MAX_GROWTH: u64 = 20 * MEGABYTE;

/// Guards against heads that together exceed the memory of the process: those that are half read, and
/// those that were refused and whose rest is dropped.
#[rstest]
#[case::half_read(MAX_HEADER_BYTES - 1_024)]
#[case::refused(MAX_HEADER_BYTES * 2)]
#[actix_rt::test]
async fn heads_of_many_connections_do_not_exceed_the_memory(#[case] bytes: usize) {
    let deployment = Deployment::start(0, 1).await;
    let mut manifest = manifest(2, &default_routes());
    manifest["limits"]["max-header-bytes"] = MAX_HEADER_BYTES.into();
    deployment.store.put("op", "config", &manifest);
    let own = json!({ "memory_mb": 40 });
    let store = &deployment.store_address;
    let process = GatewayProcess::start_with(&own_ip(), GOSSIP_PORT, store, &own).await;
    let idle = process.resident_memory();
    let head = format!("POST /book/x HTTP/1.1\r\nHost: {HOST}\r\nx-fill: {}", "x".repeat(bytes));
    let mut wires = Vec::new();
    for _ in 0..CONNECTIONS {
        let mut wire = Wire::connect(&process.callers).await;
        // The process may have refused it before its end.
        wire.send(head.as_bytes()).await;
        wires.push(wire);
    }
    let mut other = Wire::connect(&process.callers).await;
    assert!(other.send(call("book", "other").as_bytes()).await);
    assert_eq!(other.read_message(true).await.expect("an answer").status(), 200);
    sleep(HOLD_TIME).await;
    assert!(!process.has_ended());
    let growth = process.peak_memory().saturating_sub(idle);
    assert!(growth <= MAX_GROWTH, "{} MB", growth / MEGABYTE);
}
