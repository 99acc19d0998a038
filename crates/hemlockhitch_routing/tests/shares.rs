//! Shares of a service by organisation, decided by many nodes.

mod support;

use std::collections::VecDeque;

use fastrand::Rng;
use hemlockhitch_routing::shares::{
    Arrival, Decision, Demand, DemandReport, FleetSize, Scope, ServiceDemand, Shares, SlotWaiters,
    Standing, max_min_level,
};
use support::at;

const SERVICE: u64 = 7;

/// Length of a step, in milliseconds.
const STEP_MS: u64 = 10;

/// Time between two reports of a node, in milliseconds.
const REPORT_MS: u64 = 1_000;

/// How long a request runs, in milliseconds.
const RUN_MS: u64 = 400;

/// How long an admitted request waits for a slot, in milliseconds.
const WAIT_MS: u64 = 300;

/// Requests that one endpoint runs at the same time.
const SLOTS: usize = 8;

/// Requests per second of each organisation, as a ratio of the capacity. Together they
/// send twice what fits; max-min fair shares are 0.05, 0.1, 0.1, and 0.25 for the others.
const DEMAND: [f64; 6] = [0.05, 0.1, 0.1, 0.35, 0.5, 0.9];

/// Max-min fair shares of these, as ratios of the capacity.
const FAIR: [f64; 6] = [0.05, 0.1, 0.1, 0.25, 0.25, 0.25];

/// A request that waits for a slot: its node, organisation, and when its wait ends.
type Waiting = (usize, u32, u64);

/// Nodes that follow one of them, before endpoints with `slots` slots in all.
struct Fleet {
    nodes: Vec<Shares>,
    /// Nodes that exchange nothing.
    is_cut_off: Vec<bool>,
    slots: usize,
    /// Node and organisation of each running request, by the end of its run.
    running: VecDeque<(u64, usize, u32)>,
    waiting: SlotWaiters<Waiting>,
    waiting_ends: VecDeque<(u64, hemlockhitch_routing::shares::WaitKey, usize)>,
    served: [u64; DEMAND.len()],
    sent: [u64; DEMAND.len()],
    rng: Rng,
}

impl Fleet {
    fn new(nodes: usize) -> Self {
        Self {
            nodes: (0..nodes)
                .map(|index| Shares::new(1 + index as u64))
                .collect(),
            is_cut_off: vec![false; nodes],
            slots: SLOTS * nodes.max(3),
            running: VecDeque::new(),
            waiting: SlotWaiters::default(),
            waiting_ends: VecDeque::new(),
            served: [0; DEMAND.len()],
            sent: [0; DEMAND.len()],
            rng: Rng::with_seed(nodes as u64),
        }
    }

    fn capacity_per_s(&self) -> f64 {
        self.slots as f64 * 1_000.0 / RUN_MS as f64
    }

    fn fleet_size(&self) -> FleetSize {
        FleetSize {
            nodes: self.nodes.len(),
            slots: self.slots as u32,
        }
    }

    /// Draws a node: some have many times the clients of others.
    fn node(&mut self) -> usize {
        let draw = self.rng.f64();
        ((draw * draw) * self.nodes.len() as f64) as usize
    }

    fn run(&mut self, from_ms: u64, to_ms: u64) {
        self.served = Default::default();
        self.sent = Default::default();
        for now_ms in (from_ms..to_ms).step_by(STEP_MS as usize) {
            self.end_requests(now_ms);
            self.exchange(now_ms);
            for (organisation, ratio) in DEMAND.iter().enumerate() {
                let per_step = ratio * self.capacity_per_s() * STEP_MS as f64 / 1_000.0;
                let mut count = per_step as usize;
                count += usize::from(self.rng.f64() < per_step.fract());
                for _ in 0..count {
                    self.sent[organisation] += 1;
                    self.send(organisation as u32, now_ms);
                }
            }
        }
    }

