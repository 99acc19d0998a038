//! Reads each kind of row.

use hemlockhitch_model::{DataCentreName, EndpointName, ModelName, VersionName};

use super::cell_reader::Cells;
use super::columns::{self, NOTE};
use super::csv_table::{Record, Table};
use super::fault::SheetFault;
use crate::configuration::{
    Allowance, Cascade, DataCentre, Endpoint, OrderCheck, Organisation, PlannedStop, RollOut,
    RollOutState, Row, RowKind, ServiceCall, Share, StopTarget, Version,
};

/// The words for how an endpoint treats orders; the first one is the default.
pub(super) const ORDER_CHECKS: [(&str, OrderCheck); 2] = [
    ("ignored", OrderCheck::Ignored),
    ("checked", OrderCheck::Checked),
];

/// The words for the state of a roll-out; the first one is the default.
pub(super) const ROLL_OUT_STATES: [(&str, RollOutState); 3] = [
    ("running", RollOutState::Running),
    ("held", RollOutState::Held),
    ("stopped", RollOutState::Stopped),
];

/// The weight of an organisation whose cell is empty.
const DEFAULT_WEIGHT: u32 = 1;

/// Reads a record; `None` when a cell that identifies the row cannot be read.
pub(super) fn read(table: &Table, record: &Record, faults: &mut Vec<SheetFault>) -> Option<Row> {
    let mut cells = Cells::new(table, record, faults);
    let text = cells.text("kind")?;
    let Some(kind) = RowKind::ALL.into_iter().find(|kind| kind.as_str() == text) else {
        let words: Vec<&str> = RowKind::ALL.iter().map(|kind| kind.as_str()).collect();
        let message = format!("{text:?} is not a kind");
        cells.fault("kind", message, format!("use {}", words.join(", ")));
        return None;
    };
    refuse_foreign_cells(table, record, kind, &mut cells);
    match kind {
        RowKind::Organisation => organisation(&mut cells),
        RowKind::Version => version(&mut cells),
        RowKind::Allowance => allowance(&mut cells),
        RowKind::Cascade => cascade(&mut cells),
        RowKind::DataCentre => data_centre(&mut cells),
        RowKind::Endpoint => endpoint(&mut cells),
        RowKind::ServiceCall => service_call(&mut cells),
        RowKind::PlannedStop => planned_stop(&mut cells),
        RowKind::RollOut => roll_out(&mut cells),
    }
}

fn refuse_foreign_cells(table: &Table, record: &Record, kind: RowKind, cells: &mut Cells<'_>) {
    let own = columns::of(kind);
    for column in table.filled(record) {
        if column != "kind" && column != NOTE && !own.contains(&column) {
            let message = format!("is not a column of kind {}", kind.as_str());
            cells.fault(column, message, "clear the cell, or correct the kind");
        }
    }
}

fn organisation(cells: &mut Cells<'_>) -> Option<Row> {
    let name = cells.text("organisation")?;
    let token_sha256 = cells.text("token_sha256").unwrap_or_default();
    Some(Row::Organisation(Organisation {
        name: name.into(),
        token_sha256: token_sha256.to_ascii_lowercase(),
        weight: cells.number_or("weight", DEFAULT_WEIGHT),
        limit_per_s: cells.number("limit_per_s"),
    }))
}

fn version(cells: &mut Cells<'_>) -> Option<Row> {
    let name = cells.text("version")?;
    Some(Row::Version(Version {
        name: name.into(),
        withdrawn: cells.flag_or_no("withdrawn"),
        prompt_price_micros: cells.number("prompt_price_micros"),
        completion_price_micros: cells.number("completion_price_micros"),
    }))
}

fn allowance(cells: &mut Cells<'_>) -> Option<Row> {
    let organisation = cells.text("organisation");
    let version = cells.text("version");
    let percent = cells.decimal("share_percent");
    Some(Row::Allowance(Allowance {
        organisation: organisation?.into(),
        version: version?.into(),
        share: Share { percent },
    }))
}

fn cascade(cells: &mut Cells<'_>) -> Option<Row> {
    let organisation = cells.text("organisation");
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

fn data_centre(cells: &mut Cells<'_>) -> Option<Row> {
    let name = cells.text("data_centre")?;
    let region = cells.text("region").unwrap_or_default();
    Some(Row::DataCentre(DataCentre {
        name: name.into(),
        region: region.into(),
        out: cells.flag_or_no("out"),
    }))
}

fn endpoint(cells: &mut Cells<'_>) -> Option<Row> {
    let name = cells.text("endpoint")?;
    let address = cells.text("address").unwrap_or_default();
    let data_centre = cells.text("data_centre").unwrap_or_default();
    let service = cells.text("service").unwrap_or_default();
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

fn service_call(cells: &mut Cells<'_>) -> Option<Row> {
    let service = cells.text("service");
    let method = cells.text("method");
    let path = cells.text("path");
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

fn planned_stop(cells: &mut Cells<'_>) -> Option<Row> {
    let target = stop_target(cells);
    let from_unix_ms = cells.time("starts_at");
    let until_unix_ms = cells.time("ends_at");
    Some(Row::PlannedStop(PlannedStop {
        target: target?,
        from_unix_ms: from_unix_ms?,
        until_unix_ms: until_unix_ms?,
    }))
}

fn stop_target(cells: &mut Cells<'_>) -> Option<StopTarget> {
    match (cells.optional("endpoint"), cells.optional("data_centre")) {
        (Some(name), None) => Some(StopTarget::Endpoint(EndpointName::from(name))),
        (None, Some(name)) => Some(StopTarget::DataCentre(DataCentreName::from(name))),
        (given, _) => {
            let message = match given {
                Some(_) => "and data_centre are both filled",
                None => "and data_centre are both empty",
            };
            cells.fault("endpoint", message, "fill one of the two");
            None
        }
    }
}

fn roll_out(cells: &mut Cells<'_>) -> Option<Row> {
    let from = cells.text("from_version");
    let to = cells.text("to_version");
    let percent = cells.decimal("share_percent");
    let state = cells.choice("state", &ROLL_OUT_STATES);
    Some(Row::RollOut(RollOut {
        from: from?.into(),
        to: to?.into(),
        share: Share { percent },
        state,
    }))
}
