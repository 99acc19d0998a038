//! Answers that are not event streams: held as a whole while the memory budget allows it,
//! otherwise relayed as they arrive.
//!
//! An answer that is held can be replaced by another endpoint's if it turns out to be
//! truncated. One that is relayed breaks off at the caller then.

use std::time::Duration;

use bytes::Bytes;
use hemlockhitch_model::Clock;
use hemlockhitch_routing::fleet::Sign;
use hemlockhitch_routing::hash_bytes;
use hemlockhitch_routing::limits::{Claim, Progress};
use http::Response;
use http::header::{CONTENT_LENGTH, HeaderValue};
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::mpsc::{Permit, Sender, channel};
use tokio::time::{Instant, timeout};

use super::Gateway;
use super::context::RequestContext;
use super::headers::strip_hop_by_hop_headers;
use super::response::{BodyChunk, ChannelBody, ResponseBody};
use super::send::MAX_RESPONSE_BYTES;
use super::slot::EndpointSlot;
use crate::connection::{Connection, MAX_BUFFER_BYTES};
use crate::dialect::Dialect;
use crate::memory::Collector;
use crate::telemetry;

/// Time for which a caller takes nothing, after which a connection that the endpoint closes
/// is not held against the endpoint: it may end one whose answer is left unread.
pub(super) const LEFT_UNREAD_MS: u64 = 500;

/// Number of connection buffers in which a relayed answer waits: one each at the endpoint's
/// connection, in its body, in the relay and at the caller's connection.
const RELAY_BUFFERS: u64 = 4;

/// A body that was read as far as the memory budget allowed.
#[derive(Debug)]
pub(super) enum HeldBody {
    /// The whole body.
    Whole(Bytes),
    /// The start of the body; the rest is to be relayed.
    Start(Box<BodyStart>),
}

/// The start of a body that is not held.
#[derive(Debug)]
pub(super) struct BodyStart {
    chunks: [Bytes; 2],
    rest: Incoming,
}

/// Why a body cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyError {
    /// It is larger than [`MAX_RESPONSE_BYTES`].
    TooLarge,
    /// It was broken off, or there is no memory for a body that is not relayed.
    Broken,
}

/// An accepted answer that is relayed as it arrives.
#[derive(Debug)]
pub(super) struct RelayedAnswer<D: Dialect, C: Clock> {
    /// The slot at the endpoint; `None` if another node holds it.
    pub(super) slot: Option<EndpointSlot<D, C>>,
    pub(super) head: Response<()>,
    pub(super) body: BodyStart,
    pub(super) connection: Connection,
    pub(super) keepalive_ms: Option<u64>,
}

impl<D: Dialect, C: Clock> Gateway<D, C> {
    /// Reads a body within the memory budget.
    pub(super) async fn hold_body(
        &self,
        ctx: &RequestContext<D, C>,
        mut body: Incoming,
        may_relay: bool,
    ) -> Result<HeldBody, BodyError> {
        let claim = Claim::Answer(ctx.organisation_hash());
        let memory = self.node_context.memory();
        let route = hash_bytes(&ctx.route.name);
        let mut collector = Collector::new(memory.reservation(claim));
        let length = body.size_hint().exact();
        if let Some(length) = length {
            memory.record_answer(route, length);
            if length > MAX_RESPONSE_BYTES as u64 {
                return Err(BodyError::TooLarge);
            }
            if !collector.reserve(length) && may_relay {
                let chunks = [Bytes::new(), Bytes::new()];
                return Ok(HeldBody::Start(Box::new(BodyStart { chunks, rest: body })));
            }
        }
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| BodyError::Broken)?;
            let Ok(bytes) = frame.into_data() else {
                continue;
            };
            if collector.len() + bytes.len() > MAX_RESPONSE_BYTES {
                return Err(BodyError::TooLarge);
            }
            if collector.push(&bytes) {
                continue;
            }
            if !may_relay {
                return Err(BodyError::Broken);
            }
            memory.record_answer(route, (collector.len() + bytes.len()) as u64);
            let chunks = [collector.finish(), bytes];
            return Ok(HeldBody::Start(Box::new(BodyStart { chunks, rest: body })));
        }
        if length.is_none() {
            memory.record_answer(route, collector.len() as u64);
        }
        Ok(HeldBody::Whole(collector.finish()))
    }
}

