//! Limits of workspaces over several instances that run for real.

mod platform_standin;

use std::time::Duration;

use merlinsaddle::core::quotas::LimitSample;
use merlinsaddle::gateway::LIMITS_PATH;
use platform_standin::engine::EngineAct;
use platform_standin::http::RawMessage;
use platform_standin::store::StoreFault;
use platform_standin::{
    Deployment, TestGateway, budgeted_turn, call, from, limited, turn, wait_until, workspace,
};
use serde_json::json;
use tokio::time::{Instant, sleep};

async fn samples(gateway: &TestGateway) -> Vec<LimitSample> {
    let request = format!("GET {LIMITS_PATH} HTTP/1.1\r\nhost: x\r\n\r\n");
    let mut wire = platform_standin::http::Wire::connect(&gateway.settings.peer_address).await;
    wire.send(request.as_bytes()).await;
    let answer = wire.read_message(true).await.expect("an answer comes");
    serde_json::from_slice(&answer.body).expect("limits are JSON")
}

/// Waits until the limiter of a workspace has so much to give out; the instance that it is.
async fn filled(deployment: &Deployment, workspace: &str, level: f64) -> usize {
    let found = std::cell::Cell::new(0);
    // The first question makes the limiter.
    deployment.gateways[0].call(&from(workspace, &call("book", "fill"))).await;
    wait_until("the bucket has filled", async || {
        for (number, gateway) in deployment.gateways.iter().enumerate() {
            let samples = samples(gateway).await;
            let own = |sample: &LimitSample| {
                *sample.workspace == *workspace && sample.is_primary && sample.level >= level
            };
            if samples.iter().any(own) {
                found.set(number);
                return true;
            }
        }
        sleep(Duration::from_millis(50)).await;
        false
    })
    .await;
    found.get()
}

async fn flood(deployment: &Deployment, workspace: &str, count: usize) -> Vec<RawMessage> {
    let requests: Vec<String> = (0..count)
        .map(|number| from(workspace, &call("book", &format!("{workspace}{number}"))))
        .collect();
    let gateways = deployment.gateways.iter().cycle();
    let calls = requests.iter().zip(gateways).map(|(request, gateway)| gateway.call(request));
    futures_util::future::join_all(calls).await
}

fn count(answers: &[RawMessage], status: u16) -> usize {
    answers.iter().filter(|answer| answer.status() == status).count()
}

/// A workspace sends far more than its limit to three instances at once. What runs keeps the limit
/// over all of them; the others hear that it did not run and when there is room. A workspace without
/// a limit and one below its own are served meanwhile.
#[actix_rt::test]
async fn a_limit_holds_over_all_instances() {
    let workspaces = [limited("hot", 10.0, 10.0), limited("calm", 50.0, 50.0), workspace("free")];
    let deployment = Deployment::start(3, 1).await.with_workspaces(&workspaces).await;
    deployment.all_named().await;
    filled(&deployment, "calm", 40.0).await;
    filled(&deployment, "hot", 8.0).await;
    deployment.engines[0].clear_runs();
    let begun = Instant::now();
    let [hot, calm, free] = [("hot", 60), ("calm", 20), ("free", 60)]
        .map(|(workspace, count)| flood(&deployment, workspace, count));
    let (hot, calm, free) = futures_util::join!(hot, calm, free);
    assert_eq!((count(&calm, 200), count(&free, 200)), (20, 60));
    let (ran, refused) = (count(&hot, 200), count(&hot, 429));
    assert_eq!(ran + refused, 60);
    // The bucket, what waits for its place, and what came in meanwhile.
    let most = 10.0 + 3.0 + 10.0 * begun.elapsed().as_secs_f64();
    assert!((9.0..=most).contains(&(ran as f64)), "{ran} ran of {most}");
    for answer in hot.iter().filter(|answer| answer.status() == 429) {
        let wait: f64 = answer.header("retry-after").parse().expect("seconds");
        assert!((0.1..=1.6).contains(&wait), "{wait}");
    }
    let runs = deployment.runs();
    let of_hot = runs.iter().filter(|run| run.header("merlinsaddle-tenant") == "hot").count();
    assert_eq!(of_hot, ran);
}

/// Whoever limits the workspace is killed in the midst. Requests wait or are told to come back until
/// another one has taken over; it begins empty, so that the two together give out no second burst.
#[actix_rt::test]
async fn a_killed_limiter_is_replaced() {
    let mut deployment =
        Deployment::start(3, 1).await.with_workspaces(&[limited("acme", 20.0, 20.0)]).await;
    deployment.all_named().await;
    let chief = filled(&deployment, "acme", 18.0).await;
    deployment.engines[0].clear_runs();
    let begun = Instant::now();
    let first = count(&flood(&deployment, "acme", 40).await, 200);
    let mut victim = deployment.gateways.swap_remove(chief);
    victim.kill().await;
    let mut ran = first;
    wait_until("the other two serve the workspace", async || {
        let answers = flood(&deployment, "acme", 4).await;
        count(&answers, 200) > 0
    })
    .await;
    while begun.elapsed() < Duration::from_secs(4) {
        ran += count(&flood(&deployment, "acme", 20).await, 200);
        sleep(Duration::from_millis(100)).await;
    }
    let runs = deployment.runs().len() as f64;
    let most = 20.0 + 5.0 + 20.0 * begun.elapsed().as_secs_f64();
    assert!(runs <= most, "{runs} ran of {most}");
    assert!(ran > first);
}

