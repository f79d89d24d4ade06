//! Gateway processes that are told to stop while callers go on using their connections.

mod gateway_process;
mod platform_standin;
mod workdir;

use std::cell::Cell;
use std::process::Command;
use std::rc::Rc;
use std::time::Duration;

use gateway_process::GatewayProcess;
use platform_standin::engine::EngineAct;
use platform_standin::http::Wire;
use platform_standin::{Deployment, call, gateway_settings, turn, wait_until};
use rstest::rstest;
use serde_json::json;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, sleep_until};
use workdir::{WorkDir, own_ip};

const GOSSIP_PORT: u16 = 7200;
const CONNECTIONS: usize = 40;
/// Pause between an answer and the next request on the same connection.
const THINK_TIME: Duration = Duration::from_millis(2);
/// Pause between the events of a stream that is under way when the process is told to stop.
const EVENT_PAUSE: Duration = Duration::from_millis(400);
/// Of a process that runs out of them; it has some 30 open before its first connection.
const MAX_DESCRIPTORS: u32 = 100;
const WAITING_CONNECTIONS: usize = 10;
const SUSPENDED_STOPS: usize = 6;
const FAILED_STARTS: usize = 40;
/// Longer than a process waits before it tries the addresses again.
const OBSERVED_WAIT: Duration = Duration::from_millis(150);

/// From SIGTERM until no caller uses an address list that names the process: three TTLs of 0.3 s and the
/// time for its leave to spread.
const LISTS_EXPIRE: Duration = Duration::from_millis(1_200);

/// How the requests of callers ended.
#[derive(Debug, Default)]
struct Tally {
    answered: Cell<usize>,
    /// Sent whole on an open connection, and never answered.
    lost: Cell<usize>,
}

impl Tally {
    fn count(counter: &Cell<usize>) {
        counter.set(counter.get() + 1);
    }
}

async fn start_process(deployment: &Deployment) -> GatewayProcess {
    GatewayProcess::start(&own_ip(), GOSSIP_PORT, &deployment.store_address, &[]).await
}

/// Sends requests over one connection until the process closes it or announces that it will.
async fn use_connection(address: &str, request: impl Fn(usize) -> String, tally: &Tally) {
    let mut wire = Wire::connect(address).await;
    for number in 0.. {
        if !wire.send(request(number).as_bytes()).await {
            return Tally::count(&tally.lost);
        }
        let Some(answer) = wire.read_message(true).await.filter(|answer| answer.whole) else {
            return Tally::count(&tally.lost);
        };
        Tally::count(&tally.answered);
        if answer.header("connection").eq_ignore_ascii_case("close") {
            return;
        }
        sleep(THINK_TIME).await;
    }
}

/// Opens a connection for each request.
async fn use_new_connections(address: &str, caller: usize, pause: Duration, tally: &Tally) {
    for number in 0.. {
        let Ok(stream) = TcpStream::connect(address).await else { return };
        let mut wire = Wire::new(stream);
        sleep(pause).await;
        let sent = wire.send(call("book", &format!("c{caller}-{number}")).as_bytes()).await;
        let answer = wire.read_message(true).await;
        let is_answered = sent && answer.is_some_and(|answer| answer.whole);
        Tally::count(if is_answered { &tally.answered } else { &tally.lost });
        sleep(THINK_TIME).await;
    }
}

/// Tells the process to stop once callers have begun, and returns when all have ended.
async fn stop_under<F: Future<Output = ()> + 'static>(
    process: &GatewayProcess,
    caller: impl Fn(String, usize, Rc<Tally>) -> F,
    has_begun: impl AsyncFn(&Tally) -> bool,
) {
    let tally = Rc::new(Tally::default());
    let callers: Vec<_> = (0..CONNECTIONS)
        .map(|number| actix_rt::spawn(caller(process.callers.clone(), number, tally.clone())))
        .collect();
    wait_until("calls are under way", async || has_begun(&tally).await).await;
    process.signal("-TERM");
    for caller in callers {
        caller.await.expect("callers do not panic");
    }
    assert_eq!(tally.lost.get(), 0, "of {} answered", tally.answered.get());
}

