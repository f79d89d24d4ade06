//! Tests that the data of events is kept byte for byte, however the stream is written and cut.

use proptest::prelude::*;
use rstest::rstest;

use super::{EventFramer, EventParser};

fn output(parser: EventParser) -> String {
    String::from_utf8(parser.into_output().to_vec()).expect("the test streams text")
}

fn parsed(stream: &str) -> EventParser {
    let mut parser = EventParser::with_output();
    parser.push(stream.as_bytes());
    parser
}

/// Guards against histories that differ from what the engine said.
#[rstest]
#[case::plain("data: a\n\n", "a\n")]
#[case::leading_line_break("data:\ndata: a\n\n", "\na\n")]
#[case::leading_line_breaks("data: \ndata:\ndata: a\ndata: b\n\n", "\n\na\nb\n")]
#[case::trailing_line_break("data: a\ndata:\n\n", "a\n\n")]
#[case::line_breaks_alone("data:\ndata:\n\n", "\n\n")]
#[case::empty("data:\n\n", "\n")]
#[case::field_without_colon("data\ndata\n\n", "\n\n")]
#[case::spaces("data:  a \n\n", " a \n")]
#[case::no_space("data:a\n\n", "a\n")]
#[case::colons("data: a: b\n\n", "a: b\n")]
#[case::comment_inside("data: a\n: x\ndata: b\n\n", "a\nb\n")]
#[case::carriage_returns("data:\rdata: a\r\r", "\na\n")]
#[case::both("data:\r\ndata: a\r\n\r\n", "\na\n")]
#[case::mixed("data:\rdata: a\r\n\ndata: b\n\r\n", "\na\nb\n")]
#[case::byte_order_mark("\u{feff}data: a\n\n", "a\n")]
#[case::later_byte_order_mark("data: a\n\n\u{feff}data: b\n\n", "a\n")]
#[case::other_fields(
    "event: e\nid: 7\nretry: 9\ndata: a\nmerlinsaddle-weight-versions: 2\n\n",
    "a\n"
)]
#[case::longer_name("database: a\n\ndata: b\n\n", "b\n")]
#[case::incomplete("data: a\n\ndata: b\n", "a\n")]
fn data_is_kept_exactly(#[case] stream: &str, #[case] expected: &str) {
    assert_eq!(output(parsed(stream)), expected);
}

/// Guards against tokens charged, and line feeds kept, for lines that are no event.
#[rstest]
#[case::comment(": keep-alive\n\n", "", true)]
#[case::comments_between("data: a\n\n: one\n:two\n\n:\n\ndata: b\n\n", "a\nb\n", true)]
#[case::comment_at_the_end("data: a\n\n: bye\n", "a\n", true)]
#[case::id_alone("id: 4\n\n", "", true)]
#[case::retry_alone("retry: 4\n\n", "", true)]
#[case::blank_lines("\n\n\ndata: a\n\n\n\n", "a\n", true)]
#[case::field_at_the_end("data: a\n\nid: 2\n", "a\n", false)]
#[case::half_a_line("data: a\n\n: x", "a\n", false)]
fn only_data_makes_events(#[case] stream: &str, #[case] expected: &str, #[case] complete: bool) {
    let parser = parsed(stream);
    let events = expected.lines().count() as u64;
    assert_eq!((parser.events(), parser.is_complete()), (events, complete));
    assert_eq!(output(parser), expected);
}

/// Guards against a stream that is resumed after another event than the last, or with an id that no
/// header can hold.
#[rstest]
#[case::last("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", Some("2"))]
#[case::event_without_id("id: 1\ndata: a\n\ndata: b\n\n", None)]
#[case::id_without_data("id: 1\ndata: a\n\nid: 2\n\n", Some("1"))]
#[case::incomplete("id: 1\ndata: a\n\nid: 2\ndata: b\n", Some("1"))]
#[case::none("data: a\n\n", None)]
#[case::unsendable("id: 1\ndata: a\n\nid: 2\u{1}\ndata: b\n\n", None)]
fn last_id_is_that_of_the_last_event(#[case] stream: &str, #[case] expected: Option<&str>) {
    assert_eq!(parsed(stream).last_id().map(|id| &**id), expected);
}

/// Guards against a cut inside an event, which the resumed stream would repeat.
#[rstest]
#[case::line_feeds("data: a\n\ndata: b\n", "data: a\n\n")]
#[case::carriage_returns("data: a\r\rdata: b\r", "data: a\r\r")]
#[case::both("data: a\r\n\r\ndata: b\r\n", "data: a\r\n\r\n")]
#[case::mixed("data: a\n\r\ndata: b\r\n", "data: a\n\r\n")]
#[case::empty_data("data:\ndata:\n\ndata:\n", "data:\ndata:\n\n")]
#[case::no_event("data: a\r\n", "")]
fn cut_lies_between_events(#[case] stream: &str, #[case] expected: &str) {
    let whole = EventFramer::default().push(stream.as_bytes());
    assert_eq!(whole, expected);
    let mut framer = EventFramer::default();
    let bytes: Vec<u8> = stream.bytes().flat_map(|byte| framer.push(&[byte])).collect();
    assert_eq!(String::from_utf8_lossy(&bytes), expected);
    assert_eq!(framer.is_empty(), stream == expected);
}

/// Texts of events, and how the stream writes each of their lines.
fn events() -> impl Strategy<Value = Vec<(String, &'static str)>> {
    let text = "[a :\n]{0,6}";
    let terminator = prop::sample::select(vec!["\n", "\r", "\r\n"]);
    prop::collection::vec((text, terminator), 1..6)
}

fn written(events: &[(String, &str)]) -> String {
    let event = |(number, (text, end)): (usize, &(String, &str))| {
        let data: String = text.split('\n').map(|line| format!("data: {line}{end}")).collect();
        format!("id: {number}{end}{data}{end}")
    };
    events.iter().enumerate().map(event).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    /// Guards against texts that depend on how the stream is cut into chunks.
    #[test]
    fn events_are_kept_in_any_chunks(
        events in events(),
        sizes in prop::collection::vec(1..9_usize, 1..40),
    ) {
        let stream = written(&events);
        let (mut parser, mut framed) = (EventParser::with_output(), EventParser::with_output());
        let mut framer = EventFramer::default();
        let mut forwarded = Vec::new();
        let mut rest = stream.as_bytes();
        for size in sizes.into_iter().chain([usize::MAX]) {
            let (chunk, later) = rest.split_at(size.min(rest.len()));
            rest = later;
            parser.push(chunk);
            let cut = framer.push(chunk);
            framed.push(&cut);
            prop_assert!(framed.is_complete());
            forwarded.extend_from_slice(&cut);
        }
        prop_assert!(parser.is_complete() && framer.is_empty());
        prop_assert_eq!(&forwarded[..], stream.as_bytes());
        let expected: String = events.iter().map(|(text, _)| format!("{text}\n")).collect();
        prop_assert_eq!(parser.events(), events.len() as u64);
        prop_assert_eq!(output(parser), expected.clone());
        prop_assert_eq!(output(framed), expected);
    }
}
