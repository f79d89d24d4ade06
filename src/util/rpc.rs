//! Client side of Cap'n Proto RPC connections.

use capnp::capability::FromClientHook;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use futures_util::io::{BufReader, BufWriter};
use tokio::net::TcpStream;
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

/// An open connection; calls on `client` complete only while `system` is polled.
pub(crate) struct RpcConnection<T> {
    pub(crate) client: T,
    pub(crate) system: RpcSystem<Side>,
}

pub(crate) fn connect_rpc<T: FromClientHook>(stream: TcpStream) -> RpcConnection<T> {
    // Nagle's algorithm would delay small requests.
    let _ = stream.set_nodelay(true);
    let (reader, writer) = stream.into_split();
    let network = twoparty::VatNetwork::new(
        BufReader::new(reader.compat()),
        BufWriter::new(writer.compat_write()),
        Side::Client,
        Default::default(),
    );
    let mut system = RpcSystem::new(Box::new(network), None);
    let client = system.bootstrap(Side::Server);
    RpcConnection { client, system }
}
