//! Withdraws versions and takes data centres and endpoints out.

use hemlockhitch_config::configuration::{Row, RowKind};
use hemlockhitch_config::{Configuration, RowEdit, RowKey};

use crate::args::{Command, Presence, VersionState};
use crate::error::CtlError;

/// Returns the edits for a command; none if the row is as wanted.
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
    let present = find(configuration, kind, name)?;
    let mut row = present.clone();
    match (&mut row, command) {
        (Row::Version(row), Command::Version { state, .. }) => {
            row.withdrawn = *state == VersionState::Withdrawn;
        }
        (Row::DataCentre(row), Command::DataCentre { presence, .. }) => {
            row.out = *presence == Presence::Out;
        }
        (Row::Endpoint(row), Command::Endpoint { presence, .. }) => {
            row.out = *presence == Presence::Out;
        }
        _ => {}
    }
    if row == *present {
        return Ok(Vec::new());
    }
    Ok(vec![RowEdit::set(row)])
}

/// Finds a row, or names those that there are.
pub(super) fn find<'a>(
    configuration: &'a Configuration,
    kind: RowKind,
    name: &str,
) -> Result<&'a Row, CtlError> {
    let key = RowKey::new(kind, [name]);
    configuration.row(&key).ok_or_else(|| {
        let prefix = format!("{}/", kind.as_str());
        let names: Vec<&str> = configuration
            .present_rows()
            .filter_map(|(key, _)| key.as_str().strip_prefix(&prefix))
            .collect();
        let known = if names.is_empty() {
            "there is none".to_owned()
        } else {
            format!("there are {}", names.join(", "))
        };
        CtlError::bad_input(format!("no {} {name:?}; {known}", kind.as_str()))
    })
}
