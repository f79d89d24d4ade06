//! Test harness: real gateways on loopback sockets with stand-ins for the store and the engines.

#![allow(dead_code)]

#[path = "../../platform/mod.rs"]
mod platform;

pub mod dialects;
pub mod engine;
pub mod http;
pub mod limits;
pub mod store;

use std::sync::mpsc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use merlinsaddle::gateway::{GatewaySettings, GatewaySockets, launch_gateway};
use serde_json::{Value, json};
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep, timeout};

use engine::StandinEngine;
use http::{RawMessage, Wire};
use store::StandinStore;

/// Generous, since tests may run on a loaded machine.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);
pub const HOST: &str = "skills.example";
const ENGINES_TABLE: &str = "servers";

enum Ending {
    Killed,
    Stopped,
}

/// A gateway on its own thread, which stands for a process.
pub struct TestGateway {
    pub settings: GatewaySettings,
    end: Option<oneshot::Sender<Ending>>,
    thread: Option<std::thread::JoinHandle<bool>>,
}

impl TestGateway {
    /// Starts a gateway at this IP. The gateways of a test share the port of the failure detector.
    pub fn start(ip: &str, store: &str, gossip_port: u16, seeds: &[&TestGateway]) -> Self {
        Self::start_with(ip, store, gossip_port, seeds, &json!({}))
    }

    pub fn start_with(
        ip: &str,
        store: &str,
        gossip_port: u16,
        seeds: &[&TestGateway],
        overrides: &Value,
    ) -> Self {
        Self::start_dialect(ip, store, gossip_port, seeds, overrides, dialects::platform)
    }

    pub fn start_dialect(
        ip: &str,
        store: &str,
        gossip_port: u16,
        seeds: &[&TestGateway],
        overrides: &Value,
        dialect: dialects::DialectFactory,
    ) -> Self {
        let seeds: Vec<&str> = seeds.iter().map(|seed| &*seed.settings.peer_address).collect();
        let text = gateway_settings(ip, store, gossip_port, &seeds, overrides);
        let mut settings = GatewaySettings::parse(&text.to_string()).expect("valid settings");
        let (end, ended) = oneshot::channel();
        let (bound, addresses) = mpsc::channel();
        let thread = std::thread::spawn(move || {
            actix_rt::System::new().block_on(async move {
                let sockets = GatewaySockets::open(&mut settings).await.expect("free ports");
                bound.send(settings.clone()).expect("the test is waiting");
                let gateway = launch_gateway(settings, sockets, dialect(), 7);
                match ended.await {
                    Ok(Ending::Stopped) => gateway.shut_down().await,
                    Ok(Ending::Killed) | Err(_) => true,
                }
            })
        });
        let settings = addresses.recv().expect("the gateway starts");
        Self { settings, end: Some(end), thread: Some(thread) }
    }

    pub fn instance(ip: &str) -> String {
        format!("gateway-{ip}")
    }

    pub async fn kill(&mut self) {
        self.end(Ending::Killed).await;
    }

    /// Stops the gateway as SIGTERM would. Returns true if no open call was cut off.
    pub async fn stop(&mut self) -> bool {
        self.end(Ending::Stopped).await
    }

    pub fn begin_stop(&mut self) {
        let end = self.end.take().expect("gateway is running");
        let _ = end.send(Ending::Stopped);
    }

    pub async fn join(&mut self) -> bool {
        let thread = self.thread.take().expect("not joined before");
        tokio::task::spawn_blocking(|| thread.join().expect("no panic")).await.expect("thread ends")
    }

    async fn end(&mut self, ending: Ending) -> bool {
        let _ = self.end.take().expect("gateway is running").send(ending);
        self.join().await
    }

    pub async fn ready(&self) {
        wait_until("the gateway is ready", async || self.ready_status().await == 200).await;
    }

    pub async fn ready_status(&self) -> u16 {
        let request = "GET /ready HTTP/1.1\r\nhost: x\r\n\r\n";
        exchange(&self.settings.ready_address, request).await.map_or(0, |answer| answer.status())
    }

