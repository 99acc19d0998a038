//! Claims: a key is granted to at most one attempt, whatever fails.

mod common;

use common::{
    Fault, FaultyKeyValue, Writer, claim_call, describe, describe_log, done, key, now, open_shard,
    settle_call, writer,
};
use hemlockhitch_ledger::call::{LedgerCall, LedgerReply};
use hemlockhitch_ledger::claim::Outcome;
use hemlockhitch_model::ManualClock;

async fn replies(writer: &Writer<FaultyKeyValue>, calls: Vec<LedgerCall>) -> String {
    let mut lines = Vec::new();
    for call in calls {
        lines.push(describe(&writer.handle(call, now()).await));
    }
    lines.join("\n")
}

#[tokio::test(start_paused = true)]
async fn key_is_granted_once_and_retries_get_the_outcome() {
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
async fn released_key_can_be_claimed_only_by_a_new_attempt() {
    let writer = writer(&FaultyKeyValue::new(), &ManualClock::new(), "n-1");
    let calls = vec![
        claim_call("a", 1),
        settle_call("a", 1, Outcome::NotRun),
        claim_call("a", 1),
        settle_call("a", 1, done("no")),
        claim_call("a", 2),
        settle_call("a", 1, Outcome::NotRun),
        claim_call("a", 3),
        // The release arrives before its claim.
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
async fn claim_without_an_outcome_becomes_unknown_until_it_is_settled() {
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
async fn key_reused_for_a_different_call_is_refused() {
    let writer = writer(&FaultyKeyValue::new(), &ManualClock::new(), "n-1");
    writer.handle(claim_call("a", 1), now()).await;
    let mut other = common::claim("a", 2);
    other.call_digest = "other".to_owned();
    let reply = writer.handle(LedgerCall::Claim(other), now()).await;
    assert_eq!(describe(&reply), "mismatch");
}

#[tokio::test(start_paused = true)]
async fn claim_is_written_once_under_every_write_fault() {
    let faults = [
        vec![Fault::Down],
        vec![Fault::LostResponse],
        vec![Fault::LostRequest],
        vec![Fault::DelayedWrite],
        vec![Fault::Slow],
        vec![Fault::LostRequest, Fault::Down, Fault::LostResponse],
        vec![Fault::DelayedWrite, Fault::LostRequest, Fault::LostResponse],
        vec![Fault::DelayedWrite, Fault::Slow],
    ];
    for faults in faults {
        let kv = FaultyKeyValue::new();
        let writer = writer(&kv, &ManualClock::new(), "n-1");
        open_shard(&writer).await;
        kv.inject(faults.clone());
        let reply = writer.handle(claim_call("a", 1), now()).await;
        assert_eq!(describe(&reply), "granted", "{faults:?}");
        let reply = writer.handle(claim_call("a", 2), now()).await;
        assert_eq!(describe(&reply), "in progress by 1", "{faults:?}");
        let log = "1 opened by n-1, epoch 1\n1 claimed by 1";
        assert_eq!(describe_log(&kv).await, log, "{faults:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn claim_during_an_outage_times_out_and_is_not_granted_later() {
    let kv = FaultyKeyValue::new();
    let writer = writer(&kv, &ManualClock::new(), "n-1");
    writer.handle(claim_call("a", 1), now()).await;
    kv.set_down(true);
    let reply = writer.handle(claim_call("b", 2), now()).await;
    assert_eq!(describe(&reply), "failed Unavailable");
    let reply = writer.handle(claim_call("c", 3), now()).await;
    assert_eq!(describe(&reply), "failed Unavailable");
    kv.set_down(false);
    let found = writer.handle(LedgerCall::FindClaim(key("c")), now()).await;
    assert_eq!(found, LedgerReply::Claimed(None), "nobody waited for it");
}

#[tokio::test(start_paused = true)]
async fn oversized_call_is_refused() {
    let writer = writer(&FaultyKeyValue::new(), &ManualClock::new(), "n-1");
    writer.handle(claim_call("a", 1), now()).await;
    let outcome = done(&"x".repeat(1 << 20));
    let reply = writer.handle(settle_call("a", 1, outcome), now()).await;
    assert_eq!(describe(&reply), "failed TooLarge");
}
