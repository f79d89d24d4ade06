//! Failures explained from the log alone, on the real program: from a request's id to its cause.

mod platform_standin;
mod workdir;

use std::io::Read;
use std::process::{Child, ChildStdout};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

use platform_standin::engine::EngineAct;
use platform_standin::http::{RawMessage, Wire};
use platform_standin::store::StoreFault;
use platform_standin::{Deployment, budgeted_turn, call, from, keyed, limited, wait_until};
use serde_json::{Value, json};
use tokio::time::timeout;
use workdir::WorkDir;

/// The real program with its log in a file.
struct GatewayProcess {
    dir: WorkDir,
    child: Child,
    callers: String,
    peers: String,
}

/// A log that a thread reads from a pipe, unless it is told to stop for a while.
struct PipedLog {
    text: Arc<Mutex<String>>,
    stopped: Arc<AtomicBool>,
}

impl PipedLog {
    fn read(mut pipe: ChildStdout) -> Self {
        let (text, stopped) = (Arc::new(Mutex::default()), Arc::new(AtomicBool::new(false)));
        let log = Self { text: text.clone(), stopped: stopped.clone() };
        thread::spawn(move || {
            let mut chunk = [0; 4096];
            loop {
                while stopped.load(Ordering::Relaxed) {
                    thread::sleep(Duration::from_millis(10));
                }
                match pipe.read(&mut chunk) {
                    Ok(0) | Err(_) => return,
                    Ok(len) => {
                        let mut text: MutexGuard<'_, String> = text.lock().expect("not poisoned");
                        text.push_str(&String::from_utf8_lossy(&chunk[..len]));
                    }
                }
            }
        });
        log
    }

    fn text(&self) -> String {
        self.text.lock().expect("not poisoned").clone()
    }

    fn stop_reading(&self, stopped: bool) {
        self.stopped.store(stopped, Ordering::Relaxed);
    }
}

/// Writes settings with free ports and returns their path.
fn settings_file(dir: &WorkDir, store: &str) -> String {
    let any = "127.0.0.1:0";
    let settings = json!({
        "instance": "gateway-1", "zone": "zone-a", "region": "region",
        "caller_address": any, "ready_address": any, "directory_address": any,
        "peer_address": any, "gossip_port": 0, "seeds": [], "store_address": store,
        "store_row_bytes": 65536, "store_across_parts": true, "memory_mb": 130,
        "grace_seconds": 8, "address_keep_seconds": 0.2,
    });
    dir.file("settings.json", &settings.to_string())
}

/// An address that the line of the start names.
fn address(log: &str, field: &str) -> String {
    let line = log.lines().find(|line| line.contains("event=started"));
    let rest = line.and_then(|line| line.split(field).nth(1)).expect("the start names it");
    rest.split_whitespace().next().expect("an address follows").to_owned()
}

impl GatewayProcess {
    async fn start(name: &str, store: &str) -> Self {
        let dir = WorkDir::new(name);
        let path = settings_file(&dir, store);
        let child = dir.spawn("gateway.log", &["gateway", &path]);
        let mut process = Self { dir, child, callers: String::new(), peers: String::new() };
        wait_until("it is ready", async || process.log().contains("event=ready")).await;
        process.callers = address(&process.log(), "caller_address=");
        process.peers = address(&process.log(), "peer_address=");
        process
    }

    /// Starts it with its log in a pipe.
    async fn start_piped(name: &str, store: &str) -> (Self, PipedLog) {
        let dir = WorkDir::new(name);
        let path = settings_file(&dir, store);
        let mut child = dir.spawn_piped(&["gateway", &path]);
        let log = PipedLog::read(child.stdout.take().expect("the log is a pipe"));
        wait_until("it is ready", async || log.text().contains("event=ready")).await;
        let callers = address(&log.text(), "caller_address=");
        let peers = address(&log.text(), "peer_address=");
        (Self { dir, child, callers, peers }, log)
    }

