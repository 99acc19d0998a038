//! What nodes tell each other about demand.
//!
//! A node that nobody follows reports its own demand. A node with followers adds theirs to
//! its own and reports the sum under its own name; sums of others are kept apart by origin
//! and never added to it. So each node is part of one sum, on whatever paths the sums
//! arrive, also if nodes follow each other in a circle.

use std::collections::{BTreeMap, HashMap};

use hemlockhitch_model::Now;

/// Age from which reported demand does not count, in milliseconds: several calls of the
/// reporting node, and the time for which a node that is cut off relies on what it knew.
pub const DEMAND_TTL_MS: u64 = 3_000;

/// Number of organisations of a service that are reported by themselves.
const MAX_ORGANISATIONS: usize = 16;

/// Rates of one organisation or of several, in requests per second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Requests that arrive.
    pub arrivals_per_s: f64,
    /// Requests that are served.
    pub served_per_s: f64,
}

impl Demand {
    pub(super) fn add(&mut self, other: Self) {
        self.arrivals_per_s += other.arrivals_per_s;
        self.served_per_s += other.served_per_s;
    }
}

/// Demand for one service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceDemand {
    /// Demand by the hash of the organisation.
    pub organisations: BTreeMap<u32, Demand>,
    /// Sum of the organisations that are not listed.
    pub rest: Demand,
    /// Number of organisations that are not listed.
    pub rest_count: u32,
    /// Admitted requests per second that found no room at the endpoints they tried.
    pub crowded_per_s: f64,
}

impl ServiceDemand {
    pub(super) fn add(&mut self, other: &Self) {
        for (organisation, demand) in &other.organisations {
            let sum = self.organisations.entry(*organisation).or_default();
            sum.add(*demand);
        }
        self.rest.add(other.rest);
        self.rest_count = self.rest_count.max(other.rest_count);
        self.crowded_per_s += other.crowded_per_s;
    }

    /// Returns the requests per second that are served.
    pub(super) fn served_per_s(&self) -> f64 {
        let listed = self.organisations.values();
        let listed: f64 = listed.map(|demand| demand.served_per_s).sum();
        listed + self.rest.served_per_s
    }

    /// Moves all but the largest organisations to the rest.
    fn shorten(&mut self) {
        if self.organisations.len() <= MAX_ORGANISATIONS {
            return;
        }
        let mut by_size: Vec<(u32, Demand)> = std::mem::take(&mut self.organisations)
            .into_iter()
            .collect();
        by_size.sort_by(|(_, one), (_, other)| other.arrivals_per_s.total_cmp(&one.arrivals_per_s));
        for (_, demand) in by_size.drain(MAX_ORGANISATIONS..) {
            self.rest.add(demand);
            self.rest_count += 1;
        }
        self.organisations = by_size.into_iter().collect();
    }
}

/// Demand by the hash of the service.
pub type DemandByService = HashMap<u64, ServiceDemand>;

/// Whose demand a report holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// The origin alone.
    Node,
    /// The origin and the nodes that follow it.
    Followers,
    /// All nodes but the one that it is sent to, which does not pass it on.
    All,
}

/// Demand that a node reports.
#[derive(Clone, Debug, PartialEq)]
pub struct DemandReport {
    /// Hash of the name of the node that measured or summed it.
    pub origin: u64,
    /// Whose demand it is.
    pub scope: Scope,
    /// Age of the report, in milliseconds.
    pub age_ms: u64,
    /// The demand.
    pub services: DemandByService,
}

#[derive(Clone, Debug)]
struct Known {
    scope: Scope,
    measured_mono_ms: u64,
    services: DemandByService,
}

/// The latest report of each origin.
#[derive(Clone, Debug, Default)]
pub(super) struct DemandTable {
    by_origin: HashMap<u64, Known>,
}

