//! Failures of upstreams that instances report to each other.

use std::collections::HashMap;
use std::time::Duration;

use merlinsaddle::core::load::{LoadView, ReportedFailures, UpstreamLoad, load_key, probe_key};
use merlinsaddle::core::upstreams::{
    AttemptResult, AttemptTiming, AvoidedUpstream, ChoiceRequest, UpstreamEntry, UpstreamState,
    UpstreamTable, UpstreamUpdate,
};
use rstest::rstest;
use tokio::time::{Instant, advance};

const UPSTREAMS: [&str; 5] = ["a", "b", "c", "d", "e"];

/// Upstreams with 8 slots; only the first is in the zone of the requests, which prefer it.
fn table() -> UpstreamTable {
    let mut table = UpstreamTable::default();
    for id in UPSTREAMS {
        let entry = UpstreamEntry {
            id: id.into(),
            started_at: None,
            service: "llm".into(),
            address: format!("{id}:1").into(),
            zone: if id == "a" { "near" } else { "far" }.into(),
            slots: 8,
            state: UpstreamState::Ready,
            sequence: 1,
            warming: Duration::ZERO,
        };
        table.apply(UpstreamUpdate::Listed(entry), Instant::now());
    }
    table
}

fn attempt(table: &mut UpstreamTable, id: &str, result: AttemptResult) {
    let now = Instant::now();
    table.started(id, 1.0, now);
    table.ended(id, now, result, now);
}

fn key() -> u32 {
    load_key("a", None)
}

/// The others have this many attempts in flight at the first upstream.
fn view(running: u32) -> LoadView {
    let mut view = LoadView::default();
    let load = UpstreamLoad { running, ..UpstreamLoad::default() };
    view.set_others(HashMap::from([(key(), load)]), Instant::now());
    view
}

fn reports(table: &UpstreamTable, running: u32) -> Vec<(u32, u32)> {
    table.failure_reports(|service| service == "llm", &view(running), Instant::now())
}

fn chosen(table: &UpstreamTable) -> Box<str> {
    let request = ChoiceRequest {
        service: "llm",
        zone: "near",
        blocks: &[],
        holder: None,
        affinity: None,
        tried: &[],
        connected: &|_| true,
        salt: 1,
        load: None,
        now: Instant::now(),
    };
    table.choose(&request).expect("an upstream").id
}

/// Guards against a partitioned instance whose report makes the others avoid healthy upstreams.
#[rstest]
#[case::reaches_most(3, 2)]
#[case::reaches_half(2, 1)]
#[case::reaches_none(0, 1)]
#[tokio::test(start_paused = true)]
async fn report_counts_twice_if_other_upstreams_are_reached(
    #[case] reached: usize,
    #[case] weight: u32,
) {
    let mut table = table();
    assert_eq!(reports(&table, 0), []);
    for (index, id) in UPSTREAMS.iter().enumerate().skip(1) {
        let is_reached = index <= reached;
        attempt(
            &mut table,
            id,
            if is_reached { AttemptResult::Answered } else { AttemptResult::Abandoned },
        );
    }
    attempt(&mut table, "a", AttemptResult::Unreachable);
    assert_eq!(reports(&table, 0), [(key(), weight)]);
    assert_eq!(table.failure_reports(|_| false, &view(0), Instant::now()), [], "not shared");
    advance(Duration::from_millis(500)).await;
    assert_eq!(reports(&table, 0), [], "the ejection has ended");
}

/// Guards against an upstream that all avoid because it is full.
#[tokio::test(start_paused = true)]
async fn late_first_byte_is_reported_unless_a_queue_explains_it() {
    let mut table = table();
    let started = Instant::now();
    table.started("a", 1.0, started);
    advance(Duration::from_millis(1_000)).await;
    assert_eq!(reports(&table, 0), []);
    advance(Duration::from_millis(400)).await;
    assert_eq!(reports(&table, 7).len(), 1);
    assert_eq!(reports(&table, 30), []);
    advance(Duration::from_millis(2_000)).await;
    assert_eq!(reports(&table, 30).len(), 1, "later than the queue explains");
    table.ended("a", started, AttemptResult::Abandoned, Instant::now());
    assert_eq!(reports(&table, 7).len(), 1, "ejected");
    assert_eq!(reports(&table, 30), []);
    attempt(&mut table, "a", AttemptResult::Full);
    advance(Duration::from_millis(500)).await;
    attempt(&mut table, "a", AttemptResult::Full);
    assert_eq!(reports(&table, 7), [], "full is not failed");
}

