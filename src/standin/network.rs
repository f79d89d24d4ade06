//! Instances of one process that reach each other without sockets, over links that can be cut.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::future::pending;
use std::rc::{Rc, Weak};
use std::time::Duration;

use async_trait::async_trait;
use tokio::time::{sleep, timeout};

use crate::core::config::ConfigChange;
use crate::core::history::EndReason;
use crate::core::ids::{CallNumber, ConfigVersion, InstanceId, PermitId, ProgramId, ShardId};
use crate::core::members::{GossipMessage, MemberInfo};
use crate::core::outcome::{CallOutcome, CallRefusal, RequestFailure};
use crate::node::Node;
use crate::node::calls::{CallEvent, CallRequest, LiveCall};
use crate::node::peers::{PeerError, PeerNetwork, PermitReply, PermitRequest};

/// How a link behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkFault {
    /// Everything fails at once.
    Cut,
    /// Nothing arrives and nothing fails.
    Silent,
    /// Datagrams take so much longer, and calls are never answered.
    Late(Duration),
    /// Calls and ends arrive; what is answered to them is lost.
    RepliesLost,
}

/// The network between the instances of one process.
#[derive(Default)]
pub struct LocalHub {
    nodes: RefCell<BTreeMap<Box<str>, Weak<Node>>>,
    faults: RefCell<BTreeMap<(InstanceId, InstanceId), LinkFault>>,
    down: RefCell<BTreeSet<InstanceId>>,
    /// Connections with a request that will never be answered. A ping over them is not answered
    /// either, though the link works again; giving it up gives the connection up.
    stuck: RefCell<BTreeSet<(InstanceId, InstanceId)>>,
}

impl LocalHub {
    /// Makes a node reachable at its gossip address.
    pub fn add(&self, node: &Rc<Node>) {
        let me = node.member_list().swap_remove(0);
        self.nodes.borrow_mut().insert(me.gossip_address, Rc::downgrade(node));
        self.down.borrow_mut().remove(&me.instance);
    }

    /// Takes an instance off the network.
    pub fn take_down(&self, instance: &str) {
        self.down.borrow_mut().insert(instance.into());
    }

    /// Sets or mends the link between two instances, both ways.
    pub fn set_link(&self, a: &str, b: &str, fault: Option<LinkFault>) {
        let mut faults = self.faults.borrow_mut();
        for key in [(a.into(), b.into()), (b.into(), a.into())] {
            match fault {
                Some(fault) => faults.insert(key, fault),
                None => faults.remove(&key),
            };
        }
    }

    fn fault(&self, from: &str, to: &str) -> Option<LinkFault> {
        let down = self.down.borrow();
        if down.contains(from) || down.contains(to) {
            return Some(LinkFault::Cut);
        }
        self.faults.borrow().get(&(from.into(), to.into())).copied()
    }

    fn node(&self, gossip_address: &str) -> Option<Rc<Node>> {
        self.nodes.borrow().get(gossip_address)?.upgrade()
    }
}

/// One instance's side of a [`LocalHub`].
pub struct LocalPeers {
    pub hub: Rc<LocalHub>,
    pub from: InstanceId,
}

impl LocalPeers {
    fn reply(&self, to: &MemberInfo) -> Result<(), PeerError> {
        let lost = self.hub.fault(&self.from, &to.instance).is_some();
        if lost { Err(PeerError::lost(to)) } else { Ok(()) }
    }

    async fn reach(&self, to: &MemberInfo) -> Result<Rc<Node>, PeerError> {
        match self.hub.fault(&self.from, &to.instance) {
            None => {}
            Some(LinkFault::Cut) => return Err(PeerError::unreachable(to)),
            Some(LinkFault::Silent | LinkFault::Late(_)) => {
                let connection = (self.from.clone(), to.instance.clone());
                self.hub.stuck.borrow_mut().insert(connection);
                pending().await
            }
            Some(LinkFault::RepliesLost) => {}
        }
        let node = self.hub.node(&to.gossip_address);
        node.ok_or_else(|| PeerError::unreachable(to))
    }
}

/// Frees a stuck connection when the wait for it is given up.
struct StuckConnection {
    hub: Rc<LocalHub>,
    connection: (InstanceId, InstanceId),
}

impl Drop for StuckConnection {
    fn drop(&mut self) {
        self.hub.stuck.borrow_mut().remove(&self.connection);
    }
}

/// A call that waits longer is streamed before it has begun, as over sockets.
const FIRST_EVENT: Duration = Duration::from_secs(1);

