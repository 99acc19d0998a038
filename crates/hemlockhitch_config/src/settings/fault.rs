//! Faults of a settings file.

use std::fmt;
use std::io;

use thiserror::Error;

/// The kinds of fault of a settings file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// The file cannot be read.
    Unreadable,
    /// A line is not INI.
    Syntax,
    /// A section has a name that is not known.
    UnknownSection,
    /// A key has a name that is not known.
    UnknownKey,
    /// A key stands twice.
    DuplicateKey,
    /// A key that has no default is missing.
    MissingKey,
    /// A value carries a unit, or a key carries another unit than its own.
    WrongUnit,
    /// A value is not of the key's type.
    BadValue,
    /// A value lies outside its bounds, or does not fit another one.
    OutOfBounds,
}

/// One fault of a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The kind of the fault.
    pub kind: FaultKind,
    /// The line, counted from 1, if the fault has one.
    pub line: Option<usize>,
    /// The key as `section.key`, or the section.
    pub key: String,
    /// What is wrong.
    pub message: String,
    /// What to do about it.
    pub remedy: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}; {}", self.key, self.message, self.remedy)
    }
}

/// A settings file that cannot be used, with all of its faults.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub struct SettingsError {
    /// The file, as the caller named it.
    pub file_name: String,
    /// The faults in order of line.
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
