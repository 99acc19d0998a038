//! Endpoint selection: order, prefix affinity, and load compared with other
//! strategies.

use std::collections::HashSet;

use fastrand::Rng;
use hemlockhitch_config::configuration::{
    DataCentre, Endpoint, OrderCheck, PlannedStop, StopTarget,
};
use hemlockhitch_config::{Configuration, RoutingTable, Row, VersionedRow};
use hemlockhitch_model::{EndpointKey, Key, Now};
use hemlockhitch_policy::endpoint::{EndpointLoad, EndpointPool, Placement, order_endpoints};

const WARM_LIMIT: u32 = 8;

fn at(mono_ms: u64) -> Now {
    Now {
        mono_ms,
        unix_ms: 1_700_000_000_000 + mono_ms,
    }
}

/// Builds a routing table with the given number of endpoints in each data centre.
fn table(
    data_centres: &[&str],
    endpoints_per_data_centre: usize,
    extra_rows: impl IntoIterator<Item = Row>,
) -> RoutingTable {
    let mut rows: Vec<Row> = extra_rows.into_iter().collect();
    for data_centre_name in data_centres {
        rows.push(Row::DataCentre(DataCentre {
            name: (*data_centre_name).into(),
            region: "r".into(),
            out: false,
        }));
        rows.extend((0..endpoints_per_data_centre).map(|number| {
            Row::Endpoint(Endpoint {
                name: format!("{data_centre_name}{number}").into(),
                address: "127.0.0.1:1".to_owned(),
                data_centre: (*data_centre_name).into(),
                service: "llm".into(),
                versions: Vec::new(),
                cold_limit: 1,
                warm_limit: WARM_LIMIT,
                orders: OrderCheck::Checked,
                out: false,
            })
        }));
    }
    let mut configuration = Configuration::default();
    for row in rows {
        let key = row.key();
        let row = Some(row);
        configuration
            .rows
            .insert(key, VersionedRow { row, generation: 1 });
    }
    RoutingTable::compile(&configuration)
}

fn keys(table: &RoutingTable) -> Vec<EndpointKey> {
    table.endpoints.iter().map(|(key, _)| key).collect()
}

fn placement(table: &RoutingTable, prefix_hash: u64) -> Placement {
    Placement {
        local_data_centre: table.data_centre("a").unwrap(),
        prefix_hash,
        expected_ms: 10_000,
    }
}

fn names(table: &RoutingTable, order: &[EndpointKey]) -> String {
    let names = order
        .iter()
        .map(|key| table.endpoints[*key].row.name.to_string());
    names.collect::<Vec<_>>().join(" ")
}

