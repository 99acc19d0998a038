//! An event stream received from an endpoint.

use hemlockhitch_model::Clock;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::slot::EndpointSlot;
use crate::connection::Connection;
use crate::dialect::Dialect;
use crate::events::{Event, EventSplitter};

/// Maximum size of an event, in bytes; an endpoint that sends a larger one is treated
/// as faulty.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

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
}

impl<D: Dialect, C: Clock> OpenStream<D, C> {
    pub(super) fn new(
        slot: Option<EndpointSlot<D, C>>,
        response: Response<Incoming>,
        connection: Connection,
        keepalive_ms: Option<u64>,
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
        }
    }

    /// Waits for the item that follows the event `last_event_id`.
    pub(super) async fn next(&mut self, last_event_id: Option<u64>) -> StreamItem {
        if let Some(next) = self.put_back.take() {
            return next;
        }
        loop {
            if let Some(event) = self.splitter.next_event() {
                return match (event.id, last_event_id) {
                    (Some(id), Some(last_event_id)) if id <= last_event_id => StreamItem::Broken,
                    _ => StreamItem::Event(event),
                };
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Some(bytes) = frame.data_ref() {
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