/// Guards against connections that are closed after an answer that did not announce it, so that the
/// next request is lost.
#[actix_rt::test]
async fn stop_answers_the_next_request_of_each_busy_connection() {
    let deployment = Deployment::start(0, 3).await;
    let process = start_process(&deployment).await;
    let caller = |address: String, caller, tally: Rc<Tally>| async move {
        let request = |number| call("book", &format!("c{caller}-{number}"));
        use_connection(&address, request, &tally).await;
    };
    stop_under(&process, caller, async |tally| tally.answered.get() > 10 * CONNECTIONS).await;
}

/// Guards against the same after a stream whose head was sent before the stop began.
#[actix_rt::test]
async fn stop_answers_the_request_that_follows_a_stream() {
    let deployment = Deployment::start(0, 3).await;
    for engine in &deployment.engines {
        (0..CONNECTIONS).for_each(|_| engine.act(EngineAct::Paced(EVENT_PAUSE)));
    }
    let process = start_process(&deployment).await;
    let caller = |address: String, caller, tally: Rc<Tally>| async move {
        let request =
            |number| turn(&format!("t{caller}-{number}"), &format!("p{caller}"), None, "hello");
        use_connection(&address, request, &tally).await;
    };
    let has_begun = async |_: &Tally| {
        let streams_run = deployment.runs().len() >= CONNECTIONS;
        // Their heads have been sent on by then.
        sleep(EVENT_PAUSE / 2).await;
        streams_run
    };
    stop_under(&process, caller, has_begun).await;
}

/// Guards against connections that are accepted, and closed before their request arrives.
#[rstest]
#[actix_rt::test]
async fn stop_answers_each_connection_that_it_accepts(
    #[values(Duration::ZERO, Duration::from_millis(30))] pause: Duration,
) {
    let deployment = Deployment::start(0, 3).await;
    let process = start_process(&deployment).await;
    let caller = |address: String, caller, tally: Rc<Tally>| async move {
        use_new_connections(&address, caller, pause, &tally).await;
    };
    stop_under(&process, caller, async |tally| tally.answered.get() > CONNECTIONS).await;
    wait_until("it has ended", async || process.has_ended()).await;
}

/// Guards against a queue of connections that is reset in a stop, as descriptors are lacking when its
/// listener closes.
#[actix_rt::test]
async fn stop_answers_connections_that_wait_for_descriptors() {
    let deployment = Deployment::start(0, 1).await;
    let store = &deployment.store_address;
    let process =
        GatewayProcess::start_limited(&own_ip(), GOSSIP_PORT, store, MAX_DESCRIPTORS).await;
    let mut silent = Vec::new();
    while !process.log().contains("event=accept_failed") {
        silent.push(Wire::connect(&process.callers).await);
        sleep(THINK_TIME).await;
    }
    let mut waiting = Vec::new();
    for number in 0..WAITING_CONNECTIONS {
        let mut wire = Wire::connect(&process.callers).await;
        assert!(wire.send(call("book", &format!("c{number}")).as_bytes()).await);
        waiting.push(wire);
    }
    process.signal("-TERM");
    let mut answered = 0;
    for mut wire in waiting {
        let answer = wire.read_message(true).await;
        answered += usize::from(answer.is_some_and(|answer| answer.status() == 200));
    }
    assert_eq!(answered, WAITING_CONNECTIONS, "{}", process.log());
    wait_until("it has ended", async || process.has_ended()).await;
}

/// Guards against a request that arrives late in a stop and is cut off at its end, or refused although
/// there is time for it.
#[rstest]
#[case::too_long(6_000, 503)]
#[case::short(1_000, 200)]
#[actix_rt::test]
async fn stop_refuses_only_what_may_be_cut_off(#[case] deadline_ms: u64, #[case] status: u16) {
    let deployment = Deployment::start(0, 1).await;
    let process = start_process(&deployment).await;
    process.signal("-TERM");
    let stopped = Instant::now();
    sleep_until(stopped + LISTS_EXPIRE - Duration::from_millis(100)).await;
    let mut wire = Wire::connect(&process.callers).await;
    sleep_until(stopped + LISTS_EXPIRE + Duration::from_millis(700)).await;
    let deadline = format!("Deadline-Ms: {deadline_ms}");
    let request = call("book", "late").replace("Deadline-Ms: 5000", &deadline);
    assert!(wire.send(request.as_bytes()).await);
    let answer = wire.read_message(true).await.expect("an answer");
    assert_eq!(answer.status(), status);
    assert_eq!(answer.header("connection"), "close");
    assert_eq!(deployment.runs().len(), usize::from(status == 200));
}

