//! Speeds learned from attempts, and the pressure and waits computed from them.

use std::collections::HashMap;
use std::time::Duration;

use merlinsaddle::core::load::{LoadView, UpstreamLoad, load_key};
use merlinsaddle::core::upstreams::{
    AttemptResult, AttemptTiming, ChoiceRequest, PromptBlock, UpstreamChoice, UpstreamEntry,
    UpstreamState, UpstreamTable, UpstreamUpdate,
};
use tokio::time::{Instant, advance};

fn table(ids: &[&str]) -> UpstreamTable {
    let mut table = UpstreamTable::default();
    for id in ids {
        let entry = UpstreamEntry {
            id: (*id).into(),
            started_at: None,
            service: "llm".into(),
            address: (*id).into(),
            zone: "zone".into(),
            slots: 8,
            state: UpstreamState::Ready,
            sequence: 1,
            warming: Duration::ZERO,
        };
        table.apply(UpstreamUpdate::Listed(entry), Instant::now());
    }
    table
}

fn view(counts: &[(&str, u32)]) -> LoadView {
    let load = |running| UpstreamLoad { running, ..UpstreamLoad::default() };
    let others = counts.iter().map(|(id, running)| (load_key(id, None), load(*running)));
    let mut view = LoadView::default();
    view.set_others(others.collect::<HashMap<_, _>>(), Instant::now());
    view
}

fn choice(table: &UpstreamTable, view: &LoadView, tried: &[Box<str>]) -> UpstreamChoice {
    let request = ChoiceRequest {
        service: "llm",
        zone: "zone",
        blocks: &[PromptBlock { id: "block".into(), tokens: 2_000 }],
        holder: None,
        affinity: None,
        tried,
        connected: &|_| true,
        salt: 1,
        load: Some(view),
        now: Instant::now(),
    };
    table.choose(&request).expect("an upstream is listed")
}

/// A turn at an engine that reads 8 tokens/ms and gives the first event after 100 ms.
async fn observe(table: &mut UpstreamTable, id: &str, missing_tokens: u64, factor: f64) {
    let first_event = Duration::from_secs_f64((0.1 + missing_tokens as f64 / 8e3) * factor);
    let streaming = Duration::from_secs_f64(0.6 * factor);
    let timing = AttemptTiming { missing_tokens, found_slot: true, first_event, streaming };
    let started = Instant::now();
    advance(Duration::from_millis(60)).await;
    table.observe_timing(id, started, &timing, Instant::now());
}

async fn learned() -> UpstreamTable {
    let mut table = table(&["a", "b"]);
    for turn in 0..100 {
        let id = if turn % 2 == 0 { "a" } else { "b" };
        observe(&mut table, id, [200, 1_000, 1_800][turn % 3], 1.0).await;
    }
    table
}

fn assert_near(value: f64, expected: f64) {
    assert!((value / expected - 1.0).abs() < 0.15, "{value} is not near {expected}");
}

/// Guards against constants of one deployment that misjudge slower engines.
#[tokio::test(start_paused = true)]
async fn speeds_are_learned_and_single_outliers_count_little() {
    let mut table = learned().await;
    for outlier in [1.0, 100.0, 0.001] {
        observe(&mut table, "a", 1_000, outlier).await;
        let choice = choice(&table, &view(&[("b", 15)]), &["a".into()]);
        assert_near(choice.prefill_ms, 2_000.0 / 8.0);
        // 8 turns are ahead of it.
        assert_near(choice.wait_ms, 825.0);
        assert!(!choice.found_slot);
    }
}

/// Guards against an engine that is avoided forever after it was slow.
#[tokio::test(start_paused = true)]
async fn slow_engine_is_avoided_until_its_samples_are_old() {
    let mut table = learned().await;
    let wait_ms = |table: &UpstreamTable| choice(table, &view(&[("a", 15)]), &["b".into()]).wait_ms;
    let before = wait_ms(&table);
    for _ in 0..10 {
        observe(&mut table, "a", 1_000, 3.0).await;
        observe(&mut table, "b", 1_000, 1.0).await;
    }
    assert!(wait_ms(&table) > 1.8 * before, "{} after {before}", wait_ms(&table));
    advance(Duration::from_secs(12)).await;
    let later = wait_ms(&table);
    let other = choice(&table, &view(&[("b", 15)]), &["a".into()]).wait_ms;
    assert_near(later, other);
}

/// Guards against slots of failed engines, or counts that are too old, in decisions on admission.
#[tokio::test(start_paused = true)]
async fn pressure_counts_upstreams_that_may_get_requests() {
    let mut table = table(&["a", "b"]);
    let pressure = |table: &UpstreamTable, view: &LoadView| {
        let pressure = table.pressure("llm", view, Instant::now())?;
        Some((pressure.slots, pressure.running, pressure.wait.as_millis(), pressure.rate as u32))
    };
    let idle = view(&[("a", 15), ("b", 0)]);
    assert_eq!(pressure(&table, &idle), Some((16, 15, 0, 64)));
    advance(Duration::from_millis(1)).await;
    let busy = view(&[("a", 15), ("b", 16)]);
    assert_eq!(pressure(&table, &busy), Some((16, 31, 250, 64)), "a newer summary");
    advance(Duration::from_millis(1)).await;
    let forged = view(&[("a", u32::MAX), ("b", u32::MAX)]);
    assert_eq!(pressure(&table, &forged).map(|pressure| pressure.1), Some(u32::MAX));
    for _ in 0..2 {
        table.ended("b", Instant::now(), AttemptResult::Unreachable, Instant::now());
    }
    advance(Duration::from_millis(20)).await;
    assert_eq!(pressure(&table, &busy), Some((8, 15, 250, 32)), "b is ejected");
    advance(Duration::from_millis(300)).await;
    assert_eq!(pressure(&table, &busy), None, "the counts are old");
}

/// Guards against a choice among few ejected engines while another one could serve, also where waits
/// are long.
#[tokio::test(start_paused = true)]
async fn ejected_engines_are_a_last_resort() {
    let ids: Vec<String> = (0..40).map(|number| format!("e{number}")).collect();
    let ids: Vec<&str> = ids.iter().map(|id| &**id).collect();
    let mut table = table(&ids);
    for id in &ids[1..] {
        table.ended(id, Instant::now(), AttemptResult::Unreachable, Instant::now());
    }
    let chosen = choice(&table, &view(&[("e0", 1_000)]), &[]);
    assert_eq!(&*chosen.id, "e0");
    assert!(chosen.wait_ms > 10_000.0);
}
