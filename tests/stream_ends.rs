//! Event streams without a length, which end with the connection of their engine, also if it crashes.

mod platform_standin;

use platform_standin::engine::EngineAct;
use platform_standin::{Deployment, TestGateway, call, route, turn, wait_until};
use rstest::rstest;

const EVENTS: &str = "text/event-stream";

/// Whose stream it is: that of a turn with a history, of one with a budget alone, or of a plain request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StreamOwner {
    History,
    Budget,
    Plain,
}

impl StreamOwner {
    fn request(self, id: &str) -> String {
        match self {
            Self::History | Self::Budget => turn(id, "p", None, "x"),
            Self::Plain => call("watch", id),
        }
    }

    async fn deployment(self, resumable: bool) -> Deployment {
        // The near one is chosen first.
        let deployment = Deployment::with_near_and_far_engine().await;
        let mut turn = route("turn", "stream");
        turn["retained"] = (self == Self::History).into();
        turn["retain-s"] = 60.into();
        turn["resumable"] = resumable.into();
        deployment.set_routes(2, &[turn, route("watch", "stream")]);
        wait_until("the routes are in force", async || {
            let answer = deployment.gateway().call(&call("watch", "probe")).await;
            answer.status() == 200
        })
        .await;
        deployment.engines.iter().for_each(|engine| engine.clear_runs());
        deployment
    }
}

async fn ends_whole(gateway: &TestGateway, request: &str) -> (u16, bool) {
    let answer = gateway.call(request).await;
    (answer.status(), answer.whole)
}

/// Guards against a stream that looks complete though its engine crashed inside an event.
#[rstest]
#[case::inside_a_line(EVENTS, "id: 1\ndata: w1\n\nid: 2\ndata: w")]
#[case::inside_a_name(EVENTS, "id: 1\ndata: w1\n\nid: 2\nda")]
#[case::after_a_line(EVENTS, "id: 1\ndata: w1\n\nid: 2\ndata: w2\n")]
#[case::after_a_return(EVENTS, "id: 1\r\ndata: w1\r\n\r\nid: 2\r\ndata: w2\r")]
#[case::after_an_id(EVENTS, "id: 1\ndata: w1\n\nid: 2\n")]
#[case::inside_a_comment(EVENTS, "id: 1\ndata: w1\n\n: ke")]
#[case::after_a_comment(EVENTS, ": keep-alive\n\n")]
#[case::capital_letters("Text/Event-Stream; charset=utf-8", "id: 1\ndata: w1\n\nid: 2\nda")]
#[actix_rt::test]
async fn stream_that_ends_inside_an_event_is_visibly_incomplete(
    #[case] kind: &'static str,
    #[case] text: &'static str,
    #[values(StreamOwner::History, StreamOwner::Budget, StreamOwner::Plain)] owner: StreamOwner,
) {
    let deployment = owner.deployment(false).await;
    deployment.engines[0].act(EngineAct::Unframed(kind, text));
    assert_eq!(ends_whole(deployment.gateway(), &owner.request("t1")).await, (200, false));
    assert_eq!(deployment.runs().len(), 1);
}

/// Guards against an answer of no events that looks complete though its engine crashed before the first.
#[rstest]
#[actix_rt::test]
async fn stream_that_ends_before_its_first_event_is_no_success(
    #[values(StreamOwner::History, StreamOwner::Budget, StreamOwner::Plain)] owner: StreamOwner,
) {
    let deployment = owner.deployment(false).await;
    deployment.engines[0].act(EngineAct::Unframed(EVENTS, ""));
    assert_eq!(ends_whole(deployment.gateway(), &owner.request("t1")).await, (502, true));
    assert_eq!(deployment.runs().len(), 1);
}

/// Guards against whole streams that are cut off because they have no length.
#[rstest]
#[case::plain(EVENTS, "id: 1\ndata: w1\n\nid: 2\ndata: w2\n\n")]
#[case::returns(EVENTS, "id: 1\rdata: w1\r\r")]
#[case::comment_at_the_end(EVENTS, "id: 1\ndata: w1\n\n: bye\n")]
#[case::capital_letters("Text/Event-Stream", "id: 1\ndata: w1\n\n")]
#[actix_rt::test]
async fn whole_stream_without_a_length_is_complete(
    #[case] kind: &'static str,
    #[case] text: &'static str,
    #[values(StreamOwner::History, StreamOwner::Budget, StreamOwner::Plain)] owner: StreamOwner,
) {
    let deployment = owner.deployment(false).await;
    deployment.engines[0].act(EngineAct::Unframed(kind, text));
    let answer = deployment.gateway().call(&owner.request("t1")).await;
    assert_eq!((answer.status(), answer.whole, &*answer.text()), (200, true, text));
}

/// Guards against a resumable stream that ends where its engine crashed.
#[rstest]
#[case::inside_an_event("id: 1\ndata: w1\n\nid: 2\nda")]
#[case::before_the_first_event("")]
#[actix_rt::test]
async fn resumable_stream_without_a_length_is_resumed(#[case] text: &'static str) {
    let deployment = StreamOwner::Budget.deployment(true).await;
    deployment.engines[0].act(EngineAct::Unframed(EVENTS, text));
    let answer = deployment.gateway().call(&StreamOwner::Budget.request("t1")).await;
    let whole = "id: 1\ndata: w1\n\nid: 2\ndata: w2\n\nid: 3\ndata: w3\n\n";
    assert_eq!((answer.status(), answer.whole, &*answer.text()), (200, true, whole));
    assert_eq!(deployment.runs().len(), 2);
}
