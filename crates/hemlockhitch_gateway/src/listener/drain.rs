//! Lets the connections of a stopping node finish.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tokio_util::task::task_tracker::TaskTrackerToken;

/// How long a connection without a request is still read once the node stops. A request
/// may be on its way on a connection that was taken just before.
const LINGER: Duration = Duration::from_millis(250);

/// The connections of a node that stops once their requests are finished; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Drain {
    closing: Arc<AtomicBool>,
    stop: CancellationToken,
    connections: TaskTracker,
}

impl Drain {
    /// Closes connections with their next response. New connections are still accepted,
    /// since a load balancer keeps sending some for a while.
    pub fn close_connections(&self) {
        self.closing.store(true, Ordering::Relaxed);
    }

    /// Stops accepting connections and waits until each has delivered its responses or
    /// `limit` has passed. Returns the number of connections that are still open.
    pub async fn stop(&self, limit: Duration) -> usize {
        self.close_connections();
        self.stop.cancel();
        self.connections.close();
        // What is left when the limit has passed is counted.
        let _ = timeout(limit, self.connections.wait()).await;
        self.connections.len()
    }

    /// Returns whether connections are closed with their next response.
    pub(crate) fn is_closing(&self) -> bool {
        self.closing.load(Ordering::Relaxed)
    }

    /// Returns a token; until it is dropped, [`stop`](Self::stop) waits for it.
    pub(crate) fn track(&self) -> TaskTrackerToken {
        self.connections.token()
    }

    /// Returns once connections that wait for a request are to be closed.
    pub(crate) async fn wait_for_shutdown(&self) {
        self.stop.cancelled().await;
        sleep(LINGER).await;
    }

    /// Accepts connections until the node stops; the last ones are those that the system
    /// has accepted by then, since closing the listener would reset them.
    pub(crate) async fn accept(
        &self,
        listener: TcpListener,
        retry_delay: Duration,
        on_error: impl Fn(&std::io::Error),
        serve: impl Fn(TcpStream),
    ) {
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = self.stop.cancelled() => break,
            };
            match accepted {
                Ok((stream, _)) => serve(stream),
                Err(error) => {
                    on_error(&error);
                    sleep(retry_delay).await;
                }
            }
        }
        // The listener does not block, so this ends when the queue is empty.
        let Ok(listener) = listener.into_std() else {
            return;
        };
        while let Ok((stream, _)) = listener.accept() {
            let stream = stream.set_nonblocking(true).map(|()| stream);
            match stream.and_then(TcpStream::from_std) {
                Ok(stream) => serve(stream),
                Err(error) => on_error(&error),
            }
        }
    }
}
