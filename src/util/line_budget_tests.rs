use super::*;

const ROUTINE: &[u8] = b"event=call_ended outcome=answered status=200";
const FAILURE: &[u8] = b"event=call_ended outcome=answer_lost status=502";

/// A burst of answered requests must not suppress the log line of a failure.
#[test]
fn failure_is_admitted_after_a_burst_of_routine_lines() {
    let now = Instant::now();
    let mut budget = LineBudget::new(now);
    let written = (0..1_000).filter(|_| budget.admit(ROUTINE, now)).count();
    assert_eq!(written, MAX_ROUTINE_LINES as usize);
    assert!(budget.admit(FAILURE, now));
    assert_eq!(budget.take_dropped_count(), 950);
    assert!(budget.admit(ROUTINE, now + WINDOW));
}

#[test]
fn lines_over_the_count_or_byte_limit_are_dropped() {
    let now = Instant::now();
    let mut budget = LineBudget::new(now);
    let written = (0..1_000).filter(|_| budget.admit(FAILURE, now)).count();
    assert_eq!(written, MAX_LINES as usize);
    let later = now + WINDOW;
    let long = vec![b'x'; MAX_BYTES / 2 + 1];
    assert!(budget.admit(&long, later));
    assert!(!budget.admit(&long, later));
}
