//! Settings of a node, read from an INI file.
//!
//! ```
//! use hemlockhitch_config::settings::Settings;
//!
//! let text = "
//! [node]
//! name = em-a-1
//! data_centre = em-a
//! region = east-mids
//! [listen]
//! callers = 127.0.0.1:8080
//! operators = 127.0.0.1:8081
//! peers = 127.0.0.1:8082
//! metrics = 127.0.0.1:8083
//! [platform]
//! key_value = 127.0.0.1:2379
//! ";
//! let settings = Settings::parse(text, "node.ini")?;
//! assert_eq!(settings.node.name.as_str(), "em-a-1");
//! assert_eq!(settings.control.lease_ms, 10_000);
//! # Ok::<(), hemlockhitch_config::settings::SettingsError>(())
//! ```

mod builder;
mod decimal;
mod fault;
mod gateway;
mod integer;
mod reader;
mod sections;
mod source;
mod types;

pub use builder::SettingsBuilder;
pub use fault::{Fault, FaultKind, SettingsError};
pub use gateway::{GatewayFile, GatewayLimits, GatewayListenSettings, NODE_MEMORY_MB};
pub use types::{
    AdvertiseSettings, ControlSettings, LimitSettings, ListenSettings, LogFormat, LogSettings,
    NodeSettings, OperatorToken, Permission, PlatformSettings, Settings,
};

use std::fs;
use std::path::Path;

use reader::Reader;
use source::Source;

impl Settings {
    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// Returns every fault in the file.
    pub fn read(path: impl AsRef<Path>) -> Result<Self, SettingsError> {
        read_file(path.as_ref(), Self::parse)
    }

    /// Parses the text of a settings file; `file_name` is used in fault messages.
    ///
    /// # Errors
    ///
    /// Returns every fault in the text.
    pub fn parse(text: &str, file_name: &str) -> Result<Self, SettingsError> {
        parse(text, file_name, sections::read_settings)
    }

    /// Creates a builder for tests and demonstrations. Every listen address, and the
    /// address of the key-value service, defaults to `127.0.0.1:0`.
    #[must_use]
    pub fn builder() -> SettingsBuilder {
        SettingsBuilder::new()
    }
}

/// Reads a file and parses its text with `parse`.
fn read_file<T>(
    path: &Path,
    parse: impl FnOnce(&str, &str) -> Result<T, SettingsError>,
) -> Result<T, SettingsError> {
    let file_name = path.display().to_string();
    let text =
        fs::read_to_string(path).map_err(|error| SettingsError::unreadable(&file_name, &error))?;
    parse(&text, &file_name)
}

/// Reads the sections of a text with `read` and collects every fault.
fn parse<T>(
    text: &str,
    file_name: &str,
    read: impl FnOnce(&mut Reader) -> Option<T>,
) -> Result<T, SettingsError> {
    let (source, faults) = Source::parse(text);
    let mut reader = Reader::new(source, faults);
    let settings = read(&mut reader);
    let faults = reader.finish();
    match settings {
        Some(settings) if faults.is_empty() => Ok(settings),
        _ => Err(SettingsError::new(file_name, faults)),
    }
}
