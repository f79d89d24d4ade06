//! Transport to other instances: gossip over UDP, RPC over pooled connections, and calls over HTTP.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};
use std::time::Duration;

use actix_http::Method;
use async_trait::async_trait;
use bytes::Bytes;
use tokio::net::{TcpStream, UdpSocket};
use tokio::sync::{Mutex, Notify};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};

use super::codec::{encode_gossip, read_stamp, write_permit, write_stamp};
use super::{PeerError, PeerNetwork, PermitReply, PermitRequest};
use crate::core::config::ConfigChange;
use crate::core::ids::{
    CallNumber, ConfigVersion, PermitId, ProgramId, ShardId, format_program_id,
};
use crate::core::members::{GossipMessage, MemberInfo};
use crate::core::outcome::{CallOutcome, CallRefusal, UnknownCall};
use crate::core::timeline::CausalStamp;
use crate::node::callers::CallBody;
use crate::node::calls::{CallEvent, CallRequest, LiveCall};
use crate::node::instance::Node;
use crate::peer_capnp::{peer, permit_result};
use crate::util::http_client::{HttpClient, HttpError};
use crate::util::lines::LineReader;
use crate::util::rpc::{RpcConnection, connect_rpc};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1500);
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Unused connections are closed: open connections to every member of a large cluster would
/// exceed an instance's memory budget for control traffic.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Streams between instances carry an event at least each second.
const STREAM_STALL_TIMEOUT: Duration = Duration::from_secs(3);
const MAX_FOLLOW_ATTEMPTS: u32 = 10;
const FOLLOW_RETRY_DELAY: Duration = Duration::from_millis(300);

/// An RPC connection; its task is aborted when the last call over it has completed.
struct PeerConnection {
    client: peer::Client,
    health: Rc<ConnectionHealth>,
    system: JoinHandle<()>,
    last_used: Cell<Instant>,
}

#[derive(Default)]
struct ConnectionHealth {
    broken: Cell<bool>,
    changed: Notify,
}

impl ConnectionHealth {
    fn set_broken(&self) {
        self.broken.set(true);
        self.changed.notify_waiters();
    }

    /// Completes when the connection is broken; calls over it may then stay unanswered forever.
    async fn wait_broken(&self) {
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if self.broken.get() {
                return;
            }
            changed.await;
        }
    }
}

impl Drop for PeerConnection {
    fn drop(&mut self) {
        self.system.abort();
    }
}

pub struct RpcNetwork {
    socket: Rc<UdpSocket>,
    connections: RefCell<BTreeMap<Box<str>, Rc<PeerConnection>>>,
    /// One lock per address, held while a connection is opened, so that an unresponsive member does
    /// not delay calls to others.
    connecting: RefCell<BTreeMap<Box<str>, Rc<Mutex<()>>>>,
    http: Rc<HttpClient>,
    /// Provides the causal clock and the metrics; set by `attach`.
    node: RefCell<Weak<Node>>,
}

impl RpcNetwork {
    pub fn new(socket: Rc<UdpSocket>) -> Rc<Self> {
        Rc::new(Self {
            socket,
            connections: RefCell::default(),
            connecting: RefCell::default(),
            http: Rc::default(),
            node: RefCell::default(),
        })
    }

    pub fn attach(&self, node: &Rc<Node>) {
        *self.node.borrow_mut() = Rc::downgrade(node);
    }

    fn stamp(&self) -> CausalStamp {
        self.node.borrow().upgrade().map_or(CausalStamp::default(), |node| node.stamp())
    }

    fn observe(&self, stamp: CausalStamp) {
        if let Some(node) = self.node.borrow().upgrade() {
            node.observe_stamp(stamp);
        }
    }