/// Guards against connections without a request that hold up a stop until the end of the grace period.
#[actix_rt::test]
async fn stop_does_not_wait_for_silent_connections() {
    let deployment = Deployment::start(0, 1).await;
    let process = start_process(&deployment).await;
    let mut silent = Vec::new();
    for _ in 0..CONNECTIONS {
        silent.push(Wire::connect(&process.callers).await);
    }
    process.signal("-TERM");
    let stopped = Instant::now();
    wait_until("it has ended", async || process.has_ended()).await;
    let elapsed = stopped.elapsed();
    assert!(elapsed < Duration::from_secs(4), "{elapsed:?} of 8 s grace");
}

/// Guards against a second signal, or one to reload, that cuts a stop short.
#[rstest]
#[actix_rt::test]
async fn further_signals_do_not_cut_a_stop_short(#[values("-TERM", "-INT", "-HUP")] second: &str) {
    let deployment = Deployment::start(0, 1).await;
    deployment.engines[0].act(EngineAct::Slow(Duration::from_secs(2)));
    let process = start_process(&deployment).await;
    let mut wire = Wire::connect(&process.callers).await;
    assert!(wire.send(call("book", "slow").as_bytes()).await);
    wait_until("the call runs", async || !deployment.runs().is_empty()).await;
    process.signal("-HUP");
    process.signal("-TERM");
    sleep(Duration::from_millis(300)).await;
    process.signal(second);
    assert_eq!(wire.read_message(true).await.expect("an answer").status(), 200);
}

/// Guards against a call that outlasts the grace period and ends without an answer.
#[actix_rt::test]
async fn call_that_outlasts_the_grace_period_is_told_so() {
    let mut deployment = Deployment::start_with(1, 1, &json!({ "grace_seconds": 2 })).await;
    deployment.engines[0].act(EngineAct::Slow(Duration::from_secs(5)));
    let answer = deployment.gateway().call_later(&call("book", "slow"));
    wait_until("the call runs", async || !deployment.runs().is_empty()).await;
    assert!(!deployment.gateways[0].stop().await, "a call was cut off");
    let answer = answer.await.expect("callers do not panic");
    assert_eq!((answer.status(), answer.header("connection")), (504, "close"));
}

/// Guards against an upload that is cut off in silence, as it is still being read at the end of a stop.
#[actix_rt::test]
async fn upload_that_outlasts_the_grace_period_is_told_so() {
    let mut deployment = Deployment::start_with(1, 1, &json!({ "grace_seconds": 2 })).await;
    let mut wire = deployment.gateway().connect().await;
    let request = call("book", "half").replace("Content-Length: 2", "Content-Length: 9");
    assert!(wire.send(request.as_bytes()).await);
    deployment.gateways[0].stop().await;
    let answer = wire.read_message(true).await.expect("an answer");
    assert_eq!((answer.status(), answer.header("connection")), (503, "close"));
}

/// Guards against a request whose head is still being read at the end of a stop and gets no answer.
#[actix_rt::test]
async fn half_head_at_the_end_of_a_stop_is_told_so() {
    let mut deployment = Deployment::start_with(1, 1, &json!({ "grace_seconds": 2 })).await;
    let mut wire = deployment.gateway().connect().await;
    assert!(wire.send(&call("book", "half").as_bytes()[..60]).await);
    deployment.gateways[0].stop().await;
    let answer = wire.read_message(true).await.expect("an answer");
    assert_eq!((answer.status(), answer.header("connection")), (503, "close"));
}

