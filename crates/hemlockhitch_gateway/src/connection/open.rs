//! Opens connections to endpoints and other nodes.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;

use crate::telemetry;

use super::{Connection, Remote, SendError, TaskGuard};

/// Connect timeout: many times the latency between data centres.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// How long the other end may acknowledge nothing before the connection counts as dead,
/// whether data or keepalive probes were sent: longer than the pauses of an endpoint that
/// works. Whether a node reaches any endpoint is found out sooner, by a probe.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Idle time before the first TCP keepalive probe, and the interval between probes. Their
/// number follows from [`UNACKNOWLEDGED_TIMEOUT`].
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum size of a connection's read buffer, in bytes, and thus of a response head. An
/// answer that its caller does not read waits in about four of them: 120 such callers took
/// 42 MB at 64 KB, and 24 MB at 32 KB.
pub(crate) const MAX_BUFFER_BYTES: usize = 16 * 1_024;

pub(super) async fn open(
    remote: Remote,
    address: SocketAddr,
    source_address: Option<IpAddr>,
) -> Result<Connection, SendError> {
    let connected = timeout(CONNECT_TIMEOUT, connect(address, source_address)).await;
    let stream = match connected {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(connect_failed(address, &error)),
        Err(elapsed) => return Err(connect_failed(address, &elapsed)),
    };
    if let Err(error) = configure_socket(&stream) {
        return Err(connect_failed(address, &error));
    }
    let (sender, connection) = match handshake(stream).await {
        Ok(parts) => parts,
        Err(error) => return Err(connect_failed(address, &error)),
    };
    let task = tokio::spawn(async move {
        if let Err(error) = connection.await {
            tracing::debug!(event = "HH1230", %address, %error, "connection to endpoint failed");
        }
    });
    telemetry::count_connection_opened();
    Ok(Connection {
        remote,
        last_request: 0,
        refused_requests: Vec::new(),
        sender,
        _task: TaskGuard(task.abort_handle()),
    })
}

async fn handshake(
    stream: TcpStream,
) -> hyper::Result<(
    SendRequest<Full<Bytes>>,
    http1::Connection<TokioIo<TcpStream>, Full<Bytes>>,
)> {
    http1::Builder::new()
        .max_buf_size(MAX_BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await
}

/// Returns whether an endpoint takes connections; nothing is sent on it.
pub(super) async fn is_listening(address: SocketAddr, source_address: Option<IpAddr>) -> bool {
    let connected = timeout(CONNECT_TIMEOUT, connect(address, source_address)).await;
    matches!(connected, Ok(Ok(_)))
}

async fn connect(address: SocketAddr, source_address: Option<IpAddr>) -> io::Result<TcpStream> {
    let Some(source_address) = source_address else {
        return TcpStream::connect(address).await;
    };
    let socket = match source_address {
        IpAddr::V4(_) => TcpSocket::new_v4()?,
        IpAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.bind(SocketAddr::new(source_address, 0))?;
    socket.connect(address).await
}

/// Sets socket options that make a connection fail soon if the other end vanishes
/// without closing it.
pub(crate) fn configure_socket(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)
}

fn connect_failed(address: SocketAddr, error: &impl std::fmt::Display) -> SendError {
    tracing::debug!(event = "HH1231", %address, %error, "endpoint unreachable");
    SendError::NotSent
}