async fn copy_call(
    submission: impl Future<Output = Result<Rc<LiveCall>, CallRefusal>>,
    to: Rc<LiveCall>,
) {
    let from = match submission.await {
        Ok(call) => call,
        Err(refusal) => return to.finish(CallOutcome::NotRun(refusal)),
    };
    let mut offset = 0;
    loop {
        match from.next(offset).await {
            CallEvent::Tokens { text, .. } => {
                offset += text.len();
                to.push(&text);
            }
            CallEvent::Waiting => {}
            CallEvent::Final(outcome) => return to.finish(outcome),
        }
    }
}

#[async_trait(?Send)]
impl PeerNetwork for LocalPeers {
    fn gossip(&self, to: &str, message: GossipMessage) {
        let Some(node) = self.hub.node(to) else { return };
        let delay = match self.hub.fault(&self.from, node.instance()) {
            None | Some(LinkFault::RepliesLost) => Duration::ZERO,
            Some(LinkFault::Late(delay)) => delay,
            Some(LinkFault::Cut | LinkFault::Silent) => return,
        };
        actix_rt::spawn(async move {
            if !delay.is_zero() {
                sleep(delay).await;
            }
            node.receive_gossip(&message);
        });
    }

    async fn ping(&self, to: &MemberInfo) -> Result<(), PeerError> {
        let connection = (self.from.clone(), to.instance.clone());
        if self.hub.stuck.borrow().contains(&connection) {
            let _given_up = StuckConnection { hub: self.hub.clone(), connection };
            pending().await
        }
        self.reach(to).await.map(drop)
    }

    async fn acquire(
        &self,
        to: &MemberInfo,
        request: PermitRequest,
    ) -> Result<PermitReply, PeerError> {
        Ok(self.reach(to).await?.acquire_local_permit(request).await)
    }

    async fn release(
        &self,
        to: &MemberInfo,
        engine: &str,
        permit: PermitId,
    ) -> Result<(), PeerError> {
        self.reach(to).await?.release_permit(engine, permit);
        Ok(())
    }

    async fn revoke(&self, to: &MemberInfo, permit: PermitId) -> Result<(), PeerError> {
        self.reach(to).await?.revoke_permit(permit);
        Ok(())
    }

    async fn shards_released(
        &self,
        to: &MemberInfo,
        _shards: Vec<ShardId>,
    ) -> Result<(), PeerError> {
        self.reach(to).await?.hint_shards();
        Ok(())
    }

    async fn ended_programs(
        &self,
        to: &MemberInfo,
        programs: Vec<ProgramId>,
    ) -> Result<Vec<ProgramId>, PeerError> {
        Ok(self.reach(to).await?.ended_locally(&programs))
    }

    async fn changes_since(
        &self,
        to: &MemberInfo,
        version: ConfigVersion,
    ) -> Result<Vec<ConfigChange>, PeerError> {
        Ok(self.reach(to).await?.changes_since(version))
    }

    async fn forward_call(
        &self,
        to: &MemberInfo,
        request: CallRequest,
    ) -> Result<Result<Rc<LiveCall>, CallRefusal>, PeerError> {
        let node = self.reach(to).await?;
        let mut submission = Box::pin(async move { node.submit_here(request).await });
        if let Ok(submitted) = timeout(FIRST_EVENT, &mut submission).await {
            self.reply(to)?;
            return Ok(submitted);
        }
        let call = LiveCall::new();
        actix_rt::spawn(copy_call(submission, call.clone()));
        Ok(Ok(call))
    }

    async fn forward_follow(
        &self,
        to: &MemberInfo,
        program: ProgramId,
        number: CallNumber,
    ) -> Result<Result<Rc<LiveCall>, CallRefusal>, PeerError> {
        Ok(self.reach(to).await?.follow_here(program, number).await)
    }

    async fn forward_end(
        &self,
        to: &MemberInfo,
        program: ProgramId,
    ) -> Result<Result<(), CallRefusal>, PeerError> {
        let ended = self.reach(to).await?.end_here(program, EndReason::Asked).await;
        self.reply(to)?;
        match ended {
            Ok(()) => Ok(Ok(())),
            Err(RequestFailure::NotRun(refusal)) => Ok(Err(refusal)),
            Err(RequestFailure::Unknown(_)) => Err(PeerError::lost(to)),
        }
    }

    async fn forward_show(
        &self,
        to: &MemberInfo,
        program: ProgramId,
    ) -> Result<Result<Box<str>, CallRefusal>, PeerError> {
        Ok(self.reach(to).await?.show_here(program).await)
    }
}
