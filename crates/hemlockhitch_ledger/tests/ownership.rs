//! Two nodes that both believe they own the same shard.

mod common;

use std::time::Duration;

use common::{
    Fault, FaultyKeyValue, attempt, bill, claim_call, describe, describe_log, now, open_shard,
    settle_call, writer,
};
use hemlockhitch_ledger::call::LedgerCall;
use hemlockhitch_ledger::claim::Outcome;
use hemlockhitch_model::ManualClock;
use tokio::time::sleep;

#[tokio::test(start_paused = true)]
async fn paused_owner_does_not_grant_a_claim_of_its_successor() {
    let kv = FaultyKeyValue::new();
    let clock = ManualClock::new();
    let old = writer(&kv, &clock, "old");
    let new = writer(&kv.new_client(), &clock, "new");
    let mut lines = Vec::new();
    lines.push(describe(&old.handle(claim_call("a", 1), now()).await));
    lines.push(describe(&new.handle(claim_call("b", 2), now()).await));
    lines.push(describe(&old.handle(claim_call("b", 3), now()).await));
    lines.push(describe(&old.handle(claim_call("b", 3), now()).await));
    insta::assert_snapshot!(lines.join("\n"), @r"
    granted
    granted
    notowner
    notowner
    ");
    sleep(Duration::from_millis(100)).await;
    let reply = old.handle(claim_call("b", 3), now()).await;
    assert_eq!(describe(&reply), "in progress by 2");
}

#[tokio::test(start_paused = true)]
async fn paused_owner_does_not_reply_from_stale_state() {
    let kv = FaultyKeyValue::new();
    let clock = ManualClock::new();
    let old = writer(&kv, &clock, "old");
    let new = writer(&kv.new_client(), &clock, "new");
    old.handle(claim_call("a", 1), now()).await;
    new.handle(settle_call("a", 1, Outcome::NotRun), now())
        .await;
    new.handle(claim_call("a", 2), now()).await;
    let reply = old.handle(claim_call("a", 1), now()).await;
    assert_eq!(describe(&reply), "notowner");
}

#[tokio::test(start_paused = true)]
async fn delayed_write_before_a_hand_over_is_visible() {
    insta::assert_snapshot!(delayed_write(Duration::from_millis(400)).await, @r"
    in progress by 1
    failed Unavailable
    --
    1 opened by old, epoch 1
    1 claimed by 9
    2 claimed by 1
    ");
}

#[tokio::test(start_paused = true)]
async fn delayed_write_after_a_hand_over_is_fenced() {
    insta::assert_snapshot!(delayed_write(Duration::from_millis(1)).await, @r"
    granted
    failed Unavailable
    --
    1 opened by old, epoch 1
    1 claimed by 9
    2 opened by new, epoch 2
    2 claimed by 2
    ");
}

/// Delays a write of the old owner by 300 ms and lets the new owner open the shard
/// after `pause`. Describes the replies and the log.
async fn delayed_write(pause: Duration) -> String {
    let kv = FaultyKeyValue::new();
    let clock = ManualClock::new();
    let old = writer(&kv, &clock, "old");
    let new = writer(&kv.new_client(), &clock, "new");
    old.handle(claim_call("z", 9), now()).await;
    kv.inject([Fault::DelayedWrite]);
    kv.inject([Fault::Down; 99]);
    let late = tokio::spawn(async move { old.handle(claim_call("a", 1), now()).await });
    sleep(pause).await;
    let first = describe(&new.handle(claim_call("a", 2), now()).await);
    let late = describe(&late.await.unwrap());
    sleep(Duration::from_secs(60)).await;
    format!("{first}\n{late}\n--\n{}", describe_log(&kv).await)
}

#[tokio::test(start_paused = true)]
async fn claim_survives_an_owner_crash_between_write_and_reply() {
    let kv = FaultyKeyValue::new();
    let clock = ManualClock::new();
    let old = writer(&kv, &clock, "old");
    let new = writer(&kv.new_client(), &clock, "new");
    old.handle(claim_call("z", 9), now()).await;
    kv.inject([Fault::Partition]);
    let lost = old.handle(claim_call("a", 1), now()).await;
    assert_eq!(describe(&lost), "failed Unavailable");
    let other = describe(&new.handle(claim_call("a", 2), now()).await);
    let repeat = describe(&new.handle(claim_call("a", 1), now()).await);
    assert_eq!(
        (other.as_str(), repeat.as_str()),
        ("in progress by 1", "granted")
    );
}

#[tokio::test(start_paused = true)]
async fn bill_is_logged_once_despite_lost_responses_and_hand_overs() {
    let kv = FaultyKeyValue::new();
    let clock = ManualClock::new();
    let old = writer(&kv, &clock, "old");
    let new_kv = kv.new_client();
    let new = writer(&new_kv, &clock, "new");
    let mut lines = Vec::new();
    open_shard(&old).await;
    kv.inject([Fault::LostResponse]);
    lines.push(describe(
        &old.handle(LedgerCall::Bill(bill(1)), now()).await,
    ));
    lines.push(describe(
        &old.handle(LedgerCall::Bill(bill(1)), now()).await,
    ));
    new_kv.inject([Fault::LostRequest, Fault::LostResponse]);
    lines.push(describe(
        &new.handle(LedgerCall::Bill(bill(1)), now()).await,
    ));
    lines.push(describe(
        &new.handle(LedgerCall::Bill(bill(2)), now()).await,
    ));
    lines.push(describe(
        &new.handle(LedgerCall::FindBill(attempt(1)), now()).await,
    ));
    lines.push(describe(
        &new.handle(LedgerCall::FindBill(attempt(3)), now()).await,
    ));
    lines.push(describe(
        &old.handle(LedgerCall::Bill(bill(2)), now()).await,
    ));
    insta::assert_snapshot!(format!("{}\n--\n{}", lines.join("\n"), describe_log(&kv).await), @r"
    recorded
    recorded
    recorded
    recorded
    bill 1
    no bill
    notowner
    --
    1 opened by old, epoch 1
    1 billed 1
    2 opened by new, epoch 2
    2 billed 2
    ");
}

#[tokio::test(start_paused = true)]
async fn drained_writer_has_written_accepted_calls_and_refuses_new_ones() {
    let kv = FaultyKeyValue::new();
    let writer = writer(&kv, &ManualClock::new(), "n-1");
    let waiting = tokio::spawn({
        let writer = writer.clone();
        async move { writer.handle(LedgerCall::Bill(bill(1)), now()).await }
    });
    tokio::task::yield_now().await;
    writer.drain().await;
    assert_eq!(describe(&waiting.await.unwrap()), "recorded");
    let reply = writer.handle(LedgerCall::Bill(bill(2)), now()).await;
    assert_eq!(describe(&reply), "notowner");
}
