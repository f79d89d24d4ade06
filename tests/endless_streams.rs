//! Memory of a gateway process while engines send streams without end.

mod gateway_process;
mod platform_standin;
mod workdir;

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use futures_util::future::join_all;
use gateway_process::GatewayProcess;
use platform_standin::engine::{EndlessPart, EngineAct, StandinEngine};
use platform_standin::http::Wire;
use platform_standin::{Deployment, call, manifest, route, turn};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;
use workdir::own_ip;

const GOSSIP_PORT: u16 = 7200;
const MEGABYTE: u64 = 1024 * 1024;
/// As in the settings of the process.
const MEMORY_LIMIT: u64 = 130 * MEGABYTE;
const CALLERS: usize = 60;
const SAMPLE_INTERVAL: Duration = Duration::from_millis(5);
/// The deadline of the calls, 5 s, half a second, and time for a loaded machine.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
const READ_BYTES: usize = 64 * 1024;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StreamKind {
    /// Its history is kept.
    Turn,
    Plain,
    Resumable,
}

/// A sound engine serves the route `sound`, a faulty one all others.
async fn start(kind: StreamKind, part: EndlessPart) -> (Deployment, Arc<GatewayProcess>) {
    let deployment = Deployment::start(0, 1).await;
    (0..2 * CALLERS).for_each(|_| deployment.engines[0].act(EngineAct::Endless(part)));
    let mut stream = route("turn", "stream");
    match kind {
        StreamKind::Turn => {
            stream["retained"] = true.into();
            stream["retain-s"] = 60.into();
        }
        StreamKind::Plain => {}
        StreamKind::Resumable => stream["resumable"] = true.into(),
    }
    let mut sound = route("sound", "unsafe");
    sound["service"] = "app".into();
    let mut manifest = manifest(2, &[stream, sound]);
    let services = manifest["services"].as_array_mut().expect("it is a list");
    let mut service = services[0].clone();
    service["name"] = "app".into();
    services.push(service);
    deployment.store.put("op", "config", &manifest);
    let engine = StandinEngine::default();
    let address = engine.start("127.0.0.1").await;
    deployment.list_engine_of("app", "sound", &address);
    let store = &deployment.store_address;
    let process = GatewayProcess::start(&own_ip(), GOSSIP_PORT, store, &[]).await;
    (deployment, Arc::new(process))
}

/// Kills the process, as a platform does, once it exceeds its memory.
fn enforce_limit(process: &Arc<GatewayProcess>) {
    let process = Arc::downgrade(process);
    thread::spawn(move || {
        while let Some(process) = process.upgrade() {
            if process.resident_memory() > MEMORY_LIMIT {
                return process.signal("-KILL");
            }
            drop(process);
            thread::sleep(SAMPLE_INTERVAL);
        }
    });
}

/// Reads an answer until it ends, without keeping it.
async fn read_away(address: &str, request: &str) {
    let mut stream = TcpStream::connect(address).await.expect("the address listens");
    stream.write_all(request.as_bytes()).await.expect("the process reads");
    let mut bytes = vec![0; READ_BYTES];
    while let Ok(count) = stream.read(&mut bytes).await {
        let is_refusal = bytes.starts_with(b"HTTP/1.1 50");
        if count == 0 || is_refusal || bytes[..count].ends_with(b"\r\n0\r\n\r\n") {
            return;
        }
    }
}

/// Guards against streams without end that are kept until the process exceeds its memory and ends with
/// the requests of all callers, and against those that outlast their deadline.
#[rstest]
#[actix_rt::test]
async fn endless_streams_end_without_their_process(
    #[values(StreamKind::Turn, StreamKind::Plain, StreamKind::Resumable)] kind: StreamKind,
    #[values(
        EndlessPart::EventLine,
        EndlessPart::EventLines,
        EndlessPart::Comments,
        EndlessPart::Events,
        EndlessPart::Body,
        EndlessPart::Text
    )]
    part: EndlessPart,
) {
    let (_deployment, process) = start(kind, part).await;
    enforce_limit(&process);
    let streams = (0..CALLERS).map(async |number| {
        let request = turn(&format!("t{number}"), &format!("p{number}"), None, "hi");
        let ended = timeout(ANSWER_TIMEOUT, read_away(&process.callers, &request)).await;
        usize::from(ended.is_ok())
    });
    let sound = async {
        let mut wire = Wire::connect(&process.callers).await;
        assert!(wire.send(call("sound", "other").as_bytes()).await);
        let answer = timeout(ANSWER_TIMEOUT, wire.read_message(true)).await;
        answer.ok().flatten().map_or(0, |answer| answer.status())
    };
    let (ended, sound) = tokio::join!(join_all(streams), sound);
    let peak = process.peak_memory();
    assert!(!process.has_ended(), "it exceeded its memory");
    assert!(peak <= MEMORY_LIMIT, "{} MB", peak / MEGABYTE);
    assert_eq!((ended.iter().sum::<usize>(), sound), (CALLERS, 200));
}
