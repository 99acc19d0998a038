//! Selection of the source that nodes follow, for simulated fleets and outages.

mod support;

use hemlockhitch_model::Now;
use hemlockhitch_routing::source::{FollowableNode, Source, SourceSelector};
use support::at;

/// How long a node's call to the store waits, in milliseconds.
const WATCH_MS: u64 = 300;

/// How long a node's call to another node waits, in milliseconds.
const PEER_WATCH_MS: u64 = 500;

/// Time after which a call to a node that does not respond fails, in milliseconds.
const PEER_TIMEOUT_MS: u64 = 800;

/// Age at which a node's knowledge does not count as recent, in milliseconds.
const STALE_AGE_MS: u64 = 1_400;

/// Age up to which a node serves requests with API keys, in milliseconds.
const MAX_AGE_MS: u64 = 4_850;

/// A simulated fleet. Ages are end to end: a reply carries the age of its sender.
struct FleetSimulation {
    descriptions: Vec<Description>,
    nodes: Vec<SimulatedNode>,
    store_calls: u64,
}

struct Description {
    name: String,
    address: String,
    data_centre: String,
    capacity: u32,
}

struct SimulatedNode {
    selector: SourceSelector,
    confirmed_mono_ms: Option<u64>,
    next_mono_ms: u64,
    /// The source that is being asked, and since when in milliseconds.
    call: Option<(Source, u64)>,
    is_alive: bool,
}

impl FleetSimulation {
    /// Creates nodes of two capacities in data centres of equal size.
    fn new(count: usize, data_centres: usize, confirmed_mono_ms: Option<u64>) -> Self {
        let descriptions: Vec<Description> = (0..count)
            .map(|index| Description {
                name: format!("node-{index}"),
                address: format!("10.0.0.{index}:1"),
                data_centre: format!("dc-{}", index % data_centres),
                capacity: if index < 3 * data_centres { 200 } else { 20 },
            })
            .collect();
        let nodes = descriptions
            .iter()
            .enumerate()
            .map(|(index, description)| SimulatedNode {
                selector: SourceSelector::new(followable(description), at(0)),
                confirmed_mono_ms,
                next_mono_ms: index as u64 % 300,
                call: None,
                is_alive: true,
            });
        let nodes = nodes.collect();
        Self {
            descriptions,
            nodes,
            store_calls: 0,
        }
    }

    /// Runs from `from_ms` to `to_ms`; `store_serves` says whether the store serves a
    /// node.
    fn run(&mut self, from_ms: u64, to_ms: u64, store_serves: impl Fn(usize) -> bool) {
        for now_ms in from_ms..to_ms {
            for index in 0..self.nodes.len() {
                if self.nodes[index].is_alive && self.nodes[index].next_mono_ms <= now_ms {
                    self.finish_call(index, &store_serves, at(now_ms));
                    self.start_call(index, &store_serves, at(now_ms));
                }
            }
        }
    }

    fn start_call(&mut self, index: usize, store_serves: impl Fn(usize) -> bool, now: Now) {
        let age_ms = self.age_ms(index, now);
        let descriptions = &self.descriptions;
        let node = &mut self.nodes[index];
        let source = node
            .selector
            .select(descriptions.iter().map(followable), age_ms, now);
        let is_searching = node.selector.is_searching() && age_ms.is_some();
        let took_ms = match &source {
            Source::Store => {
                self.store_calls += 1;
                if store_serves(index) { WATCH_MS } else { 5 }
            }
            Source::Peer {
                address,
                is_local,
                is_immediate,
            } => {
                let peer = peer_index(descriptions, address);
                match (
                    self.nodes[peer].is_alive,
                    is_searching || *is_immediate,
                    is_local,
                ) {
                    (false, true, _) => PEER_TIMEOUT_MS - PEER_WATCH_MS,
                    (false, false, _) => PEER_TIMEOUT_MS,
                    (true, true, _) => 2,
                    (true, false, true) => PEER_WATCH_MS,
                    (true, false, false) => 200,
                }
            }
            Source::Wait(wait_ms) => *wait_ms,
        };
        let node = &mut self.nodes[index];
        node.call = Some((source, now.mono_ms));
        node.next_mono_ms = now.mono_ms + took_ms;
    }

