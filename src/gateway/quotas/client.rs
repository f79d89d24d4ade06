//! Requests a permit for each call from the workspace's limiter, which may be this instance.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::{Instant, sleep, timeout};

use super::messages::QuotaMessage;
use super::{MinMembers, QuotaEnforcer, QuotaOutcome, QuotaPeers, QuotaPermit, QuotaSource};
use crate::core::ids::{InstanceId, WorkspaceId};
use crate::core::quotas::{
    LimitSample, LimiterRegistry, LimiterRequest, QuotaBounds, QuotaLimit, QuotaReply,
    QuotaRequest, QuotaRequestId, QuotaView,
};
use crate::gateway::latency::FailedPeers;
use crate::gateway::members::QuotaListener;
use crate::util::pause::ClockMark;

/// A request without a reply is sent again after this time; datagrams may be lost. A reply takes
/// 2 ms between zones, and about 30 ms from an eighth of a core that is slowed fivefold.
const ROUND_TIMEOUT: Duration = Duration::from_millis(40);
/// Rounds sent to the limiter only, before the standby is included.
const LIMITER_ONLY_ROUNDS: usize = 2;
/// Members detect the failure of a limiter within one or two seconds. A timeout of 1.5 s, to wait
/// for that, brought no gain.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(600);
/// Short, so that callers of an isolated instance retry at another one soon.
const ISOLATED_REQUEST_TIMEOUT: Duration = Duration::from_millis(100);
/// Consecutive unanswered requests after which the instance takes itself for isolated.
const MIN_UNANSWERED: u32 = 3;
/// Gives the failure detector time to replace the limiter.
const UNCERTAIN_RETRY_DELAY: Duration = Duration::from_millis(400);
/// For this time the standby of an unresponsive limiter is included from the first round.
const UNRESPONSIVE_RETENTION: Duration = Duration::from_millis(800);
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest gap since the last tick that counts as a pause of the process. Other members declare an
/// instance dead after about this time.
const MIN_PAUSE: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct ReceivedReply {
    from: Box<str>,
    reply: QuotaReply,
    /// Set if the sender takes another instance for the limiter.
    limiter: Option<Box<str>>,
}

struct QuotaDecision {
    reply: QuotaReply,
    /// None if this instance decided.
    limiter: Option<Box<str>>,
}

struct MemberSnapshot {
    /// Value of `QuotaPeers::changes` that the view was built at.
    changes: u64,
    min_members: usize,
    view: QuotaView,
}

/// Enforces the limit of each workspace at one of the members, its limiter.
pub(crate) struct QuotaClient {
    me: InstanceId,
    registry: RefCell<LimiterRegistry>,
    /// Detects pauses of the process.
    last_run: Cell<Option<ClockMark>>,
    /// Last value of `QuotaPeers::suspicions`.
    suspicions: Cell<u64>,
    peers: Rc<dyn QuotaPeers>,
    source: Rc<dyn QuotaSource>,
    min_members: MinMembers,
    snapshot: RefCell<Option<MemberSnapshot>>,
    pending: RefCell<HashMap<QuotaRequestId, UnboundedSender<ReceivedReply>>>,
    unresponsive: RefCell<FailedPeers>,
    /// Consecutive requests without a reply.
    unanswered: Cell<u32>,
}

impl QuotaClient {
    pub(crate) fn new(
        me: InstanceId,
        bounds: QuotaBounds,
        by_program: bool,
        peers: Rc<dyn QuotaPeers>,
        source: Rc<dyn QuotaSource>,
        min_members: MinMembers,
    ) -> Self {
        Self {
            me,
            registry: RefCell::new(LimiterRegistry::new(bounds, by_program, Instant::now())),
            last_run: Cell::new(None),
            suspicions: Cell::new(0),
            peers,
            source,
            min_members,
            snapshot: RefCell::default(),
            pending: RefCell::default(),
            unresponsive: RefCell::new(FailedPeers::new(UNRESPONSIVE_RETENTION)),
            unanswered: Cell::new(0),
        }
    }

    pub(crate) async fn run(self: Rc<Self>) {
        loop {
            self.restart_if_absent();
            let now = Instant::now();
            self.with_view(|view| self.registry.borrow_mut().tick(view, now));
            self.last_run.set(Some(ClockMark::now()));
            sleep(TICK_INTERVAL).await;
        }
    }

