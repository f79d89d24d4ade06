//! Binds the sockets of a gateway and starts its tasks.

use std::cell::{Cell, RefCell};
use std::io;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use socket2::SockRef;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::Notify;
use tokio::time::sleep;

use super::Gateway;
use super::committer::StoreCommitter;
use super::dialect::GatewayDialect;
use super::feed::{ChangeFeed, FeedReaders};
use super::handlers::{directory_handler, peer_handler, ready_handler};
use super::http::ConnectionPool;
use super::load::{LoadDemand, SharedLoad, SharedUpstreams};
use super::members::MemberView;
use super::memory::{MemoryGate, ResidentWatch};
use super::metrics::GatewayMetrics;
use super::quotas::{MemberCounter, MinMembers, QuotaClient, QuotaEnforcer, ShareEnforcer};
use super::readiness::AdvertisedReadiness;
use super::repeats::{LossExchange, StoreLedger};
use super::server::serve_callers;
use super::settings::{GatewayMechanism, GatewaySettings, QuotaMode};
use super::stop::StopState;
use super::store::StoreLink;
use super::sweep::ProgramSweeper;
use super::turns::TurnManager;
use crate::core::turns::gains_programs;
use crate::node::LaunchError;
use crate::util::http_server::{HttpHandler, ListenerLimits, serve_http};
use crate::util::supervise::spawn_supervised;

/// Fits a relayed store transaction of the largest size, which is Base64-encoded twice.
const MAX_PEER_BODY: usize = 4 * 1024 * 1024;
/// Of what is left for the process.
const MAX_PEER_BODIES: usize = 2 * MAX_PEER_BODY;
/// Of one address but that of callers. Fits the peers of a fleet, and leaves most descriptors to callers.
const MAX_CONNECTIONS: usize = 1_500;
/// Carries 5 MB/s at a round trip of 25 ms.
const RECEIVE_BUFFER_BYTES: usize = 128 * 1024;
/// The ready and directory addresses take no bodies.
const MAX_QUERY_BODY: usize = 1024;
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(200);
/// Maintenance interval until the instance is ready; callers may be waiting for it.
const STARTUP_INTERVAL: Duration = Duration::from_millis(10);
/// Time for the zone's reader of the change feed to deliver a version of the routes that peers
/// already have. After that, the instance reads the routes from the store itself; they are long,
/// and a reader delivers them at no cost.
const FEED_READER_TIMEOUT: Duration = Duration::from_millis(600);

pub struct GatewaySockets {
    callers: TcpListener,
    ready: TcpListener,
    directory: TcpListener,
    peers: TcpListener,
    gossip: UdpSocket,
}

impl GatewaySockets {
    /// Binds the addresses of the settings. Where the port is 0, the port that was assigned is
    /// written back.
    pub async fn open(settings: &mut GatewaySettings) -> Result<Self, LaunchError> {
        let ready = listen(&mut settings.ready_address).await?;
        let directory = listen(&mut settings.directory_address).await?;
        let peers = listen(&mut settings.peer_address).await?;
        let address = settings.gossip_address(&settings.peer_address);
        let gossip = with_address(&address, UdpSocket::bind(&*address).await)?;
        settings.gossip_port = with_address(&address, gossip.local_addr())?.port();
        // Last, as connections would be reset if another address cannot be bound.
        let callers = listen(&mut settings.caller_address).await?;
        bound_receive_buffers(&callers);
        Ok(Self { callers, ready, directory, peers, gossip })
    }
}

async fn listen(address: &mut Box<str>) -> Result<TcpListener, LaunchError> {
    let listener = with_address(address, TcpListener::bind(&**address).await)?;
    *address = with_address(address, listener.local_addr())?.to_string().into();
    Ok(listener)
}

/// Bounds the bytes that the kernel receives on each accepted connection before they are read.
fn bound_receive_buffers(listener: &TcpListener) {
    if let Err(error) = SockRef::from(listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES) {
        log::warn!("event=socket_option_refused error=\"{error}\"");
    }
}

fn with_address<T>(address: &str, bound: io::Result<T>) -> Result<T, LaunchError> {
    bound.map_err(|error| LaunchError::new(address, error))
}

pub struct RunningGateway {
    gateway: Rc<Gateway>,
}

impl RunningGateway {
    /// Stops gracefully. Returns true if no open call was cut off.
    pub async fn shut_down(&self) -> bool {
        self.gateway.shut_down().await
    }

