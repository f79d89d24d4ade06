//! Tests of the retries, timeouts and permit releases of `QuotaClient`, and of limiter restarts.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, advance, sleep};

use super::QuotaClient;
use crate::core::ids::WorkspaceId;
use crate::core::quotas::{
    LimiterStatus, QuotaBounds, QuotaLimit, QuotaMember, QuotaReply, QuotaRequest,
};
use crate::gateway::members::QuotaListener;
use crate::gateway::quotas::{
    MinMembers, QuotaEnforcer, QuotaMessage, QuotaOutcome, QuotaPeers, QuotaSource,
};

const BOUNDS: QuotaBounds = QuotaBounds { window: Duration::from_secs(5), over: 0.0, slack: 0.0 };
const QUOTA: QuotaLimit = QuotaLimit { rate: 10.0, burst: 100.0 };
const CALL: QuotaRequest = QuotaRequest { opens: false };

/// Records the datagrams instead of sending them.
struct FakePeers {
    members: RefCell<Vec<QuotaMember>>,
    suspicions: Cell<u64>,
    sent: RefCell<Vec<(String, QuotaMessage)>>,
}

impl FakePeers {
    /// Receivers and ids of the requests that were sent.
    fn requests(&self) -> Vec<(String, u64)> {
        let sent = self.sent.borrow();
        let request = |(to, message): &(String, QuotaMessage)| match message {
            QuotaMessage::Ask { id, .. } => Some((to.clone(), *id)),
            QuotaMessage::Reply { .. } | QuotaMessage::GiveBack { .. } => None,
        };
        sent.iter().filter_map(request).collect()
    }
}

impl QuotaPeers for FakePeers {
    fn changes(&self) -> u64 {
        0
    }

    fn suspicions(&self) -> u64 {
        self.suspicions.get()
    }

    fn quota_members(&self) -> Vec<QuotaMember> {
        self.members.borrow().clone()
    }

    fn send(&self, to: &str, datagram: &[u8]) {
        let message =
            QuotaMessage::decode(datagram).expect("a quota message").expect("well formed");
        self.sent.borrow_mut().push((to.into(), message));
    }
}

struct FakeSource;

impl QuotaSource for FakeSource {
    fn quota(&self, workspace: &str) -> Option<QuotaLimit> {
        (workspace != "unknown").then_some(QUOTA)
    }
}

fn member(name: &str) -> QuotaMember {
    let status = LimiterStatus::Alive;
    QuotaMember { instance: name.into(), incarnation: 1, address: name.into(), status }
}

/// A client on instance `me`.
fn start_client(others: &[&str], min_members: Option<usize>) -> (Rc<FakePeers>, Rc<QuotaClient>) {
    let members = ["me"].iter().chain(others).map(|name| member(name)).collect();
    let peers = Rc::new(FakePeers {
        members: RefCell::new(members),
        suspicions: Cell::new(0),
        sent: RefCell::default(),
    });
    let min_members = MinMembers::new(Cell::new(min_members));
    let client = QuotaClient::new(
        "me".into(),
        BOUNDS,
        true,
        peers.clone(),
        Rc::new(FakeSource),
        min_members,
    );
    (peers, Rc::new(client))
}

/// A workspace for which this instance is neither the limiter nor the standby, and the addresses of
/// these two.
fn remote_workspace(client: &QuotaClient) -> (WorkspaceId, String, String) {
    for number in 0.. {
        let workspace: WorkspaceId = format!("w{number}").into();
        let candidates = client.with_view(|view| {
            view.candidates(&workspace).map(|member| member.expect("three").address.to_string())
        });
        if candidates.iter().all(|address| *address != "me") {
            let [first, second] = candidates;
            return (workspace, first, second);
        }
    }
    unreachable!("some workspace has a remote limiter")
}

fn is_granted(outcome: &QuotaOutcome) -> bool {
    matches!(outcome, QuotaOutcome::Granted(_))
}

/// A limiter that does not answer must not block its callers, nor a repetition count as a new request.
#[tokio::test(start_paused = true)]
async fn request_without_reply_is_repeated_under_one_id_until_it_times_out() {
    let (peers, client) = start_client(&["a", "b", "c"], Some(0));
    let (workspace, first, second) = remote_workspace(&client);
    let start = Instant::now();
    let outcome = client.acquire(&workspace, QUOTA, CALL).await;
    assert!(matches!(outcome, QuotaOutcome::Uncertain { .. }), "{outcome:?}");
    assert!((550..700).contains(&start.elapsed().as_millis()), "{:?}", start.elapsed());
    let sent = peers.requests();
    let to: Vec<&str> = sent.iter().take(4).map(|(to, _)| to.as_str()).collect();
    assert_eq!(to, [&*first, &*first, &*first, &*second]);
    let ids: std::collections::BTreeSet<_> = sent.iter().map(|(_, id)| *id).collect();
    assert_eq!(ids.len(), 1);
    for _ in 0..2 {
        client.acquire(&workspace, QUOTA, CALL).await;
    }
    let start = Instant::now();
    client.acquire(&workspace, QUOTA, CALL).await;
    assert!(start.elapsed() < Duration::from_millis(200), "{:?}", start.elapsed());
}

