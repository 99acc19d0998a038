//! Faults in settings files.

use std::fmt;
use std::io;

use thiserror::Error;

/// Kind of a fault in a settings file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// The file cannot be read.
    Unreadable,
    /// A line is not valid INI syntax.
    Syntax,
    /// The section name is not known.
    UnknownSection,
    /// The key is not known in its section.
    UnknownKey,
    /// A key or an operator token occurs more than once.
    DuplicateKey,
    /// A key without a default is missing.
    MissingKey,
    /// A value contains a unit, or the unit suffix of a key is wrong.
    WrongUnit,
    /// A value does not have the type of its key.
    BadValue,
    /// A value is out of bounds or conflicts with another setting.
    OutOfBounds,
}

/// A fault in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Line number, starting at 1, if the fault concerns a line.
    pub line: Option<usize>,
    /// Key as `section.key`, or a section; `line` for syntax faults and `file` for a file
    /// that cannot be read.
    pub key: String,
    /// Description of the fault.
    pub message: String,
    /// Suggested correction.
    pub remedy: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}; {}", self.key, self.message, self.remedy)
    }
}

/// Invalid settings, with every fault that was found.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub struct SettingsError {
    /// Name of the file, as passed by the caller; `settings` for settings created in
    /// code.
    pub file_name: String,
    /// Faults in order of line; those without a line come last.
    pub faults: Vec<Fault>,
}

impl SettingsError {
    pub(super) fn new(file_name: &str, mut faults: Vec<Fault>) -> Self {
        faults.sort_by_key(|fault| fault.line.unwrap_or(usize::MAX));
        Self {
            file_name: file_name.to_owned(),
            faults,
        }
    }

    pub(super) fn unreadable(file_name: &str, error: &io::Error) -> Self {
        let fault = Fault {
            kind: FaultKind::Unreadable,
            line: None,
            key: "file".to_owned(),
            message: format!("cannot be read: {error}"),
            remedy: "check the path, the permissions and that it is UTF-8 text".to_owned(),
        };
        Self::new(file_name, vec![fault])
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.faults.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            match fault.line {
                Some(line) => write!(f, "{}:{line}: {fault}", self.file_name)?,
                None => write!(f, "{}: {fault}", self.file_name)?,
            }
        }
        Ok(())
    }
}
