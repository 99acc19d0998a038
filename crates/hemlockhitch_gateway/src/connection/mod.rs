//! Connection pool for endpoints and other nodes.

mod open;

pub(crate) use open::{MAX_BUFFER_BYTES, configure_socket};

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
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

/// Idle timeout of a pooled connection, in milliseconds, if the endpoint does not state
/// its keepalive time.
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 1_500;

/// Subtracted from the keepalive time that an endpoint states, in milliseconds, since
/// its close may already be on the way.
const IDLE_TIMEOUT_MARGIN_MS: u64 = 700;

/// Number of refusals after which a connection is not used again.
const MAX_REFUSALS: usize = 64;

/// Maximum number of idle connections to an endpoint or a node.
const MAX_IDLE_PER_REMOTE: usize = 32;

/// Why a request got no response head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendError {
    /// No connection was made, so the request was not sent.
    NotSent,
    /// The connection failed after the request was sent in full or in part.
    Broken,
}

/// The other end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Remote {
    /// An endpoint.
    Endpoint(EndpointKey),
    /// A node, by the address at which it serves other nodes.
    Node(SocketAddr),
}

/// A connection that carries one request at a time and is closed when it is dropped.
#[derive(Debug)]
pub(crate) struct Connection {
    remote: Remote,
    /// Hash of the id of the last request that was sent on it.
    last_request: u64,
    /// Hashes of the ids of the requests that were refused as not run on it. The other end may
    /// send such a refusal once more when the request is repeated.
    refused_requests: Vec<u64>,
    sender: SendRequest<Full<Bytes>>,
    _task: TaskGuard,
}

impl Connection {
    /// Records that the last request was refused as not run.
    pub(crate) fn record_refusal(&mut self) {
        self.refused_requests.push(self.last_request);
    }

    /// Returns whether a surplus response on the connection might be taken for the response
    /// to a request.
    fn may_confuse(&self, request_hash: u64) -> bool {
        self.last_request == request_hash || self.refused_requests.contains(&request_hash)
    }
}

/// Aborts the connection's task when the connection is dropped.
#[derive(Debug)]
struct TaskGuard(AbortHandle);

impl Drop for TaskGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires_at: Instant,
}

/// The idle connections of a node, by their other end.
#[derive(Debug)]
pub(crate) struct ConnectionPool {
    /// Address from which connections to endpoints are opened; `None` if the system
    /// chooses it.
    source_address: Option<IpAddr>,
    idle: Mutex<HashMap<Remote, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Creates an empty pool that connects to endpoints from `source_address`.
    pub(crate) fn new(source_address: Option<IpAddr>) -> Self {
        Self {
            source_address,
            idle: Mutex::default(),
        }
    }

    /// Sends a request over a pooled or a new connection, and returns once the response
    /// head has arrived. `request_hash` is the hash of the id that the response repeats.
    ///
    /// The other end may send a surplus response late, so that it looks like the response to
    /// the next request on the connection. Callers compare its id, and no request is sent
    /// on a connection whose last request had the same id, or on which it was refused.
    pub(crate) async fn send(
        &self,
        remote: Remote,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        request_hash: u64,
    ) -> Result<(Response<Incoming>, Connection), SendError> {
        let mut request = request;
        while let Some(mut connection) = self.take_idle(remote, request_hash) {
            connection.last_request = request_hash;
            match connection.sender.try_send_request(request).await {
                Ok(response) => return Ok((response, connection)),
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(SendError::Broken),
                },
            }
        }
        self.send_on_new(remote, address, request, request_hash)
            .await
    }

    /// Sends a request over a new connection, for a response that repeats no id.
    pub(crate) async fn send_on_new(
        &self,
        remote: Remote,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        request_hash: u64,
    ) -> Result<(Response<Incoming>, Connection), SendError> {
        let source_address = match remote {
            Remote::Endpoint(_) => self.source_address,
            Remote::Node(_) => None,
        };
        let mut connection = open::open(remote, address, source_address).await?;
        connection.last_request = request_hash;
        match connection.sender.try_send_request(request).await {
            Ok(response) => Ok((response, connection)),
            Err(mut error) => Err(match error.take_message() {
                Some(_) => SendError::NotSent,
                None => SendError::Broken,
            }),
        }
    }

    /// Returns whether an endpoint takes connections; nothing is sent on it.
    pub(crate) async fn is_listening(&self, address: SocketAddr) -> bool {
        open::is_listening(address, self.source_address).await
    }

    /// Returns whether another node takes connections; nothing is sent on it.
    pub(crate) async fn is_node_listening(&self, address: SocketAddr) -> bool {
        open::is_listening(address, None).await
    }

    /// Returns a connection to the pool after its response was read in full.
    pub(crate) fn release(&self, connection: Connection, keepalive_ms: Option<u64>) {
        let idle_ms = keepalive_ms.map_or(DEFAULT_IDLE_TIMEOUT_MS, |keepalive_ms| {
            keepalive_ms.saturating_sub(IDLE_TIMEOUT_MARGIN_MS)
        });
        let has_refused_many = connection.refused_requests.len() >= MAX_REFUSALS;
        if connection.sender.is_closed() || idle_ms == 0 || has_refused_many {
            return;
        }
        let expires_at = Instant::now() + Duration::from_millis(idle_ms);
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let pooled = idle.entry(connection.remote).or_default();
        if pooled.len() < MAX_IDLE_PER_REMOTE {
            pooled.push(IdleConnection {
                connection,
                expires_at,
            });
        }
    }

    /// Closes the idle connections to an endpoint that was removed.
    pub(crate) fn close_endpoint(&self, endpoint: EndpointKey) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.remove(&Remote::Endpoint(endpoint));
    }

    /// Takes the most recently used idle connection that may carry a request.
    fn take_idle(&self, remote: Remote, request_hash: u64) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let pooled = idle.get_mut(&remote)?;
        pooled.retain(|idle| now < idle.expires_at && !idle.connection.sender.is_closed());
        let ready = pooled.iter().rposition(|idle| {
            idle.connection.sender.is_ready() && !idle.connection.may_confuse(request_hash)
        })?;
        Some(pooled.remove(ready).connection)
    }
}