/// Replies to the first request that is sent to an address, in the background.
fn spawn_reply(
    peers: &Rc<FakePeers>,
    client: &Rc<QuotaClient>,
    from: &str,
    reply: QuotaReply,
    limiter: Option<&str>,
) {
    let (peers, client, from) = (peers.clone(), client.clone(), from.to_owned());
    let limiter = limiter.map(Box::from);
    tokio::task::spawn_local(async move {
        loop {
            let requests = peers.requests();
            if let Some((_, id)) = requests.iter().find(|(to, _)| *to == from) {
                client.receive(&from, QuotaMessage::Reply { id: *id, reply, chief: limiter });
                return;
            }
            sleep(Duration::from_millis(1)).await;
        }
    });
}

/// Shortly after a start a peer may know the limiter when this instance does not. The peer's refusal
/// must not count as the limiter's.
#[actix_rt::test]
async fn limiter_named_in_a_refusal_is_asked() {
    let (peers, client) = start_client(&["a", "b", "c"], Some(0));
    let (workspace, first, _) = remote_workspace(&client);
    let refused = QuotaReply::Refused { retry_after: Duration::from_millis(100) };
    spawn_reply(&peers, &client, &first, refused, Some("unknown_peer"));
    let granted = QuotaReply::Granted { after: Duration::ZERO };
    spawn_reply(&peers, &client, "unknown_peer", granted, None);
    let outcome = client.acquire(&workspace, QUOTA, CALL).await;
    assert!(is_granted(&outcome), "{outcome:?}");
}

/// Old permits that are released all at once would let a second burst through.
#[actix_rt::test]
async fn only_a_recent_permit_is_released_to_its_limiter() {
    let (peers, client) = start_client(&["a", "b", "c"], Some(0));
    let (workspace, first, _) = remote_workspace(&client);
    let granted = QuotaReply::Granted { after: Duration::ZERO };
    for (age, released_count) in [(0, 1), (600, 1)] {
        peers.sent.borrow_mut().retain(|(_, m)| matches!(m, QuotaMessage::GiveBack { .. }));
        spawn_reply(&peers, &client, &first, granted, None);
        let QuotaOutcome::Granted(permit) = client.acquire(&workspace, QUOTA, CALL).await else {
            panic!("the request is granted");
        };
        sleep(Duration::from_millis(age)).await;
        client.release(permit);
        let sent = peers.sent.borrow();
        let released: Vec<_> =
            sent.iter().filter(|(_, m)| matches!(m, QuotaMessage::GiveBack { .. })).collect();
        assert_eq!(released.len(), released_count, "after {age} ms");
        assert!(released.iter().all(|(to, _)| *to == first));
    }
}

/// Without the configuration or the number of members an instance could grant more than its share.
#[tokio::test(start_paused = true)]
async fn request_gets_no_reply_without_configuration_or_member_count() {
    let request =
        |workspace: &str| QuotaMessage::Ask { id: 1, workspace: workspace.into(), ask: CALL };
    for (min_members, workspace, reply_count) in
        [(None, "w", 0), (Some(0), "unknown", 0), (Some(0), "w", 1)]
    {
        let (peers, client) = start_client(&[], min_members);
        client.receive("a", request(workspace));
        assert_eq!(peers.sent.borrow().len(), reply_count, "{min_members:?} {workspace}");
    }
}

fn level(client: &QuotaClient) -> f64 {
    client.samples().first().expect("the client limits one workspace").level
}

/// While a limiter is paused or suspected another one may grant the burst; granting it again on return
/// would exceed the limit within one window.
#[rstest::rstest]
#[case::paused(true)]
#[case::suspected(false)]
#[tokio::test(start_paused = true)]
async fn limiter_restarts_empty_after_a_pause_or_suspicion(#[case] paused: bool) {
    let (peers, client) = start_client(&[], Some(0));
    let workspace: WorkspaceId = "w".into();
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            let run = tokio::task::spawn_local(client.clone().run());
            sleep(Duration::from_secs(20)).await;
            assert!(is_granted(&client.acquire(&workspace, QUOTA, CALL).await));
            assert!(level(&client) > 90.0, "{}", level(&client));
            match paused {
                true => {
                    run.abort();
                    sleep(Duration::from_secs(3)).await;
                }
                false => peers.suspicions.set(1),
            }
            let _ = client.acquire(&workspace, QUOTA, CALL).await;
            assert!(level(&client) < 5.0, "{}", level(&client));
        })
        .await;
    advance(Duration::ZERO).await;
}
