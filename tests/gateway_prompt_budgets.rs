//! Token budgets on routes without stored history.

mod platform_standin;

use std::time::Duration;

use futures_util::future::join_all;
use merlinsaddle::core::turns::coordinator;
use platform_standin::engine::EngineAct;
use platform_standin::http::Wire;
use platform_standin::store::StoreFault;
use platform_standin::{Deployment, TestGateway, alone, budgeted_turn, route, wait_until};
use serde_json::{Value, json};

/// Instances per coordinator: more than a test starts, so that all programs share one coordinator.
const COORDINATOR_SPAN: usize = 4;

/// The route of turns stores no history and sets a retention for ledgers.
async fn deployment(gateways: usize, own: &Value) -> Deployment {
    let mut deployment = Deployment::start(0, 1).await;
    deployment.set_routes(2, &[prompt_route()]);
    let store = deployment.store_address.clone();
    for number in 0..gateways {
        deployment.add_gateway_at(&format!("127.0.0.{}", number + 2), &store, own).await;
    }
    deployment
}

fn prompt_route() -> Value {
    let mut turn = route("turn", "stream");
    turn["retained"] = false.into();
    turn["retain-s"] = 60.into();
    turn
}

async fn spend(gateway: &TestGateway, id: &str, budget: u64) -> u16 {
    gateway.call(&budgeted_turn(id, "p", None, "x", budget)).await.status()
}

fn ledger_writes(deployment: &Deployment) -> usize {
    let transactions = deployment.store.transactions();
    transactions.iter().filter(|keys| keys.iter().any(|key| key.contains("ledger"))).count()
}

/// Guards against budgets that are enforced only where the history is stored.
#[rstest::rstest]
#[case::coordinated(json!({}))]
#[case::alone(alone())]
#[actix_rt::test]
async fn budget_is_enforced_without_history(#[case] own: Value) {
    let deployment = deployment(2, &own).await;
    deployment.all_named().await;
    assert_eq!(spend(&deployment.gateways[0], "t1", 13).await, 200);
    assert_eq!(spend(&deployment.gateways[1], "t2", 13).await, 200);
    assert_eq!(spend(&deployment.gateways[0], "t3", 13).await, 402);
    assert_eq!(spend(&deployment.gateways[1], "t4", 13).await, 402);
    assert_eq!(deployment.runs().len(), 2);
    assert!(deployment.store.values("programs", "t/").is_empty(), "no history is stored");
}

