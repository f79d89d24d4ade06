//! Serves other instances over gossip datagrams (UDP) and RPC (TCP) on the same port number.

use std::rc::Rc;
use std::time::Duration;

use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, new_client, twoparty};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use super::PermitReply;
use super::codec::{decode_gossip, read_permit, read_stamp, write_stamp};
use crate::node::instance::Node;
use crate::peer_capnp::peer;

const MAX_DATAGRAM_BYTES: usize = 64 * 1024;

/// Runs until its task is dropped.
pub async fn serve_peers(node: Rc<Node>, listener: TcpListener, socket: Rc<UdpSocket>) {
    let datagrams = receive_datagrams(node.clone(), socket);
    let connections = accept_connections(node, listener);
    futures_util::future::join(datagrams, connections).await;
}

async fn receive_datagrams(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else { continue };
        node.metrics.record_control_bytes(length);
        if let Ok(message) = decode_gossip(&buffer[..length]) {
            node.receive_gossip(&message);
        }
    }
}

async fn accept_connections(node: Rc<Node>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            actix_rt::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let client: peer::Client = new_client(PeerServer { node: node.clone() });
        actix_rt::spawn(run_connection(stream, client.client));
    }
}

/// Serves one RPC connection until it closes.
pub(crate) async fn run_connection(stream: TcpStream, bootstrap: capnp::capability::Client) {
    let _ = stream.set_nodelay(true);
    let (reader, writer) = stream.into_split();
    let network = twoparty::VatNetwork::new(
        futures_util::io::BufReader::new(reader.compat()),
        futures_util::io::BufWriter::new(writer.compat_write()),
        Side::Server,
        Default::default(),
    );
    let _ = RpcSystem::new(Box::new(network), Some(bootstrap)).await;
}

struct PeerServer {
    node: Rc<Node>,
}

impl peer::Server for PeerServer {
    async fn acquire(
        self: Rc<Self>,
        params: peer::AcquireParams,
        mut results: peer::AcquireResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        self.node.observe_stamp(read_stamp(params.get_stamp()?));
        let request = read_permit(params.get_request()?)?;
        let reply = self.node.acquire_local_permit(request).await;
        let mut answer = results.get();
        write_stamp(answer.reborrow().init_stamp(), self.node.stamp());
        let mut result = answer.init_result();
        match reply {
            PermitReply::Granted => result.set_granted(()),
            PermitReply::Refused(wait) => {
                result.set_refused_retry_millis(wait.as_millis().min(u32::MAX.into()) as u32);
            }
            PermitReply::NotOwner => result.set_not_owner(()),
        }
        Ok(())
    }

    async fn finish(
        self: Rc<Self>,
        params: peer::FinishParams,
        _results: peer::FinishResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        self.node.observe_stamp(read_stamp(params.get_stamp()?));
        self.node.release_permit(params.get_engine()?.to_str()?, params.get_permit());
        Ok(())
    }

    async fn revoke(
        self: Rc<Self>,
        params: peer::RevokeParams,
        _results: peer::RevokeResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        self.node.observe_stamp(read_stamp(params.get_stamp()?));
        self.node.revoke_permit(params.get_permit());
        Ok(())
    }

    async fn shards_released(
        self: Rc<Self>,
        params: peer::ShardsReleasedParams,
        _results: peer::ShardsReleasedResults,
    ) -> Result<(), capnp::Error> {
        self.node.observe_stamp(read_stamp(params.get()?.get_stamp()?));
        self.node.hint_shards();
        Ok(())
    }

    async fn ended(
        self: Rc<Self>,
        params: peer::EndedParams,
        mut results: peer::EndedResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        self.node.observe_stamp(read_stamp(params.get_stamp()?));
        let programs: Vec<u64> = params.get_programs()?.iter().collect();
        let ended = self.node.ended_locally(&programs);
        results.get().set_programs(&ended[..])
    }

    async fn changes_since(
        self: Rc<Self>,
        params: peer::ChangesSinceParams,
        mut results: peer::ChangesSinceResults,
    ) -> Result<(), capnp::Error> {
        let changes = self.node.changes_since(params.get()?.get_version());
        let mut list = results.get().init_changes(changes.len() as u32);
        for (index, change) in (0..).zip(&changes) {
            let bytes = serde_json::to_vec(change).expect("changes serialize");
            list.set(index, &bytes);
        }
        Ok(())
    }

    async fn ping(
        self: Rc<Self>,
        _params: peer::PingParams,
        _results: peer::PingResults,
    ) -> Result<(), capnp::Error> {
        Ok(())
    }
}
