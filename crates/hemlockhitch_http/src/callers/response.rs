//! Answers in JSON.

use hemlockhitch_router::Refusal;
use salvo::http::{HeaderValue, StatusCode, header};
use salvo::{Response, writing::Json};
use serde::Serialize;

/// Milliseconds in a second.
const MS_PER_S: u64 = 1_000;

/// Answers with a refusal.
pub(super) fn refuse(response: &mut Response, refusal: &Refusal) {
    let status = StatusCode::from_u16(refusal.kind.status());
    response.status_code(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
    if let Some(retry_after_ms) = refusal.retry_after_ms {
        let retry_after_s = retry_after_ms.div_ceil(MS_PER_S).max(1);
        set(response, "retry-after", &retry_after_s.to_string());
    }
    if let Some(request_id) = refusal.request_id {
        set(response, "x-request-id", &request_id.to_string());
    }
    response.render(Json(refusal.body()));
}

/// Answers with a JSON message.
pub(super) fn json(response: &mut Response, message: impl Serialize + Send) {
    response.status_code(StatusCode::OK);
    response.render(Json(message));
}

/// Sets one header; a value that is not valid in a header is left out.
pub(super) fn set(response: &mut Response, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        response
            .headers_mut()
            .insert(header::HeaderName::from_static(name), value);
    }
}
