//! The log of a process.

use hemlockhitch_config::settings::{LogFormat, LogSettings};
use tracing_subscriber::EnvFilter;

/// Starts the log of the process on standard error; a second call has no effect.
pub fn start_log(settings: &LogSettings) {
    let filter = EnvFilter::new(&settings.level);
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr);
    // The first log stays when a log was started before.
    let _ = match settings.format {
        LogFormat::Text => builder.try_init(),
        LogFormat::Json => builder.json().try_init(),
    };
}
