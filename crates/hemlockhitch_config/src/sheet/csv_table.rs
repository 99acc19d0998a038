//! Parsing of the header and records of a CSV file.

use csv::{ReaderBuilder, StringRecord};

use super::columns::COLUMNS;
use super::fault::SheetFault;

/// Byte order mark that spreadsheets write at the start of UTF-8 files.
const BYTE_ORDER_MARK: &str = "\u{feff}";

/// Supported field delimiters; on a tie, the first one is chosen.
const DELIMITERS: [u8; 3] = [b';', b',', b'\t'];

/// Number of unreadable records after which parsing stops.
const MAX_PARSE_FAULTS: usize = 100;

/// A CSV record and its line number.
#[derive(Clone, Debug)]
pub(super) struct Record {
    pub(super) line: u64,
    pub(super) fields: StringRecord,
}

/// The header and records of a sheet.
#[derive(Clone, Debug)]
pub(super) struct CsvTable {
    /// Column of each field; `None` for unnamed columns, and for unknown and duplicate ones,
    /// which have been reported.
    header: Vec<Option<&'static str>>,
    pub(super) records: Vec<Record>,
}

impl CsvTable {
    /// Parses a file and collects the faults in its structure.
    ///
    /// # Errors
    ///
    /// Fails if no row can be read, as when the text is not UTF-8 or the header has no
    /// `kind` column.
    pub(super) fn read(bytes: &[u8]) -> Result<(Self, Vec<SheetFault>), SheetFault> {
        let text = decode(bytes)?;
        let mut reader = ReaderBuilder::new()
            .delimiter(detect_delimiter(text))
            .has_headers(false)
            .flexible(true)
            .from_reader(text.as_bytes());
        let mut records = Vec::new();
        let mut faults = Vec::new();
        for result in reader.records() {
            match result {
                Ok(fields) => records.push(to_record(fields)),
                Err(error) => faults.push(csv_fault(&error)),
            }
            if faults.len() >= MAX_PARSE_FAULTS {
                break;
            }
        }
        records.retain(|record| record.fields.iter().any(|field| !field.trim().is_empty()));
        if records.is_empty() {
            let remedy = "export the sheet with its header row";
            return Err(SheetFault::new(None, "file", "has no row", remedy));
        }
        let header_record = records.remove(0);
        let header = parse_header(&header_record, &mut faults)?;
        if records.is_empty() {
            let message = "has no row below its header";
            faults.push(SheetFault::new(
                None,
                "file",
                message,
                "export the sheet again",
            ));
        }
        faults.extend(unclosed_quote(text));
        let table = Self { header, records };
        table.check_widths(&mut faults);
        Ok((table, faults))
    }

    /// Returns the trimmed text of a cell; empty if the sheet lacks the column.
    pub(super) fn cell<'a>(&self, record: &'a Record, column: &str) -> &'a str {
        self.header
            .iter()
            .position(|column_name| *column_name == Some(column))
            .and_then(|index| record.fields.get(index))
            .map_or("", str::trim)
    }

    /// Iterates over the known columns whose cells are not empty.
    pub(super) fn filled_columns<'a>(
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

/// Detects an unclosed quote, as in a truncated file.
fn unclosed_quote(text: &str) -> Option<SheetFault> {
    let quotes = text.bytes().filter(|byte| *byte == b'"').count();
    let remedy = "export the sheet again, and double each quote within a field";
    let fault = SheetFault::new(None, "file", "has a quote that is not closed", remedy);
    (!quotes.is_multiple_of(2)).then_some(fault)
}

/// Returns the most frequent delimiter in the header.
fn detect_delimiter(text: &str) -> u8 {
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

fn to_record(fields: StringRecord) -> Record {
    let line = fields.position().map_or(0, csv::Position::line);
    Record { line, fields }
}

fn csv_fault(error: &csv::Error) -> SheetFault {
    let line = error.position().map(csv::Position::line);
    let remedy = "export the sheet as CSV again";
    SheetFault::new(line, "row", format!("cannot be read: {error}"), remedy)
}

fn parse_header(
    record: &Record,
    faults: &mut Vec<SheetFault>,
) -> Result<Vec<Option<&'static str>>, SheetFault> {
    let mut header = Vec::new();
    for field in &record.fields {
        let name = field.trim().to_lowercase();
        let column = COLUMNS.into_iter().find(|column| *column == name);
        let duplicate = column.is_some() && header.contains(&column);
        if duplicate {
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
        header.push(column.filter(|_| !duplicate));
    }
    if header.contains(&Some("kind")) {
        return Ok(header);
    }
    let message = "is missing in the header";
    let remedy = "name the first column kind and separate columns by ; or ,";
    Err(SheetFault::new(record.line, "kind", message, remedy))
}
