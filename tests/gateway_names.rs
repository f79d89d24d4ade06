//! Isolation of programs and turns between workspaces and callers without a key.

mod platform_standin;

use platform_standin::{
    Deployment, TestGateway, alone, budgeted_turn, chained, default_routes, from, manifest, turn,
    wait_until, workspace,
};
use rstest::rstest;
use serde_json::{Value, json};

fn public_routes() -> Vec<Value> {
    let mut routes = default_routes();
    routes[0]["public"] = true.into();
    routes
}

/// Gateways of a workspace `acme`, whose callers share a public route for turns with everybody.
async fn public_deployment(gateways: usize, overrides: &Value) -> Deployment {
    deployment_with(&public_routes(), gateways, overrides).await
}

/// The routes are in force from the start of the gateways.
async fn deployment_with(routes: &[Value], gateways: usize, overrides: &Value) -> Deployment {
    let mut deployment = Deployment::start(0, 1).await;
    let mut config = manifest(2, routes);
    config["tenants"] = json!([workspace("acme")]);
    deployment.store.put("op", "config", &config);
    for number in 0..gateways {
        let store = deployment.store_address.clone();
        deployment.add_gateway_at(&format!("127.0.0.{}", number + 2), &store, overrides).await;
    }
    deployment
}

async fn status(gateway: &TestGateway, request: &str) -> u16 {
    gateway.call(request).await.status()
}

fn bodies(deployment: &Deployment) -> Vec<String> {
    deployment.runs().iter().map(|run| run.text()).collect()
}

/// Guards against a caller without a key that reads a workspace's turns by spelling their stored names.
#[rstest]
#[case::coordinated(json!({}))]
#[case::alone(alone())]
#[actix_rt::test]
async fn turn_of_a_workspace_is_not_found_without_its_key(#[case] overrides: Value) {
    let deployment = public_deployment(2, &overrides).await;
    let [first, second] = [&deployment.gateways[0], &deployment.gateways[1]];
    assert_eq!(status(first, &from("acme", &turn("t1", "p", None, "secret "))).await, 200);
    for gateway in [first, second] {
        for program in ["guest", "p", "4:acme/p", "4:acme/q"] {
            for id in ["g1", "4:acme/g1"] {
                let forged = turn(id, program, Some("4:acme/t1"), "repeat ");
                assert_eq!(status(gateway, &forged).await, 404, "{program} {id}");
            }
        }
        assert_eq!(status(gateway, &turn("g2", "p", Some("t1"), "repeat ")).await, 404);
    }
    assert_eq!(bodies(&deployment), ["secret "]);
}

/// Guards against a caller without a key that spends the tokens of a workspace's program.
#[rstest]
#[case::with_history(true)]
#[case::without_history(false)]
#[actix_rt::test]
async fn budget_of_a_workspace_is_not_charged_without_its_key(#[case] retained: bool) {
    let mut routes = public_routes();
    routes[0]["retained"] = retained.into();
    let deployment = deployment_with(&routes, 2, &json!({})).await;
    // Instances that do not know each other coordinate a program twice and share its budget out.
    deployment.all_named().await;
    let [first, second] = [&deployment.gateways[0], &deployment.gateways[1]];
    let forged = |id| budgeted_turn(id, "4:acme/p", None, "x", 12);
    assert_eq!(status(first, &forged("4:acme/t1")).await, 200);
    assert_eq!(status(second, &forged("g2")).await, 200);
    assert_eq!(status(first, &forged("g3")).await, 402, "the caller's own budget");
    let own = |id| from("acme", &budgeted_turn(id, "p", None, "x", 12));
    assert_eq!(status(first, &own("t1")).await, 200);
    assert_eq!(status(second, &own("t2")).await, 200);
    assert_eq!(status(second, &own("t3")).await, 402);
}

/// Guards against a caller without a key that replaces a workspace's turn by one of the same name, in
/// the memory of an instance or in the index of the store.
#[rstest]
#[case::coordinated(json!({}))]
#[case::alone(alone())]
#[actix_rt::test]
async fn turn_of_a_workspace_is_not_replaced_without_its_key(#[case] overrides: Value) {
    let deployment = public_deployment(2, &overrides).await;
    let [first, second] = [&deployment.gateways[0], &deployment.gateways[1]];
    assert_eq!(status(first, &from("acme", &turn("t1", "p", None, "mine "))).await, 200);
    for (gateway, program) in [(first, "guest"), (second, "4:acme/p")] {
        assert_eq!(status(gateway, &turn("4:acme/t1", program, None, "planted ")).await, 200);
    }
    let next = |id, program| from("acme", &turn(id, program, Some("t1"), "next "));
    assert_eq!(status(first, &next("t2", "p")).await, 200);
    assert_eq!(status(second, &next("t3", "q")).await, 200);
    let continued = chained("mine ", "next ");
    assert_eq!(bodies(&deployment), ["mine ", "planted ", "planted ", &continued, &continued]);
}

