//! Relays an event stream to the caller.

use std::time::Duration;

use hemlockhitch_model::Clock;
use hemlockhitch_routing::fleet::Sign;
use hemlockhitch_routing::retry::{Seen, Verdict, decide_retry};
use http::Response;
use tokio::sync::mpsc::{Sender, channel};
use tokio::time::{timeout, timeout_at};

use super::Gateway;
use super::context::{AttemptHistory, RequestContext};
use super::headers::strip_hop_by_hop_headers;
use super::response::{BodyChunk, EventStreamBody, ResponseBody};
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
        };
        tokio::select! {
            () = sender.closed() => {}
            () = relay.run(stream) => {}
        }
    });
    Response::from_parts(head, ResponseBody::Events(EventStreamBody::new(receiver)))
}

struct Relay<D: Dialect, C: Clock> {
    gateway: Gateway<D, C>,
    ctx: RequestContext<D, C>,
    history: AttemptHistory,
    sender: Sender<BodyChunk>,
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
        let mut stream = stream;
        let mut events = 0;
        let inter_event_histogram = telemetry::inter_event_histogram();
        let mut last_mono_ms = None;
        loop {
            // Another node that holds the slot resumes the stream itself.
            let can_fail_over = stream.slot.is_some()
                && self.ctx.route.kind.may_run_again()
                && self.history.has_attempts_left(self.ctx.route.max_attempts);
            let next = stream.next(self.history.last_event_id);
            let next = if can_fail_over {
                timeout(idle_timeout, next).await.ok()
            } else {
                Some(next.await)
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
                    if self
                        .sender
                        .send(BodyChunk::Bytes(event.bytes))
                        .await
                        .is_err()
                    {
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

    /// Resumes the stream on another endpoint, after the last event.
    async fn resume(&mut self, stream: OpenStream<D, C>, seen: Seen) -> Option<OpenStream<D, C>> {
        let endpoint = stream.slot.as_ref().map(|slot| {
            slot.record_outcome(Sign::Bad, &self.ctx);
            slot.endpoint
        });
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
            Ok(OpenedResponse::Buffered(_)) | Err(_) => None,
        }
    }
}
