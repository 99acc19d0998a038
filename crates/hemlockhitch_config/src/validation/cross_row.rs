//! Validation of rows against each other.

use std::collections::BTreeMap;

use super::RowFault;
use super::index::Index;
use crate::configuration::{Allowance, Cascade, Endpoint, Organisation, Row, StopTarget};

/// Tolerated deviation of the sum of shares from 100 percent, as sheets contain rounded
/// values.
const SHARE_TOLERANCE_PERCENT: f64 = 0.01;

pub(super) fn check(row: &Row, index: &Index<'_>, faults: &mut Vec<RowFault>) {
    match row {
        Row::Organisation(organisation) => check_organisation(row, organisation, index, faults),
        Row::Allowance(allowance) => {
            let organisation = allowance.organisation.as_str();
            check_reference(row, "organisation", organisation, index, faults);
            check_reference(row, "version", allowance.version.as_str(), index, faults);
        }
        Row::Cascade(cascade) => check_cascade(row, cascade, index, faults),
        Row::Endpoint(endpoint) => check_endpoint(row, endpoint, index, faults),
        Row::ServiceCall(service_call) => {
            check_reference(row, "service", service_call.service.as_str(), index, faults);
        }
        Row::PlannedStop(planned_stop) => match &planned_stop.target {
            StopTarget::Endpoint(name) => {
                check_reference(row, "endpoint", name.as_str(), index, faults);
            }
            StopTarget::DataCentre(name) => {
                check_reference(row, "data_centre", name.as_str(), index, faults);
            }
        },
        Row::RollOut(roll_out) => {
            check_reference(row, "from_version", roll_out.from.as_str(), index, faults);
            check_reference(row, "to_version", roll_out.to.as_str(), index, faults);
        }
        Row::Version(_) | Row::DataCentre(_) => {}
    }
}

/// Checks that the shares per organisation and model add up to 100 percent.
pub(super) fn check_shares(rows: &[&Row], faults: &mut Vec<RowFault>) {
    let mut groups: BTreeMap<(String, String), Vec<(&Row, &Allowance)>> = BTreeMap::new();
    for row in rows {
        if let Row::Allowance(allowance) = row {
            let group = (
                allowance.organisation.to_string(),
                allowance.version.model().to_string(),
            );
            groups.entry(group).or_default().push((row, allowance));
        }
    }
    for ((organisation, model), members) in groups {
        let sum: f64 = members
            .iter()
            .map(|(_, allowance)| allowance.share.percent)
            .sum();
        let out_of_tolerance = (sum - 100.0).abs() > SHARE_TOLERANCE_PERCENT;
        if !out_of_tolerance {
            // A NaN sum ends up here too: the share that is not a number has its own fault.
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

fn check_organisation(
    row: &Row,
    organisation: &Organisation,
    index: &Index<'_>,
    faults: &mut Vec<RowFault>,
) {
    if index.token_counts[organisation.token_sha256.as_str()] > 1 {
        let message = "is the token of another organisation too";
        let remedy = "give each organisation a token of its own";
        faults.push(RowFault::new(row, "token_sha256", message, remedy));
    }
}

fn check_cascade(row: &Row, cascade: &Cascade, index: &Index<'_>, faults: &mut Vec<RowFault>) {
    let organisation = cascade.organisation.as_str();
    check_reference(row, "organisation", organisation, index, faults);
    for model in &cascade.models {
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

fn check_endpoint(row: &Row, endpoint: &Endpoint, index: &Index<'_>, faults: &mut Vec<RowFault>) {
    check_reference(
        row,
        "data_centre",
        endpoint.data_centre.as_str(),
        index,
        faults,
    );
    for version in &endpoint.versions {
        check_reference(row, "versions", version.as_str(), index, faults);
    }
    if !endpoint.address.is_empty() && index.address_counts[endpoint.address.as_str()] > 1 {
        let message = format!(
            "{} is the address of another endpoint too",
            endpoint.address
        );
        let remedy = "give each endpoint an address of its own";
        faults.push(RowFault::new(row, "address", message, remedy));
    }
}

/// Checks that a row defines the name to which `column` refers.
fn check_reference(
    row: &Row,
    column: &str,
    name: &str,
    index: &Index<'_>,
    faults: &mut Vec<RowFault>,
) {
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