    /// Reloads the settings and applies those that can change at run time, which are the seeds.
    /// A file that cannot be read changes nothing.
    pub fn reload(&self, path: &Path) {
        match GatewaySettings::load(path) {
            Ok(settings) => {
                log::info!("event=settings_reloaded seeds={}", settings.seeds.len());
                self.gateway.members.set_seeds(&settings);
            }
            Err(error) => log::error!("event=settings_rejected error=\"{error}\""),
        }
    }
}

pub fn launch_gateway(
    settings: GatewaySettings,
    sockets: GatewaySockets,
    dialect: Rc<dyn GatewayDialect>,
    seed: u64,
) -> RunningGateway {
    let pool = Rc::new(ConnectionPool::default());
    let across = settings.store_across_parts.unwrap_or(false);
    let address = &settings.store_address;
    let metrics = GatewayMetrics::new(&settings.instance);
    let meter = metrics.store_meter();
    let store = Rc::new(StoreLink::new(address, pool.clone(), dialect.clone(), across, meter));
    let members = Rc::new(MemberView::new(&settings, sockets.gossip, seed));
    if settings.uses(GatewayMechanism::Relays) {
        store.set_peers(members.clone());
    }
    let readers = settings.uses(GatewayMechanism::NewsReaders);
    let readers = readers.then(|| members.clone() as Rc<dyn FeedReaders>);
    let feed = Rc::new(ChangeFeed::new(store.clone(), pool.clone(), dialect.clone(), readers));
    let quotas = launch_quotas(&settings, &store, &members, &feed);
    let cache_bytes = settings.cache_bytes();
    let committer =
        Rc::new(StoreCommitter::new(store.clone(), settings.uses(GatewayMechanism::RateHold)));
    supervise("committer", &committer, StoreCommitter::run);
    supervise("store_watch", &store, StoreLink::watch);
    let load = Rc::new(SharedLoad::new(members.clone(), metrics.load_meter(), SystemTime::now));
    if settings.uses(GatewayMechanism::SharedLoad) {
        members.set_load_listener(load.clone());
        supervise("load", &load, SharedLoad::run);
    }
    let ledger = StoreLedger::new(settings.instance.clone(), store.clone(), committer.clone());
    let losses = LossExchange::new(members.clone(), Rc::new(ledger), metrics.loss_meter());
    let losses = Rc::new(losses);
    losses.start();
    members.set_loss_listener(losses.clone());
    feed.set_upstream_listener(losses.clone());
    let row_bytes = settings.store_row_bytes;
    let turns =
        TurnManager::new(store.clone(), committer.clone(), pool.clone(), cache_bytes, row_bytes);
    let memory = Rc::new(MemoryGate::new(settings.memory_bounds(), metrics.memory_meter()));
    let gateway = Rc::new(Gateway {
        metrics,
        settings,
        dialect,
        pool,
        store,
        feed: feed.clone(),
        turns: Rc::new(turns),
        committer,
        members: members.clone(),
        quotas,
        memory,
        stop: StopState::default(),
        readiness: AdvertisedReadiness::default(),
        gate: RefCell::default(),
        admission: RefCell::default(),
        retries: RefCell::default(),
        load: load.clone(),
        losses,
        open_calls: Cell::new(0),
        open_connections: Cell::new(0),
        lingering_connections: Cell::new(0),
        open_listeners: Cell::new(0),
        connections_ended: Notify::new(),
    });
    let demand: Rc<dyn LoadDemand> = gateway.clone();
    load.set_demand(Rc::downgrade(&demand));
    if gateway.settings.uses(GatewayMechanism::SharedFailures) {
        let gateway: Rc<dyn SharedUpstreams> = gateway.clone();
        load.set_upstreams(Rc::downgrade(&gateway));
    }
    log::info!(
        "event=started zone={} caller_address={} directory_address={} peer_address={}",
        gateway.settings.zone,
        gateway.settings.caller_address,
        gateway.settings.directory_address,
        gateway.settings.peer_address
    );
    let instance = gateway.settings.instance.clone();
    let sweeper = ProgramSweeper::new(instance, gateway.store.clone(), feed.clone());
    supervise("sweeper", &Rc::new(sweeper), ProgramSweeper::run);
    supervise("feed_readers", &feed, ChangeFeed::follow_readers);
    supervise("members", &members, MemberView::run);
    supervise("datagrams", &members, MemberView::receive);
    supervise("feed_routes", &feed, ChangeFeed::follow_routes);
    supervise("feed_upstreams", &feed, ChangeFeed::follow_upstreams);
    supervise("feed_outages", &feed, ChangeFeed::follow_outages);
    supervise("maintenance", &gateway, Gateway::run_maintenance);
    let ready = ready_handler(gateway.clone());
    let directory = directory_handler(gateway.clone());
    let peers = peer_handler(gateway.clone());
    let connections = MAX_CONNECTIONS;
    let peer_limits = ListenerLimits { body: MAX_PEER_BODY, bodies: MAX_PEER_BODIES, connections };
    let query_limits = ListenerLimits { connections, ..MAX_QUERY_BODY.into() };
    supervise_http("ready_server", sockets.ready, query_limits, ready);
    supervise_http("directory_server", sockets.directory, query_limits, directory);
    supervise_http("peer_server", sockets.peers, peer_limits, peers);
    let callers = Rc::new((gateway.clone(), sockets.callers));
    supervise("caller_server", &callers, |callers| async move {
        serve_callers(&callers.0, &callers.1).await;
    });
    RunningGateway { gateway }
}

