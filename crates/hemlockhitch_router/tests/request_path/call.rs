//! Service calls through the request path.

use crate::support::{Harness, ServiceScript, hold_call, join_names, lookup_call};
use hemlockhitch_endpoint::service::ServiceAnswer;
use hemlockhitch_router::Refusal;

fn summarise(result: Result<ServiceAnswer, Refusal>) -> String {
    match result {
        Ok(answer) => format!("{} {}", answer.status, answer.body),
        Err(refusal) => format!(
            "{} {} not_run={}",
            refusal.kind.status(),
            refusal.kind.code(),
            refusal.not_run
        ),
    }
}

#[tokio::test]
async fn repeated_hold_gets_the_stored_answer() {
    let harness = Harness::new();
    let first = harness.router.call(hold_call(Some("k-1"), "a")).await;
    let again = harness.router.call(hold_call(Some("k-1"), "a")).await;
    let other = harness.router.call(hold_call(Some("k-1"), "b")).await;
    let new = harness.router.call(hold_call(Some("k-2"), "b")).await;
    insta::assert_snapshot!(summarise(first), @"201 run 1");
    insta::assert_snapshot!(summarise(again), @"201 run 1");
    insta::assert_snapshot!(summarise(other), @"422 idempotency_key_mismatch not_run=true");
    insta::assert_snapshot!(summarise(new), @"201 run 2");
    assert_eq!(harness.ledger.bills().len(), 2);
}

#[tokio::test]
async fn hold_without_a_key_is_refused() {
    let harness = Harness::new();
    let result = harness.router.call(hold_call(None, "a")).await;
    insta::assert_snapshot!(summarise(result), @"400 idempotency_key_required not_run=true");
    assert!(harness.service.runs().is_empty());
}

#[tokio::test]
async fn hold_whose_connection_broke_never_runs_again() {
    let harness = Harness::new();
    harness
        .service
        .script("p-1", ServiceScript::DisconnectAfterRun);
    let first = harness.router.call(hold_call(Some("k-1"), "a")).await;
    let again = harness.router.call(hold_call(Some("k-1"), "a")).await;
    insta::assert_snapshot!(summarise(first), @"409 outcome_unknown not_run=false");
    insta::assert_snapshot!(summarise(again), @"409 outcome_unknown not_run=false");
    insta::assert_snapshot!(join_names(&harness.service.runs()), @"p-1");
}

#[tokio::test]
async fn hold_is_sent_to_another_endpoint_when_the_first_is_unreachable() {
    let harness = Harness::new();
    harness.service.script("p-1", ServiceScript::Unreachable);
    let result = harness.router.call(hold_call(Some("k-1"), "a")).await;
    insta::assert_snapshot!(summarise(result), @"201 run 1");
    insta::assert_snapshot!(join_names(&harness.service.runs()), @"p-2");
}

#[tokio::test]
async fn hold_that_reached_no_endpoint_may_be_sent_again() {
    let harness = Harness::new();
    harness.service.script("p-1", ServiceScript::Unreachable);
    harness.service.script("p-2", ServiceScript::Unreachable);
    let first = harness.router.call(hold_call(Some("k-1"), "a")).await;
    let again = harness.router.call(hold_call(Some("k-1"), "a")).await;
    insta::assert_snapshot!(summarise(first), @"503 no_endpoint not_run=true");
    insta::assert_snapshot!(summarise(again), @"201 run 1");
}

#[tokio::test]
async fn hold_is_not_run_while_the_ledger_is_down() {
    let harness = Harness::new();
    harness.ledger.set_down(true);
    let result = harness.router.call(hold_call(Some("k-1"), "a")).await;
    insta::assert_snapshot!(summarise(result), @"503 ledger_unavailable not_run=true");
    assert!(harness.service.runs().is_empty());
}

#[tokio::test]
async fn lookup_is_retried_after_a_broken_connection() {
    let harness = Harness::new();
    harness
        .service
        .script("p-1", ServiceScript::DisconnectAfterRun);
    let result = harness.router.call(lookup_call()).await;
    insta::assert_snapshot!(summarise(result), @"201 run 2");
    insta::assert_snapshot!(join_names(&harness.service.runs()), @"p-1 p-2");
    assert_eq!(harness.ledger.bills().len(), 1);
}
