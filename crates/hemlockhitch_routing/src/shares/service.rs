//! Demand for one service at one node, and the shares that follow from it.

use std::collections::HashMap;

use hemlockhitch_model::Now;

use super::bucket::{Rank, ShareBucket};
use super::exchange::{Demand, ServiceDemand};
use super::max_min::max_min_level;
use super::rate::{DecayedRate, as_f64};
use super::repeats::Refusals;
use super::{Arrival, Decision, FleetSize, OrganisationShare, Standing};

/// Capacity that is divided in excess of the rate served, as a ratio, at any load. As long
/// as more is served than before, the capacity rises; what does not fit finds no room, at
/// the expense of limited organisations.
const MIN_PROBE_RATIO: f64 = 0.05;

/// The same while hardly a request finds no room; between the two it falls with their
/// part.
const MAX_PROBE_RATIO: f64 = 0.5;

/// Part of the admitted requests that find no room at which the smallest excess is used.
/// Endpoints whose slots are nearly all taken refuse about as many.
const CROWDED_RATIO: f64 = 0.5;

/// Demand in excess of the share up to which an organisation is not limited, as a ratio: the
/// rates vary by as much, and refused requests that return count again.
const TOLERANCE_RATIO: f64 = 0.15;

/// Requests that a limited organisation may send in excess of its share, as a ratio. They
/// come last, and fill slots that no node knows to be free.
const OVERBOOKING_RATIO: f64 = 0.9;

/// Most by which the rate of all slots may exceed the rate served, as a ratio: endpoints may
/// be listed that serve nothing.
const MAX_FREE_RATIO: f64 = 1.0;

/// Weight of the latest request in the moving average of how long slots are held.
const HELD_EWMA_WEIGHT: f64 = 0.05;

/// Part of the admitted requests that find no room below which nothing is limited: so few
/// find full endpoints by chance while others have room.
const ROOMY_RATIO: f64 = 0.01;

/// Time from a service's first request at this node from which its own counters count, in
/// milliseconds: several times what a request takes to be served.
const LEARNING_MS: u64 = 1_500;

/// Time from then on in which a node limits nothing while no other node reports, in
/// milliseconds: two exchanges. Afterwards it goes by its own counters.
const FIRST_REPORT_MS: u64 = 2_500;

/// Time constant with which a capacity is forgotten that is no longer served, in
/// milliseconds. It bridges a lull, and a loss of endpoints shows soon.
const CAPACITY_TIME_CONSTANT_MS: f64 = 5_000.0;

/// How far demand may exceed the rate served because of requests that return before their
/// time. Requests that look alike cannot be told from repeats, so these are not left out
/// altogether.
const REPEAT_DEMAND_FACTOR: f64 = 1.25;

/// Time for which the most urgent priority of an organisation is remembered, in
/// milliseconds.
const PRIORITY_MS: u64 = 2_000;

/// How long computed shares are used, in milliseconds.
const LEVEL_TTL_MS: u64 = 50;

const MS_PER_S: f64 = 1_000.0;

#[derive(Clone, Debug, Default)]
struct Organisation {
    arrivals: DecayedRate,
    early_repeats: DecayedRate,
    served: DecayedRate,
    refused: u64,
    bucket: Option<ShareBucket>,
    /// The most urgent priority and when it was seen last.
    top_priority: Option<(u8, u64)>,
}

impl Organisation {
    /// Returns the demand, with rates multiplied by `factor`.
    fn demand(&self, factor: f64, now: Now) -> Demand {
        let served_per_s = self.served.per_s(now) * factor;
        let arrivals_per_s = self.arrivals.per_s(now) * factor;
        let repeats_per_s = self.early_repeats.per_s(now) * factor;
        let counted_per_s = (served_per_s * REPEAT_DEMAND_FACTOR - arrivals_per_s).max(0.0);
        Demand {
            arrivals_per_s: arrivals_per_s + repeats_per_s.min(counted_per_s),
            served_per_s,
        }
    }

    fn rank(&mut self, priority: u8, is_early: bool, now: Now) -> Rank {
        let top = self
            .top_priority
            .filter(|(top, at)| priority > *top && now.mono_ms <= at + PRIORITY_MS);
        if top.is_none() {
            self.top_priority = Some((priority, now.mono_ms));
        }
        match (is_early, top) {
            (true, _) => Rank::EarlyRepeat,
            (false, Some(_)) => Rank::LessUrgent,
            (false, None) => Rank::MostUrgent,
        }
    }
}

