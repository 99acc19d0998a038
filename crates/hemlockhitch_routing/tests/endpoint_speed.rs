//! Placement at endpoints that state how long work currently takes.

mod support;

use std::collections::BTreeMap;

use hemlockhitch_model::EndpointKey;
use hemlockhitch_routing::fleet::{Fleet, Load, StatedWorkTime};
use hemlockhitch_routing::limits::NodeShares;
use hemlockhitch_routing::selection::{
    SelectionRequest, VersionFilter, choose_endpoint, is_probe_worthwhile,
};
use support::{at, entry};

/// How nodes learn about endpoints besides by the responses to their own requests.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Source {
    /// In no other way.
    Responses,
    /// By probes before requests, at most this many a second.
    Probes { per_s: f64 },
}

/// Load: requests that run for 60 ms arrive at any node, while each third endpoint is slow
/// in turns.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    nodes: usize,
    endpoints: usize,
    per_s: u64,
    turn_ms: u64,
    source: Source,
}

#[derive(Debug)]
struct Outcome {
    slow_ratio: f64,
    p90_ms: u64,
    probes_per_s_and_node: f64,
}

const WORK_MS: u64 = 60;
const DURATION_MS: u64 = 30_000;
const WARM_UP_MS: u64 = 5_000;

impl Scenario {
    fn percent(self, endpoint: usize, now_ms: u64) -> u32 {
        let slow = usize::try_from(now_ms / self.turn_ms).expect("small") % 3;
        if endpoint % 3 == slow { 300 } else { 100 }
    }

    fn play(self) -> Outcome {
        let mut rng = fastrand::Rng::with_seed(11);
        let mut fleets: Vec<Fleet> = (0..self.nodes).map(|_| Fleet::default()).collect();
        let mut keys = Vec::new();
        for fleet in &mut fleets {
            for index in 0..self.endpoints {
                let (key, _) = fleet.upsert(entry(&format!("e-{index}"), "a", "v1"), at(0));
                keys.push(key);
            }
        }
        keys.truncate(self.endpoints);
        let index_of = |key: EndpointKey| keys.iter().position(|other| *other == key);
        let mut running = vec![0_u32; self.endpoints];
        let mut ends: BTreeMap<(u64, u64), (usize, usize)> = BTreeMap::new();
        let (mut probes, mut slow, mut latencies) = (0_u64, 0_u64, Vec::new());
        let (mut next_ms, mut id) = (0.0, 0_u64);
        for now_ms in 0..DURATION_MS {
            let now = at(now_ms);
            while let Some(entry) = ends.first_entry().filter(|entry| entry.key().0 <= now_ms) {
                let (node, endpoint) = entry.remove();
                running[endpoint] -= 1;
                let percent = self.percent(endpoint, now_ms);
                let known = fleets[node].get_mut(keys[endpoint]).expect("known");
                known.in_flight -= 1;
                known.record_load(load(running[endpoint], percent), now);
            }
            while next_ms <= now_ms as f64 {
                next_ms += 2.0 * rng.f64() * 1_000.0 / self.per_s as f64;
                id += 1;
                let node = rng.usize(..self.nodes);
                let mut key = choose(&fleets[node], rng.u64(..), now_ms);
                let mut endpoint = index_of(key).expect("known");
                for _ in 0..2 {
                    let Source::Probes { per_s } = self.source else {
                        break;
                    };
                    let fleet = &mut fleets[node];
                    let known = fleet.get(key).expect("known");
                    let held_ms = Some(WORK_MS as f64);
                    if !is_probe_worthwhile(fleet, &"models".into(), known, held_ms, per_s, now) {
                        break;
                    }
                    probes += 1;
                    fleet.probe_limiter.record(now);
                    let load = load(running[endpoint], self.percent(endpoint, now_ms));
                    fleet.get_mut(key).expect("known").record_load(load, now);
                    key = choose(fleet, rng.u64(..), now_ms);
                    endpoint = index_of(key).expect("known");
                }
                fleets[node].get_mut(key).expect("known").in_flight += 1;
                running[endpoint] += 1;
                let percent = self.percent(endpoint, now_ms);
                // Requests above the slots share them.
                let sharing = u64::from(running[endpoint].max(8)) * WORK_MS / 8;
                let took_ms = sharing * u64::from(percent) / 100;
                ends.insert((now_ms + took_ms, id), (node, endpoint));
                if now_ms >= WARM_UP_MS {
                    slow += u64::from(percent > 100);
                    latencies.push(took_ms);
                }
            }
        }
        latencies.sort_unstable();
        Outcome {
            slow_ratio: slow as f64 / latencies.len() as f64,
            p90_ms: latencies[latencies.len() * 9 / 10],
            probes_per_s_and_node: probes as f64 * 1_000.0
                / (DURATION_MS * self.nodes as u64) as f64,
        }
    }
}

