//! Logging of the process.

mod writer;

pub use writer::LogGuard;

use std::io::IsTerminal;

use hemlockhitch_config::settings::{LogFormat, LogSettings};
use tracing_subscriber::EnvFilter;
use writer::BoundedWriter;

/// Filter directives for libraries that log each connection and request below `warn`.
const LIBRARY_LEVELS: &str =
    "h2=warn,hyper=warn,hyper_util=warn,salvo_core=warn,tonic=warn,tower=warn";

/// Installs the global log subscriber, which writes to standard output and uses colours
/// only on a terminal; a second call has no effect. Dropping the guard flushes the
/// queued lines.
#[must_use]
pub fn init_logging(settings: &LogSettings) -> LogGuard {
    let filter = EnvFilter::new(format!("{},{LIBRARY_LEVELS}", settings.level));
    let (writer, guard) = BoundedWriter::start(std::io::stdout());
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_ansi(std::io::stdout().is_terminal())
        .with_writer(writer);
    // A subscriber that was installed earlier stays in place.
    let _ = match settings.format {
        LogFormat::Text => builder.try_init(),
        LogFormat::Json => builder.json().try_init(),
    };
    guard
}
