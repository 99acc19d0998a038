//! Connections to other nodes whose received bytes are counted.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use http::Uri;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Number of bytes received over a channel; clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReceivedBytes(Arc<AtomicU64>);

impl ReceivedBytes {
    /// Returns the number of bytes received so far.
    pub(crate) fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    fn add(&self, bytes: usize) {
        self.0.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

/// A connection that adds what it receives to a counter.
#[derive(Debug)]
pub(super) struct CountedStream {
    stream: TcpStream,
    received: ReceivedBytes,
}

/// Connects to the node at a URI.
///
/// # Errors
///
/// Returns an error if the URI has no host and port, or the connection fails.
pub(super) async fn connect(
    uri: Uri,
    received: ReceivedBytes,
) -> io::Result<TokioIo<CountedStream>> {
    let (Some(host), Some(port)) = (uri.host(), uri.port_u16()) else {
        let detail = format!("{uri} has no host and port; look at the node's record in the store");
        return Err(io::Error::new(io::ErrorKind::InvalidInput, detail));
    };
    let stream = TcpStream::connect((host, port)).await?;
    stream.set_nodelay(true)?;
    Ok(TokioIo::new(CountedStream { stream, received }))
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.received.add(buffer.filled().len() - filled);
        polled
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
