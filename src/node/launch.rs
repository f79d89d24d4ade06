//! Runs a node on network sockets.

use std::io::{self, ErrorKind};
use std::rc::Rc;
use std::time::Duration;

use derive_more::{Display, Error};
use tokio::net::{TcpListener, UdpSocket};
use tokio::time::sleep;

use super::callers::serve_callers;
use super::instance::{Node, NodeParts, start_node};
use super::operators::serve_operators;
use super::peers::{RpcNetwork, serve_peers};
use super::platform::HttpPlatform;
use super::upstream::HttpUpstreams;
use crate::config::NodeSettings;

const START_RETRY_DELAY: Duration = Duration::from_millis(500);

#[derive(Debug, Display, Error)]
#[display("cannot listen on {address}: {error}")]
pub struct LaunchError {
    address: Box<str>,
    #[error(source)]
    error: io::Error,
}

impl LaunchError {
    pub(crate) fn new(address: &str, error: io::Error) -> Self {
        Self { address: address.into(), error }
    }

    /// The address may become free, or be assigned to this machine, a moment later.
    pub(crate) fn is_address_taken(&self) -> bool {
        matches!(self.error.kind(), ErrorKind::AddrInUse | ErrorKind::AddrNotAvailable)
    }
}

pub struct NodeSockets {
    http: TcpListener,
    rpc: TcpListener,
    peers: TcpListener,
    gossip: UdpSocket,
}

async fn listen(address: &str) -> Result<TcpListener, LaunchError> {
    TcpListener::bind(address).await.map_err(|error| LaunchError { address: address.into(), error })
}

impl NodeSockets {
    /// Binds the addresses in the settings; a port 0 is replaced there by the port that was bound.
    pub async fn open(settings: &mut NodeSettings) -> Result<Self, LaunchError> {
        let http = listen(&settings.http_address).await?;
        let rpc = listen(&settings.rpc_address).await?;
        let peers = listen(&settings.gossip_address).await?;
        settings.http_address = bound_address(&http, &settings.http_address)?;
        settings.rpc_address = bound_address(&rpc, &settings.rpc_address)?;
        settings.gossip_address = bound_address(&peers, &settings.gossip_address)?;
        let address = &settings.gossip_address;
        let gossip = UdpSocket::bind(&**address)
            .await
            .map_err(|error| LaunchError { address: address.clone(), error })?;
        Ok(Self { http, rpc, peers, gossip })
    }
}

fn bound_address(listener: &TcpListener, requested: &str) -> Result<Box<str>, LaunchError> {
    let address = listener.local_addr();
    let address = address.map_err(|error| LaunchError { address: requested.into(), error })?;
    Ok(address.to_string().into())
}

/// Starts a node on its sockets, retrying until the platform is available.
pub async fn launch_node(settings: NodeSettings, sockets: NodeSockets, seed: u64) -> Rc<Node> {
    let gossip = Rc::new(sockets.gossip);
    let network = RpcNetwork::new(gossip.clone());
    let node = loop {
        let platform = Rc::new(HttpPlatform::new(&settings.platform_address));
        let upstreams = Rc::new(HttpUpstreams::default());
        let parts = NodeParts {
            settings: settings.clone(),
            table: platform.clone(),
            objects: platform.clone(),
            roster: platform,
            engines: upstreams.clone(),
            services: upstreams,
            peers: network.clone(),
            skew: Duration::ZERO,
            seed,
        };
        match start_node(parts).await {
            Ok(node) => break node,
            Err(error) => {
                log::warn!("event=start_retried instance={} error=\"{error}\"", settings.instance);
                sleep(START_RETRY_DELAY).await;
            }
        }
    };
    network.attach(&node);
    actix_rt::spawn(serve_peers(node.clone(), sockets.peers, gossip));
    actix_rt::spawn(serve_operators(node.clone(), sockets.rpc));
    actix_rt::spawn(serve_callers(node.clone(), sockets.http));
    node
}
