//! The callers' HTTP interface, described in docs/CALLERS.md.

mod body;
mod routes;

use std::rc::Rc;

use tokio::net::TcpListener;

use super::instance::Node;
use crate::util::http_server::{handler, serve_http};

pub(crate) use body::{AddressesBody, CallBody, StartBody, StartedBody};

/// Serves callers until its task is dropped.
pub async fn serve_callers(node: Rc<Node>, listener: TcpListener) {
    let max_body_bytes = node.settings.limits.max_body_bytes;
    let handle_request = handler(move |request| routes::handle_request(node.clone(), request));
    serve_http(&listener, max_body_bytes, handle_request).await;
}
