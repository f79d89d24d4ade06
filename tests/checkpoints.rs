//! Incremental checkpoints, loading of histories after a takeover, and deletion of unneeded objects
//! and rows.

mod support;

use std::time::Duration;

use merlinsaddle::core::dispatch::ServiceClass;
use support::recorder::ProgramRecorder;
use support::{TestCluster, model_call, run_paused};
use tokio::time::sleep;

const CHECKPOINT_INTERVAL: Duration = Duration::from_secs(5);
/// Size of each program's history.
const HISTORY_BYTES: usize = 5_000;

/// A segment that is lost, duplicated or out of order after an owner crash would change the prompt
/// of later calls.
#[test]
fn history_in_many_segments_survives_owner_crashes() {
    run_paused(async {
        let cluster = TestCluster::start(3).await;
        cluster.workspace("w", ServiceClass::Paying, 10_000_000).await;
        let recorder = ProgramRecorder::new(cluster.start_program(0, "w").await);
        for number in 1..=40 {
            let request = model_call(recorder.program, number, &format!("input {number}"));
            recorder.insist(&cluster, request).await;
            if number % 13 != 0 {
                sleep(CHECKPOINT_INTERVAL).await;
                continue;
            }
            let owner = cluster.owner_of(recorder.program).expect("the program has an owner");
            cluster.kill(owner);
            cluster.settled().await;
            cluster.start_node(owner).await;
        }
        recorder.check(&cluster).await;
    });
}

/// A batch with a large input must not be written to a table row, and the next owner must be able
/// to read it.
#[test]
fn large_batches_are_stored_as_objects() {
    run_paused(async {
        let cluster = TestCluster::start(3).await;
        cluster.workspace("w", ServiceClass::Paying, 10_000_000).await;
        let recorder = ProgramRecorder::new(cluster.start_program(0, "w").await);
        let input = "x".repeat(200_000);
        recorder.insist(&cluster, model_call(recorder.program, 1, &input)).await;
        assert!(!cluster.platform.peek_objects().is_empty());
        let rows = cluster.platform.peek_keys("journal/");
        let row = |key: &str| cluster.platform.peek(key).map_or(0, |row| row.value.len());
        assert!(rows.iter().all(|key| row(key) < 40_000));
        cluster.kill(0);
        recorder.insist(&cluster, model_call(recorder.program, 2, "two")).await;
        recorder.check(&cluster).await;
    });
}

/// Objects of expired programs and rows of dead incarnations must not accumulate: only the latest
/// checkpoints and the journals of live incarnations remain.
#[test]
fn unneeded_objects_and_rows_are_deleted() {
    run_paused(async {
        let cluster = TestCluster::start(3).await;
        cluster.workspace("w", ServiceClass::Paying, 10_000_000).await;
        for round in 0..3 {
            let recorder = ProgramRecorder::new(cluster.start_program(round, "w").await);
            for number in 1..=20 {
                let input = "x".repeat(if number % 5 == 0 { 40_000 } else { 10 });
                let request = model_call(recorder.program, number, &input);
                recorder.insist(&cluster, request).await;
                sleep(CHECKPOINT_INTERVAL / 2).await;
            }
            cluster.kill(round);
            cluster.settled().await;
            cluster.start_node(round).await;
            cluster.settled().await;
            while cluster.any_node().end_program(recorder.program).await.is_err() {
                sleep(Duration::from_millis(500)).await;
            }
        }
        sleep(Duration::from_secs(660)).await;
        for index in 0..3 {
            cluster.start_program(index, "w").await;
        }
        sleep(CHECKPOINT_INTERVAL * 6).await;
        let objects = cluster.platform.peek_objects();
        assert!(objects.iter().all(|name| name.starts_with("checkpoint/")), "{objects:?}");
        assert!(objects.len() <= 3, "{objects:?}");
        let incarnations = cluster.platform.peek_keys("incarnation/");
        assert_eq!(incarnations.len(), 3, "{incarnations:?}");
        assert!(cluster.platform.peek_keys("account/").len() <= 3);
        let batches = cluster.platform.peek_keys("journal/");
        assert!(batches.len() <= 3 * 6, "{batches:?}");
    });
}

/// The size of a checkpoint must depend on the new turns, not on the stored histories.
#[test]
fn checkpoint_writes_only_new_turns() {
    run_paused(async {
        let cluster = TestCluster::start(2).await;
        cluster.workspace("w", ServiceClass::Paying, 100_000_000).await;
        let input = "x".repeat(HISTORY_BYTES);
        let call = async |program, number| {
            let call = cluster.node(0).submit(model_call(program, number, &input)).await;
            call.expect("the call is accepted").wait().await;
        };
        let mut programs = Vec::new();
        for _ in 0..1_000 {
            let program = cluster.start_program(0, "w").await;
            call(program, 1).await;
            programs.push(program);
        }
        sleep(CHECKPOINT_INTERVAL * 2).await;
        for program in programs.iter().take(10) {
            call(*program, 2).await;
        }
        sleep(CHECKPOINT_INTERVAL * 2).await;
        let last = cluster.last_event(0, "checkpoint_written").expect("a checkpoint was written");
        println!("{last}");
        let bytes = last.split("bytes=").nth(1).and_then(|text| text.split(' ').next());
        let bytes: usize = bytes.and_then(|text| text.parse().ok()).expect("a number");
        assert!(bytes < 1_000 * HISTORY_BYTES / 10, "{bytes} bytes for ten new turns");
    });
}