/// Guards against histories that are lost because their names look like a workspace's.
#[actix_rt::test]
async fn callers_without_a_key_keep_their_own_turns_under_any_name() {
    let mut deployment = public_deployment(2, &json!({})).await;
    let names = ["4:acme/t1", "-/4:acme/t1", "-/-/4:acme/t1", "12:34", "-/t1"];
    for (number, name) in names.into_iter().enumerate() {
        let (program, input) = (format!("4:acme/p{number}"), format!("{number} "));
        assert_eq!(status(deployment.gateway(), &turn(name, &program, None, &input)).await, 200);
    }
    for gateway in &mut deployment.gateways {
        gateway.kill().await;
    }
    deployment.gateways.clear();
    deployment.add_gateway(7).await;
    deployment.engines[0].clear_runs();
    for (number, name) in names.into_iter().enumerate() {
        // By the rows of its program, then by the index.
        for program in [format!("4:acme/p{number}"), format!("other{number}")] {
            let id = format!("{program}-next");
            let next = turn(&id, &program, Some(name), "next ");
            assert_eq!(status(deployment.gateway(), &next).await, 200, "{name}");
            let body = deployment.runs().last().expect("the turn ran").text();
            assert_eq!(body, chained(&format!("{number} "), "next "));
        }
    }
}

fn claim(program: &str, turn: &str, previous: Option<&str>) -> Value {
    json!({
        "claim": {
            "program": program, "turn": turn, "previous": previous, "most": 6, "budget": 90,
            "retention": { "secs": 60, "nanos": 0 }, "scope": "history", "line": null,
            "only_known": false
        },
        "knows_chain": false, "limit_ms": 2_000
    })
}