fn load(running: u32, percent: u32) -> Load {
    Load {
        running,
        waiting: 0,
        slots: 8,
        work_time: Some(StatedWorkTime::Percent(percent)),
    }
}

fn choose(fleet: &Fleet, tie_breaker: u64, now_ms: u64) -> EndpointKey {
    let request = SelectionRequest {
        service: &"models".into(),
        local_data_centre: &"a".into(),
        tried: &[],
        body_bytes: 0,
        prompt: None,
        nodes: NodeShares::default(),
        cold_rate: None,
        tie_breaker,
    };
    let choice = choose_endpoint(fleet, &request, VersionFilter::Any, at(now_ms));
    choice.expect("a choice").endpoint
}

fn scenario(nodes: usize, endpoints: usize, source: Source) -> Scenario {
    Scenario {
        nodes,
        endpoints,
        per_s: 80,
        turn_ms: 600,
        source,
    }
}

/// Guards against neglect of what responses state, and against its use after it has changed.
#[test]
fn few_nodes_learn_from_responses_which_endpoint_is_slow() {
    let outcome = scenario(3, 3, Source::Responses).play();
    assert!(outcome.slow_ratio < 0.08, "{outcome:?}");
    assert!(outcome.p90_ms < 150, "{outcome:?}");
}

/// Guards against a choice by chance at nodes that send too few requests to know which
/// endpoint is slow, and against probes without a bound.
#[test]
fn many_nodes_learn_from_probes_which_endpoint_is_slow() {
    let without = scenario(58, 7, Source::Responses).play();
    assert!(without.slow_ratio > 0.25, "{without:?}");
    let outcome = scenario(58, 7, Source::Probes { per_s: 4.0 }).play();
    assert!(outcome.slow_ratio < 0.12, "{outcome:?}");
    // About one for each request.
    assert!(outcome.probes_per_s_and_node < 1.5, "{outcome:?}");
    let bounded = scenario(58, 7, Source::Probes { per_s: 0.5 }).play();
    assert!(bounded.probes_per_s_and_node <= 0.5, "{bounded:?}");
}

/// Guards against probes that cannot change the choice, delay a request for nothing, or count
/// against a limit of the endpoint.
#[test]
fn probe_is_sent_only_where_it_is_worth_its_price() {
    let mut fleet = Fleet::default();
    let keys = ["e-0", "e-1"].map(|name| fleet.upsert(entry(name, "a", "v1"), at(0)).0);
    let is_worthwhile = |fleet: &Fleet, held_ms, per_s| {
        let endpoint = fleet.get(keys[0]).expect("known");
        is_probe_worthwhile(fleet, &"models".into(), endpoint, held_ms, per_s, at(5_000))
    };
    let work_ms = Some(60.0);
    assert!(
        !is_worthwhile(&fleet, work_ms, 4.0),
        "no endpoint states it"
    );
    for (key, percent) in keys.into_iter().zip([100, 110]) {
        let endpoint = fleet.get_mut(key).expect("known");
        endpoint.record_load(load(0, percent), at(0));
    }
    assert!(!is_worthwhile(&fleet, work_ms, 4.0), "all work as usual");
    let endpoint = fleet.get_mut(keys[1]).expect("known");
    endpoint.record_load(load(0, 300), at(100));
    assert!(is_worthwhile(&fleet, work_ms, 4.0));
    assert!(
        !is_worthwhile(&fleet, None, 4.0),
        "nothing is known of the work"
    );
    assert!(!is_worthwhile(&fleet, Some(10.0), 4.0), "the work is short");
    assert!(!is_worthwhile(&fleet, work_ms, 0.0), "probes are off");
    let mut limited = fleet.clone();
    limited.record_rate(keys[0], Some(4.0), at(5_000));
    assert!(!is_worthwhile(&limited, work_ms, 4.0), "it names a rate");
    let mut brittle = fleet.clone();
    brittle.record_brittle(keys[0], Some(4.0), at(5_000));
    assert!(!is_worthwhile(&brittle, work_ms, 4.0), "it is brittle");
    let endpoint = fleet.get_mut(keys[0]).expect("known");
    endpoint.record_load(load(0, 100), at(5_000));
    assert!(!is_worthwhile(&fleet, work_ms, 4.0), "it was just read");
    fleet.remove(&"e-1".into(), at(5_000));
    assert!(!is_worthwhile(&fleet, work_ms, 4.0), "there is no choice");
}
