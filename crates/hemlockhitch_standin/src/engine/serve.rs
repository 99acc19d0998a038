//! The HTTP interface of the engine.

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

use super::answer_text::prompt_of;
use super::generation::{Completion, Generation, broken};
use super::state::{NotStarted, Shared};
use crate::server::{Handled, json_answer};

/// What a refused caller is told to wait, in seconds.
const RETRY_AFTER_S: u32 = 1;

/// The body of an answer that is not a success.
#[derive(Debug)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
struct Failure<'a> {
    error: &'a str,
}

/// The body of an answer that says nothing more.
#[derive(Debug)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
struct Done {
    done: bool,
}

/// Handles one request.
pub(super) async fn handle(shared: Shared, request: Request<Incoming>) -> Handled {
    let (parts, body) = request.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    let path = parts.uri.path().to_owned();
    let segments: Vec<&str> = path.split('/').skip(1).collect();
    let is_control = matches!(segments.as_slice(), ["faults" | "stats"]);
    if shared.lock().faults.down && !is_control {
        return Err(broken());
    }
    match (&parts.method, segments.as_slice()) {
        (&Method::POST, ["v1", "chat", "completions"]) => complete(&shared, &parts, &body),
        (&Method::GET, ["load"]) => json_answer(StatusCode::OK, &shared.lock().load()),
        (&Method::POST, ["orders"]) => order(&shared, &body),
        (&Method::POST, ["cancel", id]) => cancel(&shared, id),
        (&Method::POST, ["kv", "export", id]) => export(&shared, id),
        (&Method::POST, ["kv", "import"]) => import(&shared, &body),
        (&Method::POST, ["faults"]) => set_fault(&shared, &body),
        (&Method::GET, ["stats"]) => json_answer(StatusCode::OK, &shared.lock().stats),
        _ => failure(StatusCode::NOT_FOUND, "no such path"),
    }
}

fn complete(shared: &Shared, parts: &Parts, body: &Bytes) -> Handled {
    let Some(completion) = read_completion(shared, &parts.headers, body) else {
        return failure(StatusCode::BAD_REQUEST, "not a streamed chat completion");
    };
    let started = shared
        .lock()
        .start(completion.request_id, &completion.version);
    if let Err(reason) = started {
        return not_started(reason);
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
        request_id: text(headers, REQUEST_ID_HEADER)?.parse().ok()?,
        version: VersionName::new(request.model),
        prompt: prompt_of(&request.messages),
        resume_offset_tokens: text(headers, RESUME_OFFSET_HEADER)?.parse().ok()?,
        max_tokens: max_tokens.min(answer_tokens),
        finish_reason,
    })
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn not_started(reason: NotStarted) -> Handled {
    match reason {
        NotStarted::Broken => Err(broken()),
        NotStarted::UnknownVersion => failure(StatusCode::NOT_FOUND, "version is not served"),
        NotStarted::Failed => failure(StatusCode::INTERNAL_SERVER_ERROR, "version failed"),
        NotStarted::Refused => refusal("refused"),
        NotStarted::Overload => refusal("over the limit"),
    }
}

fn refusal(error: &str) -> Handled {
    let mut response = failure(StatusCode::SERVICE_UNAVAILABLE, error)?;
    let headers = response.headers_mut();
    headers.insert(header::RETRY_AFTER, RETRY_AFTER_S.into());
    Ok(response)
}

fn order(shared: &Shared, body: &Bytes) -> Handled {
    match read(body) {
        Some(order) => json_answer(StatusCode::OK, &shared.lock().order(order)),
        None => failure(StatusCode::BAD_REQUEST, "not an order"),
    }
}

fn cancel(shared: &Shared, id: &str) -> Handled {
    match id.parse() {
        Ok(request_id) => {
            shared.cancel(request_id);
            json_answer(StatusCode::OK, &Done { done: true })
        }
        Err(_) => failure(StatusCode::BAD_REQUEST, "not a request id"),
    }
}

fn export(shared: &Shared, id: &str) -> Handled {
    let Ok(request_id) = id.parse::<RequestId>() else {
        return failure(StatusCode::BAD_REQUEST, "not a request id");
    };
    let handle = shared.lock().export(request_id);
    match handle {
        Some(handle) => json_answer(StatusCode::OK, &handle),
        None => failure(StatusCode::NOT_FOUND, "the request's cache is gone"),
    }
}

fn import(shared: &Shared, body: &Bytes) -> Handled {
    let handle: Option<KvHandle> = read(body);
    let imported = handle.map(|handle| shared.lock().cache.import(&handle));
    match imported {
        Some(Ok(())) => json_answer(StatusCode::OK, &Done { done: true }),
        Some(Err(_)) | None => failure(StatusCode::BAD_REQUEST, "not a cache handle"),
    }
}

fn set_fault(shared: &Shared, body: &Bytes) -> Handled {
    match read(body) {
        Some(fault) => {
            shared.set_fault(fault);
            json_answer(StatusCode::OK, &Done { done: true })
        }
        None => failure(StatusCode::BAD_REQUEST, "not a fault"),
    }
}

fn read<T: DeserializeOwned>(body: &Bytes) -> Option<T> {
    serde_json::from_slice(body).ok()
}

fn failure(status: StatusCode, error: &str) -> Handled {
    json_answer(status, &Failure { error })
}
