//! Reads the bodies of requests.

use std::time::Duration;

use bytes::Bytes;
use hemlockhitch_model::Clock;
use hemlockhitch_routing::limits::{Claim, Progress};
use http::StatusCode;
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::{Instant, timeout, timeout_at};

use super::response::Refusal;
use crate::dialect::Dialect;
use crate::memory::Collector;
use crate::state::NodeContext;
use crate::telemetry;

/// Retry-After, in milliseconds, when the node's memory is in use.
pub(super) const RETRY_AFTER_MEMORY_MS: u64 = 500;

/// How long the rest of a refused body is read and dropped. A caller that still sends it
/// would otherwise see its connection reset instead of the refusal.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// Buffers the whole body within the memory budget, so that it can be sent to more than one
/// endpoint.
pub(super) async fn read_body<D: Dialect, C: Clock>(
    node_context: &NodeContext<D, C>,
    mut body: Incoming,
    max_bytes: usize,
    deadline: Instant,
) -> Result<Bytes, Refusal> {
    let read = read_frames(node_context, &mut body, max_bytes, deadline).await;
    if read.is_err() && !body.is_end_stream() {
        tokio::spawn(timeout(DISCARD_TIMEOUT, discard(body)));
    }
    read
}

async fn read_frames<D: Dialect, C: Clock>(
    node_context: &NodeContext<D, C>,
    body: &mut Incoming,
    max_bytes: usize,
    deadline: Instant,
) -> Result<Bytes, Refusal> {
    let mut collector = Collector::new(node_context.memory().reservation(Claim::Body));
    if let Some(length) = body.size_hint().exact() {
        if length > max_bytes as u64 {
            return Err(too_large());
        }
        if !collector.reserve(length) {
            return Err(memory_in_use());
        }
    }
    let mut progress = Progress::default();
    loop {
        let now = node_context.now();
        progress.wait(now);
        let stalled_at = Instant::now() + Duration::from_millis(progress.remaining_ms(now));
        match timeout_at(deadline.min(stalled_at), body.frame()).await {
            Ok(None) => return Ok(collector.finish()),
            Ok(Some(Ok(frame))) => {
                let bytes = frame.data_ref().map_or(&[][..], AsRef::as_ref);
                progress.advance(bytes.len() as u64, node_context.now());
                if collector.len() + bytes.len() > max_bytes {
                    return Err(too_large());
                }
                if !collector.push(bytes) {
                    return Err(memory_in_use());
                }
            }
            Ok(Some(Err(_))) => {
                let message = "the body cannot be read; send it again";
                return Err(Refusal::new(StatusCode::BAD_REQUEST, message));
            }
            Err(_) if deadline <= stalled_at => {
                let message = "the body did not arrive in time; send it again";
                return Err(Refusal::new(StatusCode::REQUEST_TIMEOUT, message));
            }
            Err(_) => {
                telemetry::count_stalled("upload");
                let message = "the body arrived too slowly; send it again";
                return Err(Refusal::new(StatusCode::REQUEST_TIMEOUT, message));
            }
        }
    }
}

async fn discard(mut body: Incoming) {
    while let Some(Ok(_)) = body.frame().await {}
}

fn too_large() -> Refusal {
    let message = "the body is too large; shorten it";
    Refusal::new(StatusCode::PAYLOAD_TOO_LARGE, message)
}

/// Refuses a request for which the node has no memory.
pub(super) fn memory_in_use() -> Refusal {
    let message = "the node's memory is in use; come back later or use another node";
    Refusal::not_run(message, RETRY_AFTER_MEMORY_MS)
}
