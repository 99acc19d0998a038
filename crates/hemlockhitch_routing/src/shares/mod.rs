//! Fair shares of a service by organisation, over all nodes.
//!
//! It is made for organisations that together send more than the endpoints of a service
//! can run, at many nodes. Each node decides at once about its own requests, from its own
//! counters and from what the others report: the capacity is divided max-min fairly by
//! organisation, and a node admits its part of an organisation's share in proportion to
//! its part of the organisation's demand. The capacity is the rate that all nodes serve,
//! and more the fewer of the admitted requests find no room. While nearly all find room,
//! nothing is limited.

mod bucket;
mod exchange;
mod max_min;
mod rate;
mod repeats;
mod service;
mod waiters;

pub use exchange::{DEMAND_TTL_MS, Demand, DemandByService, DemandReport, Scope, ServiceDemand};
pub use max_min::max_min_level;
pub use waiters::{SlotWaiters, WaitKey};

use std::collections::HashMap;

use hemlockhitch_model::{Now, hash_bytes};

use exchange::DemandTable;
use service::{Others, ServiceShares};

/// A request that arrives at a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Hash of the service's name.
    pub service: u64,
    /// Hash of the organisation's name, by [`organisation_hash`].
    pub organisation: u32,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Hash of whatever identifies the request if it returns; `None` if nothing does.
    pub request_key: Option<u64>,
}

/// How many nodes and endpoints there are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetSize {
    /// Number of nodes that may be running, including this one.
    pub nodes: usize,
    /// Requests that the endpoints of the service can run at the same time.
    pub slots: u32,
}

/// How an admitted request's organisation stands; the first goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// The organisation asks for no more than its share.
    WithinShare,
    /// The organisation is limited to its share.
    Limited,
}

/// The decision about a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// It may run.
    Admit(Standing),
    /// It does not run.
    Refuse {
        /// Time after which it is to return, in milliseconds.
        retry_after_ms: u64,
    },
}

/// What an organisation gets of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OrganisationShare {
    /// Hash of the organisation's name.
    pub organisation: u32,
    /// Requests per second that arrive at all nodes.
    pub demand_per_s: f64,
    /// Requests per second that it may have served by all nodes.
    pub share_per_s: f64,
    /// Requests per second that this node serves.
    pub own_served_per_s: f64,
    /// Requests that this node refused since the last overview.
    pub own_refused: u64,
}

/// Returns the hash by which nodes name an organisation; 0 for requests without one.
#[must_use]
pub fn organisation_hash(name: Option<&str>) -> u32 {
    #[allow(clippy::cast_possible_truncation)]
    let hash = name.map_or(0, hash_bytes) as u32;
    hash
}

/// Shares of all services at one node.
#[derive(Clone, Debug)]
pub struct Shares {
    own_node_hash: u64,
    services: HashMap<u64, ServiceShares>,
    table: DemandTable,
}

impl Shares {
    /// Creates the shares of a node that knows no demand.
    #[must_use]
    pub fn new(own_node_hash: u64) -> Self {
        Self {
            own_node_hash,
            services: HashMap::new(),
            table: DemandTable::default(),
        }
    }

    /// Decides about a request. `draw` is a random number from 0 to 1 for the jitter of
    /// Retry-After.
    pub fn decide(&mut self, arrival: &Arrival, fleet: FleetSize, draw: f64, now: Now) -> Decision {
        let service = self.services.entry(arrival.service).or_default();
        if service.needs_division(now) {
            self.table.evict(now);
            let others = Others {
                demand: self.table.sum_of(arrival.service),
                are_known: !self.table.is_empty(),
                fleet,
            };
            service.divide(others, now);
        }
        service.decide(arrival, draw, now)
    }

    /// Records that a request was served.
    pub fn record_served(&mut self, service: u64, organisation: u32, now: Now) {
        let service = self.services.entry(service).or_default();
        service.record_served(organisation, now);
    }

    /// Records how long a served request held its slot, in milliseconds.
    pub fn record_held(&mut self, service: u64, held_ms: u64) {
        let service = self.services.entry(service).or_default();
        service.record_held(held_ms);
    }

    /// Records that an admitted request found no room at the endpoints it tried.
    pub fn record_crowded(&mut self, service: u64, now: Now) {
        self.services
            .entry(service)
            .or_default()
            .record_crowded(now);
    }

    /// Returns what this node reports to the node that it follows.
    pub fn report(&mut self, now: Now) -> DemandReport {
        let own = self.own_demand(now);
        self.table.evict(now);
        self.table.own_report(self.own_node_hash, own)
    }

    /// Returns what this node replies to a follower that sent `report`.
    pub fn reply(&mut self, report: &DemandReport, now: Now) -> Vec<DemandReport> {
        let own = self.own_demand(now);
        self.table.evict(now);
        let follower = (report.origin, report.scope);
        self.table.reply(self.own_node_hash, own, follower, now)
    }

    /// Records what another node reports.
    pub fn record_report(&mut self, report: DemandReport, now: Now) {
        if report.origin != self.own_node_hash {
            self.table.record(report, now);
        }
    }

    /// Iterates over the organisations that send requests to this node, by the hash of the
    /// service.
    pub fn overview(&mut self, now: Now) -> impl Iterator<Item = (u64, OrganisationShare)> {
        let services = self.services.iter_mut();
        services
            .flat_map(move |(hash, service)| service.overview(now).map(move |share| (*hash, share)))
    }

    fn own_demand(&mut self, now: Now) -> DemandByService {
        self.services.retain(|_, service| service.evict(now));
        let services = self.services.iter();
        services
            .filter(|(_, service)| service.has_learned(now))
            .map(|(hash, service)| (*hash, service.own_demand(now)))
            .collect()
    }
}
