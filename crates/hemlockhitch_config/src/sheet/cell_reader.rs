//! Typed reading of the cells of a record.
//!
//! An invalid cell adds a fault and yields a placeholder value, so that the remaining
//! cells and rows are still validated.

use std::str::FromStr;

use hemlockhitch_model::Class;
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

use super::csv_table::{CsvTable, Record};
use super::fault::SheetFault;

/// Reads the cells of one record and collects faults.
#[derive(Debug)]
pub(super) struct CellReader<'a> {
    table: &'a CsvTable,
    record: &'a Record,
    faults: &'a mut Vec<SheetFault>,
}

impl<'a> CellReader<'a> {
    pub(super) fn new(
        table: &'a CsvTable,
        record: &'a Record,
        faults: &'a mut Vec<SheetFault>,
    ) -> Self {
        Self {
            table,
            record,
            faults,
        }
    }

    /// Returns the text of a cell, or `None` if it is empty.
    pub(super) fn optional(&self, column: &str) -> Option<&'a str> {
        Some(self.table.cell(self.record, column)).filter(|text| !text.is_empty())
    }

    /// Returns the text of a required cell.
    pub(super) fn required(&mut self, column: &str) -> Option<&'a str> {
        let text = self.optional(column);
        if text.is_none() {
            self.add_fault(column, "is empty", "fill the cell");
        }
        text
    }

    /// Reads a required integer.
    pub(super) fn number<T: FromStr + Default>(&mut self, column: &str) -> T {
        match self.required(column) {
            Some(text) => self.parse_number(column, text),
            None => T::default(),
        }
    }

    /// Reads an integer; an empty cell means `default`.
    pub(super) fn number_or_default<T: FromStr + Default>(
        &mut self,
        column: &str,
        default: T,
    ) -> T {
        match self.optional(column) {
            Some(text) => self.parse_number(column, text),
            None => default,
        }
    }

    /// Reads a required number with a decimal point or comma and an optional `%`; NaN after
    /// a fault.
    pub(super) fn decimal(&mut self, column: &str) -> f64 {
        let Some(text) = self.required(column) else {
            return f64::NAN;
        };
        let normalised = text.trim_end_matches('%').trim_end().replace(',', ".");
        let is_unsigned_decimal = normalised.chars().all(|c| c.is_ascii_digit() || c == '.');
        match normalised.parse::<f64>() {
            Ok(value) if is_unsigned_decimal => value,
            _ => {
                let message = format!("{text:?} is not a number");
                self.add_fault(column, message, "write digits with one point or comma");
                f64::NAN
            }
        }
    }

    /// Reads a required yes/no flag.
    pub(super) fn flag(&mut self, column: &str) -> bool {
        match self.required(column) {
            Some(text) => self.parse_flag(column, text),
            None => false,
        }
    }

    /// Reads a yes/no flag; an empty cell means no.
    pub(super) fn flag_or_no(&mut self, column: &str) -> bool {
        match self.optional(column) {
            Some(text) => self.parse_flag(column, text),
            None => false,
        }
    }

    /// Reads a list of names separated by white space or `|`.
    pub(super) fn list(&self, column: &str) -> Vec<&'a str> {
        let text = self.optional(column).unwrap_or_default();
        text.split(|c: char| c.is_whitespace() || c == '|')
            .filter(|name| !name.is_empty())
            .collect()
    }

    /// Reads a required request class; `None` after a fault.
    pub(super) fn class(&mut self, column: &str) -> Option<Class> {
        let text = self.required(column)?;
        match text.parse::<Class>() {
            Ok(class) => Some(class),
            Err(_) => {
                let names: Vec<&str> = Class::ALL.iter().map(|class| class.as_str()).collect();
                self.add_invalid_choice(column, text, &names);
                None
            }
        }
    }

    /// Reads one of `choices`; an empty or invalid cell means the first one.
    pub(super) fn choice<T: Copy>(&mut self, column: &str, choices: &[(&str, T)]) -> T {
        let default = choices[0].1;
        let Some(text) = self.optional(column) else {
            return default;
        };
        let matched = choices.iter().find(|(word, _)| *word == text);
        if let Some((_, choice)) = matched {
            return *choice;
        }
        let words: Vec<&str> = choices.iter().map(|(word, _)| *word).collect();
        self.add_invalid_choice(column, text, &words);
        default
    }

    /// Reads a required time, as RFC 3339 or as milliseconds since the Unix epoch; `None`
    /// after a fault.
    pub(super) fn time(&mut self, column: &str) -> Option<u64> {
        let text = self.required(column)?;
        if let Ok(unix_ms) = text.parse::<u64>() {
            return Some(unix_ms);
        }
        let parsed = OffsetDateTime::parse(text, &Rfc3339).ok();
        let unix_ms = parsed.and_then(|time| u64::try_from(unix_ms(time)).ok());
        if unix_ms.is_none() {
            let message = format!("{text:?} is not a time");
            let remedy = "write it as 2026-12-05T02:00:00Z, with Z or an offset such as +02:00";
            self.add_fault(column, message, remedy);
        }
        unix_ms
    }

    pub(super) fn add_fault(
        &mut self,
        column: &str,
        message: impl Into<String>,
        remedy: impl Into<String>,
    ) {
        let fault = SheetFault::new(self.record.line, column, message, remedy);
        self.faults.push(fault);
    }

    fn parse_number<T: FromStr + Default>(&mut self, column: &str, text: &str) -> T {
        match text.parse::<T>() {
            Ok(value) if !text.starts_with('+') => value,
            _ => {
                let message = format!("{text:?} is not a whole number");
                self.add_fault(column, message, "write digits alone");
                T::default()
            }
        }
    }

    fn parse_flag(&mut self, column: &str, text: &str) -> bool {
        match text.to_lowercase().as_str() {
            "yes" | "true" | "1" => true,
            "no" | "false" | "0" => false,
            _ => {
                self.add_invalid_choice(column, text, &["yes", "no"]);
                false
            }
        }
    }

    fn add_invalid_choice(&mut self, column: &str, text: &str, choices: &[&str]) {
        let message = format!("{text:?} is not a choice");
        self.add_fault(column, message, format!("use {}", choices.join(", ")));
    }
}

fn unix_ms(time: OffsetDateTime) -> i128 {
    const NANOS_PER_MS: i128 = 1_000_000;
    time.unix_timestamp_nanos() / NANOS_PER_MS
}