    /// Returns the open connection to a member, or opens one. Concurrent callers share it.
    async fn connection(&self, to: &MemberInfo) -> Result<Rc<PeerConnection>, PeerError> {
        let lock = {
            let mut connecting = self.connecting.borrow_mut();
            connecting.retain(|_, lock| Rc::strong_count(lock) > 1);
            connecting.entry(to.gossip_address.clone()).or_default().clone()
        };
        let _guard = lock.lock().await;
        let in_use = |connection: &Rc<PeerConnection>| {
            Rc::strong_count(connection) > 1 || connection.last_used.get().elapsed() < IDLE_TIMEOUT
        };
        self.connections.borrow_mut().retain(|_, connection| in_use(connection));
        let existing = self.connections.borrow().get(&to.gossip_address).cloned();
        if let Some(connection) = &existing {
            connection.last_used.set(Instant::now());
        }
        if let Some(connection) = existing.filter(|connection| !connection.health.broken.get()) {
            return Ok(connection);
        }
        let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(&*to.gossip_address));
        let Ok(Ok(stream)) = connecting.await else { return Err(PeerError::unreachable(to)) };
        let connection = Rc::new(connect(stream));
        self.connections.borrow_mut().insert(to.gossip_address.clone(), connection.clone());
        Ok(connection)
    }

    /// Runs one RPC; a failure or timeout marks the connection as broken.
    async fn rpc<T>(
        &self,
        to: &MemberInfo,
        connection: Rc<PeerConnection>,
        limit: Duration,
        call: impl Future<Output = Result<T, capnp::Error>>,
    ) -> Result<T, PeerError> {
        let answer = tokio::select! {
            answer = timeout(limit, call) => answer,
            () = connection.health.wait_broken() => return Err(PeerError::lost(to)),
        };
        if let Ok(Ok(value)) = answer {
            return Ok(value);
        }
        connection.health.set_broken();
        Err(PeerError::lost(to))
    }

    async fn forward_unary(
        &self,
        to: &MemberInfo,
        method: Method,
        program: ProgramId,
    ) -> Result<Result<Bytes, CallRefusal>, PeerError> {
        let path = format!("/v1/programs/{}", format_program_id(program));
        let empty = Bytes::new();
        let limit = CALL_TIMEOUT;
        let sent = self.http.exchange_unpooled(method, &to.http_address, &path, empty, true, limit);
        match sent.await {
            Ok(body) => Ok(Ok(body)),
            Err(HttpError::Status { message, .. }) => {
                serde_json::from_str(&message).map(Err).map_err(|_| PeerError::lost(to))
            }
            Err(HttpError::NotSent) => Err(PeerError::unreachable(to)),
            Err(HttpError::Lost { .. }) => Err(PeerError::lost(to)),
        }
    }

    async fn open_stream(
        &self,
        to: &MemberInfo,
        method: Method,
        path: &str,
        body: Bytes,
        number: CallNumber,
    ) -> Result<Result<Rc<LiveCall>, CallRefusal>, PeerError> {
        let opening = self.http.open(method, &to.http_address, path, body, true);
        let chunks = match timeout(STREAM_STALL_TIMEOUT, opening).await {
            Ok(Ok(chunks)) => chunks,
            Ok(Err(HttpError::Status { message, .. })) => {
                return serde_json::from_str(&message).map(Err).map_err(|_| PeerError::lost(to));
            }
            Ok(Err(HttpError::NotSent)) => return Err(PeerError::unreachable(to)),
            Ok(Err(HttpError::Lost { .. })) | Err(_) => return Err(PeerError::lost(to)),
        };
        let call = LiveCall::new();
        let relay = StreamRelay {
            http: self.http.clone(),
            address: to.http_address.clone(),
            path: follow_path(path, number),
            call: call.clone(),
        };
        actix_rt::spawn(relay.run(LineReader::new(chunks)));
        Ok(Ok(call))
    }
}

fn follow_path(path: &str, number: CallNumber) -> Box<str> {
    if path.ends_with("/calls") { format!("{path}/{number}").into() } else { path.into() }
}

