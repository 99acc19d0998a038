//! The configuration of the test fleets.

use hemlockhitch_config::Row;
use hemlockhitch_config::configuration::{
    Allowance, DataCentre, Endpoint, OrderCheck, Organisation, ServiceCall, Share, Version,
};
use hemlockhitch_model::Class;

/// API token of the organisation `acme`.
pub const CALLER_TOKEN: &str = "token-acme";

/// SHA-256 of [`CALLER_TOKEN`].
const CALLER_TOKEN_SHA256: &str =
    "28abf16748f280f16426b953fc1e281ffe48ea7a4d7f17a428c362b3ca1ae626";

/// Names of the data centres. Nodes and endpoints are assigned to them in turn.
pub const DATA_CENTRES: [&str; 3] = ["dc-a", "dc-b", "dc-c"];

/// Returns the rows of a configuration with engines and plain services at these
/// addresses, spread over the data centres.
pub fn rows(engines: &[String], services: &[String]) -> Vec<Row> {
    let mut rows = vec![
        organisation(),
        version("small@1"),
        version("small@2"),
        version("secret@1"),
        allowance("small@1", 50.0),
        allowance("small@2", 50.0),
        call("POST", "/holds", false),
        call("GET", "/subscribers/*", true),
    ];
    rows.extend(DATA_CENTRES.map(|name| data_centre(name, false)));
    for (index, address) in engines.iter().enumerate() {
        rows.push(endpoint(
            "e",
            index,
            address,
            "models",
            &["small@1", "small@2"],
        ));
    }
    for (index, address) in services.iter().enumerate() {
        rows.push(endpoint("p", index, address, "pull", &[]));
    }
    rows
}

/// Returns the row of a data centre. `out` takes it out of service.
pub fn data_centre(name: &str, out: bool) -> Row {
    Row::DataCentre(DataCentre {
        name: name.into(),
        region: "north".into(),
        out,
    })
}

fn organisation() -> Row {
    Row::Organisation(Organisation {
        name: "acme".into(),
        token_sha256: CALLER_TOKEN_SHA256.to_owned(),
        weight: 1,
        limit_per_s: 1_000,
    })
}

fn version(name: &str) -> Row {
    Row::Version(Version {
        name: name.into(),
        withdrawn: false,
        prompt_price_micros: 1_000_000,
        completion_price_micros: 2_000_000,
    })
}

fn allowance(version: &str, percent: f64) -> Row {
    Row::Allowance(Allowance {
        organisation: "acme".into(),
        version: version.into(),
        share: Share { percent },
    })
}

fn call(method: &str, path: &str, idempotent: bool) -> Row {
    Row::ServiceCall(ServiceCall {
        service: "pull".into(),
        method: method.to_owned(),
        path: path.to_owned(),
        idempotent,
        class: Class::Lookup,
    })
}

fn endpoint(prefix: &str, index: usize, address: &str, service: &str, versions: &[&str]) -> Row {
    let data_centre = DATA_CENTRES[index % DATA_CENTRES.len()];
    Row::Endpoint(Endpoint {
        name: format!("{prefix}-{index}").into(),
        address: address.to_owned(),
        data_centre: data_centre.into(),
        service: service.into(),
        versions: versions.iter().map(|name| (*name).into()).collect(),
        cold_limit: if versions.is_empty() { 16 } else { 8 },
        warm_limit: 16,
        orders: OrderCheck::Checked,
        out: false,
    })
}
