//! Takes callers' connections.

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

/// Pause after a connection could not be taken, as when descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// How often a stopping front looks whether its requests are finished.
const IDLE_CHECK: Duration = Duration::from_millis(50);

/// The smallest buffer for heads that the server takes, in bytes.
const HEAD_BYTES_LEAST: usize = 8_192;

/// The listener for callers.
#[derive(Debug)]
pub struct Front<D, C> {
    address: SocketAddr,
    gateway: Gateway<D, C>,
    closing: Arc<AtomicBool>,
    stop: watch::Sender<bool>,
    accepting: JoinHandle<()>,
}

impl<D: Dialect, C: Clock> Front<D, C> {
    /// Listens on `address` and answers through `gateway`.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be listened on.
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
            accepting: tokio::spawn(acceptor.run(listener)),
        })
    }

    /// Returns where the front listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Tells callers with each answer that the connection ends; connections are
    /// still taken, as a balancer sends some for a while.
    pub fn close_connections(&self) {
        self.closing.store(true, Ordering::Relaxed);
    }

    /// Takes no more connections, and returns once each request has its answer or
    /// `limit` is over; returns the requests that are then still in hand.
    pub async fn stop(&self, limit: Duration) -> usize {
        let until = Instant::now() + limit;
        self.accepting.abort();
        self.stop.send_replace(true);
        loop {
            let in_flight = self.gateway.shared().state().in_flight;
            if in_flight == 0 || Instant::now() >= until {
                return in_flight;
            }
            sleep(IDLE_CHECK).await;
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
                    tracing::warn!(event = "HH1240", %error, "connection not taken");
                    sleep(ACCEPT_PAUSE).await;
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
            if let Err(error) = stream.set_nodelay(true) {
                tracing::debug!(event = "HH1241", %error, "caller's connection not set up");
                return;
            }
            let catalogue = gateway.shared().state().catalogue.clone();
            let limits = catalogue
                .map(|catalogue| catalogue.caller_limits())
                .unwrap_or_default();
            let service = service_fn(move |request| {
                let gateway = gateway.clone();
                let closing = Arc::clone(&closing);
                async move {
                    let mut response = gateway.answer(request).await;
                    if closing.load(Ordering::Relaxed)
                        && let Ok(response) = &mut response
                    {
                        let close = HeaderValue::from_static("close");
                        response.headers_mut().insert(CONNECTION, close);
                    }
                    response
                }
            });
            // The server counts the wait for the next head as part of its time.
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(Duration::from_millis(limits.idle_ms.max(limits.head_ms)))
                .max_buf_size(limits.head_bytes.max(HEAD_BYTES_LEAST))
                .serve_connection(TokioIo::new(stream), service);
            tokio::pin!(connection);
            let ended = tokio::select! {
                ended = connection.as_mut() => ended,
                () = told_to_stop(&mut stopped) => {
                    connection.as_mut().graceful_shutdown();
                    connection.await
                }
            };
            if let Err(error) = ended {
                tracing::debug!(event = "HH1242", %error, "caller's connection broke");
            }
        }
    }
}

/// Returns once the front stops.
async fn told_to_stop(stopped: &mut watch::Receiver<bool>) {
    // Without a sender the front is gone, which is a stop too.
    let _ = stopped.wait_for(|stopped| *stopped).await;
}
