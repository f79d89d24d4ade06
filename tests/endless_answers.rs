//! Upstreams that send bytes without end that are no complete response.

mod platform_standin;

use std::time::Duration;

use platform_standin::engine::{EndlessPart, EngineAct};
use platform_standin::http::RawMessage;
use platform_standin::{Deployment, call};
use rstest::rstest;
use tokio::time::Instant;

/// Well before the deadline of the calls, 5 s.
const MAX_ANSWER_TIME: Duration = Duration::from_secs(3);

/// Calls a route while the near engine sends a response without end, and checks that the call ends
/// early.
async fn call_endless(route: &str, part: EndlessPart) -> (Deployment, RawMessage) {
    let deployment = Deployment::with_near_and_far_engine().await;
    deployment.engines[0].act(EngineAct::Endless(part));
    let begun = Instant::now();
    let answer = deployment.gateway().call(&call(route, "c1")).await;
    assert!(begun.elapsed() < MAX_ANSWER_TIME, "{:?}", begun.elapsed());
    (deployment, answer)
}

/// Guards against a caller that waits for its deadline while an upstream sends bytes that never become
/// a response.
#[rstest]
#[case::status_line(EndlessPart::StatusLine)]
#[case::header(EndlessPart::Header)]
#[case::headers(EndlessPart::Headers)]
#[case::interim_responses(EndlessPart::InterimResponses)]
#[case::body(EndlessPart::Body)]
#[case::chunk_size(EndlessPart::ChunkSize)]
#[case::chunk_extension(EndlessPart::ChunkExtension)]
#[actix_rt::test]
async fn idempotent_call_is_answered_by_another_engine(#[case] part: EndlessPart) {
    let (deployment, answer) = call_endless("read", part).await;
    assert_eq!((answer.status(), answer.text().as_str()), (200, "done"));
    assert_eq!(deployment.engines[1].runs().len(), 1);
}

/// Guards against a call that runs once and gets no true answer, or a second run.
#[rstest]
#[case::status_line(EndlessPart::StatusLine)]
#[case::header(EndlessPart::Header)]
#[case::headers(EndlessPart::Headers)]
#[case::interim_responses(EndlessPart::InterimResponses)]
#[case::chunk_size(EndlessPart::ChunkSize)]
#[case::chunk_extension(EndlessPart::ChunkExtension)]
#[actix_rt::test]
async fn call_that_runs_once_ends_early(#[case] part: EndlessPart) {
    let (deployment, answer) = call_endless("book", part).await;
    assert_eq!((answer.status(), answer.whole), (502, true));
    assert!(deployment.engines[1].runs().is_empty());
}
