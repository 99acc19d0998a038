//! Export of rows as cells of a sheet.

use csv::WriterBuilder;
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

use super::Sheet;
use super::columns::COLUMNS;
use super::rows::{ORDER_CHECKS, ROLL_OUT_STATES};
use crate::configuration::{Row, RowKind, StopTarget};

/// A cell of a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cell {
    /// Column name.
    pub column: &'static str,
    /// Text of the cell.
    pub text: String,
}

impl Sheet {
    /// Formats the sheet as comma-separated CSV, which [`Sheet::parse`] parses back to
    /// the same sheet.
    #[must_use]
    pub fn to_csv(&self) -> String {
        let mut writer = WriterBuilder::new().from_writer(Vec::new());
        // Writing to memory cannot fail.
        let _ = writer.write_record(COLUMNS);
        for row in self.rows() {
            let _ = writer.write_record(to_record(row));
        }
        let bytes = writer.into_inner().unwrap_or_default();
        String::from_utf8(bytes).unwrap_or_default()
    }
}

fn to_record(row: &Row) -> Vec<String> {
    let cells = row_cells(row);
    COLUMNS
        .into_iter()
        .map(|column| {
            let cell = cells.iter().find(|cell| cell.column == column);
            cell.map(|cell| cell.text.clone()).unwrap_or_default()
        })
        .collect()
}

/// Returns the cells of a row, in column order.
#[must_use]
pub fn row_cells(row: &Row) -> Vec<Cell> {
    match row {
        Row::Organisation(row) => vec![
            cell("kind", &RowKind::Organisation.as_str()),
            cell("organisation", &row.name),
            cell("token_sha256", &row.token_sha256),
            cell("weight", &row.weight),
            cell("limit_per_s", &row.limit_per_s),
        ],
        Row::Version(row) => vec![
            cell("kind", &RowKind::Version.as_str()),
            cell("version", &row.name),
            cell("withdrawn", &flag(row.withdrawn)),
            cell("prompt_price_micros", &row.prompt_price_micros),
            cell("completion_price_micros", &row.completion_price_micros),
        ],
        Row::Allowance(row) => vec![
            cell("kind", &RowKind::Allowance.as_str()),
            cell("organisation", &row.organisation),
            cell("version", &row.version),
            cell("share_percent", &row.share.percent),
        ],
        Row::Cascade(row) => vec![
            cell("kind", &RowKind::Cascade.as_str()),
            cell("organisation", &row.organisation),
            cell("class", &row.class),
            cell("models", &list(&row.models)),
            cell("quality_target_ratio", &row.quality_target_ratio),
        ],
        Row::DataCentre(row) => vec![
            cell("kind", &RowKind::DataCentre.as_str()),
            cell("data_centre", &row.name),
            cell("region", &row.region),
            cell("out", &flag(row.out)),
        ],
        Row::Endpoint(row) => vec![
            cell("kind", &RowKind::Endpoint.as_str()),
            cell("endpoint", &row.name),
            cell("address", &row.address),
            cell("data_centre", &row.data_centre),
            cell("service", &row.service),
            cell("versions", &list(&row.versions)),
            cell("cold_limit", &row.cold_limit),
            cell("warm_limit", &row.warm_limit),
            cell("orders", &word_for(&ORDER_CHECKS, &row.orders)),
            cell("out", &flag(row.out)),
        ],
        Row::ServiceCall(row) => vec![
            cell("kind", &RowKind::ServiceCall.as_str()),
            cell("service", &row.service),
            cell("method", &row.method),
            cell("path", &row.path),
            cell("idempotent", &flag(row.idempotent)),
            cell("class", &row.class),
        ],
        Row::PlannedStop(row) => vec![
            cell("kind", &RowKind::PlannedStop.as_str()),
            match &row.target {
                StopTarget::Endpoint(name) => cell("endpoint", name),
                StopTarget::DataCentre(name) => cell("data_centre", name),
            },
            cell("starts_at", &format_time(row.from_unix_ms)),
            cell("ends_at", &format_time(row.until_unix_ms)),
        ],
        Row::RollOut(row) => vec![
            cell("kind", &RowKind::RollOut.as_str()),
            cell("from_version", &row.from),
            cell("to_version", &row.to),
            cell("share_percent", &row.share.percent),
            cell("state", &word_for(&ROLL_OUT_STATES, &row.state)),
        ],
    }
}

fn cell(column: &'static str, value: &impl ToString) -> Cell {
    Cell {
        column,
        text: value.to_string(),
    }
}

fn flag(value: bool) -> &'static str {
    if value { "yes" } else { "no" }
}

fn list(names: &[impl ToString]) -> String {
    let names: Vec<String> = names.iter().map(ToString::to_string).collect();
    names.join(" ")
}

/// Returns the word that represents the value.
fn word_for<T: PartialEq>(words: &[(&'static str, T)], value: &T) -> &'static str {
    words
        .iter()
        .find(|(_, other)| other == value)
        .map_or("", |(word, _)| word)
}

/// Formats a time as RFC 3339, or as milliseconds if it cannot be represented that way.
#[must_use]
pub fn format_time(unix_ms: u64) -> String {
    const NANOS_PER_MS: i128 = 1_000_000;
    OffsetDateTime::from_unix_timestamp_nanos(i128::from(unix_ms) * NANOS_PER_MS)
        .ok()
        .and_then(|time| time.format(&Rfc3339).ok())
        .unwrap_or_else(|| unix_ms.to_string())
}
