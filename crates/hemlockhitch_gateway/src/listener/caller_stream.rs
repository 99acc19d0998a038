//! A caller's connection, which ends if the caller does not read what is written to it.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use hemlockhitch_model::Clock;
use hemlockhitch_routing::limits::Progress;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep};

use crate::dialect::Dialect;
use crate::state::NodeContext;
use crate::telemetry;

/// Bytes that the system takes for a caller before they can be sent. By default it takes
/// megabytes, which are memory of the VM too and hide whether the caller reads.
const MAX_UNSENT_BYTES: u32 = 64 * 1_024;

/// A caller's connection.
#[derive(Debug)]
pub(super) struct CallerStream<D, C> {
    stream: TcpStream,
    node_context: NodeContext<D, C>,
    progress: Progress,
    timer: Option<Pin<Box<Sleep>>>,
}

impl<D: Dialect, C: Clock> CallerStream<D, C> {
    /// Configures a connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection has ended.
    pub(super) fn new(stream: TcpStream, node_context: NodeContext<D, C>) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        SockRef::from(&stream).set_tcp_notsent_lowat(MAX_UNSENT_BYTES)?;
        Ok(Self {
            stream,
            node_context,
            progress: Progress::default(),
            timer: None,
        })
    }

    /// Handles the result of a write: records progress, or waits for it.
    fn after_write(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        match written {
            Poll::Ready(Ok(bytes)) => {
                if self.progress.is_waiting() {
                    let now = self.node_context.now();
                    self.progress.advance(bytes as u64, now);
                }
                written
            }
            Poll::Ready(Err(_)) => written,
            Poll::Pending => self.poll_stalled(context),
        }
    }

    fn poll_stalled(&mut self, context: &mut Context<'_>) -> Poll<io::Result<usize>> {
        loop {
            let now = self.node_context.now();
            self.progress.wait(now);
            let remaining_ms = self.progress.remaining_ms(now);
            if remaining_ms == 0 {
                let address = self.stream.peer_addr().ok();
                tracing::info!(event = "HH1266", ?address, "caller stopped reading");
                telemetry::count_stalled("caller");
                return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
            }
            let remaining = Duration::from_millis(remaining_ms);
            let timer = self.timer.get_or_insert_with(|| Box::pin(sleep(remaining)));
            if !timer.is_elapsed() && timer.as_mut().poll(context).is_pending() {
                return Poll::Pending;
            }
            timer.as_mut().reset(Instant::now() + remaining);
        }
    }
}

impl<D: Dialect, C: Clock> AsyncRead for CallerStream<D, C> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl<D: Dialect, C: Clock> AsyncWrite for CallerStream<D, C> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.after_write(context, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.after_write(context, written)
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
