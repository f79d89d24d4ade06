//! Puts a gateway on its sockets and runs its tasks.

use std::cell::{Cell, RefCell};
use std::io;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::Notify;
use tokio::time::sleep;

use super::Gateway;
use super::committer::StoreCommitter;
use super::desk::{directory_handler, peer_handler, ready_handler};
use super::dialect::GatewayDialect;
use super::http::ConnectionPool;
use super::members::MemberView;
use super::metrics::GatewayMetrics;
use super::news::{NewsReaders, StoreNews};
use super::offer::CallerOffer;
use super::quotas::{MemberCounter, MinMembers, QuotaClient, QuotaEnforcer, ShareEnforcer};
use super::server::serve_callers;
use super::settings::{GatewayMechanism, GatewaySettings, QuotaWay};
use super::stop::StopState;
use super::store::StoreLink;
use super::sweep::ProgramSweeper;
use super::turns::TurnKeeper;
use crate::node::LaunchError;
use crate::util::http_server::serve_http;

/// Largest body on the address for peers: a store transaction of 1 MB, encoded twice.
const MAX_PEER_BODY: usize = 4 * 1024 * 1024;
/// The ready and directory addresses take no bodies.
const MAX_QUESTION: usize = 1024;
/// How often idle connections are looked through, and news of peers looked at.
const CHORES_PACE: Duration = Duration::from_millis(200);
/// How often an instance that starts looks whether it is ready; callers wait for it.
const START_PACE: Duration = Duration::from_millis(10);
/// How long a reader of news has for a version of the routes that peers know already. Routes are long, and
/// whoever has a reader gets them from it at no price.
const READER_PATIENCE: Duration = Duration::from_millis(600);

/// The sockets of one gateway, open.
pub struct GatewaySockets {
    callers: TcpListener,
    ready: TcpListener,
    directory: TcpListener,
    peers: TcpListener,
    gossip: UdpSocket,
}

impl GatewaySockets {
    /// Opens the addresses of the settings. Those with port 0 get a free port, which is written
    /// back into the settings.
    pub async fn open(settings: &mut GatewaySettings) -> Result<Self, LaunchError> {
        let callers = listen(&mut settings.caller_address).await?;
        let ready = listen(&mut settings.ready_address).await?;
        let directory = listen(&mut settings.directory_address).await?;
        let peers = listen(&mut settings.peer_address).await?;
        let address = settings.gossip_address(&settings.peer_address);
        let gossip = named(&address, UdpSocket::bind(&*address).await)?;
        settings.gossip_port = named(&address, gossip.local_addr())?.port();
        Ok(Self { callers, ready, directory, peers, gossip })
    }
}

async fn listen(address: &mut Box<str>) -> Result<TcpListener, LaunchError> {
    let listener = named(address, TcpListener::bind(&**address).await)?;
    *address = named(address, listener.local_addr())?.to_string().into();
    Ok(listener)
}

fn named<T>(address: &str, bound: io::Result<T>) -> Result<T, LaunchError> {
    bound.map_err(|error| LaunchError::new(address, error))
}

/// A gateway with all its tasks.
pub struct RunningGateway {
    gateway: Rc<Gateway>,
}

impl RunningGateway {
    /// Stops gracefully; true if nothing was cut off.
    pub async fn shut_down(&self) -> bool {
        self.gateway.shut_down().await
    }

