//! A running HTTP server.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use salvo::conn::tcp::TcpAcceptor;
use salvo::server::ServerHandle;
use salvo::{Router, Server};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// A running HTTP server; [`ApiServer::stop`] ends it without cutting requests.
pub struct ApiServer {
    address: SocketAddr,
    handle: ServerHandle,
    task: JoinHandle<()>,
}

impl ApiServer {
    /// Serves `routes` on `address`; port 0 takes a free port.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
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

    /// Returns the address that the server listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes no more connections, and returns once the requests in flight have
    /// ended or `limit` is over.
    pub async fn stop(self, limit: Duration) {
        self.handle.stop_graceful(limit);
        let _ = self.task.await;
    }
}
