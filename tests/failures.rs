//! Owners that crash or freeze during a model call: no turn is lost or duplicated.

mod support;

use std::rc::Rc;
use std::time::Duration;

use merlinsaddle::core::dispatch::ServiceClass;
use merlinsaddle::standin::FaultSettings;
use support::recorder::ProgramRecorder;
use support::{TestCluster, lose_replies, model_call, outage, run_paused, wait_until};
use tokio::time::sleep;

async fn start_cluster() -> (Rc<TestCluster>, Rc<ProgramRecorder>) {
    let cluster = TestCluster::start(4).await;
    cluster.workspace("w", ServiceClass::Paying, 1_000_000).await;
    let recorder = ProgramRecorder::new(cluster.start_program(0, "w").await);
    recorder.insist(&cluster, model_call(recorder.program, 1, "one")).await;
    (cluster, recorder)
}

/// Submits call 2 at instance 0 in the background.
fn submit_second(cluster: &Rc<TestCluster>, recorder: &Rc<ProgramRecorder>) {
    let (cluster, recorder) = (cluster.clone(), recorder.clone());
    actix_rt::spawn(async move {
        let request = model_call(recorder.program, 2, "two");
        recorder.attempt(&cluster, 0, &request).await;
    });
}

fn engine_calls(cluster: &TestCluster) -> u64 {
    cluster.engines.iter().map(|engine| engine.calls()).sum()
}

async fn submit_remaining(cluster: &Rc<TestCluster>, recorder: &Rc<ProgramRecorder>) {
    for (number, input) in [(2, "two"), (3, "three")] {
        recorder.insist(cluster, model_call(recorder.program, number, input)).await;
    }
    recorder.check(cluster).await;
}

/// The last owner must replay the turns of all previous owners, one of which dies during its own
/// takeover.
#[test]
fn program_survives_consecutive_owner_crashes() {
    run_paused(async {
        let (cluster, recorder) = start_cluster().await;
        cluster.kill(0);
        wait_until(|| cluster.owner_of(recorder.program).is_some()).await;
        let second = cluster.owner_of(recorder.program).expect("the program has an owner");
        recorder.insist(&cluster, model_call(recorder.program, 2, "two")).await;
        cluster.kill(second);
        wait_until(|| cluster.owner_of(recorder.program).is_some()).await;
        cluster.kill(cluster.owner_of(recorder.program).expect("the program has an owner"));
        submit_remaining(&cluster, &recorder).await;
    });
}

/// A caller that resubmits after a partial stream must get one complete answer, not the rest of
/// another one.
#[test]
fn owner_crash_during_a_stream_yields_one_complete_answer() {
    run_paused(async {
        let (cluster, recorder) = start_cluster().await;
        let before = engine_calls(&cluster);
        submit_second(&cluster, &recorder);
        wait_until(|| engine_calls(&cluster) > before).await;
        sleep(Duration::from_millis(30)).await;
        cluster.kill(0);
        submit_remaining(&cluster, &recorder).await;
    });
}

/// If the owner dies after the commit but before the answer, the same request must return the
/// committed turn without a second engine call.
#[test]
fn owner_crash_after_commit_returns_the_committed_turn() {
    run_paused(async {
        let (cluster, recorder) = start_cluster().await;
        cluster.gates(0).platform.set(lose_replies(u32::MAX));
        submit_second(&cluster, &recorder);
        wait_until(|| cluster.journal_has_turn("two")).await;
        let ran = engine_calls(&cluster);
        cluster.kill(0);
        recorder.insist(&cluster, model_call(recorder.program, 2, "two")).await;
        assert_eq!(engine_calls(&cluster), ran, "the recorded turn was not used");
        submit_remaining(&cluster, &recorder).await;
    });
}

/// A batch that took effect although its reply was lost must not be committed again under the next
/// number, as the next owner would replay the turn twice.
#[test]
fn lost_commit_replies_do_not_duplicate_turns() {
    run_paused(async {
        let (cluster, recorder) = start_cluster().await;
        for number in 2..=8 {
            let input = format!("input {number}");
            cluster.gates(0).platform.set(lose_replies(u32::MAX));
            let written = async {
                wait_until(|| cluster.journal_has_turn(&input)).await;
                cluster.gates(0).platform.set(FaultSettings::default());
            };
            let call = recorder.insist(&cluster, model_call(recorder.program, number, &input));
            futures_util::future::join(call, written).await;
        }
        cluster.kill(0);
        recorder.insist(&cluster, model_call(recorder.program, 9, "nine")).await;
        recorder.check(&cluster).await;
    });
}

/// An owner that resumes after a takeover and completes its stream must be stopped by the fence
/// before it commits the turn.
#[test]
fn resumed_owners_cannot_commit_after_a_takeover() {
    run_paused(async {
        let (cluster, recorder) = start_cluster().await;
        submit_second(&cluster, &recorder);
        sleep(Duration::from_millis(50)).await;
        cluster.freeze(0);
        wait_until(|| cluster.owner_of(recorder.program) != Some(0)).await;
        let second = cluster.owner_of(recorder.program).expect("the program has an owner");
        wait_until(|| cluster.serves(second, recorder.program)).await;
        let request = model_call(recorder.program, 2, "two");
        recorder.attempt(&cluster, second, &request).await;
        cluster.thaw(0);
        recorder.attempt(&cluster, 0, &request).await;
        cluster.freeze(second);
        wait_until(|| cluster.owner_of(recorder.program) != Some(second)).await;
        cluster.thaw(second);
        submit_remaining(&cluster, &recorder).await;
    });
}

/// An answer that completes during a table outage must not be lost or duplicated when its owner is
/// also partitioned from the other members and replaced.
#[test]
fn outage_combined_with_a_takeover_keeps_turns_consistent() {
    run_paused(async {
        let (cluster, recorder) = start_cluster().await;
        cluster.platform.faults.set(outage());
        submit_second(&cluster, &recorder);
        sleep(Duration::from_secs(1)).await;
        cluster.set_cut(0, true);
        sleep(Duration::from_secs(10)).await;
        cluster.platform.faults.set(FaultSettings::default());
        wait_until(|| cluster.owner_of(recorder.program) != Some(0)).await;
        cluster.set_cut(0, false);
        submit_remaining(&cluster, &recorder).await;
    });
}
