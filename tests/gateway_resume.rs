//! Streams that break off and go on at an engine after the last event that was passed on.

mod platform_standin;

use platform_standin::engine::EngineAct;
use platform_standin::{Deployment, HOST, budgeted_turn, route, wait_until};
use rstest::rstest;

const WHOLE: &str = "id: 1\ndata: w1\n\nid: 2\ndata: w2\n\nid: 3\ndata: w3\n\n";

/// One gateway whose streams may be resumed, before a near and a far engine.
async fn deployment(max_attempts: u32, resumable: bool) -> Deployment {
    let deployment = Deployment::with_near_and_far_engine().await;
    let mut turn = route("turn", "stream");
    turn["retained"] = false.into();
    turn["resumable"] = resumable.into();
    turn["max-attempts"] = max_attempts.into();
    deployment.set_routes(2, &[turn]);
    wait_until("the route keeps no history", async || {
        let turn = budgeted_turn("probe", "probe", Some("none"), "x", 100);
        deployment.gateway().call(&turn).await.status() == 200
    })
    .await;
    deployment.engines.iter().for_each(|engine| engine.clear_runs());
    deployment
}

fn stream(id: &str) -> String {
    budgeted_turn(id, "p", None, "x", 100)
}

/// Guards against a program that fails because one engine broke off a stream that may go on.
#[rstest]
#[case::before_the_head(EngineAct::LoseAnswer, "")]
#[case::before_the_first_event(EngineAct::CutAfter(0), "")]
#[case::between_events(EngineAct::CutAfter(2), "2")]
#[case::inside_an_event(EngineAct::CutInside(1), "1")]
#[case::before_the_end(EngineAct::CutAfter(3), "3")]
#[actix_rt::test]
async fn a_stream_goes_on_at_another_engine(#[case] act: EngineAct, #[case] after: &str) {
    let deployment = deployment(2, true).await;
    deployment.engines[0].act(act);
    let answer = deployment.gateway().call(&stream("t1")).await;
    assert_eq!((answer.status(), answer.whole), (200, true));
    assert_eq!(String::from_utf8_lossy(&answer.body), WHOLE);
    let resumed = deployment.engines[1].runs();
    assert_eq!(resumed.len(), 1);
    assert_eq!(resumed[0].header("last-event-id"), after);
}

/// Guards against a stream at more engines than its route allows: the same one goes on with it.
#[actix_rt::test]
async fn a_stream_goes_on_at_its_engine_where_no_other_may_run_it() {
    let deployment = deployment(1, true).await;
    deployment.engines[0].act(EngineAct::CutAfter(1));
    deployment.engines[0].act(EngineAct::CutInside(2));
    let answer = deployment.gateway().call(&stream("t1")).await;
    assert_eq!((answer.status(), answer.whole), (200, true));
    assert_eq!(String::from_utf8_lossy(&answer.body), WHOLE);
    assert_eq!(deployment.engines[0].runs().len(), 3);
    assert!(deployment.engines[1].runs().is_empty());
}

/// Guards against endless attempts at an engine that breaks off all streams.
#[actix_rt::test]
async fn a_stream_that_breaks_off_again_and_again_is_cut() {
    let deployment = deployment(1, true).await;
    for _ in 0..8 {
        deployment.engines[0].act(EngineAct::CutAfter(1));
    }
    let answer = deployment.gateway().call(&stream("t1")).await;
    assert_eq!((answer.status(), answer.whole), (200, false));
    assert_eq!(deployment.engines[0].runs().len(), 4);
}

/// Guards against events that a caller gets twice, from an engine that begins anew.
#[actix_rt::test]
async fn events_that_jump_back_are_not_passed_on() {
    let deployment = deployment(2, true).await;
    deployment.engines[0].act(EngineAct::CutAfter(2));
    deployment.engines[1].act(EngineAct::FromStart);
    let answer = deployment.gateway().call(&stream("t1")).await;
    assert_eq!((answer.status(), answer.whole), (200, false));
    assert_eq!(String::from_utf8_lossy(&answer.body), "id: 1\ndata: w1\n\nid: 2\ndata: w2\n\n");
}

/// Guards against a second run of a stream whose route does not allow it.
#[actix_rt::test]
async fn a_stream_that_may_not_be_resumed_is_cut() {
    let deployment = deployment(2, false).await;
    deployment.engines[0].act(EngineAct::CutAfter(1));
    let answer = deployment.gateway().call(&stream("t1")).await;
    assert_eq!((answer.status(), answer.whole), (200, false));
    assert_eq!(deployment.runs().len(), 1);
}

/// Guards against a caller that resumes by itself and gets the stream from its start.
#[actix_rt::test]
async fn a_caller_resumes_after_its_last_event() {
    let deployment = deployment(2, true).await;
    let request = stream("t2")
        .replace(&format!("Host: {HOST}\r\n"), &format!("Host: {HOST}\r\nLast-Event-Id: 1\r\n"));
    deployment.engines[0].act(EngineAct::CutAfter(2));
    let answer = deployment.gateway().call(&request).await;
    assert_eq!((answer.status(), answer.whole), (200, true));
    let events = String::from_utf8_lossy(&answer.body).into_owned();
    assert_eq!(events, WHOLE.strip_prefix("id: 1\ndata: w1\n\n").expect("it begins so"));
    assert_eq!(deployment.engines[1].runs()[0].header("last-event-id"), "2");
}
