//! HTTP server that runs on the thread of its caller.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::{BodyStream, BoxBody};
use actix_http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use actix_http::{HttpMessage, Method, Request, Response, StatusCode};
use bytes::{Bytes, BytesMut};
use futures_util::future::LocalBoxFuture;
use futures_util::stream::{Stream, StreamExt};
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, timeout};

use super::http_connection::{ConnectionError, ServerConnection};

/// A request with its complete body.
#[derive(Debug)]
pub(crate) struct HttpRequest {
    pub(crate) method: Method,
    pub(crate) path: Box<str>,
    pub(crate) query: Box<str>,
    pub(crate) body: Bytes,
    /// Counts the body as long as it is needed.
    pub(crate) hold: BodyHold,
    /// Another instance forwarded the request.
    pub(crate) forwarded: bool,
}

impl HttpRequest {
    pub(crate) fn parameter(&self, name: &str) -> Option<&str> {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

/// Bounds on what the clients of a listener send.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ListenerLimits {
    /// Bytes of a body.
    pub(crate) body: usize,
    /// Bytes of all bodies that are larger than [`SMALL_BODY_BYTES`].
    pub(crate) bodies: usize,
    /// Open connections.
    pub(crate) connections: usize,
}

impl From<usize> for ListenerLimits {
    /// Bounds each body alone.
    fn from(body: usize) -> Self {
        Self { body, bodies: usize::MAX, connections: usize::MAX }
    }
}

/// A part of what the bodies of a listener may hold together, given back on drop.
#[derive(Debug)]
pub(crate) struct BodyHold {
    held: Rc<Cell<usize>>,
    bytes: usize,
}

impl BodyHold {
    /// `None` if there is no room for a body of this size.
    fn acquire(held: &Rc<Cell<usize>>, size: usize, limits: ListenerLimits) -> Option<Self> {
        let bytes = if size > SMALL_BODY_BYTES { size } else { 0 };
        let total = held.get().checked_add(bytes).filter(|total| *total <= limits.bodies)?;
        held.set(total);
        Some(Self { held: held.clone(), bytes })
    }
}

impl Drop for BodyHold {
    fn drop(&mut self) {
        self.held.set(self.held.get() - self.bytes);
    }
}

pub(crate) type HttpResponse = Response<BoxBody>;
pub(crate) type HttpHandler = Rc<dyn Fn(HttpRequest) -> LocalBoxFuture<'static, HttpResponse>>;

/// Header that prevents a request from being forwarded twice.
pub(crate) const FORWARDED_HEADER: &str = "x-merlinsaddle-forwarded";
const KEEP_ALIVE: Duration = Duration::from_secs(30);
/// An idle connection is closed after this time where half of them are open.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Bounds on reading a body that is too large: four times the largest body accepted anywhere.
const MAX_DISCARDED_BYTES: usize = 16 * 1024 * 1024;
/// Requests of this size are always read.
const SMALL_BODY_BYTES: usize = 64 * 1024;
const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);

pub(crate) fn handler<F, R>(handle: F) -> HttpHandler
where
    F: Fn(HttpRequest) -> R + 'static,
    R: Future<Output = HttpResponse> + 'static,
{
    Rc::new(move |request| Box::pin(handle(request)))
}

/// Accepts connections until its task is dropped.
pub(crate) async fn serve_http(
    listener: &TcpListener,
    limits: impl Into<ListenerLimits>,
    handler: HttpHandler,
) {
    let shared = Rc::new(ServedListener {
        limits: limits.into(),
        handler,
        held: Rc::default(),
        open: Cell::new(0),
    });
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if shared.open.get() >= shared.limits.connections {
            log::warn!("event=connection_refused peer={peer} open={}", shared.open.get());
            continue;
        }
        actix_rt::spawn(serve_connection(OpenConnection::new(&shared), stream, peer));
    }
}

/// What the connections of a listener share.
struct ServedListener {
    limits: ListenerLimits,
    handler: HttpHandler,
    /// Bytes of large bodies.
    held: Rc<Cell<usize>>,
    open: Cell<usize>,
}

/// Counts a connection as open until it is dropped.
struct OpenConnection {
    listener: Rc<ServedListener>,
}

impl OpenConnection {
    fn new(listener: &Rc<ServedListener>) -> Self {
        listener.open.update(|open| open + 1);
        Self { listener: listener.clone() }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.listener.open.update(|open| open - 1);
    }
}

/// Serves the requests of a connection one after the other: a client that does not read its answers
/// keeps one of them here at most.
async fn serve_connection(open: OpenConnection, stream: TcpStream, peer: SocketAddr) {
    let _ = stream.set_nodelay(true);
    let mut connection = ServerConnection::new(stream);
    loop {
        match serve_request(&open.listener, &mut connection).await {
            Ok(true) => {}
            Ok(false) | Err(ConnectionError::Ended) => return,
            Err(error) => {
                log::debug!("event=connection_closed peer={peer} error=\"{error}\"");
                return;
            }
        }
    }
}