    pub async fn named(&self) -> Vec<String> {
        let request = "GET /resolve?name=x&region=region&zone=zone-a HTTP/1.1\r\nhost: x\r\n\r\n";
        let answer = exchange(&self.settings.directory_address, request).await;
        let body = answer.map(|answer| answer.body).unwrap_or_default();
        let body: Value = serde_json::from_slice(&body).unwrap_or_default();
        let list = body["addresses"].as_array().cloned().unwrap_or_default();
        list.iter().filter_map(|address| address.as_str().map(str::to_owned)).collect()
    }

    pub async fn call(&self, request: &str) -> RawMessage {
        exchange(&self.settings.caller_address, request).await.expect("a response arrives")
    }

    /// Sends a request in the background. The task may outlive the gateway.
    pub fn call_later(&self, request: &str) -> JoinHandle<RawMessage> {
        let (address, request) = (self.settings.caller_address.clone(), request.to_owned());
        actix_rt::spawn(
            async move { exchange(&address, &request).await.expect("a response arrives") },
        )
    }

    /// Sends a message as an instance does to its peers: a line of JSON, then encoded records.
    pub async fn peer_call(&self, path: &str, message: &Value, records: &str) -> RawMessage {
        let body = format!("{message}\n{records}");
        let request = format!(
            "POST {path} HTTP/1.1\r\nHost: peer\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        exchange(&self.settings.peer_address, &request).await.expect("a response arrives")
    }

    pub async fn connect(&self) -> Wire {
        Wire::connect(&self.settings.caller_address).await
    }
}

/// Settings of a gateway at this IP.
pub fn gateway_settings(
    ip: &str,
    store: &str,
    gossip_port: u16,
    seeds: &[&str],
    overrides: &Value,
) -> Value {
    let any = format!("{ip}:0");
    let mut settings = json!({
        "instance": TestGateway::instance(ip), "zone": "zone-a", "region": "region",
        "caller_address": any, "ready_address": any, "directory_address": any,
        "peer_address": any, "gossip_port": gossip_port, "seeds": seeds,
        "store_address": store, "store_row_bytes": 65536, "store_across_parts": true,
        "memory_mb": 130, "grace_seconds": 8, "address_keep_seconds": 0.3,
    });
    for (key, value) in overrides.as_object().expect("an object") {
        settings[key] = value.clone();
    }
    settings
}

async fn exchange(address: &str, request: &str) -> Option<RawMessage> {
    let exchange = async {
        let mut wire = Wire::connect(address).await;
        wire.send(request.as_bytes()).await;
        wire.read_message(true).await
    };
    timeout(TEST_TIMEOUT, exchange).await.expect("a response arrives in time")
}

pub async fn wait_until(what: &str, condition: impl AsyncFn() -> bool) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !condition().await {
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        sleep(Duration::from_millis(20)).await;
    }
}

pub struct Deployment {
    pub store: StandinStore,
    pub store_address: String,
    pub engines: Vec<StandinEngine>,
    pub gateways: Vec<TestGateway>,
}

impl Deployment {
    pub async fn start(gateways: usize, engines: usize) -> Self {
        Self::start_with(gateways, engines, &json!({})).await
    }

    pub async fn start_with(gateways: usize, engines: usize, overrides: &Value) -> Self {
        let store = StandinStore::default();
        let store_address = store.start("127.0.0.1").await;
        store.put("op", "config", &manifest(1, &default_routes()));
        let mut deployment =
            Self { store, store_address, engines: Vec::new(), gateways: Vec::new() };
        for number in 0..engines {
            let engine = StandinEngine::default();
            let address = engine.start("127.0.0.1").await;
            deployment.list_engine(&format!("e{number}"), &address, "ready");
            deployment.engines.push(engine);
        }
        for number in 0..gateways {
            let store = deployment.store_address.clone();
            deployment.add_gateway_at(&gateway_ip(number), &store, overrides).await;
        }
        deployment
    }

    /// One gateway and two engines, of which the first is preferred as it is in the same zone.
    pub async fn with_near_and_far_engine() -> Self {
        let mut deployment = Self::start(0, 1).await;
        let far = StandinEngine::default();
        let address = far.start("127.0.0.1").await;
        deployment.list_engine_in("zone-b", "far", &address, "ready");
        deployment.engines.push(far);
        deployment.add_gateway(0).await;
        deployment
    }

