//! The difference between a sheet and a configuration.
//!
//! Some state is set while the system runs, by operators' commands or by the
//! roll-out guard: a version withdrawn, a data centre or endpoint taken out, a
//! roll-out with its share and state. A sheet that was planned before cannot know
//! of it, so a sheet may set such state but never undoes it:
//!
//! - `withdrawn` or `out`: a sheet's `no` does not change a `yes`;
//! - a roll-out that exists keeps its share and state, but a sheet may hold a
//!   running one;
//! - a roll-out that the sheet lacks stays while both of its versions do.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::Sheet;
use super::export::{Cell, cells};
use crate::change::RowEdit;
use crate::configuration::{Configuration, RollOut, RollOutState, Row, RowKey, RowKind};

/// What happens to a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RowVerb {
    /// The row is new.
    Add,
    /// The row gets other cells.
    Change,
    /// The row goes.
    Remove,
}

/// One cell that differs.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CellDifference {
    /// The column.
    pub column: String,
    /// The cell in the configuration; empty for a new row.
    pub before: String,
    /// The cell after the change; empty for a removed row.
    pub after: String,
}

/// One row that differs.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RowDifference {
    /// The row.
    pub key: RowKey,
    /// What happens to it.
    pub verb: RowVerb,
    /// The cells that differ.
    pub cells: Vec<CellDifference>,
}

/// State that the sheet does not undo.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeptState {
    /// The row.
    pub key: RowKey,
    /// The column, or `kind` for a whole row that is kept.
    pub column: String,
    /// What the sheet says; empty for a row that it lacks.
    pub sheet: String,
    /// What stays in force.
    pub kept: String,
    /// The command that changes it.
    pub remedy: String,
}

/// The difference between a sheet and a configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SheetDifference {
    /// The rows that differ.
    pub rows: Vec<RowDifference>,
    /// The state that the sheet does not undo.
    pub kept: Vec<KeptState>,
}

impl fmt::Display for SheetDifference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for row in &self.rows {
            let sign = match row.verb {
                RowVerb::Add => '+',
                RowVerb::Change => '~',
                RowVerb::Remove => '-',
            };
            writeln!(f, "{sign} {}", row.key)?;
            if row.verb == RowVerb::Change {
                for cell in &row.cells {
                    writeln!(f, "    {}: {} -> {}", cell.column, cell.before, cell.after)?;
                }
            }
        }
        for kept in &self.kept {
            writeln!(
                f,
                "= {} keeps {} = {}; {}",
                kept.key, kept.column, kept.kept, kept.remedy
            )?;
        }
        Ok(())
    }
}

/// Returns the edits that lead from the configuration to the sheet.
pub(super) fn edits(sheet: &Sheet, configuration: &Configuration) -> Vec<RowEdit> {
    let mut edits = Vec::new();
    for (key, row) in &sheet.rows {
        let present = configuration.row(key);
        let wanted = present.map_or_else(|| row.clone(), |present| merge(row, present));
        if present != Some(&wanted) {
            edits.push(RowEdit::set(wanted));
        }
    }
    for (key, row) in configuration.present_rows() {
        if !sheet.rows.contains_key(key) && !stays(sheet, row) {
            edits.push(RowEdit::remove(key.clone()));
        }
    }
    edits
}

/// Compares for display.
pub(super) fn compare(sheet: &Sheet, configuration: &Configuration) -> SheetDifference {
    let rows = edits(sheet, configuration)
        .into_iter()
        .map(|edit| row_difference(configuration.row(&edit.key), &edit))
        .collect();
    SheetDifference {
        rows,
        kept: kept(sheet, configuration),
    }
}

/// Returns the sheet's row with the state that it must not undo.
fn merge(sheet: &Row, present: &Row) -> Row {
    let mut merged = sheet.clone();
    match (&mut merged, present) {
        (Row::Version(row), Row::Version(present)) => row.withdrawn |= present.withdrawn,
        (Row::DataCentre(row), Row::DataCentre(present)) => row.out |= present.out,
        (Row::Endpoint(row), Row::Endpoint(present)) => row.out |= present.out,
        (Row::RollOut(row), Row::RollOut(present)) => merge_roll_out(row, present),
        _ => {}
    }
    merged
}

/// Keeps a roll-out as it is, unless the sheet holds a running one or replaces
/// the version that goes.
fn merge_roll_out(row: &mut RollOut, present: &RollOut) {
    if row.from != present.from {
        return;
    }
    row.share = present.share;
    let holds = row.state == RollOutState::Held && present.state == RollOutState::Running;
    if !holds {
        row.state = present.state;
    }
}

/// Returns whether a row that the sheet lacks stays.
fn stays(sheet: &Sheet, row: &Row) -> bool {
    let Row::RollOut(row) = row else {
        return false;
    };
    [&row.from, &row.to].into_iter().all(|version| {
        sheet
            .rows
            .contains_key(&RowKey::new(RowKind::Version, [version]))
    })
}

fn row_difference(present: Option<&Row>, edit: &RowEdit) -> RowDifference {
    let verb = match (present, &edit.row) {
        (_, None) => RowVerb::Remove,
        (None, Some(_)) => RowVerb::Add,
        (Some(_), Some(_)) => RowVerb::Change,
    };
    let before = present.map(cells).unwrap_or_default();
    let after = edit.row.as_ref().map(cells).unwrap_or_default();
    RowDifference {
        key: edit.key.clone(),
        verb,
        cells: cell_differences(&before, &after),
    }
}

fn cell_differences(before: &[Cell], after: &[Cell]) -> Vec<CellDifference> {
    let longer = if after.is_empty() { before } else { after };
    longer
        .iter()
        .map(|cell| CellDifference {
            column: cell.column.to_owned(),
            before: text(before, cell.column),
            after: text(after, cell.column),
        })
        .filter(|difference| difference.before != difference.after)
        .collect()
}

fn text(cells: &[Cell], column: &str) -> String {
    cells
        .iter()
        .find(|cell| cell.column == column)
        .map(|cell| cell.text.clone())
        .unwrap_or_default()
}

fn kept(sheet: &Sheet, configuration: &Configuration) -> Vec<KeptState> {
    let mut kept = Vec::new();
    for (key, present) in configuration.present_rows() {
        match sheet.rows.get(key) {
            Some(row) => kept.extend(kept_cells(key, row, present)),
            None if stays(sheet, present) => kept.push(KeptState {
                key: key.clone(),
                column: "kind".to_owned(),
                sheet: String::new(),
                kept: RowKind::RollOut.as_str().to_owned(),
                remedy: remedy(present),
            }),
            None => {}
        }
    }
    kept
}

fn kept_cells(key: &RowKey, sheet: &Row, present: &Row) -> Vec<KeptState> {
    let merged = merge(sheet, present);
    cell_differences(&cells(sheet), &cells(&merged))
        .into_iter()
        .map(|difference| KeptState {
            key: key.clone(),
            column: difference.column,
            sheet: difference.before,
            kept: difference.after,
            remedy: remedy(present),
        })
        .collect()
}

/// Returns the command that changes kept state.
fn remedy(row: &Row) -> String {
    match row {
        Row::Version(row) => format!("undo it with: hemlockhitchctl version restore {}", row.name),
        Row::DataCentre(row) => {
            format!("undo it with: hemlockhitchctl data-centre in {}", row.name)
        }
        Row::Endpoint(row) => format!("undo it with: hemlockhitchctl endpoint in {}", row.name),
        Row::RollOut(row) => format!(
            "change it with: hemlockhitchctl rollout resume, hold or finish {}",
            row.to
        ),
        _ => String::new(),
    }
}
