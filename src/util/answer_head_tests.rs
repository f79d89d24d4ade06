//! Tests of the checks of response heads.

use rstest::rstest;

use super::answer_head::{HeadKind, check_head};

/// Guards against a name of a field that holds a blank, a control byte or a delimiter.
#[rstest]
#[case::first("", "ame")]
#[case::within("n", "me")]
#[case::last("nam", "")]
fn name_of_a_field_is_a_token(#[case] before: &str, #[case] after: &str) {
    let accepts = |byte: &u8| {
        let mut head = format!("HTTP/1.1 200 OK\r\n{before}").into_bytes();
        head.push(*byte);
        head.extend(format!("{after}: value\r\n\r\n").bytes());
        matches!(check_head(&head), Ok(HeadKind::Final))
    };
    let accepted: Vec<u8> = (0..=u8::MAX).filter(accepts).collect();
    // An empty line ends the head, and a colon the name.
    let line_feed = if before.is_empty() { "\n" } else { "" };
    let colon = if before.is_empty() { "" } else { ":" };
    let letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZ^_`abcdefghijklmnopqrstuvwxyz|~";
    assert_eq!(
        String::from_utf8_lossy(&accepted),
        format!("{line_feed}!#$%&'*+-.0123456789{colon}{letters}")
    );
}