    /// Decides as the limiter or the standby of the workspace; true if as the limiter.
    fn decide(&self, request: LimiterRequest<'_>) -> (QuotaReply, bool) {
        self.restart_if_absent();
        let now = Instant::now();
        self.with_view(|view| self.registry.borrow_mut().decide(request, view, now))
    }

    fn limiter_address(&self, workspace: &str) -> Option<Box<str>> {
        self.with_view(|view| view.limiter(workspace).map(|limiter| limiter.address.clone()))
    }

    /// Restarts the limiters empty after a pause or a suspicion by other members: another instance may
    /// have granted permits meanwhile. Called for each request too, because the first event after a
    /// pause may be a request of a peer.
    fn restart_if_absent(&self) {
        let suspicions = self.peers.suspicions();
        let suspected = self.suspicions.replace(suspicions) != suspicions;
        let last_run = self.last_run.get();
        let paused =
            last_run.is_some_and(|mark| mark.steady().elapsed() >= MIN_PAUSE || mark.is_paused());
        if !suspected && !paused {
            return;
        }
        let cause = if paused { "paused" } else { "doubted" };
        log::info!("event=limits_restarted cause={cause}");
        self.registry.borrow_mut().restart(Instant::now());
        self.last_run.set(Some(ClockMark::now()));
    }

    fn with_view<T>(&self, read: impl FnOnce(&QuotaView) -> T) -> T {
        let (changes, min_members) = (self.peers.changes(), self.min_members.get().unwrap_or(0));
        let mut snapshot = self.snapshot.borrow_mut();
        let now = Instant::now();
        let snapshot = snapshot.get_or_insert_with(|| {
            let view =
                QuotaView::new(self.me.clone(), self.peers.quota_members(), min_members, now);
            MemberSnapshot { changes, min_members, view }
        });
        if (snapshot.changes, snapshot.min_members) != (changes, min_members) {
            (snapshot.changes, snapshot.min_members) = (changes, min_members);
            snapshot.view.update(self.peers.quota_members(), min_members, now);
        }
        read(&snapshot.view)
    }
}

impl QuotaListener for QuotaClient {
    fn receive(&self, from: &str, message: QuotaMessage) {
        match message {
            QuotaMessage::Ask { id, workspace, ask } => {
                // Without the configuration the limit is unknown, and without the number of members
                // this instance's share of it; the sender then asks the standby.
                let Some(quota) = self.source.quota(&workspace) else { return };
                if self.min_members.get().is_none() {
                    return;
                }
                let request =
                    LimiterRequest { id, workspace: &workspace, quota_request: ask, quota };
                let (reply, is_primary) = self.decide(request);
                let chief = if is_primary { None } else { self.limiter_address(&workspace) };
                self.peers.send(from, &QuotaMessage::Reply { id, reply, chief }.encode());
            }
            QuotaMessage::Reply { id, reply, chief: limiter } => {
                if let Some(sender) = self.pending.borrow().get(&id) {
                    // The request may have been dropped.
                    let _ = sender.send(ReceivedReply { from: from.into(), reply, limiter });
                }
            }
            QuotaMessage::GiveBack { workspace, ask } => {
                self.registry.borrow_mut().release(&workspace, ask, Instant::now());
            }
        }
    }
}

impl QuotaClient {
    /// Addresses of the peers to ask in a round, and whether this instance decides too.
    fn targets(&self, workspace: &str, round: usize) -> (Vec<Box<str>>, bool) {
        self.with_view(|view| {
            let unresponsive = self.unresponsive.borrow();
            let [first, second] = view.candidates(workspace);
            let is_unresponsive = first.is_some_and(|first| unresponsive.contains(&first.address));
            let second = second.filter(|_| round >= LIMITER_ONLY_ROUNDS || is_unresponsive);
            let candidates: Vec<_> = first.into_iter().chain(second).collect();
            let knows_members = self.min_members.get().is_some();
            let includes_me = knows_members && candidates.iter().any(|member| view.is_me(member));
            let peers = candidates.iter().filter(|member| !view.is_me(member));
            (peers.map(|member| member.address.clone()).collect(), includes_me)
        })
    }