    fn finish_call(&mut self, index: usize, store_serves: impl Fn(usize) -> bool, now: Now) {
        let Some((source, sent_mono_ms)) = self.nodes[index].call.take() else {
            return;
        };
        let has_knowledge = self.nodes[index].confirmed_mono_ms.is_some();
        match source {
            Source::Wait(_) => {}
            Source::Store if store_serves(index) => {
                self.confirm(index, sent_mono_ms);
                self.nodes[index].selector.record_store_success();
            }
            Source::Store => self.nodes[index].selector.record_store_failure(now),
            Source::Peer { address, .. } => {
                let peer = peer_index(&self.descriptions, &address);
                let age_ms = self.age_ms(peer, now);
                let is_alive = self.nodes[peer].is_alive;
                let selector = &mut self.nodes[index].selector;
                match age_ms.filter(|_| is_alive) {
                    Some(age_ms) if age_ms <= STALE_AGE_MS => selector.record_success(&address),
                    Some(_) => selector.record_stale(&address, now),
                    None => selector.record_unreachable(&address, has_knowledge, now),
                }
                if let Some(age_ms) = age_ms.filter(|_| is_alive) {
                    self.confirm(index, sent_mono_ms.saturating_sub(age_ms));
                }
            }
        }
    }

    fn confirm(&mut self, index: usize, mono_ms: u64) {
        let confirmed = &mut self.nodes[index].confirmed_mono_ms;
        *confirmed = (*confirmed).max(Some(mono_ms));
    }

    fn age_ms(&self, index: usize, now: Now) -> Option<u64> {
        let confirmed_mono_ms = self.nodes[index].confirmed_mono_ms?;
        Some(now.mono_ms - confirmed_mono_ms)
    }

    /// Returns the greatest age among the running nodes; `None` if one knows nothing.
    fn greatest_age_ms(&self, now_ms: u64) -> Option<u64> {
        let running = (0..self.nodes.len()).filter(|index| self.nodes[*index].is_alive);
        let ages: Option<Vec<u64>> = running
            .map(|index| self.age_ms(index, at(now_ms)))
            .collect();
        ages?.into_iter().max()
    }

    fn take_store_calls(&mut self) -> u64 {
        std::mem::take(&mut self.store_calls)
    }

    fn kill(&mut self, is_killed: impl Fn(usize) -> bool) {
        for (index, node) in self.nodes.iter_mut().enumerate() {
            node.is_alive = !is_killed(index);
        }
    }

    /// Returns the indices of the hubs: the node of each data centre that ranks first.
    fn leading_nodes(&self) -> Vec<usize> {
        let is_leading = |index: &usize| {
            let mut selector = SourceSelector::new(followable(&self.descriptions[*index]), at(0));
            let known = Some(0);
            let source =
                selector.select(self.descriptions.iter().map(followable), known, at(10_000));
            !matches!(source, Source::Peer { is_local: true, .. })
        };
        (0..self.descriptions.len()).filter(is_leading).collect()
    }
}

fn followable(description: &Description) -> FollowableNode<'_> {
    FollowableNode {
        name: &description.name,
        address: &description.address,
        data_centre: &description.data_centre,
        capacity: description.capacity,
    }
}

fn peer_index(descriptions: &[Description], address: &str) -> usize {
    let index = descriptions
        .iter()
        .position(|description| description.address == address);
    index.expect("a known address")
}

/// Guards against store calls that grow with the fleet: at any size, one node asks.
#[test]
fn store_calls_of_a_calm_fleet_do_not_grow_with_its_nodes() {
    for (nodes, data_centres) in [(9, 3), (67, 3), (195, 5), (340, 10)] {
        let mut fleet = FleetSimulation::new(nodes, data_centres, Some(0));
        fleet.run(0, 2_000, |_| true);
        fleet.take_store_calls();
        fleet.run(2_000, 12_000, |_| true);
        let calls = fleet.take_store_calls();
        assert!(calls <= 40, "{nodes} nodes: {calls} calls in ten seconds");
        let age_ms = fleet.greatest_age_ms(12_000);
        assert!(age_ms <= Some(2_300), "{nodes} nodes: {age_ms:?}");
    }
}

