//! Request body of a chat completion.

use hemlockhitch_endpoint::engine::ChatRequest;
use hemlockhitch_router::{Refusal, RefusalKind};
use salvo::Request;

use super::{CallersLimits, headers};

/// Reads and parses the request body of a chat completion, up to the size limit.
pub(super) async fn read(
    request: &mut Request,
    limits: CallersLimits,
) -> Result<ChatRequest, Refusal> {
    let limit_bytes = limits.body_bytes;
    let body = request
        .payload_with_max_size(limit_bytes)
        .await
        .map_err(|error| headers::body_refusal(&error, limit_bytes))?;
    serde_json::from_slice(body).map_err(|error| {
        Refusal::not_run(
            RefusalKind::BadRequest,
            format!("the body is not a chat completion: {error}"),
            "send JSON with `model` and `messages`",
        )
    })
}
