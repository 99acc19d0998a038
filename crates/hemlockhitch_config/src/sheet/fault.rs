//! Faults of a sheet.

use std::fmt;

use thiserror::Error;

use crate::configuration::RowKey;
use crate::validation::RowFault;

/// One fault of a sheet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SheetFault {
    /// The line of the file, counted from 1 with the header, if the fault has one.
    pub row: Option<u64>,
    /// The column.
    pub column: String,
    /// What is wrong.
    pub message: String,
    /// What to do about it.
    pub remedy: String,
}

impl SheetFault {
    pub(super) fn new(
        row: impl Into<Option<u64>>,
        column: &str,
        message: impl Into<String>,
        remedy: impl Into<String>,
    ) -> Self {
        Self {
            row: row.into(),
            column: column.to_owned(),
            message: message.into(),
            remedy: remedy.into(),
        }
    }

    pub(super) fn repeated(row: u64, key: &RowKey, first: u64) -> Self {
        let message = format!("{key} stands in row {first} already");
        Self::new(row, "kind", message, "keep one of the two rows")
    }

    pub(super) fn from_check(row: Option<u64>, fault: RowFault) -> Self {
        Self {
            row,
            column: fault.column,
            message: fault.message,
            remedy: fault.remedy,
        }
    }
}

impl fmt::Display for SheetFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(row) = self.row {
            write!(f, "row {row}, ")?;
        }
        write!(f, "{}: {}; {}", self.column, self.message, self.remedy)
    }
}

/// A sheet that cannot be used, with all of its faults.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub struct SheetError {
    /// The file, as the caller named it.
    pub file_name: String,
    /// The faults in order of row.
    pub faults: Vec<SheetFault>,
}

impl SheetError {
    pub(super) fn new(file_name: &str, mut faults: Vec<SheetFault>) -> Self {
        faults.sort_by_key(|fault| fault.row);
        Self {
            file_name: file_name.to_owned(),
            faults,
        }
    }
}

impl fmt::Display for SheetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.faults.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{}: {fault}", self.file_name)?;
        }
        Ok(())
    }
}
