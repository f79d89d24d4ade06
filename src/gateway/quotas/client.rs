//! Asks a workspace's limiter, which may be this instance, for each request.

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

/// Time until a question is repeated. An answer takes 2 ms between zones, and some 30 where an
/// eighth of a core is slowed fivefold; datagrams are lost now and then.
const REPEAT: Duration = Duration::from_millis(40);
/// Questions to the limiter alone before its deputy is asked too.
const ALONE: usize = 2;
/// How long is asked. The members find out within a second or two that a limiter is gone; asking for
/// 1.5 s instead brought nothing on a day with kills and hot workspaces (worth 0.867 and 0.874 for 0.875
/// and 0.872, two seeds).
const PATIENCE: Duration = Duration::from_millis(600);
/// How long is asked by an instance that has heard nobody for some questions: it is cut off, and its
/// callers are served elsewhere at once.
const SHORT_PATIENCE: Duration = Duration::from_millis(100);
const UNHEARD: u32 = 3;
/// When a caller may come back that nobody could answer: the members know more by then.
const UNCERTAIN_RETRY: Duration = Duration::from_millis(400);
/// How long a limiter that was silent is asked together with its deputy from the start.
const PASSED_OVER: Duration = Duration::from_millis(800);
const TICK: Duration = Duration::from_millis(100);
/// A task that is due each tick and has not run for so long tells of a pause; the members drop an
/// instance after about as long.
const PAUSE: Duration = Duration::from_secs(1);

/// An answer and who gave it.
#[derive(Debug)]
struct HeardReply {
    from: Box<str>,
    reply: QuotaReply,
    /// Whom to ask instead.
    chief: Option<Box<str>>,
}

/// What a question came to.
struct LimitAnswer {
    reply: QuotaReply,
    /// The peer that said so; none if that was this instance.
    limiter: Option<Box<str>>,
}

/// The members as they were last looked at.
struct SeenMembers {
    /// Number of the change after which they were.
    changes: u64,
    least: usize,
    view: QuotaView,
}

/// Limits kept by one member for each workspace.
pub(crate) struct QuotaClient {
    me: InstanceId,
    desk: RefCell<LimiterRegistry>,
    /// When the instance was last seen running.
    mark: Cell<Option<ClockMark>>,
    /// Doubts of others that are known of.
    suspicions: Cell<u64>,
    peers: Rc<dyn QuotaPeers>,
    source: Rc<dyn QuotaSource>,
    least: MinMembers,
    seen: RefCell<Option<SeenMembers>>,
    waiting: RefCell<HashMap<QuotaRequestId, UnboundedSender<HeardReply>>>,
    silent: RefCell<FailedPeers>,
    unheard: Cell<u32>,
}

impl QuotaClient {
    pub(crate) fn new(
        me: InstanceId,
        bounds: QuotaBounds,
        by_program: bool,
        peers: Rc<dyn QuotaPeers>,
        source: Rc<dyn QuotaSource>,
        least: MinMembers,
    ) -> Self {
        Self {
            me,
            desk: RefCell::new(LimiterRegistry::new(bounds, by_program, Instant::now())),
            mark: Cell::new(None),
            suspicions: Cell::new(0),
            peers,
            source,
            least,
            seen: RefCell::default(),
            waiting: RefCell::default(),
            silent: RefCell::new(FailedPeers::new(PASSED_OVER)),
            unheard: Cell::new(0),
        }
    }

    /// Looks after the limits kept here until the instance ends.
    pub(crate) async fn run(self: Rc<Self>) {
        loop {
            self.notice_absence();
            let now = Instant::now();
            self.with_view(|view| self.desk.borrow_mut().tick(view, now));
            self.mark.set(Some(ClockMark::now()));
            sleep(TICK).await;
        }
    }

    /// Decides about a request as the limiter of its workspace, or its deputy.
    fn decide(&self, question: LimiterRequest<'_>) -> (QuotaReply, bool) {
        self.notice_absence();
        let now = Instant::now();
        self.with_view(|view| self.desk.borrow_mut().decide(question, view, now))
    }

