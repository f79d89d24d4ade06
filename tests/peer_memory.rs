//! Memory of a gateway process while other instances send it large requests at once.

mod gateway_process;
mod platform_standin;
mod workdir;

use std::collections::BTreeMap;
use std::time::Duration;

use futures_util::future::join_all;
use gateway_process::GatewayProcess;
use platform_standin::http::Wire;
use platform_standin::{Deployment, gateway_settings, wait_until};
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpStream, UdpSocket};
use tokio::time::{Instant, timeout};
use workdir::own_ip;

const GOSSIP_PORT: u16 = 7280;
const MEGABYTE: usize = 1024 * 1024;
/// As in the settings of the process.
const MEMORY_LIMIT: usize = 130 * MEGABYTE;
const REQUESTS: usize = 50;
const BODY_BYTES: usize = 3 * MEGABYTE;
const UNREAD_CONNECTIONS: usize = 40;
const SEND_TIME: Duration = Duration::from_secs(2);
const SEND_TIMEOUT: Duration = Duration::from_millis(20);
/// Requests that are sent at once.
const PIPELINED: usize = 200;
/// More than an idle process needs.
const MAX_GROWTH: usize = 12 * MEGABYTE;

/// Guards against requests of peers that together exceed the memory of the process.
#[rstest::rstest]
#[case::store("/store")]
#[case::turns("/keep")]
#[actix_rt::test]
async fn large_requests_of_peers_stay_within_the_memory_of_the_process(#[case] path: &str) {
    let deployment = Deployment::start(0, 1).await;
    let store = &deployment.store_address;
    let process = GatewayProcess::start(&own_ip(), GOSSIP_PORT, store, &[]).await;
    let begun = (0..REQUESTS).map(async |_| {
        let mut wire = Wire::connect(&process.peers).await;
        let head =
            format!("POST {path} HTTP/1.1\r\nhost: x\r\ncontent-length: {BODY_BYTES}\r\n\r\n");
        let begun = head + &"x".repeat(BODY_BYTES - 1);
        assert!(wire.send(begun.as_bytes()).await);
        wire
    });
    let wires = join_all(begun).await;
    let ends = wires.into_iter().map(async |mut wire| {
        assert!(wire.send(b"x").await);
        wire.read_message(true).await.map_or(0, |answer| answer.status())
    });
    let mut statuses = BTreeMap::<u16, usize>::new();
    for status in join_all(ends).await {
        *statuses.entry(status).or_default() += 1;
    }
    // Two of the largest size are read; they are malformed.
    assert_eq!(statuses, BTreeMap::from([(400, 2), (503, REQUESTS - 2)]));
    let peak = process.peak_memory() as usize;
    assert!(peak <= MEMORY_LIMIT, "{} MB", peak / MEGABYTE);
}

/// Guards against answers that are kept without a bound for clients that do not read them.
#[rstest::rstest]
#[case::metrics("8144", "/metrics")]
#[case::addresses("8143", "/resolve?name=x&region=region&zone=zone-a")]
#[case::readiness("8141", "/ready")]
#[actix_rt::test]
async fn unread_answers_are_not_kept(#[case] port: &str, #[case] target: &str) {
    let deployment = Deployment::start(0, 1).await;
    let ip = own_ip();
    let own = json!({
        "peer_address": format!("{ip}:8144"), "directory_address": format!("{ip}:8143"),
        "ready_address": format!("{ip}:8141"),
    });
    let settings = gateway_settings(&ip, &deployment.store_address, GOSSIP_PORT, &[], &own);
    let process = GatewayProcess::spawn(&format!("gateway-{ip}"), &settings);
    wait_until("it is ready", async || process.log().contains("event=ready")).await;
    let idle = process.peak_memory() as usize;
    let requests = format!("GET {target} HTTP/1.1\r\nhost: x\r\n\r\n").repeat(PIPELINED);
    let mut streams = Vec::new();
    for _ in 0..UNREAD_CONNECTIONS {
        streams.push(TcpStream::connect(format!("{ip}:{port}")).await.expect("it listens"));
    }
    let begun = Instant::now();
    while begun.elapsed() < SEND_TIME {
        for stream in &mut streams {
            // The rest of a write that does not end is of no interest.
            let _ = timeout(SEND_TIMEOUT, stream.write_all(requests.as_bytes())).await;
        }
    }
    let growth = process.peak_memory() as usize - idle;
    assert!(growth <= MAX_GROWTH, "{} MB", growth / MEGABYTE);
}

/// Guards against datagrams that announce a size which is allocated before they are read.
#[actix_rt::test]
async fn datagram_does_not_decide_how_much_is_allocated() {
    let deployment = Deployment::start(0, 1).await;
    let ip = own_ip();
    let store = &deployment.store_address;
    let process = GatewayProcess::start(&ip, GOSSIP_PORT, store, &[]).await;
    let idle = process.peak_memory() as usize;
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
    // Packed Cap'n Proto: one segment of 7.9 million words, and the first of them.
    let datagram = [0b1111_0000, 0x00, 0x8a, 0x78, 0x00, 0xff, 1, 2, 3, 4, 5, 6, 7, 8];
    for number in 1..=PIPELINED {
        let sent = socket.send_to(&datagram, format!("{ip}:{GOSSIP_PORT}")).await;
        sent.expect("loopback takes it");
        if number % 10 == 0 {
            tokio::time::sleep(SEND_TIMEOUT).await;
        }
    }
    wait_until("they are read", async || process.log().contains("event=gossip_malformed")).await;
    let growth = process.peak_memory() as usize - idle;
    assert!(growth <= MAX_GROWTH, "{} MB", growth / MEGABYTE);
}
