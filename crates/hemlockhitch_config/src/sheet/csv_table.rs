//! Reads the header and the records of a CSV file.

use csv::{ReaderBuilder, StringRecord};

use super::columns::COLUMNS;
use super::fault::SheetFault;

/// The byte order mark that spreadsheets put before UTF-8 text.
const BYTE_ORDER_MARK: &str = "\u{feff}";

/// The characters that may stand between fields.
const DELIMITERS: [u8; 3] = [b';', b',', b'\t'];

/// The most faults of the file's form that are collected.
const MAX_FORM_FAULTS: usize = 100;

/// One record with its line in the file.
#[derive(Clone, Debug)]
pub(super) struct Record {
    pub(super) line: u64,
    pub(super) fields: StringRecord,
}

/// The records of a sheet by column.
#[derive(Clone, Debug)]
pub(super) struct Table {
    /// The known column of each field; unknown ones are faults already.
    header: Vec<Option<&'static str>>,
    pub(super) records: Vec<Record>,
}

impl Table {
    /// Reads a file and collects the faults of its form.
    ///
    /// # Errors
    ///
    /// Fails when no row can be read at all.
    pub(super) fn read(bytes: &[u8]) -> Result<(Self, Vec<SheetFault>), SheetFault> {
        let text = decode(bytes)?;
        let mut reader = ReaderBuilder::new()
            .delimiter(delimiter(text))
            .has_headers(false)
            .flexible(true)
            .from_reader(text.as_bytes());
        let mut records = Vec::new();
        let mut faults = Vec::new();
        for result in reader.records() {
            match result {
                Ok(fields) => records.push(record(fields)),
                Err(error) => faults.push(unreadable(&error)),
            }
            if faults.len() >= MAX_FORM_FAULTS {
                break;
            }
        }
        records.retain(|record| record.fields.iter().any(|field| !field.trim().is_empty()));
        if records.is_empty() {
            let remedy = "export the sheet with its header row";
            return Err(SheetFault::new(None, "file", "has no row", remedy));
        }
        let head = records.remove(0);
        let header = header(&head, &mut faults)?;
        if records.is_empty() {
            let message = "has no row below its header";
            faults.push(SheetFault::new(
                None,
                "file",
                message,
                "export the sheet again",
            ));
        }
        faults.extend(open_quote(text));
        let table = Self { header, records };
        table.check_widths(&mut faults);
        Ok((table, faults))
    }

    /// Returns the text of a cell, without white space around it.
    pub(super) fn cell<'a>(&self, record: &'a Record, column: &str) -> &'a str {
        self.header
            .iter()
            .position(|known| *known == Some(column))
            .and_then(|index| record.fields.get(index))
            .map_or("", str::trim)
    }

    /// Iterates over the filled cells of a record that have a known column.
    pub(super) fn filled<'a>(
        &'a self,
        record: &'a Record,
    ) -> impl Iterator<Item = &'static str> + 'a {
        self.header
            .iter()
            .zip(&record.fields)
            .filter(|(_, field)| !field.trim().is_empty())
            .filter_map(|(column, _)| *column)
    }

    fn check_widths(&self, faults: &mut Vec<SheetFault>) {
        let width = self.header.len();
        for record in &self.records {
            let extra = record
                .fields
                .iter()
                .skip(width)
                .find(|field| !field.trim().is_empty());
            if let Some(field) = extra {
                let message = format!("{field:?} stands beyond the last column");
                let remedy = "quote fields that hold a delimiter, and name every column";
                faults.push(SheetFault::new(record.line, "row", message, remedy));
            }
        }
    }
}

fn decode(bytes: &[u8]) -> Result<&str, SheetFault> {
    let text = std::str::from_utf8(bytes).map_err(|error| {
        let before = &bytes[..error.valid_up_to()];
        let line = 1 + before.iter().filter(|byte| **byte == b'\n').count() as u64;
        let remedy = "export the sheet as CSV in UTF-8";
        SheetFault::new(line, "file", "is not UTF-8 text", remedy)
    })?;
    Ok(text.strip_prefix(BYTE_ORDER_MARK).unwrap_or(text))
}

/// Finds a quote that is not closed, as in a file that was cut short.
fn open_quote(text: &str) -> Option<SheetFault> {
    let quotes = text.bytes().filter(|byte| *byte == b'"').count();
    let remedy = "export the sheet again, and double each quote within a field";
    let fault = SheetFault::new(None, "file", "has a quote that is not closed", remedy);
    (!quotes.is_multiple_of(2)).then_some(fault)
}

/// Returns the delimiter that the header uses most.
fn delimiter(text: &str) -> u8 {
    let header = text.lines().find(|line| !line.trim().is_empty());
    let header = header.unwrap_or_default();
    let count = |delimiter: u8| header.bytes().filter(|byte| *byte == delimiter).count();
    let mut best = DELIMITERS[0];
    for delimiter in DELIMITERS {
        if count(delimiter) > count(best) {
            best = delimiter;
        }
    }
    best
}

fn record(fields: StringRecord) -> Record {
    let line = fields.position().map_or(0, csv::Position::line);
    Record { line, fields }
}

fn unreadable(error: &csv::Error) -> SheetFault {
    let line = error.position().map(csv::Position::line);
    let remedy = "export the sheet as CSV again";
    SheetFault::new(line, "row", format!("cannot be read: {error}"), remedy)
}

fn header(
    record: &Record,
    faults: &mut Vec<SheetFault>,
) -> Result<Vec<Option<&'static str>>, SheetFault> {
    let mut header = Vec::new();
    for field in &record.fields {
        let name = field.trim().to_lowercase();
        let column = COLUMNS.into_iter().find(|column| *column == name);
        let repeated = column.is_some() && header.contains(&column);
        if repeated {
            let message = "stands twice in the header";
            faults.push(SheetFault::new(
                record.line,
                &name,
                message,
                "keep one of them",
            ));
        } else if column.is_none() && !name.is_empty() {
            let message = "is not a known column";
            let remedy = format!("use one of {}", COLUMNS.join(", "));
            faults.push(SheetFault::new(record.line, &name, message, remedy));
        }
        header.push(column.filter(|_| !repeated));
    }
    if header.contains(&Some("kind")) {
        return Ok(header);
    }
    let message = "is missing in the header";
    let remedy = "name the first column kind and separate columns by ; or ,";
    Err(SheetFault::new(record.line, "kind", message, remedy))
}
