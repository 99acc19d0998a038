//! Nodes that reach no endpoint, and the nodes that they pass requests to.

use std::collections::{HashMap, HashSet};

use hemlockhitch_model::{Now, ServiceName};
use hemlockhitch_routing::fleet::{EndpointEntry, Fleet};
use hemlockhitch_routing::reach::{
    HelperSelector, MAX_HELPERS_PER_REQUEST, Reach, SILENCE_MS, Suspicion,
};
use hemlockhitch_routing::source::FollowableNode;

const DATA_CENTRES: [&str; 3] = ["a", "b", "c"];

fn at(mono_ms: u64) -> Now {
    Now {
        mono_ms,
        unix_ms: mono_ms,
    }
}

fn service() -> ServiceName {
    ServiceName::from("app")
}

fn fleet(endpoints: usize) -> Fleet {
    let mut fleet = Fleet::default();
    for index in 0..endpoints {
        let entry = EndpointEntry {
            name: format!("i-{index}").into(),
            service: service(),
            address: format!("10.0.0.{}:80", index + 1)
                .parse()
                .expect("an address"),
            data_centre: DATA_CENTRES[index * DATA_CENTRES.len() / endpoints].into(),
            version: "v1".into(),
            slots: 8,
            draining: false,
            cold_remaining_ms: 0,
            started_unix_ms: Some(1),
        };
        fleet.upsert(entry, at(0));
    }
    fleet
}

#[test]
fn suspicion_is_probed_once_and_again_only_after_a_while() {
    let mut reach = Reach::default();
    let service = service();
    assert!(reach.suspect(&service, Suspicion::NotConnected, at(0)));
    assert!(!reach.suspect(&service, Suspicion::NotConnected, at(1)));
    assert_eq!(reach.record_probe(&service, true, at(2)), (false, false));
    assert!(!reach.suspect(&service, Suspicion::NotConnected, at(300)));
    assert!(reach.suspect(&service, Suspicion::NotConnected, at(502)));
}

/// An endpoint may take long while others respond.
#[test]
fn unanswered_request_is_no_suspicion_while_others_are_answered() {
    let mut reach = Reach::default();
    let service = service();
    reach.record_response(&service, at(1_000));
    assert!(!reach.suspect(&service, Suspicion::Unanswered, at(1_000 + SILENCE_MS - 1)));
    assert!(reach.suspect(&service, Suspicion::Unanswered, at(1_000 + SILENCE_MS)));
}

#[test]
fn node_is_cut_off_until_a_probe_connects() {
    let mut reach = Reach::default();
    let service = service();
    assert!(reach.suspect(&service, Suspicion::Unanswered, at(0)));
    assert_eq!(reach.record_probe(&service, false, at(300)), (true, true));
    assert_eq!(reach.record_probe(&service, false, at(700)), (true, false));
    // A response that was on its way shows nothing about new connections.
    reach.record_response(&service, at(800));
    assert!(reach.is_cut_off(&service));
    assert!(!reach.suspect(&service, Suspicion::NotConnected, at(900)));
    assert_eq!(reach.record_probe(&service, true, at(1_100)), (false, true));
    assert!(!reach.is_cut_off(&service));
    assert!(!reach.is_cut_off(&ServiceName::from("other")));
}

#[test]
fn probe_connects_to_endpoints_of_every_data_centre_and_to_others_next_time() {
    let mut reach = Reach::default();
    let fleet = fleet(9);
    let mut seen = HashSet::new();
    for round in 0..12 {
        let targets = reach.probe_targets(&service(), &fleet, at(round));
        assert_eq!(targets.len(), 4);
        let data_centres: HashSet<&str> = fleet
            .endpoints()
            .filter(|endpoint| targets.contains(&endpoint.entry.address))
            .map(|endpoint| endpoint.entry.data_centre.as_str())
            .collect();
        assert_eq!(data_centres.len(), 3);
        seen.extend(targets);
    }
    assert_eq!(seen.len(), 9);
    assert_eq!(
        reach
            .probe_targets(&service(), &self::fleet(2), at(0))
            .len(),
        2
    );
    assert!(
        reach
            .probe_targets(&service(), &Fleet::default(), at(0))
            .is_empty()
    );
}

