//! Upstreams that send malformed or unusual heads of answers.

mod platform_standin;

use platform_standin::engine::EngineAct;
use platform_standin::http::RawMessage;
use platform_standin::{Deployment, call, turn};
use rstest::rstest;

/// An answer of an upstream, which then closes the connection.
fn answer(start: &str, fields: &str, body: &str) -> EngineAct {
    EngineAct::CutRaw(format!(
        "{start}\r\nmerlinsaddle-request-id: c1\r\nmerlinsaddle-server-stamp: s\r\n{fields}\r\n{body}"
    ))
}

/// Calls a route while the near engine answers so.
async fn call_near(route: &str, act: EngineAct) -> RawMessage {
    let deployment = Deployment::with_near_and_far_engine().await;
    deployment.engines[0].act(act);
    let request = match route {
        "turn" => turn("c1", "p", None, "hi"),
        _ => call(route, "c1"),
    };
    let answer = deployment.gateway().call(&request).await;
    assert_eq!(deployment.engines[0].runs().len(), 1);
    answer
}

/// Checks that a caller gets the far engine's answer if its call may run twice, and none otherwise.
async fn assert_unanswered(route: &str, act: EngineAct) {
    let answer = call_near(route, act).await;
    let expected = match route {
        "read" => (200, "done"),
        _ => (502, r#"{"error":"answer_lost"}"#),
    };
    assert_eq!((answer.status(), answer.text().as_str()), expected, "{answer:?}");
    assert!(answer.whole);
}

/// Guards against an answer in whose head the name of a field holds a blank or a control byte, and which
/// reaches a caller without that byte or with another body than the upstream framed.
#[rstest]
#[case::blank_before_colon("x-note : a\r\ncontent-length: 6\r\n", "a part")]
#[case::tab_before_colon("x-note\t: a\r\ncontent-length: 6\r\n", "a part")]
#[case::blank_within("x note: a\r\ncontent-length: 6\r\n", "a part")]
#[case::blank_first(" x-note: a\r\ncontent-length: 6\r\n", "a part")]
#[case::control_byte("x-\u{1}note: a\r\ncontent-length: 6\r\n", "a part")]
#[case::nul("x-note\0: a\r\ncontent-length: 6\r\n", "a part")]
#[case::carriage_return("x-note\r: a\r\ncontent-length: 6\r\n", "a part")]
#[case::delete("x-note\u{7f}: a\r\ncontent-length: 6\r\n", "a part")]
#[case::length("content-length : 2\r\n", "a part")]
#[case::chunks("transfer-encoding : chunked\r\n", "2\r\nno\r\n0\r\n\r\n")]
#[case::chunks_and_length(
    "content-length: 12\r\ntransfer-encoding\t: chunked\r\n",
    "2\r\nno\r\n0\r\n\r\n"
)]
#[case::last("content-length: 6\r\nx-note \t : a\r\n", "a part")]
#[actix_rt::test]
async fn answer_with_a_malformed_name_of_a_field_reaches_no_caller(
    #[values("book", "read", "turn")] route: &str,
    #[case] fields: &str,
    #[case] body: &str,
) {
    assert_unanswered(route, answer("HTTP/1.1 200 OK", fields, body)).await;
}

/// Guards against the same in a head before that of the answer.
#[rstest]
#[actix_rt::test]
async fn answer_after_a_malformed_interim_head_reaches_no_caller(
    #[values("book", "read", "turn")] route: &str,
) {
    let start = "HTTP/1.1 103 Early Hints\r\nlink : x\r\n\r\nHTTP/1.1 200 OK";
    assert_unanswered(route, answer(start, "content-length: 6\r\n", "a part")).await;
}

/// Guards against an answer whose status is not defined.
#[rstest]
#[actix_rt::test]
async fn answer_with_an_undefined_status_reaches_no_caller(
    #[values("book", "read", "turn")] route: &str,
    #[values("000", "001", "099", "20", "0200", "2OO", "+20", "-00", "", "600", "999")]
    status: &str,
) {
    let start = format!("HTTP/1.1 {status} X");
    assert_unanswered(route, answer(&start, "content-length: 6\r\n", "a part")).await;
}

/// Guards against an answer in another protocol, for which no request asks.
#[rstest]
#[case::alone("HTTP/1.1 101 Switching Protocols")]
#[case::before_an_answer("HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\n\r\nHTTP/1.1 200 OK")]
#[actix_rt::test]
async fn answer_in_another_protocol_reaches_no_caller(
    #[values("book", "read", "turn")] route: &str,
    #[case] start: &str,
) {
    assert_unanswered(route, answer(start, "content-length: 6\r\n", "a part")).await;
}