    fn chief_address(&self, workspace: &str) -> Option<Box<str>> {
        self.with_view(|view| view.limiter(workspace).map(|limiter| limiter.address.clone()))
    }

    /// Begins anew after a pause, or when others took this instance for failed: they have asked
    /// somebody else meanwhile. The first to run after a pause may be a peer's question.
    fn notice_absence(&self) {
        let suspicions = self.peers.suspicions();
        let doubted = self.suspicions.replace(suspicions) != suspicions;
        let mark = self.mark.get();
        let paused = mark.is_some_and(|mark| mark.steady().elapsed() >= PAUSE || mark.is_paused());
        if !doubted && !paused {
            return;
        }
        let cause = if paused { "paused" } else { "doubted" };
        log::info!("event=limits_restarted cause={cause}");
        self.desk.borrow_mut().restart(Instant::now());
        self.mark.set(Some(ClockMark::now()));
    }

    /// Lets something look at the members of the moment.
    fn with_view<T>(&self, look: impl FnOnce(&QuotaView) -> T) -> T {
        let (changes, least) = (self.peers.changes(), self.least.get().unwrap_or(0));
        let mut seen = self.seen.borrow_mut();
        let now = Instant::now();
        let seen = seen.get_or_insert_with(|| {
            let view = QuotaView::new(self.me.clone(), self.peers.quota_members(), least, now);
            SeenMembers { changes, least, view }
        });
        if (seen.changes, seen.least) != (changes, least) {
            (seen.changes, seen.least) = (changes, least);
            seen.view.update(self.peers.quota_members(), least, now);
        }
        look(&seen.view)
    }
}

impl QuotaListener for QuotaClient {
    fn take(&self, from: &str, message: QuotaMessage) {
        match message {
            QuotaMessage::Ask { id, workspace, ask } => {
                // Without the configuration nothing is known of a limit, and without the number of
                // members not what part of it is this one's; the asker goes elsewhere.
                let Some(quota) = self.source.quota(&workspace) else { return };
                if self.least.get().is_none() {
                    return;
                }
                let question =
                    LimiterRequest { id, workspace: &workspace, quota_request: ask, quota };
                let (reply, chief) = self.decide(question);
                let chief = if chief { None } else { self.chief_address(&workspace) };
                self.peers.send(from, &QuotaMessage::Reply { id, reply, chief }.encode());
            }
            QuotaMessage::Reply { id, reply, chief } => {
                if let Some(waiting) = self.waiting.borrow().get(&id) {
                    // Whoever asked may have left meanwhile.
                    let _ = waiting.send(HeardReply { from: from.into(), reply, chief });
                }
            }
            QuotaMessage::GiveBack { workspace, ask } => {
                self.desk.borrow_mut().release(&workspace, ask, Instant::now());
            }
        }
    }
}

impl QuotaClient {
    /// Whom to ask in a round: addresses of peers, and whether this instance is among them.
    fn targets(&self, workspace: &str, round: usize) -> (Vec<Box<str>>, bool) {
        self.with_view(|view| {
            let silent = self.silent.borrow();
            let [first, second] = view.candidates(workspace);
            let passed = first.is_some_and(|first| silent.contains(&first.address));
            let second = second.filter(|_| round >= ALONE || passed);
            let asked: Vec<_> = first.into_iter().chain(second).collect();
            let knows = self.least.get().is_some();
            let own = knows && asked.iter().any(|member| view.is_me(member));
            let peers = asked.iter().filter(|member| !view.is_me(member));
            (peers.map(|member| member.address.clone()).collect(), own)
        })
    }

