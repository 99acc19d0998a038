//! Difference between a sheet and a configuration.
//!
//! Operator commands and the roll-out guard set state at run time: withdrawn versions,
//! data centres and endpoints that are out of service, and the share and state of
//! roll-outs. A sheet may have been prepared before such a change, so it can set this
//! state but never reverts it:
//!
//! - `withdrawn` and `out`: a `no` in the sheet does not override a `yes`;
//! - an existing roll-out keeps its share and state, except that a sheet may hold a
//!   running one;
//! - a roll-out that is missing from the sheet is kept as long as the sheet contains
//!   both of its versions.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::Sheet;
use super::export::{Cell, row_cells};
use crate::change::RowEdit;
use crate::configuration::{Configuration, RollOut, RollOutState, Row, RowKey, RowKind};

/// Effect of a sheet on a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RowOperation {
    /// The row is added.
    Add,
    /// Some cells of the row change.
    Change,
    /// The row is removed.
    Remove,
}

/// A cell that differs.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CellDifference {
    /// Column name.
    pub column: String,
    /// Text in the configuration; empty for an added row.
    pub before: String,
    /// Text after the change; empty for a removed row.
    pub after: String,
}

/// A row that differs.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RowDifference {
    /// Key of the row.
    pub key: RowKey,
    /// Effect on the row.
    #[serde(rename = "verb")]
    pub operation: RowOperation,
    /// Cells that differ.
    pub cells: Vec<CellDifference>,
}

/// Run-time state that differs from the sheet and is kept.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeptState {
    /// Key of the row.
    pub key: RowKey,
    /// Column name, or `kind` if the whole row is kept.
    pub column: String,
    /// Text in the sheet; empty if the sheet lacks the row.
    pub sheet: String,
    /// Text that is kept.
    pub kept: String,
    /// Command that changes the state.
    pub remedy: String,
}

/// Difference between a sheet and a configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SheetDifference {
    /// Rows that differ.
    pub rows: Vec<RowDifference>,
    /// Run-time state that the sheet does not revert.
    pub kept: Vec<KeptState>,
}

impl fmt::Display for SheetDifference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for row in &self.rows {
            let sign = match row.operation {
                RowOperation::Add => '+',
                RowOperation::Change => '~',
                RowOperation::Remove => '-',
            };
            writeln!(f, "{sign} {}", row.key)?;
            if row.operation == RowOperation::Change {
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

/// Returns the edits that turn the configuration into the sheet, apart from kept state.
pub(super) fn edits(sheet: &Sheet, configuration: &Configuration) -> Vec<RowEdit> {
    let mut edits = Vec::new();
    for (key, row) in &sheet.rows {
        let current = configuration.row(key);
        let target = current.map_or_else(|| row.clone(), |current| merge(row, current));
        if current != Some(&target) {
            edits.push(RowEdit::set(target));
        }
    }
    for (key, row) in configuration.existing_rows() {
        if !sheet.rows.contains_key(key) && !is_kept(sheet, row) {
            edits.push(RowEdit::remove(key.clone()));
        }
    }
    edits
}

/// Compares the sheet with the configuration, for display.
pub(super) fn compare(sheet: &Sheet, configuration: &Configuration) -> SheetDifference {
    let rows = edits(sheet, configuration)
        .into_iter()
        .map(|edit| row_difference(configuration.row(&edit.key), &edit))
        .collect();
    SheetDifference {
        rows,
        kept: kept_state(sheet, configuration),
    }
}

/// Returns the sheet's row combined with the run-time state of the current row.
fn merge(sheet: &Row, current: &Row) -> Row {
    let mut merged = sheet.clone();
    match (&mut merged, current) {
        (Row::Version(row), Row::Version(current)) => row.withdrawn |= current.withdrawn,
        (Row::DataCentre(row), Row::DataCentre(current)) => row.out |= current.out,
        (Row::Endpoint(row), Row::Endpoint(current)) => row.out |= current.out,
        (Row::RollOut(row), Row::RollOut(current)) => merge_roll_out(row, current),
        _ => {}
    }
    merged
}

/// Keeps the share and state of a roll-out, unless the sheet holds a running roll-out or
/// changes the version that is replaced.
fn merge_roll_out(row: &mut RollOut, current: &RollOut) {
    if row.from != current.from {
        return;
    }
    row.share = current.share;
    let is_hold = row.state == RollOutState::Held && current.state == RollOutState::Running;
    if !is_hold {
        row.state = current.state;
    }
}

/// Returns whether a row that is missing from the sheet is kept.
fn is_kept(sheet: &Sheet, row: &Row) -> bool {
    let Row::RollOut(row) = row else {
        return false;
    };
    [&row.from, &row.to].into_iter().all(|version| {
        sheet
            .rows
            .contains_key(&RowKey::new(RowKind::Version, [version]))
    })
}

fn row_difference(current: Option<&Row>, edit: &RowEdit) -> RowDifference {
    let operation = match (current, &edit.row) {
        (_, None) => RowOperation::Remove,
        (None, Some(_)) => RowOperation::Add,
        (Some(_), Some(_)) => RowOperation::Change,
    };
    let before = current.map(row_cells).unwrap_or_default();
    let after = edit.row.as_ref().map(row_cells).unwrap_or_default();
    RowDifference {
        key: edit.key.clone(),
        operation,
        cells: cell_differences(&before, &after),
    }
}

fn cell_differences(before: &[Cell], after: &[Cell]) -> Vec<CellDifference> {
    let non_empty = if after.is_empty() { before } else { after };
    non_empty
        .iter()
        .map(|cell| CellDifference {
            column: cell.column.to_owned(),
            before: cell_text(before, cell.column),
            after: cell_text(after, cell.column),
        })
        .filter(|difference| difference.before != difference.after)
        .collect()
}

fn cell_text(cells: &[Cell], column: &str) -> String {
    cells
        .iter()
        .find(|cell| cell.column == column)
        .map(|cell| cell.text.clone())
        .unwrap_or_default()
}

fn kept_state(sheet: &Sheet, configuration: &Configuration) -> Vec<KeptState> {
    let mut kept = Vec::new();
    for (key, current) in configuration.existing_rows() {
        match sheet.rows.get(key) {
            Some(row) => kept.extend(kept_cells(key, row, current)),
            None if is_kept(sheet, current) => kept.push(KeptState {
                key: key.clone(),
                column: "kind".to_owned(),
                sheet: String::new(),
                kept: RowKind::RollOut.as_str().to_owned(),
                remedy: remedy_command(current),
            }),
            None => {}
        }
    }
    kept
}

fn kept_cells(key: &RowKey, sheet: &Row, current: &Row) -> Vec<KeptState> {
    let merged = merge(sheet, current);
    cell_differences(&row_cells(sheet), &row_cells(&merged))
        .into_iter()
        .map(|difference| KeptState {
            key: key.clone(),
            column: difference.column,
            sheet: difference.before,
            kept: difference.after,
            remedy: remedy_command(current),
        })
        .collect()
}

/// Returns a hint with the command that changes the kept state.
fn remedy_command(row: &Row) -> String {
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