/// Returns the response head and relays the body in a task of its own.
pub(super) fn start<D: Dialect, C: Clock>(
    gateway: Gateway<D, C>,
    ctx: RequestContext<D, C>,
    answer: RelayedAnswer<D, C>,
) -> Response<ResponseBody> {
    let (sender, receiver) = channel(1);
    let (mut head, ()) = answer.head.clone().into_parts();
    strip_hop_by_hop_headers(&mut head.headers);
    if let Some(rest) = answer.body.rest.size_hint().exact() {
        let start: usize = answer.body.chunks.iter().map(Bytes::len).sum();
        let length = HeaderValue::from(rest + start as u64);
        head.headers.insert(CONTENT_LENGTH, length);
    }
    telemetry::count_relayed_answer();
    tokio::spawn(async move {
        let closed = sender.clone();
        let relay = AnswerRelay {
            gateway,
            ctx,
            sender,
            left_unread: false,
        };
        tokio::select! {
            () = closed.closed() => {}
            () = relay.run(answer) => {}
        }
    });
    Response::from_parts(head, ResponseBody::Relayed(ChannelBody::new(receiver)))
}

struct AnswerRelay<D: Dialect, C: Clock> {
    gateway: Gateway<D, C>,
    ctx: RequestContext<D, C>,
    sender: Sender<BodyChunk>,
    /// Whether the caller has left a part of the answer unread for a while.
    left_unread: bool,
}

impl<D: Dialect, C: Clock> AnswerRelay<D, C> {
    async fn run(mut self, answer: RelayedAnswer<D, C>) {
        let claim = Claim::Stream(self.ctx.organisation_hash());
        let mut buffers = self.gateway.node_context.memory().reservation(claim);
        // An answer that an endpoint has produced is delivered even if the budget is spent.
        buffers.charge(RELAY_BUFFERS * MAX_BUFFER_BYTES as u64);
        tracing::debug!(
            event = "HH1290",
            request = self.ctx.metadata.request_id,
            route = self.ctx.route.name,
            "answer relayed as it arrives"
        );
        let RelayedAnswer {
            slot,
            body,
            connection,
            keepalive_ms,
            ..
        } = answer;
        if self.forward(body).await {
            let pool = self.gateway.node_context.connection_pool();
            pool.release(connection, keepalive_ms);
            drop(slot);
            // Fails if the caller has disconnected.
            let _ = self.sender.send(BodyChunk::End).await;
            return;
        }
        tracing::info!(
            event = "HH1291",
            request = self.ctx.metadata.request_id,
            route = self.ctx.route.name,
            endpoint = ?slot.as_ref().map(|slot| slot.endpoint),
            left_unread = self.left_unread,
            "relayed answer broken off"
        );
        if let Some(slot) = slot.filter(|_| !self.left_unread) {
            slot.record_outcome(Sign::Bad, &self.ctx);
        }
    }

    /// Forwards the body; returns whether it is complete.
    async fn forward(&mut self, body: BodyStart) -> bool {
        let mut relayed_bytes = 0;
        for chunk in body.chunks {
            if chunk.is_empty() {
                continue;
            }
            relayed_bytes += chunk.len();
            let Some(permit) = self.wait_for_caller().await else {
                return false;
            };
            permit.send(BodyChunk::bytes(chunk));
        }
        let mut rest = body.rest;
        let mut progress = Progress::default();
        let node_context = self.gateway.node_context.clone();
        loop {
            // The endpoint is read only when there is room for what it sends.
            let Some(permit) = self.wait_for_caller().await else {
                return false;
            };
            let now = node_context.now();
            progress.wait(now);
            let max_wait = Duration::from_millis(progress.remaining_ms(now));
            let Ok(frame) = timeout(max_wait, rest.frame()).await else {
                telemetry::count_stalled("endpoint");
                return false;
            };
            let Some(frame) = frame else {
                return true;
            };
            let Ok(frame) = frame else {
                return false;
            };
            let Ok(bytes) = frame.into_data() else {
                continue;
            };
            progress.advance(bytes.len() as u64, node_context.now());
            relayed_bytes += bytes.len();
            if relayed_bytes > MAX_RESPONSE_BYTES {
                return false;
            }
            permit.send(BodyChunk::bytes(bytes));
        }
    }

    /// Waits until the caller has read what was sent before; `None` if it has disconnected.
    async fn wait_for_caller(&mut self) -> Option<Permit<'_, BodyChunk>> {
        let started = Instant::now();
        let permit = self.sender.reserve().await.ok()?;
        self.left_unread |= started.elapsed() >= Duration::from_millis(LEFT_UNREAD_MS);
        Some(permit)
    }
}
