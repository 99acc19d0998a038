//! A TCP stream that counts its bytes.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::traffic::Traffic;

/// A TCP stream whose bytes in both directions are counted, including all framing.
#[derive(Debug)]
pub(super) struct CountedStream {
    stream: TcpStream,
    traffic: Traffic,
}

impl CountedStream {
    pub(super) fn new(stream: TcpStream, traffic: Traffic) -> Self {
        Self { stream, traffic }
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        self.traffic
            .record_accepted_bytes(buffer.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(context, bytes))?;
        self.traffic.record_accepted_bytes(written);
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
