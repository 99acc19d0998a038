//! Enables and disables versions, data centres and endpoints for new work.

use hemlockhitch_config::configuration::{Row, RowKind};
use hemlockhitch_config::{Configuration, RowEdit, RowKey};

use crate::args::{Availability, Command, VersionState};
use crate::error::CtlError;

/// Returns the edits for a command; empty if the row is already in the requested
/// state.
pub(super) fn edits(
    configuration: &Configuration,
    command: &Command,
) -> Result<Vec<RowEdit>, CtlError> {
    let (kind, name) = match command {
        Command::Version { name, .. } => (RowKind::Version, name.as_str()),
        Command::DataCentre { name, .. } => (RowKind::DataCentre, name.as_str()),
        Command::Endpoint { name, .. } => (RowKind::Endpoint, name.as_str()),
        _ => return Ok(Vec::new()),
    };
    let current = find_row(configuration, kind, name)?;
    let mut row = current.clone();
    match (&mut row, command) {
        (Row::Version(row), Command::Version { state, .. }) => {
            row.withdrawn = *state == VersionState::Withdrawn;
        }
        (Row::DataCentre(row), Command::DataCentre { availability, .. }) => {
            row.out = *availability == Availability::Out;
        }
        (Row::Endpoint(row), Command::Endpoint { availability, .. }) => {
            row.out = *availability == Availability::Out;
        }
        _ => {}
    }
    if row == *current {
        return Ok(Vec::new());
    }
    Ok(vec![RowEdit::set(row)])
}

/// Finds a row by name. The error lists the existing names of that kind.
pub(super) fn find_row<'a>(
    configuration: &'a Configuration,
    kind: RowKind,
    name: &str,
) -> Result<&'a Row, CtlError> {
    let key = RowKey::new(kind, [name]);
    configuration.row(&key).ok_or_else(|| {
        let prefix = format!("{}/", kind.as_str());
        let names: Vec<&str> = configuration
            .existing_rows()
            .filter_map(|(key, _)| key.as_str().strip_prefix(&prefix))
            .collect();
        let hint = if names.is_empty() {
            "there is none".to_owned()
        } else {
            format!("there are {}", names.join(", "))
        };
        CtlError::bad_input(format!("no {} {name:?}; {hint}", kind.as_str()))
    })
}
