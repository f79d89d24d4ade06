//! Gateway processes of which the coordinator is suspended while others claim its turns themselves.

mod gateway_process;
mod platform_standin;
mod workdir;

use std::time::Duration;

use futures_util::future::join_all;
use gateway_process::GatewayProcess;
use merlinsaddle::core::turns::coordinator;
use platform_standin::engine::EngineAct;
use platform_standin::http::Wire;
use platform_standin::{Deployment, TestGateway, budgeted_turn, route, wait_until};
use rstest::rstest;
use tokio::time::sleep;
use workdir::{logged_address, own_ip};

const INSTANCES: usize = 3;
/// Instances per coordinator: more than a test starts, so that all programs share one coordinator.
const COORDINATOR_SPAN: usize = 4;
const GOSSIP_PORT: u16 = 7201;
const PROGRAMS: usize = 24;
/// Turns of 6 tokens that the budget holds, each of which may generate 12.
const TURNS: usize = 6;
const BUDGET: u64 = 6 * (TURNS as u64 - 1) + 12;
/// Longer than claims wait for a coordinator.
const PAUSE: Duration = Duration::from_secs(1);

/// Starts instances that know each other; the first coordinates all programs.
async fn start_instances(store: &str) -> Vec<GatewayProcess> {
    let mut ips: Vec<String> = (0..INSTANCES).map(|_| own_ip()).collect();
    let names: Vec<String> = ips.iter().map(|ip| TestGateway::instance(ip)).collect();
    let chosen = coordinator("p", COORDINATOR_SPAN, names.iter().map(|name| &**name));
    let chosen = chosen.expect("there are some").to_owned();
    ips.sort_by_key(|ip| TestGateway::instance(ip) != chosen);
    let mut processes: Vec<GatewayProcess> = Vec::new();
    for ip in &ips {
        let seed = processes.first().map(|first| logged_address(&first.log(), "peer_address="));
        let seeds: Vec<&str> = seed.as_deref().into_iter().collect();
        processes.push(GatewayProcess::start(ip, GOSSIP_PORT, store, &seeds).await);
    }
    for (process, own) in processes.iter().zip(&ips) {
        for ip in ips.iter().filter(|ip| *ip != own) {
            let known =
                format!("event=member_changed member={} state=alive", TestGateway::instance(ip));
            wait_until("they know each other", async || process.log().contains(&known)).await;
        }
    }
    processes
}

/// Sends a turn of a program and returns the status of its answer and whether that is whole.
async fn send_turn(address: &str, program: usize, number: usize) -> (u16, bool) {
    let previous = number.checked_sub(1).map(|last| format!("t{program}-{last}"));
    let id = format!("t{program}-{number}");
    let turn = budgeted_turn(&id, &format!("p{program}"), previous.as_deref(), "x", BUDGET);
    let turn = turn.replace("Token-Usage: 10,6", "Token-Usage: 10,12");
    let mut wire = Wire::connect(address).await;
    assert!(wire.send(turn.as_bytes()).await);
    let answer = wire.read_message(true).await.expect("an answer");
    (answer.status(), answer.whole)
}

/// Sends one turn of each program at once, to the instances that are not suspended.
async fn send_turns(processes: &[GatewayProcess], number: usize) -> Vec<(u16, bool)> {
    join_all((0..PROGRAMS).map(|program| {
        let address = &processes[1 + (program + number) % (INSTANCES - 1)].callers;
        send_turn(address, program, number)
    }))
    .await
}

/// Guards against a coordinator that resumes and reserves turns again that others have claimed and ended
/// meanwhile, so that their tokens count twice.
#[rstest]
#[actix_rt::test]
async fn resumed_coordinator_reserves_no_turn_that_was_taken_over(
    #[values(true, false)] has_history: bool,
    #[values(false, true)] is_interrupted: bool,
) {
    let deployment = Deployment::start(0, 1).await;
    let mut turn = route("turn", "stream");
    turn["retained"] = has_history.into();
    turn["retain-s"] = 60.into();
    deployment.set_routes(2, &[turn]);
    let processes = start_instances(&deployment.store_address).await;
    let served = vec![(200, true); PROGRAMS];
    assert_eq!(send_turns(&processes, 0).await, served);
    processes[0].signal("-STOP");
    wait_until("it is suspended", async || processes[0].is_suspended()).await;
    assert_eq!(send_turns(&processes, 1).await, served);
    // The next reservation settles a turn that has a record.
    assert_eq!(send_turns(&processes, 2).await, served);
    let taken_over = processes.iter().any(|process| process.log().contains("path=/claim"));
    assert!(taken_over, "claims wait for the coordinator");
    if is_interrupted {
        // A turn without a record, of which the callers get 2 tokens.
        for _ in 0..PROGRAMS {
            deployment.engines[0].act(EngineAct::CutAfter(1));
        }
        let interrupted = send_interrupted(&processes).await;
        assert_eq!(interrupted, vec![(200, false); PROGRAMS]);
    }
    sleep(PAUSE).await;
    processes[0].signal("-CONT");
    // It reads what has come meanwhile.
    sleep(PAUSE).await;
    // What an interrupted turn has used takes the place of one of the others.
    let rest = TURNS - usize::from(is_interrupted);
    for number in 3..rest {
        assert_eq!(send_turns(&processes, number).await, served, "turn {number}");
    }
    assert_eq!(send_turns(&processes, rest).await, vec![(402, true); PROGRAMS]);
    let runs = rest + usize::from(is_interrupted);
    assert_eq!(deployment.runs().len(), runs * PROGRAMS);
}

/// Sends a turn of each program whose stream is cut after its first event.
async fn send_interrupted(processes: &[GatewayProcess]) -> Vec<(u16, bool)> {
    join_all((0..PROGRAMS).map(|program| async move {
        let address = &processes[1 + program % (INSTANCES - 1)].callers;
        let previous = format!("t{program}-2");
        let (id, name) = (format!("i{program}"), format!("p{program}"));
        let turn = budgeted_turn(&id, &name, Some(&previous), "x", BUDGET);
        let turn = turn.replace("Token-Usage: 10,6", "Token-Usage: 10,12");
        let mut wire = Wire::connect(address).await;
        assert!(wire.send(turn.as_bytes()).await);
        let answer = wire.read_message(true).await.expect("an answer");
        (answer.status(), answer.whole)
    }))
    .await
}
