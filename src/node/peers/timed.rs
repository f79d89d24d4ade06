//! Timeouts for every request to another instance, independent of the transport.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use tokio::time::{Instant, sleep, timeout};

use super::{PeerError, PeerNetwork, PermitReply, PermitRequest};
use crate::core::config::ConfigChange;
use crate::core::ids::{CallNumber, ConfigVersion, InstanceId, PermitId, ProgramId, ShardId};
use crate::core::members::{GossipMessage, MemberInfo};
use crate::core::outcome::CallRefusal;
use crate::node::calls::{CallRequest, LiveCall};

/// Exceeds the transport's own timeout, which also closes the unresponsive connection.
const CALL_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time until a forwarded call must start to stream. The owner sends a `Waiting` event each second.
const STREAM_TIMEOUT: Duration = Duration::from_millis(3500);
/// Interval of pings while a request is queued at another instance.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Time without a reply after which a queued request fails.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(3500);

/// Pings to one instance, shared by all requests that are queued there.
struct PeerHeartbeat {
    last_ping: Cell<Instant>,
    last_reply: Cell<Instant>,
}

/// Wraps a [`PeerNetwork`] with timeouts.
pub(crate) struct TimedPeers {
    inner: Rc<dyn PeerNetwork>,
    heartbeats: RefCell<BTreeMap<InstanceId, Rc<PeerHeartbeat>>>,
}

async fn with_timeout<T>(
    to: &MemberInfo,
    limit: Duration,
    call: impl Future<Output = Result<T, PeerError>>,
) -> Result<T, PeerError> {
    timeout(limit, call).await.unwrap_or_else(|_| Err(PeerError::lost(to)))
}

impl TimedPeers {
    pub(crate) fn new(inner: Rc<dyn PeerNetwork>) -> Rc<Self> {
        Rc::new(Self { inner, heartbeats: RefCell::default() })
    }

    fn heartbeat(&self, to: &MemberInfo) -> Rc<PeerHeartbeat> {
        let now = Instant::now();
        let mut heartbeats = self.heartbeats.borrow_mut();
        heartbeats.retain(|_, heartbeat| Rc::strong_count(heartbeat) > 1);
        let create =
            || Rc::new(PeerHeartbeat { last_ping: Cell::new(now), last_reply: Cell::new(now) });
        heartbeats.entry(to.instance.clone()).or_insert_with(create).clone()
    }

    /// Completes when the instance has not answered a ping within `HEARTBEAT_TIMEOUT`.
    ///
    /// A queued request may legitimately stay unanswered for long. Without pings it would wait for
    /// a lost instance until its deadline, although other engines have capacity.
    async fn wait_unresponsive(&self, to: &MemberInfo) {
        let heartbeat = self.heartbeat(to);
        while heartbeat.last_reply.get().elapsed() < HEARTBEAT_TIMEOUT {
            sleep(HEARTBEAT_INTERVAL).await;
            if heartbeat.last_ping.get().elapsed() < HEARTBEAT_INTERVAL {
                continue;
            }
            heartbeat.last_ping.set(Instant::now());
            let (inner, to, heartbeat) = (self.inner.clone(), to.clone(), heartbeat.clone());
            actix_rt::spawn(async move {
                if with_timeout(&to, CALL_TIMEOUT, inner.ping(&to)).await.is_ok() {
                    heartbeat.last_reply.set(Instant::now());
                }
            });
        }
    }
}

#[async_trait(?Send)]
impl PeerNetwork for TimedPeers {
    fn gossip(&self, to: &str, message: GossipMessage) {
        self.inner.gossip(to, message);
    }

    async fn ping(&self, to: &MemberInfo) -> Result<(), PeerError> {
        with_timeout(to, CALL_TIMEOUT, self.inner.ping(to)).await
    }

    async fn acquire(
        &self,
        to: &MemberInfo,
        request: PermitRequest,
    ) -> Result<PermitReply, PeerError> {
        let limit = request.wait + CALL_TIMEOUT;
        tokio::select! {
            reply = with_timeout(to, limit, self.inner.acquire(to, request)) => reply,
            () = self.wait_unresponsive(to) => Err(PeerError::lost(to)),
        }
    }

    async fn release(
        &self,
        to: &MemberInfo,
        engine: &str,
        permit: PermitId,
    ) -> Result<(), PeerError> {
        with_timeout(to, CALL_TIMEOUT, self.inner.release(to, engine, permit)).await
    }

    async fn revoke(&self, to: &MemberInfo, permit: PermitId) -> Result<(), PeerError> {
        with_timeout(to, CALL_TIMEOUT, self.inner.revoke(to, permit)).await
    }

    async fn shards_released(
        &self,
        to: &MemberInfo,
        shards: Vec<ShardId>,
    ) -> Result<(), PeerError> {
        with_timeout(to, CALL_TIMEOUT, self.inner.shards_released(to, shards)).await
    }

    async fn ended_programs(
        &self,
        to: &MemberInfo,
        programs: Vec<ProgramId>,
    ) -> Result<Vec<ProgramId>, PeerError> {
        with_timeout(to, CALL_TIMEOUT, self.inner.ended_programs(to, programs)).await
    }

    async fn changes_since(
        &self,
        to: &MemberInfo,
        version: ConfigVersion,
    ) -> Result<Vec<ConfigChange>, PeerError> {
        with_timeout(to, CALL_TIMEOUT, self.inner.changes_since(to, version)).await
    }

    async fn forward_call(
        &self,
        to: &MemberInfo,
        request: CallRequest,
    ) -> Result<Result<Rc<LiveCall>, CallRefusal>, PeerError> {
        with_timeout(to, STREAM_TIMEOUT, self.inner.forward_call(to, request)).await
    }

    async fn forward_follow(
        &self,
        to: &MemberInfo,
        program: ProgramId,
        number: CallNumber,
    ) -> Result<Result<Rc<LiveCall>, CallRefusal>, PeerError> {
        with_timeout(to, STREAM_TIMEOUT, self.inner.forward_follow(to, program, number)).await
    }

    async fn forward_end(
        &self,
        to: &MemberInfo,
        program: ProgramId,
    ) -> Result<Result<(), CallRefusal>, PeerError> {
        with_timeout(to, CALL_TIMEOUT, self.inner.forward_end(to, program)).await
    }

    async fn forward_show(
        &self,
        to: &MemberInfo,
        program: ProgramId,
    ) -> Result<Result<Box<str>, CallRefusal>, PeerError> {
        with_timeout(to, CALL_TIMEOUT, self.inner.forward_show(to, program)).await
    }
}