/// A node of the simulated fleet.
struct SimulatedNode {
    name: String,
    address: String,
    data_centre: &'static str,
    is_cut_off: bool,
    helpers: HelperSelector,
}

impl SimulatedNode {
    fn followable(&self) -> FollowableNode<'_> {
        FollowableNode {
            name: &self.name,
            address: &self.address,
            data_centre: self.data_centre,
            capacity: 250,
        }
    }
}

/// What a simulated load showed.
#[derive(Debug, Default)]
struct Outcome {
    requests: usize,
    served: usize,
    calls: usize,
    /// Most requests that one node helped with.
    max_helped: usize,
}

fn simulate(count: usize, is_cut_off: impl Fn(usize) -> bool) -> Outcome {
    let nodes = (0..count).map(|index| SimulatedNode {
        name: format!("node-{index}"),
        address: format!("10.0.{}.{}:7", index / 250, index % 250),
        data_centre: DATA_CENTRES[index % DATA_CENTRES.len()],
        is_cut_off: is_cut_off(index),
        helpers: HelperSelector::default(),
    });
    let mut nodes: Vec<SimulatedNode> = nodes.collect();
    let mut outcome = Outcome::default();
    let mut helped: HashMap<String, usize> = HashMap::new();
    // Nine seconds with a request a second at each node.
    for now_ms in (0..9_000).step_by(1_000) {
        for index in (0..count).filter(|index| is_cut_off(*index)) {
            outcome.requests += 1;
            let mut helpers = nodes[index].helpers.clone();
            for asked in 0..MAX_HELPERS_PER_REQUEST as u64 {
                let own = nodes[index].followable();
                let others = nodes.iter().map(SimulatedNode::followable);
                let mixed = hemlockhitch_model::mix(now_ms, asked);
                let Some(helper) =
                    helpers.select(own, others, &service(), mixed, asked == 0, at(now_ms))
                else {
                    break;
                };
                outcome.calls += 1;
                let address = helper.address.to_owned();
                let takes = nodes
                    .iter()
                    .any(|node| node.address == address && !node.is_cut_off);
                helpers.record(helper, &service(), takes, at(now_ms));
                if takes {
                    outcome.served += 1;
                    *helped.entry(address).or_default() += 1;
                    break;
                }
            }
            nodes[index].helpers = helpers;
        }
    }
    outcome.max_helped = helped.values().copied().max().unwrap_or_default();
    outcome
}

/// From the third second of a cut on, most first attempts must be served.
#[test]
fn most_requests_find_a_helper_whichever_nodes_are_cut_off() {
    let mut lines = Vec::new();
    for count in [9, 67, 340] {
        let most = simulate(count, |index| index % 5 < 3);
        let data_centre = simulate(count, |index| index % 3 == 0);
        let nine_of_ten = simulate(count, |index| index % 10 > 0);
        for (name, outcome) in [
            ("three of five", most),
            ("data centre", data_centre),
            ("nine of ten", nine_of_ten),
        ] {
            let served_percent = outcome.served * 100 / outcome.requests;
            let calls_percent = outcome.calls * 100 / outcome.requests;
            lines.push(format!(
                "{count} nodes, {name}: {served_percent} of 100 served, {calls_percent} calls, {} at most by one of {} served",
                outcome.max_helped, outcome.served
            ));
        }
    }
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn node_helps_with_one_service_while_it_reaches_no_endpoint_of_another() {
    let mut helpers = HelperSelector::default();
    let node = |name: &'static str| FollowableNode {
        name,
        address: name,
        data_centre: "a",
        capacity: 250,
    };
    let other = ServiceName::from("other");
    helpers.record(node("node-2"), &service(), false, at(0));
    let select = |service: &ServiceName, asks_again: bool, now: Now| {
        let nodes = [node("node-1"), node("node-2")].into_iter();
        helpers
            .select(node("node-1"), nodes, service, 0, asks_again, now)
            .map(|node| node.name)
    };
    assert_eq!(select(&service(), true, at(1)), None);
    assert_eq!(select(&other, false, at(1)), Some("node-2"));
    assert_eq!(select(&service(), false, at(1_999)), None);
    assert_eq!(select(&service(), false, at(2_000)), Some("node-2"));
    // The only other node may have restarted.
    assert_eq!(select(&service(), true, at(400)), Some("node-2"));
}
