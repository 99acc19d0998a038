//! Non-blocking log writer: a logging thread never waits for the output.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

use tracing::{Level, Metadata};
use tracing_subscriber::fmt::MakeWriter;

/// Capacity of the queue to the writer thread; at the maximum line rate the oldest line in
/// a full queue is a few seconds old.
const MAX_QUEUED_LINES: usize = 2_048;

/// Maximum rate of lines, in lines per second; the outage of an endpoint produces a few
/// lines for each request.
const MAX_LINES_PER_S: u64 = 400;

/// Rate in lines per second beyond which lines less severe than a warning are dropped.
const MAX_LOW_SEVERITY_LINES_PER_S: u64 = 300;

/// Maximum length of a line, in bytes; together with the line rate it bounds the bytes
/// per second.
const MAX_LINE_BYTES: usize = 2_048;

/// How long dropping the [`LogGuard`] waits for queued lines at process exit.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Minimum interval between two reports of dropped lines in the log.
const DROP_REPORT_INTERVAL: Duration = Duration::from_secs(1);

enum WriterCommand {
    Line(Vec<u8>),
    Flush(SyncSender<()>),
}

#[derive(Debug, Default)]
struct Counters {
    /// Rate-limit window: seconds since the writer started.
    window_s: AtomicU64,
    /// Lines offered in the current window.
    lines: AtomicU64,
    /// Lines dropped since the last report in the log.
    dropped: AtomicU64,
}

/// Queues lines for a writer thread; lines beyond the limits are dropped and counted.
#[derive(Clone, Debug)]
pub(crate) struct BoundedWriter {
    sender: SyncSender<WriterCommand>,
    counters: Arc<Counters>,
    started: Instant,
}

/// Flushes the queued log lines when dropped.
#[derive(Debug)]
pub struct LogGuard {
    sender: Option<SyncSender<WriterCommand>>,
}

impl BoundedWriter {
    /// Starts the thread that writes to `output`.
    pub(crate) fn start(output: impl Write + Send + 'static) -> (Self, LogGuard) {
        let (sender, receiver) = sync_channel(MAX_QUEUED_LINES);
        let counters = Arc::new(Counters::default());
        let thread_counters = Arc::clone(&counters);
        thread::spawn(move || write_lines(&receiver, output, &thread_counters));
        let writer = Self {
            sender: sender.clone(),
            counters,
            started: Instant::now(),
        };
        let guard = LogGuard {
            sender: Some(sender),
        };
        (writer, guard)
    }

    /// Counts one line and returns whether the rate limit of its level admits it.
    fn admits(&self, level: Level, now: Instant) -> bool {
        let window_s = now.duration_since(self.started).as_secs();
        let counters = &self.counters;
        if counters.window_s.swap(window_s, Ordering::Relaxed) != window_s {
            counters.lines.store(0, Ordering::Relaxed);
        }
        let max_lines = if level <= Level::WARN {
            MAX_LINES_PER_S
        } else {
            MAX_LOW_SEVERITY_LINES_PER_S
        };
        counters.lines.fetch_add(1, Ordering::Relaxed) < max_lines
    }

    fn count_dropped(&self) {
        self.counters.dropped.fetch_add(1, Ordering::Relaxed);
        metrics::counter!("log_lines_left_out").increment(1);
    }
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        let Some(sender) = self.sender.take() else {
            return;
        };
        let (done, flushed) = sync_channel(1);
        // Do not wait if the queue is full or the writer thread has ended.
        if sender.try_send(WriterCommand::Flush(done)).is_ok() {
            let _ = flushed.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

/// Buffers one log line and queues it when dropped.
#[derive(Debug)]
pub(crate) struct LineWriter<'a> {
    writer: &'a BoundedWriter,
    line: Option<Vec<u8>>,
}

impl Write for LineWriter<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if let Some(line) = &mut self.line {
            line.extend_from_slice(bytes);
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Drop for LineWriter<'_> {
    fn drop(&mut self) {
        let Some(line) = self.line.take().filter(|line| !line.is_empty()) else {
            return;
        };
        if line.len() > MAX_LINE_BYTES {
            self.writer.count_dropped();
            return;
        }
        if let Err(TrySendError::Full(_)) = self.writer.sender.try_send(WriterCommand::Line(line)) {
            self.writer.count_dropped();
        }
    }
}

impl<'a> MakeWriter<'a> for BoundedWriter {
    type Writer = LineWriter<'a>;

    fn make_writer(&'a self) -> LineWriter<'a> {
        LineWriter {
            writer: self,
            line: Some(Vec::new()),
        }
    }

    fn make_writer_for(&'a self, metadata: &Metadata<'_>) -> LineWriter<'a> {
        let line = if self.admits(*metadata.level(), Instant::now()) {
            Some(Vec::new())
        } else {
            self.count_dropped();
            None
        };
        LineWriter { writer: self, line }
    }
}

/// Writer thread: writes queued lines until all senders are dropped or the output fails.
fn write_lines(receiver: &Receiver<WriterCommand>, mut output: impl Write, counters: &Counters) {
    let mut last_report = Instant::now();
    loop {
        let written = match receiver.recv_timeout(DROP_REPORT_INTERVAL) {
            Err(RecvTimeoutError::Disconnected) => return,
            Err(RecvTimeoutError::Timeout) => Ok(()),
            Ok(WriterCommand::Line(line)) => output.write_all(&line),
            Ok(WriterCommand::Flush(done)) => {
                let flushed = output.flush();
                // The receiver is gone if the flush timed out.
                let _ = done.try_send(());
                flushed
            }
        };
        // If the output is closed, logging ends but the process continues.
        if written.is_err() {
            return;
        }
        if last_report.elapsed() >= DROP_REPORT_INTERVAL {
            last_report = Instant::now();
            let dropped = counters.dropped.swap(0, Ordering::Relaxed);
            if dropped > 0 && writeln!(output, "{{\"log_lines_left_out\":{dropped}}}").is_err() {
                return;
            }
        }
    }
}
