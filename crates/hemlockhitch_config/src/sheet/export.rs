//! Writes rows as the cells of a sheet.

use csv::WriterBuilder;
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

use super::Sheet;
use super::columns::COLUMNS;
use super::rows::{ORDER_CHECKS, ROLL_OUT_STATES};
use crate::configuration::{Row, RowKind, StopTarget};

/// One cell of a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cell {
    /// The column.
    pub column: &'static str,
    /// The text.
    pub text: String,
}

impl Sheet {
    /// Writes the sheet as CSV with `,` between fields; [`Sheet::parse`] reads it
    /// back to the same sheet.
    #[must_use]
    pub fn to_csv(&self) -> String {
        let mut writer = WriterBuilder::new().from_writer(Vec::new());
        // Writing to memory does not fail.
        let _ = writer.write_record(COLUMNS);
        for row in self.rows() {
            let _ = writer.write_record(record(row));
        }
        let bytes = writer.into_inner().unwrap_or_default();
        String::from_utf8(bytes).unwrap_or_default()
    }
}

fn record(row: &Row) -> Vec<String> {
    let cells = cells(row);
    COLUMNS
        .into_iter()
        .map(|column| {
            let cell = cells.iter().find(|cell| cell.column == column);
            cell.map(|cell| cell.text.clone()).unwrap_or_default()
        })
        .collect()
}

/// Returns the cells that a row fills, in order of column.
#[must_use]
pub fn cells(row: &Row) -> Vec<Cell> {
    match row {
        Row::Organisation(it) => vec![
            cell("kind", &RowKind::Organisation.as_str()),
            cell("organisation", &it.name),
            cell("token_sha256", &it.token_sha256),
            cell("weight", &it.weight),
            cell("limit_per_s", &it.limit_per_s),
        ],
        Row::Version(it) => vec![
            cell("kind", &RowKind::Version.as_str()),
            cell("version", &it.name),
            cell("withdrawn", &flag(it.withdrawn)),
            cell("prompt_price_micros", &it.prompt_price_micros),
            cell("completion_price_micros", &it.completion_price_micros),
        ],
        Row::Allowance(it) => vec![
            cell("kind", &RowKind::Allowance.as_str()),
            cell("organisation", &it.organisation),
            cell("version", &it.version),
            cell("share_percent", &it.share.percent),
        ],
        Row::Cascade(it) => vec![
            cell("kind", &RowKind::Cascade.as_str()),
            cell("organisation", &it.organisation),
            cell("class", &it.class),
            cell("models", &list(&it.models)),
            cell("quality_target_ratio", &it.quality_target_ratio),
        ],
        Row::DataCentre(it) => vec![
            cell("kind", &RowKind::DataCentre.as_str()),
            cell("data_centre", &it.name),
            cell("region", &it.region),
            cell("out", &flag(it.out)),
        ],
        Row::Endpoint(it) => vec![
            cell("kind", &RowKind::Endpoint.as_str()),
            cell("endpoint", &it.name),
            cell("address", &it.address),
            cell("data_centre", &it.data_centre),
            cell("service", &it.service),
            cell("versions", &list(&it.versions)),
            cell("cold_limit", &it.cold_limit),
            cell("warm_limit", &it.warm_limit),
            cell("orders", &word(&ORDER_CHECKS, &it.orders)),
            cell("out", &flag(it.out)),
        ],
        Row::ServiceCall(it) => vec![
            cell("kind", &RowKind::ServiceCall.as_str()),
            cell("service", &it.service),
            cell("method", &it.method),
            cell("path", &it.path),
            cell("idempotent", &flag(it.idempotent)),
            cell("class", &it.class),
        ],
        Row::PlannedStop(it) => vec![
            cell("kind", &RowKind::PlannedStop.as_str()),
            match &it.target {
                StopTarget::Endpoint(name) => cell("endpoint", name),
                StopTarget::DataCentre(name) => cell("data_centre", name),
            },
            cell("starts_at", &time_text(it.from_unix_ms)),
            cell("ends_at", &time_text(it.until_unix_ms)),
        ],
        Row::RollOut(it) => vec![
            cell("kind", &RowKind::RollOut.as_str()),
            cell("from_version", &it.from),
            cell("to_version", &it.to),
            cell("share_percent", &it.share.percent),
            cell("state", &word(&ROLL_OUT_STATES, &it.state)),
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

/// Returns the word for a value.
fn word<T: PartialEq>(words: &[(&'static str, T)], value: &T) -> &'static str {
    words
        .iter()
        .find(|(_, other)| other == value)
        .map_or("", |(word, _)| word)
}

/// Returns a time as RFC 3339, or as milliseconds if it has no such form.
#[must_use]
pub fn time_text(unix_ms: u64) -> String {
    const NANOS_PER_MS: i128 = 1_000_000;
    OffsetDateTime::from_unix_timestamp_nanos(i128::from(unix_ms) * NANOS_PER_MS)
        .ok()
        .and_then(|time| time.format(&Rfc3339).ok())
        .unwrap_or_else(|| unix_ms.to_string())
}
