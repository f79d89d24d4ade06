use super::*;

const GOOD: &[u8] = b"event=call_ended outcome=answered status=200";
const BAD: &[u8] = b"event=call_ended outcome=answer_lost status=502";

/// A burst of good requests must not push the one failure out of the log.
#[test]
fn failures_keep_their_room() {
    let now = Instant::now();
    let mut budget = LineBudget::new(now);
    let written = (0..1_000).filter(|_| budget.admit(GOOD, now)).count();
    assert_eq!(written, MAX_ROUTINE as usize);
    assert!(budget.admit(BAD, now));
    assert_eq!(budget.take_left_out(), 950);
    assert!(budget.admit(GOOD, now + WINDOW));
}

#[test]
fn lines_and_bytes_are_bounded() {
    let now = Instant::now();
    let mut budget = LineBudget::new(now);
    let written = (0..1_000).filter(|_| budget.admit(BAD, now)).count();
    assert_eq!(written, MAX_LINES as usize);
    let later = now + WINDOW;
    let long = vec![b'x'; MAX_BYTES / 2 + 1];
    assert!(budget.admit(&long, later));
    assert!(!budget.admit(&long, later));
}
