//! Conversion of CSV records to rows.

use hemlockhitch_model::{DataCentreName, EndpointName, ModelName, VersionName};

use super::cell_reader::CellReader;
use super::columns::{self, NOTE_COLUMN};
use super::csv_table::{CsvTable, Record};
use super::fault::SheetFault;
use crate::configuration::{
    Allowance, Cascade, DataCentre, Endpoint, OrderCheck, Organisation, PlannedStop, RollOut,
    RollOutState, Row, RowKind, ServiceCall, Share, StopTarget, Version,
};

/// Words for [`OrderCheck`]; the first one is the default.
pub(super) const ORDER_CHECKS: [(&str, OrderCheck); 2] = [
    ("ignored", OrderCheck::Ignored),
    ("checked", OrderCheck::Checked),
];

/// Words for [`RollOutState`]; the first one is the default.
pub(super) const ROLL_OUT_STATES: [(&str, RollOutState); 3] = [
    ("running", RollOutState::Running),
    ("held", RollOutState::Held),
    ("stopped", RollOutState::Stopped),
];

/// Weight of an organisation whose cell is empty.
const DEFAULT_WEIGHT: u32 = 1;

/// Converts a record to a row; `None` if a cell that the row cannot do without is
/// invalid.
pub(super) fn read_row(
    table: &CsvTable,
    record: &Record,
    faults: &mut Vec<SheetFault>,
) -> Option<Row> {
    let mut cells = CellReader::new(table, record, faults);
    let text = cells.required("kind")?;
    let Some(kind) = RowKind::ALL.into_iter().find(|kind| kind.as_str() == text) else {
        let words: Vec<&str> = RowKind::ALL.iter().map(|kind| kind.as_str()).collect();
        let message = format!("{text:?} is not a kind");
        cells.add_fault("kind", message, format!("use {}", words.join(", ")));
        return None;
    };
    check_no_foreign_cells(table, record, kind, &mut cells);
    match kind {
        RowKind::Organisation => read_organisation(&mut cells),
        RowKind::Version => read_version(&mut cells),
        RowKind::Allowance => read_allowance(&mut cells),
        RowKind::Cascade => read_cascade(&mut cells),
        RowKind::DataCentre => read_data_centre(&mut cells),
        RowKind::Endpoint => read_endpoint(&mut cells),
        RowKind::ServiceCall => read_service_call(&mut cells),
        RowKind::PlannedStop => read_planned_stop(&mut cells),
        RowKind::RollOut => read_roll_out(&mut cells),
    }
}

fn check_no_foreign_cells(
    table: &CsvTable,
    record: &Record,
    kind: RowKind,
    cells: &mut CellReader<'_>,
) {
    let own = columns::columns_of_kind(kind);
    for column in table.filled_columns(record) {
        if column != "kind" && column != NOTE_COLUMN && !own.contains(&column) {
            let message = format!("is not a column of kind {}", kind.as_str());
            cells.add_fault(column, message, "clear the cell, or correct the kind");
        }
    }
}

fn read_organisation(cells: &mut CellReader<'_>) -> Option<Row> {
    let name = cells.required("organisation")?;
    let token_sha256 = cells.required("token_sha256").unwrap_or_default();
    Some(Row::Organisation(Organisation {
        name: name.into(),
        token_sha256: token_sha256.to_ascii_lowercase(),
        weight: cells.number_or_default("weight", DEFAULT_WEIGHT),
        limit_per_s: cells.number("limit_per_s"),
    }))
}

fn read_version(cells: &mut CellReader<'_>) -> Option<Row> {
    let name = cells.required("version")?;
    Some(Row::Version(Version {
        name: name.into(),
        withdrawn: cells.flag_or_no("withdrawn"),
        prompt_price_micros: cells.number("prompt_price_micros"),
        completion_price_micros: cells.number("completion_price_micros"),
    }))
}

fn read_allowance(cells: &mut CellReader<'_>) -> Option<Row> {
    let organisation = cells.required("organisation");
    let version = cells.required("version");
    let percent = cells.decimal("share_percent");
    Some(Row::Allowance(Allowance {
        organisation: organisation?.into(),
        version: version?.into(),
        share: Share { percent },
    }))
}

fn read_cascade(cells: &mut CellReader<'_>) -> Option<Row> {
    let organisation = cells.required("organisation");
    let class = cells.class("class");
    let models = cells.list("models").into_iter().map(ModelName::from);
    let models = models.collect();
    let quality_target_ratio = cells.decimal("quality_target_ratio");
    Some(Row::Cascade(Cascade {
        organisation: organisation?.into(),
        class: class?,
        models,
        quality_target_ratio,
    }))
}

fn read_data_centre(cells: &mut CellReader<'_>) -> Option<Row> {
    let name = cells.required("data_centre")?;
    let region = cells.required("region").unwrap_or_default();
    Some(Row::DataCentre(DataCentre {
        name: name.into(),
        region: region.into(),
        out: cells.flag_or_no("out"),
    }))
}

fn read_endpoint(cells: &mut CellReader<'_>) -> Option<Row> {
    let name = cells.required("endpoint")?;
    let address = cells.required("address").unwrap_or_default();
    let data_centre = cells.required("data_centre").unwrap_or_default();
    let service = cells.required("service").unwrap_or_default();
    let versions = cells.list("versions").into_iter().map(VersionName::from);
    Some(Row::Endpoint(Endpoint {
        name: name.into(),
        address: address.to_owned(),
        data_centre: data_centre.into(),
        service: service.into(),
        versions: versions.collect(),
        cold_limit: cells.number("cold_limit"),
        warm_limit: cells.number("warm_limit"),
        orders: cells.choice("orders", &ORDER_CHECKS),
        out: cells.flag_or_no("out"),
    }))
}

fn read_service_call(cells: &mut CellReader<'_>) -> Option<Row> {
    let service = cells.required("service");
    let method = cells.required("method");
    let path = cells.required("path");
    let idempotent = cells.flag("idempotent");
    let class = cells.class("class");
    Some(Row::ServiceCall(ServiceCall {
        service: service?.into(),
        method: method?.to_ascii_uppercase(),
        path: path?.to_owned(),
        idempotent,
        class: class?,
    }))
}

fn read_planned_stop(cells: &mut CellReader<'_>) -> Option<Row> {
    let target = read_stop_target(cells);
    let from_unix_ms = cells.time("starts_at");
    let until_unix_ms = cells.time("ends_at");
    Some(Row::PlannedStop(PlannedStop {
        target: target?,
        from_unix_ms: from_unix_ms?,
        until_unix_ms: until_unix_ms?,
    }))
}

fn read_stop_target(cells: &mut CellReader<'_>) -> Option<StopTarget> {
    match (cells.optional("endpoint"), cells.optional("data_centre")) {
        (Some(name), None) => Some(StopTarget::Endpoint(EndpointName::from(name))),
        (None, Some(name)) => Some(StopTarget::DataCentre(DataCentreName::from(name))),
        (given, _) => {
            let message = match given {
                Some(_) => "and data_centre are both filled",
                None => "and data_centre are both empty",
            };
            cells.add_fault("endpoint", message, "fill one of the two");
            None
        }
    }
}

fn read_roll_out(cells: &mut CellReader<'_>) -> Option<Row> {
    let from = cells.required("from_version");
    let to = cells.required("to_version");
    let percent = cells.decimal("share_percent");
    let state = cells.choice("state", &ROLL_OUT_STATES);
    Some(Row::RollOut(RollOut {
        from: from?.into(),
        to: to?.into(),
        share: Share { percent },
        state,
    }))
}
