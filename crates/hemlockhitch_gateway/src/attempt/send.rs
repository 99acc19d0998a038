//! One attempt: sends a request to an endpoint and waits until the response has arrived
//! or its stream has started.

use std::time::Duration;

use bytes::Bytes;
use hemlockhitch_model::Clock;
use hemlockhitch_routing::hash_bytes;
use hemlockhitch_routing::reach::{SILENCE_MS, Suspicion};
use hemlockhitch_routing::retry::Seen;
use http::{Request, Response, StatusCode, Uri};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::{sleep, timeout};

use super::Gateway;
use super::answer::{BodyError, HeldBody, RelayedAnswer};
use super::context::{AttemptHistory, RequestContext};
use super::headers::strip_hop_by_hop_headers;
use super::outcome::implies_not_run;
use super::pending::PendingResponse;
use super::slot::EndpointSlot;
use super::stream::{OpenStream, StreamItem};
use crate::connection::{Connection, SendError};
use crate::dialect::{Dialect, ResponseMetadata, UpstreamMetadata};

/// Maximum size of a response that is not a stream of events, in bytes; an
/// endpoint that sends more is treated as faulty.
pub(super) const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// A response whose body was read in full.
#[derive(Debug)]
pub(super) struct BufferedResponse {
    pub(super) head: Response<()>,
    pub(super) body: Bytes,
}

/// A response that may be passed on to the caller.
#[derive(Debug)]
pub(super) enum OpenedResponse<D: Dialect, C: Clock> {
    Buffered(BufferedResponse),
    Relayed(Box<RelayedAnswer<D, C>>),
    Stream(Box<OpenStream<D, C>>),
}

/// An accepted response with the model's confidence in it.
#[derive(Debug)]
pub(super) struct AcceptedResponse<D: Dialect, C: Clock> {
    pub(super) response: OpenedResponse<D, C>,
    pub(super) confidence_percent: Option<u8>,
}

/// An attempt without an acceptable response.
#[derive(Debug)]
pub(super) struct AttemptFailure {
    pub(super) seen: Seen,
    /// The endpoint's own error response, if it arrived in full.
    pub(super) error_response: Option<Box<BufferedResponse>>,
}

impl From<Seen> for AttemptFailure {
    fn from(seen: Seen) -> Self {
        Self {
            seen,
            error_response: None,
        }
    }
}

impl<D: Dialect, C: Clock> Gateway<D, C> {
    /// Sends a request to the endpoint of a slot. The response head must arrive within
    /// `response_timeout`, and after it the body or the first event of a stream within
    /// the same time.
    pub(super) async fn send(
        &self,
        ctx: &RequestContext<D, C>,
        history: &AttemptHistory,
        slot: EndpointSlot<D, C>,
        response_timeout: Duration,
    ) -> (
        Result<AcceptedResponse<D, C>, AttemptFailure>,
        Option<EndpointSlot<D, C>>,
    ) {
        let Some(request) = self.build_request(ctx, history, &slot) else {
            return (Err(Seen::NotSent.into()), Some(slot));
        };
        let request_hash = hash_bytes(&ctx.metadata.request_id);
        let pending = PendingResponse::send(
            &self.node_context,
            slot.endpoint,
            slot.address,
            request,
            request_hash,
        );
        let sending = self.suspect_on_silence(ctx, pending.wait());
        match timeout(response_timeout, sending).await {
            Err(_) => (Err(Seen::Silent.into()), Some(slot)),
            Ok(Err(SendError::NotSent)) => {
                self.node_context
                    .suspect(&ctx.service, Suspicion::NotConnected);
                (Err(Seen::NotSent.into()), Some(slot))
            }
            Ok(Err(SendError::Broken)) => {
                self.node_context
                    .suspect(&ctx.service, Suspicion::Unanswered);
                (Err(Seen::Broken.into()), Some(slot))
            }
            Ok(Ok((response, connection))) => {
                self.record_reached(ctx);
                self.read_response(ctx, history, slot, response, connection, response_timeout)
                    .await
            }
        }
    }

    /// Waits for a response; while there is none for long, checks whether this node still
    /// reaches the endpoints.
    async fn suspect_on_silence<T>(
        &self,
        ctx: &RequestContext<D, C>,
        sending: impl Future<Output = T>,
    ) -> T {
        tokio::pin!(sending);
        loop {
            tokio::select! {
                biased;
                sent = &mut sending => return sent,
                () = sleep(Duration::from_millis(SILENCE_MS)) => {
                    self.node_context.suspect(&ctx.service, Suspicion::Unanswered);
                }
            }
        }
    }

