//! Opens a connection to an endpoint.

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

/// How long a connection may take: many times the way between data centres.
const CONNECT_LIMIT: Duration = Duration::from_millis(300);

/// How long sent bytes may stay without acknowledgement before the connection
/// counts as dead: several retransmissions.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(1_200);

/// After what silence the other end is probed, and how often.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered probes after which a connection counts as dead.
const PROBES: u32 = 2;

pub(super) async fn open(
    endpoint: EndpointKey,
    address: SocketAddr,
) -> Result<Connection, SendError> {
    let connecting = timeout(CONNECT_LIMIT, TcpStream::connect(address)).await;
    let stream = match connecting {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(not_sent(address, &error)),
        Err(elapsed) => return Err(not_sent(address, &elapsed)),
    };
    if let Err(error) = watch_over(&stream) {
        return Err(not_sent(address, &error));
    }
    let (sender, connection) = match http1::handshake(TokioIo::new(stream)).await {
        Ok(parts) => parts,
        Err(error) => return Err(not_sent(address, &error)),
    };
    let task = tokio::spawn(async move {
        if let Err(error) = connection.await {
            tracing::debug!(event = "HH1230", %address, %error, "connection to an endpoint broke");
        }
    });
    telemetry::connection_opened();
    Ok(Connection {
        endpoint,
        sender,
        _task: TaskGuard(task.abort_handle()),
    })
}

/// Makes a connection whose other end vanished without a word fail soon.
pub(crate) fn watch_over(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)
}

fn not_sent(address: SocketAddr, error: &impl std::fmt::Display) -> SendError {
    tracing::debug!(event = "HH1231", %address, %error, "endpoint cannot be reached");
    SendError::NotSent
}
