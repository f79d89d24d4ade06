//! Gateway processes whose start meets addresses, settings or files that are not as they should be.

mod gateway_process;
mod platform_standin;
mod workdir;

use std::process::{Child, Command};
use std::time::Duration;

use gateway_process::GatewayProcess;
use platform_standin::{Deployment, gateway_settings, wait_until};
use rstest::rstest;
use serde_json::{Value, json};
use tokio::net::{TcpListener, TcpSocket, UdpSocket};
use tokio::time::{Instant, sleep};
use workdir::{WorkDir, own_ip};

const GOSSIP_PORT: u16 = 7380;
/// How long an address stays taken.
const TAKEN_TIME: Duration = Duration::from_secs(1);
const NO_STORE: &str = "127.0.0.1:1";

fn settings_at(ip: &str, store: &str, own: &Value) -> Value {
    let mut settings = gateway_settings(ip, store, GOSSIP_PORT, &[], own);
    let ports = [
        ("caller_address", 8149),
        ("ready_address", 8141),
        ("directory_address", 8143),
        ("peer_address", 8144),
    ];
    for (key, port) in ports {
        settings[key] = format!("{ip}:{port}").into();
    }
    settings
}

/// Starts a process whose address is held by another for a while; returns its log once it is ready.
async fn start_beside<T>(ip: &str, holder: T) -> String {
    let deployment = Deployment::start(0, 1).await;
    let settings = settings_at(ip, &deployment.store_address, &json!({}));
    let process = GatewayProcess::spawn(&format!("gateway-{ip}"), &settings);
    sleep(TAKEN_TIME).await;
    drop(holder);
    wait_until("it is ready", async || process.log().contains("event=ready")).await;
    process.log()
}

/// Guards against a start that gives up because an address is taken for a moment, as by a predecessor
/// that still stops.
#[rstest]
#[actix_rt::test]
async fn start_waits_for_an_address_that_is_taken(#[values(8141, 8143, 8144, 8149)] port: u16) {
    let ip = own_ip();
    let holder = TcpListener::bind((ip.as_str(), port)).await.expect("a free port");
    let log = start_beside(&ip, holder).await;
    assert!(log.contains("event=address_taken"), "{log}");
    assert!(log.contains("event=addresses_bound"), "{log}");
}

/// Guards against the same for the datagrams of the failure detector.
#[actix_rt::test]
async fn start_waits_for_a_port_of_datagrams_that_is_taken() {
    let ip = own_ip();
    let holder = UdpSocket::bind((ip.as_str(), GOSSIP_PORT)).await.expect("a free port");
    let log = start_beside(&ip, holder).await;
    assert!(log.contains("event=address_taken"), "{log}");
}

/// Guards against the same where a connection of another process has the port.
#[actix_rt::test]
async fn start_waits_for_a_port_that_a_connection_has() {
    let deployment = Deployment::start(0, 1).await;
    let ip = own_ip();
    let peer = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind(format!("{ip}:8144").parse().expect("an address")).expect("a free port");
    let connection = socket.connect(peer.local_addr().expect("it is bound")).await;
    let (far, _) = peer.accept().await.expect("it connects");
    let settings = settings_at(&ip, &deployment.store_address, &json!({}));
    let process = GatewayProcess::spawn(&format!("gateway-{ip}"), &settings);
    sleep(TAKEN_TIME).await;
    // The side that closes first keeps the port for a while.
    drop(far);
    sleep(Duration::from_millis(50)).await;
    drop(connection);
    wait_until("it is ready", async || process.log().contains("event=ready")).await;
}

/// Guards against a status that does not tell an address which stays taken from other failures.
#[actix_rt::test]
async fn start_ends_with_its_own_status_if_an_address_stays_taken() {
    let ip = own_ip();
    let _holder = TcpListener::bind(format!("{ip}:8144")).await.expect("a free port");
    let settings = settings_at(&ip, NO_STORE, &json!({ "grace_seconds": 0.5 }));
    let mut process = GatewayProcess::spawn(&format!("gateway-{ip}"), &settings);
    let begun = Instant::now();
    assert_eq!(process.ended().await.code(), Some(7));
    assert!(begun.elapsed() >= Duration::from_millis(2_500), "{:?}", begun.elapsed());
    assert!(process.log().contains("event=process_failed status=7"), "{}", process.log());
}

/// Guards against a stop that is held up by an address which stays taken.
#[actix_rt::test]
async fn start_that_waits_can_be_stopped() {
    let ip = own_ip();
    let _holder = TcpListener::bind(format!("{ip}:8144")).await.expect("a free port");
    let mut process = GatewayProcess::spawn("waits", &settings_at(&ip, NO_STORE, &json!({})));
    wait_until("it waits", async || process.log().contains("event=address_taken")).await;
    process.signal("-TERM");
    assert_eq!(process.ended().await.code(), Some(0));
}

