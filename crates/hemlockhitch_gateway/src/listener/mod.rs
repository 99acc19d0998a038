//! Accepts connections from callers.

mod caller_stream;
mod drain;
mod readiness;

pub use drain::Drain;
pub use readiness::{Readiness, serve_readiness};

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use hemlockhitch_model::Clock;
use http::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

use crate::attempt::Gateway;
use crate::dialect::Dialect;
use caller_stream::CallerStream;

/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Smallest buffer for request heads that the HTTP server accepts, in bytes.
const MIN_HEAD_BUFFER_BYTES: usize = 8_192;

/// The listener for callers.
#[derive(Debug)]
pub struct Listener {
    address: SocketAddr,
}

impl Listener {
    /// Listens on `address` and handles requests with `gateway` until `drain` stops it.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn start<D: Dialect, C: Clock>(
        address: SocketAddr,
        gateway: Gateway<D, C>,
        drain: Drain,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let acceptor = Acceptor { gateway, drain };
        tokio::spawn(acceptor.run(listener));
        Ok(Self { address })
    }

    /// Returns the address that the listener is bound to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

struct Acceptor<D, C> {
    gateway: Gateway<D, C>,
    drain: Drain,
}

impl<D: Dialect, C: Clock> Acceptor<D, C> {
    async fn run(self, listener: TcpListener) {
        let serve = |stream| {
            tokio::spawn(self.serve(stream));
        };
        let on_error = |error: &io::Error| {
            tracing::warn!(event = "HH1240", %error, "failed to accept a caller's connection");
        };
        self.drain
            .accept(listener, ACCEPT_RETRY_DELAY, on_error, serve)
            .await;
    }

    /// Serves one connection until it ends.
    fn serve(&self, stream: TcpStream) -> impl Future<Output = ()> + Send + 'static {
        let gateway = self.gateway.clone();
        let drain = self.drain.clone();
        let tracked = drain.track();
        async move {
            let _tracked = tracked;
            let stream = match CallerStream::new(stream, gateway.node_context().clone()) {
                Ok(stream) => stream,
                Err(error) => {
                    tracing::debug!(event = "HH1241", %error, "failed to configure a caller's connection");
                    return;
                }
            };
            let catalogue = gateway.node_context().state().catalogue.clone();
            let limits = catalogue
                .map(|catalogue| catalogue.caller_limits())
                .unwrap_or_default();
            let serving = drain.clone();
            let service = service_fn(move |request| {
                let gateway = gateway.clone();
                let drain = serving.clone();
                async move {
                    let mut response = gateway.handle(request).await;
                    if drain.is_closing()
                        && let Ok(response) = &mut response
                    {
                        let close = HeaderValue::from_static("close");
                        response.headers_mut().insert(CONNECTION, close);
                    }
                    response
                }
            });
            // The HTTP server counts the wait for the next head towards this timeout.
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(Duration::from_millis(
                    limits.idle_timeout_ms.max(limits.header_timeout_ms),
                ))
                .max_buf_size(limits.max_header_bytes.max(MIN_HEAD_BUFFER_BYTES))
                .serve_connection(TokioIo::new(stream), service);
            tokio::pin!(connection);
            // What the connection has received is read before it is closed as idle.
            let result = tokio::select! {
                biased;
                result = connection.as_mut() => result,
                () = drain.wait_for_shutdown() => {
                    connection.as_mut().graceful_shutdown();
                    connection.await
                }
            };
            if let Err(error) = result {
                tracing::debug!(event = "HH1242", %error, "caller's connection failed");
            }
        }
    }
}
