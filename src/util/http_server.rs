//! Serves HTTP on the thread of its caller.

use std::convert::Infallible;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::{BodyStream, BoxBody};
use actix_http::{HttpMessage, HttpService, Method, Payload, Request, Response, StatusCode};
use actix_service::{Service, ServiceFactory};
use bytes::{Bytes, BytesMut};
use futures_util::future::LocalBoxFuture;
use futures_util::stream::{Stream, StreamExt};
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::time::timeout;

/// A request with its whole body.
#[derive(Debug)]
pub(crate) struct HttpRequest {
    pub(crate) method: Method,
    pub(crate) path: Box<str>,
    pub(crate) query: Box<str>,
    pub(crate) body: Bytes,
    /// Set by an instance that carries a caller's request to its owner.
    pub(crate) forwarded: bool,
}

impl HttpRequest {
    /// Value of a query parameter.
    pub(crate) fn parameter(&self, name: &str) -> Option<&str> {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

pub(crate) type HttpResponse = Response<BoxBody>;
pub(crate) type HttpHandler = Rc<dyn Fn(HttpRequest) -> LocalBoxFuture<'static, HttpResponse>>;

/// Header that keeps a request from being carried on a second time.
pub(crate) const FORWARDED_HEADER: &str = "x-merlinsaddle-forwarded";
const KEEP_ALIVE: Duration = Duration::from_secs(30);
/// Most that is read of a body after it was found too large, in bytes: four times the largest that is
/// taken anywhere. And the longest time for that, in which so much comes at 27 Mbit/s.
const MAX_DISCARDED: usize = 16 * 1024 * 1024;
const DISCARD_TIME: Duration = Duration::from_secs(5);

/// Wraps an async function as a handler.
pub(crate) fn handler<F, R>(handle: F) -> HttpHandler
where
    F: Fn(HttpRequest) -> R + 'static,
    R: Future<Output = HttpResponse> + 'static,
{
    Rc::new(move |request| Box::pin(handle(request)))
}

/// Accepts connections until the listener's task is dropped.
pub(crate) async fn serve_http(listener: TcpListener, max_body: usize, handler: HttpHandler) {
    let service = move |request: Request| {
        let handler = handler.clone();
        async move { Ok::<_, Infallible>(answer(request, max_body, handler).await) }
    };
    let factory = HttpService::build()
        .keep_alive(KEEP_ALIVE)
        .client_request_timeout(KEEP_ALIVE)
        .h1(service)
        .tcp();
    let service = match factory.new_service(()).await {
        Ok(service) => Rc::new(service),
        Err(()) => return,
    };
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            actix_rt::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let service = service.clone();
        actix_rt::spawn(async move {
            let _ = service.call(stream).await;
        });
    }
}

/// Reads on what is not wanted, so that the caller gets its answer: closed while it still sends, the
/// connection is reset, and the caller never sees why it was refused.
async fn discard(payload: &mut Payload) {
    let mut left = MAX_DISCARDED;
    while let Some(Ok(chunk)) = payload.next().await {
        match left.checked_sub(chunk.len()) {
            Some(rest) => left = rest,
            None => return,
        }
    }
}

async fn answer(mut request: Request, max_body: usize, handler: HttpHandler) -> HttpResponse {
    let mut body = BytesMut::new();
    let mut payload = request.take_payload();
    while let Some(chunk) = payload.next().await {
        let Ok(chunk) = chunk else { return text_response(StatusCode::BAD_REQUEST, "broken body") };
        if body.len() + chunk.len() > max_body {
            // Whether all of it came or not, the refusal is sent.
            let _ = timeout(DISCARD_TIME, discard(&mut payload)).await;
            let message = format!("the body is larger than {max_body} bytes");
            return text_response(StatusCode::PAYLOAD_TOO_LARGE, &message);
        }
        body.extend_from_slice(&chunk);
    }
    let request = HttpRequest {
        method: request.method().clone(),
        path: request.path().into(),
        query: request.uri().query().unwrap_or_default().into(),
        forwarded: request.headers().contains_key(FORWARDED_HEADER),
        body: body.freeze(),
    };
    handler(request).await
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

/// A response with an error text.
pub(crate) fn text_response(status: StatusCode, message: &str) -> HttpResponse {
    json_response(status, &ErrorBody { error: message })
}

/// A response with a JSON body.
pub(crate) fn json_response(status: StatusCode, body: &impl Serialize) -> HttpResponse {
    let text = serde_json::to_vec(body).expect("responses serialize");
    body_response(status, "application/json", text.into())
}

/// A response with any body.
pub(crate) fn body_response(status: StatusCode, kind: &'static str, body: Bytes) -> HttpResponse {
    let response = Response::build(status).insert_header(("content-type", kind)).body(body);
    response.map_into_boxed_body()
}

/// A response of JSON lines that come as they are made.
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