    /// Adds engines that register themselves and may end.
    pub async fn add_registered_engines(&mut self, count: usize) {
        for number in self.engines.len()..self.engines.len() + count {
            let engine = StandinEngine::default();
            engine.start_registered(&self.store, &format!("r{number}")).await;
            self.engines.push(engine);
        }
    }

    pub fn ends(&self) -> u32 {
        self.engines.iter().map(StandinEngine::ends).sum()
    }

    pub async fn add_gateway(&mut self, number: usize) {
        let store = self.store_address.clone();
        self.add_gateway_at(&gateway_ip(number), &store, &json!({})).await;
    }

    /// Adds a gateway that uses the store at this address, and waits until it is ready.
    pub async fn add_gateway_at(&mut self, ip: &str, store: &str, overrides: &Value) {
        let port = self.gateways.first().map_or(0, |first| first.settings.gossip_port);
        let seeds: Vec<&TestGateway> = self.gateways.iter().take(1).collect();
        let gateway = TestGateway::start_with(ip, store, port, &seeds, overrides);
        gateway.ready().await;
        self.gateways.push(gateway);
    }

    /// Waits until the directory of each gateway lists all gateways.
    pub async fn all_named(&self) {
        let count = self.gateways.len();
        wait_until("all directories are complete", async || {
            for gateway in &self.gateways {
                if gateway.named().await.len() < count {
                    return false;
                }
            }
            true
        })
        .await;
    }

    pub async fn assert_serves_without(&self, engine: usize) {
        let before = self.engines[engine].seen();
        for number in 0..8 {
            let answer = self.gateway().call(&call("book", &format!("b{number}"))).await;
            assert_eq!(answer.status(), 200);
        }
        assert_eq!(self.engines[engine].seen(), before);
    }

    /// Registers an engine as it would itself.
    pub fn list_engine(&self, id: &str, address: &str, state: &str) {
        self.list_engine_in("zone-a", id, address, state);
    }

    pub fn list_incarnation(&self, id: &str, address: &str, state: &str, started_at: u64) {
        let mut entry = engine_entry("zone-a", address, state);
        entry["born"] = started_at.into();
        self.store.put(ENGINES_TABLE, id, &entry);
    }

    /// Writes a heartbeat of an engine, which numbers them.
    pub fn list_heartbeat(&self, id: &str, address: &str, state: &str, sequence: u64) {
        let mut entry = engine_entry("zone-a", address, state);
        entry["sequence"] = sequence.into();
        self.store.put(ENGINES_TABLE, id, &entry);
    }

    pub fn list_engine_of(&self, service: &str, id: &str, address: &str) {
        let mut entry = engine_entry("zone-a", address, "ready");
        entry["service"] = service.into();
        self.store.put(ENGINES_TABLE, id, &entry);
    }

    pub fn list_engine_in(&self, zone: &str, id: &str, address: &str, state: &str) {
        self.store.put(ENGINES_TABLE, id, &engine_entry(zone, address, state));
    }

    pub fn gateway(&self) -> &TestGateway {
        &self.gateways[0]
    }

    pub fn runs(&self) -> Vec<RawMessage> {
        self.engines.iter().flat_map(StandinEngine::runs).collect()
    }

    pub fn set_routes(&self, version: u64, routes: &[Value]) {
        self.store.put("op", "config", &manifest(version, routes));
    }

    pub fn set_workspaces(&self, version: u64, workspaces: &[Value]) {
        let mut manifest = manifest(version, &default_routes());
        manifest["tenants"] = workspaces.into();
        self.store.put("op", "config", &manifest);
    }

    /// Configures workspaces and waits until all gateways require keys.
    pub async fn with_workspaces(self, workspaces: &[Value]) -> Self {
        self.set_workspaces(2, workspaces);
        for gateway in &self.gateways {
            wait_until("keys are required", async || {
                gateway.call(&call("book", "probe")).await.status() == 401
            })
            .await;
        }
        self.engines.iter().for_each(StandinEngine::clear_runs);
        self
    }
}

