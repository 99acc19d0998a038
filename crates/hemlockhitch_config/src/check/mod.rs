//! Checks of the rows of a configuration, each by itself and against the others.

mod index;
mod relation;
mod single;

use std::collections::BTreeSet;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::configuration::{Configuration, Row, RowKey};
use index::Index;

/// A rule that a row breaks.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RowFault {
    /// The row.
    pub key: RowKey,
    /// The field at fault, under its sheet's column name.
    pub column: String,
    /// What is wrong.
    pub message: String,
    /// What to do about it.
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

/// Returns every rule that the rows break.
#[must_use]
pub fn faults<'a>(rows: impl IntoIterator<Item = &'a Row>) -> Vec<RowFault> {
    let rows: Vec<&Row> = rows.into_iter().collect();
    let index = Index::of(&rows);
    let mut faults = Vec::new();
    for row in &rows {
        single::check(row, &mut faults);
        relation::check(row, &index, &mut faults);
    }
    relation::check_shares(&rows, &mut faults);
    faults
}

/// Returns the rules that `after` breaks and `before` did not.
#[must_use]
pub fn new_faults(before: &Configuration, after: &Configuration) -> Vec<RowFault> {
    let found = faults(after.present_rows().map(|(_, row)| row));
    if found.is_empty() {
        return found;
    }
    let known: BTreeSet<RowFault> = faults(before.present_rows().map(|(_, row)| row))
        .into_iter()
        .collect();
    found
        .into_iter()
        .filter(|fault| !known.contains(fault))
        .collect()
}