/// Guards against more ledger writes than a reservation and a settlement for each turn, and against a
/// settlement that is written by itself though the program's next reservation can state it.
#[rstest::rstest]
#[case::alone(1, 10)]
#[case::coordinated(2, 6)]
#[actix_rt::test]
async fn turns_write_their_ledger_as_rarely_as_they_can(
    #[case] gateways: usize,
    #[case] max_writes: usize,
) {
    let mut deployment = deployment(gateways, &json!({})).await;
    deployment.all_named().await;
    with_coordinator(&mut deployment, |gateways, at| gateways.rotate_left(at + 1));
    for number in 0..5 {
        assert_eq!(spend(deployment.gateway(), &format!("t{number}"), 1_000).await, 200);
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let writes = ledger_writes(&deployment);
    assert!((5..=max_writes).contains(&writes), "{writes} writes");
}

/// Finds the instance that coordinates all programs and applies `place` to it.
fn with_coordinator<T>(
    deployment: &mut Deployment,
    place: impl FnOnce(&mut Vec<TestGateway>, usize) -> T,
) -> T {
    let instances = deployment.gateways.iter().map(|gateway| &*gateway.settings.instance);
    let chosen = coordinator("p", COORDINATOR_SPAN, instances).expect("there are some").to_owned();
    let at = deployment.gateways.iter().position(|gateway| *gateway.settings.instance == *chosen);
    place(&mut deployment.gateways, at.expect("it is one of them"))
}

/// A turn that generates 6 tokens of the 12 that it may.
fn modest_turn(id: &str, program: &str, budget: u64) -> String {
    budgeted_turn(id, program, None, "x", budget).replace("Token-Usage: 10,6", "Token-Usage: 10,12")
}

/// Guards against a coordinator whose end takes tokens from its programs: what it reserved ahead, or the
/// rest of the maximum of turns that ended whole at other instances.
#[rstest::rstest]
#[case::killed_between_turns(true, Duration::ZERO)]
#[case::killed_during_turns(true, Duration::from_millis(100))]
#[case::stopped_between_turns(false, Duration::ZERO)]
#[case::stopped_during_turns(false, Duration::from_millis(100))]
#[actix_rt::test]
async fn end_of_a_coordinator_takes_no_tokens(#[case] is_killed: bool, #[case] pace: Duration) {
    const PROGRAMS: usize = 12;
    // After four turns of 6 tokens it does not hold the 12 that the next one may generate.
    const BUDGET: u64 = 30;
    let mut deployment = deployment(3, &json!({})).await;
    deployment.all_named().await;
    let mut former = with_coordinator(&mut deployment, |gateways, at| gateways.swap_remove(at));
    let engine = &deployment.engines[0];
    let gateways = &deployment.gateways;
    let play = |turns: std::ops::Range<usize>| {
        join_all((0..PROGRAMS).map(move |program| {
            let turns = turns.clone();
            async move {
                let mut statuses = Vec::new();
                for number in turns {
                    let id = format!("t{program}-{number}");
                    let turn = modest_turn(&id, &format!("p{program}"), BUDGET);
                    let answer = gateways[(program + number) % 2].call(&turn).await;
                    statuses.push((answer.status(), answer.whole));
                }
                statuses
            }
        }))
    };
    assert_eq!(play(0..1).await, vec![vec![(200, true)]; PROGRAMS]);
    for _ in 0..PROGRAMS {
        engine.act(EngineAct::Paced(pace));
    }
    let second = actix_rt::spawn(join_all((0..PROGRAMS).map(|program| {
        let turn = modest_turn(&format!("t{program}-1"), &format!("p{program}"), BUDGET);
        gateways[program % 2].call_later(&turn)
    })));
    wait_until("they run", async || deployment.runs().len() == 2 * PROGRAMS).await;
    if pace.is_zero() {
        // Their settlements are written.
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    if is_killed {
        former.kill().await;
    } else {
        former.begin_stop();
    }
    for answer in second.await.expect("they end") {
        let answer = answer.expect("a response arrives");
        assert_eq!((answer.status(), answer.whole), (200, true));
    }
    let refused = (402, true);
    let expected = vec![vec![(200, true), (200, true), refused]; PROGRAMS];
    assert_eq!(play(2..5).await, expected);
    assert_eq!(deployment.runs().len(), 4 * PROGRAMS);
    if !is_killed {
        former.join().await;
    }
}

/// Guards against an instance whose end takes tokens of turns that it served whole.
#[actix_rt::test]
async fn turn_is_settled_when_its_caller_has_the_end() {
    for round in 0..6 {
        let mut deployment = deployment(1, &json!({})).await;
        let turn = modest_turn("t1", "p", 18);
        let answer = deployment.gateway().call(&turn).await;
        assert_eq!((answer.status(), answer.whole), (200, true));
        deployment.gateways.remove(0).kill().await;
        deployment.add_gateway(0).await;
        let statuses = [
            deployment.gateway().call(&modest_turn("t2", "p", 18)).await.status(),
            deployment.gateway().call(&modest_turn("t3", "p", 18)).await.status(),
        ];
        assert_eq!(statuses, [200, 402], "round {round}");
    }
}

/// Guards against a refusal right after a turn ended, whose settlement is on its way between instances.
#[rstest::rstest]
#[case::coordinated(json!({}))]
#[case::alone(alone())]
#[actix_rt::test]
async fn next_turn_at_another_instance_finds_the_tokens_of_the_last(#[case] own: Value) {
    let deployment = deployment(3, &own).await;
    deployment.all_named().await;
    for program in 0..8 {
        let mut statuses = Vec::new();
        for number in 0..4 {
            let id = format!("t{program}-{number}");
            let turn = modest_turn(&id, &format!("p{program}"), 24);
            let gateway = &deployment.gateways[(program + number) % 3];
            statuses.push(gateway.call(&turn).await.status());
        }
        assert_eq!(statuses, [200, 200, 200, 402], "program {program}");
    }
}

/// Guards against spent tokens that are counted only in memory.
#[actix_rt::test]
async fn spent_tokens_survive_a_restart() {
    let mut deployment = deployment(1, &json!({})).await;
    assert_eq!(spend(deployment.gateway(), "t1", 13).await, 200);
    assert_eq!(spend(deployment.gateway(), "t2", 13).await, 200);
    let mut former = deployment.gateways.remove(0);
    former.kill().await;
    deployment.add_gateway(0).await;
    assert_eq!(spend(deployment.gateway(), "t3", 13).await, 402);
    assert_eq!(deployment.runs().len(), 2);
}

/// Claims a turn as a peer does whose admission rejects new programs.
async fn claim_if_known(gateway: &TestGateway, program: &str) -> String {
    let claim = json!({
        "program": program, "turn": "t2", "previous": null, "most": 6, "budget": 1_000,
        "retention": { "secs": 60, "nanos": 0 }, "scope": "tokens", "only_known": true,
        "reads_store": true,
    });
    let body = format!("{}\n", json!({ "claim": claim, "knows_chain": true, "limit_ms": 2_000 }));
    let head = format!("POST /claim HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n", body.len());
    let mut wire = Wire::connect(&gateway.settings.peer_address).await;
    wire.send((head + &body).as_bytes()).await;
    let answer = wire.read_message(true).await.expect("a response arrives");
    String::from_utf8_lossy(&answer.body).trim().into()
}

/// Guards against a coordinator that has just started and takes a program under way for a new one.
#[actix_rt::test]
async fn programs_under_way_are_known_after_a_restart() {
    let mut deployment = deployment(1, &json!({})).await;
    assert_eq!(spend(deployment.gateway(), "t1", 1_000).await, 200);
    let mut former = deployment.gateways.remove(0);
    former.kill().await;
    deployment.add_gateway(0).await;
    assert_eq!(claim_if_known(deployment.gateway(), "other").await, "\"not_admitted\"");
    let reply = claim_if_known(deployment.gateway(), "p").await;
    assert!(reply.starts_with("{\"granted\""), "{reply}");
}

/// Guards against a shutdown that leaves tokens of ended turns reserved.
#[actix_rt::test]
async fn shutdown_leaves_no_tokens_reserved() {
    let mut deployment = deployment(1, &json!({})).await;
    assert_eq!(spend(deployment.gateway(), "t1", 24).await, 200);
    let mut former = deployment.gateways.remove(0);
    assert!(former.stop().await);
    deployment.add_gateway(0).await;
    for id in ["t2", "t3", "t4"] {
        assert_eq!(spend(deployment.gateway(), id, 24).await, 200);
    }
    assert_eq!(spend(deployment.gateway(), "t5", 24).await, 402);
}

/// Guards against an interrupted turn that is not charged, or charged for its maximum.
#[actix_rt::test]
async fn interrupted_turn_is_charged_for_sent_tokens() {
    let deployment = deployment(1, &json!({})).await;
    deployment.engines[0].act(EngineAct::CutAfter(1));
    let interrupted = deployment.gateway().call(&budgeted_turn("t1", "p", None, "x", 14)).await;
    assert_eq!((interrupted.status(), interrupted.whole), (200, false));
    for id in ["t2", "t3"] {
        wait_until("the unused tokens are released", async || {
            let before = deployment.runs().len();
            spend(deployment.gateway(), id, 14).await == 200 && deployment.runs().len() > before
        })
        .await;
    }
    assert_eq!(spend(deployment.gateway(), "t4", 14).await, 402);
}

/// Guards against a cold prefix cache whenever the next turn arrives at another instance.
#[actix_rt::test]
async fn turns_stay_at_their_engine_across_instances() {
    let mut deployment = deployment(3, &json!({})).await;
    deployment.all_named().await;
    for number in 0..6 {
        let engine = platform_standin::engine::StandinEngine::default();
        let address = engine.start("127.0.0.1").await;
        deployment.list_engine(&format!("more-{number}"), &address, "ready");
        deployment.engines.push(engine);
    }
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    for number in 0..12 {
        let turn = budgeted_turn(&format!("t{number}"), "p", None, "x", 1_000).replace(
            "Merlinsaddle-Token-Usage",
            "Merlinsaddle-Session-Id: s\r\nMerlinsaddle-Prompt-Prefix: a:2560,b:1000\r\n\
             Merlinsaddle-Token-Usage",
        );
        assert_eq!(deployment.gateways[number % 3].call(&turn).await.status(), 200);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let used = deployment.engines.iter().filter(|engine| !engine.runs().is_empty());
    assert_eq!(used.count(), 1);
}

/// Guards against tokens that stay reserved by an instance that no longer coordinates their program.
#[actix_rt::test]
async fn no_tokens_stay_reserved_when_the_coordinator_changes() {
    let mut deployment = deployment(2, &json!({})).await;
    deployment.all_named().await;
    for number in 0..8 {
        let turn = budgeted_turn(&format!("t{number}"), &format!("p{number}"), None, "x", 18);
        assert_eq!(deployment.gateways[0].call(&turn).await.status(), 200);
    }
    for gateway in &mut deployment.gateways {
        gateway.begin_stop();
    }
    wait_until("all turns are settled", async || {
        let ledgers = deployment.store.values("programs", "ledger");
        ledgers
            .iter()
            .all(|ledger| String::from_utf8_lossy(ledger).starts_with("{\"s\":6,\"o\":{}"))
    })
    .await;
    for gateway in &mut deployment.gateways {
        gateway.join().await;
    }
}

/// Asks a coordinator, as a peer that rejected the program, for a turn of a known program.
async fn claim_known(gateway: &TestGateway, program: &str, reads_store: bool) -> String {
    let claim = json!({
        "program": program, "turn": "late", "previous": null, "most": 6, "budget": 1_000,
        "retention": { "secs": 60, "nanos": 0 }, "scope": "tokens", "only_known": true,
        "reads_store": reads_store
    });
    let head = json!({ "claim": claim, "knows_chain": true, "limit_ms": 2_000 }).to_string();
    let mut wire = Wire::connect(&gateway.settings.peer_address).await;
    let length = head.len() + 1;
    wire.send(
        format!("POST /claim HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n\r\n{head}\n")
            .as_bytes(),
    )
    .await;
    wire.read_message(true).await.expect("a response").text().trim().to_owned()
}

fn reads(deployment: &Deployment, program: &str) -> usize {
    deployment.store.calls_with(&format!("table=programs&part={program}"))
}

/// Guards against programs under way that are refused after their coordinator changed, and against
/// reads of the store where load is not shared, or long after the change.
#[actix_rt::test]
async fn new_coordinator_reads_the_ledgers_of_programs_under_way() {
    let mut deployment = deployment(1, &json!({})).await;
    for program in ["p0", "p1", "p2"] {
        let turn = budgeted_turn(&format!("t-{program}"), program, None, "x", 1_000);
        assert_eq!(deployment.gateway().call(&turn).await.status(), 200);
    }
    deployment.gateways.remove(0).kill().await;
    deployment.add_gateway(0).await;
    let gateway = deployment.gateway();
    assert_eq!(claim_known(gateway, "p0", false).await, "\"not_admitted\"");
    assert_eq!(reads(&deployment, "p0"), 0);
    let granted = claim_known(gateway, "p1", true).await;
    assert!(granted.starts_with("{\"granted\""), "{granted}");
    tokio::time::sleep(Duration::from_millis(5_500)).await;
    assert_eq!(claim_known(gateway, "p2", true).await, "\"not_admitted\"");
    assert_eq!(reads(&deployment, "p2"), 0);
}

/// Guards against an overload in which each refused first turn and retry reads the store, and against
/// refusals that wait for a slow or failing store.
#[actix_rt::test]
async fn refused_programs_cause_few_reads_and_no_waits() {
    let deployment = deployment(1, &json!({})).await;
    let gateway = deployment.gateway();
    deployment.store.set_fault(StoreFault::Slow(Duration::from_millis(40)));
    let equal = join_all((0..10).map(|_| claim_known(gateway, "same", true))).await;
    assert!(equal.iter().all(|reply| reply == "\"not_admitted\""), "{equal:?}");
    claim_known(gateway, "same", true).await;
    assert_eq!(reads(&deployment, "same"), 1);
    let names: Vec<String> = (0..20).map(|number| format!("other{number}")).collect();
    join_all(names.iter().map(|name| claim_known(gateway, name, true))).await;
    let others = reads(&deployment, "other");
    assert!((1..=4).contains(&others), "{others} reads at once");
    for (fault, name) in [(StoreFault::Silent, "silent"), (StoreFault::Busy, "busy")] {
        deployment.store.set_fault(fault);
        let begun = tokio::time::Instant::now();
        assert_eq!(claim_known(gateway, name, true).await, "\"not_admitted\"");
        assert!(begun.elapsed() < Duration::from_millis(300), "{:?}", begun.elapsed());
    }
    deployment.store.set_fault(StoreFault::None);
}

async fn admitted_programs(deployment: &Deployment) -> f64 {
    let mut admitted = 0.0;
    for gateway in &deployment.gateways {
        let mut wire = Wire::connect(&gateway.settings.peer_address).await;
        wire.send(b"GET /metrics HTTP/1.1\r\nhost: x\r\n\r\n").await;
        let text = wire.read_message(true).await.expect("a response").text();
        let is_count =
            |line: &&str| line.starts_with("gateway_programs") && line.contains("admitted");
        let counts = text.lines().filter(is_count).filter_map(|line| line.rsplit(' ').next());
        admitted += counts.filter_map(|count| count.parse::<f64>().ok()).sum::<f64>();
    }
    admitted
}

/// Guards against turns that count as new programs because the first turn still runs or because the
/// program's coordinator changed.
#[actix_rt::test]
async fn a_program_is_admitted_once_for_all_its_turns() {
    let mut deployment = deployment(2, &json!({})).await;
    deployment.all_named().await;
    deployment.engines[0].act(EngineAct::Slow(Duration::from_millis(500)));
    let first = deployment.gateways[0].call_later(&budgeted_turn("t0", "p", None, "x", 1_000));
    wait_until("it runs", async || deployment.runs().len() == 1).await;
    for number in 1..4 {
        let (gateway, id) = (&deployment.gateways[number % 2], format!("t{number}"));
        assert_eq!(spend(gateway, &id, 1_000).await, 200);
    }
    assert_eq!(first.await.expect("it ends").status(), 200);
    assert_eq!(admitted_programs(&deployment).await, 1.0);
    for mut gateway in deployment.gateways.drain(..) {
        gateway.kill().await;
    }
    deployment.add_gateway(0).await;
    assert_eq!(spend(deployment.gateway(), "t4", 1_000).await, 200);
    assert_eq!(admitted_programs(&deployment).await, 0.0);
    assert_eq!(
        deployment.gateway().call(&budgeted_turn("u", "q", None, "x", 9)).await.status(),
        200
    );
    assert_eq!(admitted_programs(&deployment).await, 1.0);
}
