//! Kept connections to endpoints.

mod open;

pub(crate) use open::watch_over;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use hemlockhitch_model::EndpointKey;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// How long an idle connection is used again if the endpoint does not say how long
/// it keeps one, in milliseconds.
const IDLE_DEFAULT_MS: u64 = 1_500;

/// Taken off the time that an endpoint states, for a close that is on its way, in
/// milliseconds.
const IDLE_MARGIN_MS: u64 = 700;

/// Idle connections kept for one endpoint.
const IDLE_MOST: usize = 32;

/// Why a request has no answer's head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendError {
    /// No connection was made: the request was not sent.
    NotSent,
    /// The connection broke after the request was sent, or a part of it.
    Broken,
}

/// A connection that carries one request; it is closed when it is dropped.
#[derive(Debug)]
pub(crate) struct Connection {
    endpoint: EndpointKey,
    sender: SendRequest<Full<Bytes>>,
    _task: TaskGuard,
}

/// Ends the task of a connection with its last user.
#[derive(Debug)]
struct TaskGuard(AbortHandle);

impl Drop for TaskGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Instant,
}

/// The idle connections of a node, by endpoint.
#[derive(Debug, Default)]
pub(crate) struct Connections {
    idle: Mutex<HashMap<EndpointKey, Vec<Idle>>>,
}

impl Connections {
    /// Sends a request over a kept connection or a new one, and returns once the
    /// head of the answer has arrived.
    pub(crate) async fn send(
        &self,
        endpoint: EndpointKey,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, Connection), SendError> {
        let mut request = request;
        while let Some(mut connection) = self.take(endpoint) {
            match connection.sender.try_send_request(request).await {
                Ok(response) => return Ok((response, connection)),
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(SendError::Broken),
                },
            }
        }
        let mut connection = open::open(endpoint, address).await?;
        match connection.sender.try_send_request(request).await {
            Ok(response) => Ok((response, connection)),
            Err(mut error) => Err(match error.take_message() {
                Some(_) => SendError::NotSent,
                None => SendError::Broken,
            }),
        }
    }

    /// Keeps a connection whose answer was read whole.
    pub(crate) fn keep(&self, connection: Connection, idle_ms: Option<u64>) {
        let idle_ms = idle_ms.map_or(IDLE_DEFAULT_MS, |idle_ms| {
            idle_ms.saturating_sub(IDLE_MARGIN_MS)
        });
        if connection.sender.is_closed() || idle_ms == 0 {
            return;
        }
        let until = Instant::now() + Duration::from_millis(idle_ms);
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let kept = idle.entry(connection.endpoint).or_default();
        if kept.len() < IDLE_MOST {
            kept.push(Idle { connection, until });
        }
    }

    /// Closes the idle connections to an endpoint that is gone.
    pub(crate) fn drop_endpoint(&self, endpoint: EndpointKey) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.remove(&endpoint);
    }

    /// Takes the connection that was used last.
    fn take(&self, endpoint: EndpointKey) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let kept = idle.get_mut(&endpoint)?;
        kept.retain(|idle| now < idle.until && !idle.connection.sender.is_closed());
        let ready = kept
            .iter()
            .rposition(|idle| idle.connection.sender.is_ready())?;
        Some(kept.remove(ready).connection)
    }
}
