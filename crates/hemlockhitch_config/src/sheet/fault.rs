//! Faults in sheets.

use std::fmt;

use thiserror::Error;

use crate::configuration::RowKey;
use crate::validation::RowFault;

/// A fault in a sheet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SheetFault {
    /// Line number in the file, where the header is line 1, if the fault concerns a line.
    pub row: Option<u64>,
    /// Column name; `row` for a fault of a whole row and `file` for one of the whole file.
    pub column: String,
    /// Description of the fault.
    pub message: String,
    /// Suggested correction.
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

    pub(super) fn duplicate_key(row: u64, key: &RowKey, first: u64) -> Self {
        let message = format!("{key} stands in row {first} already");
        Self::new(row, "kind", message, "keep one of the two rows")
    }

    pub(super) fn from_row_fault(row: Option<u64>, fault: RowFault) -> Self {
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

/// An invalid sheet, with every fault that was found.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub struct SheetError {
    /// Name of the file, as passed by the caller.
    pub file_name: String,
    /// Faults in order of row; those without a row come first.
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