/// Settings without coordinators, so that writes of different instances can conflict.
pub fn alone() -> Value {
    json!({ "without": ["coordinators"] })
}

fn gateway_ip(number: usize) -> String {
    format!("127.0.0.{}", number + 2)
}

fn engine_entry(zone: &str, address: &str, state: &str) -> Value {
    json!({
        "service": "llm", "address": address, "zone": zone, "version": "v1",
        "slots": 8, "state": state, "cold-left-ms": 0, "sequence": 1
    })
}

pub fn manifest(version: u64, routes: &[Value]) -> Value {
    json!({
        "version": version,
        "routes": routes,
        "services": [{
            "name": "llm", "health-path": "/health", "max-conns": 96, "protocol": "h1",
            "tls": false, "engine": { "slots": 8, "event-tokens": 2 }
        }],
        "limits": {
            "max-header-bytes": 4096, "max-body-bytes": 100000,
            "header-timeout-ms": 3000, "idle-timeout-ms": 15000
        }
    })
}

/// A workspace `NAME` with the API key `key-NAME`.
pub fn workspace(name: &str) -> Value {
    json!({ "name": name, "api-keys": [format!("key-{name}")] })
}

pub fn limited(name: &str, rate: f64, burst: f64) -> Value {
    let mut limited = workspace(name);
    limited["rate-per-s"] = rate.into();
    limited["burst"] = burst.into();
    limited
}

/// Adds headers, such as a key, to a request.
pub fn keyed(request: &str, headers: &str) -> String {
    let (start, rest) = request.split_once("\r\n").expect("it has a first line");
    format!("{start}\r\n{headers}\r\n{rest}")
}

/// Adds the key of a workspace from [`workspace`] to a request.
pub fn from(workspace: &str, request: &str) -> String {
    keyed(request, &format!("Merlinsaddle-Key: key-{workspace}"))
}

pub fn route(name: &str, kind: &str) -> Value {
    json!({
        "name": name, "host": HOST, "path-prefix": format!("/{name}/"), "kind": kind,
        "timeout-ms": 6000, "goal-ms": 250, "priority": 1, "service": "llm",
        "max-attempts": 2, "sticky": false
    })
}

/// One route for turns, one for idempotent calls, one for calls that run at most once.
pub fn default_routes() -> Vec<Value> {
    let mut turn = route("turn", "stream");
    turn["retained"] = true.into();
    turn["retain-s"] = 60.into();
    vec![turn, route("read", "safe"), route("book", "unsafe")]
}

pub fn turn(id: &str, program: &str, previous: Option<&str>, input: &str) -> String {
    budgeted_turn(id, program, previous, input, 1_000)
}

/// A turn that may generate 6 tokens, the size of a complete stand-in stream.
pub fn budgeted_turn(
    id: &str,
    program: &str,
    previous: Option<&str>,
    input: &str,
    budget: u64,
) -> String {
    let previous =
        previous.map_or(String::new(), |turn| format!("Merlinsaddle-Previous-Turn: {turn}\r\n"));
    format!(
        "POST /turn/x?q=1 HTTP/1.1\r\nHost: {HOST}\r\nMerlinsaddle-Request-Id: {id}\r\n\
         Merlinsaddle-Program-Id: {program}\r\nMerlinsaddle-Token-Budget: {budget}\r\n\
         Merlinsaddle-Token-Usage: 10,6\r\nMerlinsaddle-Deadline-Ms: 5000\r\n{previous}\
         Content-Length: {}\r\n\r\n{input}",
        input.len()
    )
}

/// Prompt that the engine receives for the turn after `first`.
pub fn chained(first: &str, next: &str) -> String {
    format!("{first}w1\nw2\nw3\n{next}")
}

pub fn call(route: &str, id: &str) -> String {
    format!(
        "POST /{route}/x HTTP/1.1\r\nHost: {HOST}\r\nMerlinsaddle-Request-Id: {id}\r\n\
         Merlinsaddle-Deadline-Ms: 5000\r\nContent-Length: 2\r\n\r\nhi"
    )
}
