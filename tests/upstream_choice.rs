//! Choice of an upstream, and how the table applies updates from the store.

use std::time::Duration;

use merlinsaddle::core::ids::UpstreamId;
use merlinsaddle::core::upstreams::{
    AttemptResult, ChoiceRequest, PromptBlock, UpstreamEntry, UpstreamState, UpstreamTable,
    UpstreamUpdate,
};
use tokio::time::{Instant, advance};

fn entry(id: &str, zone: &str, state: UpstreamState) -> UpstreamEntry {
    UpstreamEntry {
        id: id.into(),
        started_at: None,
        service: "llm".into(),
        address: format!("{id}:1").into(),
        zone: zone.into(),
        slots: 8,
        state,
        sequence: 1,
        warming: Duration::ZERO,
    }
}

fn table(entries: &[(&str, &str)]) -> UpstreamTable {
    let mut table = UpstreamTable::default();
    for (id, zone) in entries {
        let entry = entry(id, zone, UpstreamState::Ready);
        table.apply(UpstreamUpdate::Listed(entry), Instant::now());
    }
    table
}

fn request<'a>(tried: &'a [UpstreamId], holder: Option<&'a UpstreamId>) -> ChoiceRequest<'a> {
    ChoiceRequest {
        service: "llm",
        zone: "near",
        blocks: &[],
        holder,
        affinity: None,
        tried,
        connected: &|_| true,
        salt: 1,
        load: None,
        now: Instant::now(),
    }
}

fn chosen(table: &UpstreamTable, request: &ChoiceRequest<'_>) -> Option<Box<str>> {
    table.choose(request).map(|choice| choice.id)
}

fn long_prompt() -> [PromptBlock; 2] {
    let block = |id: &str, tokens| PromptBlock { id: id.into(), tokens };
    [block("shared", 2_560), block("own", 1_000)]
}

#[tokio::test(start_paused = true)]
async fn same_zone_is_preferred_and_tried_upstreams_are_excluded() {
    let table = table(&[("a", "near"), ("b", "far")]);
    assert_eq!(chosen(&table, &request(&[], None)).as_deref(), Some("a"));
    assert_eq!(chosen(&table, &request(&["a".into()], None)).as_deref(), Some("b"));
    assert_eq!(chosen(&table, &request(&["a".into(), "b".into()], None)), None);
    let other = ChoiceRequest { service: "tools", ..request(&[], None) };
    assert_eq!(chosen(&table, &other), None);
}

/// Guards against a chain that leaves its engine for a small load, or stays when the engine is busy
/// or slow.
#[tokio::test(start_paused = true)]
async fn chain_stays_at_its_holder_until_that_costs_more() {
    let mut table = table(&[("a", "near"), ("b", "near")]);
    let (holder, blocks) = ("a".into(), long_prompt());
    let turn = |now| ChoiceRequest { blocks: &blocks, now, ..request(&[], Some(&holder)) };
    for _ in 0..5 {
        table.started("a", 10.0, Instant::now());
    }
    assert_eq!(chosen(&table, &turn(Instant::now())).as_deref(), Some("a"));
    for _ in 0..20 {
        table.started("a", 30.0, Instant::now());
    }
    assert_eq!(chosen(&table, &turn(Instant::now())).as_deref(), Some("b"));

    let mut table = self::table(&[("a", "near"), ("b", "near")]);
    for _ in 0..100 {
        table.observe_latency("b", 12.0, Instant::now());
    }
    for _ in 0..8 {
        table.observe_latency("a", 60.0, Instant::now());
    }
    assert_eq!(chosen(&table, &turn(Instant::now())).as_deref(), Some("b"));
    advance(Duration::from_secs(15)).await;
    assert_eq!(chosen(&table, &turn(Instant::now())).as_deref(), Some("a"), "old samples decay");
}

#[tokio::test(start_paused = true)]
async fn failing_upstream_is_ejected_and_returns() {
    let mut table = table(&[("a", "near"), ("b", "far")]);
    table.started("a", 0.0, Instant::now());
    table.ended("a", Instant::now(), AttemptResult::Unreachable, Instant::now());
    assert_eq!(chosen(&table, &request(&[], None)).as_deref(), Some("b"));
    advance(Duration::from_millis(600)).await;
    assert_eq!(chosen(&table, &request(&[], None)).as_deref(), Some("a"));
    table.ended("a", Instant::now(), AttemptResult::Broken, Instant::now());
    assert_eq!(chosen(&table, &request(&[], None)).as_deref(), Some("a"));
    table.ended("a", Instant::now(), AttemptResult::Broken, Instant::now());
    assert_eq!(chosen(&table, &request(&[], None)).as_deref(), Some("b"));
    assert_eq!(chosen(&table, &request(&["b".into()], None)).as_deref(), Some("a"));
}

