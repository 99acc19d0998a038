//! An event stream received from an endpoint.

use std::time::Duration;

use hemlockhitch_model::Clock;
use hemlockhitch_routing::limits::{Claim, FIRST_STEP_BYTES};
use http::Response;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::sleep;

use super::Gateway;
use super::context::RequestContext;
use super::slot::EndpointSlot;
use crate::connection::Connection;
use crate::dialect::Dialect;
use crate::events::{Event, EventSplitter};
use crate::memory::Reservation;

/// Maximum size of an event, in bytes; an endpoint that sends a larger one is treated
/// as faulty.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// How often memory for a large event is asked for, while there is none.
const MEMORY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The next item of a stream.
#[derive(Debug)]
pub(super) enum StreamItem {
    /// A complete event, newer than those that the caller has.
    Event(Event),
    /// The stream is complete.
    End,
    /// The stream was interrupted, or sent something other than its next event.
    Broken,
}

/// An event stream received from an endpoint or through another node; dropping it cancels
/// the work there.
#[derive(Debug)]
pub(super) struct OpenStream<D: Dialect, C: Clock> {
    /// The slot at the endpoint; `None` if another node holds it.
    pub(super) slot: Option<EndpointSlot<D, C>>,
    pub(super) head: Response<()>,
    body: Incoming,
    connection: Connection,
    keepalive_ms: Option<u64>,
    splitter: EventSplitter,
    put_back: Option<StreamItem>,
    /// Memory for an event that is larger than the others.
    reservation: Reservation,
    /// Bytes received since this was last asked for.
    received_bytes: u64,
}

impl<D: Dialect, C: Clock> Gateway<D, C> {
    /// Opens the event stream of a response.
    pub(super) fn open_stream(
        &self,
        ctx: &RequestContext<D, C>,
        slot: Option<EndpointSlot<D, C>>,
        response: Response<Incoming>,
        connection: Connection,
        keepalive_ms: Option<u64>,
    ) -> OpenStream<D, C> {
        let claim = Claim::Stream(ctx.organisation_hash());
        let reservation = self.node_context.memory().reservation(claim);
        OpenStream::new(slot, response, connection, keepalive_ms, reservation)
    }
}

impl<D: Dialect, C: Clock> OpenStream<D, C> {
    fn new(
        slot: Option<EndpointSlot<D, C>>,
        response: Response<Incoming>,
        connection: Connection,
        keepalive_ms: Option<u64>,
        reservation: Reservation,
    ) -> Self {
        let (head, body) = response.into_parts();
        Self {
            slot,
            head: Response::from_parts(head, ()),
            body,
            connection,
            keepalive_ms,
            splitter: EventSplitter::default(),
            put_back: None,
            reservation,
            received_bytes: 0,
        }
    }

    /// Waits for the item that follows the event `last_event_id`.
    pub(super) async fn next(&mut self, last_event_id: Option<u64>) -> StreamItem {
        if let Some(next) = self.put_back.take() {
            return next;
        }
        loop {
            if let Some(event) = self.splitter.next_event() {
                let follows = match (event.id, last_event_id) {
                    (Some(id), Some(last_event_id)) => id > last_event_id,
                    // The events of a stream have ids, so this is the text of an error.
                    (None, Some(_)) => event.is_comment,
                    (_, None) => true,
                };
                return if follows {
                    StreamItem::Event(event)
                } else {
                    StreamItem::Broken
                };
            }
            let partial_bytes = self.splitter.buffered_bytes() as u64;
            // The endpoint is read no further meanwhile.
            while partial_bytes > FIRST_STEP_BYTES && !self.reservation.grow_to(partial_bytes) {
                sleep(MEMORY_POLL_INTERVAL).await;
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Some(bytes) = frame.data_ref() {
                        self.received_bytes += bytes.len() as u64;
                        self.splitter.push(bytes);
                    }
                    if self.splitter.buffered_bytes() > MAX_EVENT_BYTES {
                        return StreamItem::Broken;
                    }
                }
                Some(Err(_)) => return StreamItem::Broken,
                None if self.splitter.buffered_bytes() > 0 => return StreamItem::Broken,
                None => return StreamItem::End,
            }
        }
    }

    /// Returns how many bytes were received since the last call.
    pub(super) fn take_received_bytes(&mut self) -> u64 {
        std::mem::take(&mut self.received_bytes)
    }

    /// Returns whether the response states where its body ends. If not, its end cannot be told
    /// from a connection that the endpoint closed too soon.
    pub(super) fn has_explicit_end(&self) -> bool {
        let headers = self.head.headers();
        headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
    }

    pub(super) fn put_back(&mut self, event: Event) {
        self.put_back = Some(StreamItem::Event(event));
    }

    pub(super) fn put_back_end(&mut self) {
        self.put_back = Some(StreamItem::End);
    }

    pub(super) fn finish_prefill(&mut self) {
        if let Some(slot) = &mut self.slot {
            slot.finish_prefill();
        }
    }

    pub(super) fn into_slot(self) -> Option<EndpointSlot<D, C>> {
        self.slot
    }

    /// Returns the slot, the connection and its keepalive time in milliseconds after
    /// the end of the stream.
    pub(super) fn finish(self) -> (Option<EndpointSlot<D, C>>, Connection, Option<u64>) {
        (self.slot, self.connection, self.keepalive_ms)
    }
}
