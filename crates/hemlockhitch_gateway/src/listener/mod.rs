//! Accepts connections from callers.

mod caller_stream;
mod readiness;

pub use readiness::{Readiness, serve_readiness};

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use hemlockhitch_model::Clock;
use http::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

use crate::attempt::Gateway;
use crate::dialect::Dialect;
use caller_stream::CallerStream;

/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// How often a stopping listener checks whether its requests are finished.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Smallest buffer for request heads that the HTTP server accepts, in bytes.
const MIN_HEAD_BUFFER_BYTES: usize = 8_192;

/// The listener for callers.
#[derive(Debug)]
pub struct Listener<D, C> {
    address: SocketAddr,
    gateway: Gateway<D, C>,
    closing: Arc<AtomicBool>,
    stop: watch::Sender<bool>,
    accept_task: JoinHandle<()>,
}

impl<D: Dialect, C: Clock> Listener<D, C> {
    /// Listens on `address` and handles requests with `gateway`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn start(address: SocketAddr, gateway: Gateway<D, C>) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let closing = Arc::new(AtomicBool::new(false));
        let acceptor = Acceptor {
            gateway: gateway.clone(),
            closing: Arc::clone(&closing),
            stopped,
        };
        Ok(Self {
            address,
            gateway,
            closing,
            stop,
            accept_task: tokio::spawn(acceptor.run(listener)),
        })
    }

    /// Returns the address that the listener is bound to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes callers' connections with their next response. New connections are still
    /// accepted, since a load balancer keeps sending some for a while.
    pub fn close_connections(&self) {
        self.closing.store(true, Ordering::Relaxed);
    }

    /// Stops accepting connections and waits until every request has its response or
    /// `limit` has passed. Returns the number of requests still in flight.
    pub async fn stop(&self, limit: Duration) -> usize {
        let deadline = Instant::now() + limit;
        self.accept_task.abort();
        self.stop.send_replace(true);
        loop {
            let in_flight = self.gateway.node_context().state().in_flight;
            if in_flight == 0 || Instant::now() >= deadline {
                return in_flight;
            }
            sleep(DRAIN_POLL_INTERVAL).await;
        }
    }
}

struct Acceptor<D, C> {
    gateway: Gateway<D, C>,
    closing: Arc<AtomicBool>,
    stopped: watch::Receiver<bool>,
}

impl<D: Dialect, C: Clock> Acceptor<D, C> {
    async fn run(self, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let serving = self.serve(stream);
                    tokio::spawn(serving);
                }
                Err(error) => {
                    tracing::warn!(event = "HH1240", %error, "failed to accept a caller's connection");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Serves one connection until it ends.
    fn serve(&self, stream: TcpStream) -> impl Future<Output = ()> + Send + 'static {
        let gateway = self.gateway.clone();
        let closing = Arc::clone(&self.closing);
        let mut stopped = self.stopped.clone();
        async move {
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
            let service = service_fn(move |request| {
                let gateway = gateway.clone();
                let closing = Arc::clone(&closing);
                async move {
                    let mut response = gateway.handle(request).await;
                    if closing.load(Ordering::Relaxed)
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
            let result = tokio::select! {
                result = connection.as_mut() => result,
                () = wait_for_stop(&mut stopped) => {
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

/// Returns once the listener stops.
async fn wait_for_stop(stopped: &mut watch::Receiver<bool>) {
    // A dropped sender means that the listener is gone, which is a stop too.
    let _ = stopped.wait_for(|stopped| *stopped).await;
}
