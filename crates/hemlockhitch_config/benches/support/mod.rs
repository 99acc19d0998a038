//! A configuration of full size: the size expected within two years.

use hemlockhitch_config::configuration::{
    Allowance, Cascade, DataCentre, Endpoint, OrderCheck, Organisation, PlannedStop, Row, Share,
    StopTarget, Version,
};
use hemlockhitch_config::{Change, RowEdit};
use hemlockhitch_model::{ChangeId, Class};

const DATA_CENTRES: u32 = 10;
const ENDPOINTS: u32 = 3_700;
const MODELS: u32 = 7;
const VERSIONS_PER_MODEL: u32 = 2;
const ORGANISATIONS: u32 = 100;
const PLANNED_STOPS: u32 = 500;
const HOUR_MS: u64 = 3_600_000;

fn data_centre(number: u32) -> String {
    format!("dc-{number}")
}

fn version(model: u32, version: u32) -> String {
    format!("model-{model}@{version}")
}

/// Returns a model engine.
pub fn endpoint(number: u32) -> Endpoint {
    let model = number % MODELS;
    Endpoint {
        name: format!("engine-{number}").into(),
        address: format!("10.{}.{}.1:8000", number / 200, number % 200),
        data_centre: data_centre(number % DATA_CENTRES).into(),
        service: "pool".into(),
        versions: (0..VERSIONS_PER_MODEL)
            .map(|label| version(model, label).into())
            .collect(),
        cold_limit: 2,
        warm_limit: 16,
        orders: OrderCheck::Checked,
        out: false,
    }
}

fn organisation_rows(number: u32) -> Vec<Row> {
    let name = format!("organisation-{number}");
    let mut rows = vec![Row::Organisation(Organisation {
        name: name.as_str().into(),
        token_sha256: format!("{number:064x}"),
        weight: 1,
        limit_per_s: 100,
    })];
    for model in 0..MODELS {
        for label in 0..VERSIONS_PER_MODEL {
            rows.push(Row::Allowance(Allowance {
                organisation: name.as_str().into(),
                version: version(model, label).into(),
                share: Share { percent: 50.0 },
            }));
        }
    }
    rows.push(Row::Cascade(Cascade {
        organisation: name.as_str().into(),
        class: Class::Chat,
        models: vec!["model-0".into(), "model-1".into()],
        quality_target_ratio: 0.8,
    }));
    rows
}

/// Returns the rows of a configuration of full size.
pub fn full_size_rows() -> Vec<Row> {
    let mut rows = Vec::new();
    for number in 0..DATA_CENTRES {
        rows.push(Row::DataCentre(DataCentre {
            name: data_centre(number).into(),
            region: "region".into(),
            out: false,
        }));
    }
    for model in 0..MODELS {
        for label in 0..VERSIONS_PER_MODEL {
            rows.push(Row::Version(Version {
                name: version(model, label).into(),
                withdrawn: false,
                prompt_price_micros: 100,
                completion_price_micros: 400,
            }));
        }
    }
    rows.extend((0..ENDPOINTS).map(|number| Row::Endpoint(endpoint(number))));
    rows.extend((0..ORGANISATIONS).flat_map(organisation_rows));
    for number in 0..PLANNED_STOPS {
        rows.push(Row::PlannedStop(PlannedStop {
            target: StopTarget::Endpoint(endpoint(number).name),
            from_unix_ms: HOUR_MS,
            until_unix_ms: 2 * HOUR_MS,
        }));
    }
    rows
}

/// Returns a change that adds or replaces the rows.
pub fn change(rows: impl IntoIterator<Item = Row>) -> Change {
    Change {
        id: ChangeId::from_u128(1),
        base_generation: 0,
        author: "planner".to_owned(),
        at_unix_ms: 0,
        edits: rows.into_iter().map(RowEdit::set).collect(),
    }
}