/// What a node knows of the other nodes when it divides a capacity.
#[derive(Clone, Debug, Default)]
pub(super) struct Others {
    pub(super) demand: ServiceDemand,
    /// Whether any other node was heard recently.
    pub(super) are_known: bool,
    pub(super) fleet: FleetSize,
}

/// The division of a service's capacity.
#[derive(Clone, Debug)]
struct Division {
    level_per_s: f64,
    others: Others,
    computed_mono_ms: u64,
}

/// Demand for one service at one node.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceShares {
    organisations: HashMap<u32, Organisation>,
    refusals: Refusals,
    crowded: DecayedRate,
    started_mono_ms: Option<u64>,
    /// Rate that all nodes together served recently, in requests per second.
    capacity_per_s: f64,
    /// Mean time for which a request holds its slot, in milliseconds.
    held_ms: Option<f64>,
    division: Option<Division>,
}

impl ServiceShares {
    pub(super) fn record_crowded(&mut self, now: Now) {
        self.crowded.record(now);
    }

    pub(super) fn record_served(&mut self, organisation: u32, now: Now) {
        let organisation = self.organisations.entry(organisation).or_default();
        organisation.served.record(now);
    }

    pub(super) fn record_held(&mut self, held_ms: u64) {
        let sample = as_f64(held_ms);
        let mean = self.held_ms.unwrap_or(sample);
        self.held_ms = Some(mean + (sample - mean) * HELD_EWMA_WEIGHT);
    }

    /// Returns whether this node has seen enough of the service to rely on its counters.
    pub(super) fn has_learned(&self, now: Now) -> bool {
        let started = self.started_mono_ms;
        started.is_some_and(|at| now.mono_ms >= at + LEARNING_MS)
    }

    fn can_limit(&self, others: &Others, others_report: bool, now: Now) -> bool {
        let age_ms = now.mono_ms - self.started_mono_ms.unwrap_or(now.mono_ms);
        let is_alone = others.fleet.nodes < 2;
        others_report && self.has_learned(now)
            || is_alone && self.has_learned(now)
            || age_ms >= LEARNING_MS + FIRST_REPORT_MS
    }

    fn start_factor(&self, now: Now) -> f64 {
        DecayedRate::start_factor(self.started_mono_ms.unwrap_or(now.mono_ms), now)
    }

    /// Returns this node's own demand.
    pub(super) fn own_demand(&self, now: Now) -> ServiceDemand {
        let factor = self.start_factor(now);
        let organisations = self.organisations.iter();
        let organisations = organisations.map(|(hash, known)| (*hash, known.demand(factor, now)));
        ServiceDemand {
            organisations: organisations
                .filter(|(_, demand)| *demand != Demand::default())
                .collect(),
            crowded_per_s: self.crowded.per_s(now) * factor,
            ..ServiceDemand::default()
        }
    }

    /// Drops organisations that send nothing any more; returns whether any is left.
    pub(super) fn evict(&mut self, now: Now) -> bool {
        self.organisations.retain(|_, organisation| {
            !(organisation.arrivals.is_negligible(now) && organisation.served.is_negligible(now))
        });
        !self.organisations.is_empty()
    }

    pub(super) fn needs_division(&self, now: Now) -> bool {
        let division = self.division.as_ref();
        division.is_none_or(|division| now.mono_ms > division.computed_mono_ms + LEVEL_TTL_MS)
    }

    /// Divides the capacity anew.
    pub(super) fn divide(&mut self, others: Others, now: Now) {
        let own = self.own_demand(now);
        let mut total = own.clone();
        total.add(&others.demand);
        let reports_service = others.demand != ServiceDemand::default();
        let served_per_s = total.served_per_s();
        let crowded_ratio = total.crowded_per_s / served_per_s.max(f64::MIN_POSITIVE);
        let base_per_s = self.base_per_s(served_per_s, &others, now);
        let listed = total.organisations.values();
        let listed = listed.map(|demand| demand.arrivals_per_s);
        let rest_per_s = total.rest.arrivals_per_s / f64::from(total.rest_count.max(1));
        let rest = (0..total.rest_count).map(|_| rest_per_s);
        let is_limited =
            crowded_ratio > ROOMY_RATIO && self.can_limit(&others, reports_service, now);
        let level_per_s = if is_limited {
            let capacity_per_s = base_per_s * (1.0 + probe_ratio(crowded_ratio));
            max_min_level(capacity_per_s, listed.chain(rest))
        } else {
            f64::INFINITY
        };
        self.division = Some(Division {
            level_per_s,
            others,
            computed_mono_ms: now.mono_ms,
        });
    }

