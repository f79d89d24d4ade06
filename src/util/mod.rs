//! I/O helpers shared by the other modules.

mod answer_head;
#[cfg(test)]
mod answer_head_tests;
pub(crate) mod client_connection;
#[cfg(test)]
mod client_connection_tests;
pub(crate) mod framed;
pub(crate) mod http_client;
#[cfg(test)]
mod http_client_tests;
pub(crate) mod http_connection;
pub(crate) mod http_server;
pub(crate) mod line_budget;
pub(crate) mod line_sink;
pub(crate) mod lines;
pub(crate) mod meter;
pub(crate) mod pause;
pub(crate) mod rpc;
pub(crate) mod supervise;
