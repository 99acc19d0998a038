//! Readiness check for the load balancer.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use bytes::Bytes;
use hemlockhitch_model::Clock;
use http::{Response, StatusCode};
use http_body_util::Empty;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use crate::dialect::Dialect;
use crate::state::NodeContext;

/// Whether the node accepts connections; clones share it.
#[derive(Debug)]
pub struct Readiness<D, C> {
    node_context: NodeContext<D, C>,
    stopping: Arc<AtomicBool>,
}

impl<D, C> Clone for Readiness<D, C> {
    fn clone(&self) -> Self {
        Self {
            node_context: self.node_context.clone(),
            stopping: Arc::clone(&self.stopping),
        }
    }
}

impl<D: Dialect, C: Clock> Readiness<D, C> {
    /// Creates the readiness of a node that is not stopping.
    #[must_use]
    pub fn new(node_context: NodeContext<D, C>) -> Self {
        Self {
            node_context,
            stopping: Arc::default(),
        }
    }

    /// Marks the node as stopping.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Returns whether the node can serve requests with API keys.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let now = self.node_context.now();
        let state = self.node_context.state();
        let fresh = state
            .freshness
            .is_fresh(self.node_context.settings().max_configuration_age_ms, now);
        !self.stopping.load(Ordering::Relaxed) && fresh && state.catalogue.is_some()
    }
}

/// Responds on `address` with 200 while the node is ready, and with 503 otherwise.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn serve_readiness<D: Dialect, C: Clock>(
    address: SocketAddr,
    readiness: Readiness<D, C>,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            let readiness = readiness.clone();
            let service = service_fn(move |_request| {
                let ready = readiness.is_ready();
                async move { Ok::<_, Infallible>(readiness_response(ready)) }
            });
            tokio::spawn(async move {
                let serving = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                if let Err(error) = serving.await {
                    tracing::debug!(event = "HH1243", %error, "load balancer's connection failed");
                }
            });
        }
    });
    Ok(address)
}

fn readiness_response(ready: bool) -> Response<Empty<Bytes>> {
    let mut response = Response::new(Empty::new());
    if !ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}
