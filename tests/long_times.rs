//! Times of the configuration that the clock cannot hold.

mod gateway_process;
mod platform_standin;
mod workdir;

use gateway_process::GatewayProcess;
use platform_standin::http::Wire;
use platform_standin::{Deployment, call, manifest, route};
use rstest::rstest;
use workdir::own_ip;

const GOSSIP_PORT: u16 = 7295;

/// Guards against requests that panic, or end at once, as the sum of now and their time-out overflows.
#[rstest]
#[case::beyond_the_clock(1e22)]
#[case::beyond_a_duration(1e25)]
#[actix_rt::test]
async fn calls_of_a_route_with_a_long_timeout_are_served(#[case] timeout_ms: f64) {
    let deployment = Deployment::start(0, 1).await;
    let mut book = route("book", "unsafe");
    book["timeout-ms"] = timeout_ms.into();
    deployment.store.put("op", "config", &manifest(2, &[book]));
    let store = &deployment.store_address;
    let process = GatewayProcess::start(&own_ip(), GOSSIP_PORT, store, &[]).await;
    let mut wire = Wire::connect(&process.callers).await;
    let request = call("book", "c").replace("Merlinsaddle-Deadline-Ms: 5000\r\n", "");
    assert!(wire.send(request.as_bytes()).await);
    assert_eq!(wire.read_message(true).await.expect("an answer").status(), 200);
}