    fn send(&mut self, organisation: u32, now_ms: u64) {
        let node = self.node();
        let arrival = Arrival {
            service: SERVICE,
            organisation,
            priority: 1,
            request_key: None,
        };
        let size = self.fleet_size();
        let draw = self.rng.f64();
        let decision = self.nodes[node].decide(&arrival, size, draw, at(now_ms));
        let Decision::Admit(standing) = decision else {
            return;
        };
        if self.running.len() < self.slots {
            self.running
                .push_back((now_ms + RUN_MS, node, organisation));
            return;
        }
        self.nodes[node].record_crowded(SERVICE, at(now_ms));
        let end_ms = now_ms + WAIT_MS;
        let waiting = (node, organisation, end_ms);
        let key = self.waiting.join(standing, 1, WAIT_MS, waiting, at(now_ms));
        self.waiting_ends.push_back((end_ms, key, node));
    }

    fn end_requests(&mut self, now_ms: u64) {
        while self
            .waiting_ends
            .front()
            .is_some_and(|(end, ..)| *end <= now_ms)
        {
            let (_, key, _) = self.waiting_ends.pop_front().expect("a request");
            self.waiting.leave(key);
        }
        while self.running.front().is_some_and(|(end, ..)| *end <= now_ms) {
            let (_, node, organisation) = self.running.pop_front().expect("a request");
            self.nodes[node].record_served(SERVICE, organisation, at(now_ms));
            self.nodes[node].record_held(SERVICE, RUN_MS);
            self.served[organisation as usize] += 1;
            if let Some((node, organisation, _)) = self.waiting.pop_first(false) {
                self.running
                    .push_back((now_ms + RUN_MS, node, organisation));
            }
        }
    }

    /// Lets the nodes whose turn it is report to the first one.
    fn exchange(&mut self, now_ms: u64) {
        let now = at(now_ms);
        for index in 1..self.nodes.len() {
            let is_due = now_ms % REPORT_MS == (index as u64 * STEP_MS) % REPORT_MS;
            if !is_due || self.is_cut_off[index] {
                continue;
            }
            let report = self.nodes[index].report(now);
            let replies = self.nodes[0].reply(&report, now);
            self.nodes[0].record_report(report, now);
            for reply in replies {
                self.nodes[index].record_report(reply, now);
            }
        }
    }

    /// Returns the part of the capacity that was used, and what each organisation got as a
    /// ratio of its fair share.
    fn result(&self, took_ms: u64) -> (f64, Vec<f64>) {
        let could_run = self.capacity_per_s() * took_ms as f64 / 1_000.0;
        let used = self.served.iter().sum::<u64>() as f64 / could_run;
        let served = self.served.iter().zip(FAIR);
        let ratios = served.map(|(served, fair)| *served as f64 / (could_run * fair));
        (used, ratios.collect())
    }
}

#[track_caller]
fn assert_fair(fleet: &Fleet, took_ms: u64, tolerance: f64, case: &str) {
    let (used, ratios) = fleet.result(took_ms);
    println!("{case}: {used:.3} used, {ratios:.3?} of the fair shares");
    assert!(used >= 0.95, "{case}: {used:.3} of the capacity used");
    for ratio in &ratios {
        assert!(
            (1.0 - tolerance..=1.0 + tolerance).contains(ratio),
            "{case}: {ratios:.3?} of the fair shares"
        );
    }
}

/// No organisation gets less than a quarter of what it would get as the mean of those that
/// ask for more than their share.
#[track_caller]
fn assert_nobody_starves(fleet: &Fleet, took_ms: u64, case: &str) {
    let (used, ratios) = fleet.result(took_ms);
    println!("{case}: {used:.3} used, {ratios:.3?} of the fair shares");
    assert!(used >= 0.95, "{case}: {used:.3} of the capacity used");
    assert!(
        ratios.iter().all(|ratio| *ratio >= 0.5),
        "{case}: {ratios:.3?}"
    );
}

const SIZES: [usize; 4] = [9, 58, 130, 340];

/// An organisation that sends many times its share at nodes with uneven clients takes
/// nothing from those that do not.
#[test]
fn capacity_is_divided_max_min_fairly_at_any_size() {
    for nodes in SIZES {
        let mut fleet = Fleet::new(nodes);
        fleet.run(0, 12_000);
        fleet.run(12_000, 22_000);
        assert_fair(&fleet, 10_000, 0.1, &format!("{nodes} nodes"));
    }
}

