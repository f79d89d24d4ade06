//! Stand-ins as HTTP servers.
//!
//! `POST /faults` with [`FaultSettings`] sets the faults of any of them. While a stand-in is
//! silent its connections stay open and carry nothing.

use std::rc::Rc;

use actix_http::{Method, StatusCode};
use futures_util::stream::unfold;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;

use super::engine::StandinEngine;
use super::fault::{FaultSettings, FaultSwitch};
use super::platform::StandinPlatform;
use super::service::StandinService;
use crate::core::orders::FencedOrder;
use crate::node::platform::{
    ObjectStore, ReadRequest, RosterEntry, RosterSource, ScanRequest, StoreError, TableStore,
    TableTransaction,
};
use crate::node::upstream::{
    CancelRequest, CloseRequest, EngineEvent, GenerateRequest, ReleaseRequest, ServiceRequest,
    UpstreamError,
};
use crate::util::http_server::{
    HttpRequest, HttpResponse, body_response, handler, json_response, line_response, serve_http,
    text_response,
};
use crate::util::lines::json_line;

const MAX_BODY: usize = 256 * 1024 * 1024;

/// Writes and reads a stand-in platform has done.
#[derive(Debug, Serialize)]
struct PlatformCounters {
    writes: u64,
    reads: u64,
}

/// Serves the platform until its task is dropped.
pub async fn serve_platform(platform: Rc<StandinPlatform>, listener: TcpListener) {
    let route = handler(move |request| route_platform(platform.clone(), request));
    serve_http(&listener, MAX_BODY, route).await;
}

/// Serves an engine until its task is dropped.
pub async fn serve_engine(engine: Rc<StandinEngine>, listener: TcpListener) {
    let route = handler(move |request| route_engine(engine.clone(), request));
    serve_http(&listener, MAX_BODY, route).await;
}

/// Serves a plain service until its task is dropped.
pub async fn serve_service(service: Rc<StandinService>, listener: TcpListener) {
    let route = handler(move |request| route_service(service.clone(), request));
    serve_http(&listener, MAX_BODY, route).await;
}

async fn route_platform(platform: Rc<StandinPlatform>, request: HttpRequest) -> HttpResponse {
    let path = request.path.clone();
    if let Some(name) = path.strip_prefix("/objects/") {
        return route_object(&platform, name, request).await;
    }
    match (request.method.clone(), &*path) {
        (Method::POST, "/table/commit") => match parse::<TableTransaction>(&request) {
            Ok(transaction) => store_answer(platform.commit(&transaction).await),
            Err(response) => response,
        },
        (Method::POST, "/table/read") => match parse::<ReadRequest>(&request) {
            Ok(read) => store_answer(platform.read(&read.keys).await),
            Err(response) => response,
        },
        (Method::POST, "/table/scan") => match parse::<ScanRequest>(&request) {
            Ok(scan) => {
                let found = platform.scan(&scan.prefix, scan.after.as_deref(), scan.limit);
                store_answer(found.await)
            }
            Err(response) => response,
        },
        (Method::GET, "/roster") => store_answer(platform.list().await),
        (Method::PUT, "/roster") => match parse::<Vec<RosterEntry>>(&request) {
            Ok(roster) => {
                platform.set_roster(roster);
                json_response(StatusCode::OK, &())
            }
            Err(response) => response,
        },
        (Method::GET, "/counters") => {
            let counters = PlatformCounters { writes: platform.writes(), reads: platform.reads() };
            json_response(StatusCode::OK, &counters)
        }
        (Method::POST, "/faults") => set_faults(&platform.faults, &request),
        _ => not_found(),
    }
}

async fn route_object(
    platform: &StandinPlatform,
    name: &str,
    request: HttpRequest,
) -> HttpResponse {
    match request.method {
        Method::PUT => store_answer(platform.put(name, request.body).await),
        Method::DELETE => store_answer(ObjectStore::delete(platform, name).await),
        Method::GET => match platform.get(name).await {
            Ok(Some(body)) => body_response(StatusCode::OK, "application/octet-stream", body),
            Ok(None) => not_found(),
            Err(error) => store_answer::<()>(Err(error)),
        },
        _ => not_found(),
    }
}

