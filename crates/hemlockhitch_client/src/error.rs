//! Errors of the HTTP client.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use thiserror::Error;

use crate::Answer;

/// The kinds of failure of an HTTP request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HttpErrorKind {
    /// No connection was made: the request certainly was not sent.
    Connect,
    /// The connection broke: the request may have taken effect.
    Broken,
    /// No answer came in time: the request may have taken effect.
    TimedOut,
    /// The answer has a status other than 2xx.
    Status(StatusCode),
    /// A message could not be written or read.
    Unreadable,
}

/// A failure of an HTTP request.
#[derive(Clone, Debug)]
#[derive(Error)]
#[error("{detail}")]
pub struct HttpError {
    kind: HttpErrorKind,
    detail: String,
    body: Bytes,
}

impl HttpError {
    /// Returns the kind of the failure.
    #[must_use]
    pub fn kind(&self) -> HttpErrorKind {
        self.kind
    }

    /// Returns the body of an answer with a status other than 2xx.
    #[must_use]
    pub fn body(&self) -> &Bytes {
        &self.body
    }

    pub(crate) fn timed_out(limit: Duration) -> Self {
        Self::new(
            HttpErrorKind::TimedOut,
            format!("no answer within {} ms; retry later", limit.as_millis()),
        )
    }

    pub(crate) fn status(answer: &Answer) -> Self {
        let body = answer.body.clone();
        let text = String::from_utf8_lossy(&body).into_owned();
        Self {
            kind: HttpErrorKind::Status(answer.status),
            detail: format!("answered {}: {text}", answer.status),
            body,
        }
    }

    pub(crate) fn unreadable(error: &impl fmt::Display) -> Self {
        Self::new(
            HttpErrorKind::Unreadable,
            format!("message cannot be read: {error}; check that both sides speak one version"),
        )
    }

    fn new(kind: HttpErrorKind, detail: String) -> Self {
        Self {
            kind,
            detail,
            body: Bytes::new(),
        }
    }
}

impl From<hyper_util::client::legacy::Error> for HttpError {
    fn from(error: hyper_util::client::legacy::Error) -> Self {
        if error.is_connect() {
            let detail = format!("cannot connect: {error}; check the address");
            return Self::new(HttpErrorKind::Connect, detail);
        }
        let detail = format!("connection broke: {error}; the request may have taken effect");
        Self::new(HttpErrorKind::Broken, detail)
    }
}

impl From<hyper::Error> for HttpError {
    fn from(error: hyper::Error) -> Self {
        let detail = format!("connection broke: {error}; the request may have taken effect");
        Self::new(HttpErrorKind::Broken, detail)
    }
}
