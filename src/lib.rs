//! merlinsaddle schedules agent programs in front of model engines and plain services.
//!
//! [`core`] holds the decision logic and does no I/O; [`node`] adds sockets and timers;
//! [`gateway`] serves callers where any instance may serve any request;
//! [`bench`] holds benchmarks; [`client`] is the client library;
//! [`standin`] replaces the platform and the upstreams in tests; [`cmd`] is the command line.

pub mod bench;
pub mod client;
pub mod cmd;
pub mod config;
pub mod core;
pub mod gateway;
pub mod node;
pub mod standin;
pub(crate) mod util;

#[rustfmt::skip]
#[allow(clippy::all, clippy::unimplemented, missing_docs)]
#[path = "schema/operator_capnp.rs"]
mod operator_capnp;
#[rustfmt::skip]
#[allow(clippy::all, clippy::unimplemented, missing_docs)]
#[path = "schema/peer_capnp.rs"]
mod peer_capnp;