fn connect(stream: TcpStream) -> PeerConnection {
    let RpcConnection { client, system } = connect_rpc(stream);
    let health = Rc::new(ConnectionHealth::default());
    let running = actix_rt::spawn({
        let health = health.clone();
        async move {
            let _ = system.await;
            health.set_broken();
        }
    });
    PeerConnection { client, health, system: running, last_used: Cell::new(Instant::now()) }
}

/// Relays a call's events from another instance and reconnects when the stream breaks.
struct StreamRelay {
    http: Rc<HttpClient>,
    address: Box<str>,
    path: Box<str>,
    call: Rc<LiveCall>,
}

impl StreamRelay {
    async fn run(self, mut lines: LineReader) {
        for _ in 0..MAX_FOLLOW_ATTEMPTS {
            if self.relay_events(&mut lines).await {
                return;
            }
            sleep(FOLLOW_RETRY_DELAY).await;
            let path = format!("{}?offset={}", self.path, self.call.text().len());
            let empty = Bytes::new();
            let opening = self.http.open(Method::GET, &self.address, &path, empty, true);
            if let Ok(Ok(chunks)) = timeout(STREAM_STALL_TIMEOUT, opening).await {
                lines = LineReader::new(chunks);
            }
        }
        let message = "the program's owner was lost; the same request id may be sent again";
        self.call
            .finish(CallOutcome::Unknown(UnknownCall { message: message.into(), retryable: true }));
    }

    /// Returns true after the final event, false if the stream broke or stalled.
    async fn relay_events(&self, lines: &mut LineReader) -> bool {
        loop {
            match timeout(STREAM_STALL_TIMEOUT, lines.next::<CallEvent>()).await {
                Ok(Ok(CallEvent::Tokens { text, .. })) => self.call.push(&text),
                Ok(Ok(CallEvent::Waiting)) => {}
                Ok(Ok(CallEvent::Final(outcome))) => {
                    self.call.finish(outcome);
                    return true;
                }
                Ok(Err(_)) | Err(_) => return false,
            }
        }
    }
}

#[async_trait(?Send)]
impl PeerNetwork for RpcNetwork {
    fn gossip(&self, to: &str, message: GossipMessage) {
        let bytes = encode_gossip(&message);
        if let Some(node) = self.node.borrow().upgrade() {
            node.metrics.record_control_bytes(bytes.len());
        }
        let Ok(address) = to.parse::<std::net::SocketAddr>() else { return };
        // Gossip tolerates loss, so the datagram is dropped if the socket buffer is full.
        let _ = self.socket.try_send_to(&bytes, address);
    }

    async fn ping(&self, to: &MemberInfo) -> Result<(), PeerError> {
        let connection = self.connection(to).await?;
        let call = connection.client.ping_request();
        self.rpc(to, connection, CALL_TIMEOUT, async { call.send().promise.await.map(drop) }).await
    }

    async fn acquire(
        &self,
        to: &MemberInfo,
        request: PermitRequest,
    ) -> Result<PermitReply, PeerError> {
        let connection = self.connection(to).await?;
        let mut call = connection.client.acquire_request();
        let mut params = call.get();
        write_stamp(params.reborrow().init_stamp(), self.stamp());
        write_permit(params.init_request(), &request);
        let answer = async {
            let response = call.send().promise.await?;
            let results = response.get()?;
            self.observe(read_stamp(results.get_stamp()?));
            Ok(match results.get_result()?.which()? {
                permit_result::Granted(()) => PermitReply::Granted,
                permit_result::RefusedRetryMillis(wait) => {
                    PermitReply::Refused(Duration::from_millis(wait.into()))
                }
                permit_result::NotOwner(()) => PermitReply::NotOwner,
            })
        };
        self.rpc(to, connection, request.wait + CALL_TIMEOUT, answer).await
    }

    async fn release(
        &self,
        to: &MemberInfo,
        engine: &str,
        permit: PermitId,
    ) -> Result<(), PeerError> {
        let connection = self.connection(to).await?;
        let mut call = connection.client.finish_request();
        write_stamp(call.get().init_stamp(), self.stamp());
        call.get().set_engine(engine);
        call.get().set_permit(permit);
        self.rpc(to, connection, CALL_TIMEOUT, async { call.send().promise.await.map(drop) }).await
    }

