//! Release of engine memory after the end of programs.

mod support;

use std::rc::Rc;
use std::time::Duration;

use merlinsaddle::core::dispatch::ServiceClass;
use merlinsaddle::core::ids::ProgramId;
use merlinsaddle::node::peers::StartRequest;
use merlinsaddle::node::upstream::GenerateRequest;
use merlinsaddle::standin::{FaultSettings, StandinEngine};
use rstest::rstest;
use support::{
    TestCluster, answer_text, lose_replies, model_call, outage, outcome, run_paused, silence,
    wait_until,
};
use tokio::time::sleep;

/// Two sweep intervals; after the faults are over, all memory must be released within them.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(20);
/// Additional time for a takeover and the end of programs after an instance has died.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(10);

fn holds(engine: &StandinEngine, program: ProgramId) -> bool {
    engine.held().iter().any(|held| held.program == program)
}

fn no_memory_is_held(cluster: &TestCluster) -> bool {
    cluster.engines.iter().all(|engine| engine.held().is_empty())
}

fn set_faults(cluster: &TestCluster, faults: FaultSettings) {
    for engine in &cluster.engines {
        engine.faults.set(faults.clone());
    }
}

async fn run_programs(cluster: &Rc<TestCluster>, count: usize) -> Vec<ProgramId> {
    let (mut programs, mut calls) = (Vec::new(), Vec::new());
    for _ in 0..count {
        let program = cluster.start_program(0, "w").await;
        programs.push(program);
    }
    for program in &programs {
        calls.push(cluster.node(0).submit(model_call(*program, 1, "one")).await);
    }
    for call in calls {
        answer_text(&outcome(call).await);
    }
    assert!(!no_memory_is_held(cluster));
    programs
}

/// Guards against one engine that accepts connections but never answers blocking the release of
/// memory on all others.
#[test]
fn unresponsive_engine_does_not_delay_release_on_others() {
    run_paused(async {
        let cluster = TestCluster::start(2).await;
        cluster.workspace("w", ServiceClass::Paying, 1_000_000).await;
        let mut programs = run_programs(&cluster, 20).await;
        let used = cluster.engines.iter().position(|engine| !engine.held().is_empty());
        let used = used.expect("no engine was used");
        cluster.platform.update_roster(&format!("e{used}"), |entry| entry.leaving = true);
        sleep(Duration::from_secs(2)).await;
        programs.extend(run_programs(&cluster, 20).await);
        let unresponsive = &cluster.engines[used];
        unresponsive.faults.set(silence());
        for program in &programs {
            cluster.node(0).end_program(*program).await.expect("it ends");
        }
        sleep(Duration::from_secs(3)).await;
        let held = |engine: &&Rc<StandinEngine>| !engine.held().is_empty();
        assert_eq!(
            cluster.engines.iter().filter(held).count(),
            1,
            "engines holding memory 3 s after the end"
        );
        unresponsive.faults.set(FaultSettings::default());
        sleep(RELEASE_TIMEOUT).await;
        assert!(no_memory_is_held(&cluster), "{:?}", unresponsive.held());
    });
}

#[derive(Debug, Clone, Copy)]
enum Failure {
    EngineOutage,
    LostReplies,
    EngineRestart,
    StoreOutage,
    OwnerPartitioned,
    OwnerKilled,
    EngineOwnerKilled,
}

