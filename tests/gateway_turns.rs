//! Turns over several instances: history, budgets, and what the store's faults do to them.

mod platform_standin;

use std::time::Duration;

use platform_standin::engine::EngineAct;
use platform_standin::store::StoreFault;
use platform_standin::{Deployment, TestGateway, budgeted_turn, turn, wait_until};

/// A ledger's text without the time it is kept until.
fn spent_part(ledger: &[u8]) -> String {
    let text = String::from_utf8_lossy(ledger).into_owned();
    text.split(",\"k\"").next().unwrap_or_default().to_owned()
}

/// What the engine is sent for a turn after `first`, by the stand-in's answer of three events.
fn chained(first: &str, next: &str) -> String {
    format!("{first}w1\nw2\nw3\n{next}")
}

#[actix_rt::test]
async fn another_instance_goes_on_from_a_turn() {
    let deployment = Deployment::start(2, 1).await;
    let first = deployment.gateways[0].call(&turn("t1", "p", None, "one ")).await;
    assert_eq!((first.status(), first.whole), (200, true));
    let second = deployment.gateways[1].call(&turn("t2", "p", Some("t1"), "two ")).await;
    assert_eq!((second.status(), second.whole), (200, true));
    let bodies: Vec<String> = deployment.runs().iter().map(|run| run.text()).collect();
    assert_eq!(bodies, ["one ".to_owned(), chained("one ", "two ")]);
}

/// A program's turns come to three instances by turns. All of them meet at one, which has the chain
/// and the ledger in memory: the store is asked for the program once, not at every turn.
#[actix_rt::test]
async fn turns_of_a_program_meet_at_one_instance() {
    let deployment = Deployment::start(3, 1).await;
    wait_until("all know each other", async || {
        for gateway in &deployment.gateways {
            if gateway.named().await.len() < 3 {
                return false;
            }
        }
        true
    })
    .await;
    let mut history = String::new();
    for number in 0..9 {
        let previous = (number > 0).then(|| format!("t{}", number - 1));
        let request = turn(&format!("t{number}"), "p", previous.as_deref(), "x ");
        let answer = deployment.gateways[number % 3].call(&request).await;
        assert_eq!((answer.status(), answer.whole), (200, true));
        assert_eq!(deployment.runs()[number].text(), format!("{history}x "));
        history = chained(&format!("{history}x "), "");
    }
    let reads = deployment.store.calls_with("table=programs&part=p");
    assert!(reads <= 1, "the program was read {reads} times");
}

/// Each of three instances is killed in turn, one of them the one at which the program's turns meet,
/// while a turn of another instance is at the engine. Every turn is answered whole, nothing runs
/// twice, and the budget counts each turn once.
#[actix_rt::test]
async fn a_killed_coordinator_costs_no_turn() {
    let mut deployment = Deployment::start(3, 1).await;
    let mut previous: Option<String> = None;
    let mut runs = 0;
    for victim in 0..3 {
        let other = (victim + 1) % 3;
        for round in 0..3 {
            let id = format!("t{victim}{round}");
            deployment.engines[0].act(EngineAct::Paced(Duration::from_millis(80)));
            let request = budgeted_turn(&id, "p", previous.as_deref(), "x", 54);
            let address = deployment.gateways[other].settings.caller_address.clone();
            let call =
                actix_rt::spawn(async move { platform_standin::call_at(&address, &request).await });
            wait_until("it runs", async || deployment.runs().len() > runs).await;
            if round == 1 {
                deployment.gateways[victim].kill().await;
            }
            let answer = call.await.expect("it ends");
            runs += 1;
            assert_eq!((answer.status(), answer.whole), (200, true), "{id}");
            assert_eq!(deployment.runs().len(), runs);
            previous = Some(id);
        }
        let fresh = format!("127.0.0.{}", 20 + victim);
        let seeds = [&deployment.gateways[other]];
        let port = seeds[0].settings.gossip_port;
        let fresh = TestGateway::start(&fresh, &deployment.store_address, port, &seeds);
        fresh.ready().await;
        deployment.gateways[victim] = fresh;
    }
    // Nine turns of six tokens are all that the budget holds.
    let spent = budgeted_turn("t9", "p", previous.as_deref(), "x", 54);
    assert_eq!(deployment.gateways[0].call(&spent).await.status(), 402);
    assert_eq!(deployment.runs().len(), runs);
}

