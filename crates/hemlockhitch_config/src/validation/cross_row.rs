//! Checks of a row against the others.

use std::collections::BTreeMap;

use super::RowFault;
use super::index::Index;
use crate::configuration::{Allowance, Cascade, Endpoint, Organisation, Row, StopTarget};

/// How far the shares of a model may be from 100 percent, for rounded sheets.
const SHARE_TOLERANCE_PERCENT: f64 = 0.01;

pub(super) fn check(row: &Row, index: &Index<'_>, faults: &mut Vec<RowFault>) {
    match row {
        Row::Organisation(it) => organisation(row, it, index, faults),
        Row::Allowance(it) => {
            let organisation = it.organisation.as_str();
            exists(row, "organisation", organisation, index, faults);
            exists(row, "version", it.version.as_str(), index, faults);
        }
        Row::Cascade(it) => cascade(row, it, index, faults),
        Row::Endpoint(it) => endpoint(row, it, index, faults),
        Row::ServiceCall(it) => exists(row, "service", it.service.as_str(), index, faults),
        Row::PlannedStop(it) => match &it.target {
            StopTarget::Endpoint(name) => exists(row, "endpoint", name.as_str(), index, faults),
            StopTarget::DataCentre(name) => {
                exists(row, "data_centre", name.as_str(), index, faults);
            }
        },
        Row::RollOut(it) => {
            exists(row, "from_version", it.from.as_str(), index, faults);
            exists(row, "to_version", it.to.as_str(), index, faults);
        }
        Row::Version(_) | Row::DataCentre(_) => {}
    }
}

/// Checks that the shares of each organisation and model add up to 100.
pub(super) fn check_shares(rows: &[&Row], faults: &mut Vec<RowFault>) {
    let mut groups: BTreeMap<(String, String), Vec<(&Row, &Allowance)>> = BTreeMap::new();
    for row in rows {
        if let Row::Allowance(it) = row {
            let group = (it.organisation.to_string(), it.version.model().to_string());
            groups.entry(group).or_default().push((row, it));
        }
    }
    for ((organisation, model), members) in groups {
        let sum: f64 = members.iter().map(|(_, it)| it.share.percent).sum();
        let wrong = (sum - 100.0).abs() > SHARE_TOLERANCE_PERCENT;
        if !wrong {
            // A share that is not a number has a fault of its own.
            continue;
        }
        let message = format!("the shares of {organisation} on {model} add up to {sum}");
        let (row, _) = members[0];
        faults.push(RowFault::new(
            row,
            "share_percent",
            message,
            "make them add up to 100",
        ));
    }
}

fn organisation(row: &Row, it: &Organisation, index: &Index<'_>, faults: &mut Vec<RowFault>) {
    if index.tokens[it.token_sha256.as_str()] > 1 {
        let message = "is the token of another organisation too";
        let remedy = "give each organisation a token of its own";
        faults.push(RowFault::new(row, "token_sha256", message, remedy));
    }
}

fn cascade(row: &Row, it: &Cascade, index: &Index<'_>, faults: &mut Vec<RowFault>) {
    let organisation = it.organisation.as_str();
    exists(row, "organisation", organisation, index, faults);
    for model in &it.models {
        if !index.models.contains(model.as_str()) {
            let message = format!("no version of {model} is listed");
            let remedy = "add a row of kind version, or correct the name";
            faults.push(RowFault::new(row, "models", message, remedy));
        } else if !index
            .allowed_models
            .contains(&(organisation, model.to_string()))
        {
            let message = format!("{organisation} is allowed no version of {model}");
            let remedy = "add a row of kind allowance, or drop the model";
            faults.push(RowFault::new(row, "models", message, remedy));
        }
    }
}

fn endpoint(row: &Row, it: &Endpoint, index: &Index<'_>, faults: &mut Vec<RowFault>) {
    exists(row, "data_centre", it.data_centre.as_str(), index, faults);
    for version in &it.versions {
        exists(row, "versions", version.as_str(), index, faults);
    }
    if !it.address.is_empty() && index.addresses[it.address.as_str()] > 1 {
        let message = format!("{} is the address of another endpoint too", it.address);
        let remedy = "give each endpoint an address of its own";
        faults.push(RowFault::new(row, "address", message, remedy));
    }
}

/// Checks that a name which `column` holds is defined by some row.
fn exists(row: &Row, column: &str, name: &str, index: &Index<'_>, faults: &mut Vec<RowFault>) {
    let (kind, names) = match column {
        "organisation" => ("organisation", &index.organisations),
        "data_centre" => ("data_centre", &index.data_centres),
        "endpoint" => ("endpoint", &index.endpoints),
        "service" => ("endpoint", &index.services),
        _ => ("version", &index.versions),
    };
    if names.contains(name) {
        return;
    }
    let message = format!("{name:?} does not exist");
    let remedy = format!("add a row of kind {kind} for it, or correct the name");
    faults.push(RowFault::new(row, column, message, remedy));
}
