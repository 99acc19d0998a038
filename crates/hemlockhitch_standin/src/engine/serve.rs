//! HTTP API of the engine.

use std::io;

use bytes::Bytes;
use hemlockhitch_endpoint::engine::wire::{REQUEST_ID_HEADER, RESUME_OFFSET_HEADER};
use hemlockhitch_endpoint::engine::{ChatRequest, KvHandle};
use hemlockhitch_model::{RequestId, VersionName};
use http::request::Parts;
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::answer_text::prompt_text;
use super::generation::{Completion, Generation, connection_aborted};
use super::state::{Shared, StartError};
use crate::server::{HandlerResult, json_response};

/// Value of `Retry-After` in a refusal, in seconds.
const RETRY_AFTER_S: u32 = 1;

/// Body of an error response.
#[derive(Debug)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
struct ErrorBody<'a> {
    error: &'a str,
}

/// Body of a success response without further content.
#[derive(Debug)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
struct DoneBody {
    done: bool,
}

/// Routes a request to its handler.
pub(super) async fn handle(shared: Shared, request: Request<Incoming>) -> HandlerResult {
    let (parts, body) = request.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    let path = parts.uri.path().to_owned();
    let segments: Vec<&str> = path.split('/').skip(1).collect();
    let is_control = matches!(segments.as_slice(), ["faults" | "stats"]);
    if shared.lock().faults.down && !is_control {
        return Err(connection_aborted());
    }
    match (&parts.method, segments.as_slice()) {
        (&Method::POST, ["v1", "chat", "completions"]) => complete(&shared, &parts, &body),
        (&Method::GET, ["load"]) => json_response(StatusCode::OK, &shared.lock().load()),
        (&Method::POST, ["orders"]) => apply_order(&shared, &body),
        (&Method::POST, ["cancel", id]) => cancel(&shared, id),
        (&Method::POST, ["kv", "export", id]) => export(&shared, id),
        (&Method::POST, ["kv", "import"]) => import(&shared, &body),
        (&Method::POST, ["faults"]) => set_fault(&shared, &body),
        (&Method::GET, ["stats"]) => json_response(StatusCode::OK, &shared.lock().stats),
        _ => error_response(StatusCode::NOT_FOUND, "no such path"),
    }
}

fn complete(shared: &Shared, parts: &Parts, body: &Bytes) -> HandlerResult {
    let Some(completion) = read_completion(shared, &parts.headers, body) else {
        return error_response(StatusCode::BAD_REQUEST, "not a streamed chat completion");
    };
    let started = shared
        .lock()
        .start(completion.request_id, &completion.version);
    if let Err(reason) = started {
        return start_error_response(reason);
    }
    let crashes = shared.lock().faults.crashes_on(&completion.prompt);
    let generation = Generation::new(shared.clone(), completion);
    if crashes {
        shared.crash();
    }
    Response::builder()
        .status(StatusCode::OK)
        .header(header::CONTENT_TYPE, "text/event-stream")
        .body(generation.into_body())
        .map_err(io::Error::other)
}

fn read_completion(shared: &Shared, headers: &HeaderMap, body: &Bytes) -> Option<Completion> {
    let request: ChatRequest = serde_json::from_slice(body).ok()?;
    if !request.stream || request.messages.is_empty() {
        return None;
    }
    let answer_tokens = shared.lock().settings.answer_tokens;
    let max_tokens = request.max_tokens.unwrap_or(answer_tokens);
    let finish_reason = if max_tokens < answer_tokens {
        "length"
    } else {
        "stop"
    };
    Some(Completion {
        request_id: header_text(headers, REQUEST_ID_HEADER)?.parse().ok()?,
        version: VersionName::new(request.model),
        prompt: prompt_text(&request.messages),
        resume_offset_tokens: header_text(headers, RESUME_OFFSET_HEADER)?.parse().ok()?,
        max_tokens: max_tokens.min(answer_tokens),
        finish_reason,
    })
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn start_error_response(reason: StartError) -> HandlerResult {
    match reason {
        StartError::Down => Err(connection_aborted()),
        StartError::UnknownVersion => {
            error_response(StatusCode::NOT_FOUND, "version is not served")
        }
        StartError::InjectedError => {
            error_response(StatusCode::INTERNAL_SERVER_ERROR, "version failed")
        }
        StartError::Refused => refusal_response("refused"),
        StartError::Overloaded => refusal_response("over the limit"),
    }
}

fn refusal_response(error: &str) -> HandlerResult {
    let mut response = error_response(StatusCode::SERVICE_UNAVAILABLE, error)?;
    let headers = response.headers_mut();
    headers.insert(header::RETRY_AFTER, RETRY_AFTER_S.into());
    Ok(response)
}

fn apply_order(shared: &Shared, body: &Bytes) -> HandlerResult {
    match decode(body) {
        Some(order) => json_response(StatusCode::OK, &shared.lock().apply_order(order)),
        None => error_response(StatusCode::BAD_REQUEST, "not an order"),
    }
}

fn cancel(shared: &Shared, id: &str) -> HandlerResult {
    match id.parse() {
        Ok(request_id) => {
            shared.cancel(request_id);
            json_response(StatusCode::OK, &DoneBody { done: true })
        }
        Err(_) => error_response(StatusCode::BAD_REQUEST, "not a request id"),
    }
}

fn export(shared: &Shared, id: &str) -> HandlerResult {
    let Ok(request_id) = id.parse::<RequestId>() else {
        return error_response(StatusCode::BAD_REQUEST, "not a request id");
    };
    let handle = shared.lock().export(request_id);
    match handle {
        Some(handle) => json_response(StatusCode::OK, &handle),
        None => error_response(StatusCode::NOT_FOUND, "the request's cache is gone"),
    }
}

fn import(shared: &Shared, body: &Bytes) -> HandlerResult {
    let handle: Option<KvHandle> = decode(body);
    let imported = handle.map(|handle| shared.lock().cache.import(&handle));
    match imported {
        Some(Ok(())) => json_response(StatusCode::OK, &DoneBody { done: true }),
        Some(Err(_)) | None => error_response(StatusCode::BAD_REQUEST, "not a cache handle"),
    }
}

fn set_fault(shared: &Shared, body: &Bytes) -> HandlerResult {
    match decode(body) {
        Some(fault) => {
            shared.set_fault(fault);
            json_response(StatusCode::OK, &DoneBody { done: true })
        }
        None => error_response(StatusCode::BAD_REQUEST, "not a fault"),
    }
}

fn decode<T: DeserializeOwned>(body: &Bytes) -> Option<T> {
    serde_json::from_slice(body).ok()
}

fn error_response(status: StatusCode, error: &str) -> HandlerResult {
    json_response(status, &ErrorBody { error })
}
