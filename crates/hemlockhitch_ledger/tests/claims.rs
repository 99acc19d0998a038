//! Contract of claims: a key is granted to one attempt, whatever fails.

mod common;

use common::{FaultyKeyValue, Writer, claim_call, done, now, settle_call, show, writer};
use hemlockhitch_ledger::call::LedgerCall;
use hemlockhitch_ledger::claim::Outcome;
use hemlockhitch_model::ManualClock;

async fn script<K: hemlockhitch_platform::key_value::KeyValue>(
    writer: &Writer<K>,
    calls: Vec<LedgerCall>,
) -> String {
    let mut lines = Vec::new();
    for call in calls {
        lines.push(show(&writer.handle(call, now()).await));
    }
    lines.join("\n")
}

#[tokio::test(start_paused = true)]
async fn a_key_is_granted_once_and_repeats_get_the_outcome() {
    let writer = writer(&FaultyKeyValue::new(), &ManualClock::new(), "n-1");
    let calls = vec![
        claim_call("a", 1),
        claim_call("a", 1),
        claim_call("a", 2),
        settle_call("a", 2, done("no")),
        settle_call("a", 1, done("held")),
        settle_call("a", 1, done("held")),
        settle_call("a", 1, Outcome::NotRun),
        claim_call("a", 1),
        claim_call("a", 2),
    ];
    insta::assert_snapshot!(script(&writer, calls).await, @r"
    granted
    granted
    in progress by 1
    failed NotHolder
    recorded
    recorded
    failed NotHolder
    ended done held
    ended done held
    ");
}
