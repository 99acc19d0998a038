//! Columns of a sheet.

use crate::configuration::RowKind;

/// Every column, in the order of an exported sheet.
pub(super) const COLUMNS: [&str; 32] = [
    "kind",
    "organisation",
    "token_sha256",
    "weight",
    "limit_per_s",
    "version",
    "withdrawn",
    "prompt_price_micros",
    "completion_price_micros",
    "share_percent",
    "class",
    "models",
    "quality_target_ratio",
    "data_centre",
    "region",
    "out",
    "endpoint",
    "address",
    "service",
    "versions",
    "cold_limit",
    "warm_limit",
    "orders",
    "method",
    "path",
    "idempotent",
    "starts_at",
    "ends_at",
    "from_version",
    "to_version",
    "state",
    NOTE_COLUMN,
];

/// Column for free-form notes; ignored when a sheet is read.
pub(super) const NOTE_COLUMN: &str = "note";

/// Returns the columns of a row kind, besides `kind` and `note`.
pub(super) fn columns_of_kind(kind: RowKind) -> &'static [&'static str] {
    match kind {
        RowKind::Organisation => &["organisation", "token_sha256", "weight", "limit_per_s"],
        RowKind::Version => &[
            "version",
            "withdrawn",
            "prompt_price_micros",
            "completion_price_micros",
        ],
        RowKind::Allowance => &["organisation", "version", "share_percent"],
        RowKind::Cascade => &["organisation", "class", "models", "quality_target_ratio"],
        RowKind::DataCentre => &["data_centre", "region", "out"],
        RowKind::Endpoint => &[
            "endpoint",
            "address",
            "data_centre",
            "service",
            "versions",
            "cold_limit",
            "warm_limit",
            "orders",
            "out",
        ],
        RowKind::ServiceCall => &["service", "method", "path", "idempotent", "class"],
        RowKind::PlannedStop => &["endpoint", "data_centre", "starts_at", "ends_at"],
        RowKind::RollOut => &["from_version", "to_version", "share_percent", "state"],
    }
}
