//! Demand reports on the wire.

use std::collections::BTreeMap;

use hemlockhitch_routing::shares::{Demand, DemandReport, Scope, ServiceDemand};

use crate::wire;

/// Rates are sent in hundredths, so that most of them take two bytes.
const UNITS_PER_REQUEST: f64 = 100.0;

/// Encodes a report.
pub(crate) fn demand_to_wire(report: &DemandReport) -> wire::DemandReport {
    let services = report.services.iter();
    let services = services.map(|(service, demand)| service_to_wire(*service, demand));
    let scope = match report.scope {
        Scope::Node => wire::demand_report::Scope::Node,
        Scope::Followers => wire::demand_report::Scope::Followers,
        Scope::All => wire::demand_report::Scope::All,
    };
    wire::DemandReport {
        origin: report.origin,
        scope: scope.into(),
        age_ms: saturating_u32(report.age_ms),
        services: services.collect(),
    }
}

/// Decodes a report; `None` if a later build sent it with a scope that this one does not
/// know.
pub(crate) fn demand_from_wire(report: wire::DemandReport) -> Option<DemandReport> {
    let scope = match wire::demand_report::Scope::try_from(report.scope).ok()? {
        wire::demand_report::Scope::Node => Scope::Node,
        wire::demand_report::Scope::Followers => Scope::Followers,
        wire::demand_report::Scope::All => Scope::All,
    };
    let services = report.services.into_iter();
    let services = services.map(|demand| (demand.service_hash, service_from_wire(&demand)));
    Some(DemandReport {
        origin: report.origin,
        scope,
        age_ms: report.age_ms.into(),
        services: services.collect(),
    })
}

fn service_to_wire(service_hash: u64, demand: &ServiceDemand) -> wire::ServiceDemand {
    let known = demand.organisations.values();
    let (arrivals, served) = known.map(rates_to_wire).unzip();
    let (rest_arrivals, rest_served) = rates_to_wire(&demand.rest);
    wire::ServiceDemand {
        service_hash,
        organisations: demand.organisations.keys().copied().collect(),
        arrivals,
        served,
        rest_arrivals,
        rest_served,
        rest_count: demand.rest_count,
        crowded: units(demand.crowded_per_s),
    }
}

fn service_from_wire(demand: &wire::ServiceDemand) -> ServiceDemand {
    let rates = demand.arrivals.iter().zip(&demand.served);
    let rates = rates.map(|(arrivals, served)| rates_from_wire(*arrivals, *served));
    let organisations: BTreeMap<u32, Demand> =
        demand.organisations.iter().copied().zip(rates).collect();
    ServiceDemand {
        organisations,
        rest: rates_from_wire(demand.rest_arrivals, demand.rest_served),
        rest_count: demand.rest_count,
        crowded_per_s: f64::from(demand.crowded) / UNITS_PER_REQUEST,
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn units(per_s: f64) -> u32 {
    (per_s * UNITS_PER_REQUEST).round() as u32
}

fn rates_to_wire(demand: &Demand) -> (u32, u32) {
    (units(demand.arrivals_per_s), units(demand.served_per_s))
}

fn rates_from_wire(arrivals: u32, served: u32) -> Demand {
    Demand {
        arrivals_per_s: f64::from(arrivals) / UNITS_PER_REQUEST,
        served_per_s: f64::from(served) / UNITS_PER_REQUEST,
    }
}

fn saturating_u32(value: u64) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}
