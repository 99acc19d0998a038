//! Helpers that write HTTP responses.

use hemlockhitch_router::Refusal;
use salvo::http::{HeaderValue, StatusCode, header};
use salvo::{Response, writing::Json};
use serde::Serialize;

const MS_PER_S: u64 = 1_000;

/// Writes a refusal as JSON, with its status, `Retry-After` in whole seconds (at least 1)
/// and request id.
pub(super) fn write_refusal(response: &mut Response, refusal: &Refusal) {
    let status = StatusCode::from_u16(refusal.kind.status());
    response.status_code(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
    if let Some(retry_after_ms) = refusal.retry_after_ms {
        let retry_after_s = retry_after_ms.div_ceil(MS_PER_S).max(1);
        set_header(response, "retry-after", &retry_after_s.to_string());
    }
    if let Some(request_id) = refusal.request_id {
        set_header(response, "x-request-id", &request_id.to_string());
    }
    response.render(Json(refusal.body()));
}

/// Writes a JSON message with status 200.
pub(super) fn write_json(response: &mut Response, message: impl Serialize + Send) {
    response.status_code(StatusCode::OK);
    response.render(Json(message));
}

/// Sets a header; a value with characters that are invalid in a header is skipped.
pub(super) fn set_header(response: &mut Response, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        response
            .headers_mut()
            .insert(header::HeaderName::from_static(name), value);
    }
}
