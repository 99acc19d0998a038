//! Plain text tables.

use std::fmt;

/// A table whose columns are padded to their widest cell. The first row is the
/// header.
#[derive(Clone, Debug)]
pub(super) struct Table<const N: usize> {
    rows: Vec<[String; N]>,
}

impl<const N: usize> Table<N> {
    /// Creates a table that has only a header.
    pub(super) fn new(header: [&str; N]) -> Self {
        Self {
            rows: vec![header.map(str::to_owned)],
        }
    }

    pub(super) fn add_row(&mut self, row: [String; N]) {
        self.rows.push(row);
    }

    fn column_width(&self, column: usize) -> usize {
        let widths = self.rows.iter().map(|row| row[column].chars().count());
        widths.max().unwrap_or(0)
    }
}

impl<const N: usize> fmt::Display for Table<N> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths: Vec<usize> = (0..N).map(|column| self.column_width(column)).collect();
        for row in &self.rows {
            let mut line = String::new();
            for (cell, width) in row.iter().zip(&widths) {
                line.push_str(&format!("{cell:<width$}  "));
            }
            writeln!(f, "{}", line.trim_end())?;
        }
        Ok(())
    }
}
