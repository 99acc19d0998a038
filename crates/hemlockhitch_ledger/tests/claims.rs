//! Contract of claims: a key is granted to one attempt, whatever fails.

mod common;

use common::{
    Fault, FaultyKeyValue, Writer, claim_call, done, key, log_summary, now, open, settle_call,
    show, writer,
};
use hemlockhitch_ledger::call::{LedgerCall, LedgerReply};
use hemlockhitch_ledger::claim::Outcome;
use hemlockhitch_model::ManualClock;

async fn replies(writer: &Writer<FaultyKeyValue>, calls: Vec<LedgerCall>) -> String {
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
    insta::assert_snapshot!(replies(&writer, calls).await, @r"
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

#[tokio::test(start_paused = true)]
async fn a_key_that_was_not_run_is_free_but_not_for_the_spent_attempt() {
    let writer = writer(&FaultyKeyValue::new(), &ManualClock::new(), "n-1");
    let calls = vec![
        claim_call("a", 1),
        settle_call("a", 1, Outcome::NotRun),
        claim_call("a", 1),
        settle_call("a", 1, done("no")),
        claim_call("a", 2),
        settle_call("a", 1, Outcome::NotRun),
        claim_call("a", 3),
        // A release that overtakes its claim.
        settle_call("b", 4, Outcome::NotRun),
        claim_call("b", 4),
        claim_call("b", 5),
    ];
    insta::assert_snapshot!(replies(&writer, calls).await, @r"
    granted
    recorded
    failed NotHolder
    failed NotHolder
    granted
    recorded
    in progress by 2
    recorded
    failed NotHolder
    granted
    ");
}

#[tokio::test(start_paused = true)]
async fn a_silent_claim_ends_as_unknown_until_its_holder_says_more() {
    let clock = ManualClock::new();
    let writer = writer(&FaultyKeyValue::new(), &clock, "n-1");
    let first = replies(&writer, vec![claim_call("a", 1)]).await;
    clock.advance(60_000);
    let calls = vec![
        claim_call("a", 2),
        claim_call("a", 1),
        settle_call("a", 1, done("late")),
        claim_call("a", 2),
        settle_call("a", 1, Outcome::Unknown),
        claim_call("a", 2),
    ];
    let later = replies(&writer, calls).await;
    clock.advance(24 * 60 * 60 * 1_000);
    let next_day = replies(&writer, vec![claim_call("a", 2)]).await;
    insta::assert_snapshot!(format!("{first}\n--\n{later}\n--\n{next_day}"), @r"
    granted
    --
    ended unknown
    ended unknown
    recorded
    ended done late
    recorded
    ended done late
    --
    granted
    ");
}

#[tokio::test(start_paused = true)]
async fn a_key_that_is_used_for_another_call_is_refused() {
    let writer = writer(&FaultyKeyValue::new(), &ManualClock::new(), "n-1");
    writer.handle(claim_call("a", 1), now()).await;
    let mut other = common::claim("a", 2);
    other.call_digest = "other".to_owned();
    let reply = writer.handle(LedgerCall::Claim(other), now()).await;
    assert_eq!(show(&reply), "mismatch");
}

#[tokio::test(start_paused = true)]
async fn a_claim_is_written_once_under_each_fault_of_its_write() {
    let faults = [
        vec![Fault::Down],
        vec![Fault::LostAnswer],
        vec![Fault::LostCall],
        vec![Fault::LateEffect],
        vec![Fault::Slow],
        vec![Fault::LostCall, Fault::Down, Fault::LostAnswer],
        vec![Fault::LateEffect, Fault::LostCall, Fault::LostAnswer],
        vec![Fault::LateEffect, Fault::Slow],
    ];
    for faults in faults {
        let kv = FaultyKeyValue::new();
        let writer = writer(&kv, &ManualClock::new(), "n-1");
        open(&writer).await;
        kv.script(faults.clone());
        let reply = writer.handle(claim_call("a", 1), now()).await;
        assert_eq!(show(&reply), "granted", "{faults:?}");
        let reply = writer.handle(claim_call("a", 2), now()).await;
        assert_eq!(show(&reply), "in progress by 1", "{faults:?}");
        let log = "1 opened by n-1, epoch 1\n1 claimed by 1";
        assert_eq!(log_summary(&kv).await, log, "{faults:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_claim_in_a_long_outage_fails_in_time_and_is_not_granted_later() {
    let kv = FaultyKeyValue::new();
    let writer = writer(&kv, &ManualClock::new(), "n-1");
    writer.handle(claim_call("a", 1), now()).await;
    kv.down(true);
    let reply = writer.handle(claim_call("b", 2), now()).await;
    assert_eq!(show(&reply), "failed Unavailable");
    let reply = writer.handle(claim_call("c", 3), now()).await;
    assert_eq!(show(&reply), "failed Unavailable");
    kv.down(false);
    let found = writer.handle(LedgerCall::FindClaim(key("c")), now()).await;
    assert_eq!(found, LedgerReply::Claimed(None), "nobody waited for it");
}

#[tokio::test(start_paused = true)]
async fn a_call_that_is_too_large_is_refused() {
    let writer = writer(&FaultyKeyValue::new(), &ManualClock::new(), "n-1");
    writer.handle(claim_call("a", 1), now()).await;
    let outcome = done(&"x".repeat(1 << 20));
    let reply = writer.handle(settle_call("a", 1, outcome), now()).await;
    assert_eq!(show(&reply), "failed TooLarge");
}
