//! Shares of services by organisation at this node.

use std::collections::HashMap;

use hemlockhitch_model::{Clock, EndpointKey, Now, OrganisationName, ServiceName, hash_bytes};
use hemlockhitch_routing::shares::{
    Arrival, Decision, DemandReport, FleetSize, OrganisationShare, Shares, SlotWaiters,
    organisation_hash,
};
use tokio::sync::oneshot;

use super::NodeContext;
use crate::dialect::Dialect;
use crate::peer::{demand_from_wire, demand_to_wire};
use crate::wire;

/// Time between two demand reports to the node that this one follows, in milliseconds. Two
/// services with 16 organisations each then cost a node with 34 followers 11 KB per second.
const REPORT_INTERVAL_MS: u64 = 1_000;

/// Age up to which a lack of room makes requests wait for a slot, in milliseconds. A small
/// node sees a few requests in that time.
const RECENT_MS: u64 = 1_000;

/// The requests that wait for a slot of a service; each is told the endpoint that has one.
type Waiters = SlotWaiters<oneshot::Sender<EndpointKey>>;

/// A service at this node.
#[derive(Debug)]
struct ServiceState {
    name: ServiceName,
    waiters: Waiters,
    crowded_mono_ms: Option<u64>,
}

/// Shares of services by organisation, with the names for logs and metrics.
#[derive(Debug)]
pub(crate) struct FairShares {
    shares: Shares,
    services: HashMap<u64, ServiceState>,
    organisations: HashMap<u32, Option<OrganisationName>>,
    reported_mono_ms: Option<u64>,
}

impl FairShares {
    pub(crate) fn new(own_node_hash: u64) -> Self {
        Self {
            shares: Shares::new(own_node_hash),
            services: HashMap::new(),
            organisations: HashMap::new(),
            reported_mono_ms: None,
        }
    }

    /// Decides about a request.
    pub(crate) fn decide(
        &mut self,
        arrival: &Arrival,
        service: &ServiceName,
        organisation: Option<&OrganisationName>,
        fleet: FleetSize,
        now: Now,
    ) -> Decision {
        self.service(service);
        let names = self.organisations.entry(arrival.organisation);
        names.or_insert_with(|| organisation.cloned());
        self.shares.decide(arrival, fleet, fastrand::f64(), now)
    }

    pub(crate) fn record_served(
        &mut self,
        service: &ServiceName,
        organisation: Option<&OrganisationName>,
        now: Now,
    ) {
        let organisation = organisation_hash(organisation.map(OrganisationName::as_str));
        let service_hash = hash_bytes(service.as_str());
        self.shares.record_served(service_hash, organisation, now);
    }

    /// Records that an admitted request found no room at the endpoints it tried.
    pub(crate) fn record_crowded(&mut self, service: &ServiceName, now: Now) {
        self.service(service).crowded_mono_ms = Some(now.mono_ms);
        let service_hash = hash_bytes(service.as_str());
        self.shares.record_crowded(service_hash, now);
    }

    /// Returns whether a request found no room at the endpoints of a service just now.
    pub(crate) fn is_crowded(&self, service: &ServiceName, now: Now) -> bool {
        let state = self.services.get(&hash_bytes(service.as_str()));
        let at = state.and_then(|state| state.crowded_mono_ms);
        at.is_some_and(|at| now.mono_ms <= at + RECENT_MS)
    }

    pub(crate) fn waiters(&mut self, service: &ServiceName) -> &mut Waiters {
        &mut self.service(service).waiters
    }

    /// Records that a slot was released, and notifies the first waiting request.
    pub(crate) fn hand_over(
        &mut self,
        service: &ServiceName,
        endpoint: EndpointKey,
        held_ms: u64,
        has_own_part: bool,
    ) {
        let service_hash = hash_bytes(service.as_str());
        self.shares.record_held(service_hash, held_ms);
        let Some(state) = self.services.get_mut(&service_hash) else {
            return;
        };
        state.waiters.record_held(held_ms);
        while let Some(waiter) = state.waiters.pop_first(has_own_part) {
            // A request that has ended meanwhile takes nothing.
            if waiter.send(endpoint).is_ok() {
                return;
            }
        }
    }

    /// Returns what organisations get, by the names of service and organisation.
    pub(crate) fn overview(
        &mut self,
        now: Now,
    ) -> Vec<(ServiceName, Option<OrganisationName>, OrganisationShare)> {
        let known = self.shares.overview(now);
        let named = known.filter_map(|(service, share)| {
            let service = self.services.get(&service)?.name.clone();
            let organisation = self.organisations.get(&share.organisation)?.clone();
            Some((service, organisation, share))
        });
        named.collect()
    }

    fn service(&mut self, service: &ServiceName) -> &mut ServiceState {
        let state = self.services.entry(hash_bytes(service.as_str()));
        state.or_insert_with(|| ServiceState {
            name: service.clone(),
            waiters: Waiters::default(),
            crowded_mono_ms: None,
        })
    }
}

impl<D: Dialect, C: Clock> NodeContext<D, C> {
    /// Returns this node's demand report, if it is time for one.
    pub(crate) fn due_demand_report(&self) -> Option<wire::DemandReport> {
        if !self.settings().shares {
            return None;
        }
        let now = self.now();
        let mut state = self.state();
        let fair_shares = &mut state.fair_shares;
        let reported = fair_shares.reported_mono_ms;
        if reported.is_some_and(|at| now.mono_ms < at + REPORT_INTERVAL_MS) {
            return None;
        }
        fair_shares.reported_mono_ms = Some(now.mono_ms);
        Some(demand_to_wire(&fair_shares.shares.report(now)))
    }

    /// Records the demand that a follower reports, and returns that of other nodes.
    pub(crate) fn answer_demand(&self, report: DemandReport) -> Vec<wire::DemandReport> {
        if !self.settings().shares {
            return Vec::new();
        }
        let now = self.now();
        let mut state = self.state();
        let shares = &mut state.fair_shares.shares;
        let reply = shares.reply(&report, now);
        shares.record_report(report, now);
        reply.iter().map(demand_to_wire).collect()
    }

    /// Records the demand of other nodes.
    pub(crate) fn record_demand(&self, reports: Vec<wire::DemandReport>) {
        let now = self.now();
        let mut state = self.state();
        for report in reports.into_iter().filter_map(demand_from_wire) {
            state.fair_shares.shares.record_report(report, now);
        }
    }
}