/// Guards against leaked memory if an engine, its replies, the store, the programs' owner or the
/// engines' owner fails while programs end.
#[rstest]
#[case::engine_outage(Failure::EngineOutage)]
#[case::lost_replies(Failure::LostReplies)]
#[case::engine_restart(Failure::EngineRestart)]
#[case::store_outage(Failure::StoreOutage)]
#[case::owner_partitioned(Failure::OwnerPartitioned)]
#[case::owner_killed(Failure::OwnerKilled)]
#[case::engine_owner_killed(Failure::EngineOwnerKilled)]
fn memory_is_released_after_a_failure_during_program_end(#[case] failure: Failure) {
    run_paused(async move {
        let cluster = TestCluster::start(3).await;
        cluster.workspace("w", ServiceClass::Paying, 1_000_000).await;
        let programs = run_programs(&cluster, 12).await;
        let owner = cluster.node(0);
        match failure {
            Failure::EngineOutage => set_faults(&cluster, outage()),
            Failure::LostReplies => set_faults(&cluster, lose_replies(20)),
            Failure::EngineRestart => cluster.engines.iter().for_each(|engine| engine.restart()),
            Failure::StoreOutage => cluster.platform.faults.set(outage()),
            _ => {}
        }
        for program in &programs {
            let (owner, program) = (owner.clone(), *program);
            actix_rt::spawn(async move { owner.end_program(program).await });
        }
        sleep(Duration::from_millis(20)).await;
        match failure {
            Failure::OwnerPartitioned => cluster.set_cut(0, true),
            Failure::OwnerKilled => cluster.kill(0),
            Failure::EngineOwnerKilled => cluster.kill(1),
            _ => {}
        }
        sleep(Duration::from_secs(15)).await;
        set_faults(&cluster, FaultSettings::default());
        cluster.platform.faults.set(FaultSettings::default());
        if matches!(failure, Failure::OwnerPartitioned) {
            cluster.set_cut(0, false);
        }
        sleep(TAKEOVER_TIMEOUT).await;
        for program in &programs {
            cluster.node(2).end_program(*program).await.expect("it ends");
        }
        sleep(RELEASE_TIMEOUT).await;
        assert!(no_memory_is_held(&cluster), "engine memory is still held");
    });
}

/// Guards against leaked memory if the owner dies during the first call: no record names the
/// engine, so only the sweep can find it.
#[test]
fn memory_of_an_unjournaled_call_is_swept() {
    run_paused(async {
        let cluster = TestCluster::start(3).await;
        cluster.workspace("w", ServiceClass::Paying, 1_000_000).await;
        let program = cluster.start_program(0, "w").await;
        let _ = cluster.node(0).submit(model_call(program, 1, "one")).await;
        sleep(Duration::from_millis(50)).await;
        cluster.kill(0);
        cluster.settled().await;
        sleep(TAKEOVER_TIMEOUT).await;
        assert!(cluster.engines.iter().any(|engine| holds(engine, program)));
        cluster.node(1).end_program(program).await.expect("it ends");
        sleep(RELEASE_TIMEOUT).await;
        assert!(no_memory_is_held(&cluster));
    });
}

/// Guards against leaked memory if an abandoned request reaches its engine after the release of
/// its program was confirmed.
#[test]
fn memory_of_a_request_delivered_after_release_is_released() {
    run_paused(async {
        let cluster = TestCluster::start(2).await;
        cluster.workspace("w", ServiceClass::Paying, 1_000_000).await;
        let program = run_programs(&cluster, 12).await[0];
        cluster.node(0).end_program(program).await.expect("it ends");
        wait_until(|| !cluster.engines.iter().any(|engine| holds(engine, program))).await;
        let late = GenerateRequest {
            request_id: "late".into(),
            incarnation: 1,
            attempt: 99,
            program,
            workspace: "w".into(),
            class: ServiceClass::Paying,
            prompt: vec!["late".into()],
            max_tokens: 5,
            resume_at: 0,
        };
        let _stream = cluster.engines[1].generate(&late).await.expect("it runs");
        wait_until(|| holds(&cluster.engines[1], program)).await;
        sleep(RELEASE_TIMEOUT).await;
        assert!(!holds(&cluster.engines[1], program));
    });
}

/// Guards against leaked memory of the children of an ended program and of programs idle for
/// longer than their definition allows.
#[rstest]
#[case::parent_ended(true)]
#[case::idle(false)]
fn memory_of_orphaned_and_idle_programs_is_released(#[case] parent_ends: bool) {
    run_paused(async move {
        let cluster = TestCluster::start(3).await;
        cluster.workspace("w", ServiceClass::Paying, 1_000_000).await;
        let parent = run_programs(&cluster, 12).await[0];
        let mut family = vec![parent];
        for index in 0..3 {
            let request = StartRequest {
                workspace: "w".into(),
                definition: "d".into(),
                start_key: None,
                parent: Some(parent),
            };
            let child = cluster.node(index).start_program(request).await.expect("it starts");
            let call = cluster.node(index).submit(model_call(child, 1, "child")).await;
            answer_text(&outcome(call).await);
            family.push(child);
        }
        if parent_ends {
            cluster.node(1).end_program(parent).await.expect("it ends");
        } else {
            sleep(Duration::from_secs(600)).await;
        }
        sleep(RELEASE_TIMEOUT).await;
        let holds_any = |program| cluster.engines.iter().any(|engine| holds(engine, program));
        assert!(!family.into_iter().any(holds_any));
    });
}
