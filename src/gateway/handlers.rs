//! HTTP handlers for readiness, the address directory, peers and metrics.

use std::rc::Rc;

use actix_http::{Method, StatusCode};
use bytes::Bytes;

use super::Gateway;
use super::feed::FEED_PATH;
use super::quotas::LIMITS_PATH;
use super::store::{RELAY_PATH, RelayError};
use super::turns::{CLAIM_PATH, PERSIST_PATH, SETTLE_PATH};
use crate::util::http_server::{
    HttpHandler, HttpRequest, HttpResponse, body_response, handler, text_response,
};

const METRICS_PATH: &str = "/metrics";
const JSON: &str = "application/json";
const BINARY: &str = "application/octet-stream";

pub(crate) fn ready_handler(gateway: Rc<Gateway>) -> HttpHandler {
    handler(move |request: HttpRequest| {
        let gateway = gateway.clone();
        async move {
            if *request.path != *gateway.dialect.ready_path() {
                return text_response(StatusCode::NOT_FOUND, "no such page");
            }
            match gateway.is_ready() {
                true => text_response(StatusCode::OK, "ready"),
                false => text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
            }
        }
    })
}

/// Serves the list of instances that callers may connect to.
pub(crate) fn directory_handler(gateway: Rc<Gateway>) -> HttpHandler {
    handler(move |request: HttpRequest| {
        let gateway = gateway.clone();
        async move { answer_directory(&gateway, &request) }
    })
}

fn answer_directory(gateway: &Gateway, request: &HttpRequest) -> HttpResponse {
    let Some(query) = gateway.dialect.address_query(&request.path, &request.query) else {
        return text_response(StatusCode::NOT_FOUND, "no such page");
    };
    let addresses = gateway.members.caller_addresses(&query.zone);
    if addresses.is_empty() {
        return text_response(StatusCode::SERVICE_UNAVAILABLE, "no instance is ready");
    }
    let ttl = gateway.settings.address_ttl();
    body_response(StatusCode::OK, JSON, gateway.dialect.address_reply(&addresses, ttl))
}

/// Serves other instances and metrics scrapers.
pub(crate) fn peer_handler(gateway: Rc<Gateway>) -> HttpHandler {
    handler(move |request: HttpRequest| {
        let gateway = gateway.clone();
        async move {
            match (&request.method, &*request.path) {
                (&Method::POST, RELAY_PATH) => relay(&gateway, &request.body).await,
                (&Method::POST, FEED_PATH) => changes(&gateway, &request.body).await,
                (&Method::POST, CLAIM_PATH | PERSIST_PATH | SETTLE_PATH) => {
                    let HttpRequest { path, body, hold, .. } = request;
                    let (status, reply) = gateway.turns.serve_peer(&path, body, hold).await;
                    body_response(status, BINARY, reply)
                }
                (&Method::GET, METRICS_PATH) => metrics(&gateway),
                (&Method::GET, LIMITS_PATH) => limits(&gateway),
                _ => text_response(StatusCode::NOT_FOUND, "no such page"),
            }
        }
    })
}

async fn relay(gateway: &Gateway, body: &[u8]) -> HttpResponse {
    match gateway.store.serve_relay(body).await {
        Ok(reply) => body_response(StatusCode::OK, JSON, reply),
        Err(RelayError::Malformed) => text_response(StatusCode::BAD_REQUEST, "malformed"),
        Err(RelayError::CutOff) => text_response(StatusCode::SERVICE_UNAVAILABLE, "cut off"),
        Err(RelayError::NoAnswer) => text_response(StatusCode::BAD_GATEWAY, "no answer"),
    }
}

async fn changes(gateway: &Gateway, query: &[u8]) -> HttpResponse {
    match gateway.feed.serve_feed(query).await {
        Some(reply) => body_response(StatusCode::OK, BINARY, reply),
        None => text_response(StatusCode::SERVICE_UNAVAILABLE, "no fresh news"),
    }
}

fn limits(gateway: &Gateway) -> HttpResponse {
    let samples = serde_json::to_vec(&gateway.quotas.samples()).expect("samples serialize");
    body_response(StatusCode::OK, JSON, samples.into())
}

fn metrics(gateway: &Gateway) -> HttpResponse {
    gateway.sample_metrics();
    let text: Bytes = gateway.metrics.exposition().into();
    body_response(StatusCode::OK, "text/plain; version=0.0.4", text)
}