impl DemandTable {
    /// Keeps a report, unless a more recent one of its origin is known.
    pub(super) fn record(&mut self, report: DemandReport, now: Now) {
        let measured_mono_ms = now.mono_ms.saturating_sub(report.age_ms);
        if report.age_ms > DEMAND_TTL_MS {
            return;
        }
        match report.scope {
            // It holds what every origin but this node's followers reported.
            Scope::All => self.by_origin.retain(|_, known| known.scope == Scope::Node),
            Scope::Followers => self.by_origin.retain(|_, known| known.scope != Scope::All),
            Scope::Node => {}
        }
        let known = self.by_origin.get(&report.origin);
        if known.is_some_and(|known| known.measured_mono_ms > measured_mono_ms) {
            return;
        }
        let known = Known {
            scope: report.scope,
            measured_mono_ms,
            services: report.services,
        };
        self.by_origin.insert(report.origin, known);
    }

    pub(super) fn evict(&mut self, now: Now) {
        self.by_origin
            .retain(|_, known| now.mono_ms <= known.measured_mono_ms + DEMAND_TTL_MS);
    }

    /// Returns whether another node was heard recently.
    pub(super) fn is_empty(&self) -> bool {
        self.by_origin.is_empty()
    }

    fn has_followers(&self) -> bool {
        let mut known = self.by_origin.values();
        known.any(|known| known.scope == Scope::Node)
    }

    /// Adds the demand of the origins that a filter allows.
    fn add_to(&self, sum: &mut DemandByService, is_added: impl Fn(u64, Scope) -> bool) {
        for (origin, known) in &self.by_origin {
            if !is_added(*origin, known.scope) {
                continue;
            }
            for (service, demand) in &known.services {
                sum.entry(*service).or_default().add(demand);
            }
        }
    }

    /// Returns the demand for one service at all known origins.
    pub(super) fn sum_of(&self, service: u64) -> ServiceDemand {
        let mut sum = ServiceDemand::default();
        for known in self.by_origin.values() {
            if let Some(demand) = known.services.get(&service) {
                sum.add(demand);
            }
        }
        sum
    }

    /// Returns what a node reports about itself and its followers to the node it follows.
    pub(super) fn own_report(&self, origin: u64, own: DemandByService) -> DemandReport {
        let mut services = own;
        let scope = if self.has_followers() {
            self.add_to(&mut services, |_, scope| scope == Scope::Node);
            Scope::Followers
        } else {
            Scope::Node
        };
        shortened(DemandReport {
            origin,
            scope,
            age_ms: 0,
            services,
        })
    }

    /// Returns what a node replies to a follower that reported `scope`: to one without
    /// followers the sum of all others, to another each sum with its origin and age.
    pub(super) fn reply(
        &self,
        origin: u64,
        own: DemandByService,
        follower: (u64, Scope),
        now: Now,
    ) -> Vec<DemandReport> {
        let (follower, scope) = follower;
        let mut services = own;
        if scope == Scope::Node {
            self.add_to(&mut services, |other, _| other != follower);
            return vec![shortened(DemandReport {
                origin,
                scope: Scope::All,
                age_ms: 0,
                services,
            })];
        }
        let is_added = |other, scope| scope == Scope::Node && other != follower;
        self.add_to(&mut services, is_added);
        let own = shortened(DemandReport {
            origin,
            scope: Scope::Followers,
            age_ms: 0,
            services,
        });
        let others = self.by_origin.iter();
        let others =
            others.filter(|(other, known)| **other != follower && known.scope == Scope::Followers);
        let others = others.map(|(other, known)| DemandReport {
            origin: *other,
            scope: known.scope,
            age_ms: now.mono_ms.saturating_sub(known.measured_mono_ms),
            services: known.services.clone(),
        });
        std::iter::once(own).chain(others).collect()
    }
}

fn shortened(mut report: DemandReport) -> DemandReport {
    for demand in report.services.values_mut() {
        demand.shorten();
    }
    report
}