/// Turns that are not run for a budget that is spent, or for a turn that does not exist, take nothing
/// from the limit: programs that loop without end would use it up.
#[actix_rt::test]
async fn turns_that_did_not_run_take_nothing_from_the_limit() {
    let deployment =
        Deployment::start(2, 1).await.with_workspaces(&[limited("acme", 10.0, 20.0)]).await;
    deployment.all_named().await;
    filled(&deployment, "acme", 19.5).await;
    for number in 0..10 {
        let unknown = from("acme", &turn(&format!("t{number}"), "p", Some("never"), "x"));
        assert_eq!(deployment.gateways[number % 2].call(&unknown).await.status(), 404);
        let id = format!("u{number}");
        let spent = from("acme", &budgeted_turn(&id, "q", None, "x", 1));
        assert_eq!(deployment.gateways[number % 2].call(&spent).await.status(), 402);
        // The place goes back after the answer.
        sleep(Duration::from_millis(30)).await;
    }
    assert_eq!(count(&flood(&deployment, "acme", 18).await, 200), 18);
}

/// The operator lowers a limit, then raises it: both hold within seconds, and the level is carried
/// over, not filled up.
#[actix_rt::test]
async fn a_changed_limit_is_in_force_in_seconds() {
    let deployment =
        Deployment::start(2, 1).await.with_workspaces(&[limited("acme", 100.0, 100.0)]).await;
    deployment.all_named().await;
    filled(&deployment, "acme", 50.0).await;
    deployment.set_workspaces(3, &[limited("acme", 2.0, 2.0)]);
    sleep(Duration::from_secs(2)).await;
    let answers = flood(&deployment, "acme", 40).await;
    let ran = count(&answers, 200);
    assert!((1..=4).contains(&ran), "{ran} ran");
    deployment.set_workspaces(4, &[limited("acme", 100.0, 100.0)]);
    wait_until("it may ask more again", async || {
        sleep(Duration::from_millis(700)).await;
        count(&flood(&deployment, "acme", 30).await, 200) == 30
    })
    .await;
}

/// The store is away. Limits need it not: calls of a workspace below its limit are served as before.
#[actix_rt::test]
async fn limits_need_no_store() {
    let deployment =
        Deployment::start(2, 1).await.with_workspaces(&[limited("acme", 100.0, 100.0)]).await;
    deployment.all_named().await;
    filled(&deployment, "acme", 60.0).await;
    deployment.store.set_fault(StoreFault::Silent);
    sleep(Duration::from_millis(500)).await;
    assert_eq!(count(&flood(&deployment, "acme", 40).await, 200), 40);
}

/// Two instances that know nothing of each other's limiter answer by shares, the other way that the
/// settings offer.
#[actix_rt::test]
async fn limits_may_be_kept_in_equal_parts() {
    let own = json!({ "quota_way": "shares" });
    let deployment = Deployment::start_with(2, 1, &own).await;
    let deployment = deployment.with_workspaces(&[limited("acme", 20.0, 20.0)]).await;
    deployment.all_named().await;
    // The first questions make the parts, which begin empty.
    flood(&deployment, "acme", 4).await;
    sleep(Duration::from_millis(1_500)).await;
    let answers = flood(&deployment, "acme", 80).await;
    let ran = count(&answers, 200);
    assert!((10..=40).contains(&ran), "{ran} ran");
    assert_eq!(ran + count(&answers, 429), 80);
}

/// Engines refuse for want of room: those requests did not run and take nothing from the limit, or a
/// workspace's limit would be used up while nothing of it is served.
#[actix_rt::test]
async fn refusals_of_an_engine_take_nothing_from_the_limit() {
    let deployment =
        Deployment::start(2, 1).await.with_workspaces(&[limited("acme", 2.0, 6.0)]).await;
    deployment.all_named().await;
    let chief = filled(&deployment, "acme", 5.5).await;
    for number in 0..10 {
        (0..9).for_each(|_| deployment.engines[0].act(EngineAct::Full));
        let request = from("acme", &call("book", &format!("f{number}")));
        assert_eq!(deployment.gateways[number % 2].call(&request).await.status(), 503);
        deployment.engines[0].clear_acts();
    }
    wait_until("all is given back", async || {
        samples(&deployment.gateways[chief]).await.iter().any(|s| s.is_primary && s.level >= 5.0)
    })
    .await;
    assert_eq!(count(&flood(&deployment, "acme", 5).await, 200), 5);
}