/// Both instances are killed as soon as the caller has the whole answer. A new instance that has
/// never seen the program is asked for the next turn: the history must be in the store by then.
#[actix_rt::test]
async fn history_outlives_all_instances() {
    let mut deployment = Deployment::start(2, 1).await;
    deployment.gateways[0].call(&turn("t1", "p", None, "one ")).await;
    for gateway in &mut deployment.gateways {
        gateway.kill().await;
    }
    deployment.gateways.clear();
    deployment.add_gateway(7).await;
    let next = deployment.gateway().call(&turn("t2", "p", Some("t1"), "two ")).await;
    assert_eq!(next.status(), 200);
    assert_eq!(deployment.runs()[1].text(), chained("one ", "two "));
}

/// A new program goes on from what another program said, on an instance that knows neither. The
/// turn lies in the other program's part of the store, which its id does not tell.
#[actix_rt::test]
async fn a_program_goes_on_from_another_programs_turn() {
    let deployment = Deployment::start(2, 1).await;
    deployment.gateways[0].call(&turn("t1", "p", None, "one ")).await;
    deployment.gateways[0].call(&turn("t2", "p", Some("t1"), "two ")).await;
    let next = deployment.gateways[1].call(&turn("t3", "other", Some("t2"), "three ")).await;
    assert_eq!(next.status(), 200);
    let history = chained(&chained("one ", "two "), "three ");
    assert_eq!(deployment.runs()[2].text(), history);
    // And on from there: the chain now spans two programs.
    let last = deployment.gateways[0].call(&turn("t4", "other", Some("t3"), "four ")).await;
    assert_eq!(last.status(), 200);
    assert_eq!(deployment.runs()[3].text(), chained(&history, "four "));
}

#[actix_rt::test]
async fn an_unknown_turn_is_not_found_and_runs_nowhere() {
    let deployment = Deployment::start(1, 1).await;
    let answer = deployment.gateway().call(&turn("t1", "p", Some("never"), "x")).await;
    assert_eq!(answer.status(), 404);
    assert!(deployment.runs().is_empty());
}

/// The budget holds two turns of 6 tokens. They run on different instances, each of which alone
/// would have room for the third.
#[actix_rt::test]
async fn a_budget_holds_over_instances() {
    let deployment = Deployment::start(2, 1).await;
    let spend = async |gateway: usize, id: &str| {
        let request = budgeted_turn(id, "p", None, "x", 13);
        deployment.gateways[gateway].call(&request).await.status()
    };
    assert_eq!(spend(0, "t1").await, 200);
    assert_eq!(spend(1, "t2").await, 200);
    assert_eq!(spend(0, "t3").await, 402);
    assert_eq!(spend(1, "t4").await, 402);
    assert_eq!(deployment.runs().len(), 2);
}

/// The engine cuts its stream after one event of two tokens. The caller sees an incomplete answer,
/// and the program pays for the two tokens that were passed on, not for the six it had set aside.
#[actix_rt::test]
async fn a_torn_turn_pays_for_what_was_passed_on() {
    let deployment = Deployment::start(1, 1).await;
    deployment.engines[0].act(EngineAct::CutAfter(1));
    let torn = deployment.gateway().call(&budgeted_turn("t1", "p", None, "x", 8)).await;
    assert_eq!((torn.status(), torn.whole), (200, false));
    wait_until("the unused tokens return", async || {
        let ledger = deployment.store.values("programs", "ledger");
        ledger.len() == 1 && !String::from_utf8_lossy(&ledger[0]).contains("t1")
    })
    .await;
    let next = deployment.gateway().call(&budgeted_turn("t2", "p", None, "x", 8)).await;
    assert_eq!((next.status(), next.whole), (200, true));
    assert_eq!(deployment.store.values("programs", "t/").len(), 1, "the torn turn is not kept");
}

