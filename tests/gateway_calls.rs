//! Calls of services: what is sent again and what is not, whose answer it is, and bad input.

mod platform_standin;

use std::time::Duration;

use platform_standin::engine::{EVENTS, EngineAct};
use platform_standin::http::Wire;
use platform_standin::{Deployment, HOST, TEST_TIMEOUT, call, turn, wait_until};
use rstest::rstest;
use tokio::net::TcpListener;
use tokio::time::{Instant, timeout};

/// Tells both engines to misbehave once, so that whichever is chosen first does.
fn act_first(deployment: &Deployment, act: &EngineAct) {
    for engine in &deployment.engines {
        engine.act(act.clone());
    }
}

/// The first upstream says that it did not run the call; only then may it go elsewhere.
#[rstest]
#[case::full(EngineAct::Full)]
#[case::reused_address(EngineAct::Misdirected)]
#[actix_rt::test]
async fn an_unrun_call_is_tried_elsewhere(#[case] act: EngineAct) {
    let deployment = Deployment::with_near_and_far_engine().await;
    deployment.engines[0].act(act);
    let answer = deployment.gateway().call(&call("book", "b1")).await;
    assert_eq!((answer.status(), answer.text()), (200, "done".to_owned()));
    assert_eq!((deployment.engines[0].seen(), deployment.engines[1].seen()), (1, 1));
    assert_eq!(deployment.runs().len(), 1);
}

/// The upstream runs a booking and its answer is lost: nobody may send it again, and the caller
/// must not be told that it did not run. A lookup may be sent again, and is.
#[actix_rt::test]
async fn a_lost_answer_is_only_repeated_where_that_is_safe() {
    let deployment = Deployment::start(1, 2).await;
    act_first(&deployment, &EngineAct::LoseAnswer);
    let booking = deployment.gateway().call(&call("book", "b1")).await;
    assert_eq!(booking.status(), 502);
    assert_eq!(deployment.runs().len(), 1);

    let deployment = Deployment::with_near_and_far_engine().await;
    deployment.engines[0].act(EngineAct::LoseAnswer);
    let lookup = deployment.gateway().call(&call("read", "r1")).await;
    assert_eq!((lookup.status(), lookup.text()), (200, "done".to_owned()));
    assert_eq!(deployment.runs().len(), 2, "it ran again at the other one");
}

/// A late answer to somebody else's request comes first on the connection. It must not reach this
/// caller, and its own answer must.
#[actix_rt::test]
async fn a_foreign_answer_is_skipped() {
    let deployment = Deployment::start(1, 1).await;
    deployment.engines[0].act(EngineAct::ForeignFirst);
    let answer = deployment.gateway().call(&call("book", "b1")).await;
    assert_eq!((answer.status(), answer.text()), (200, "mine".to_owned()));
}

/// Bytes follow a whole answer. The next request on that connection would take them for its own
/// answer, so the connection must not be used again.
#[actix_rt::test]
async fn bytes_after_an_answer_end_the_connection() {
    let deployment = Deployment::start(1, 1).await;
    deployment.engines[0].act(EngineAct::Trailing);
    let mut wire = deployment.gateway().connect().await;
    for (id, text) in [("b1", "mine"), ("b2", "done")] {
        wire.send(call("book", id).as_bytes()).await;
        let answer = wire.read_message(true).await.expect("an answer");
        assert_eq!((answer.status(), answer.text()), (200, text.to_owned()));
    }
}

#[actix_rt::test]
async fn an_answer_may_end_with_its_connection() {
    let deployment = Deployment::start(1, 1).await;
    deployment.engines[0].act(EngineAct::UntilClose);
    let answer = deployment.gateway().call(&call("book", "b1")).await;
    assert_eq!((answer.whole, answer.text()), (true, "to the end".to_owned()));
}

#[actix_rt::test]
async fn an_upstreams_failure_passes_unchanged() {
    let deployment = Deployment::start(1, 1).await;
    deployment.engines[0].act(EngineAct::Fail(500));
    let answer = deployment.gateway().call(&call("book", "b1")).await;
    assert_eq!((answer.status(), answer.header("merlinsaddle-server-stamp")), (500, "s"));
    assert_eq!(answer.text(), "failed");
}

/// A stream breaks off midway. What has come is passed on at once, and the end must show that the
/// rest is missing.
#[actix_rt::test]
async fn a_torn_stream_is_visibly_cut() {
    let deployment = Deployment::start(1, 1).await;
    deployment.engines[0].act(EngineAct::CutAfter(EVENTS - 1));
    let answer = deployment.gateway().call(&turn("t1", "p", None, "x")).await;
    assert_eq!((answer.status(), answer.whole), (200, false));
    assert!(answer.text().contains("w2") && !answer.text().contains("w3"));
}

/// The caller leaves before the first byte, or in the middle of a stream. The upstream must see
/// its connection end within half a second, or it would go on working for nobody.
#[rstest]
#[case::before_the_first_byte(false)]
#[case::midway(true)]
#[actix_rt::test]
async fn the_upstream_is_freed_when_the_caller_leaves(#[case] midway: bool) {
    let deployment = Deployment::start(1, 0).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("it is bound").to_string();
    deployment.list_engine("watched", &address, "ready");
    let request = turn("t1", "p", None, "x");
    let mut caller = deployment.gateway().connect().await;
    let mut upstream = loop {
        caller.send(request.as_bytes()).await;
        let accepted = timeout(Duration::from_millis(300), listener.accept()).await;
        if let Ok(accepted) = accepted {
            break Wire::new(accepted.expect("loopback accepts").0);
        }
        // The engine is not known yet; the refusal is read, and the turn sent again.
        caller.read_message(true).await.expect("a refusal");
    };
    upstream.read_message(false).await.expect("the turn comes");
    if midway {
        let head = "HTTP/1.1 200 OK\r\nmerlinsaddle-request-id: t1\r\n\
                    transfer-encoding: chunked\r\n\r\n10\r\nid: 1\ndata: w1\n\n\r\n";
        upstream.send(head.as_bytes()).await;
        caller.wait_for("w1").await;
    }
    let left = Instant::now();
    drop(caller);
    assert!(timeout(TEST_TIMEOUT, upstream.ends()).await.expect("the connection ends"));
    assert!(left.elapsed() < Duration::from_millis(500), "it took {:?}", left.elapsed());
}