    async fn revoke(&self, to: &MemberInfo, permit: PermitId) -> Result<(), PeerError> {
        let connection = self.connection(to).await?;
        let mut call = connection.client.revoke_request();
        write_stamp(call.get().init_stamp(), self.stamp());
        call.get().set_permit(permit);
        self.rpc(to, connection, CALL_TIMEOUT, async { call.send().promise.await }).await?;
        Ok(())
    }

    async fn shards_released(
        &self,
        to: &MemberInfo,
        shards: Vec<ShardId>,
    ) -> Result<(), PeerError> {
        let connection = self.connection(to).await?;
        let mut call = connection.client.shards_released_request();
        write_stamp(call.get().init_stamp(), self.stamp());
        let mut list = call.get().init_shards(shards.len() as u32);
        for (index, shard) in (0..).zip(shards) {
            list.set(index, shard);
        }
        self.rpc(to, connection, CALL_TIMEOUT, async { call.send().promise.await.map(drop) }).await
    }

    async fn ended_programs(
        &self,
        to: &MemberInfo,
        programs: Vec<ProgramId>,
    ) -> Result<Vec<ProgramId>, PeerError> {
        let connection = self.connection(to).await?;
        let mut call = connection.client.ended_request();
        write_stamp(call.get().init_stamp(), self.stamp());
        let mut list = call.get().init_programs(programs.len() as u32);
        for (index, program) in (0..).zip(programs) {
            list.set(index, program);
        }
        let answer = async {
            let response = call.send().promise.await?;
            Ok(response.get()?.get_programs()?.iter().collect())
        };
        self.rpc(to, connection, CALL_TIMEOUT, answer).await
    }

    async fn changes_since(
        &self,
        to: &MemberInfo,
        version: ConfigVersion,
    ) -> Result<Vec<ConfigChange>, PeerError> {
        let connection = self.connection(to).await?;
        let mut call = connection.client.changes_since_request();
        call.get().set_version(version);
        let answer = async {
            let response = call.send().promise.await?;
            let mut changes = Vec::new();
            for bytes in response.get()?.get_changes()?.iter() {
                let change = serde_json::from_slice(bytes?)
                    .map_err(|error| capnp::Error::failed(error.to_string()))?;
                changes.push(change);
            }
            Ok(changes)
        };
        self.rpc(to, connection, CALL_TIMEOUT, answer).await
    }

    async fn forward_call(
        &self,
        to: &MemberInfo,
        request: CallRequest,
    ) -> Result<Result<Rc<LiveCall>, CallRefusal>, PeerError> {
        let body = serde_json::to_vec(&CallBody::from_request(&request)).expect("calls serialize");
        let path = format!("/v1/programs/{}/calls", format_program_id(request.program));
        self.open_stream(to, Method::POST, &path, body.into(), request.number).await
    }

    async fn forward_follow(
        &self,
        to: &MemberInfo,
        program: ProgramId,
        number: CallNumber,
    ) -> Result<Result<Rc<LiveCall>, CallRefusal>, PeerError> {
        let path = format!("/v1/programs/{}/calls/{number}", format_program_id(program));
        self.open_stream(to, Method::GET, &path, Bytes::new(), number).await
    }

    async fn forward_end(
        &self,
        to: &MemberInfo,
        program: ProgramId,
    ) -> Result<Result<(), CallRefusal>, PeerError> {
        let answer = self.forward_unary(to, Method::DELETE, program).await?;
        Ok(answer.map(drop))
    }

    async fn forward_show(
        &self,
        to: &MemberInfo,
        program: ProgramId,
    ) -> Result<Result<Box<str>, CallRefusal>, PeerError> {
        let answer = self.forward_unary(to, Method::GET, program).await?;
        Ok(answer.map(|body| String::from_utf8_lossy(&body).into()))
    }
}
