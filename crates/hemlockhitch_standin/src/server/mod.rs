//! HTTP server shared by the stand-ins.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::sleep;

/// Body of a stand-in's response; an error in it aborts the connection.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Result of handling a request; an error aborts the connection.
pub type HandlerResult = Result<Response<Body>, io::Error>;

/// Running server; dropping it closes every connection.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Server {
    /// Listens on `address`; port 0 takes a free port.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn start<H, F>(address: SocketAddr, handler: H) -> io::Result<Self>
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = HandlerResult> + Send + 'static,
    {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(accept(listener, handler));
        Ok(Self { address, task })
    }

    /// Returns the address that the server listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Reserves a port that refuses connections until the value is dropped.
///
/// The port is bound but not listened on, so that no other process or test can bind
/// it in the meantime.
#[derive(Debug)]
pub struct ClosedPort {
    socket: TcpSocket,
}

impl ClosedPort {
    /// Reserves a free port of the loopback interface.
    ///
    /// # Errors
    ///
    /// Fails when no port is free.
    pub fn reserve() -> io::Result<Self> {
        let socket = TcpSocket::new_v4()?;
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        Ok(Self { socket })
    }

    /// Returns the reserved address.
    ///
    /// # Errors
    ///
    /// Fails when the operating system does not return the local address.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }
}

async fn accept<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = HandlerResult> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(serve(stream, handler.clone()));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve<H, F>(stream: TcpStream, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = HandlerResult> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let service = service_fn(handler);
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    let _ = connection.await;
}

/// Sleeps for `delay_ms`. A delay of 0 returns at once, because the timer would round
/// it up to its next tick.
pub async fn delay(delay_ms: u64) {
    if delay_ms > 0 {
        sleep(Duration::from_millis(delay_ms)).await;
    }
}

/// Reads the whole body of a request.
///
/// # Errors
///
/// Fails when the connection is closed before the end of the body.
pub async fn read_body(request: Request<Incoming>) -> io::Result<Bytes> {
    let body = request.into_body().collect().await;
    body.map(http_body_util::Collected::to_bytes)
        .map_err(io::Error::other)
}

/// Builds a response with a JSON body.
///
/// # Errors
///
/// Fails when the message cannot be serialised as JSON.
pub fn json_response(status: StatusCode, message: &impl Serialize) -> HandlerResult {
    let body = serde_json::to_vec(message).map_err(io::Error::other)?;
    response(status, "application/json", body)
}

/// Builds a response with a body of known length.
///
/// # Errors
///
/// Fails when the content type is not a valid header.
pub fn response(status: StatusCode, content_type: &str, body: impl Into<Bytes>) -> HandlerResult {
    Response::builder()
        .status(status)
        .header(header::CONTENT_TYPE, content_type)
        .body(full(body))
        .map_err(io::Error::other)
}

/// Wraps the complete bytes of a body.
pub fn full(body: impl Into<Bytes>) -> Body {
    Full::new(body.into())
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}
