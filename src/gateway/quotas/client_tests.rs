//! Who is asked, how often and how long, and what makes an instance forget what it has given out.

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

/// Members without a network: what is sent is kept.
struct FakePeers {
    members: RefCell<Vec<QuotaMember>>,
    suspicions: Cell<u64>,
    sent: RefCell<Vec<(String, QuotaMessage)>>,
}

impl FakePeers {
    /// Questions that were sent: to whom, and under which id.
    fn questions(&self) -> Vec<(String, u64)> {
        let sent = self.sent.borrow();
        let question = |(to, message): &(String, QuotaMessage)| match message {
            QuotaMessage::Ask { id, .. } => Some((to.clone(), *id)),
            QuotaMessage::Reply { .. } | QuotaMessage::GiveBack { .. } => None,
        };
        sent.iter().filter_map(question).collect()
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
        let message = QuotaMessage::decode(datagram).expect("its kind").expect("well formed");
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

/// An instance `me` among others.
fn asker(others: &[&str], least: Option<usize>) -> (Rc<FakePeers>, Rc<QuotaClient>) {
    let members = ["me"].iter().chain(others).map(|name| member(name)).collect();
    let peers = Rc::new(FakePeers {
        members: RefCell::new(members),
        suspicions: Cell::new(0),
        sent: RefCell::default(),
    });
    let least = MinMembers::new(Cell::new(least));
    let limiter =
        QuotaClient::new("me".into(), BOUNDS, true, peers.clone(), Rc::new(FakeSource), least);
    (peers, Rc::new(limiter))
}

/// A workspace that another one than this instance limits, with its address and the deputy's.
fn foreign(limiter: &QuotaClient) -> (WorkspaceId, String, String) {
    for number in 0.. {
        let workspace: WorkspaceId = format!("w{number}").into();
        let asked = limiter.with_view(|view| {
            view.candidates(&workspace).map(|member| member.expect("three").address.to_string())
        });
        if asked.iter().all(|address| *address != "me") {
            let [first, second] = asked;
            return (workspace, first, second);
        }
    }
    unreachable!("some workspace is another's")
}

fn is_granted(outcome: &QuotaOutcome) -> bool {
    matches!(outcome, QuotaOutcome::Granted(_))
}

/// Its limiter is silent: the question is repeated under one id, then its deputy is asked too, and after
/// 0.6 s the caller hears that nobody knows. From the fourth time on it hears so at once.
#[tokio::test(start_paused = true)]
async fn a_silent_limiter_is_asked_again_and_given_up() {
    let (peers, limiter) = asker(&["a", "b", "c"], Some(0));
    let (workspace, first, second) = foreign(&limiter);
    let begun = Instant::now();
    let outcome = limiter.acquire(&workspace, QUOTA, CALL).await;
    assert!(matches!(outcome, QuotaOutcome::Uncertain { .. }), "{outcome:?}");
    assert!((550..700).contains(&begun.elapsed().as_millis()), "{:?}", begun.elapsed());
    let sent = peers.questions();
    let to: Vec<&str> = sent.iter().take(4).map(|(to, _)| to.as_str()).collect();
    assert_eq!(to, [&*first, &*first, &*first, &*second]);
    let ids: std::collections::BTreeSet<_> = sent.iter().map(|(_, id)| *id).collect();
    assert_eq!(ids.len(), 1);
    for _ in 0..2 {
        limiter.acquire(&workspace, QUOTA, CALL).await;
    }
    let begun = Instant::now();
    limiter.acquire(&workspace, QUOTA, CALL).await;
    assert!(begun.elapsed() < Duration::from_millis(200), "{:?}", begun.elapsed());
}

/// Answers the first question that was sent to an address, in the background.
fn answer(
    peers: &Rc<FakePeers>,
    limiter: &Rc<QuotaClient>,
    from: &str,
    reply: QuotaReply,
    chief: Option<&str>,
) {
    let (peers, limiter, from) = (peers.clone(), limiter.clone(), from.to_owned());
    let chief = chief.map(Box::from);
    tokio::task::spawn_local(async move {
        loop {
            let asked = peers.questions();
            if let Some((_, id)) = asked.iter().find(|(to, _)| *to == from) {
                limiter.take(&from, QuotaMessage::Reply { id: *id, reply, chief });
                return;
            }
            sleep(Duration::from_millis(1)).await;
        }
    });
}

/// All have just started: whoever is asked knows one that comes before it, which this instance has not
/// heard of. It is asked at once, instead of taking the first one's refusal for the limit's.
#[actix_rt::test]
async fn whoever_is_pointed_to_is_asked() {
    let (peers, limiter) = asker(&["a", "b", "c"], Some(0));
    let (workspace, first, _) = foreign(&limiter);
    let refused = QuotaReply::Refused { retry_after: Duration::from_millis(100) };
    answer(&peers, &limiter, &first, refused, Some("stranger"));
    let granted = QuotaReply::Granted { after: Duration::ZERO };
    answer(&peers, &limiter, "stranger", granted, None);
    let outcome = limiter.acquire(&workspace, QUOTA, CALL).await;
    assert!(is_granted(&outcome), "{outcome:?}");
}

/// What was granted goes back to whoever granted it, while it is fresh.
#[actix_rt::test]
async fn only_a_fresh_place_goes_back() {
    let (peers, limiter) = asker(&["a", "b", "c"], Some(0));
    let (workspace, first, _) = foreign(&limiter);
    let granted = QuotaReply::Granted { after: Duration::ZERO };
    for (age, back) in [(0, 1), (600, 1)] {
        peers.sent.borrow_mut().retain(|(_, m)| matches!(m, QuotaMessage::GiveBack { .. }));
        answer(&peers, &limiter, &first, granted, None);
        let QuotaOutcome::Granted(place) = limiter.acquire(&workspace, QUOTA, CALL).await else {
            panic!("it is granted");
        };
        sleep(Duration::from_millis(age)).await;
        limiter.release(place);
        let sent = peers.sent.borrow();
        let given: Vec<_> =
            sent.iter().filter(|(_, m)| matches!(m, QuotaMessage::GiveBack { .. })).collect();
        assert_eq!(given.len(), back, "after {age} ms");
        assert!(given.iter().all(|(to, _)| *to == first));
    }
}

/// An instance that knows neither the configuration nor how many members there are keeps silent: it
/// would give out a limit that it does not know, or the whole of one.
#[tokio::test(start_paused = true)]
async fn without_knowledge_nobody_is_answered() {
    let ask = |workspace: &str| QuotaMessage::Ask { id: 1, workspace: workspace.into(), ask: CALL };
    for (least, workspace, answers) in [(None, "w", 0), (Some(0), "unknown", 0), (Some(0), "w", 1)]
    {
        let (peers, limiter) = asker(&[], least);
        limiter.take("a", ask(workspace));
        assert_eq!(peers.sent.borrow().len(), answers, "{least:?} {workspace}");
    }
}

fn level(limiter: &QuotaClient) -> f64 {
    limiter.samples().first().expect("it limits one").level
}

/// Its bucket has filled. Then the process stands still for some seconds, or others took it for failed
/// and asked somebody else: it begins empty, or its burst would be given out twice in one window.
#[rstest::rstest]
#[case::paused(true)]
#[case::doubted(false)]
#[tokio::test(start_paused = true)]
async fn an_absent_limiter_begins_empty(#[case] paused: bool) {
    let (peers, limiter) = asker(&[], Some(0));
    let workspace: WorkspaceId = "w".into();
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            let run = tokio::task::spawn_local(limiter.clone().run());
            sleep(Duration::from_secs(20)).await;
            assert!(is_granted(&limiter.acquire(&workspace, QUOTA, CALL).await));
            assert!(level(&limiter) > 90.0, "{}", level(&limiter));
            match paused {
                true => {
                    // Nothing runs meanwhile.
                    run.abort();
                    sleep(Duration::from_secs(3)).await;
                }
                false => peers.suspicions.set(1),
            }
            let _ = limiter.acquire(&workspace, QUOTA, CALL).await;
            assert!(level(&limiter) < 5.0, "{}", level(&limiter));
        })
        .await;
    advance(Duration::ZERO).await;
}
