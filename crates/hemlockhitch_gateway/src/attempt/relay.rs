//! Relays an event stream to the caller.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hemlockhitch_model::Clock;
use hemlockhitch_routing::fleet::Sign;
use hemlockhitch_routing::limits::{Progress, STALL_WAIT_MS};
use hemlockhitch_routing::retry::{Seen, Verdict, decide_retry};
use http::Response;
use tokio::sync::Semaphore;
use tokio::sync::mpsc::{Sender, channel};
use tokio::time::{Instant, timeout, timeout_at};

use super::Gateway;
use super::answer::LEFT_UNREAD_MS;
use super::context::{AttemptHistory, RequestContext};
use super::headers::strip_hop_by_hop_headers;
use super::response::{BodyChunk, ChannelBody, ResponseBody};
use super::send::OpenedResponse;
use super::stream::{OpenStream, StreamItem};
use crate::dialect::Dialect;
use crate::telemetry;

/// Events buffered for a slow caller before the endpoint is read no further.
const EVENT_CHANNEL_CAPACITY: usize = 16;

/// Idle timeout of a stream, as a multiple of the latency objective between events.
/// When it expires, another endpoint resumes the stream.
const IDLE_TIMEOUT_SLO_MULTIPLE: u64 = 2;

/// Number of events after which an endpoint has not crashed under a request: it may crash
/// while it begins the first one.
const SERVED_EVENTS: u64 = 2;

/// Bytes of events that wait for a slow caller before the endpoint is read no further. A
/// larger event is sent alone.
const MAX_UNREAD_BYTES: usize = 32 * 1_024;

/// Time in which a stream must complete an event once it sends bytes, as a multiple of the
/// latency objective between events, if that is longer than for other peers.
const STALL_SLO_MULTIPLE: u64 = 8;

/// How often a stream that cannot be resumed is checked for progress.
const STALL_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Latency objective between events, in milliseconds, for routes that set none.
const DEFAULT_INTER_EVENT_SLO_MS: u64 = 1_000;

/// Returns the response head and relays the stream in a task of its own.
pub(super) fn start<D: Dialect, C: Clock>(
    gateway: Gateway<D, C>,
    ctx: RequestContext<D, C>,
    history: AttemptHistory,
    stream: OpenStream<D, C>,
) -> Response<ResponseBody> {
    let (sender, receiver) = channel(EVENT_CHANNEL_CAPACITY);
    let mut head = stream.head.clone();
    strip_hop_by_hop_headers(head.headers_mut());
    let (head, ()) = head.into_parts();
    tokio::spawn(async move {
        let relay = Relay {
            gateway,
            ctx,
            history,
            sender: sender.clone(),
            unread_bytes: Arc::new(Semaphore::new(MAX_UNREAD_BYTES)),
            left_unread: false,
        };
        tokio::select! {
            () = sender.closed() => {}
            () = relay.run(stream) => {}
        }
    });
    Response::from_parts(head, ResponseBody::Relayed(ChannelBody::new(receiver)))
}

struct Relay<D: Dialect, C: Clock> {
    gateway: Gateway<D, C>,
    ctx: RequestContext<D, C>,
    history: AttemptHistory,
    sender: Sender<BodyChunk>,
    /// Bytes that may be sent before the caller has read some.
    unread_bytes: Arc<Semaphore>,
    /// Whether the caller has left events of the present endpoint unread for a while.
    left_unread: bool,
}

impl<D: Dialect, C: Clock> Relay<D, C> {
    async fn run(mut self, stream: OpenStream<D, C>) {
        let deadline = self.ctx.deadline;
        let request = self.ctx.metadata.request_id.clone();
        let route = self.ctx.route.name.clone();
        let sender = self.sender.clone();
        match timeout_at(deadline, self.forward(stream)).await {
            Ok(true) => {
                // Fails if the caller has disconnected, so that nobody reads the end of
                // the stream.
                let _ = sender.send(BodyChunk::End).await;
            }
            Ok(false) => {
                tracing::info!(event = "HH1227", request, route, "stream broken off");
            }
            Err(_) => {
                tracing::info!(event = "HH1228", request, route, "stream deadline exceeded");
            }
        }
    }

