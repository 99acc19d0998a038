//! Validation of configuration rows, individually and against each other.

mod cross_row;
mod index;
mod single_row;

use std::collections::BTreeSet;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::configuration::{Configuration, Row, RowKey};
use index::Index;

/// A validation rule that a row violates.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RowFault {
    /// Key of the row.
    pub key: RowKey,
    /// Invalid field, as its column name in sheets.
    pub column: String,
    /// Description of the violation.
    pub message: String,
    /// Suggested correction.
    pub remedy: String,
}

impl RowFault {
    fn new(row: &Row, column: &str, message: impl Into<String>, remedy: impl Into<String>) -> Self {
        Self {
            key: row.key(),
            column: column.to_owned(),
            message: message.into(),
            remedy: remedy.into(),
        }
    }
}

impl fmt::Display for RowFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            key,
            column,
            message,
            remedy,
        } = self;
        write!(f, "{key}, {column}: {message}; {remedy}")
    }
}

/// Validates the rows and returns every violation.
#[must_use]
pub fn find_faults<'a>(rows: impl IntoIterator<Item = &'a Row>) -> Vec<RowFault> {
    let rows: Vec<&Row> = rows.into_iter().collect();
    let index = Index::from_rows(&rows);
    let mut faults = Vec::new();
    for row in &rows {
        single_row::check(row, &mut faults);
        cross_row::check(row, &index, &mut faults);
    }
    cross_row::check_shares(&rows, &mut faults);
    faults
}

/// Adds a fault for each allowance that gives a share to a withdrawn version.
///
/// The rule applies to sheets only: when operators withdraw a version in an emergency,
/// its allowances keep their shares.
pub fn add_withdrawn_share_faults<'a>(
    rows: impl Iterator<Item = &'a Row> + Clone,
    faults: &mut Vec<RowFault>,
) {
    let withdrawn: BTreeSet<&str> = rows
        .clone()
        .filter_map(|row| match row {
            Row::Version(version) if version.withdrawn => Some(version.name.as_str()),
            _ => None,
        })
        .collect();
    for row in rows {
        if let Row::Allowance(allowance) = row
            && allowance.share.percent > 0.0
            && withdrawn.contains(allowance.version.as_str())
        {
            let message = format!("{} is withdrawn and has a share", allowance.version);
            let remedy = "give its share to another version";
            faults.push(RowFault::new(row, "share_percent", message, remedy));
        }
    }
}

/// Returns the violations in `after` that do not already exist in `before`.
#[must_use]
pub fn introduced_faults(before: &Configuration, after: &Configuration) -> Vec<RowFault> {
    let found = find_faults(after.existing_rows().map(|(_, row)| row));
    if found.is_empty() {
        return found;
    }
    let preexisting: BTreeSet<RowFault> = find_faults(before.existing_rows().map(|(_, row)| row))
        .into_iter()
        .collect();
    found
        .into_iter()
        .filter(|fault| !preexisting.contains(fault))
        .collect()
}