    async fn send_round(
        &self,
        request: LimiterRequest<'_>,
        round: usize,
        replies: &mut UnboundedReceiver<ReceivedReply>,
    ) -> Option<QuotaDecision> {
        let LimiterRequest { id, workspace, quota_request, .. } = request;
        let (peers, includes_me) = self.targets(workspace, round);
        let datagram =
            QuotaMessage::Ask { id, workspace: workspace.clone(), ask: quota_request }.encode();
        peers.iter().for_each(|peer| self.peers.send(peer, &datagram));
        if includes_me {
            let (reply, is_primary) = self.decide(request);
            if is_primary || is_granted(reply) {
                return Some(QuotaDecision { reply, limiter: None });
            }
        }
        let received = async {
            while let Some(received) = replies.recv().await {
                self.unanswered.set(0);
                // A refusal by the standby does not mean that the limit is reached.
                let Some(limiter) = received.limiter.filter(|_| !is_granted(received.reply)) else {
                    return Some(QuotaDecision {
                        reply: received.reply,
                        limiter: Some(received.from),
                    });
                };
                // Shortly after a start the sender may know members that this instance does not.
                if !peers.contains(&limiter) {
                    self.peers.send(&limiter, &datagram);
                }
            }
            None
        };
        let decision = timeout(ROUND_TIMEOUT, received).await.ok().flatten();
        if decision.is_none()
            && round + 1 >= LIMITER_ONLY_ROUNDS
            && let Some(first) = peers.first()
        {
            self.unresponsive.borrow_mut().record(first);
        }
        decision
    }

    /// Repeats the request until a member decides; none after the timeout.
    async fn request_decision(
        &self,
        workspace: &WorkspaceId,
        quota: QuotaLimit,
        request: QuotaRequest,
    ) -> Option<QuotaDecision> {
        let id: QuotaRequestId = rand::random();
        let request = LimiterRequest { id, workspace, quota_request: request, quota };
        let (sender, mut replies) = unbounded_channel();
        self.pending.borrow_mut().insert(id, sender);
        let _pending = PendingRequest { pending: &self.pending, id };
        let request_timeout = if self.unanswered.get() >= MIN_UNANSWERED {
            ISOLATED_REQUEST_TIMEOUT
        } else {
            REQUEST_TIMEOUT
        };
        let deadline = Instant::now() + request_timeout;
        let mut round = 0;
        while Instant::now() < deadline {
            let decision = self.send_round(request, round, &mut replies).await;
            if decision.is_some() {
                return decision;
            }
            round += 1;
        }
        self.unanswered.set(self.unanswered.get().saturating_add(1));
        None
    }
}

fn is_granted(reply: QuotaReply) -> bool {
    matches!(reply, QuotaReply::Granted { .. })
}

/// Removes the request when its caller drops it.
struct PendingRequest<'a> {
    pending: &'a RefCell<HashMap<QuotaRequestId, UnboundedSender<ReceivedReply>>>,
    id: QuotaRequestId,
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        self.pending.borrow_mut().remove(&self.id);
    }
}

#[async_trait(?Send)]
impl QuotaEnforcer for QuotaClient {
    async fn acquire(
        &self,
        workspace: &WorkspaceId,
        quota: QuotaLimit,
        request: QuotaRequest,
    ) -> QuotaOutcome {
        let Some(decision) = self.request_decision(workspace, quota, request).await else {
            return QuotaOutcome::Uncertain { retry_after: UNCERTAIN_RETRY_DELAY };
        };
        match decision.reply {
            QuotaReply::Granted { after } => {
                // A sleep of zero would still last until the runtime's next millisecond.
                if !after.is_zero() {
                    sleep(after).await;
                }
                QuotaOutcome::Granted(QuotaPermit {
                    workspace: workspace.clone(),
                    request,
                    limiter: decision.limiter,
                    granted_at: Instant::now(),
                })
            }
            QuotaReply::Refused { retry_after } => QuotaOutcome::OverLimit { retry_after },
        }
    }

    fn release(&self, permit: QuotaPermit) {
        if !permit.is_releasable() {
            return;
        }
        match &permit.limiter {
            Some(limiter) => {
                let QuotaPermit { workspace, request, .. } = &permit;
                let message =
                    QuotaMessage::GiveBack { workspace: workspace.clone(), ask: *request };
                self.peers.send(limiter, &message.encode());
            }
            None => self.registry.borrow_mut().release(
                &permit.workspace,
                permit.request,
                Instant::now(),
            ),
        }
    }

    fn samples(&self) -> Vec<LimitSample> {
        self.registry.borrow().samples(Instant::now())
    }
}

#[cfg(test)]
#[path = "client_tests.rs"]
mod tests;
