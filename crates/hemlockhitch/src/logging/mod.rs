//! The log of a process.

mod writer;

pub use writer::LogGuard;

use std::io::IsTerminal;

use hemlockhitch_config::settings::{LogFormat, LogSettings};
use tracing_subscriber::EnvFilter;
use writer::BoundedWriter;

/// Levels of libraries, which log each connection and request.
const LIBRARIES: &str = "h2=warn,hyper=warn,hyper_util=warn,salvo_core=warn,tonic=warn,tower=warn";

/// Starts the log of the process on standard output, with colours only on a
/// terminal; a second call has no effect. What waits is written when the guard is
/// dropped.
#[must_use]
pub fn start_log(settings: &LogSettings) -> LogGuard {
    let filter = EnvFilter::new(format!("{},{LIBRARIES}", settings.level));
    let (writer, guard) = BoundedWriter::start(std::io::stdout());
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_ansi(std::io::stdout().is_terminal())
        .with_writer(writer);
    // The first log stays when a log was started before.
    let _ = match settings.format {
        LogFormat::Text => builder.try_init(),
        LogFormat::Json => builder.json().try_init(),
    };
    guard
}
