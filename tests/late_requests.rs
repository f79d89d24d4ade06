//! Requests that come while a gateway process stops.

mod gateway_process;
mod platform_standin;
mod workdir;

use std::time::Duration;

use futures_util::future::join_all;
use gateway_process::GatewayProcess;
use platform_standin::engine::EngineAct;
use platform_standin::http::Wire;
use platform_standin::{Deployment, call, turn};
use rstest::rstest;
use serde_json::json;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until};
use workdir::own_ip;

const GOSSIP_PORT: u16 = 7200;
const ENGINES: usize = 8;
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
const REQUESTS: u32 = 75;
/// Time for which an engine works on a request; shorter than its deadline.
const WORK_TIME: Duration = Duration::from_millis(5_700);

fn request(kind: &str, number: u32) -> String {
    let request = match kind {
        "turn" => turn(&format!("t{number}"), &format!("p{number}"), None, "hello"),
        kind => call(kind, &format!("c{number}")),
    };
    request.replace("Deadline-Ms: 5000", "Deadline-Ms: 6000")
}

/// Guards against requests that may not be repeated, and that a stop takes and cuts off at its end; an
/// idempotent one is told so.
#[rstest]
#[case::calls("book", &[200, 503], 0)]
#[case::turns("turn", &[200, 503], 0)]
#[case::idempotent("read", &[200, 503, 504], 8)]
#[actix_rt::test]
async fn stop_cuts_off_no_request_that_it_takes(
    #[case] kind: &str,
    #[case] allowed: &[u16],
    #[case] code: i32,
) {
    let deployment = Deployment::start(0, ENGINES).await;
    for engine in &deployment.engines {
        let act = match kind {
            "turn" => EngineAct::Paced(WORK_TIME / 3),
            _ => EngineAct::Slow(WORK_TIME),
        };
        (0..REQUESTS).for_each(|_| engine.act(act.clone()));
    }
    let own = json!({ "address_keep_seconds": 5 });
    let mut process =
        GatewayProcess::start_with(&own_ip(), GOSSIP_PORT, &deployment.store_address, &own).await;
    process.signal("-TERM");
    let stopped = Instant::now();
    let requests = (0..REQUESTS).map(async |number| {
        sleep_until(stopped + REQUEST_INTERVAL * number).await;
        let stream = TcpStream::connect(&process.callers).await.ok()?;
        let mut wire = Wire::new(stream);
        let sent = wire.send(request(kind, number).as_bytes()).await;
        let answer = wire.read_message(true).await.filter(|answer| answer.whole);
        Some((number, sent, answer.map_or(0, |answer| answer.status())))
    });
    let outcomes: Vec<_> = join_all(requests).await.into_iter().flatten().collect();
    let count = |status: u16| outcomes.iter().filter(|outcome| outcome.2 == status).count();
    assert!(count(200) > 10 && count(503) > 5, "{outcomes:?}");
    let cut: Vec<_> = outcomes.iter().filter(|outcome| !allowed.contains(&outcome.2)).collect();
    assert!(cut.is_empty(), "{cut:?}");
    let served = deployment.runs().len();
    assert_eq!(served, count(200) + count(504), "{outcomes:?}");
    assert_eq!(process.ended().await.code(), Some(code));
}