/// Nodes that hear from nobody go by their own demand and their part of the capacity.
#[test]
fn nobody_starves_with_a_third_of_the_nodes_cut_off() {
    for nodes in SIZES {
        let mut fleet = Fleet::new(nodes);
        fleet.run(0, 12_000);
        for index in (1..nodes).filter(|index| index % 3 == 0) {
            fleet.is_cut_off[index] = true;
        }
        fleet.run(12_000, 24_000);
        assert_nobody_starves(&fleet, 12_000, &format!("{nodes} nodes, a third cut off"));
    }
}

/// Nodes that start know nothing, and the others must not take that for lack of demand.
#[test]
fn nobody_starves_while_nodes_restart() {
    for nodes in SIZES {
        let mut fleet = Fleet::new(nodes);
        fleet.run(0, 12_000);
        for index in (0..nodes).filter(|index| index % 3 == 1) {
            fleet.nodes[index] = Shares::new(1 + index as u64);
        }
        fleet.run(12_000, 24_000);
        assert_nobody_starves(&fleet, 12_000, &format!("{nodes} nodes, a third restarted"));
    }
}

#[test]
fn level_is_what_is_left_for_those_that_ask_for_more() {
    assert_eq!(max_min_level(60.0, [8.0, 8.0, 8.0, 8.0, 8.0, 90.0]), 20.0);
    assert_eq!(max_min_level(60.0, [40.0, 50.0, 60.0]), 20.0);
    assert_eq!(max_min_level(60.0, [10.0, 20.0]), f64::INFINITY);
    assert_eq!(max_min_level(0.0, [1.0]), 0.0);
}

/// Returns a node that knows of an organisation `1` that sends 100 requests per second
/// where 20 fit, and is asked every 10 ms.
fn limited_node() -> Shares {
    let mut node = Shares::new(1);
    for step in 0..400 {
        let now = at(step * 10);
        node.decide(&arrival(1, None), ONE_NODE, 0.5, now);
        serve_20_per_s(&mut node, step);
    }
    node
}

fn serve_20_per_s(node: &mut Shares, step: u64) {
    if step % 5 == 0 {
        node.record_served(SERVICE, 1, at(step * 10));
    }
    node.record_crowded(SERVICE, at(step * 10));
}

const ONE_NODE: FleetSize = FleetSize { nodes: 1, slots: 0 };

fn arrival(priority: u8, request_key: Option<u64>) -> Arrival {
    Arrival {
        service: SERVICE,
        organisation: 1,
        priority,
        request_key,
    }
}

fn is_admitted(decision: Decision) -> bool {
    matches!(decision, Decision::Admit(_))
}

/// Less urgent requests of a limited organisation must not take what its urgent ones need.
#[test]
fn urgent_requests_of_a_limited_organisation_go_first() {
    let mut node = limited_node();
    let mut admitted = [0, 0];
    for step in 400..1_400 {
        let now = at(step * 10);
        for priority in [2, 0] {
            let decision = node.decide(&arrival(priority, None), ONE_NODE, 0.5, now);
            if is_admitted(decision) {
                admitted[usize::from(priority == 0)] += 1;
            }
        }
        serve_20_per_s(&mut node, step);
    }
    let [others, urgent] = admitted;
    assert!(urgent >= 10 * others.max(1), "{others} and {urgent}");
}

/// A caller that repeats at once and often must not be served before those that wait.
#[test]
fn immediate_repeats_gain_nothing() {
    let mut node = limited_node();
    let mut patient = 0;
    let mut impatient = 0;
    for step in 400..1_400 {
        let now = at(step * 10);
        // One caller repeats the same request until it is served.
        let key = Some(1_000_000 + impatient);
        for _ in 0..3 {
            if is_admitted(node.decide(&arrival(1, key), ONE_NODE, 0.5, now)) {
                impatient += 1;
                break;
            }
        }
        if is_admitted(node.decide(&arrival(1, Some(step)), ONE_NODE, 0.5, now)) {
            patient += 1;
        }
        serve_20_per_s(&mut node, step);
    }
    // Three in four requests are the repeats of one caller.
    assert!(impatient * 4 <= patient, "{impatient} and {patient}");
}