/// Load: the store is down for five seconds. Each node would ask it several times a
/// second by itself. Every node must have recent knowledge soon after the store's
/// return.
#[test]
fn fleet_does_not_flood_a_store_that_is_down() {
    for (nodes, data_centres, most_calls) in [(9, 3, 150), (195, 5, 700), (340, 10, 1_300)] {
        let mut fleet = FleetSimulation::new(nodes, data_centres, Some(0));
        fleet.run(0, 2_000, |_| true);
        fleet.take_store_calls();
        fleet.run(2_000, 7_000, |_| false);
        let calls = fleet.take_store_calls();
        assert!(calls <= most_calls, "{nodes} nodes: {calls} calls");
        fleet.run(7_000, 9_500, |_| true);
        let age_ms = fleet.greatest_age_ms(9_500);
        assert!(age_ms <= Some(2_300), "{nodes} nodes: {age_ms:?}");
    }
}

/// Load: the store turns a third of the nodes away for nine seconds, among them most
/// hubs. Every node must go on serving requests with API keys.
#[test]
fn nodes_that_the_store_turns_away_learn_from_others() {
    for (nodes, data_centres) in [(9, 3), (67, 3), (195, 5), (340, 10)] {
        for seed in 0..3_u64 {
            let mut fleet = FleetSimulation::new(nodes, data_centres, Some(0));
            fleet.run(0, 2_000, |_| true);
            let is_served =
                |index: usize| !hemlockhitch_routing::mix(seed, index as u64).is_multiple_of(3);
            for start_ms in (2_000..11_000).step_by(500) {
                fleet.run(start_ms, start_ms + 500, is_served);
                let age_ms = fleet.greatest_age_ms(start_ms + 500);
                assert!(
                    age_ms < Some(MAX_AGE_MS),
                    "{nodes} nodes, seed {seed}, at {start_ms}: {age_ms:?}"
                );
            }
        }
    }
}

/// Load: the hub of every data centre is killed at the same moment. Two seconds is
/// the platform's limit for a configuration change in small deployments.
#[test]
fn nodes_find_another_source_when_their_hubs_vanish() {
    for (nodes, data_centres) in [(9, 3), (67, 3), (195, 5)] {
        let mut fleet = FleetSimulation::new(nodes, data_centres, Some(0));
        fleet.run(0, 3_000, |_| true);
        let leading = fleet.leading_nodes();
        assert_eq!(leading.len(), data_centres);
        fleet.kill(|index| leading.contains(&index));
        fleet.run(3_000, 5_000, |_| true);
        let age_ms = fleet.greatest_age_ms(5_000);
        assert!(age_ms < Some(2_000), "{nodes} nodes: {age_ms:?}");
    }
}

/// Load: all nodes start at once and know each other, as after a power failure. Each
/// listing of the store takes several calls.
#[test]
fn fleet_that_restarts_loads_the_store_from_few_nodes() {
    for (nodes, data_centres, most_calls) in [(9, 3, 60), (195, 5, 120), (340, 10, 250)] {
        let mut fleet = FleetSimulation::new(nodes, data_centres, None);
        fleet.run(0, 2_500, |_| true);
        let calls = fleet.take_store_calls();
        assert!(calls <= most_calls, "{nodes} nodes: {calls} calls");
        let age_ms = fleet.greatest_age_ms(2_500);
        assert!(age_ms <= Some(2_300), "{nodes} nodes: {age_ms:?}");
    }
}

/// Guards against a follower that waits for a hub which has no bandwidth left, while the
/// store could serve it.
#[test]
fn node_follows_the_store_for_a_while_when_its_hub_is_overloaded() {
    let hub = FollowableNode {
        name: "hub",
        address: "10.0.0.1:1",
        data_centre: "dc",
        capacity: 200,
    };
    let own = FollowableNode {
        name: "node",
        address: "10.0.0.2:1",
        capacity: 20,
        ..hub
    };
    let mut selector = SourceSelector::new(own, at(0));
    let asks_store = |selector: &mut SourceSelector, ms: u64| {
        selector.select([hub, own].into_iter(), Some(300), at(ms)) == Source::Store
    };
    assert!(!asks_store(&mut selector, 1_000));
    selector.record_overloaded(at(1_000));
    assert!(asks_store(&mut selector, 1_000));
    assert!(asks_store(&mut selector, 1_900));
    assert!(!asks_store(&mut selector, 2_000));
    // The hub is asked if the store does not answer either.
    selector.record_overloaded(at(3_000));
    selector.record_store_failure(at(3_100));
    assert!(!asks_store(&mut selector, 3_110));
}
