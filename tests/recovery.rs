//! Cost of taking over the programs of a dead owner, for docs/CAPACITY.md:
//! `cargo test --release --test recovery -- --nocapture`.

mod support;

use std::time::{Duration, Instant as WallInstant};

use merlinsaddle::core::dispatch::ServiceClass;
use rstest::rstest;
use support::{TestCluster, answer_text, model_call, outcome, run_paused, wait_until};
use tokio::time::Instant;

const TURNS: u32 = 2;
/// Bounded so that the stand-in engines serve all calls within their deadline.
const MAX_CONCURRENT_PROGRAMS: usize = 300;
/// From the kill until the survivors serve all shards, on the paused clock.
const MAX_TAKEOVER_TIME: Duration = Duration::from_secs(12);

/// The takeover of a dead owner must complete in time for any number of programs, and a program
/// must then accept its next call.
#[rstest]
#[case(30)]
#[case(300)]
#[case(3_000)]
fn programs_continue_after_their_owner_dies(#[case] count: usize) {
    run_paused(async move {
        let cluster = TestCluster::start(3).await;
        cluster.workspace("w", ServiceClass::Paying, u64::MAX / 4).await;
        let mut programs = Vec::new();
        for _ in 0..count {
            programs.push(cluster.start_program(0, "w").await);
        }
        for group in programs.chunks(MAX_CONCURRENT_PROGRAMS) {
            let running = group.iter().map(|program| async {
                for number in 1..=TURNS {
                    let call = model_call(*program, number, "salt?");
                    answer_text(&outcome(cluster.node(0).submit(call).await).await);
                }
            });
            futures_util::future::join_all(running).await;
        }
        let (reads, writes) = (cluster.platform.reads(), cluster.platform.writes());
        let (killed, wall) = (Instant::now(), WallInstant::now());
        cluster.kill(0);
        wait_until(|| {
            let nodes = cluster.nodes.borrow();
            nodes.values().map(|node| node.serving_shards().len()).sum::<usize>() == 16
        })
        .await;
        let took = killed.elapsed();
        println!(
            "programs={count} takeover_ms={} processor_ms={} reads={} writes={}",
            took.as_millis(),
            wall.elapsed().as_millis(),
            cluster.platform.reads() - reads,
            cluster.platform.writes() - writes,
        );
        assert!(took < MAX_TAKEOVER_TIME, "{took:?}");
        let next = model_call(programs[count - 1], TURNS + 1, "pepper?");
        answer_text(&outcome(cluster.node(1).submit(next).await).await);
    });
}