    /// Reads the settings again. What a running process can change is taken over; a file that
    /// cannot be read changes nothing.
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

/// Starts a gateway on its sockets.
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
    let readers = readers.then(|| members.clone() as Rc<dyn NewsReaders>);
    let news = Rc::new(StoreNews::new(store.clone(), pool.clone(), dialect.clone(), readers));
    let quotas = launch_quotas(&settings, &store, &members, &news);
    let cache_bytes = settings.cache_bytes();
    let committer =
        Rc::new(StoreCommitter::new(store.clone(), settings.uses(GatewayMechanism::RateHold)));
    actix_rt::spawn(committer.clone().run());
    actix_rt::spawn(store.clone().watch());
    let row_bytes = settings.store_row_bytes;
    let turns =
        TurnKeeper::new(store.clone(), committer.clone(), pool.clone(), cache_bytes, row_bytes);
    let gateway = Rc::new(Gateway {
        metrics,
        settings,
        dialect,
        pool,
        store,
        news: news.clone(),
        turns: Rc::new(turns),
        committer,
        members: members.clone(),
        quotas,
        stop: StopState::default(),
        offer: CallerOffer::default(),
        gate: RefCell::default(),
        open_calls: Cell::new(0),
        calls_ended: Notify::new(),
    });
    log::info!(
        "event=started zone={} caller_address={} directory_address={} peer_address={}",
        gateway.settings.zone,
        gateway.settings.caller_address,
        gateway.settings.directory_address,
        gateway.settings.peer_address
    );
    let instance = gateway.settings.instance.clone();
    let sweeper = ProgramSweeper::new(instance, gateway.store.clone(), news.clone());
    actix_rt::spawn(sweeper.run());
    actix_rt::spawn(news.clone().follow_readers());
    actix_rt::spawn(members.run());
    actix_rt::spawn(news.clone().follow_routes());
    actix_rt::spawn(news.clone().follow_upstreams());
    actix_rt::spawn(news.follow_outages());
    actix_rt::spawn(gateway.clone().do_chores());
    let ready = ready_handler(gateway.clone());
    let directory = directory_handler(gateway.clone());
    let peers = peer_handler(gateway.clone());
    actix_rt::spawn(serve_http(sockets.ready, MAX_QUESTION, ready));
    actix_rt::spawn(serve_http(sockets.directory, MAX_QUESTION, directory));
    actix_rt::spawn(serve_http(sockets.peers, MAX_PEER_BODY, peers));
    actix_rt::spawn(serve_callers(gateway.clone(), sockets.callers));
    RunningGateway { gateway }
}

/// Starts the keeper of limits that the settings name.
fn launch_quotas(
    settings: &GatewaySettings,
    store: &Rc<StoreLink>,
    members: &Rc<MemberView>,
    news: &Rc<StoreNews>,
) -> Rc<dyn QuotaEnforcer> {
    let least = MinMembers::default();
    let me = settings.instance.clone();
    let size = MemberCounter::new(me.clone(), store.clone(), members.clone(), least.clone());
    actix_rt::spawn(size.run());
    let bounds = settings.quota_bounds();
    if settings.quota_way == QuotaWay::Shares {
        return Rc::new(ShareEnforcer::new(bounds, members.clone(), least));
    }
    let by_program = settings.uses(GatewayMechanism::ProgramQuota);
    let limiter = QuotaClient::new(me, bounds, by_program, members.clone(), news.clone(), least);
    let limiter = Rc::new(limiter);
    members.set_quota_listener(limiter.clone());
    actix_rt::spawn(limiter.clone().run());
    limiter
}

impl Gateway {
    /// Says when the instance becomes ready, and looks after idle connections and peers' news.
    async fn do_chores(self: Rc<Self>) {
        let mut seen = self.members.changes();
        loop {
            self.update_offer();
            self.pool.prune();
            let changes = self.members.changes();
            if std::mem::replace(&mut seen, changes) != changes || self.is_draining() {
                self.turns.hand_over(|programs| self.members.coordinated_elsewhere(programs));
            }
            self.follow_heads().await;
            sleep(if self.offer.is_announced() { CHORES_PACE } else { START_PACE }).await;
        }
    }

    /// Reads the routes at once if a peer has newer ones: this instance's own question may hang on
    /// a connection that has gone silent.
    async fn follow_heads(&self) {
        let version = self.news.routes().map_or(0, |table| table.version);
        self.members.set_config_head(version);
        let (heard, since) = self.members.peer_config_head();
        let patience = if self.news.is_led() { READER_PATIENCE } else { Duration::ZERO };
        if heard > version && version > 0 && since.elapsed() >= patience {
            self.news.catch_up(heard).await;
        }
    }
}