/// Starts a task on shared state, which a panic does not end for good.
fn supervise<T: 'static, F: Future<Output = ()> + 'static>(
    name: &'static str,
    state: &Rc<T>,
    run: impl Fn(Rc<T>) -> F + 'static,
) {
    let state = state.clone();
    spawn_supervised(name, move || run(state.clone()));
}

fn supervise_http(
    name: &'static str,
    listener: TcpListener,
    limits: ListenerLimits,
    handler: HttpHandler,
) {
    supervise(name, &Rc::new(listener), move |listener| {
        let handler = handler.clone();
        async move { serve_http(&listener, limits, handler).await }
    });
}

fn launch_quotas(
    settings: &GatewaySettings,
    store: &Rc<StoreLink>,
    members: &Rc<MemberView>,
    feed: &Rc<ChangeFeed>,
) -> Rc<dyn QuotaEnforcer> {
    let least = MinMembers::default();
    let instance = settings.instance.clone();
    let size = MemberCounter::new(instance.clone(), store.clone(), members.clone(), least.clone());
    supervise("member_counter", &Rc::new(size), MemberCounter::run);
    let bounds = settings.quota_bounds();
    if settings.quota_way == QuotaMode::Shares {
        return Rc::new(ShareEnforcer::new(bounds, members.clone(), least));
    }
    let by_program = settings.uses(GatewayMechanism::ProgramQuota);
    let limiter =
        QuotaClient::new(instance, bounds, by_program, members.clone(), feed.clone(), least);
    let limiter = Rc::new(limiter);
    members.set_quota_listener(limiter.clone());
    supervise("quotas", &limiter, QuotaClient::run);
    limiter
}

impl Gateway {
    /// Updates the advertised readiness, prunes idle connections, and reacts to membership and
    /// route changes that peers report.
    async fn run_maintenance(self: Rc<Self>) {
        let memory = ResidentWatch::new(self.settings.memory_bytes());
        let mut seen_coordinators = self.members.coordinators();
        loop {
            self.update_readiness();
            self.pool.prune();
            self.losses.prune();
            self.log_memory_level(&memory);
            let coordinators = self.members.coordinators();
            if gains_programs(&self.settings.instance, &seen_coordinators, &coordinators) {
                self.turns.record_moved_programs();
            }
            seen_coordinators = coordinators;
            self.fetch_newer_routes().await;
            sleep(if self.readiness.is_announced() {
                MAINTENANCE_INTERVAL
            } else {
                STARTUP_INTERVAL
            })
            .await;
        }
    }

    fn log_memory_level(&self, memory: &ResidentWatch) {
        let Some(level) = memory.check() else { return };
        let name = if level.is_high { "memory_high" } else { "memory_low" };
        log::warn!(
            "event={name} resident={} limit={} held={} cached={} open_calls={} open_connections={}",
            level.resident,
            level.limit,
            self.memory.held(),
            self.turns.cached_bytes(),
            self.open_calls.get(),
            self.open_connections.get()
        );
    }

    /// Reads the routes at once if a peer has a newer version, since the instance's own pending
    /// read of the change feed may hang on a dead connection.
    async fn fetch_newer_routes(&self) {
        let version = self.feed.routes().map_or(0, |table| table.version);
        self.members.set_config_head(version);
        let (peer_version, since) = self.members.peer_config_head();
        let timeout = if self.feed.is_following() { FEED_READER_TIMEOUT } else { Duration::ZERO };
        if peer_version > version && version > 0 && since.elapsed() >= timeout {
            self.feed.catch_up(peer_version).await;
        }
    }
}
