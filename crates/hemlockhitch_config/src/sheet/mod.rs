//! Operator sheets: a wide CSV table that describes the complete desired state.
//!
//! The column `kind` determines what a row describes and which other columns apply.
//!
//! ```
//! use hemlockhitch_config::Configuration;
//! use hemlockhitch_config::sheet::Sheet;
//! use hemlockhitch_model::{Clock, SystemClock};
//!
//! let text = "kind;data_centre;region\ndata_centre;em-a;east-mids\n";
//! let sheet = Sheet::parse(text.as_bytes(), "sheet.csv")?;
//! let present = Configuration::default();
//! let change = sheet.change(&present, "planner", SystemClock::new().now());
//! assert_eq!(change.edits.len(), 1);
//! # Ok::<(), hemlockhitch_config::sheet::SheetError>(())
//! ```

mod cell_reader;
mod columns;
mod csv_table;
mod diff;
mod export;
mod fault;
mod rows;

pub use diff::{CellDifference, KeptState, RowDifference, RowOperation, SheetDifference};
pub use export::{Cell, format_time, row_cells};
pub use fault::{SheetError, SheetFault};

use std::collections::{BTreeMap, HashSet};

use hemlockhitch_model::{ChangeId, Now};

use crate::change::Change;
use crate::configuration::{Configuration, Row, RowKey};
use crate::validation;
use csv_table::CsvTable;

/// A validated sheet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sheet {
    rows: BTreeMap<RowKey, Row>,
}

impl Sheet {
    /// Parses a sheet in the CSV dialects that spreadsheets export: UTF-8 with or without
    /// a byte order mark, fields separated by `,`, `;` or tabs and quoted where needed,
    /// and a decimal point or comma. `file_name` is used in fault messages.
    ///
    /// # Errors
    ///
    /// Returns every fault in the sheet.
    pub fn parse(bytes: &[u8], file_name: &str) -> Result<Self, SheetError> {
        let (table, mut faults) = match CsvTable::read(bytes) {
            Ok(read) => read,
            Err(fault) => return Err(SheetError::new(file_name, vec![fault])),
        };
        let mut sheet = Self::default();
        let mut lines: BTreeMap<RowKey, u64> = BTreeMap::new();
        for record in &table.records {
            let Some(row) = rows::read_row(&table, record, &mut faults) else {
                continue;
            };
            let key = row.key();
            if let Some(first) = lines.get(&key) {
                faults.push(SheetFault::duplicate_key(record.line, &key, *first));
                continue;
            }
            lines.insert(key.clone(), record.line);
            sheet.rows.insert(key, row);
        }
        sheet.check_rows(&lines, &mut faults);
        if faults.is_empty() {
            return Ok(sheet);
        }
        Err(SheetError::new(file_name, faults))
    }

    /// Creates the sheet that describes a configuration.
    #[must_use]
    pub fn from_configuration(configuration: &Configuration) -> Self {
        let rows = configuration
            .existing_rows()
            .map(|(key, row)| (key.clone(), row.clone()))
            .collect();
        Self { rows }
    }

    /// Iterates over the rows, ordered by key.
    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        self.rows.values()
    }

    /// Replaces the address of an endpoint and returns whether the endpoint exists.
    pub fn set_endpoint_address(&mut self, endpoint: &str, address: impl Into<String>) -> bool {
        let found = self.rows.values_mut().find_map(|row| match row {
            Row::Endpoint(row) if row.name.as_str() == endpoint => Some(row),
            _ => None,
        });
        let Some(row) = found else {
            return false;
        };
        row.address = address.into();
        true
    }

    /// Returns the change that turns a configuration into this sheet.
    ///
    /// Rows that are missing from the sheet are removed. State that operators or the
    /// roll-out guard set at run time is kept; [`SheetDifference::kept`] lists it.
    #[must_use]
    pub fn change(
        &self,
        configuration: &Configuration,
        author: impl Into<String>,
        now: Now,
    ) -> Change {
        Change {
            id: ChangeId::random(),
            base_generation: configuration.generation,
            author: author.into(),
            at_unix_ms: now.unix_ms,
            edits: diff::edits(self, configuration),
        }
    }

    /// Compares the sheet with a configuration, for display.
    #[must_use]
    pub fn diff(&self, configuration: &Configuration) -> SheetDifference {
        diff::compare(self, configuration)
    }

    fn check_rows(&self, lines: &BTreeMap<RowKey, u64>, faults: &mut Vec<SheetFault>) {
        let unreadable_cells: HashSet<(Option<u64>, String)> = faults
            .iter()
            .map(|fault| (fault.row, fault.column.clone()))
            .collect();
        let mut found = validation::find_faults(self.rows.values());
        validation::add_withdrawn_share_faults(self.rows.values(), &mut found);
        for fault in found {
            let row = lines.get(&fault.key).copied();
            // The placeholder of an invalid cell must not cause a second fault.
            if !unreadable_cells.contains(&(row, fault.column.clone())) {
                faults.push(SheetFault::from_row_fault(row, fault));
            }
        }
    }
}
