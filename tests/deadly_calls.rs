//! Model calls under which engines restart, and callers that submit them again.

mod support;

use std::rc::Rc;
use std::time::Duration;

use merlinsaddle::core::dispatch::ServiceClass;
use merlinsaddle::core::outcome::{CallOutcome, UnknownCall};
use support::{TestCluster, answer_text, model_call, outcome, run_paused, wait_until};
use tokio::time::sleep;

/// Engines that may be lost under the same call.
const MAX_LOSSES: u64 = 3;
const RETURN_DELAY: Duration = Duration::from_millis(500);

/// Restarts each engine that gets a call, at most `count` times in all.
fn restart_engines(cluster: &Rc<TestCluster>, mut count: u64) {
    let cluster = cluster.clone();
    let mut seen: Vec<u64> = cluster.engines.iter().map(|engine| engine.calls()).collect();
    actix_rt::spawn(async move {
        while count > 0 {
            for (engine, seen) in cluster.engines.iter().zip(&mut seen) {
                if engine.calls() > *seen && count > 0 {
                    *seen = engine.calls();
                    sleep(Duration::from_millis(3)).await;
                    engine.restart();
                    count -= 1;
                }
            }
            sleep(Duration::from_millis(1)).await;
        }
    });
}

fn engine_calls(cluster: &TestCluster) -> u64 {
    cluster.engines.iter().map(|engine| engine.calls()).sum()
}

/// Guards against a caller whose each submission ends further engines.
#[test]
fn resubmitted_call_loses_at_most_three_engines() {
    run_paused(async {
        let cluster = TestCluster::start(2).await;
        cluster.workspace("w", ServiceClass::Paying, 1_000_000).await;
        let program = cluster.start_program(0, "w").await;
        restart_engines(&cluster, u64::MAX);
        let mut last = None;
        for _ in 0..5 {
            let request = model_call(program, 1, "deadly");
            last = Some(outcome(cluster.node(0).submit(request).await).await);
            sleep(RETURN_DELAY).await;
        }
        assert_eq!(engine_calls(&cluster), MAX_LOSSES);
        let stopped =
            matches!(last, Some(CallOutcome::Unknown(UnknownCall { retryable: false, .. })));
        assert!(stopped, "{last:?}");
    });
}

/// Guards against stopping a call that lost two engines by chance, or others after it.
#[test]
fn call_is_answered_after_two_engines_were_lost() {
    run_paused(async {
        let cluster = TestCluster::start(2).await;
        cluster.workspace("w", ServiceClass::Paying, 1_000_000).await;
        let program = cluster.start_program(0, "w").await;
        restart_engines(&cluster, 2);
        for (number, input) in [(1, "unlucky"), (2, "next")] {
            let request = model_call(program, number, input);
            let answer = outcome(cluster.node(0).submit(request).await).await;
            assert!(!answer_text(&answer).is_empty());
        }
        wait_until(|| engine_calls(&cluster) == 4).await;
    });
}
