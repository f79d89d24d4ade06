//! The operators' RPC interface, published in schema/operator.capnp.

mod client;
mod server;
mod wire;

use std::rc::Rc;
use std::time::Duration;

use capnp_rpc::new_client;
use tokio::net::TcpListener;

use super::instance::Node;
use super::peers::run_connection;
use crate::operator_capnp::operator;

pub use client::{ClientError, MemberLine, OperatorClient, ProgramLine, StatusLine};
pub use wire::{VersionedDefinition, VersionedEngineGroup, VersionedWorkspace};

pub const SCHEMA_VERSION: u32 = crate::operator_capnp::SCHEMA_VERSION;

/// Accepts operators' connections until its task is dropped.
pub async fn serve_operators(node: Rc<Node>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            actix_rt::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let server = server::OperatorServer::new(node.clone());
        let client: operator::Client = new_client(server);
        actix_rt::spawn(run_connection(stream, client.client));
    }
}
