//! Checks the JSON examples and the refusal table in `docs/API.md` against the code.

use std::fs;

use hemlockhitch_config::Change;
use hemlockhitch_config::admin::{AdminError, ChangeAnswer, Progress};
use hemlockhitch_router::{RefusalBody, RefusalKind};
use serde::de::DeserializeOwned;

const REFUSAL_KINDS: [RefusalKind; 17] = [
    RefusalKind::Unauthenticated,
    RefusalKind::BadRequest,
    RefusalKind::TooLarge,
    RefusalKind::NotAllowed,
    RefusalKind::NotFound,
    RefusalKind::Withdrawn,
    RefusalKind::Overloaded,
    RefusalKind::NoEndpoint,
    RefusalKind::NotServing,
    RefusalKind::KeyRequired,
    RefusalKind::KeyMismatch,
    RefusalKind::InProgress,
    RefusalKind::OutcomeUnknown,
    RefusalKind::LedgerUnavailable,
    RefusalKind::EndpointFailed,
    RefusalKind::CrashesEndpoints,
    RefusalKind::TimedOut,
];

fn page() -> String {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/API.md");
    fs::read_to_string(path).expect("docs/API.md can be read")
}

fn assert_parses<T: DeserializeOwned>(example: &str) {
    if let Err(error) = serde_json::from_str::<T>(example) {
        panic!("{error} in example {example}");
    }
}

#[test]
fn json_examples_parse() {
    let page = page();
    let examples: Vec<&str> = page
        .split("```json\n")
        .skip(1)
        .filter_map(|rest| rest.split("```").next())
        .collect();
    let [refusal, change, written, conflict, progress, admin_error] = examples[..] else {
        panic!("expected 6 examples, found {}", examples.len());
    };
    assert_parses::<RefusalBody>(refusal);
    assert_parses::<Change>(change);
    assert_parses::<ChangeAnswer>(written);
    assert_parses::<ChangeAnswer>(conflict);
    assert_parses::<Progress>(progress);
    assert_parses::<AdminError>(admin_error);
}

#[test]
fn refusal_table_lists_each_code_with_its_status() {
    let page = page();
    let caller_section = page.split("## Administration").next().unwrap_or_default();
    for kind in REFUSAL_KINDS {
        let row = format!("| `{}` | {} |", kind.code(), kind.status());
        assert!(caller_section.contains(&row), "docs/API.md lacks {row}");
    }
}
