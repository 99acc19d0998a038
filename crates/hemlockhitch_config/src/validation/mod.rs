//! Checks of the rows of a configuration, each by itself and against the others.

mod cross_row;
mod index;
mod single_row;

use std::collections::BTreeSet;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::configuration::{Configuration, Row, RowKey};
use index::Index;

/// A rule that a row breaks.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
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
        single_row::check(row, &mut faults);
        cross_row::check(row, &index, &mut faults);
    }
    cross_row::check_shares(&rows, &mut faults);
    faults
}

/// Adds a fault for each allowance with a share of a withdrawn version.
///
/// This is a rule for sheets alone: a version that operators withdraw in haste
/// keeps its shares.
pub fn withdrawn_with_share<'a>(
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
        if let Row::Allowance(it) = row
            && it.share.percent > 0.0
            && withdrawn.contains(it.version.as_str())
        {
            let message = format!("{} is withdrawn and has a share", it.version);
            let remedy = "give its share to another version";
            faults.push(RowFault::new(row, "share_percent", message, remedy));
        }
    }
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