    async fn ask_round(
        &self,
        question: LimiterRequest<'_>,
        round: usize,
        replies: &mut UnboundedReceiver<HeardReply>,
    ) -> Option<LimitAnswer> {
        let LimiterRequest { id, workspace, quota_request: request, .. } = question;
        let (peers, own) = self.targets(workspace, round);
        let datagram =
            QuotaMessage::Ask { id, workspace: workspace.clone(), ask: request }.encode();
        peers.iter().for_each(|peer| self.peers.send(peer, &datagram));
        if own {
            let (reply, chief) = self.decide(question);
            if chief || is_granted(reply) {
                return Some(LimitAnswer { reply, limiter: None });
            }
        }
        let heard = async {
            while let Some(heard) = replies.recv().await {
                self.unheard.set(0);
                // A deputy that has nothing to give does not say that the limit is reached.
                let Some(chief) = heard.chief.filter(|_| !is_granted(heard.reply)) else {
                    return Some(LimitAnswer { reply: heard.reply, limiter: Some(heard.from) });
                };
                // Where all have just started, it knows some that this instance has not heard of.
                if !peers.contains(&chief) {
                    self.peers.send(&chief, &datagram);
                }
            }
            None
        };
        let reply = timeout(REPEAT, heard).await.ok().flatten();
        if reply.is_none()
            && round + 1 >= ALONE
            && let Some(first) = peers.first()
        {
            self.silent.borrow_mut().note(first);
        }
        reply
    }

    /// Asks until somebody answers.
    async fn ask_all(
        &self,
        workspace: &WorkspaceId,
        quota: QuotaLimit,
        request: QuotaRequest,
    ) -> Option<LimitAnswer> {
        let id: QuotaRequestId = rand::random();
        let question = LimiterRequest { id, workspace, quota_request: request, quota };
        let (sender, mut replies) = unbounded_channel();
        self.waiting.borrow_mut().insert(id, sender);
        let _open = OpenQuestion { waiting: &self.waiting, id };
        let patience = if self.unheard.get() >= UNHEARD { SHORT_PATIENCE } else { PATIENCE };
        let until = Instant::now() + patience;
        let mut round = 0;
        while Instant::now() < until {
            let reply = self.ask_round(question, round, &mut replies).await;
            if reply.is_some() {
                return reply;
            }
            round += 1;
        }
        self.unheard.set(self.unheard.get().saturating_add(1));
        None
    }
}

fn is_granted(reply: QuotaReply) -> bool {
    matches!(reply, QuotaReply::Granted { .. })
}

/// A question that waits for its answer; forgotten when its asker leaves.
struct OpenQuestion<'a> {
    waiting: &'a RefCell<HashMap<QuotaRequestId, UnboundedSender<HeardReply>>>,
    id: QuotaRequestId,
}

impl Drop for OpenQuestion<'_> {
    fn drop(&mut self) {
        self.waiting.borrow_mut().remove(&self.id);
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
        let Some(answer) = self.ask_all(workspace, quota, request).await else {
            return QuotaOutcome::Uncertain { retry_after: UNCERTAIN_RETRY };
        };
        match answer.reply {
            QuotaReply::Granted { after } => {
                // Even no time at all would wait for the runtime's next millisecond.
                if !after.is_zero() {
                    sleep(after).await;
                }
                QuotaOutcome::Granted(QuotaPermit {
                    workspace: workspace.clone(),
                    request,
                    limiter: answer.limiter,
                    granted: Instant::now(),
                })
            }
            QuotaReply::Refused { retry_after } => QuotaOutcome::OverLimit { retry_after },
        }
    }

    fn release(&self, place: QuotaPermit) {
        if !place.is_fresh() {
            return;
        }
        match &place.limiter {
            Some(limiter) => {
                let QuotaPermit { workspace, request, .. } = &place;
                let message =
                    QuotaMessage::GiveBack { workspace: workspace.clone(), ask: *request };
                self.peers.send(limiter, &message.encode());
            }
            None => self.desk.borrow_mut().release(&place.workspace, place.request, Instant::now()),
        }
    }

    fn samples(&self) -> Vec<LimitSample> {
        self.desk.borrow().samples(Instant::now())
    }
}

#[cfg(test)]
#[path = "client_tests.rs"]
mod tests;
