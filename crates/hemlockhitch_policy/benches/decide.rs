//! Latency of selecting one of 3,700 endpoints.

use std::hint::black_box;

use criterion::Criterion;
use hemlockhitch_config::configuration::{DataCentre, Endpoint, OrderCheck};
use hemlockhitch_config::{Configuration, RoutingTable, Row, VersionedRow};
use hemlockhitch_model::{EndpointKey, Key, Now};
use hemlockhitch_policy::endpoint::{EndpointLoad, EndpointPool, Placement, order_endpoints};

const DATA_CENTRES: usize = 10;
const ENDPOINTS: usize = 3_700;

fn table() -> RoutingTable {
    let mut configuration = Configuration::default();
    let data_centres = (0..DATA_CENTRES).map(|number| {
        Row::DataCentre(DataCentre {
            name: format!("dc-{number}").into(),
            region: "r".into(),
            out: false,
        })
    });
    let endpoints = (0..ENDPOINTS).map(|number| {
        Row::Endpoint(Endpoint {
            name: format!("e-{number}").into(),
            address: "127.0.0.1:1".to_owned(),
            data_centre: format!("dc-{}", number % DATA_CENTRES).into(),
            service: "llm".into(),
            versions: Vec::new(),
            cold_limit: 1,
            warm_limit: 8,
            orders: OrderCheck::Checked,
            out: number % 13 == 0,
        })
    });
    for row in data_centres.chain(endpoints) {
        let key = row.key();
        let row = Some(row);
        configuration
            .rows
            .insert(key, VersionedRow { row, generation: 1 });
    }
    RoutingTable::compile(&configuration)
}

fn load(key: EndpointKey) -> EndpointLoad {
    EndpointLoad {
        own_in_flight: u32::from(key.index().is_multiple_of(3)),
        reported_requests: 3,
        report_age_ms: 800,
        last_failure_mono_ms: None,
    }
}

fn main() {
    let table = table();
    let keys: Vec<EndpointKey> = table.endpoints.iter().map(|(key, _)| key).collect();
    let local_data_centre = table.data_centre("dc-3").expect("the data centre exists");
    let pool = EndpointPool::new(&table, &keys, local_data_centre);
    let now = Now {
        mono_ms: 5,
        unix_ms: 1_700_000_000_005,
    };
    let mut criterion = Criterion::default().configure_from_args();
    let mut draw = 0_u64;
    criterion.bench_function("pool of 3,700", |bencher| {
        bencher.iter(|| {
            draw = draw.wrapping_add(0x9e37_79b9_7f4a_7c15);
            let placement = Placement {
                local_data_centre,
                prefix_hash: draw | 1,
                expected_ms: 10_000,
            };
            black_box(pool.order(&table, load, placement, draw, now))
        });
    });
    criterion.bench_function("every one of 3,700", |bencher| {
        bencher.iter(|| {
            draw = draw.wrapping_add(0x9e37_79b9_7f4a_7c15);
            let placement = Placement {
                local_data_centre,
                prefix_hash: draw | 1,
                expected_ms: 10_000,
            };
            black_box(order_endpoints(&table, &keys, load, placement, now))
        });
    });
    criterion.final_summary();
}