/// Suspends a stopping process, and resumes it when its stop should have ended. Returns how many requests
/// that were sent meanwhile, over kept connections and new ones, were lost.
async fn lose_requests_of_a_suspended_stop(deployment: &Deployment) -> usize {
    let own = json!({ "grace_seconds": 2 });
    let process =
        GatewayProcess::start_with(&own_ip(), GOSSIP_PORT, &deployment.store_address, &own).await;
    let request = |number: usize| call("book", &format!("c{number}"));
    let mut wires = Vec::new();
    for number in 0..WAITING_CONNECTIONS {
        let mut kept = Wire::connect(&process.callers).await;
        assert!(kept.send(request(number).as_bytes()).await);
        kept.read_message(true).await.expect("an answer");
        wires.push(kept);
    }
    process.signal("-TERM");
    let resumed_at = Instant::now() + Duration::from_millis(1_900);
    wait_until("it stops", async || process.log().contains("event=stop_begun")).await;
    process.signal("-STOP");
    wait_until("it is suspended", async || process.is_suspended()).await;
    for _ in 0..WAITING_CONNECTIONS {
        wires.push(Wire::connect(&process.callers).await);
    }
    for (number, wire) in wires.iter_mut().enumerate() {
        assert!(wire.send(request(WAITING_CONNECTIONS + number).as_bytes()).await);
    }
    sleep_until(resumed_at).await;
    process.signal("-CONT");
    let mut lost = 0;
    for mut wire in wires {
        lost += usize::from(wire.read_message(true).await.is_none());
    }
    lost
}

/// Guards against requests that are reset, as their process resumes only at the end of its stop.
#[actix_rt::test]
async fn stop_that_resumes_at_its_end_answers_what_waits() {
    let deployment = Deployment::start(0, 1).await;
    let stops = (0..SUSPENDED_STOPS).map(|_| lose_requests_of_a_suspended_stop(&deployment));
    let lost = futures_util::future::join_all(stops).await;
    assert_eq!(lost, [0; SUSPENDED_STOPS]);
}

/// Guards against connections that a process accepts and resets, as another of its addresses is in use:
/// that of its predecessor, which still stops.
#[actix_rt::test]
async fn process_that_cannot_start_accepts_no_connections() {
    let deployment = Deployment::start(0, 1).await;
    let ip = own_ip();
    let own =
        json!({ "caller_address": format!("{ip}:8149"), "peer_address": format!("{ip}:8144") });
    let settings = gateway_settings(&ip, &deployment.store_address, GOSSIP_PORT, &[], &own);
    let predecessor = TcpListener::bind(format!("{ip}:8144")).await.expect("a free port");
    let mut accepted = 0;
    for number in 0..FAILED_STARTS {
        let process = GatewayProcess::spawn(&format!("gateway-{ip}-{number}"), &settings);
        let waits = || process.log().contains("event=address_taken");
        let mut waits_since = None;
        while waits_since.is_none_or(|since: Instant| since.elapsed() < OBSERVED_WAIT) {
            accepted += usize::from(TcpStream::connect(format!("{ip}:8149")).await.is_ok());
            if waits_since.is_none() && waits() {
                waits_since = Some(Instant::now());
            }
        }
    }
    assert_eq!(accepted, 0);
    drop(predecessor);
}

/// Guards against signals that end a process which has not read its settings yet.
#[rstest]
#[case::reload("-HUP", false)]
#[case::stop("-TERM", true)]
#[actix_rt::test]
async fn starting_process_heeds_signals(#[case] signal: &str, #[case] ends: bool) {
    let deployment = Deployment::start(0, 1).await;
    let settings =
        gateway_settings(&own_ip(), &deployment.store_address, GOSSIP_PORT, &[], &json!({}));
    let dir = WorkDir::new(&format!("starting{signal}"));
    let path = dir.path("settings.json");
    // Reads of a pipe wait for its writer.
    assert!(Command::new("mkfifo").arg(&path).status().expect("mkfifo runs").success());
    let mut child = dir.spawn("gateway.log", &["gateway", &path]);
    sleep(Duration::from_millis(500)).await;
    let id = child.id().to_string();
    assert!(Command::new("kill").args([signal, &id]).status().expect("kill runs").success());
    std::fs::write(&path, settings.to_string()).expect("the process reads it");
    let log = || dir.read("gateway.log");
    wait_until("it has started", async || log().contains("event=started")).await;
    if !ends {
        std::fs::write(&path, settings.to_string()).expect("the process reads it again");
    }
    let last_event = if ends { "event=stop_ended" } else { "event=ready" };
    wait_until(last_event, async || log().contains(last_event)).await;
    if !ends {
        child.kill().expect("it runs");
    }
    let status = child.wait().expect("it is a child of this process");
    assert_eq!(status.success(), ends);
}
