//! Validation of individual rows.

use std::net::SocketAddr;

use super::RowFault;
use crate::configuration::{
    Cascade, Endpoint, Organisation, PlannedStop, RollOut, Row, ServiceCall, Share, Version,
};
use crate::digest::is_sha256_hex;

/// HTTP methods allowed for service calls.
const HTTP_METHODS: [&str; 5] = ["DELETE", "GET", "PATCH", "POST", "PUT"];

pub(super) fn check(row: &Row, faults: &mut Vec<RowFault>) {
    check_names(row, faults);
    match row {
        Row::Organisation(organisation) => check_organisation(row, organisation, faults),
        Row::Version(version) => check_version(row, version, faults),
        Row::Allowance(allowance) => check_share(row, allowance.share, faults),
        Row::Cascade(cascade) => check_cascade(row, cascade, faults),
        Row::DataCentre(_) => {}
        Row::Endpoint(endpoint) => check_endpoint(row, endpoint, faults),
        Row::ServiceCall(service_call) => check_service_call(row, service_call, faults),
        Row::PlannedStop(planned_stop) => check_planned_stop(row, planned_stop, faults),
        Row::RollOut(roll_out) => check_roll_out(row, roll_out, faults),
    }
}

/// Checks the names that the row defines.
fn check_names(row: &Row, faults: &mut Vec<RowFault>) {
    let names = match row {
        Row::Organisation(organisation) => vec![("organisation", organisation.name.as_str())],
        Row::Version(version) => vec![("version", version.name.as_str())],
        Row::DataCentre(data_centre) => vec![
            ("data_centre", data_centre.name.as_str()),
            ("region", data_centre.region.as_str()),
        ],
        Row::Endpoint(endpoint) => vec![
            ("endpoint", endpoint.name.as_str()),
            ("service", endpoint.service.as_str()),
        ],
        // The other kinds only refer to names, which must be defined by rows of the kinds
        // above.
        _ => Vec::new(),
    };
    for (column, name) in names {
        if name.is_empty() || !name.chars().all(is_name_char) {
            let message = format!("{name:?} is not a name");
            let remedy = "use letters, digits, '-', '_', '.' and '@'";
            faults.push(RowFault::new(row, column, message, remedy));
        }
    }
}

fn is_name_char(c: char) -> bool {
    c.is_alphanumeric() || matches!(c, '-' | '_' | '.' | '@')
}

fn check_organisation(row: &Row, organisation: &Organisation, faults: &mut Vec<RowFault>) {
    if !is_sha256_hex(&organisation.token_sha256) {
        let message = "is not a SHA-256 hash";
        let remedy = "give the hash of the token in 64 lower-case hexadecimal digits";
        faults.push(RowFault::new(row, "token_sha256", message, remedy));
    }
    check_at_least_one(row, "weight", organisation.weight, faults);
    check_at_least_one(row, "limit_per_s", organisation.limit_per_s, faults);
}

fn check_at_least_one(row: &Row, column: &str, value: u32, faults: &mut Vec<RowFault>) {
    if value == 0 {
        faults.push(RowFault::new(row, column, "is 0", "use 1 or more"));
    }
}

fn check_version(row: &Row, version: &Version, faults: &mut Vec<RowFault>) {
    let parts = version.name.as_str().split_once('@');
    if !parts.is_some_and(|(model, label)| !model.is_empty() && !label.is_empty()) {
        let message = format!("{:?} is not a version", version.name.as_str());
        faults.push(RowFault::new(
            row,
            "version",
            message,
            "write model@version",
        ));
    }
}

fn check_share(row: &Row, share: Share, faults: &mut Vec<RowFault>) {
    if !(0.0..=100.0).contains(&share.percent) {
        let message = format!("{} is not a percentage", share.percent);
        faults.push(RowFault::new(row, "share_percent", message, "use 0 to 100"));
    }
}

fn check_cascade(row: &Row, cascade: &Cascade, faults: &mut Vec<RowFault>) {
    if cascade.models.is_empty() {
        let remedy = "list the models, cheapest first";
        faults.push(RowFault::new(row, "models", "is empty", remedy));
    }
    let duplicate = cascade
        .models
        .iter()
        .enumerate()
        .find(|(index, model)| cascade.models[..*index].contains(model));
    if let Some((_, model)) = duplicate {
        let message = format!("names {model} twice");
        faults.push(RowFault::new(
            row,
            "models",
            message,
            "name each model once",
        ));
    }
    if !(0.0..=1.0).contains(&cascade.quality_target_ratio) {
        let message = format!("{} is not a ratio", cascade.quality_target_ratio);
        faults.push(RowFault::new(
            row,
            "quality_target_ratio",
            message,
            "use 0 to 1",
        ));
    }
}

fn check_endpoint(row: &Row, endpoint: &Endpoint, faults: &mut Vec<RowFault>) {
    let address = endpoint.address.parse::<SocketAddr>();
    if !address.is_ok_and(|address| address.port() != 0) {
        let message = format!("{:?} is not an address", endpoint.address);
        let remedy = "write an IP number and a port, such as 10.0.0.5:8080";
        faults.push(RowFault::new(row, "address", message, remedy));
    }
    check_at_least_one(row, "cold_limit", endpoint.cold_limit, faults);
    if endpoint.warm_limit < endpoint.cold_limit {
        let message = format!("{} is less than cold_limit", endpoint.warm_limit);
        let remedy = format!("use {} or more", endpoint.cold_limit);
        faults.push(RowFault::new(row, "warm_limit", message, remedy));
    }
}

fn check_service_call(row: &Row, service_call: &ServiceCall, faults: &mut Vec<RowFault>) {
    if !HTTP_METHODS.contains(&service_call.method.as_str()) {
        let message = format!("{:?} is not a method", service_call.method);
        let remedy = format!("use one of {}", HTTP_METHODS.join(", "));
        faults.push(RowFault::new(row, "method", message, remedy));
    }
    if !service_call.path.starts_with('/') {
        let message = format!("{:?} is not a path", service_call.path);
        faults.push(RowFault::new(row, "path", message, "start it with /"));
    }
}

fn check_planned_stop(row: &Row, planned_stop: &PlannedStop, faults: &mut Vec<RowFault>) {
    if planned_stop.until_unix_ms <= planned_stop.from_unix_ms {
        let message = "is not after the start";
        let remedy = "give an end later than starts_at";
        faults.push(RowFault::new(row, "ends_at", message, remedy));
    }
}

fn check_roll_out(row: &Row, roll_out: &RollOut, faults: &mut Vec<RowFault>) {
    check_share(row, roll_out.share, faults);
    if roll_out.from == roll_out.to {
        let remedy = "name two versions of one model";
        faults.push(RowFault::new(
            row,
            "to_version",
            "is the version that goes",
            remedy,
        ));
    } else if roll_out.from.model() != roll_out.to.model() {
        let message = format!(
            "{} is not a version of {}",
            roll_out.to,
            roll_out.from.model()
        );
        let remedy = "name two versions of one model";
        faults.push(RowFault::new(row, "to_version", message, remedy));
    }
}
