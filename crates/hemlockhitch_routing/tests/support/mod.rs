//! Fixtures for the tests.
#![allow(dead_code)]

pub mod network;

use hemlockhitch_model::Now;
use hemlockhitch_routing::fleet::{EndpointEntry, Fleet};

/// Returns the time at `mono_ms`.
pub fn at(mono_ms: u64) -> Now {
    Now {
        mono_ms,
        unix_ms: 1_700_000_000_000 + mono_ms,
    }
}

/// Returns the registration of an endpoint with 8 slots.
pub fn entry(name: &str, data_centre: &str, version: &str) -> EndpointEntry {
    EndpointEntry {
        name: name.into(),
        service: "models".into(),
        address: ([10, 0, 0, 1], 8_080).into(),
        data_centre: data_centre.into(),
        version: version.into(),
        slots: 8,
        draining: false,
        cold_remaining_ms: 0,
        started_unix_ms: Some(1),
    }
}

/// Returns a fleet of `count` endpoints of version `v1`, spread over three data
/// centres.
pub fn fleet(count: usize) -> Fleet {
    let mut fleet = Fleet::default();
    for index in 0..count {
        let data_centre = ["a", "b", "c"][index % 3];
        fleet.upsert(entry(&format!("e-{index}"), data_centre, "v1"), at(0));
    }
    fleet
}
