//! Opens connections to endpoints.

use std::net::SocketAddr;
use std::time::Duration;

use hemlockhitch_model::EndpointKey;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::telemetry;

use super::{Connection, SendError, TaskGuard};

/// Connect timeout: many times the latency between data centres.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// How long sent data may stay unacknowledged before the connection counts as dead:
/// several retransmissions.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Idle time before the first TCP keepalive probe, and the interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered keepalive probes after which a connection counts as dead.
const KEEPALIVE_PROBES: u32 = 2;

pub(super) async fn open(
    endpoint: EndpointKey,
    address: SocketAddr,
) -> Result<Connection, SendError> {
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = match connected {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(connect_failed(address, &error)),
        Err(elapsed) => return Err(connect_failed(address, &elapsed)),
    };
    if let Err(error) = configure_socket(&stream) {
        return Err(connect_failed(address, &error));
    }
    let (sender, connection) = match http1::handshake(TokioIo::new(stream)).await {
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
        endpoint,
        sender,
        _task: TaskGuard(task.abort_handle()),
    })
}

/// Returns whether an endpoint takes connections; nothing is sent on it.
pub(crate) async fn is_listening(address: SocketAddr) -> bool {
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    matches!(connected, Ok(Ok(_)))
}

/// Sets socket options that make a connection fail soon if the other end vanishes
/// without closing it.
pub(crate) fn configure_socket(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)
}

fn connect_failed(address: SocketAddr, error: &impl std::fmt::Display) -> SendError {
    tracing::debug!(event = "HH1231", %address, %error, "endpoint unreachable");
    SendError::NotSent
}
