//! merlinsaddle schedules agent programs in front of model engines and plain services.
//!
//! [`core`] decides and does no input or output; [`node`] surrounds it with sockets and timers;
//! [`gateway`] serves callers where any instance may serve any request;
//! [`bench`] measures; [`client`] is a caller's library;
//! [`standin`] takes the platform's and the upstreams' place in tests; [`cmd`] is the command line.

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