/// Guards against an older entry that arrives late and makes a draining upstream ready again.
#[tokio::test(start_paused = true)]
async fn draining_upstream_ignores_a_late_ready_entry() {
    let mut table = table(&[("a", "near")]);
    let now = Instant::now();
    table.apply(UpstreamUpdate::Listed(entry("a", "near", UpstreamState::Draining)), now);
    table.apply(UpstreamUpdate::Listed(entry("a", "near", UpstreamState::Ready)), now);
    assert_eq!(chosen(&table, &request(&[], None)), None);
    assert!(!table.serves("llm"));
}

/// Guards against dropping healthy upstreams whose entries expire while the store is unreadable.
#[tokio::test(start_paused = true)]
async fn entries_expired_in_an_outage_are_kept_until_recovery() {
    let mut table = table(&[("a", "near"), ("b", "near")]);
    table.set_store_readable(false, Instant::now());
    table.replace(Vec::new(), Instant::now());
    advance(Duration::from_secs(9)).await;
    table.set_store_readable(true, Instant::now());
    advance(Duration::from_secs(2)).await;
    assert!(table.expire(Instant::now()).is_empty());
    let back = UpstreamEntry { sequence: 2, ..entry("a", "near", UpstreamState::Ready) };
    table.apply(UpstreamUpdate::Listed(back), Instant::now());
    advance(Duration::from_millis(400)).await;
    assert_eq!(table.expire(Instant::now()), ["b".into()]);
    assert_eq!(table.len(), 1);
    // Without an outage a removal takes effect at once.
    table.apply(UpstreamUpdate::Removed("a".into()), Instant::now());
    assert!(table.is_empty());
}

/// Guards against an upstream that leaves just after the store's recovery and stays in use until the
/// next update.
#[tokio::test(start_paused = true)]
async fn deferred_removal_takes_effect_without_further_updates() {
    let mut table = table(&[("a", "near")]);
    table.set_store_readable(false, Instant::now());
    table.set_store_readable(true, Instant::now());
    table.apply(UpstreamUpdate::Removed("a".into()), Instant::now());
    assert_eq!(chosen(&table, &request(&[], None)).as_deref(), Some("a"));
    advance(Duration::from_millis(2_400)).await;
    assert_eq!(chosen(&table, &request(&[], None)), None);
}

/// Guards against turns that follow their chain to an engine that accepts requests and never answers.
#[tokio::test(start_paused = true)]
async fn upstream_without_a_first_byte_is_avoided() {
    let mut table = table(&[("a", "near"), ("b", "near")]);
    let (holder, blocks) = ("a".into(), long_prompt());
    let continued = |table: &UpstreamTable| {
        let request = ChoiceRequest { blocks: &blocks, ..request(&[], Some(&holder)) };
        chosen(table, &request)
    };
    let streaming = Instant::now();
    table.started("a", 0.0, streaming);
    table.record_first_byte("a", streaming);
    advance(Duration::from_secs(3)).await;
    assert_eq!(continued(&table).as_deref(), Some("a"));
    let stalled = Instant::now();
    table.started("a", 0.0, stalled);
    advance(Duration::from_millis(900)).await;
    assert_eq!(continued(&table).as_deref(), Some("a"));
    advance(Duration::from_millis(400)).await;
    assert_eq!(continued(&table).as_deref(), Some("b"));
    table.ended("a", stalled, AttemptResult::Abandoned, Instant::now());
    assert_eq!(table.ejected_count(Instant::now()), 1);
    advance(Duration::from_secs(1)).await;
    table.ended("a", streaming, AttemptResult::Abandoned, Instant::now());
    assert_eq!(table.ejected_count(Instant::now()), 0);
}

fn incarnation(id: &str, started_at: u64, state: UpstreamState) -> UpstreamUpdate {
    let entry = UpstreamEntry { started_at: Some(started_at), ..entry(id, "near", state) };
    UpstreamUpdate::Listed(entry)
}

