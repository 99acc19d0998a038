//! The page of the APIs shows messages and codes that the program knows.

use std::fs;

use hemlockhitch_config::Change;
use hemlockhitch_config::admin::{AdminError, ChangeAnswer, Progress};
use hemlockhitch_router::{RefusalBody, RefusalKind};
use serde::de::DeserializeOwned;

const KINDS: [RefusalKind; 17] = [
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
    fs::read_to_string(path).expect("docs/API.md")
}

fn check<T: DeserializeOwned>(example: &str) {
    if let Err(error) = serde_json::from_str::<T>(example) {
        panic!("{error} in {example}");
    }
}

#[test]
fn examples_are_messages_of_the_apis() {
    let page = page();
    let examples: Vec<&str> = page
        .split("```json\n")
        .skip(1)
        .filter_map(|rest| rest.split("```").next())
        .collect();
    let [refusal, change, written, conflict, progress, admin_error] = examples[..] else {
        panic!("{} examples", examples.len());
    };
    check::<RefusalBody>(refusal);
    check::<Change>(change);
    check::<ChangeAnswer>(written);
    check::<ChangeAnswer>(conflict);
    check::<Progress>(progress);
    check::<AdminError>(admin_error);
}

#[test]
fn each_refusal_is_listed_with_its_status() {
    let page = page();
    let callers = page.split("## Administration").next().unwrap_or_default();
    for kind in KINDS {
        let row = format!("| `{}` | {} |", kind.code(), kind.status());
        assert!(callers.contains(&row), "docs/API.md lacks {row}");
    }
}