/// Guards against engines that all avoid because their turns, and thus their queues, take longer.
#[tokio::test(start_paused = true)]
async fn queue_of_a_slow_engine_explains_a_later_first_byte() {
    let mut table = table();
    let (first_event, streaming) = (Duration::from_millis(100), Duration::from_millis(650));
    let timing = AttemptTiming { missing_tokens: 0, found_slot: true, first_event, streaming };
    (0..200).for_each(|_| table.observe_timing("a", Instant::now(), &timing, Instant::now()));
    table.started("a", 1.0, Instant::now());
    advance(Duration::from_millis(2_000)).await;
    assert_eq!(reports(&table, 7).len(), 1);
    assert_eq!(reports(&table, 15), [], "twice a wait of 750 ms");
    advance(Duration::from_millis(1_000)).await;
    assert_eq!(reports(&table, 15).len(), 1);
}

/// Guards against an upstream that is avoided although it serves this instance, and against one that
/// is avoided after the reports have ended or that nobody tries again.
#[tokio::test(start_paused = true)]
async fn reported_upstream_is_avoided_until_it_answers_or_the_reports_end() {
    let mut table = table();
    let avoid = |table: &mut UpstreamTable, since: Instant, may_probe: bool| {
        let until = Instant::now() + Duration::from_millis(750);
        let avoided = AvoidedUpstream { since, until, may_probe };
        table.set_avoided(&HashMap::from([(key(), avoided)]), Instant::now())
    };
    attempt(&mut table, "a", AttemptResult::Answered);
    advance(Duration::from_millis(10)).await;
    let since = Instant::now();
    assert_eq!(avoid(&mut table, since, false), (vec!["a".into()], vec![]));
    assert_ne!(&*chosen(&table), "a");
    assert_eq!(reports(&table, 0), [], "reports of others are not repeated");
    avoid(&mut table, since, true);
    assert_eq!(&*chosen(&table), "a", "this instance may try it");
    table.started("a", 0.0, Instant::now());
    assert_ne!(&*chosen(&table), "a", "with one request");
    avoid(&mut table, since, false);
    advance(Duration::from_millis(750)).await;
    assert_eq!(&*chosen(&table), "a", "the reports ended");
    attempt(&mut table, "a", AttemptResult::Answered);
    assert_eq!(avoid(&mut table, since, false), (vec![], vec![]), "answered since");
    assert_eq!(&*chosen(&table), "a");
}

/// Guards against reports whose start is forgotten, also while a summary is lost, so that they undo a
/// success since, and against a start that outlives the reports.
#[tokio::test(start_paused = true)]
async fn reports_are_followed_while_the_view_is_fresh() {
    let mut failures = ReportedFailures::default();
    let update = |failures: &mut ReportedFailures, others: u32, own: u32| {
        let mut view = LoadView::default();
        let load = UpstreamLoad { failing: others, ..UpstreamLoad::default() };
        view.set_others(HashMap::from([(key(), load)]), Instant::now());
        view.set_failing(&[(key(), own)]);
        failures.update(&view, Instant::now());
        failures.since(key())
    };
    assert_eq!(update(&mut failures, 1, 0), None);
    let start = Instant::now();
    assert_eq!(update(&mut failures, 1, 1), Some(start));
    advance(Duration::from_millis(100)).await;
    assert_eq!(update(&mut failures, 2, 0), Some(start));
    assert_eq!(update(&mut failures, 0, 1), None);
    assert!(failures.is_empty());
    let start = Instant::now();
    assert_eq!(update(&mut failures, 3, 0), Some(start));
    advance(Duration::from_millis(400)).await;
    failures.update(&LoadView::default(), Instant::now());
    assert_eq!(failures.since(key()), Some(start), "without fresh totals");
    assert_eq!(update(&mut failures, 2, 0), Some(start), "after a lost summary");
    advance(Duration::from_millis(750)).await;
    assert_eq!(update(&mut failures, 2, 0), Some(Instant::now()), "after the reports expired");
}

/// Guards against two instances that try an avoided upstream at once.
#[test]
fn probe_key_changes_with_the_upstream_and_the_window() {
    let at = |millis| probe_key(1, Duration::from_millis(millis));
    assert_eq!(at(1_000), at(1_499));
    assert_ne!(at(1_499), at(1_500));
    assert_ne!(at(1_000), probe_key(2, Duration::from_millis(1_000)));
}
