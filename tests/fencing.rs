//! Fenced instances, and writes whose result is unknown for some time.

mod support;

use std::rc::Rc;
use std::time::Duration;

use merlinsaddle::core::dispatch::ServiceClass;
use merlinsaddle::core::ids::shard_of;
use merlinsaddle::core::outcome::CallOutcome;
use merlinsaddle::node::peers::PeerNetwork;
use merlinsaddle::node::platform::{CommitReply, TableStore, TableTransaction};
use merlinsaddle::standin::{FaultSettings, LocalPeers};
use support::recorder::{AttemptResult, ProgramRecorder};
use support::{TestCluster, lose_replies, model_call, outage, run_paused, wait_until};
use tokio::time::sleep;

/// Fences an instance's current incarnation, as another instance does on takeover.
async fn fence(cluster: &Rc<TestCluster>, index: usize) -> u64 {
    let incarnation = cluster.node(index).member_list()[0].incarnation;
    let key = format!("incarnation/{incarnation:012}");
    let row = cluster.platform.peek(&key).expect("every incarnation has a row");
    let fenced = TableTransaction::default().check(key.clone(), row.version).put(key, &row.value);
    let reply = cluster.platform.commit(&fenced).await.expect("the table answers");
    assert_eq!(reply, CommitReply::Committed);
    incarnation
}

/// Without a failing commit to detect the fence by, an idle instance would keep shards that it
/// cannot serve and that no other instance claims.
#[test]
fn idle_fenced_instance_starts_a_new_incarnation() {
    run_paused(async {
        let cluster = TestCluster::start(3).await;
        let fenced = fence(&cluster, 0).await;
        wait_until(|| cluster.node(0).member_list()[0].incarnation > fenced).await;
        cluster.settled().await;
    });
}

/// After a partition, an owner that has not detected its fence must not permanently refuse a valid
/// call number on the basis of its stale history.
#[test]
fn fenced_owner_does_not_refuse_calls_from_its_stale_view() {
    run_paused(async {
        let cluster = TestCluster::start(3).await;
        cluster.workspace("w", ServiceClass::Paying, 1_000_000).await;
        let program = cluster.start_program(0, "w").await;
        let recorder = ProgramRecorder::new(program);
        recorder.attempt(&cluster, 0, &model_call(program, 1, "one")).await;
        let old = cluster.node(0);
        cluster.set_cut(0, true);
        wait_until(|| cluster.owner_of(program) != Some(0)).await;
        recorder.attempt(&cluster, 1, &model_call(program, 2, "two")).await;
        assert!(
            old.serving_shards().contains(&shard_of(program)),
            "the old owner still serves the shard"
        );
        cluster.set_cut(0, false);
        let third = recorder.attempt(&cluster, 0, &model_call(program, 3, "three")).await;
        assert!(
            !matches!(&third, AttemptResult::Outcome(CallOutcome::NotRun(refusal))
                if refusal.retry_after.is_none()),
            "{third:?}"
        );
        recorder.insist(&cluster, model_call(program, 3, "three")).await;
        recorder.check(&cluster).await;
    });
}

/// Lets another instance take over a program of instance 2, whose restart then triggers a handover.
/// Returns the program's recorder and its owner.
async fn take_over_from_instance_2(cluster: &Rc<TestCluster>) -> (Rc<ProgramRecorder>, usize) {
    cluster.workspace("w", ServiceClass::Paying, 1_000_000).await;
    let recorder = ProgramRecorder::new(cluster.start_program(2, "w").await);
    recorder.insist(cluster, model_call(recorder.program, 1, "one")).await;
    cluster.kill(2);
    cluster.settled().await;
    let owner = cluster.owner_of(recorder.program).expect("the program was taken over");
    (recorder, owner)
}

/// If a shard is handed over while a checkpoint is being stored, writing the checkpoint to its row
/// would lose the batches committed since the checkpoint began.
#[test]
fn slow_checkpoint_skips_shards_handed_over_meanwhile() {
    run_paused(async {
        let cluster = TestCluster::start(3).await;
        let (recorder, owner) = take_over_from_instance_2(&cluster).await;
        let objects = cluster.gates(owner).objects.clone();
        objects.set(FaultSettings { delay_ms: 1_900, ..FaultSettings::default() });
        let before = objects.operations();
        recorder.insist(&cluster, model_call(recorder.program, 2, "two")).await;
        wait_until(|| objects.operations() > before).await;
        recorder.insist(&cluster, model_call(recorder.program, 3, "three")).await;
        cluster.start_node(2).await;
        cluster.gates(2).platform.set(outage());
        wait_until(|| cluster.owner_of(recorder.program).is_none()).await;
        sleep(Duration::from_secs(2)).await;
        cluster.gates(2).platform.set(FaultSettings::default());
        cluster.settled().await;
        recorder.insist(&cluster, model_call(recorder.program, 4, "four")).await;
        recorder.check(&cluster).await;
    });
}

/// An owner whose handover took effect but lost its reply must not repeat it after the next owner
/// has claimed the shard.
#[test]
fn handover_with_lost_replies_does_not_end_the_next_owners_claim() {
    run_paused(async {
        let cluster = TestCluster::start(3).await;
        let (recorder, owner) = take_over_from_instance_2(&cluster).await;
        cluster.gates(owner).platform.set(lose_replies(10_000));
        cluster.start_node(2).await;
        wait_until(|| cluster.owner_of(recorder.program) == Some(2)).await;
        cluster.gates(owner).platform.set(FaultSettings::default());
        let old = cluster.node(owner).member_list().swap_remove(0);
        let peers = LocalPeers { hub: cluster.hub.clone(), from: "i2".into() };
        peers.shards_released(&old, Vec::new()).await.expect("the old owner is reachable");
        for _ in 0..100 {
            sleep(Duration::from_millis(100)).await;
            assert_eq!(cluster.owner_of(recorder.program), Some(2));
        }
        recorder.insist(&cluster, model_call(recorder.program, 2, "two")).await;
        recorder.check(&cluster).await;
    });
}