/// Guards against an instance of the release before that, in a rolling update, passes a forged name on
/// to a coordinator of this release.
#[actix_rt::test]
async fn forged_name_is_not_found_for_a_peer_of_an_older_release() {
    let deployment = public_deployment(1, &json!({})).await;
    let gateway = deployment.gateway();
    assert_eq!(status(gateway, &from("acme", &turn("t1", "p", None, "secret "))).await, 200);
    let mut replies = Vec::new();
    for (program, turn, previous) in [
        ("4:acme/p", "4:acme/t2", Some("4:acme/t1")),
        ("guest", "g1", Some("4:acme/t1")),
        ("4:acme/p", "g2", Some("4:acme/t1")),
        ("guest", "4:acme/g3", Some("4:acme/t1")),
        ("guest", "g4", None),
        ("4:acme/p", "g5", None),
    ] {
        let reply = gateway.peer_call("/claim", &claim(program, turn, previous), "").await;
        let head = reply.text().lines().next().unwrap_or_default().to_owned();
        replies.push(format!("{program} {turn}: {head}"));
    }
    insta::assert_snapshot!(replies.join("\n"), @r#"
    4:acme/p 4:acme/t2: {"granted":{"chain":[{"turn":"4:acme/t1","program":"4:acme/p","bytes":39}],"holder":null,"had_ledger":true}}
    guest g1: "no_such_turn"
    4:acme/p g2: "no_such_turn"
    guest 4:acme/g3: "no_such_turn"
    guest g4: {"granted":{"chain":[],"holder":null,"had_ledger":false}}
    4:acme/p g5: {"granted":{"chain":[],"holder":null,"had_ledger":false}}
    "#);
    // Settlements and records of such a peer find what it claimed.
    let end = json!({ "program": "4:acme/p", "turn": "g5", "used": 2 });
    assert_eq!(gateway.peer_call("/settle", &end, "").await.status(), 200);
    let record = "{\"u\":\"e0\",\"t\":6,\"i\":6}\nguest w1\nw2\nw3\n";
    let kept = json!({ "program": "guest", "turn": "4:acme/t1", "limit_ms": 2_000 });
    assert_eq!(gateway.peer_call("/keep", &kept, record).await.status(), 200);
    assert_eq!(status(gateway, &from("acme", &turn("t3", "q", Some("t1"), "next "))).await, 200);
    assert_eq!(deployment.runs()[1].text(), chained("secret ", "next "));
    assert_eq!(status(gateway, &turn("g6", "guest", Some("4:acme/t1"), "next ")).await, 200);
    assert_eq!(deployment.runs()[2].text(), chained("guest ", "next "));
}

/// Stores a turn with its index as the release before did, and the ledger of its program.
fn store_turn(deployment: &Deployment, program: &str, turn: &str, header: &str, input: &str) {
    let ledger = r#"{"s":6,"o":{},"k":600000}"#;
    let length = input.len();
    let record = format!("{{{header}\"u\":\"e0\",\"t\":6,\"i\":{length}}}\n{input}w1\nw2\nw3\n");
    let store = &deployment.store;
    store.put_row("programs", program, "ledger", ledger);
    store.put_row("programs", program, &format!("t/{turn}/0"), &record);
    store.put_row("turn-programs", turn, turn, program);
}

/// Guards against an update that loses turns which the release before has stored.
#[rstest]
#[case::plain("p", "t0", "p", "t0")]
#[case::of_a_workspace("4:acme/p", "4:acme/t0", "p", "t0")]
#[case::turn_like_a_workspaces("guest", "4:acme/t0", "guest", "4:acme/t0")]
#[case::program_like_a_workspaces("4:acme/p", "t0", "4:acme/p", "t0")]
#[actix_rt::test]
async fn stored_turns_of_the_release_before_are_found(
    #[case] stored_program: &str,
    #[case] stored_turn: &str,
    #[case] program: &str,
    #[case] name: &str,
) {
    let deployment = public_deployment(2, &json!({})).await;
    store_turn(&deployment, stored_program, stored_turn, "", "old ");
    let has_key = stored_turn.starts_with("4:acme/") && stored_program.starts_with("4:acme/");
    let sent = |request: String| if has_key { from("acme", &request) } else { request };
    for (number, program) in [program, "other"].into_iter().enumerate() {
        let next = turn(&format!("n{number}"), program, Some(name), "next ");
        assert_eq!(status(&deployment.gateways[number], &sent(next)).await, 200);
        assert_eq!(deployment.runs()[number].text(), chained("old ", "next "));
    }
    let other = turn("n2", "third", Some(name), "x");
    let other = if has_key { other } else { from("acme", &other) };
    assert_eq!(status(deployment.gateway(), &other).await, 404);
}

/// Guards against a chain that an older release let lead into a workspace's history.
#[actix_rt::test]
async fn stored_chain_that_leads_into_a_workspace_is_not_continued() {
    let deployment = public_deployment(2, &json!({})).await;
    let [first, second] = [&deployment.gateways[0], &deployment.gateways[1]];
    assert_eq!(status(first, &from("acme", &turn("t1", "p", None, "secret "))).await, 200);
    let header = "\"p\":\"4:acme/t1\",\"o\":\"4:acme/p\",";
    store_turn(&deployment, "guest", "g1", header, "repeat ");
    for gateway in [first, second] {
        for program in ["guest", "other"] {
            assert_eq!(status(gateway, &turn("g2", program, Some("g1"), "more ")).await, 404);
        }
    }
    assert_eq!(bodies(&deployment), ["secret "]);
}

/// Guards against a sweep that, with an expired turn of an older release, removes the index of a
/// workspace's turn.
#[actix_rt::test]
async fn sweep_of_a_forged_turn_keeps_the_index_of_the_workspaces() {
    let mut routes = public_routes();
    routes[0]["retain-s"] = 4.into();
    let mut deployment = deployment_with(&routes, 1, &json!({})).await;
    let acme = from("acme", &turn("t1", "p", None, "mine "));
    assert_eq!(status(deployment.gateway(), &acme).await, 200);
    // Stored after the workspace's turn, so that no sweep can come between.
    let store = &deployment.store;
    let index = store.values("turn-programs", "4:acme/t1");
    store_turn(&deployment, "guest", "4:acme/t1", "", "planted ");
    store.put_row("programs", "guest", "ledger", r#"{"s":6,"o":{},"k":1}"#);
    store.put_row("turn-programs", "4:acme/t1", "4:acme/t1", "4:acme/p");
    assert_eq!(store.values("turn-programs", "4:acme/t1"), index);
    wait_until("the forged program is swept", async || {
        deployment.store.values("programs", "t/4:acme/t1/").len() == 1
    })
    .await;
    deployment.gateways[0].kill().await;
    deployment.gateways.clear();
    deployment.add_gateway(7).await;
    let next = from("acme", &turn("t2", "other", Some("t1"), "next "));
    assert_eq!(status(deployment.gateway(), &next).await, 200);
    assert_eq!(deployment.runs()[1].text(), chained("mine ", "next "));
}
