//! Brittle endpoints under more requests than they have room for, in simulated fleets of
//! any size.

mod support;

use std::collections::VecDeque;
use std::fmt::{self, Display};

use hemlockhitch_model::{EndpointKey, Now, hash_bytes, mix};
use hemlockhitch_routing::fleet::{EndpointEntry, Fleet};
use hemlockhitch_routing::limits::{Brittleness, NodeShares};
use hemlockhitch_routing::selection::{SelectionRequest, VersionFilter, choose_endpoint};
use support::{at, entry};

/// Requests that run at an endpoint at the same time.
const SLOTS: usize = 8;

/// How long a request runs, in milliseconds.
const RUN_MS: u64 = 400;

/// How long an endpoint that ended is away, in milliseconds.
const RESTART_MS: u64 = 2_000;

/// Refusals in a second that an endpoint survives.
const REFUSALS: usize = 4;

/// Length of a step of the simulation, in milliseconds.
const STEP_MS: u64 = 5;

/// How long the load lasts, in milliseconds.
const LOAD_MS: u64 = 10_000;

/// Requests that are sent for each one that the endpoints have room for.
const LOAD_RATIO: f64 = 1.8;

struct SimulatedEngine {
    entry: EndpointEntry,
    /// Node, key at the node and end of each running request.
    running: Vec<(usize, EndpointKey, u64)>,
    refused_ms: VecDeque<u64>,
    away_until_ms: u64,
    falls: usize,
}

impl SimulatedEngine {
    /// Takes or refuses a request; returns whether it runs.
    fn receive(&mut self, node: usize, key: EndpointKey, now_ms: u64) -> bool {
        if now_ms < self.away_until_ms {
            return false;
        }
        if self.running.len() < SLOTS {
            self.running.push((node, key, now_ms + RUN_MS));
            return true;
        }
        self.refused_ms.push_back(now_ms);
        self.refused_ms.retain(|at_ms| now_ms < at_ms + 1_000);
        if self.refused_ms.len() > REFUSALS {
            self.falls += 1;
            self.end(now_ms);
        }
        false
    }

    /// Ends the endpoint; it starts again after a while as another instance.
    fn end(&mut self, now_ms: u64) {
        self.refused_ms.clear();
        self.away_until_ms = now_ms + RESTART_MS;
        self.entry.started_unix_ms = self.entry.started_unix_ms.map(|started| started + 1);
    }
}

/// What a simulated load showed.
struct Outcome {
    falls: usize,
    served_percent: usize,
    nodes_that_served_percent: usize,
}

impl Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} falls, {} of 100 places used, {} of 100 nodes served",
            self.falls, self.served_percent, self.nodes_that_served_percent
        )
    }
}