async fn route_engine(engine: Rc<StandinEngine>, request: HttpRequest) -> HttpResponse {
    match (request.method.clone(), &*request.path) {
        (Method::POST, "/generate") => match parse::<GenerateRequest>(&request) {
            Ok(generate) => stream_tokens(&engine, &generate).await,
            Err(response) => response,
        },
        (Method::POST, "/cancel") => match parse::<CancelRequest>(&request) {
            Ok(cancel) => upstream_answer(engine.cancel(&cancel.request_id).await),
            Err(response) => response,
        },
        (Method::POST, "/close_attempts") => match parse::<CloseRequest>(&request) {
            Ok(close) => upstream_answer(engine.close_attempts(close).await),
            Err(response) => response,
        },
        (Method::POST, "/order") => match parse::<FencedOrder>(&request) {
            Ok(order) => upstream_answer(engine.order(&order).await),
            Err(response) => response,
        },
        (Method::GET, "/state") => upstream_answer(engine.state().await),
        (Method::POST, "/release") => match parse::<ReleaseRequest>(&request) {
            Ok(release) => upstream_answer(engine.release(release.program).await),
            Err(response) => response,
        },
        (Method::GET, "/held") => upstream_answer(engine.list_held().await),
        (Method::GET, "/billed") => json_response(StatusCode::OK, &engine.billed()),
        (Method::POST, "/faults") => set_faults(&engine.faults, &request),
        _ => not_found(),
    }
}

async fn stream_tokens(engine: &Rc<StandinEngine>, request: &GenerateRequest) -> HttpResponse {
    let stream = match engine.generate(request).await {
        Ok(stream) => stream,
        Err(error) => return upstream_answer::<()>(Err(error)),
    };
    let lines = unfold(Some(stream), |state| async move {
        let mut stream = state?;
        let event = stream.next().await.ok()?;
        let done = matches!(event, EngineEvent::Done { .. });
        Some((json_line(&event), (!done).then_some(stream)))
    });
    line_response(Box::pin(lines), None)
}

async fn route_service(service: Rc<StandinService>, request: HttpRequest) -> HttpResponse {
    match (request.method.clone(), &*request.path) {
        (Method::POST, "/execute") => match parse::<ServiceRequest>(&request) {
            Ok(execute) => upstream_answer(service.execute(&execute).await),
            Err(response) => response,
        },
        (Method::GET, "/executions") => json_response(StatusCode::OK, &service.executions()),
        (Method::POST, "/faults") => set_faults(&service.faults, &request),
        _ => not_found(),
    }
}

fn set_faults(faults: &FaultSwitch, request: &HttpRequest) -> HttpResponse {
    match parse::<FaultSettings>(request) {
        Ok(settings) => {
            faults.set(settings);
            json_response(StatusCode::OK, &())
        }
        Err(response) => response,
    }
}

fn parse<T: DeserializeOwned>(request: &HttpRequest) -> Result<T, HttpResponse> {
    serde_json::from_slice(&request.body)
        .map_err(|error| text_response(StatusCode::BAD_REQUEST, &error.to_string()))
}

/// An outage is answered as such; a lost reply becomes a status no client mistakes for one.
fn store_answer<T: Serialize>(answer: Result<T, StoreError>) -> HttpResponse {
    match answer {
        Ok(value) => json_response(StatusCode::OK, &value),
        Err(StoreError::Unavailable) => {
            text_response(StatusCode::SERVICE_UNAVAILABLE, "unavailable")
        }
        Err(error) => text_response(StatusCode::GATEWAY_TIMEOUT, &error.to_string()),
    }
}

fn upstream_answer<T: Serialize>(answer: Result<T, UpstreamError>) -> HttpResponse {
    match answer {
        Ok(value) => json_response(StatusCode::OK, &value),
        Err(UpstreamError::NotSent | UpstreamError::Refused { .. }) => {
            text_response(StatusCode::SERVICE_UNAVAILABLE, "refused")
        }
        Err(error) => text_response(StatusCode::GATEWAY_TIMEOUT, &error.to_string()),
    }
}

fn not_found() -> HttpResponse {
    text_response(StatusCode::NOT_FOUND, "there is no such path or method")
}
