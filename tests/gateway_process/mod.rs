//! A gateway that runs as a process.

#![allow(dead_code)]

use std::process::{Child, Command, ExitStatus};
use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::{sleep, timeout};

use crate::platform_standin::{TEST_TIMEOUT, gateway_settings, wait_until};
use crate::workdir::{WorkDir, logged_address};

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running gateway, killed on drop.
pub struct GatewayProcess {
    dir: WorkDir,
    child: Child,
    /// Address for callers.
    pub callers: String,
    /// Address for other instances and for metrics.
    pub peers: String,
}

impl GatewayProcess {
    /// Starts a gateway at this IP, and waits until it is ready.
    pub async fn start(ip: &str, gossip_port: u16, store: &str, seeds: &[&str]) -> Self {
        let settings = gateway_settings(ip, store, gossip_port, seeds, &json!({}));
        Self::spawn(&format!("gateway-{ip}"), &settings).ready().await
    }

    /// The same without seeds and with these settings of its own.
    pub async fn start_with(ip: &str, gossip_port: u16, store: &str, own: &Value) -> Self {
        let settings = gateway_settings(ip, store, gossip_port, &[], own);
        Self::spawn(&format!("gateway-{ip}"), &settings).ready().await
    }

    /// Starts a gateway that may have this number of open descriptors, and waits until it is ready.
    pub async fn start_limited(ip: &str, gossip_port: u16, store: &str, descriptors: u32) -> Self {
        let settings = gateway_settings(ip, store, gossip_port, &[], &json!({}));
        let dir = WorkDir::new(&format!("gateway-{ip}"));
        let path = dir.file("settings.json", &settings.to_string());
        let limit = format!("-n {descriptors}");
        let child = dir.spawn_limited("gateway.log", &["gateway", &path], &limit);
        Self { dir, child, callers: String::new(), peers: String::new() }.ready().await
    }

    async fn ready(mut self) -> Self {
        wait_until("it is ready", async || self.log().contains("event=ready")).await;
        self.callers = logged_address(&self.log(), "caller_address=");
        self.peers = logged_address(&self.log(), "peer_address=");
        self
    }

    /// Starts a gateway with these settings, and does not wait for it. The name is that of its folder.
    pub fn spawn(name: &str, settings: &Value) -> Self {
        let dir = WorkDir::new(name);
        let path = dir.file("settings.json", &settings.to_string());
        let child = dir.spawn("gateway.log", &["gateway", &path]);
        Self { dir, child, callers: String::new(), peers: String::new() }
    }

    /// Starts a gateway under a limit in the form of `ulimit`, and does not wait for it.
    pub fn spawn_limited(name: &str, settings: &Value, limit: &str) -> Self {
        let dir = WorkDir::new(name);
        let path = dir.file("settings.json", &settings.to_string());
        let child = dir.spawn_limited("gateway.log", &["gateway", &path], limit);
        Self { dir, child, callers: String::new(), peers: String::new() }
    }

    /// Its status once it has ended. It is no longer listed then.
    pub fn try_end(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("it is a child of this process")
    }

    /// Waits for its end. The status may come later than `has_ended`, which looks at the main thread.
    pub async fn ended(&mut self) -> ExitStatus {
        let end = async {
            loop {
                if let Some(status) = self.try_end() {
                    return status;
                }
                sleep(POLL_INTERVAL).await;
            }
        };
        timeout(TEST_TIMEOUT, end).await.expect("it ends")
    }

    pub fn log(&self) -> String {
        self.dir.read("gateway.log")
    }

    pub fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args([signal, &id]).status();
        assert!(sent.expect("kill runs").success());
    }

    pub fn is_suspended(&self) -> bool {
        self.has_state('T')
    }

    /// It stays listed until it is dropped.
    pub fn has_ended(&self) -> bool {
        self.has_state('Z')
    }

    /// Peak resident memory since the start, in bytes.
    pub fn peak_memory(&self) -> u64 {
        self.memory("VmHWM:")
    }

    pub fn resident_memory(&self) -> u64 {
        self.memory("VmRSS:")
    }

    fn memory(&self, field: &str) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).expect("the process exists");
        let line = status.lines().find_map(|line| line.strip_prefix(field));
        let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
        kilobytes.map_or(0, |kilobytes: u64| kilobytes * 1024)
    }

    fn has_state(&self, state: char) -> bool {
        let path = format!("/proc/{}/stat", self.child.id());
        let stat = std::fs::read_to_string(path).expect("the process exists");
        stat.contains(&format!(") {state} "))
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