/// Guards against an answer that is taken for an empty one before a byte of its body was read, and against
/// one whose body its head does not delimit.
#[rstest]
#[case::no_content_sized("HTTP/1.1 204 No Content", "content-length: 6\r\n", "a part")]
#[case::no_content_chunked(
    "HTTP/1.1 204 No Content",
    "transfer-encoding: chunked\r\n",
    "6\r\na part\r\n0\r\n\r\n"
)]
#[case::chunks_of_earlier_version(
    "HTTP/1.0 200 OK",
    "transfer-encoding: chunked\r\ncontent-length: 16\r\n",
    "6\r\na part\r\n0\r\n\r\n"
)]
#[case::unknown_coding("HTTP/1.1 200 OK", "transfer-encoding: gzip\r\n", "a part")]
#[case::unknown_last_coding("HTTP/1.1 200 OK", "transfer-encoding: chunked, gzip\r\n", "a part")]
#[actix_rt::test]
async fn answer_whose_body_is_not_delimited_reaches_no_caller(
    #[values("book", "read", "turn")] route: &str,
    #[case] start: &str,
    #[case] fields: &str,
    #[case] body: &str,
) {
    assert_unanswered(route, answer(start, fields, body)).await;
}

/// Guards against an answer that is read by what an interim head before it says.
#[rstest]
#[case::length("content-length: 3\r\n")]
#[case::chunks("transfer-encoding: chunked\r\n")]
#[case::close("connection: close\r\n")]
#[actix_rt::test]
async fn interim_head_does_not_frame_the_answer(
    #[values("book", "read")] route: &str,
    #[values("content-length: 5\r\n", "")] fields: &str,
    #[case] interim: &str,
) {
    let start = format!("HTTP/1.1 103 Early Hints\r\n{interim}\r\nHTTP/1.1 200 OK");
    let answer = call_near(route, answer(&start, fields, "whole")).await;
    assert_eq!((answer.status(), answer.text().as_str(), answer.whole), (200, "whole", true));
}

/// Guards against sound answers that are taken for broken ones.
#[rstest]
#[case::legal_names("HTTP/1.1 200 OK", "!#$%&'*+-.^_`|~9: a\r\ncontent-length: 5\r\n", "whole")]
#[case::empty_value("HTTP/1.1 200 OK", "x-note:\r\ncontent-length: 5\r\n", "whole")]
#[case::tabs_around_value("HTTP/1.1 200 OK", "x-note:\t a \t\r\ncontent-length:\t5\t\r\n", "whole")]
#[case::text_beyond_ascii("HTTP/1.1 200 OK", "x-note: \u{e9}\r\ncontent-length: 5\r\n", "whole")]
#[case::no_reason("HTTP/1.1 200", "content-length: 5\r\n", "whole")]
#[case::until_end("HTTP/1.1 200 OK", "", "whole")]
#[case::earlier_version("HTTP/1.0 200 OK", "", "whole")]
#[case::earlier_version_sized("HTTP/1.0 200 OK", "content-length: 5\r\n", "whole")]
#[case::chunk_extension(
    "HTTP/1.1 200 OK",
    "transfer-encoding: chunked\r\n",
    "5;a=\"b c\"\r\nwhole\r\n0\r\n\r\n"
)]
#[case::trailer(
    "HTTP/1.1 200 OK",
    "transfer-encoding: chunked\r\n",
    "5\r\nwhole\r\n0\r\nx-note: a\r\n\r\n"
)]
#[case::no_coding("HTTP/1.1 200 OK", "transfer-encoding: identity\r\n", "whole")]
#[case::no_coding_sized(
    "HTTP/1.1 200 OK",
    "transfer-encoding: identity\r\ncontent-length: 5\r\n",
    "whole"
)]
#[case::offered_upgrade(
    "HTTP/1.1 200 OK",
    "connection: upgrade\r\nupgrade: websocket\r\ncontent-length: 5\r\n",
    "whole"
)]
#[case::offered_upgrade_until_end("HTTP/1.1 200 OK", "upgrade: websocket\r\n", "whole")]
#[case::interim_heads(
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\nHTTP/1.1 200 OK",
    "content-length: 5\r\n",
    "whole"
)]
#[actix_rt::test]
async fn sound_answer_reaches_its_caller(
    #[values("book", "read")] route: &str,
    #[case] start: &str,
    #[case] fields: &str,
    #[case] body: &str,
) {
    let answer = call_near(route, answer(start, fields, body)).await;
    assert_eq!((answer.status(), answer.text().as_str(), answer.whole), (200, "whole", true));
}