    async fn metrics(&self) -> String {
        let mut wire = Wire::connect(&self.peers).await;
        wire.send(b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").await;
        wire.read_message(true).await.expect("metrics come").text()
    }

    fn log(&self) -> String {
        self.dir.read("gateway.log")
    }

    async fn call(&self, request: &str) -> RawMessage {
        let mut wire = Wire::connect(&self.callers).await;
        wire.send(request.as_bytes()).await;
        wire.read_message(true).await.expect("an answer comes")
    }

    /// The story of an id once the log tells how it ended, as lines without their times.
    async fn story(&self, id: &str) -> Vec<String> {
        let ended = format!("={id} ");
        let tells_end = |line: &str| line.contains("event=call_ended") && line.contains(&ended);
        wait_until("the end is logged", async || self.log().lines().any(tells_end)).await;
        let log = self.dir.path("gateway.log");
        let run = self.dir.run(&["timeline", "--story", id, "--logs", &log]);
        assert_eq!(run.code, 0, "{run:?}");
        run.stdout.lines().map(str::to_owned).collect()
    }

    fn signal(&self, signal: &str) {
        let process = self.child.id().to_string();
        let sent = std::process::Command::new("kill").args([signal, &process]).status();
        assert!(sent.expect("kill runs").success());
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Whether these fragments stand in one line each, in this order.
fn tells(story: &[String], fragments: &[&str]) -> bool {
    let mut lines = story.iter();
    fragments.iter().all(|fragment| lines.any(|line| line.contains(fragment)))
}

/// The store turns the instance away. The caller sees 503; the log shows the lost dependency before
/// the refusal, and that nothing was tried.
#[actix_rt::test]
async fn a_refused_turn_leads_to_the_lost_store() {
    let deployment = Deployment::start(0, 1).await;
    let gateway = GatewayProcess::start("refused_turn", &deployment.store_address).await;
    deployment.store.set_fault(StoreFault::Busy);
    let answer = gateway.call(&budgeted_turn("t1", "p", None, "x", 100)).await;
    assert_eq!(answer.status(), 503);
    let story = gateway.story("t1").await;
    let cause = "event=dependency_lost dependency=store way=any";
    let end = "event=call_ended request=t1 program=p route=turn kind=stream \
               outcome=store_unavailable status=503 upstream=- tries=0 runs=0";
    assert!(tells(&story, &[cause, end]), "{story:#?}");
}

/// The upstream runs the call and its answer is lost. The caller sees 502; the log names the
/// upstream, that it may have run, and why the call was not sent again.
#[actix_rt::test]
async fn a_lost_answer_leads_to_its_upstream() {
    let deployment = Deployment::start(0, 1).await;
    let gateway = GatewayProcess::start("lost_answer", &deployment.store_address).await;
    deployment.engines[0].act(EngineAct::LoseAnswer);
    assert_eq!(gateway.call(&call("book", "b1")).await.status(), 502);
    let story = gateway.story("b1").await;
    let cause = "event=attempt_unknown request=b1 upstream=e0 runs=1 cause=\"connection_";
    let end = "event=call_ended request=b1 program=- route=book kind=at_most_once \
               outcome=answer_lost status=502";
    assert!(tells(&story, &[cause, end]), "{story:#?}");
}

/// A program has spent its budget, and names a turn that does not exist. The log gives the numbers
/// that decided, and tells the two apart.
#[actix_rt::test]
async fn an_ended_program_leads_to_its_budget_or_its_chain() {
    let deployment = Deployment::start(0, 1).await;
    let gateway = GatewayProcess::start("ended_program", &deployment.store_address).await;
    gateway.call(&budgeted_turn("t1", "p", None, "x", 8)).await;
    assert_eq!(gateway.call(&budgeted_turn("t2", "p", None, "x", 8)).await.status(), 402);
    assert_eq!(gateway.call(&budgeted_turn("t3", "q", Some("t0"), "x", 8)).await.status(), 404);
    let story = gateway.story("t2").await;
    let cause = "event=budget_exhausted request=t2 program=p budget=8 committed=6 most=6";
    assert!(tells(&story, &[cause, "outcome=budget_exhausted status=402"]), "{story:#?}");
    let whole = gateway.story("p").await;
    assert!(tells(&whole, &["request=t1 ", "request=t2 "]), "{whole:#?}");
    assert!(tells(&gateway.story("t3").await, &["outcome=no_such_turn status=404"]));
}

/// Whether a metric with all these labels stands at a value.
fn measures(metrics: &str, name: &str, labels: &[&str], value: &str) -> bool {
    let is_it =
        |line: &&str| line.starts_with(name) && labels.iter().all(|label| line.contains(label));
    metrics.lines().find(is_it).is_some_and(|line| line.ends_with(&format!(" {value}")))
}

/// One turn is answered, one finds its budget spent, one comes while the store is away. Each leaves
/// its count, the store's calls are told apart by kind, and the routes' age is told.
#[actix_rt::test]
async fn metrics_tell_store_calls_and_reservations_apart() {
    let deployment = Deployment::start(0, 1).await;
    let gateway = GatewayProcess::start("metrics", &deployment.store_address).await;
    gateway.call(&budgeted_turn("t1", "p", None, "x", 8)).await;
    gateway.call(&budgeted_turn("t2", "p", None, "x", 8)).await;
    let metrics = gateway.metrics().await;
    let reservations = "gateway_reservations_total{";
    assert!(measures(&metrics, reservations, &[r#"outcome="reserved""#], "1"), "{metrics}");
    assert!(measures(&metrics, reservations, &[r#"outcome="exhausted""#], "1"), "{metrics}");
    let answered = [r#"kind="commit""#, r#"outcome="answered""#];
    assert!(measures(&metrics, "gateway_store_calls_total{", &answered, "2"), "{metrics}");
    assert!(metrics.contains("gateway_store_bytes_total{direction=\"sent\""), "{metrics}");
    let commits = "gateway_store_call_seconds_count{";
    assert!(measures(&metrics, commits, &[r#"kind="commit""#], "2"), "{metrics}");
    assert!(metrics.contains(r#"kind="range""#) && metrics.contains(r#"kind="changes""#));
    assert!(measures(&metrics, "gateway_open_reservations{", &[], "0"), "{metrics}");
    assert!(measures(&metrics, "gateway_upstreams_aside{", &[], "0"), "{metrics}");
    assert!(metrics.contains("gateway_routes_age_seconds{"), "{metrics}");

    deployment.store.set_fault(StoreFault::Busy);
    gateway.call(&budgeted_turn("t3", "q", None, "x", 8)).await;
    let metrics = gateway.metrics().await;
    assert!(measures(&metrics, reservations, &[r#"outcome="store_failed""#], "1"), "{metrics}");
    assert!(metrics.contains(r#"outcome="turned_away""#), "{metrics}");
}

/// Two callers leave after more than a second: one whose stream had begun, one that had heard nothing.
/// Only the second says something about the upstream, which is passed over for a while.
#[actix_rt::test]
async fn an_upstream_is_put_aside_for_silence_only() {
    const LEAVES_AFTER: Duration = Duration::from_millis(1_300);
    let deployment = Deployment::start(0, 1).await;
    let gateway = GatewayProcess::start("silence", &deployment.store_address).await;
    let leave = async |id: &str, hears: &str| {
        let mut wire = Wire::connect(&gateway.callers).await;
        wire.send(budgeted_turn(id, id, None, "x", 8).as_bytes()).await;
        wire.wait_for(hears).await;
        tokio::time::sleep(LEAVES_AFTER).await;
        drop(wire);
        gateway.story(id).await;
        gateway.metrics().await
    };
    deployment.engines[0].act(EngineAct::Paced(LEAVES_AFTER));
    let metrics = leave("t1", "w1").await;
    assert!(measures(&metrics, "gateway_upstreams_aside{", &[], "0"), "{metrics}");
    deployment.engines[0].act(EngineAct::Slow(LEAVES_AFTER * 4));
    let metrics = leave("t2", "").await;
    assert!(measures(&metrics, "gateway_upstreams_aside{", &[], "1"), "{metrics}");
}

/// Nobody reads the log any more: the pipe fills up, then the queue before it. Callers go on getting
/// their answers as fast as before; when somebody reads again, the log says how much is missing.
#[actix_rt::test]
async fn a_stopped_reader_of_the_log_costs_callers_nothing() {
    /// More than the pipe, the batch being written and the queue hold.
    const REFUSED: usize = 2_700;
    const SLOWEST: Duration = Duration::from_secs(1);
    let deployment = Deployment::start(0, 1).await;
    let (gateway, log) = GatewayProcess::start_piped("no_reader", &deployment.store_address).await;
    log.stop_reading(true);
    for number in 0..REFUSED {
        let id = format!("refused-{number}-{}", "x".repeat(150));
        let request = call("nowhere", &id);
        let answer = timeout(SLOWEST, gateway.call(&request)).await.expect("refused in time");
        assert_eq!(answer.status(), 404);
        // Below the log's budget of lines a second: only the queue can be what drops them.
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    for number in 0..20 {
        let request = budgeted_turn(&format!("t{number}"), "p", None, "x", 900);
        let answer = timeout(SLOWEST, gateway.call(&request)).await.expect("answered in time");
        assert_eq!((answer.status(), answer.whole), (200, true));
    }
    log.stop_reading(false);
    wait_until("the log says with its next line what is missing", async || {
        gateway.call(&call("nowhere", "late")).await;
        log.text().contains("event=log_lines_left_out count=")
    })
    .await;
    assert!(log.text().lines().count() < REFUSED, "what did not fit was dropped");
}

/// The settings change with and without a signal, once to nonsense; then the process is stopped.
#[actix_rt::test]
async fn settings_are_read_again_and_a_stop_ends_with_zero() {
    let deployment = Deployment::start(0, 1).await;
    let mut gateway = GatewayProcess::start("reload", &deployment.store_address).await;
    let good = gateway.dir.read("settings.json");
    gateway.dir.file("settings.json", "{ nonsense");
    gateway.signal("-HUP");
    wait_until("nonsense is rejected", async || gateway.log().contains("settings_rejected")).await;
    gateway.dir.file("settings.json", &good);
    wait_until("the file is read again", async || gateway.log().contains("settings_reloaded"))
        .await;
    assert_eq!(gateway.call(&call("book", "b1")).await.status(), 200);
    gateway.signal("-TERM");
    wait_until("it says so", async || gateway.log().contains("event=stop_ended finished=true"))
        .await;
    let code = loop {
        if let Some(status) = gateway.child.try_wait().expect("it can be asked") {
            break status.code();
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    assert_eq!(code, Some(0));
}

/// Callers come with good and bad keys, keys are taken away, and the operator writes a configuration that
/// cannot be read. Neither the log, the metrics, the limits, the answers nor what upstreams are sent
/// holds a key, though all of them tell of workspaces.
#[actix_rt::test]
async fn no_key_is_told_anywhere() {
    const SECRET: &str = "s3cret";
    let deployment = Deployment::start(0, 1).await;
    let gateway = GatewayProcess::start("no_key", &deployment.store_address).await;
    let workspaces = |keys: Value| {
        json!({
            "name": "acme", "api-keys": keys, "rate-per-s": 500, "burst": 500
        })
    };
    deployment.set_workspaces(2, &[workspaces(json!([SECRET, "s3cret-too"]))]);
    let with = |request: &str, key: &str| keyed(request, &format!("Merlinsaddle-Key: {key}"));
    let good = with(&call("book", "b1"), SECRET);
    wait_until("it asks for keys", async || {
        gateway.call(&call("book", "b0")).await.status() == 401
    })
    .await;
    let mut answers = vec![gateway.call(&good).await];
    for (number, key) in ["s3cret-guess", "s3cret, s3cret", ""].iter().enumerate() {
        answers.push(gateway.call(&with(&call("book", &format!("g{number}")), key)).await);
    }
    answers.push(gateway.call(&with(&good, SECRET)).await);
    answers.push(gateway.call(&with(&budgeted_turn("t1", "p", None, "x", 100), SECRET)).await);
    deployment.store.put(
        "op",
        "config",
        &json!({
            "version": 3, "routes": [], "services": [], "limits": {},
            "tenants": [{ "name": "acme", "api-keys": SECRET }],
        }),
    );
    deployment.set_workspaces(4, &[workspaces(json!(["s3cret-new"]))]);
    wait_until("the key is refused", async || gateway.call(&good).await.status() == 401).await;
    let statuses: Vec<u16> = answers.iter().map(|answer| answer.status()).collect();
    assert_eq!(statuses, [200, 401, 401, 401, 400, 200]);
    let limits = gateway.dir.run(&["limits", &gateway.peers, "--json"]);
    assert!(limits.code == 0 && limits.stdout.contains("acme"), "{limits:?}");
    let (log, metrics) = (gateway.log(), gateway.metrics().await);
    assert!(log.contains("workspace=acme") && log.contains("reason=unknown_key"), "{log}");
    assert!(metrics.contains("acme"), "{metrics}");
    let sent = format!("{:?}{answers:?}", deployment.runs());
    for (name, text) in
        [("log", log), ("metrics", metrics), ("limits", limits.stdout), ("sent", sent)]
    {
        assert!(!text.contains(SECRET), "the {name} tells a key");
    }
}

/// An operator asks who keeps a workspace's limit and how full it is; at an address where nobody
/// listens the answer says so.
#[actix_rt::test]
async fn limits_are_shown_to_operators() {
    let deployment = Deployment::start(0, 1).await;
    let gateway = GatewayProcess::start("limits", &deployment.store_address).await;
    deployment.set_workspaces(2, &[limited("acme", 20.0, 30.0), limited("other", 5.0, 5.0)]);
    // Before that, callers are served without a limit.
    wait_until("it asks for keys", async || {
        gateway.call(&call("book", "b0")).await.status() == 401
    })
    .await;
    for workspace in ["acme", "other"] {
        wait_until("it is served", async || {
            gateway.call(&from(workspace, &call("book", "b1"))).await.status() == 200
        })
        .await;
    }
    let run = gateway.dir.run(&["limits", &gateway.peers, "--workspace", "acme"]);
    let lines: Vec<Vec<&str>> =
        run.stdout.lines().map(|line| line.split_whitespace().collect()).collect();
    assert_eq!(lines[0], ["WORKSPACE", "PER_SECOND", "BURST", "LEVEL", "REFUSED", "AS"]);
    assert_eq!(lines.len(), 2, "{run:?}");
    assert_eq!((lines[1][0], lines[1][1], lines[1][2]), ("acme", "20", "30"));
    assert_eq!(lines[1][5], "chief");
    let nobody = gateway.dir.run(&["limits", "127.0.0.1:1"]);
    assert_eq!(nobody.code, 1, "{nobody:?}");
    assert!(nobody.stderr.contains("no limits from 127.0.0.1:1"), "{nobody:?}");
}
