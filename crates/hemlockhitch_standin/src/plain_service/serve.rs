//! HTTP API of the plain service.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use hemlockhitch_endpoint::engine::wire::REQUEST_ID_HEADER;
use http::request::Parts;
use http::{Method, Request, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::sleep;

use super::state::{Call, Shared};
use crate::server::{HandlerResult, json_response, response};

/// Routes a request to its handler.
pub(super) async fn handle(shared: Shared, request: Request<Incoming>) -> HandlerResult {
    let (parts, body) = request.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    match (&parts.method, parts.uri.path()) {
        (&Method::POST, "/faults") => set_fault(&shared, &body),
        (&Method::GET, "/stats") => json_response(StatusCode::OK, &shared.lock().stats),
        _ => run(&shared, &parts, &body).await,
    }
}

async fn run(shared: &Shared, parts: &Parts, body: &Bytes) -> HandlerResult {
    let delay_ms = shared.lock().delay_ms;
    if delay_ms > 0 {
        sleep(Duration::from_millis(delay_ms)).await;
    }
    if shared.lock().consume_break_before() {
        return Err(connection_aborted());
    }
    let message = shared.lock().run(read_call(parts, body));
    if shared.lock().consume_break_after() {
        return Err(connection_aborted());
    }
    json_response(StatusCode::OK, &message)
}

fn read_call(parts: &Parts, body: &Bytes) -> Call {
    let request_id = parts.headers.get(REQUEST_ID_HEADER);
    let path = parts.uri.path_and_query();
    Call {
        request_id: request_id
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned),
        method: parts.method.to_string(),
        path: path.map_or_else(String::new, ToString::to_string),
        body: String::from_utf8_lossy(body).into_owned(),
    }
}

fn set_fault(shared: &Shared, body: &Bytes) -> HandlerResult {
    match serde_json::from_slice(body) {
        Ok(fault) => {
            shared.lock().set_fault(fault);
            response(StatusCode::OK, "application/json", "{\"done\":true}")
        }
        Err(error) => response(StatusCode::BAD_REQUEST, "text/plain", error.to_string()),
    }
}

fn connection_aborted() -> io::Error {
    io::Error::other("injected fault: service aborted the connection")
}
