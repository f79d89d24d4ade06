//! Bounds every wait for another instance, whatever carries the messages.

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

/// Longer than the network's own limit, which also gives the silent connection up.
const CALL_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time until a carried call must have begun to stream: it says each second that it waits.
const STREAM_TIMEOUT: Duration = Duration::from_millis(3500);
/// Pings while a request waits in another instance's queue.
const PULSE_INTERVAL: Duration = Duration::from_secs(1);
/// Silence after which such a request is given up.
const PULSE_LIMIT: Duration = Duration::from_millis(3500);

/// Signs of life from one instance while something waits there.
struct PeerPulse {
    asked: Cell<Instant>,
    heard: Cell<Instant>,
}

/// A network whose calls end in time.
pub(crate) struct TimedPeers {
    inner: Rc<dyn PeerNetwork>,
    pulses: RefCell<BTreeMap<InstanceId, Rc<PeerPulse>>>,
}

async fn limited<T>(
    to: &MemberInfo,
    limit: Duration,
    call: impl Future<Output = Result<T, PeerError>>,
) -> Result<T, PeerError> {
    timeout(limit, call).await.unwrap_or_else(|_| Err(PeerError::lost(to)))
}

impl TimedPeers {
    pub(crate) fn new(inner: Rc<dyn PeerNetwork>) -> Rc<Self> {
        Rc::new(Self { inner, pulses: RefCell::default() })
    }

    fn pulse(&self, to: &MemberInfo) -> Rc<PeerPulse> {
        let now = Instant::now();
        let mut pulses = self.pulses.borrow_mut();
        pulses.retain(|_, pulse| Rc::strong_count(pulse) > 1);
        let fresh = || Rc::new(PeerPulse { asked: Cell::new(now), heard: Cell::new(now) });
        pulses.entry(to.instance.clone()).or_insert_with(fresh).clone()
    }

    /// Completes when an instance has been silent too long.
    ///
    /// A request may rightly wait long in a queue, so its own silence tells nothing; over a silent
    /// connection it would wait until its deadline although other engines have room. All requests
    /// that wait at one instance share its pings.
    async fn wait_silent(&self, to: &MemberInfo) {
        let pulse = self.pulse(to);
        while pulse.heard.get().elapsed() < PULSE_LIMIT {
            sleep(PULSE_INTERVAL).await;
            if pulse.asked.get().elapsed() < PULSE_INTERVAL {
                continue;
            }
            pulse.asked.set(Instant::now());
            let (inner, to, pulse) = (self.inner.clone(), to.clone(), pulse.clone());
            actix_rt::spawn(async move {
                if limited(&to, CALL_TIMEOUT, inner.ping(&to)).await.is_ok() {
                    pulse.heard.set(Instant::now());
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
        limited(to, CALL_TIMEOUT, self.inner.ping(to)).await
    }

    async fn acquire(
        &self,
        to: &MemberInfo,
        request: PermitRequest,
    ) -> Result<PermitReply, PeerError> {
        let limit = request.wait + CALL_TIMEOUT;
        tokio::select! {
            reply = limited(to, limit, self.inner.acquire(to, request)) => reply,
            () = self.wait_silent(to) => Err(PeerError::lost(to)),
        }
    }

    async fn finish(
        &self,
        to: &MemberInfo,
        engine: &str,
        permit: PermitId,
    ) -> Result<(), PeerError> {
        limited(to, CALL_TIMEOUT, self.inner.finish(to, engine, permit)).await
    }

    async fn revoke(&self, to: &MemberInfo, permit: PermitId) -> Result<(), PeerError> {
        limited(to, CALL_TIMEOUT, self.inner.revoke(to, permit)).await
    }

    async fn shards_released(
        &self,
        to: &MemberInfo,
        shards: Vec<ShardId>,
    ) -> Result<(), PeerError> {
        limited(to, CALL_TIMEOUT, self.inner.shards_released(to, shards)).await
    }

    async fn ended_programs(
        &self,
        to: &MemberInfo,
        programs: Vec<ProgramId>,
    ) -> Result<Vec<ProgramId>, PeerError> {
        limited(to, CALL_TIMEOUT, self.inner.ended_programs(to, programs)).await
    }

    async fn changes_since(
        &self,
        to: &MemberInfo,
        version: ConfigVersion,
    ) -> Result<Vec<ConfigChange>, PeerError> {
        limited(to, CALL_TIMEOUT, self.inner.changes_since(to, version)).await
    }

    async fn forward_call(
        &self,
        to: &MemberInfo,
        request: CallRequest,
    ) -> Result<Result<Rc<LiveCall>, CallRefusal>, PeerError> {
        limited(to, STREAM_TIMEOUT, self.inner.forward_call(to, request)).await
    }

    async fn forward_follow(
        &self,
        to: &MemberInfo,
        program: ProgramId,
        number: CallNumber,
    ) -> Result<Result<Rc<LiveCall>, CallRefusal>, PeerError> {
        limited(to, STREAM_TIMEOUT, self.inner.forward_follow(to, program, number)).await
    }

    async fn forward_end(
        &self,
        to: &MemberInfo,
        program: ProgramId,
    ) -> Result<Result<(), CallRefusal>, PeerError> {
        limited(to, CALL_TIMEOUT, self.inner.forward_end(to, program)).await
    }

    async fn forward_show(
        &self,
        to: &MemberInfo,
        program: ProgramId,
    ) -> Result<Result<Box<str>, CallRefusal>, PeerError> {
        limited(to, CALL_TIMEOUT, self.inner.forward_show(to, program)).await
    }
}