/// Returns false if the connection cannot carry another request.
async fn serve_request(
    listener: &ServedListener,
    connection: &mut ServerConnection,
) -> Result<bool, ConnectionError> {
    let idle_since = Instant::now();
    while !connection.has_input(IDLE_CHECK_INTERVAL).await? {
        let is_crowded = listener.open.get() > listener.limits.connections / 2;
        if is_crowded || idle_since.elapsed() >= KEEP_ALIVE {
            return Ok(false);
        }
    }
    let request = match connection.head().await {
        Ok(request) => request,
        Err(ConnectionError::Malformed(_) | ConnectionError::HeadTooLarge) => {
            connection.respond(text_response(StatusCode::BAD_REQUEST, "malformed head")).await?;
            return Ok(false);
        }
        Err(error) => return Err(error),
    };
    let response = match read_body(listener, connection, &request).await? {
        Ok(request) => (listener.handler)(request).await,
        Err(refusal) => refusal,
    };
    connection.respond(response).await
}

/// Discards the rest of a body. Closing the connection while the caller still sends would reset it
/// before the caller reads the response.
async fn discard(connection: &mut ServerConnection) {
    let rest = async {
        let mut remaining = MAX_DISCARDED_BYTES;
        while let Ok(Some(chunk)) = connection.chunk().await {
            match remaining.checked_sub(chunk.len()) {
                Some(rest) => remaining = rest,
                None => return,
            }
        }
    };
    let _ = timeout(DISCARD_TIMEOUT, rest).await;
}

/// The size of a body by its head; `None` if it is sent in chunks.
fn declared_length(request: &Request) -> Option<usize> {
    let headers = request.headers();
    let length = headers.get(CONTENT_LENGTH).and_then(|value| value.to_str().ok()?.parse().ok());
    match headers.contains_key(TRANSFER_ENCODING) {
        true => None,
        false => Some(length.unwrap_or(0)),
    }
}

/// Reads the body of a request, or returns why it is refused.
async fn read_body(
    listener: &ServedListener,
    connection: &mut ServerConnection,
    request: &Request,
) -> Result<Result<HttpRequest, HttpResponse>, ConnectionError> {
    let max_body = listener.limits.body;
    let declared = declared_length(request).map(|length| length.min(max_body));
    let size = declared.unwrap_or(max_body);
    let Some(hold) = BodyHold::acquire(&listener.held, size, listener.limits) else {
        discard(connection).await;
        let message = "no memory for the body";
        return Ok(Err(text_response(StatusCode::SERVICE_UNAVAILABLE, message)));
    };
    if request.head().expect() {
        connection.accept_body().await?;
    }
    let mut body = BytesMut::with_capacity(declared.unwrap_or(0));
    loop {
        let chunk = match connection.chunk().await {
            Ok(Some(chunk)) => chunk,
            Ok(None) => break,
            Err(ConnectionError::Malformed(_) | ConnectionError::BadBody(_)) => {
                return Ok(Err(text_response(StatusCode::BAD_REQUEST, "broken body")));
            }
            Err(error) => return Err(error),
        };
        if body.len() + chunk.len() > max_body {
            // The refusal is sent even if the body was not read completely.
            discard(connection).await;
            let message = format!("the body is larger than {max_body} bytes");
            return Ok(Err(text_response(StatusCode::PAYLOAD_TOO_LARGE, &message)));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(Ok(HttpRequest {
        method: request.method().clone(),
        path: request.path().into(),
        query: request.uri().query().unwrap_or_default().into(),
        forwarded: request.headers().contains_key(FORWARDED_HEADER),
        body: body.freeze(),
        hold,
    }))
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

pub(crate) fn text_response(status: StatusCode, message: &str) -> HttpResponse {
    json_response(status, &ErrorBody { error: message })
}

pub(crate) fn json_response(status: StatusCode, body: &impl Serialize) -> HttpResponse {
    let text = serde_json::to_vec(body).expect("responses serialize");
    body_response(status, "application/json", text.into())
}

pub(crate) fn body_response(status: StatusCode, kind: &'static str, body: Bytes) -> HttpResponse {
    let response = Response::build(status).insert_header(("content-type", kind)).body(body);
    response.map_into_boxed_body()
}

/// Streams JSON lines.
pub(crate) fn line_response(
    lines: impl Stream<Item = Bytes> + 'static,
    owner: Option<&str>,
) -> HttpResponse {
    let mut response = Response::build(StatusCode::OK);
    response.insert_header(("content-type", "application/x-ndjson"));
    if let Some(owner) = owner {
        response.insert_header(("x-merlinsaddle-owner", owner));
    }
    let body = BodyStream::new(lines.map(Ok::<_, Infallible>));
    response.body(body).map_into_boxed_body()
}