/// What only the system may set is dropped from the caller's head, and what it sets is there.
#[actix_rt::test]
async fn the_systems_headers_are_its_own() {
    let deployment = Deployment::start(1, 1).await;
    let forged = "Merlinsaddle-Hold: h\r\nMerlinsaddle-Pin-Ms: 9\r\nKv-From: 1.2.3.4:5/6\r\n\
                  Merlinsaddle-Expect-Instance: forged\r\nX-Own: kept\r\nConnection: x-hop\r\n\
                  X-Hop: dropped\r\nContent-Length";
    let request = call("book", "b1").replace("Content-Length", forged);
    deployment.gateway().call(&request).await;
    let run = deployment.runs().remove(0);
    assert_eq!(run.header("merlinsaddle-expect-instance"), "e0");
    assert_eq!(run.header("x-own"), "kept");
    for name in ["merlinsaddle-hold", "merlinsaddle-pin-ms", "kv-from", "x-hop"] {
        assert_eq!(run.header(name), "", "{name}");
    }
    let left: u64 = run.header("merlinsaddle-deadline-ms").parse().expect("milliseconds");
    assert!(left <= 5_000);
    assert_eq!((run.start.as_str(), run.text().as_str()), ("POST /book/x HTTP/1.1", "hi"));
}

/// Bad input gets its status and reaches no upstream, nor does anything hidden in it.
#[rstest]
#[case::smuggled("Content-Length: 2\r\nTransfer-Encoding: chunked\r\n", 400)]
#[case::two_lengths("Content-Length: 2\r\nContent-Length: 3\r\n", 400)]
#[case::no_request_id("Content-Length: 2\r\nMerlinsaddle-Request-Id;\r\n", 400)]
#[case::two_request_ids("Content-Length: 2\r\nMerlinsaddle-Request-Id: other\r\n", 400)]
#[case::upgrade("Content-Length: 2\r\nUpgrade: websocket\r\n", 400)]
#[case::large_body("Content-Length: 100001\r\n", 413)]
#[actix_rt::test]
async fn bad_requests_are_rejected(#[case] headers: &str, #[case] status: u16) {
    let deployment = Deployment::start(1, 1).await;
    let request = call("book", "b1").replace("Content-Length: 2\r\n", headers);
    let request = if status == 413 { request + &"x".repeat(100_000) } else { request };
    let answer = deployment.gateway().call(&request).await;
    assert_eq!(answer.status(), status);
    assert!(deployment.runs().is_empty());
}

/// A caller is still sending a body that is too large when it is refused. It must get its answer: if
/// the instance closed at once, what is on its way would reset the connection and the answer with it.
#[actix_rt::test]
async fn a_caller_that_is_still_sending_gets_its_refusal() {
    const PIECES: usize = 8;
    let piece = "x".repeat(50_000);
    let deployment = Deployment::start(1, 1).await;
    let length = format!("Content-Length: {}\r\n", PIECES * piece.len());
    let request = call("book", "b1").replace("Content-Length: 2\r\n", &length);
    let mut wire = deployment.gateway().connect().await;
    assert!(wire.send(request.trim_end_matches("hi").as_bytes()).await);
    for _ in 0..PIECES {
        assert!(wire.send(piece.as_bytes()).await, "the connection is still open");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let answer = wire.read_message(true).await.expect("the refusal comes");
    assert_eq!(answer.status(), 413);
    assert!(deployment.runs().is_empty());
}

#[actix_rt::test]
async fn a_large_head_is_rejected() {
    let deployment = Deployment::start(1, 1).await;
    let padding = format!("X-Padding: {}\r\nContent-Length", "x".repeat(5_000));
    let request = call("book", "b1").replace("Content-Length", &padding);
    assert_eq!(deployment.gateway().call(&request).await.status(), 431);
    assert!(deployment.runs().is_empty());
}

#[actix_rt::test]
async fn a_body_in_chunks_arrives_whole() {
    let deployment = Deployment::start(1, 1).await;
    let request = format!(
        "POST /book/x HTTP/1.1\r\nHost: {HOST}\r\nMerlinsaddle-Request-Id: b1\r\n\
         Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    );
    assert_eq!(deployment.gateway().call(&request).await.status(), 200);
    assert_eq!(deployment.runs()[0].text(), "abcde");
}

/// An upstream that never answers keeps the caller waiting until its deadline, not beyond; the
/// call may have run, so the caller is not told otherwise.
#[actix_rt::test]
async fn a_silent_upstream_ends_at_the_deadline() {
    let deployment = Deployment::start(1, 1).await;
    deployment.engines[0].act(EngineAct::Slow(TEST_TIMEOUT));
    let request = call("book", "b1").replace("5000", "300");
    let begun = Instant::now();
    let answer = deployment.gateway().call(&request).await;
    assert_eq!(answer.status(), 504);
    assert!(begun.elapsed() >= Duration::from_millis(300));
    wait_until("it ran once", async || deployment.runs().len() == 1).await;
}