    async fn read_response(
        &self,
        ctx: &RequestContext<D, C>,
        history: &AttemptHistory,
        slot: EndpointSlot<D, C>,
        response: Response<Incoming>,
        mut connection: Connection,
        response_timeout: Duration,
    ) -> (
        Result<AcceptedResponse<D, C>, AttemptFailure>,
        Option<EndpointSlot<D, C>>,
    ) {
        let metadata = self
            .node_context
            .dialect()
            .parse_response(response.status(), response.headers());
        let status = response.status();
        // Another endpoint has taken over the address; what it states is about itself.
        if status != StatusCode::MISDIRECTED_REQUEST {
            self.node_context
                .record_endpoint_state(slot.endpoint, &metadata);
        }
        if metadata.request_id.as_deref() != Some(ctx.metadata.request_id.as_str()) {
            let name = &slot.name;
            tracing::info!(event = "HH1222", request = ctx.metadata.request_id, %name, "response belongs to another request");
            return (Err(Seen::Spoilt.into()), Some(slot));
        }
        if status != StatusCode::MISDIRECTED_REQUEST {
            self.node_context
                .record_response(slot.instance_hash, slot.acquired_mono_ms);
        }
        let is_accepted = status.is_success() && metadata.signed && !metadata.encoded;
        let confidence_percent = metadata.confidence_percent;
        if is_accepted && ctx.route.kind.is_stream() {
            let stream =
                self.open_stream(ctx, Some(slot), response, connection, metadata.keepalive_ms);
            return await_first_event(stream, history, response_timeout, confidence_percent).await;
        }
        let (head, body) = response.into_parts();
        let reading = self.hold_body(ctx, body, is_accepted);
        let body = match timeout(response_timeout, reading).await {
            Ok(Ok(HeldBody::Whole(body))) => body,
            Ok(Ok(HeldBody::Start(body))) => {
                let answer = RelayedAnswer {
                    slot: Some(slot),
                    head: Response::from_parts(head, ()),
                    body: *body,
                    connection,
                    keepalive_ms: metadata.keepalive_ms,
                };
                let accepted = AcceptedResponse {
                    response: OpenedResponse::Relayed(Box::new(answer)),
                    confidence_percent,
                };
                return (Ok(accepted), None);
            }
            _ if metadata.not_run => return (Err(Seen::NotRun.into()), Some(slot)),
            Ok(Err(BodyError::TooLarge)) => {
                let name = &slot.name;
                tracing::info!(event = "HH1239", request = ctx.metadata.request_id, %name, "response is too large");
                return (Err(Seen::Spoilt.into()), Some(slot));
            }
            Ok(Err(BodyError::Broken)) | Err(_) => {
                return (Err(Seen::Broken.into()), Some(slot));
            }
        };
        let buffered = BufferedResponse {
            head: Response::from_parts(head, ()),
            body,
        };
        if metadata.not_run {
            connection.record_refusal();
        }
        self.node_context
            .connection_pool()
            .release(connection, metadata.keepalive_ms);
        (
            classify_response(buffered, &metadata, is_accepted),
            Some(slot),
        )
    }

    fn build_request(
        &self,
        ctx: &RequestContext<D, C>,
        history: &AttemptHistory,
        slot: &EndpointSlot<D, C>,
    ) -> Option<Request<Full<Bytes>>> {
        let now = self.node_context.now();
        let mut headers = ctx.head.headers.clone();
        strip_hop_by_hop_headers(&mut headers);
        let upstream = UpstreamMetadata {
            organisation: ctx
                .organisation
                .as_ref()
                .map(|organisation| &organisation.name),
            timeout_ms: ctx.remaining_ms(now),
            endpoint: &slot.name,
            model: ctx.model_at_size(history.model_size),
            priority: slot.priority,
            last_event_id: history.last_event_id,
        };
        let path = ctx.head.uri.path_and_query()?.clone();
        let mut request = Request::new(Full::new(ctx.body.clone()));
        *request.method_mut() = ctx.head.method.clone();
        *request.uri_mut() = Uri::from(path);
        *request.headers_mut() = self
            .node_context
            .dialect()
            .request_headers(&headers, &upstream);
        Some(request)
    }
}

fn classify_response<D: Dialect, C: Clock>(
    buffered: BufferedResponse,
    metadata: &ResponseMetadata,
    is_accepted: bool,
) -> Result<AcceptedResponse<D, C>, AttemptFailure> {
    let status = buffered.head.status();
    if metadata.not_run && status != StatusCode::BAD_REQUEST {
        return Err(Seen::NotRun.into());
    }
    let refused = metadata.not_run || (metadata.signed && status.is_client_error());
    if is_accepted || (refused && !implies_not_run(status)) {
        return Ok(AcceptedResponse {
            response: OpenedResponse::Buffered(buffered),
            confidence_percent: metadata.confidence_percent,
        });
    }
    if !metadata.signed || status.is_success() {
        return Err(Seen::Spoilt.into());
    }
    Err(AttemptFailure {
        seen: Seen::Failed,
        error_response: Some(Box::new(buffered)),
    })
}

/// Waits for the first event of a stream.
async fn await_first_event<D: Dialect, C: Clock>(
    mut stream: OpenStream<D, C>,
    history: &AttemptHistory,
    response_timeout: Duration,
    confidence_percent: Option<u8>,
) -> (
    Result<AcceptedResponse<D, C>, AttemptFailure>,
    Option<EndpointSlot<D, C>>,
) {
    let first = timeout(response_timeout, stream.next(history.last_event_id)).await;
    let seen = match first {
        Ok(StreamItem::Event(event)) => {
            stream.put_back(event);
            None
        }
        // A caller that resumes after the last event receives only the end of the
        // stream.
        Ok(StreamItem::End) if history.last_event_id.is_some() && stream.has_explicit_end() => {
            stream.put_back_end();
            None
        }
        Ok(StreamItem::End | StreamItem::Broken) => Some(Seen::Broken),
        Err(_) => Some(Seen::Silent),
    };
    if let Some(seen) = seen {
        return (Err(seen.into()), stream.into_slot());
    }
    stream.finish_prefill();
    let accepted = AcceptedResponse {
        response: OpenedResponse::Stream(Box::new(stream)),
        confidence_percent,
    };
    (Ok(accepted), None)
}