    /// Forwards events until the stream ends; returns whether it is complete.
    async fn forward(&mut self, stream: OpenStream<D, C>) -> bool {
        let inter_event_slo_ms = self
            .ctx
            .route
            .inter_event_slo_ms
            .unwrap_or(DEFAULT_INTER_EVENT_SLO_MS);
        let idle_timeout = Duration::from_millis(inter_event_slo_ms * IDLE_TIMEOUT_SLO_MULTIPLE);
        let max_stall_ms = STALL_WAIT_MS.max(inter_event_slo_ms * STALL_SLO_MULTIPLE);
        let mut stream = stream;
        let mut events = 0;
        let inter_event_histogram = telemetry::inter_event_histogram();
        let mut last_mono_ms = None;
        loop {
            // Another node that holds the slot resumes the stream itself.
            let can_fail_over = stream.slot.is_some()
                && self.ctx.route.kind.may_run_again()
                && self.history.has_attempts_left(self.ctx.route.max_attempts);
            let last_event_id = self.history.last_event_id;
            let next = if can_fail_over {
                timeout(idle_timeout, stream.next(last_event_id)).await.ok()
            } else {
                next_unless_stalled(&self.gateway, &mut stream, last_event_id, max_stall_ms).await
            };
            match next {
                Some(StreamItem::Event(event)) => {
                    self.history.last_event_id = event.id.or(self.history.last_event_id);
                    self.history.response_started = true;
                    events += 1;
                    if events == SERVED_EVENTS {
                        self.gateway.node_context.record_served(self.ctx.traits());
                    }
                    let now_mono_ms = self.gateway.node_context.now().mono_ms;
                    if let Some(last_mono_ms) = last_mono_ms.replace(now_mono_ms) {
                        inter_event_histogram
                            .record(telemetry::to_f64(now_mono_ms.saturating_sub(last_mono_ms)));
                    }
                    if !self.send(event.bytes).await {
                        return false;
                    }
                }
                Some(StreamItem::End) => {
                    if events < SERVED_EVENTS {
                        self.gateway.node_context.record_served(self.ctx.traits());
                    }
                    if let Some(slot) = &stream.slot {
                        slot.record_inter_event_latency(events, &self.ctx);
                    }
                    let (slot, connection, keepalive_ms) = stream.finish();
                    self.gateway
                        .node_context
                        .connection_pool()
                        .release(connection, keepalive_ms);
                    drop(slot);
                    return true;
                }
                Some(StreamItem::Broken) => match self.resume(stream, Seen::Broken).await {
                    Some(resumed) => (stream, events) = (resumed, 0),
                    None => return false,
                },
                None => match self.resume(stream, Seen::Silent).await {
                    Some(resumed) => (stream, events) = (resumed, 0),
                    None => return false,
                },
            }
        }
    }

    /// Sends an event to the caller once earlier ones are read.
    async fn send(&mut self, bytes: Bytes) -> bool {
        let started = Instant::now();
        let permits = bytes.len().min(MAX_UNREAD_BYTES);
        let permits = u32::try_from(permits).unwrap_or(u32::MAX);
        let unread_bytes = Arc::clone(&self.unread_bytes);
        // The semaphore is never closed.
        let permit = unread_bytes.acquire_many_owned(permits).await.ok();
        let chunk = BodyChunk::Bytes {
            bytes,
            _permit: permit,
        };
        let sent = self.sender.send(chunk).await;
        self.left_unread |= started.elapsed() >= Duration::from_millis(LEFT_UNREAD_MS);
        sent.is_ok()
    }

    /// Resumes the stream on another endpoint, after the last event.
    async fn resume(&mut self, stream: OpenStream<D, C>, seen: Seen) -> Option<OpenStream<D, C>> {
        let endpoint = stream.slot.as_ref().map(|slot| {
            // An endpoint may end a stream whose events are left unread.
            if !(self.left_unread && seen == Seen::Broken) {
                slot.record_outcome(Sign::Bad, &self.ctx);
            }
            slot.endpoint
        });
        let left_unread = std::mem::take(&mut self.left_unread);
        drop(stream);
        self.history.end_attempt(seen);
        let may_retry = self.history.has_attempts_left(self.ctx.route.max_attempts);
        let verdict = decide_retry(self.ctx.route.kind, seen, self.history.summary(may_retry));
        tracing::info!(
            event = "HH1229",
            request = self.ctx.metadata.request_id,
            route = self.ctx.route.name,
            ?endpoint,
            ?seen,
            left_unread,
            last_event = self.history.last_event_id,
            ?verdict,
            "stream interrupted"
        );
        if verdict != Verdict::Resume {
            return None;
        }
        match self
            .gateway
            .run_attempts(&self.ctx, &mut self.history)
            .await
        {
            Ok(OpenedResponse::Stream(stream)) => {
                telemetry::count_resume();
                Some(*stream)
            }
            Ok(OpenedResponse::Buffered(_) | OpenedResponse::Relayed(_)) | Err(_) => None,
        }
    }
}

/// Waits for the next item; `None` if the endpoint sends bytes for `max_stall_ms` without
/// making progress or completing an event. Silence ends at the request's deadline.
async fn next_unless_stalled<D: Dialect, C: Clock>(
    gateway: &Gateway<D, C>,
    stream: &mut OpenStream<D, C>,
    last_event_id: Option<u64>,
    max_stall_ms: u64,
) -> Option<StreamItem> {
    let mut progress = Progress::new(max_stall_ms);
    let mut received_bytes = 0;
    stream.take_received_bytes();
    loop {
        progress.wait(gateway.node_context.now());
        if let Ok(item) = timeout(STALL_CHECK_INTERVAL, stream.next(last_event_id)).await {
            return Some(item);
        }
        let bytes = stream.take_received_bytes();
        let now = gateway.node_context.now();
        received_bytes += bytes;
        progress.advance(bytes, now);
        if progress.remaining_ms(now) > 0 {
            continue;
        }
        if received_bytes > 0 {
            telemetry::count_stalled("endpoint");
            return None;
        }
        progress.complete();
    }
}