/// Requests that were refused together must not return together, nor in another order.
#[test]
fn refused_requests_are_told_to_return_in_order() {
    let mut node = limited_node();
    let mut times = Vec::new();
    for _ in 0..20 {
        let decision = node.decide(&arrival(1, None), ONE_NODE, 0.0, at(4_000));
        if let Decision::Refuse { retry_after_ms } = decision {
            times.push(retry_after_ms);
        }
    }
    assert!(times.len() > 10, "{times:?}");
    let is_capped = |time: &u64| *time >= 4_000;
    let uncapped: Vec<u64> = times.into_iter().filter(|time| !is_capped(time)).collect();
    assert!(uncapped.is_sorted(), "{uncapped:?}");
}

/// Without a full endpoint, any demand is served.
#[test]
fn nothing_is_limited_while_endpoints_have_room() {
    let mut node = Shares::new(1);
    for step in 0..1_000 {
        let decision = node.decide(&arrival(1, None), ONE_NODE, 0.5, at(step * 10));
        assert_eq!(decision, Decision::Admit(Standing::WithinShare));
    }
}

fn report(origin: u64, scope: Scope, age_ms: u64, per_s: f64) -> DemandReport {
    let demand = Demand {
        arrivals_per_s: per_s,
        served_per_s: per_s,
    };
    let service = ServiceDemand {
        organisations: [(1, demand)].into(),
        ..ServiceDemand::default()
    };
    DemandReport {
        origin,
        scope,
        age_ms,
        services: [(SERVICE, service)].into(),
    }
}

/// Returns the demand that a node tells a follower.
fn told(node: &mut Shares, now_ms: u64) -> f64 {
    let replies = node.reply(&report(99, Scope::Node, 0, 0.0), at(now_ms));
    let services = replies
        .iter()
        .filter_map(|reply| reply.services.get(&SERVICE));
    let demands = services.filter_map(|service| service.organisations.get(&1));
    demands.map(|demand| demand.arrivals_per_s).sum()
}

/// Sums that arrive on several paths were counted more than once.
#[test]
fn sum_of_an_origin_counts_once_and_the_most_recent_wins() {
    let mut node = Shares::new(1);
    node.record_report(report(2, Scope::Followers, 0, 10.0), at(1_000));
    node.record_report(report(2, Scope::Followers, 800, 7.0), at(1_000));
    node.record_report(report(3, Scope::Followers, 0, 5.0), at(1_000));
    node.record_report(report(1, Scope::Followers, 0, 50.0), at(1_000));
    assert_eq!(told(&mut node, 1_000), 15.0);
    node.record_report(report(2, Scope::Followers, 100, 8.0), at(1_500));
    assert_eq!(told(&mut node, 1_500), 13.0);
    // Nothing is left of origins that are not heard any more.
    assert_eq!(told(&mut node, 8_000), 0.0);
}

/// Nodes that follow each other report their own demand only, once both know it.
#[test]
fn nodes_that_follow_each_other_count_nothing_twice() {
    let mut nodes = [Shares::new(1), Shares::new(2)];
    let mut leaf = report(3, Scope::Node, 0, 4.0);
    for step in 0..10 {
        let now = at(step * 500);
        leaf.age_ms = 0;
        nodes[0].record_report(leaf.clone(), now);
        for (follower, followed) in [(0, 1), (1, 0)] {
            let report = nodes[follower].report(now);
            let replies = nodes[followed].reply(&report, now);
            nodes[followed].record_report(report, now);
            for reply in replies {
                nodes[follower].record_report(reply, now);
            }
        }
    }
    assert_eq!(told(&mut nodes[1], 4_500), 4.0);
}

/// More organisations than a report lists must not make it longer, nor be forgotten.
#[test]
fn report_lists_the_largest_organisations_and_sums_the_rest() {
    let mut node = Shares::new(1);
    for step in 0..3_000_u64 {
        let organisation = (step % 24) as u32;
        let count = 1 + u64::from(organisation < 4);
        for _ in 0..count {
            let arrival = Arrival {
                organisation,
                ..arrival(1, None)
            };
            node.decide(&arrival, ONE_NODE, 0.5, at(step));
        }
    }
    let report = node.report(at(3_000));
    let demand = &report.services[&SERVICE];
    assert_eq!(demand.organisations.len(), 16);
    assert_eq!(demand.rest_count, 8);
    assert!((0..4).all(|large| demand.organisations.contains_key(&large)));
    assert!(demand.rest.arrivals_per_s > 0.0);
}
