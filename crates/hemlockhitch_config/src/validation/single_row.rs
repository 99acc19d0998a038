//! Checks of one row by itself.

use std::net::SocketAddr;

use super::RowFault;
use crate::configuration::{
    Cascade, Endpoint, Organisation, PlannedStop, RollOut, Row, ServiceCall, Share, Version,
};
use crate::digest::is_sha256;

/// The methods that a service call may have.
const METHODS: [&str; 5] = ["DELETE", "GET", "PATCH", "POST", "PUT"];

pub(super) fn check(row: &Row, faults: &mut Vec<RowFault>) {
    names(row, faults);
    match row {
        Row::Organisation(it) => organisation(row, it, faults),
        Row::Version(it) => version(row, it, faults),
        Row::Allowance(it) => share(row, it.share, faults),
        Row::Cascade(it) => cascade(row, it, faults),
        Row::DataCentre(_) => {}
        Row::Endpoint(it) => endpoint(row, it, faults),
        Row::ServiceCall(it) => service_call(row, it, faults),
        Row::PlannedStop(it) => planned_stop(row, it, faults),
        Row::RollOut(it) => roll_out(row, it, faults),
    }
}

/// Checks the names that form the row's key.
fn names(row: &Row, faults: &mut Vec<RowFault>) {
    let names = match row {
        Row::Organisation(it) => vec![("organisation", it.name.as_str())],
        Row::Version(it) => vec![("version", it.name.as_str())],
        Row::DataCentre(it) => vec![
            ("data_centre", it.name.as_str()),
            ("region", it.region.as_str()),
        ],
        Row::Endpoint(it) => vec![
            ("endpoint", it.name.as_str()),
            ("service", it.service.as_str()),
        ],
        // The names of the other kinds must exist in rows of the kinds above.
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

fn organisation(row: &Row, it: &Organisation, faults: &mut Vec<RowFault>) {
    if !is_sha256(&it.token_sha256) {
        let message = "is not a SHA-256 hash";
        let remedy = "give the hash of the token in 64 lower-case hexadecimal digits";
        faults.push(RowFault::new(row, "token_sha256", message, remedy));
    }
    at_least_one(row, "weight", it.weight, faults);
    at_least_one(row, "limit_per_s", it.limit_per_s, faults);
}

fn at_least_one(row: &Row, column: &str, value: u32, faults: &mut Vec<RowFault>) {
    if value == 0 {
        faults.push(RowFault::new(row, column, "is 0", "use 1 or more"));
    }
}

fn version(row: &Row, it: &Version, faults: &mut Vec<RowFault>) {
    let halves = it.name.as_str().split_once('@');
    if !halves.is_some_and(|(model, label)| !model.is_empty() && !label.is_empty()) {
        let message = format!("{:?} is not a version", it.name.as_str());
        faults.push(RowFault::new(
            row,
            "version",
            message,
            "write model@version",
        ));
    }
}

fn share(row: &Row, share: Share, faults: &mut Vec<RowFault>) {
    if !(0.0..=100.0).contains(&share.percent) {
        let message = format!("{} is not a percentage", share.percent);
        faults.push(RowFault::new(row, "share_percent", message, "use 0 to 100"));
    }
}

fn cascade(row: &Row, it: &Cascade, faults: &mut Vec<RowFault>) {
    if it.models.is_empty() {
        let remedy = "list the models, cheapest first";
        faults.push(RowFault::new(row, "models", "is empty", remedy));
    }
    let repeated = it
        .models
        .iter()
        .enumerate()
        .find(|(index, model)| it.models[..*index].contains(model));
    if let Some((_, model)) = repeated {
        let message = format!("names {model} twice");
        faults.push(RowFault::new(
            row,
            "models",
            message,
            "name each model once",
        ));
    }
    if !(0.0..=1.0).contains(&it.quality_target_ratio) {
        let message = format!("{} is not a ratio", it.quality_target_ratio);
        faults.push(RowFault::new(
            row,
            "quality_target_ratio",
            message,
            "use 0 to 1",
        ));
    }
}

fn endpoint(row: &Row, it: &Endpoint, faults: &mut Vec<RowFault>) {
    let address = it.address.parse::<SocketAddr>();
    if !address.is_ok_and(|address| address.port() != 0) {
        let message = format!("{:?} is not an address", it.address);
        let remedy = "write an IP number and a port, such as 10.0.0.5:8080";
        faults.push(RowFault::new(row, "address", message, remedy));
    }
    at_least_one(row, "cold_limit", it.cold_limit, faults);
    if it.warm_limit < it.cold_limit {
        let message = format!("{} is less than cold_limit", it.warm_limit);
        let remedy = format!("use {} or more", it.cold_limit);
        faults.push(RowFault::new(row, "warm_limit", message, remedy));
    }
}

fn service_call(row: &Row, it: &ServiceCall, faults: &mut Vec<RowFault>) {
    if !METHODS.contains(&it.method.as_str()) {
        let message = format!("{:?} is not a method", it.method);
        let remedy = format!("use one of {}", METHODS.join(", "));
        faults.push(RowFault::new(row, "method", message, remedy));
    }
    if !it.path.starts_with('/') {
        let message = format!("{:?} is not a path", it.path);
        faults.push(RowFault::new(row, "path", message, "start it with /"));
    }
}

fn planned_stop(row: &Row, it: &PlannedStop, faults: &mut Vec<RowFault>) {
    if it.until_unix_ms <= it.from_unix_ms {
        let message = "is not after the start";
        let remedy = "give an end later than starts_at";
        faults.push(RowFault::new(row, "ends_at", message, remedy));
    }
}

fn roll_out(row: &Row, it: &RollOut, faults: &mut Vec<RowFault>) {
    share(row, it.share, faults);
    if it.from == it.to {
        let remedy = "name two versions of one model";
        faults.push(RowFault::new(
            row,
            "to_version",
            "is the version that goes",
            remedy,
        ));
    } else if it.from.model() != it.to.model() {
        let message = format!("{} is not a version of {}", it.to, it.from.model());
        let remedy = "name two versions of one model";
        faults.push(RowFault::new(row, "to_version", message, remedy));
    }
}
