//! Admission of new programs while engines are overloaded.

use std::time::Duration;

use merlinsaddle::core::admission::{AdmissionGate, AdmissionReply, AdmissionRequest};
use tokio::time::Instant;

const OBJECTIVE: Duration = Duration::from_millis(250);
/// Callers leave when the first token takes longer.
const CALLER_TIMEOUT_MS: f64 = 2_000.0;
const TURNS_PER_PROGRAM: u32 = 4;
const TURN_DURATION_MS: f64 = 250.0;
const SLOTS: usize = 16;

fn request(program: &str, priority: u8, now: Instant) -> AdmissionRequest<'_> {
    AdmissionRequest { service: "llm", program, priority, now }
}

fn admitted_fraction(gate: &mut AdmissionGate, priority: u8, now: Instant) -> f64 {
    let admitted = (0..400)
        .filter(|number| {
            let program = format!("p{number}");
            gate.admit(&request(&program, priority, now)) == AdmissionReply::Admitted
        })
        .count();
    admitted as f64 / 400.0
}

async fn record_waits(gate: &mut AdmissionGate, millis: f64, seconds: u64) {
    for _ in 0..seconds * 14 {
        tokio::time::advance(Duration::from_millis(71)).await;
        gate.record_wait("llm", millis, OBJECTIVE, Instant::now());
    }
}

/// Guards against taking the base latency of slow engines for a queue.
#[tokio::test(start_paused = true)]
async fn slow_engines_without_a_queue_admit_all_programs() {
    let mut gate = AdmissionGate::default();
    record_waits(&mut gate, 900.0, 10).await;
    assert_eq!(admitted_fraction(&mut gate, 1, Instant::now()), 1.0);
}

/// Guards against taking callers that leave early for a sign of overload, and against ignoring
/// those that leave late.
#[tokio::test(start_paused = true)]
async fn only_callers_that_leave_late_count_as_overload() {
    let mut gate = AdmissionGate::default();
    record_waits(&mut gate, 900.0, 2).await;
    for _ in 0..20 {
        for _ in 0..10 {
            gate.record_abandoned("llm", 30.0, Instant::now());
        }
        record_waits(&mut gate, 900.0, 1).await;
    }
    assert_eq!(admitted_fraction(&mut gate, 1, Instant::now()), 1.0);
    for _ in 0..60 {
        tokio::time::advance(Duration::from_millis(71)).await;
        gate.record_abandoned("llm", 3_000.0, Instant::now());
    }
    assert!(admitted_fraction(&mut gate, 1, Instant::now()) < 0.5);
}

/// Guards against rejecting urgent programs before others, starving a priority, and not recovering
/// after the overload.
#[tokio::test(start_paused = true)]
async fn least_urgent_programs_are_rejected_first() {
    let mut gate = AdmissionGate::default();
    record_waits(&mut gate, 20.0, 5).await;
    let present = |gate: &mut AdmissionGate| {
        (admitted_fraction(gate, 0, Instant::now()), admitted_fraction(gate, 1, Instant::now()))
    };
    assert_eq!(present(&mut gate), (1.0, 1.0));
    let mut cut = 0;
    for _ in 0..20 {
        tokio::time::advance(Duration::from_millis(71)).await;
        gate.record_wait("llm", 1_200.0, OBJECTIVE, Instant::now());
        let (urgent, other) = present(&mut gate);
        assert!(
            urgent == 1.0 || other < 0.2,
            "urgent programs are cut before the others: {urgent} {other}"
        );
        cut += u32::from(urgent == 1.0 && other < 1.0);
    }
    assert!(cut > 3, "only the others are cut for a while");
    record_waits(&mut gate, 1_200.0, 4).await;
    let (urgent, other) = present(&mut gate);
    assert!(urgent < 0.5 && other < 0.25 && other > 0.05, "{urgent} {other}");
    record_waits(&mut gate, 20.0, 10).await;
    assert_eq!(present(&mut gate), (1.0, 1.0));
}

