//! Tables of text.

use std::fmt;

/// Columns that are padded to one width each.
#[derive(Clone, Debug)]
pub(super) struct Table<const N: usize> {
    rows: Vec<[String; N]>,
}

impl<const N: usize> Table<N> {
    /// Creates a table with its header.
    pub(super) fn new(header: [&str; N]) -> Self {
        Self {
            rows: vec![header.map(str::to_owned)],
        }
    }

    /// Adds a row.
    pub(super) fn row(&mut self, row: [String; N]) {
        self.rows.push(row);
    }

    fn width(&self, column: usize) -> usize {
        let widths = self.rows.iter().map(|row| row[column].chars().count());
        widths.max().unwrap_or(0)
    }
}

impl<const N: usize> fmt::Display for Table<N> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths: Vec<usize> = (0..N).map(|column| self.width(column)).collect();
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