/// Guards against a start that gives up because of how the platform writes a setting.
#[rstest]
#[case::no_seeds("seeds", json!(null))]
#[case::fraction("memory_mb", json!(130.5))]
#[case::whole_as_fraction("memory_mb", json!(130.0))]
#[case::row_size("store_row_bytes", json!(65536.0))]
#[case::port("gossip_port", json!(7380.0))]
#[case::revoke("revoke_millis", json!(1500.5))]
#[case::no_grace("grace_seconds", json!(0))]
#[case::no_keep("address_keep_seconds", json!(0))]
#[actix_rt::test]
async fn settings_may_be_written_in_any_form(#[case] key: &str, #[case] value: Value) {
    let deployment = Deployment::start(0, 1).await;
    let ip = own_ip();
    let settings = settings_at(&ip, &deployment.store_address, &json!({ key: value }));
    let process = GatewayProcess::spawn(&format!("gateway-{ip}"), &settings);
    wait_until("it is ready", async || process.log().contains("event=ready")).await;
}

/// Guards against settings without sense that are taken, or refused without a reason in the log.
#[rstest]
#[case::negative("memory_mb", json!(-1), "range")]
#[case::no_memory("memory_mb", json!(0), "memory_mb is '0'")]
#[case::port("gossip_port", json!(70_000), "range")]
#[case::no_name("instance", json!(null), "null")]
#[case::window("quota_window_seconds", json!(0), "quota_window_seconds")]
#[actix_rt::test]
async fn settings_without_sense_are_refused(
    #[case] key: &str,
    #[case] value: Value,
    #[case] reason: &str,
) {
    let ip = own_ip();
    let mut process = GatewayProcess::spawn(
        &format!("gateway-{ip}"),
        &settings_at(&ip, NO_STORE, &json!({ key: value })),
    );
    assert_eq!(process.ended().await.code(), Some(2));
    let log = process.log();
    let line = log.lines().find(|line| line.contains("event=process_failed status=2"));
    assert!(line.is_some_and(|line| line.contains(reason)), "{log}");
}

fn spawn_at(dir: &WorkDir, path: &str) -> Child {
    dir.spawn("gateway.log", &["gateway", path])
}

/// Guards against a start that gives up because its settings are still being written.
#[rstest]
#[case::absent(None)]
#[case::empty(Some(0))]
#[case::half(Some(100))]
#[actix_rt::test]
async fn start_waits_for_its_settings(#[case] written: Option<usize>) {
    let (ip, dir) = (own_ip(), WorkDir::new(&format!("settings-{written:?}")));
    let text = settings_at(&ip, NO_STORE, &json!({})).to_string();
    let path = dir.path("settings.json");
    if let Some(length) = written {
        dir.file("settings.json", &text[..length]);
    }
    let mut child = spawn_at(&dir, &path);
    sleep(TAKEN_TIME).await;
    dir.file("settings.json", &text);
    wait_until("it starts", async || dir.read("gateway.log").contains("event=started")).await;
    child.kill().expect("it runs");
    child.wait().expect("it is a child of this process");
}

/// Guards against signals that end a process although they are no request to stop, above all that of a
/// log file at its size limit.
#[rstest]
#[case::log_full("XFSZ")]
#[case::processor_time("XCPU")]
#[case::first("USR1")]
#[case::second("USR2")]
#[case::alarm("ALRM")]
#[case::power("PWR")]
#[actix_rt::test]
async fn signals_that_are_no_stop_are_ignored(#[case] signal: &str) {
    let ip = own_ip();
    let settings = settings_at(&ip, NO_STORE, &json!({}));
    let mut process = GatewayProcess::spawn(&format!("gateway-{ip}"), &settings);
    wait_until("it runs", async || process.log().contains("event=started")).await;
    for _ in 0..2 {
        process.signal(&format!("-{signal}"));
        sleep(Duration::from_millis(100)).await;
        assert_eq!(process.try_end(), None);
    }
    let line = format!("event=signal_ignored signal=SIG{signal}");
    assert!(process.log().contains(&line), "{}", process.log());
}

/// Guards against a process that ends because its log file has reached its size limit.
#[actix_rt::test]
async fn full_log_file_does_not_end_the_process() {
    let deployment = Deployment::start(0, 1).await;
    let ip = own_ip();
    let settings = settings_at(&ip, &deployment.store_address, &json!({}));
    // A block of 512 bytes.
    let mut process = GatewayProcess::spawn_limited(&format!("gateway-{ip}"), &settings, "-f 1");
    wait_until("it runs", async || process.log().contains("event=started")).await;
    for _ in 0..10 {
        process.signal("-HUP");
        sleep(Duration::from_millis(50)).await;
        assert_eq!(process.try_end(), None);
    }
    assert_eq!(process.log().len(), 512);
    process.signal("-TERM");
    assert_eq!(process.ended().await.code(), Some(0));
}

/// Guards against the status of a defect where standard output and error take no line.
#[rstest]
#[case::closed("closed", ">&- 2>&-")]
#[case::full("full", ">/dev/full 2>/dev/full")]
#[actix_rt::test]
async fn outputs_do_not_change_the_status(#[case] name: &str, #[case] outputs: &str) {
    let (ip, dir) = (own_ip(), WorkDir::new(&format!("outputs-{name}")));
    let settings = settings_at(&ip, NO_STORE, &json!({ "memory_mb": 0 }));
    let path = dir.file("settings.json", &settings.to_string());
    let script = format!("exec \"$0\" gateway \"$1\" {outputs}");
    let status = Command::new("sh").args(["-c", &script, &workdir::program(), &path]).status();
    assert_eq!(status.expect("it runs").code(), Some(2));
}