/// Guards against retries that raise a program's chance of admission.
#[tokio::test(start_paused = true)]
async fn retries_under_equal_load_get_the_same_reply() {
    let mut gate = AdmissionGate::default();
    record_waits(&mut gate, 20.0, 5).await;
    record_waits(&mut gate, 1_200.0, 3).await;
    for number in 0..50 {
        let program = format!("p{number}");
        let first = gate.admit(&request(&program, 1, Instant::now()));
        for _ in 0..5 {
            assert_eq!(gate.admit(&request(&program, 1, Instant::now())), first);
        }
        if let AdmissionReply::Rejected { retry_after, .. } = first {
            assert!(retry_after >= Duration::from_millis(300));
            assert!(retry_after <= Duration::from_secs(5));
        }
    }
}

/// Simulates programs on FIFO slots that also run the calls of callers that have left. Returns
/// completed programs per second.
fn goodput(overload: f64, gate: Option<&mut AdmissionGate>, start: Instant) -> f64 {
    const SECONDS: f64 = 40.0;
    let mut gate = gate;
    let capacity = SLOTS as f64 * 1_000.0 / (TURN_DURATION_MS * f64::from(TURNS_PER_PROGRAM));
    let pace_ms = 1_000.0 / (capacity * overload);
    // Time at which each slot is free, in milliseconds.
    let mut free = [0.0_f64; SLOTS];
    // Turns left, by time in microseconds and program.
    let mut due: std::collections::BTreeMap<(u64, u64), u32> = std::collections::BTreeMap::new();
    for number in 0..(SECONDS * 1_000.0 / pace_ms) as u64 {
        due.insert(((number as f64 * pace_ms * 1_000.0) as u64, number), TURNS_PER_PROGRAM);
    }
    // Waits still to be recorded, by time in microseconds and program.
    let mut waits: std::collections::BTreeMap<(u64, u64), f64> = std::collections::BTreeMap::new();
    let mut completed = 0_u32;
    while let Some(((micros, program), left)) = due.pop_first() {
        let now_ms = micros as f64 / 1_000.0;
        let now = start + Duration::from_micros(micros);
        if let Some(gate) = gate.as_deref_mut() {
            while waits.first_key_value().is_some_and(|((at, _), _)| *at <= micros) {
                let ((at, _), waited) = waits.pop_first().expect("there is one");
                gate.record_wait("llm", waited, OBJECTIVE, start + Duration::from_micros(at));
            }
            let name = format!("p{program}");
            let first_turn = left == TURNS_PER_PROGRAM;
            if first_turn && gate.admit(&request(&name, 1, now)) != AdmissionReply::Admitted {
                continue;
            }
        }
        let slot =
            (0..SLOTS).min_by(|a, b| free[*a].total_cmp(&free[*b])).expect("there are slots");
        let begins = free[slot].max(now_ms);
        free[slot] = begins + TURN_DURATION_MS;
        let waited = begins - now_ms;
        let recorded = now_ms + waited.min(CALLER_TIMEOUT_MS);
        waits.insert(((recorded * 1_000.0) as u64, program), waited.min(CALLER_TIMEOUT_MS));
        if waited > CALLER_TIMEOUT_MS {
            continue;
        }
        match left {
            1 => completed += 1,
            _ => drop(
                due.insert((((begins + TURN_DURATION_MS) * 1_000.0) as u64, program), left - 1),
            ),
        }
    }
    f64::from(completed) / SECONDS
}

/// Guards against congestion collapse, where engines serve only callers that have left.
#[tokio::test(start_paused = true)]
async fn goodput_is_sustained_at_twice_the_capacity() {
    let start = Instant::now();
    let gated = |overload| goodput(overload, Some(&mut AdmissionGate::default()), start);
    let full = goodput(1.0, None, start);
    let without = goodput(2.0, None, start);
    assert!(without < 0.4 * full, "without a gate: {without:.1} of {full:.1}");
    for overload in [1.0, 1.5, 2.0] {
        let with = gated(overload);
        assert!(with > 0.85 * full, "at {overload}: {with:.1} of {full:.1}, without {without:.1}");
    }
}
