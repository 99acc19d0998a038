//! Cost of a configuration change on a node, for a configuration of full size.

mod support;

use std::hint::black_box;

use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use hemlockhitch_config::configuration::{Endpoint, Row};
use hemlockhitch_config::{Configuration, RoutingTable, validation};

use support::{change, endpoint, full_size_rows};

fn full_size(c: &mut Criterion) {
    let mut configuration = Configuration::default();
    configuration.apply(&change(full_size_rows()));
    let one_row = change([Row::Endpoint(Endpoint {
        out: true,
        ..endpoint(7)
    })]);
    c.bench_function("compile", |b| {
        b.iter(|| RoutingTable::compile(black_box(&configuration)));
    });
    c.bench_function("clone", |b| b.iter(|| black_box(&configuration).clone()));
    c.bench_function("apply one row", |b| {
        b.iter_batched_ref(
            || configuration.clone(),
            |configuration| configuration.apply(&one_row),
            BatchSize::LargeInput,
        );
    });
    c.bench_function("check", |b| {
        b.iter(|| validation::find_faults(configuration.existing_rows().map(|(_, row)| row)));
    });
}

criterion_group!(benches, full_size);
criterion_main!(benches);