/// Simulates nodes that know the endpoints to be brittle, or not. All endpoints end once
/// in between, one after the other.
fn simulate(node_count: usize, engine_count: usize, is_known: bool) -> Outcome {
    let mut random = fastrand::Rng::with_seed(7);
    let mut engines: Vec<SimulatedEngine> = (0..engine_count)
        .map(|index| SimulatedEngine {
            entry: entry(&format!("e-{index}"), ["a", "b", "c"][index % 3], "v1"),
            running: Vec::new(),
            refused_ms: VecDeque::new(),
            away_until_ms: 0,
            falls: 0,
        })
        .collect();
    let node_hashes: Vec<u64> = (0..node_count)
        .map(|index| hash_bytes(format!("node-{index}")))
        .collect();
    let mut fleets: Vec<Fleet> = vec![Fleet::default(); node_count];
    let service = "models".into();
    for fleet in &mut fleets {
        for engine in &engines {
            fleet.upsert(engine.entry.clone(), at(0));
        }
        if is_known {
            let service_hash = hash_bytes("models");
            fleet.brittleness.record(service_hash, Some(4.0), at(0));
        }
    }
    let room = engine_count as f64 * SLOTS as f64 * LOAD_MS as f64 / RUN_MS as f64;
    let per_step = room * LOAD_RATIO * STEP_MS as f64 / LOAD_MS as f64;
    let mut owed = 0.0;
    let mut served = vec![0; node_count];
    for now_ms in (0..LOAD_MS).step_by(STEP_MS as usize) {
        let now = at(now_ms);
        for (index, engine) in engines.iter_mut().enumerate() {
            let ends_ms = 1_000 + LOAD_MS / 2 * index as u64 / engine_count as u64;
            let ends = now_ms == ends_ms / STEP_MS * STEP_MS;
            if ends {
                engine.end(now_ms);
            }
            let is_away = now_ms < engine.away_until_ms;
            for (node, key, end_ms) in std::mem::take(&mut engine.running) {
                if !is_away && now_ms < end_ms {
                    engine.running.push((node, key, end_ms));
                    continue;
                }
                served[node] += usize::from(!is_away);
                if let Some(endpoint) = fleets[node].get_mut(key) {
                    endpoint.in_flight -= 1;
                }
            }
            if engine.away_until_ms > 0 && now_ms >= engine.away_until_ms {
                engine.away_until_ms = 0;
                for fleet in &mut fleets {
                    fleet.upsert(engine.entry.clone(), now);
                }
            }
        }
        owed += per_step;
        while owed >= 1.0 {
            owed -= 1.0;
            let node = random.usize(..node_count);
            let mut tried = Vec::new();
            for _ in 0..3 {
                let request = SelectionRequest {
                    service: &service,
                    local_data_centre: &["a", "b", "c"][node % 3].into(),
                    tried: &tried,
                    body_bytes: 0,
                    prompt: None,
                    nodes: NodeShares {
                        own_node_hash: node_hashes[node],
                        node_hashes: &node_hashes,
                    },
                    cold_rate: None,
                    tie_breaker: mix(random.u64(..), 1),
                };
                let choice = choose_endpoint(&fleets[node], &request, VersionFilter::Any, now);
                let Some(choice) = choice else {
                    break;
                };
                let key = choice.endpoint;
                let endpoint = fleets[node].get_mut(key).expect("listed");
                let name = endpoint.entry.name.clone();
                let engine = engines.iter_mut().find(|engine| engine.entry.name == name);
                if engine.expect("an engine").receive(node, key, now_ms) {
                    endpoint.in_flight += 1;
                    break;
                }
                tried.push(key);
            }
        }
    }
    let nodes_that_served = served.iter().filter(|served| **served > 0).count();
    Outcome {
        falls: engines.iter().map(|engine| engine.falls).sum(),
        served_percent: (served.iter().sum::<usize>() as f64 * 100.0 / room) as usize,
        nodes_that_served_percent: nodes_that_served * 100 / node_count,
    }
}

#[test]
fn nodes_together_send_brittle_endpoints_what_these_have_room_for() {
    let mut lines = Vec::new();
    for (nodes, engines) in [(9, 3), (67, 12), (67, 60), (340, 60)] {
        for is_known in [false, true] {
            let outcome = simulate(nodes, engines, is_known);
            if is_known {
                assert!(
                    outcome.falls <= 2 + engines / 10,
                    "{nodes} nodes: {outcome}"
                );
            }
            let known = if is_known { "known" } else { "unknown" };
            lines.push(format!(
                "{nodes} nodes, {engines} endpoints, {known}: {outcome}"
            ));
        }
    }
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn slots_of_all_nodes_add_up() {
    for (count, slots) in [(1, 8), (3, 8), (9, 8), (67, 8), (340, 128), (9, 0)] {
        let node_hashes: Vec<u64> = (0..count).map(|index| mix(index, 1)).collect();
        let shares = node_hashes.iter().map(|own_node_hash| NodeShares {
            own_node_hash: *own_node_hash,
            node_hashes: &node_hashes,
        });
        let total: u32 = shares
            .map(|nodes| nodes.slot_shares().slots(slots, 5))
            .sum();
        assert_eq!(total, slots, "{count} nodes");
    }
}

/// Responses may overtake each other when a service stops being brittle.
#[test]
fn brittleness_ends_a_second_after_the_last_statement() {
    let mut brittleness = Brittleness::default();
    assert!(!brittleness.is_brittle(1, at(0)));
    assert!(brittleness.record(1, Some(4.0), at(0)));
    assert!(!brittleness.record(1, None, at(900)));
    assert!(brittleness.is_brittle(1, at(900)));
    assert!(brittleness.record(1, None, at(1_000)));
    let ended: Now = at(1_001);
    assert!(!brittleness.is_brittle(1, ended));
    assert!(!brittleness.is_brittle(2, ended));
}
