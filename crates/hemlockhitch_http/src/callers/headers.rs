//! Request headers of the callers' API.

use hemlockhitch_router::{CallerHeaders, Refusal, RefusalKind};
use salvo::Request;
use salvo::http::ParseError;

/// Reads the headers that the router evaluates.
pub(super) fn read(request: &Request) -> CallerHeaders {
    let text = |name: &str| request.header::<String>(name);
    CallerHeaders {
        authorization: text("authorization"),
        class: text("x-hemlockhitch-class"),
        session: text("x-hemlockhitch-session"),
        idempotency_key: text("idempotency-key"),
    }
}

/// Converts a failure to read the body into a refusal.
pub(super) fn body_refusal(error: &ParseError, limit_bytes: usize) -> Refusal {
    match error {
        ParseError::PayloadTooLarge => Refusal::not_run(
            RefusalKind::TooLarge,
            "the body is too large",
            format!("send at most {limit_bytes} bytes"),
        ),
        _ => Refusal::not_run(
            RefusalKind::BadRequest,
            "the body cannot be read",
            "send the whole body with its right length",
        ),
    }
}
