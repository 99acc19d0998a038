//! Calls of plain services through the request path.

use crate::support::{Bench, ServiceScript, hold, lookup, names};
use hemlockhitch_endpoint::service::ServiceAnswer;
use hemlockhitch_router::Refusal;

fn brief(answered: Result<ServiceAnswer, Refusal>) -> String {
    match answered {
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
    let bench = Bench::new();
    let first = bench.router.call(hold(Some("k-1"), "a")).await;
    let again = bench.router.call(hold(Some("k-1"), "a")).await;
    let other = bench.router.call(hold(Some("k-1"), "b")).await;
    let new = bench.router.call(hold(Some("k-2"), "b")).await;
    insta::assert_snapshot!(brief(first), @"201 run 1");
    insta::assert_snapshot!(brief(again), @"201 run 1");
    insta::assert_snapshot!(brief(other), @"422 idempotency_key_mismatch not_run=true");
    insta::assert_snapshot!(brief(new), @"201 run 2");
    assert_eq!(bench.ledger.bills().len(), 2);
}

#[tokio::test]
async fn hold_without_a_key_is_refused() {
    let bench = Bench::new();
    let answered = bench.router.call(hold(None, "a")).await;
    insta::assert_snapshot!(brief(answered), @"400 idempotency_key_required not_run=true");
    assert!(bench.service.runs().is_empty());
}

#[tokio::test]
async fn hold_that_broke_off_never_runs_again() {
    let bench = Bench::new();
    bench.service.script("p-1", ServiceScript::BreakAfterEffect);
    let first = bench.router.call(hold(Some("k-1"), "a")).await;
    let again = bench.router.call(hold(Some("k-1"), "a")).await;
    insta::assert_snapshot!(brief(first), @"409 outcome_unknown not_run=false");
    insta::assert_snapshot!(brief(again), @"409 outcome_unknown not_run=false");
    insta::assert_snapshot!(names(&bench.service.runs()), @"p-1");
}

#[tokio::test]
async fn hold_moves_on_from_an_endpoint_that_was_not_reached() {
    let bench = Bench::new();
    bench.service.script("p-1", ServiceScript::Unreachable);
    let answered = bench.router.call(hold(Some("k-1"), "a")).await;
    insta::assert_snapshot!(brief(answered), @"201 run 1");
    insta::assert_snapshot!(names(&bench.service.runs()), @"p-2");
}

#[tokio::test]
async fn hold_that_reached_no_endpoint_may_be_sent_again() {
    let bench = Bench::new();
    bench.service.script("p-1", ServiceScript::Unreachable);
    bench.service.script("p-2", ServiceScript::Unreachable);
    let first = bench.router.call(hold(Some("k-1"), "a")).await;
    let again = bench.router.call(hold(Some("k-1"), "a")).await;
    insta::assert_snapshot!(brief(first), @"503 no_endpoint not_run=true");
    insta::assert_snapshot!(brief(again), @"201 run 1");
}

#[tokio::test]
async fn hold_is_not_run_while_the_ledger_is_down() {
    let bench = Bench::new();
    bench.ledger.set_down(true);
    let answered = bench.router.call(hold(Some("k-1"), "a")).await;
    insta::assert_snapshot!(brief(answered), @"503 ledger_unavailable not_run=true");
    assert!(bench.service.runs().is_empty());
}

#[tokio::test]
async fn lookup_is_repeated_after_a_break() {
    let bench = Bench::new();
    bench.service.script("p-1", ServiceScript::BreakAfterEffect);
    let answered = bench.router.call(lookup()).await;
    insta::assert_snapshot!(brief(answered), @"201 run 2");
    insta::assert_snapshot!(names(&bench.service.runs()), @"p-1 p-2");
    assert_eq!(bench.ledger.bills().len(), 1);
}