#[test]
fn endpoints_are_ordered_by_load() {
    let table = table(&["a", "b"], 2, []);
    let local_data_centre = table.data_centre("a").unwrap();
    let pool = EndpointPool::new(&table, &keys(&table), local_data_centre);
    let idle = EndpointLoad::default();
    let own = |count| EndpointLoad {
        own_in_flight: count,
        ..idle
    };
    let report = |count, age_ms| EndpointLoad {
        reported_requests: count,
        report_age_ms: age_ms,
        ..idle
    };
    let failed = EndpointLoad {
        last_failure_mono_ms: Some(9_000),
        ..idle
    };
    // Loads of the endpoints a0, a1, b0 and b1.
    let cases = [
        ("home first", [own(2), own(3), own(0), own(1)]),
        (
            "spill over before requests queue",
            [own(6), own(6), own(4), own(3)],
        ),
        ("fresh report", [report(6, 0), own(1), own(8), own(8)]),
        ("old report", [report(6, 60_000), own(1), own(8), own(8)]),
        ("failed goes last", [failed, own(8), own(7), own(8)]),
    ];
    let mut rows = String::new();
    for (name, loads) in cases {
        let load = |key: EndpointKey| loads[key.index()];
        let order = pool.order(&table, load, placement(&table, 0), 1, at(10_000));
        rows.push_str(&format!("{name}: {}\n", names(&table, &order)));
    }
    insta::assert_snapshot!(rows, @"
    home first: a0 a1 b0 b1
    spill over before requests queue: b1 b0 a0 a1
    fresh report: a1 a0 b1 b0
    old report: a0 a1 b1 b0
    failed goes last: a1 b0 b1 a0
    ");
}

#[test]
fn endpoints_with_a_planned_stop_get_no_work() {
    let stop = PlannedStop {
        target: StopTarget::DataCentre("a".into()),
        from_unix_ms: at(15_000).unix_ms,
        until_unix_ms: at(60_000).unix_ms,
    };
    let table = table(&["a", "b"], 20, [Row::PlannedStop(stop)]);
    let all = keys(&table);
    let local_data_centre = table.data_centre("a").unwrap();
    let pool = EndpointPool::new(&table, &all, local_data_centre);
    for draw in 0..200 {
        let placement = placement(&table, draw);
        let idle = |_| EndpointLoad::default();
        let by_pool = pool.order(&table, idle, placement, draw, at(10_000));
        let by_all = order_endpoints(&table, &all, idle, placement, at(10_000));
        assert_eq!(by_all.len(), 20);
        assert!(!by_pool.is_empty());
        let mut chosen = by_pool.into_iter().chain(by_all);
        assert!(chosen.all(|key| table.endpoints[key].data_centre != local_data_centre));
    }
}

#[test]
fn only_endpoint_that_accepts_work_is_found() {
    let mut table = table(&["a"], 500, []);
    for key in keys(&table) {
        table.endpoints[key].row.out = table.endpoints[key].row.name.as_str() != "a321";
    }
    let all = keys(&table);
    let pool = EndpointPool::new(&table, &all, table.data_centre("a").unwrap());
    let idle = |_| EndpointLoad::default();
    let order = pool.order(&table, idle, placement(&table, 5), 9, at(0));
    insta::assert_snapshot!(names(&table, &order), @"a321");
}

#[test]
fn prefix_keeps_its_endpoint_when_another_is_removed() {
    let table = table(&["a"], 20, []);
    let all = keys(&table);
    let fewer: Vec<EndpointKey> = all.iter().copied().filter(|key| key.index() != 7).collect();
    let local_data_centre = table.data_centre("a").unwrap();
    let pools = [&all, &fewer].map(|keys| EndpointPool::new(&table, keys, local_data_centre));
    let idle = |_| EndpointLoad::default();
    let moved = (1..=1_000).filter(|prefix| {
        let placement = placement(&table, *prefix);
        let firsts = pools
            .each_ref()
            .map(|pool| pool.order(&table, idle, placement, 3, at(0))[0]);
        firsts[0] != firsts[1]
    });
    insta::assert_snapshot!(format!("{} of 1000 moved, 50 expected", moved.count()), @"48 of 1000 moved, 50 expected");
}

/// A strategy for selecting an endpoint.
#[derive(Clone, Copy)]
enum SelectionStrategy {
    Random,
    LeastLoaded,
    PrefixOnly,
    LinearScan,
    Pool,
}

/// Simulates nine nodes that send requests to 18 endpoints in three data centres. Each
/// node knows its own requests at once, and those of other nodes from load reports that
/// are one second old.
///
/// Returns the number of requests over the endpoint's limit, with a cached prefix, and
/// outside the local data centre, and the number of all requests.
fn simulate(strategy: SelectionStrategy) -> [usize; 4] {
    const NODES: usize = 9;
    const PREFIXES: f64 = 60.0;
    const CACHE_CAPACITY_PREFIXES: usize = 8;
    let table = table(&["a", "b", "c"], 6, []);
    let all = keys(&table);
    let data_centres = ["a", "b", "c"].map(|name| table.data_centre(name).unwrap());
    let pools =
        data_centres.map(|local_data_centre| EndpointPool::new(&table, &all, local_data_centre));
    let mut rng = Rng::with_seed(4);
    let mut selection_rng = Rng::with_seed(5);
    let mut running: Vec<Vec<(u64, usize)>> = vec![Vec::new(); all.len()];
    let mut caches: Vec<Vec<u64>> = vec![Vec::new(); all.len()];
    let mut history: Vec<Vec<u32>> = Vec::new();
    let mut counts = [0; 4];
    for step in 0..6_000_usize {
        let mono_ms = step as u64 * 10;
        running
            .iter_mut()
            .for_each(|requests| requests.retain(|(end_ms, _)| *end_ms > mono_ms));
        history.push(
            running
                .iter()
                .map(|requests| requests.len() as u32)
                .collect(),
        );
        let reported = &history[step.saturating_sub(100)];
        // A burst of requests every ten seconds, most of it in the first data centre.
        let rate = if step % 1_000 < 300 { 1.1 } else { 0.4 };
        while rng.f64() < rate / (1.0 + rate) {
            let node = if rng.f64() < 0.5 {
                0
            } else {
                rng.usize(0..NODES)
            };
            let prefix = 1 + (rng.f64().powi(3) * PREFIXES) as u64;
            let load = |key: EndpointKey| {
                let own = running[key.index()]
                    .iter()
                    .filter(|(_, owner)| *owner == node);
                EndpointLoad {
                    own_in_flight: own.count() as u32,
                    reported_requests: reported[key.index()],
                    report_age_ms: 1_000,
                    last_failure_mono_ms: None,
                }
            };
            let local_data_centre = data_centres[node % 3];
            let prefix_hash = prefix.wrapping_mul(0x9e37_79b9_7f4a_7c15);
            let placement = Placement {
                local_data_centre,
                prefix_hash,
                expected_ms: 1_000,
            };
            let now = at(mono_ms);
            let key = match strategy {
                SelectionStrategy::Random => all[selection_rng.usize(0..all.len())],
                SelectionStrategy::LeastLoaded => {
                    *all.iter().min_by_key(|key| reported[key.index()]).unwrap()
                }
                SelectionStrategy::PrefixOnly => all[(prefix_hash % all.len() as u64) as usize],
                SelectionStrategy::LinearScan => {
                    order_endpoints(&table, &all, load, placement, now)[0]
                }
                SelectionStrategy::Pool => {
                    pools[node % 3].order(&table, load, placement, selection_rng.u64(..), now)[0]
                }
            };
            let index = key.index();
            counts[0] += usize::from(running[index].len() as u32 >= WARM_LIMIT);
            let hit = caches[index].contains(&prefix);
            counts[1] += usize::from(hit);
            counts[2] += usize::from(table.endpoints[key].data_centre != local_data_centre);
            counts[3] += 1;
            caches[index].retain(|cached| *cached != prefix);
            caches[index].push(prefix);
            if caches[index].len() > CACHE_CAPACITY_PREFIXES {
                caches[index].remove(0);
            }
            let run_ms = if hit { 700 } else { 1_000 };
            running[index].push((mono_ms + run_ms, node));
        }
    }
    counts
}

#[test]
fn load_and_cache_hits_compared_with_other_strategies() {
    let cases = [
        ("random", SelectionStrategy::Random),
        ("least reported load", SelectionStrategy::LeastLoaded),
        ("prefix only", SelectionStrategy::PrefixOnly),
        ("own requests, then home", SelectionStrategy::LinearScan),
        ("pool", SelectionStrategy::Pool),
    ];
    let rows = cases.map(|(name, strategy)| {
        let [over_limit, cached, remote, all] = simulate(strategy);
        format!("{name}: of {all}, {over_limit} over the limit, {cached} cached, {remote} remote")
    });
    insta::assert_snapshot!(rows.join("\n"), @"
    random: of 3408, 166 over the limit, 1306 cached, 2238 remote
    least reported load: of 3408, 2820 over the limit, 1292 cached, 1143 remote
    prefix only: of 3408, 834 over the limit, 3348 cached, 2403 remote
    own requests, then home: of 3408, 34 over the limit, 1299 cached, 1257 remote
    pool: of 3408, 49 over the limit, 1917 cached, 412 remote
    ");
}

#[test]
fn equal_endpoints_are_all_selected() {
    let table = table(&["a"], 9, []);
    let local_data_centre = table.data_centre("a").unwrap();
    let pool = EndpointPool::new(&table, &keys(&table), local_data_centre);
    let idle = |_| EndpointLoad::default();
    let firsts: HashSet<EndpointKey> = (0..200)
        .map(|draw| pool.order(&table, idle, placement(&table, 0), draw, at(0))[0])
        .collect();
    assert_eq!(firsts.len(), 9);
}