/// The store takes the reservation or the settlement and its reply is lost. The caller must get
/// its whole answer from one run, and the ledger must count the turn once.
#[rstest::rstest]
#[case::reservation(1)]
#[case::settlement(2)]
#[actix_rt::test]
async fn a_lost_reply_changes_nothing(#[case] lost: u32) {
    let deployment = Deployment::start(1, 1).await;
    if lost == 2 {
        // The first write passes; the fault begins while the engine answers.
        deployment.engines[0].act(EngineAct::Paced(Duration::from_millis(100)));
    } else {
        deployment.store.set_fault(StoreFault::LoseWrites(1));
    }
    let gateway = deployment.gateway();
    let request = budgeted_turn("t1", "p", None, "x", 6);
    let call = gateway.call(&request);
    let fault = async {
        if lost == 2 {
            wait_until("the turn runs", async || deployment.runs().len() == 1).await;
            deployment.store.set_fault(StoreFault::LoseWrites(1));
        }
    };
    let (answer, ()) = futures_util::join!(call, fault);
    assert_eq!((answer.status(), answer.whole), (200, true));
    assert_eq!(deployment.runs().len(), 1);
    // What the turn used stands in its record; the next turn's reservation counts it.
    let next = gateway.call(&budgeted_turn("t2", "p", None, "x", 12)).await;
    assert_eq!((next.status(), next.whole), (200, true));
    let ledger = deployment.store.values("programs", "ledger");
    let ledger = String::from_utf8_lossy(&ledger[0]).into_owned();
    assert!(ledger.starts_with(r#"{"s":6,"o":{"t2":6},"#), "{ledger}");
}

/// The store does not answer at all. Nothing can be made durable, so the turn is refused before it
/// reaches an engine, with a time to come back; when the store returns it is served.
#[rstest::rstest]
#[case::busy(StoreFault::Busy)]
#[case::silent(StoreFault::Silent)]
#[actix_rt::test]
async fn turns_are_refused_unrun_while_the_store_is_away(#[case] fault: StoreFault) {
    let deployment = Deployment::start(1, 1).await;
    deployment.store.set_fault(fault);
    let refused = deployment.gateway().call(&turn("t1", "p", None, "x")).await;
    assert_eq!(refused.status(), 503);
    let wait: f64 = refused.header("retry-after").parse().expect("a time to come back");
    assert!(wait > 0.0);
    assert!(deployment.runs().is_empty());
    deployment.store.set_fault(StoreFault::None);
    wait_until("turns are served again", async || {
        deployment.gateway().call(&turn("t2", "p", None, "x")).await.status() == 200
    })
    .await;
}

/// The store has been away for a second when a turn comes, and returns a second later. The turn waits
/// and is then served, once; one that comes to a store that stays away is refused while its caller still
/// has time for another attempt.
#[actix_rt::test]
async fn a_turn_waits_for_the_store_while_its_caller_has_patience() {
    let deployment = Deployment::start(1, 1).await;
    deployment.store.set_fault(StoreFault::Busy);
    assert_eq!(deployment.gateway().call(&turn("t0", "p", None, "x")).await.status(), 503);
    let address = deployment.gateway().settings.caller_address.clone();
    let waiting = actix_rt::spawn(async move {
        platform_standin::call_at(&address, &turn("t1", "p", None, "x")).await
    });
    tokio::time::sleep(Duration::from_secs(1)).await;
    deployment.store.set_fault(StoreFault::None);
    let answer = waiting.await.expect("it ends");
    assert_eq!((answer.status(), answer.whole), (200, true));
    assert_eq!(deployment.runs().len(), 1);
    deployment.store.set_fault(StoreFault::Busy);
    let begun = tokio::time::Instant::now();
    assert_eq!(deployment.gateway().call(&turn("t2", "p", None, "x")).await.status(), 503);
    assert!(begun.elapsed() < Duration::from_millis(2_500), "of the five seconds it has");
}

/// The reservation's write hangs and takes effect after the caller was refused. The tokens that it
/// set aside must return, or the program would be told that its budget is spent.
#[actix_rt::test]
async fn a_late_reservation_is_taken_back() {
    let deployment = Deployment::start(1, 1).await;
    let late = Duration::from_millis(1_500);
    deployment.store.set_fault(StoreFault::LateWrites(1_000, late));
    let answer = deployment.gateway().call(&budgeted_turn("t1", "p", None, "x", 6)).await;
    assert_eq!(answer.status(), 503);
    assert!(deployment.runs().is_empty());
    deployment.store.set_fault(StoreFault::None);
    tokio::time::sleep(late).await;
    wait_until("the whole budget is there again", async || {
        let answer = deployment.gateway().call(&budgeted_turn("t2", "p", None, "x", 6)).await;
        answer.status() == 200
    })
    .await;
    assert_eq!(deployment.runs().len(), 1);
}

/// The store goes away while a turn's reservation is on its way, and the write lands late; then it
/// returns while the caller still waits. The turn either runs and is counted, or is refused and its
/// tokens return: it never runs under a reservation that is being taken back.
#[actix_rt::test]
async fn a_turn_in_doubt_does_not_run_uncounted() {
    let deployment = Deployment::start(1, 1).await;
    deployment.store.set_fault(StoreFault::LateWrites(1, Duration::from_millis(500)));
    let address = deployment.gateway().settings.caller_address.clone();
    let call = actix_rt::spawn(async move {
        platform_standin::call_at(&address, &budgeted_turn("t1", "p", None, "x", 6)).await
    });
    wait_until("the write is on its way", async || deployment.store.fault() == StoreFault::None)
        .await;
    deployment.store.set_fault(StoreFault::Busy);
    tokio::time::sleep(Duration::from_millis(900)).await;
    deployment.store.set_fault(StoreFault::None);
    let served = call.await.expect("it ends").status() == 200;
    tokio::time::sleep(Duration::from_millis(700)).await;
    let next = deployment.gateway().call(&budgeted_turn("t2", "p", None, "x", 11)).await;
    assert_eq!(next.status(), if served { 402 } else { 200 }, "served: {served}");
}

/// The reservation's write hangs, its second try is refused for the store's rate, and the first takes
/// effect after the caller was refused. A refused try says nothing of the one before it: the tokens must
/// return all the same.
#[actix_rt::test]
async fn a_refused_second_try_does_not_hide_a_late_first() {
    let deployment = Deployment::start(1, 1).await;
    let late = Duration::from_millis(1_600);
    deployment.store.set_fault(StoreFault::LateWrites(1, late));
    let address = deployment.gateway().settings.caller_address.clone();
    let call = actix_rt::spawn(async move {
        platform_standin::call_at(&address, &budgeted_turn("t1", "p", None, "x", 6)).await
    });
    wait_until("the write is on its way", async || deployment.store.fault() == StoreFault::None)
        .await;
    deployment.store.set_fault(StoreFault::OverRate(10_000));
    assert_eq!(call.await.expect("it ends").status(), 503);
    deployment.store.set_fault(StoreFault::None);
    tokio::time::sleep(late).await;
    wait_until("the whole budget is there again", async || {
        let request = budgeted_turn("t2", "p", None, "x", 6);
        deployment.gateway().call(&request).await.status() == 200
    })
    .await;
    assert_eq!(deployment.runs().len(), 1);
}

/// The caller leaves while the reservation's write is on its way, and the write takes effect later. The
/// turn never runs; its tokens must return, or the program's next turn would be refused for good.
#[actix_rt::test]
async fn a_reservation_whose_caller_left_is_taken_back() {
    let deployment = Deployment::start(1, 1).await;
    let late = Duration::from_millis(600);
    deployment.store.set_fault(StoreFault::LateWrites(1, late));
    let mut caller = deployment.gateway().connect().await;
    caller.send(budgeted_turn("t1", "p", None, "x", 6).as_bytes()).await;
    wait_until("the write is on its way", async || deployment.store.fault() == StoreFault::None)
        .await;
    drop(caller);
    tokio::time::sleep(late * 2).await;
    let answer = deployment.gateway().call(&budgeted_turn("t2", "p", None, "x", 6)).await;
    assert_eq!(answer.status(), 200, "the whole budget is there");
    assert_eq!(deployment.runs().len(), 1);
}

/// The store turns one instance away and serves the other: its calls go by the peer.
#[actix_rt::test]
async fn a_peer_relays_store_calls() {
    let mut deployment = Deployment::start(1, 1).await;
    // An address at which nothing listens takes the store's place for this instance.
    let unused = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let nobody = unused.local_addr().expect("it is bound").to_string();
    drop(unused);
    let port = deployment.gateway().settings.gossip_port;
    let seeds: Vec<_> = deployment.gateways.iter().collect();
    let cut_off = platform_standin::TestGateway::start("127.0.0.9", &nobody, port, &seeds);
    cut_off.ready().await;
    deployment.gateways.push(cut_off);
    let first = deployment.gateways[1].call(&turn("t1", "p", None, "one ")).await;
    assert_eq!((first.status(), first.whole), (200, true));
    let next = deployment.gateways[0].call(&turn("t2", "p", Some("t1"), "two ")).await;
    assert_eq!(next.status(), 200);
}

/// The store falls silent for one instance and serves the other. Callers of the first see one stall;
/// after that each turn goes by the peer at once, and nobody's call is spent on looking whether the
/// direct way works again.
#[actix_rt::test]
async fn an_instance_behind_a_cut_stalls_once() {
    let mut deployment = Deployment::start(1, 1).await;
    let (address, cut) = deployment.store.start_behind_cut("127.0.0.1").await;
    let port = deployment.gateway().settings.gossip_port;
    let seeds: Vec<_> = deployment.gateways.iter().collect();
    let behind = platform_standin::TestGateway::start("127.0.0.9", &address, port, &seeds);
    behind.ready().await;
    deployment.gateways.push(behind);
    let behind = &deployment.gateways[1];
    assert_eq!(behind.call(&turn("t0", "p", None, "x")).await.status(), 200);
    cut.set(true);
    let mut slow = 0;
    for number in 0..30 {
        let begun = tokio::time::Instant::now();
        let answer = behind.call(&turn(&format!("u{number}"), "q", None, "x")).await;
        assert_eq!((answer.status(), answer.whole), (200, true));
        slow += u32::from(begun.elapsed() > Duration::from_millis(300));
        tokio::time::sleep(Duration::from_millis(60)).await;
    }
    assert!(slow <= 2, "{slow} of 30 turns stalled");
    cut.set(false);
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    assert_eq!(behind.call(&turn("v", "r", None, "x")).await.status(), 200);
}

/// The store takes 20 writes a second, and 40 turns of as many programs come in 0.2 s to two instances.
/// What is refused for its rate waits and then travels together: all turns are answered, and refusals
/// stay fewer than turns. Sent again at once by every way, refused writes multiply, and the store is
/// kept busy refusing.
#[actix_rt::test]
async fn writes_over_the_stores_rate_wait_for_a_later_batch() {
    let deployment = Deployment::start(2, 1).await;
    deployment.store.set_fault(StoreFault::WriteRate(2));
    let calls = (0..40).map(|number| {
        let request = turn(&format!("t{number}"), &format!("p{number}"), None, "x");
        let address = deployment.gateways[number % 2].settings.caller_address.clone();
        async move {
            tokio::time::sleep(Duration::from_millis(5 * number as u64)).await;
            platform_standin::call_at(&address, &request).await
        }
    });
    let answers = futures_util::future::join_all(calls).await;
    let whole = answers.iter().filter(|answer| answer.status() == 200 && answer.whole).count();
    let refused = deployment.store.refused_writes();
    assert_eq!(whole, 40);
    assert!(refused < 40, "{refused} writes were refused");
}

/// A program starts ten sub-agents at once. Their reservations go into its ledger together: each by
/// itself they conflict with one another, and the last one waits for ten writes.
#[actix_rt::test]
async fn parallel_turns_share_a_reservation() {
    let deployment = Deployment::start(1, 1).await;
    assert_eq!(deployment.gateway().call(&turn("t", "p", None, "x")).await.status(), 200);
    let before = deployment.store.calls_with("/rows-tx");
    let address = &deployment.gateway().settings.caller_address;
    let calls = (0..10).map(|number| async move {
        let request = turn(&format!("s{number}"), "p", Some("t"), "x");
        platform_standin::call_at(address, &request).await.status()
    });
    let answers = futures_util::future::join_all(calls).await;
    assert_eq!(answers, [200; 10]);
    let writes = deployment.store.calls_with("/rows-tx") - before;
    assert!(writes <= 8, "{writes} writes for ten turns");
}

/// On a store whose transactions keep to one part, the index is written before the turn it names.
#[actix_rt::test]
async fn a_store_without_transactions_over_parts_will_do() {
    let mut deployment = Deployment::start(0, 1).await;
    let store = deployment.store_address.clone();
    let gateway = platform_standin::TestGateway::start_on("127.0.0.2", &store, 0, &[], false);
    gateway.ready().await;
    deployment.gateways.push(gateway);
    deployment.gateway().call(&turn("t1", "p", None, "one ")).await;
    deployment.gateways[0].kill().await;
    deployment.gateways.clear();
    let gateway = platform_standin::TestGateway::start_on("127.0.0.3", &store, 0, &[], false);
    gateway.ready().await;
    let next = gateway.call(&turn("t2", "other", Some("t1"), "two ")).await;
    assert_eq!((next.status(), next.whole), (200, true));
    assert_eq!(deployment.runs()[1].text(), chained("one ", "two "));
}

/// Turns of one program settle at once on two instances, and writes of other programs travel in
/// the same transactions. A conflict about one of them must not fail the others.
#[actix_rt::test]
async fn a_conflict_fails_only_what_it_names() {
    let mut deployment = Deployment::start(2, 1).await;
    let requests: Vec<(usize, String)> = (0..24)
        .map(|number| {
            let program = if number % 3 == 0 { "shared".to_owned() } else { format!("p{number}") };
            (number % 2, budgeted_turn(&format!("t{number}"), &program, None, "x", 48))
        })
        .collect();
    let calls = requests.iter().map(|(at, request)| deployment.gateways[*at].call(request));
    let answers = futures_util::future::join_all(calls).await;
    assert!(answers.iter().all(|answer| (answer.status(), answer.whole) == (200, true)));
    // A new instance reads what each program has become, and writes it with the next reservation.
    deployment.add_gateway(7).await;
    let newest = deployment.gateways.last().expect("it was just added");
    for (program, previous, budget) in [("shared", "t0", 54), ("p1", "t1", 12), ("p2", "t2", 12)] {
        let id = format!("last-{program}");
        let next = newest.call(&budgeted_turn(&id, program, Some(previous), "x", budget)).await;
        assert_eq!((next.status(), next.whole), (200, true), "{program}");
    }
    let ledgers = deployment.store.values("programs", "ledger");
    let mut spent: Vec<String> = ledgers.iter().map(|ledger| spent_part(ledger)).collect();
    spent.retain(|ledger| ledger.contains("last-"));
    spent.sort();
    let expected = [
        r#"{"s":48,"o":{"last-shared":6}"#,
        r#"{"s":6,"o":{"last-p1":6}"#,
        r#"{"s":6,"o":{"last-p2":6}"#,
    ];
    assert_eq!(spent, expected);
}

/// The store writes a part one transaction after another. Turns of different programs that end at
/// once must not wait for each other, so no two of them may write to the same part.
#[actix_rt::test]
async fn turns_of_different_programs_share_no_part() {
    const PROGRAMS: usize = 40;
    let deployment = Deployment::start(1, 1).await;
    let requests: Vec<String> = (0..PROGRAMS)
        .map(|number| turn(&format!("t{number}"), &format!("p{number}"), None, "x"))
        .collect();
    let calls = requests.iter().map(|request| deployment.gateway().call(request));
    let answers = futures_util::future::join_all(calls).await;
    assert!(answers.iter().all(|answer| (answer.status(), answer.whole) == (200, true)));
    for table in ["programs", "turn-programs"] {
        assert_eq!(deployment.store.part_names(table).len(), PROGRAMS, "{table}");
    }
}

/// Turns begin and end all the while. As long as the store is quick, reservations travel with records
/// that wait, which saves calls. When it has turned slow, a transaction over several parts takes twice
/// as long as one over a single part, and a caller waits for the reservation: it must travel alone.
#[actix_rt::test]
async fn reservations_travel_alone_while_the_store_is_slow() {
    const TURNS: usize = 30;
    let deployment = Deployment::start(1, 1).await;
    let run = async |round: &str| {
        let calls = (0..TURNS).map(|number| {
            let request =
                turn(&format!("{round}{number}"), &format!("p{round}{number}"), None, "x");
            let gateway = deployment.gateway();
            async move {
                tokio::time::sleep(Duration::from_millis(20) * number as u32).await;
                gateway.call(&request).await
            }
        });
        let answers = futures_util::future::join_all(calls).await;
        assert!(answers.iter().all(|answer| (answer.status(), answer.whole) == (200, true)));
    };
    let mixed = |transactions: &[Vec<String>]| {
        let has = |puts: &[String], prefix: &str| puts.iter().any(|key| key.starts_with(prefix));
        transactions.iter().filter(|puts| has(puts, "ledger") && has(puts, "t/")).count()
    };
    run("quick").await;
    let quick = deployment.store.transactions();
    assert!(mixed(&quick) > 0, "they travel together");
    deployment.store.set_fault(StoreFault::Slow(Duration::from_millis(120)));
    // The usual answer time follows.
    run("turning").await;
    let before = deployment.store.transactions().len();
    run("slow").await;
    assert_eq!(mixed(&deployment.store.transactions()[before..]), 0);
}

/// A turn that may make 20 tokens makes 6. Another instance, which knows nothing of the program, is
/// asked for a parallel turn: its write meets the ledger, in which the first turn still stands with 20.
/// Its record says otherwise, so the budget holds the second, and it must not be refused for good.
#[actix_rt::test]
async fn a_ledger_alone_ends_no_program() {
    let deployment = Deployment::start(2, 1).await;
    let most_20 = |id: &str| {
        budgeted_turn(id, "p", None, "x", 30).replace("Token-Usage: 10,6", "Token-Usage: 10,20")
    };
    assert_eq!(deployment.gateways[0].call(&most_20("t1")).await.status(), 200);
    assert_eq!(deployment.gateways[1].call(&most_20("t2")).await.status(), 200);
    // 6 and 6 are spent, 20 more would be 32.
    assert_eq!(deployment.gateways[0].call(&most_20("t3")).await.status(), 402);
}

/// A part of the store has more than a second of writes waiting and refuses one, by every way. The
/// store is not away: the turn waits a little and runs, and turns of other programs notice nothing.
#[actix_rt::test]
async fn a_part_over_its_rate_is_no_outage() {
    let deployment = Deployment::start(1, 1).await;
    let gateway = deployment.gateway();
    assert_eq!(gateway.call(&turn("t1", "p", None, "x")).await.status(), 200);
    // Two direct ways: kept and new connection.
    deployment.store.set_fault(StoreFault::OverRate(2));
    let refused = turn("t2", "p", Some("t1"), "x");
    let (first, second) = futures_util::join!(gateway.call(&refused), async {
        wait_until("the write is refused", async || deployment.store.fault() == StoreFault::None)
            .await;
        gateway.call(&turn("t3", "q", None, "x")).await
    });
    assert_eq!((first.status(), first.whole), (200, true));
    assert_eq!((second.status(), second.whole), (200, true));
}

/// Turns are kept for three seconds after they were last named. One program's turn is gone on from
/// all the while, by another program; a second program is left alone. Only the second may go, with
/// its index; the first must stay although nobody calls on its own behalf.
#[actix_rt::test]
async fn only_expired_programs_are_swept() {
    let deployment = Deployment::start(2, 1).await;
    let mut routes = platform_standin::default_routes();
    routes[0]["retain-s"] = 3.into();
    deployment.set_routes(2, &routes);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let gateway = deployment.gateway();
    gateway.call(&turn("t1", "old", None, "one ")).await;
    gateway.call(&turn("alone", "lonely", None, "alone ")).await;
    let number = std::cell::Cell::new(2);
    wait_until("the lonely program is gone", async || {
        number.set(number.get() + 1);
        let request = turn(&format!("t{}", number.get()), "young", Some("t1"), "x");
        assert_eq!(gateway.call(&request).await.status(), 200, "the named turn is kept");
        tokio::time::sleep(Duration::from_millis(100)).await;
        deployment.store.values("programs", "t/alone/").is_empty()
    })
    .await;
    assert!(deployment.store.values("turn-programs", "alone").is_empty());
    assert_eq!(deployment.store.values("programs", "t/t1/").len(), 1);
    assert_eq!(gateway.call(&turn("x", "p", Some("alone"), "y")).await.status(), 404);
}

/// A turn larger than a row of the store is kept in pieces.
#[actix_rt::test]
async fn a_large_turn_is_kept_whole() {
    let deployment = Deployment::start(2, 1).await;
    let large = "x".repeat(90_000);
    deployment.gateways[0].call(&turn("t1", "p", None, &large)).await;
    assert_eq!(deployment.store.values("programs", "t/").len(), 2);
    let next = deployment.gateways[1].call(&turn("t2", "p", Some("t1"), "y")).await;
    assert_eq!(next.status(), 200);
    assert_eq!(deployment.runs()[1].text(), chained(&large, "y"));
}
