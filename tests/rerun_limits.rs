//! Where a request goes after an upstream failed that may have run it.

use std::collections::HashSet;

use merlinsaddle::core::repeats::{MAX_LOSSES, RerunDecision, RerunLimits, SentUpstreams};
use merlinsaddle::core::upstreams::UpstreamIncarnation;
use proptest::prelude::*;
use rstest::rstest;

fn incarnation(number: u64) -> UpstreamIncarnation {
    UpstreamIncarnation { id: format!("e{}", number % 4).into(), started_at: Some(number) }
}

/// What happens to the upstream that has the request.
#[derive(Debug, Clone, Copy)]
enum SendEnd {
    /// The connection ends, as when the upstream ends or is cut off.
    Lost,
    /// A whole answer that may be tried elsewhere.
    Failed,
}

/// What the instance learns between two sends.
#[derive(Debug, Clone)]
struct SendStep {
    end: SendEnd,
    /// Incarnations, by their place among those that got the request, whose entry is missing now.
    /// Entries lapse and come back, and restarts replace them.
    unlisted: HashSet<usize>,
    /// One that refuses a connection now.
    unreachable: usize,
    /// Losses that other instances report.
    reported: usize,
}

fn step() -> impl Strategy<Value = SendStep> {
    let end = prop_oneof![Just(SendEnd::Lost), Just(SendEnd::Failed)];
    let unlisted = proptest::collection::hash_set(0..8_usize, 0..8);
    (end, unlisted, 0..8_usize, 0..2_usize).prop_map(|(end, unlisted, unreachable, reported)| {
        SendStep { end, unlisted, unreachable, reported }
    })
}

proptest! {
    /// Guards against any evidence by which an attempt reaches more upstreams than its bound.
    #[test]
    fn no_sequence_of_losses_exceeds_the_bound(
        max_attempts in 1..5_u32,
        steps in proptest::collection::vec(step(), 1..40),
    ) {
        let mut sent = SentUpstreams::default();
        let mut incarnations: Vec<UpstreamIncarnation> = Vec::new();
        let mut lost = HashSet::new();
        let mut reported = 0;
        for step in steps {
            let next = incarnation(incarnations.len() as u64);
            sent.record_sent(next.clone());
            incarnations.push(next.clone());
            if matches!(step.end, SendEnd::Lost) {
                sent.record_lost(&next);
                lost.insert(next.started_at);
            }
            if let Some(unreachable) = incarnations.get(step.unreachable) {
                sent.record_unreachable(unreachable);
            }
            reported += step.reported;
            let is_listed = |known: &UpstreamIncarnation| {
                incarnations.iter().position(|sent| sent == known)
                    .is_some_and(|position| !step.unlisted.contains(&position))
            };
            let counts = sent.counts(is_listed, reported);
            let limits =
                RerunLimits { may_run_again: true, max_attempts, same_upstream_reruns: 0 };
            if limits.decide(counts) != RerunDecision::OtherUpstream {
                break;
            }
        }
        prop_assert!(incarnations.len() < max_attempts as usize + MAX_LOSSES);
        prop_assert!(lost.len() <= MAX_LOSSES);
    }
}

/// Losses of the request, answers that may be tried elsewhere, whether the lost ones are still listed.
#[rstest]
#[case::lost_and_listed(1, 0, true, RerunDecision::OtherUpstream)]
#[case::two_lost_and_listed(2, 0, true, RerunDecision::Forbidden)]
#[case::two_lost_and_gone(2, 0, false, RerunDecision::OtherUpstream)]
#[case::three_lost(3, 0, false, RerunDecision::UpstreamsLost)]
#[case::two_answered(0, 2, false, RerunDecision::Forbidden)]
#[case::answered_and_lost(1, 1, false, RerunDecision::OtherUpstream)]
fn lost_upstreams_leave_the_limit_of_attempts_but_not_their_own(
    #[case] lost: u64,
    #[case] answered: u64,
    #[case] is_listed: bool,
    #[case] expected: RerunDecision,
) {
    let mut sent = SentUpstreams::default();
    for number in 0..lost + answered {
        sent.record_sent(incarnation(number));
        if number < lost {
            sent.record_lost(&incarnation(number));
        }
    }
    let limits = RerunLimits { may_run_again: true, max_attempts: 2, same_upstream_reruns: 0 };
    assert_eq!(limits.decide(sent.counts(|_| is_listed, 0)), expected);
}

/// Guards against a resumed stream that goes on at its upstream, or a request that may run once.
#[rstest]
#[case::same_upstream(true, 1, 0, RerunDecision::SameUpstream)]
#[case::no_reruns_left(true, 0, 0, RerunDecision::Forbidden)]
#[case::lost_before(true, 1, MAX_LOSSES, RerunDecision::UpstreamsLost)]
#[case::runs_once(false, 1, 0, RerunDecision::Forbidden)]
fn limits_apply_before_a_rerun_at_the_same_upstream(
    #[case] may_run_again: bool,
    #[case] same_upstream_reruns: u32,
    #[case] lost_before: usize,
    #[case] expected: RerunDecision,
) {
    let mut sent = SentUpstreams::default();
    sent.record_sent(incarnation(1));
    sent.record_lost(&incarnation(1));
    let limits = RerunLimits { may_run_again, max_attempts: 1, same_upstream_reruns };
    assert_eq!(limits.decide(sent.counts(|_| true, lost_before)), expected);
}