/// Guards against a restarted engine that keeps the failures, load or cached blocks of its previous
/// incarnation.
#[tokio::test(start_paused = true)]
async fn new_incarnation_starts_without_state() {
    let mut table = table(&[("b", "near")]);
    let blocks = long_prompt();
    table.apply(incarnation("a", 1_000, UpstreamState::Ready), Instant::now());
    for block in &blocks {
        table.record_resident(&"a".into(), &block.id);
    }
    let former = Instant::now();
    table.started("a", 0.0, former);
    table.ended("a", former, AttemptResult::Unreachable, Instant::now());
    table.started("a", 0.0, former);
    table.apply(incarnation("a", 1_000, UpstreamState::Draining), Instant::now());
    let tried = ["b".into()];
    let fresh = |table: &UpstreamTable| {
        let request = ChoiceRequest { blocks: &blocks, ..request(&tried, None) };
        table.choose(&request).map(|choice| (choice.started_at, choice.running, choice.prefill_ms))
    };
    assert_eq!(fresh(&table), None, "it drains");
    advance(Duration::from_secs(1)).await;
    assert!(table.apply(incarnation("a", 2_000, UpstreamState::Ready), Instant::now()));
    assert_eq!(table.take_stale_addresses(), ["a:1".into()]);
    let unread = blocks.iter().map(|block| block.tokens).sum::<u64>() as f64 / 32.0;
    assert_eq!(fresh(&table), Some((Some(2_000), 0, unread)));
    assert_eq!(table.ejected_count(Instant::now()), 0);
    // Results of attempts at the previous incarnation do not count.
    table.ended("a", former, AttemptResult::Unreachable, Instant::now());
    assert_eq!(table.ejected_count(Instant::now()), 0);
    assert!(table.has_incarnation("a", Some(2_000)) && !table.has_incarnation("a", Some(1_000)));
}

/// Guards against a write of a previous incarnation that the store applies late.
#[rstest::rstest]
#[case(Some(1_000))]
#[case(None)]
#[tokio::test(start_paused = true)]
async fn entry_of_a_previous_incarnation_is_ignored(#[case] started_at: Option<u64>) {
    let mut table = UpstreamTable::default();
    let former = UpstreamEntry { started_at, ..entry("a", "far", UpstreamState::Draining) };
    table.apply(incarnation("a", 2_000, UpstreamState::Ready), Instant::now());
    assert!(!table.apply(UpstreamUpdate::Listed(former.clone()), Instant::now()));
    assert_eq!(chosen(&table, &request(&[], None)).as_deref(), Some("a"));
    table.apply(UpstreamUpdate::Removed("a".into()), Instant::now());
    table.apply(UpstreamUpdate::Listed(former), Instant::now());
    assert!(table.is_empty());
    // An entry of the newest incarnation may have expired and been rewritten.
    for sequence in 2..4 {
        let UpstreamUpdate::Listed(entry) = incarnation("a", 2_000, UpstreamState::Ready) else {
            unreachable!("it is listed")
        };
        let rewritten = UpstreamEntry { sequence, ..entry };
        table.apply(UpstreamUpdate::Listed(rewritten), Instant::now());
    }
    assert_eq!(chosen(&table, &request(&[], None)).as_deref(), Some("a"));
}

/// Guards against a tie-break that outweighs a cached chain among thousands of engines.
#[tokio::test(start_paused = true)]
async fn chain_stays_at_its_holder_among_thousands() {
    let names: Vec<String> = (0..3_000).map(|number| format!("e{number}")).collect();
    let entries: Vec<_> = names.iter().map(|name| (&**name, "near")).collect();
    let table = table(&entries);
    let blocks = long_prompt();
    for holder in ["e17", "e1500", "e2999"] {
        let id = holder.into();
        for salt in 0..50 {
            let turn = ChoiceRequest { blocks: &blocks, salt, ..request(&[], Some(&id)) };
            assert_eq!(chosen(&table, &turn).as_deref(), Some(holder));
        }
    }
}

/// Guards against refusing requests when only the ranked upstreams have failed.
#[tokio::test(start_paused = true)]
async fn all_upstreams_are_considered_after_the_ranked_ones_failed() {
    let names: Vec<String> = (0..3_000).map(|number| format!("e{number}")).collect();
    let entries: Vec<_> = names.iter().map(|name| (&**name, "near")).collect();
    let mut table = table(&entries);
    let object = ChoiceRequest { affinity: Some("object"), ..request(&[], None) };
    let mut failed = std::collections::BTreeSet::new();
    for _ in 0..100 {
        let id = chosen(&table, &object).expect("an upstream is left");
        table.started(&id, 0.0, Instant::now());
        table.ended(&id, Instant::now(), AttemptResult::Unreachable, Instant::now());
        assert!(failed.insert(id), "a failed upstream is chosen again");
    }
}

/// Guards against an order that depends on the sequence in which upstreams were listed.
#[tokio::test(start_paused = true)]
async fn object_maps_to_the_same_upstream_on_every_instance() {
    let names: Vec<String> = (0..200).map(|number| format!("e{number}")).collect();
    let entries: Vec<_> = names.iter().map(|name| (&**name, "near")).collect();
    let mut reversed = entries.clone();
    reversed.reverse();
    let (first, second) = (table(&entries), table(&reversed));
    for object in ["a", "b", "c", "d"] {
        let asked = |salt| ChoiceRequest { affinity: Some(object), salt, ..request(&[], None) };
        assert_eq!(chosen(&first, &asked(1)), chosen(&second, &asked(2)));
    }
}
