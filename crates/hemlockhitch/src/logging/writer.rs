//! Writes log lines without ever holding up who logs.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

use tracing::{Level, Metadata};
use tracing_subscriber::fmt::MakeWriter;

/// Lines that may wait for the reader of the log; the oldest are then some seconds
/// old at the bound on lines.
const WAITING_MOST: usize = 2_048;

/// Lines a second that are written; an endpoint's outage makes a few for each request.
const LINES_PER_S: u64 = 400;

/// Lines a second beyond which those below a warning are left out.
const PLAIN_LINES_PER_S: u64 = 300;

/// The longest line, in bytes; with the bound on lines it bounds the bytes a second.
const LINE_BYTES_MOST: usize = 2_048;

/// How long the end of the process waits for the lines that are left.
const FLUSH_LIMIT: Duration = Duration::from_millis(300);

/// How often the lines that were left out are counted in the log.
const COUNT_INTERVAL: Duration = Duration::from_secs(1);

enum Message {
    Line(Vec<u8>),
    Flush(SyncSender<()>),
}

#[derive(Debug, Default)]
struct Counters {
    /// The second, since the start, in which lines are counted, and their number.
    second: AtomicU64,
    lines: AtomicU64,
    left_out: AtomicU64,
}

/// Hands lines to a thread that writes them; lines beyond the bounds are left out and
/// counted.
#[derive(Clone, Debug)]
pub(crate) struct BoundedWriter {
    sender: SyncSender<Message>,
    counters: Arc<Counters>,
    started: Instant,
}

/// Writes what is left when it is dropped.
#[derive(Debug)]
pub struct LogGuard {
    sender: Option<SyncSender<Message>>,
}

impl BoundedWriter {
    /// Starts the thread that writes to `output`.
    pub(crate) fn start(output: impl Write + Send + 'static) -> (Self, LogGuard) {
        let (sender, receiver) = sync_channel(WAITING_MOST);
        let counters = Arc::new(Counters::default());
        let counted = Arc::clone(&counters);
        thread::spawn(move || write_lines(&receiver, output, &counted));
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

    /// Returns whether one more line of a level is within the bounds.
    fn allows(&self, level: Level, now: Instant) -> bool {
        let second = now.duration_since(self.started).as_secs();
        let counters = &self.counters;
        if counters.second.swap(second, Ordering::Relaxed) != second {
            counters.lines.store(0, Ordering::Relaxed);
        }
        let most = if level <= Level::WARN {
            LINES_PER_S
        } else {
            PLAIN_LINES_PER_S
        };
        counters.lines.fetch_add(1, Ordering::Relaxed) < most
    }

    fn leave_out(&self) {
        self.counters.left_out.fetch_add(1, Ordering::Relaxed);
        metrics::counter!("log_lines_left_out").increment(1);
    }
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        let Some(sender) = self.sender.take() else {
            return;
        };
        let (done, flushed) = sync_channel(1);
        // A full queue or a writer that is gone has nothing to wait for.
        if sender.try_send(Message::Flush(done)).is_ok() {
            let _ = flushed.recv_timeout(FLUSH_LIMIT);
        }
    }
}

/// Collects one line.
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
        if line.len() > LINE_BYTES_MOST {
            self.writer.leave_out();
            return;
        }
        if let Err(TrySendError::Full(_)) = self.writer.sender.try_send(Message::Line(line)) {
            self.writer.leave_out();
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
        let line = if self.allows(*metadata.level(), Instant::now()) {
            Some(Vec::new())
        } else {
            self.leave_out();
            None
        };
        LineWriter { writer: self, line }
    }
}

/// Writes lines until every sender is gone.
fn write_lines(receiver: &Receiver<Message>, mut output: impl Write, counters: &Counters) {
    let mut counted = Instant::now();
    loop {
        let written = match receiver.recv_timeout(COUNT_INTERVAL) {
            Err(RecvTimeoutError::Disconnected) => return,
            Err(RecvTimeoutError::Timeout) => Ok(()),
            Ok(Message::Line(line)) => output.write_all(&line),
            Ok(Message::Flush(done)) => {
                let flushed = output.flush();
                // Nobody waits any more if the limit is over.
                let _ = done.try_send(());
                flushed
            }
        };
        // Without a reader the log ends; the process goes on.
        if written.is_err() {
            return;
        }
        if counted.elapsed() >= COUNT_INTERVAL {
            counted = Instant::now();
            let left_out = counters.left_out.swap(0, Ordering::Relaxed);
            if left_out > 0 && writeln!(output, "{{\"log_lines_left_out\":{left_out}}}").is_err() {
                return;
            }
        }
    }
}
