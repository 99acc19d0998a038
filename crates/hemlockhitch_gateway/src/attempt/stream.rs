//! A stream of events that an endpoint is sending.

use hemlockhitch_model::Clock;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::slot::Place;
use crate::connection::Connection;
use crate::dialect::Dialect;
use crate::events::{Event, EventSplitter};

/// The largest event, in bytes; an endpoint that sends more is taken for faulty.
const EVENT_BYTES_MOST: usize = 1024 * 1024;

/// What comes next in a stream.
#[derive(Debug)]
pub(super) enum Next {
    /// A whole event, newer than those that the caller has.
    Event(Event),
    /// The stream is complete.
    End,
    /// The stream broke off, or sent something that is not its next event.
    Broken,
}

/// A stream of events that an endpoint is sending; dropping it ends the work.
#[derive(Debug)]
pub(super) struct OpenStream<D: Dialect, C: Clock> {
    pub(super) place: Place<D, C>,
    pub(super) head: Response<()>,
    body: Incoming,
    connection: Connection,
    idle_ms: Option<u64>,
    splitter: EventSplitter,
    put_back: Option<Next>,
}

impl<D: Dialect, C: Clock> OpenStream<D, C> {
    pub(super) fn new(
        place: Place<D, C>,
        response: Response<Incoming>,
        connection: Connection,
        idle_ms: Option<u64>,
    ) -> Self {
        let (head, body) = response.into_parts();
        Self {
            place,
            head: Response::from_parts(head, ()),
            body,
            connection,
            idle_ms,
            splitter: EventSplitter::default(),
            put_back: None,
        }
    }

    /// Waits for what comes after the event `last`.
    pub(super) async fn next(&mut self, last: Option<u64>) -> Next {
        if let Some(next) = self.put_back.take() {
            return next;
        }
        loop {
            if let Some(event) = self.splitter.next_event() {
                return match (event.id, last) {
                    (Some(id), Some(last)) if id <= last => Next::Broken,
                    _ => Next::Event(event),
                };
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Some(bytes) = frame.data_ref() {
                        self.splitter.push(bytes);
                    }
                    if self.splitter.unfinished_bytes() > EVENT_BYTES_MOST {
                        return Next::Broken;
                    }
                }
                Some(Err(_)) => return Next::Broken,
                None if self.splitter.unfinished_bytes() > 0 => return Next::Broken,
                None => return Next::End,
            }
        }
    }

    pub(super) fn put_back(&mut self, event: Event) {
        self.put_back = Some(Next::Event(event));
    }

    pub(super) fn put_back_end(&mut self) {
        self.put_back = Some(Next::End);
    }

    pub(super) fn end_reading(&mut self) {
        self.place.end_reading();
    }

    pub(super) fn into_place(self) -> Place<D, C> {
        self.place
    }

    /// Gives the place and the connection back after the stream's end.
    pub(super) fn finish(self) -> (Place<D, C>, Connection, Option<u64>) {
        (self.place, self.connection, self.idle_ms)
    }
}
