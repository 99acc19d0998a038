//! Typed reading of the cells of one record.
//!
//! A cell that cannot be read adds a fault and gives a stand-in value, so that
//! the other cells and rows are still checked.

use std::str::FromStr;

use hemlockhitch_model::Class;
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

use super::csv_table::{Record, Table};
use super::fault::SheetFault;

/// The cells of one record.
#[derive(Debug)]
pub(super) struct Cells<'a> {
    table: &'a Table,
    record: &'a Record,
    faults: &'a mut Vec<SheetFault>,
}

impl<'a> Cells<'a> {
    pub(super) fn new(
        table: &'a Table,
        record: &'a Record,
        faults: &'a mut Vec<SheetFault>,
    ) -> Self {
        Self {
            table,
            record,
            faults,
        }
    }

    /// Returns a cell that may be empty.
    pub(super) fn optional(&self, column: &str) -> Option<&'a str> {
        Some(self.table.cell(self.record, column)).filter(|text| !text.is_empty())
    }

    /// Returns a cell that must be filled.
    pub(super) fn text(&mut self, column: &str) -> Option<&'a str> {
        let text = self.optional(column);
        if text.is_none() {
            self.fault(column, "is empty", "fill the cell");
        }
        text
    }

    /// Reads a whole number that must be there.
    pub(super) fn number<T: FromStr + Default>(&mut self, column: &str) -> T {
        match self.text(column) {
            Some(text) => self.parse_number(column, text),
            None => T::default(),
        }
    }

    /// Reads a whole number that may be missing.
    pub(super) fn number_or<T: FromStr + Default>(&mut self, column: &str, default: T) -> T {
        match self.optional(column) {
            Some(text) => self.parse_number(column, text),
            None => default,
        }
    }

    /// Reads a number with a decimal point or comma.
    pub(super) fn decimal(&mut self, column: &str) -> f64 {
        let Some(text) = self.text(column) else {
            return f64::NAN;
        };
        let plain = text.trim_end_matches('%').trim_end().replace(',', ".");
        let digits = plain.chars().all(|c| c.is_ascii_digit() || c == '.');
        match plain.parse::<f64>() {
            Ok(value) if digits => value,
            _ => {
                let message = format!("{text:?} is not a number");
                self.fault(column, message, "write digits with one point or comma");
                f64::NAN
            }
        }
    }

    /// Reads a yes or no that must be there.
    pub(super) fn flag(&mut self, column: &str) -> bool {
        match self.text(column) {
            Some(text) => self.parse_flag(column, text),
            None => false,
        }
    }

    /// Reads a yes or no; an empty cell means no.
    pub(super) fn flag_or_no(&mut self, column: &str) -> bool {
        match self.optional(column) {
            Some(text) => self.parse_flag(column, text),
            None => false,
        }
    }

    /// Reads names between spaces or `|`.
    pub(super) fn list(&self, column: &str) -> Vec<&'a str> {
        let text = self.optional(column).unwrap_or_default();
        text.split(|c: char| c.is_whitespace() || c == '|')
            .filter(|name| !name.is_empty())
            .collect()
    }

    /// Reads a class of request; `None` after a fault.
    pub(super) fn class(&mut self, column: &str) -> Option<Class> {
        let text = self.text(column)?;
        match text.parse::<Class>() {
            Ok(class) => Some(class),
            Err(_) => {
                let names: Vec<&str> = Class::ALL.iter().map(|class| class.as_str()).collect();
                self.not_a_choice(column, text, &names);
                None
            }
        }
    }

    /// Reads one of some words; an empty cell means the first one.
    pub(super) fn choice<T: Copy>(&mut self, column: &str, choices: &[(&str, T)]) -> T {
        let default = choices[0].1;
        let Some(text) = self.optional(column) else {
            return default;
        };
        let found = choices.iter().find(|(word, _)| *word == text);
        if let Some((_, choice)) = found {
            return *choice;
        }
        let words: Vec<&str> = choices.iter().map(|(word, _)| *word).collect();
        self.not_a_choice(column, text, &words);
        default
    }

    /// Reads a time as RFC 3339 or as milliseconds since the Unix epoch;
    /// `None` after a fault.
    pub(super) fn time(&mut self, column: &str) -> Option<u64> {
        let text = self.text(column)?;
        if let Ok(unix_ms) = text.parse::<u64>() {
            return Some(unix_ms);
        }
        let parsed = OffsetDateTime::parse(text, &Rfc3339).ok();
        let unix_ms = parsed.and_then(|time| u64::try_from(unix_ms(time)).ok());
        if unix_ms.is_none() {
            let message = format!("{text:?} is not a time");
            let remedy = "write it as 2026-12-05T02:00:00Z, with Z or an offset such as +02:00";
            self.fault(column, message, remedy);
        }
        unix_ms
    }

    pub(super) fn fault(
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
                self.fault(column, message, "write digits alone");
                T::default()
            }
        }
    }

    fn parse_flag(&mut self, column: &str, text: &str) -> bool {
        match text.to_lowercase().as_str() {
            "yes" | "true" | "1" => true,
            "no" | "false" | "0" => false,
            _ => {
                self.not_a_choice(column, text, &["yes", "no"]);
                false
            }
        }
    }

    fn not_a_choice(&mut self, column: &str, text: &str, choices: &[&str]) {
        let message = format!("{text:?} is not a choice");
        self.fault(column, message, format!("use {}", choices.join(", ")));
    }
}

fn unix_ms(time: OffsetDateTime) -> i128 {
    const NANOS_PER_MS: i128 = 1_000_000;
    time.unix_timestamp_nanos() / NANOS_PER_MS
}
