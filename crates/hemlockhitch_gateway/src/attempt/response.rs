//! Answers to callers.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};
use http_body::{Body, Frame, SizeHint};
use thiserror::Error;
use tokio::sync::mpsc::Receiver;

/// The answer was broken off; the caller's connection is closed without its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
#[error("the answer was broken off; send the request again with the last event's id")]
pub struct BrokenOff;

/// A piece of a relayed stream.
#[derive(Debug)]
pub(super) enum Piece {
    Bytes(Bytes),
    End,
}

/// The body of an answer.
#[derive(Debug)]
pub enum AnswerBody {
    /// A body that is known whole.
    Whole(Option<Bytes>),
    /// Events as they arrive.
    Events(EventBody),
}

/// Events that a relay hands over; without an explicit end the body breaks off.
#[derive(Debug)]
pub struct EventBody {
    pieces: Receiver<Piece>,
    ended: bool,
}

impl EventBody {
    pub(super) fn new(pieces: Receiver<Piece>) -> Self {
        Self {
            pieces,
            ended: false,
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Events(events) if events.ended => Poll::Ready(None),
            Self::Events(events) => Poll::Ready(match ready!(events.pieces.poll_recv(context)) {
                Some(Piece::Bytes(bytes)) => Some(Ok(Frame::data(bytes))),
                Some(Piece::End) => {
                    events.ended = true;
                    None
                }
                None => Some(Err(BrokenOff)),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Self::Events(events) => events.ended,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Events(_) => SizeHint::default(),
        }
    }
}

/// An answer of the node's own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Refusal {
    status: StatusCode,
    message: &'static str,
    retry_after_ms: Option<u64>,
}

impl Refusal {
    pub(super) fn new(status: StatusCode, message: &'static str) -> Self {
        Self {
            status,
            message,
            retry_after_ms: None,
        }
    }

    /// The request has not run and will not; the caller may come back after a time
    /// that is spread, so that callers refused together do not return together.
    pub(super) fn not_run(message: &'static str, retry_after_ms: u64) -> Self {
        let spread_ms = fastrand::u64(0..=retry_after_ms / 2);
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            message,
            retry_after_ms: Some(retry_after_ms + spread_ms),
        }
    }

    pub(super) fn status(&self) -> StatusCode {
        self.status
    }

    pub(super) fn message(&self) -> &'static str {
        self.message
    }

    pub(super) fn into_response(self) -> Response<AnswerBody> {
        let body = Bytes::from_static(self.message.as_bytes());
        let mut response = Response::new(AnswerBody::Whole(Some(body)));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if let Some(retry_after_ms) = self.retry_after_ms {
            let seconds = format!("{}.{:03}", retry_after_ms / 1_000, retry_after_ms % 1_000);
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(RETRY_AFTER, value);
            }
        }
        response
    }
}
