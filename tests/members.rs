//! Simulations of the membership protocol: many member tables exchange encoded datagrams on a
//! virtual clock.

mod support;

use std::time::Duration;

use merlinsaddle::bench::{MemberDisturbance, MemberReport, MemberScenario, measure_members};
use merlinsaddle::core::dispatch::ServiceClass;
use merlinsaddle::standin::LinkFault;
use rstest::rstest;
use support::{TestCluster, answer_text, model_call, outcome, run_paused};
use tokio::time::sleep;

fn run(nodes: usize, loss_per_mille: u32, disturbance: MemberDisturbance) -> MemberReport {
    let report = measure_members(MemberScenario {
        nodes,
        seconds: 60,
        loss_per_mille,
        change_interval: Duration::from_secs(5),
        disturbance,
        seed: 7,
    });
    println!("{disturbance:?} loss={loss_per_mille} {report:#?}");
    report
}

/// Guards against false deaths, late configuration changes and excessive gossip traffic at 1% loss.
#[rstest]
#[case(3)]
#[case(10)]
#[case(30)]
#[case(100)]
fn stable_cluster_with_loss_has_no_false_deaths_and_little_traffic(#[case] nodes: usize) {
    let report = run(nodes, 10, MemberDisturbance::Nothing);
    assert_eq!(report.false_deaths, 0);
    assert!(report.change_spread < Duration::from_secs(3));
    assert!(report.oldest_proof < Duration::from_secs(3));
    assert!(report.bytes_sent + report.bytes_received < 3000.0);
}

/// Guards against late detection of a dead instance, and against false deaths of others.
#[rstest]
#[case(3, 0)]
#[case(30, 50)]
#[case(100, 10)]
fn death_is_detected_by_all_members_in_time(#[case] nodes: usize, #[case] loss: u32) {
    let report = run(nodes, loss, MemberDisturbance::Death);
    assert_eq!(report.false_deaths, 0);
    assert!(report.first_detection > Duration::from_secs(2));
    assert!(report.last_detection < Duration::from_secs(8));
}

/// Guards against a resumed instance that declares its peers dead because all acks are overdue.
#[rstest]
#[case(10, 1)]
#[case(10, 10)]
#[case(30, 10)]
fn paused_instance_recovers_without_declaring_others_dead(
    #[case] nodes: usize,
    #[case] seconds: u64,
) {
    let report = run(nodes, 0, MemberDisturbance::Pause(Duration::from_secs(seconds)));
    // Each of the others may declare the paused instance dead, but not the reverse.
    assert!(report.false_deaths < nodes as u32);
    assert!(report.recovery < Duration::from_secs(seconds + 8));
}

/// Indirect probes must keep both ends of a link alive that loses all datagrams in one direction.
#[rstest]
fn one_way_cut_causes_no_death(#[values(3, 10, 30)] nodes: usize) {
    assert_eq!(run(nodes, 10, MemberDisturbance::OneWayCut).false_deaths, 0);
}

/// The halves declare each other dead and stop probing; afterwards they must rejoin through the
/// roster's addresses.
#[rstest]
fn partitioned_halves_rejoin_after_the_cut(#[values(4, 30)] nodes: usize) {
    let report = run(nodes, 0, MemberDisturbance::Split(Duration::from_secs(20)));
    assert!(report.false_deaths > 0);
    assert!(report.recovery < Duration::from_secs(35));
}

/// Guards against fencing when two of three instances cannot reach each other but the third reaches
/// both.
#[test]
fn instance_unreachable_for_one_peer_keeps_its_shards() {
    run_paused(async {
        let cluster = TestCluster::start(3).await;
        cluster.workspace("w", ServiceClass::Paying, 1_000_000).await;
        let program = cluster.start_program(0, "w").await;
        let owned = cluster.node(0).serving_shards();
        cluster.hub.set_link("i0", "i1", Some(LinkFault::Cut));
        for number in 1..=20 {
            let call = model_call(program, number, "x");
            answer_text(&outcome(cluster.node(0).submit(call).await).await);
            sleep(Duration::from_secs(1)).await;
        }
        assert_eq!(cluster.node(0).serving_shards(), owned);
        let members = cluster.node(1).member_list();
        assert!(members.iter().all(|member| member.incarnation <= 3), "nobody was fenced");
    });
}
