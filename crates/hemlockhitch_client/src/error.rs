//! Errors returned by the HTTP client.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use thiserror::Error;

use crate::Answer;

/// Why an HTTP request failed, and whether it may have taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HttpErrorKind {
    /// No connection was established, so the request was not sent.
    Connect,
    /// The connection was lost; the request may have taken effect.
    ConnectionLost,
    /// No response arrived before the timeout; the request may have taken effect.
    TimedOut,
    /// The response has a status other than 2xx.
    Status(StatusCode),
    /// A message could not be serialised or parsed, or the request URI is invalid.
    InvalidMessage,
}

/// Error returned when an HTTP request fails.
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

    /// Returns the body of a response with a status other than 2xx; empty for
    /// every other kind of failure.
    #[must_use]
    pub fn body(&self) -> &Bytes {
        &self.body
    }

    pub(crate) fn timed_out(timeout: Duration) -> Self {
        Self::new(
            HttpErrorKind::TimedOut,
            format!("no answer within {} ms; retry later", timeout.as_millis()),
        )
    }

    pub(crate) fn status(response: &Answer) -> Self {
        let body = response.body.clone();
        let text = String::from_utf8_lossy(&body).into_owned();
        Self {
            kind: HttpErrorKind::Status(response.status),
            detail: format!("answered {}: {text}", response.status),
            body,
        }
    }

    pub(crate) fn invalid_message(error: &impl fmt::Display) -> Self {
        Self::new(
            HttpErrorKind::InvalidMessage,
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
        Self::new(HttpErrorKind::ConnectionLost, detail)
    }
}

impl From<hyper::Error> for HttpError {
    fn from(error: hyper::Error) -> Self {
        let detail = format!("connection broke: {error}; the request may have taken effect");
        Self::new(HttpErrorKind::ConnectionLost, detail)
    }
}