    /// Returns the rate that can be served. Without news of the others, this node counts on
    /// its part of what all served before, or on what it is served itself.
    fn base_per_s(&mut self, served_per_s: f64, others: &Others, now: Now) -> f64 {
        if !others.are_known {
            #[allow(clippy::cast_precision_loss)]
            let own_part_per_s = self.capacity_per_s / others.fleet.nodes.max(1) as f64;
            return served_per_s.max(own_part_per_s);
        }
        // While less is served than all slots together run, some of them are free.
        let held_ms = self.held_ms.unwrap_or(f64::INFINITY).max(1.0);
        let slots_per_s = f64::from(others.fleet.slots) * MS_PER_S / held_ms;
        let free_per_s = (slots_per_s - served_per_s).max(0.0);
        let served_per_s = served_per_s + free_per_s.min(served_per_s * MAX_FREE_RATIO);
        let computed_mono_ms = self.division.as_ref().map(|known| known.computed_mono_ms);
        let age_ms = now.mono_ms - computed_mono_ms.unwrap_or(now.mono_ms);
        let kept_ratio = (-as_f64(age_ms) / CAPACITY_TIME_CONSTANT_MS).exp();
        self.capacity_per_s = served_per_s.max(self.capacity_per_s * kept_ratio);
        self.capacity_per_s
    }

    /// Decides about a request, after the capacity was divided.
    pub(super) fn decide(&mut self, arrival: &Arrival, draw: f64, now: Now) -> Decision {
        self.started_mono_ms.get_or_insert(now.mono_ms);
        let factor = self.start_factor(now);
        let is_early = arrival
            .request_key
            .is_some_and(|key| self.refusals.is_early(key, now));
        let organisation = self.organisations.entry(arrival.organisation).or_default();
        if is_early {
            organisation.early_repeats.record(now);
        } else {
            organisation.arrivals.record(now);
        }
        let Some(division) = &self.division else {
            return Decision::Admit(Standing::WithinShare);
        };
        let rank = organisation.rank(arrival.priority, is_early, now);
        let own_per_s = organisation.demand(factor, now).arrivals_per_s;
        let total_per_s = own_per_s + division.others_per_s(arrival.organisation);
        if total_per_s <= division.level_per_s * (1.0 + TOLERANCE_RATIO) {
            organisation.bucket = None;
            return Decision::Admit(Standing::WithinShare);
        }
        let share_per_s = division.level_per_s * own_per_s / total_per_s;
        let rate_per_s = share_per_s * (1.0 + OVERBOOKING_RATIO);
        let bucket = organisation
            .bucket
            .get_or_insert_with(|| ShareBucket::new(now));
        if bucket.take(rank, rate_per_s, now) {
            return Decision::Admit(Standing::Limited);
        }
        organisation.refused += 1;
        let retry_after_ms = bucket.retry_after_ms(share_per_s, draw, now);
        if let Some(key) = arrival.request_key {
            self.refusals.record(key, retry_after_ms, now);
        }
        Decision::Refuse { retry_after_ms }
    }

    /// Iterates over the organisations of this node with what they get.
    pub(super) fn overview(&mut self, now: Now) -> impl Iterator<Item = OrganisationShare> {
        let factor = self.start_factor(now);
        let division = self.division.as_ref();
        let organisations = self.organisations.iter_mut();
        organisations.map(move |(hash, organisation)| {
            let own = organisation.demand(factor, now);
            let others_per_s = division.map_or(0.0, |division| division.others_per_s(*hash));
            let level_per_s = division.map_or(f64::INFINITY, |division| division.level_per_s);
            let demand_per_s = own.arrivals_per_s + others_per_s;
            OrganisationShare {
                organisation: *hash,
                demand_per_s,
                share_per_s: demand_per_s.min(level_per_s),
                own_served_per_s: own.served_per_s,
                own_refused: std::mem::take(&mut organisation.refused),
            }
        })
    }
}

/// Returns by how much the capacity that is divided exceeds the rate served.
fn probe_ratio(crowded_ratio: f64) -> f64 {
    let free_ratio = (1.0 - crowded_ratio / CROWDED_RATIO).max(0.0);
    MIN_PROBE_RATIO + (MAX_PROBE_RATIO - MIN_PROBE_RATIO) * free_ratio
}

impl Division {
    /// Returns the demand of an organisation at the other nodes; of one that is not listed,
    /// the mean of those.
    fn others_per_s(&self, organisation: u32) -> f64 {
        let demand = &self.others.demand;
        let rest_per_s = demand.rest.arrivals_per_s / f64::from(demand.rest_count.max(1));
        let listed = demand.organisations.get(&organisation);
        listed.map_or(rest_per_s, |listed| listed.arrivals_per_s)
    }
}
