//! HTTP server with graceful shutdown.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use salvo::conn::tcp::TcpAcceptor;
use salvo::server::ServerHandle;
use salvo::{Router, Server};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// A running HTTP server; [`ApiServer::stop`] shuts it down gracefully.
pub struct ApiServer {
    address: SocketAddr,
    handle: ServerHandle,
    task: JoinHandle<()>,
}

impl ApiServer {
    /// Starts a server for `routes` on `address`; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(address: SocketAddr, routes: Router) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let server = Server::new(TcpAcceptor::try_from(listener)?);
        let handle = server.handle();
        let task = tokio::spawn(server.serve(routes));
        Ok(Self {
            address,
            handle,
            task,
        })
    }

    /// Returns the bound address, with the actual port if port 0 was requested.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections and returns once the requests in flight have finished
    /// or `timeout` has expired.
    pub async fn stop(self, timeout: Duration) {
        self.handle.stop_graceful(timeout);
        let _ = self.task.await;
    }
}
