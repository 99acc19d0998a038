//! Validates, compares and applies sheets.

use std::fs;
use std::io::Write;

use hemlockhitch_config::sheet::{RowOperation, Sheet, SheetDifference};
use hemlockhitch_config::{Configuration, RowEdit};
use hemlockhitch_model::{Clock, SystemClock};

use super::change;
use crate::args::{Invocation, SheetFile};
use crate::client::AdminClient;
use crate::error::CtlError;
use crate::print;

pub(super) fn check(file: &SheetFile, out: &mut impl Write) -> Result<(), CtlError> {
    let sheet = read_sheet(file)?;
    writeln!(
        out,
        "{}: {} rows, no fault",
        file.path,
        sheet.rows().count()
    )?;
    Ok(())
}

pub(super) async fn diff(
    file: &SheetFile,
    client: &AdminClient,
    json: bool,
    out: &mut impl Write,
) -> Result<(), CtlError> {
    let sheet = read_sheet(file)?;
    let difference = sheet.diff(&client.configuration().await?);
    if json {
        return print::json(&difference, out);
    }
    write!(out, "{difference}")?;
    writeln!(out, "{}", summary(&difference))?;
    Ok(())
}

pub(super) async fn apply(
    file: &SheetFile,
    remove_most: bool,
    client: &AdminClient,
    invocation: &Invocation,
    out: &mut impl Write,
) -> Result<(), CtlError> {
    let sheet = read_sheet(file)?;
    let configuration = client.configuration().await?;
    let change = sheet.change(&configuration, String::new(), SystemClock::new().now());
    if !remove_most {
        reject_mass_removal(&configuration, &change.edits)?;
    }
    if !invocation.json {
        let difference = sheet.diff(&configuration);
        write!(out, "{difference}")?;
        writeln!(out, "{}", summary(&difference))?;
    }
    change::submit(&configuration, change.edits, client, invocation, out).await
}

fn read_sheet(file: &SheetFile) -> Result<Sheet, CtlError> {
    let bytes = fs::read(&file.path).map_err(|error| {
        CtlError::bad_input(format!(
            "{} cannot be read: {error}; check the path",
            file.path
        ))
    })?;
    Sheet::parse(&bytes, &file.path).map_err(|error| CtlError::bad_input(error.to_string()))
}

/// Rejects a sheet that lacks more than half of the rows in force, which usually
/// means that the file is truncated.
fn reject_mass_removal(configuration: &Configuration, edits: &[RowEdit]) -> Result<(), CtlError> {
    let existing = configuration.existing_rows().count();
    let removed = edits.iter().filter(|edit| edit.row.is_none()).count();
    if removed * 2 <= existing {
        return Ok(());
    }
    Err(CtlError::bad_input(format!(
        "the sheet lacks {removed} of the {existing} rows in force; check that it is whole, then \
         repeat with --remove-most"
    )))
}

fn summary(difference: &SheetDifference) -> String {
    let count = |operation| {
        let rows = difference.rows.iter();
        rows.filter(|row| row.operation == operation).count()
    };
    format!(
        "{} rows added, {} changed, {} removed, {} states kept",
        count(RowOperation::Add),
        count(RowOperation::Change),
        count(RowOperation::Remove),
        difference.kept.len()
    )
}
