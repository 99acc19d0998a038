//! The operators' sheet: one wide CSV table that holds the whole desired state.
//!
//! The first column, `kind`, says what a row describes; the other columns are
//! filled as far as the kind has them.
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

pub use diff::{CellDifference, KeptState, RowDifference, RowVerb, SheetDifference};
pub use export::{Cell, cells, time_text};
pub use fault::{SheetError, SheetFault};

use std::collections::{BTreeMap, HashSet};

use hemlockhitch_model::{ChangeId, Now};

use crate::change::Change;
use crate::configuration::{Configuration, Row, RowKey};
use crate::validation;
use csv_table::Table;

/// A sheet whose rows all fit each other.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sheet {
    rows: BTreeMap<RowKey, Row>,
}

impl Sheet {
    /// Parses a sheet as spreadsheets export it: UTF-8 with or without a byte
    /// order mark, fields between `,`, `;` or tabs, quoted where needed, a decimal
    /// point or comma. `file_name` is named in faults.
    ///
    /// # Errors
    ///
    /// Lists every fault of the sheet.
    pub fn parse(bytes: &[u8], file_name: &str) -> Result<Self, SheetError> {
        let (table, mut faults) = match Table::read(bytes) {
            Ok(read) => read,
            Err(fault) => return Err(SheetError::new(file_name, vec![fault])),
        };
        let mut sheet = Self::default();
        let mut lines: BTreeMap<RowKey, u64> = BTreeMap::new();
        for record in &table.records {
            let Some(row) = rows::read(&table, record, &mut faults) else {
                continue;
            };
            let key = row.key();
            if let Some(first) = lines.get(&key) {
                faults.push(SheetFault::repeated(record.line, &key, *first));
                continue;
            }
            lines.insert(key.clone(), record.line);
            sheet.rows.insert(key, row);
        }
        sheet.cross_check(&lines, &mut faults);
        if faults.is_empty() {
            return Ok(sheet);
        }
        Err(SheetError::new(file_name, faults))
    }

    /// Returns the sheet that describes a configuration.
    #[must_use]
    pub fn of(configuration: &Configuration) -> Self {
        let rows = configuration
            .present_rows()
            .map(|(key, row)| (key.clone(), row.clone()))
            .collect();
        Self { rows }
    }

    /// Iterates over the rows in order of key.
    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        self.rows.values()
    }

    /// Replaces the address of an endpoint, and returns whether there is one of
    /// that name.
    pub fn set_address(&mut self, endpoint: &str, address: impl Into<String>) -> bool {
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

    /// Returns the change that leads from a configuration to this sheet.
    ///
    /// Rows that the sheet lacks are removed. State that operators or the
    /// roll-out guard set is kept, as [`SheetDifference`] says.
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

    fn cross_check(&self, lines: &BTreeMap<RowKey, u64>, faults: &mut Vec<SheetFault>) {
        let known: HashSet<(Option<u64>, String)> = faults
            .iter()
            .map(|fault| (fault.row, fault.column.clone()))
            .collect();
        let mut found = validation::faults(self.rows.values());
        validation::withdrawn_with_share(self.rows.values(), &mut found);
        for fault in found {
            let row = lines.get(&fault.key).copied();
            // A cell that cannot be read has its fault already.
            if !known.contains(&(row, fault.column.clone())) {
                faults.push(SheetFault::from_check(row, fault));
            }
        }
    }
}
