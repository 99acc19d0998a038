//! Accepts connections from peers.

use std::sync::Arc;
use std::time::Duration;

use hemlockhitch_ledger::call::LedgerService;
use hemlockhitch_model::Clock;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use hyper_util::service::TowerToHyperService;
use tokio::net::TcpListener;
use tokio::time::sleep;

use super::counted_stream::CountedStream;
use super::server::PeerService;
use crate::shared::Shared;
use crate::wire::peer_server::PeerServer;

/// Maximum size of a request, in bytes.
const MAX_REQUEST_BYTES: usize = 2 << 20;

/// Flow-control window of a connection and of a stream, in bytes.
const WINDOW_BYTES: u32 = 64 << 10;

/// Delay after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Serves each connection in its own task until the node stops.
pub(super) async fn serve<L: LedgerService, C: Clock>(
    shared: Arc<Shared>,
    listener: TcpListener,
    service: PeerService<L, C>,
) {
    let server = PeerServer::new(service).max_decoding_message_size(MAX_REQUEST_BYTES);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // Without TCP_NODELAY the connection works, but with a higher latency.
                let _ = stream.set_nodelay(true);
                let counted_stream = CountedStream::new(stream, shared.traffic.clone());
                shared.spawn(serve_connection(counted_stream, server.clone()));
            }
            Err(error) => {
                tracing::warn!(event = "HH0609", %error, "failed to accept connection");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection<L: LedgerService, C: Clock>(
    stream: CountedStream,
    server: PeerServer<PeerService<L, C>>,
) {
    let mut builder = auto::Builder::new(TokioExecutor::new()).http2_only();
    builder
        .http2()
        .initial_connection_window_size(WINDOW_BYTES)
        .initial_stream_window_size(WINDOW_BYTES);
    let served = builder
        .serve_connection(TokioIo::new(stream), TowerToHyperService::new(server))
        .await;
    if let Err(error) = served {
        tracing::debug!(event = "HH0610", %error, "peer connection closed with an error");
    }
}
