//! Two nodes that both believe to own a shard.

mod common;

use std::time::Duration;

use common::{
    Fault, FaultyKeyValue, attempt, bill, claim_call, log_summary, now, open, settle_call, show,
    writer,
};
use hemlockhitch_ledger::call::LedgerCall;
use hemlockhitch_ledger::claim::Outcome;
use hemlockhitch_model::ManualClock;
use tokio::time::sleep;

#[tokio::test(start_paused = true)]
async fn a_paused_owner_grants_nothing_that_its_successor_granted() {
    let kv = FaultyKeyValue::new();
    let clock = ManualClock::new();
    let old = writer(&kv, &clock, "old");
    let new = writer(&kv.beside(), &clock, "new");
    let mut lines = Vec::new();
    lines.push(show(&old.handle(claim_call("a", 1), now()).await));
    lines.push(show(&new.handle(claim_call("b", 2), now()).await));
    lines.push(show(&old.handle(claim_call("b", 3), now()).await));
    lines.push(show(&old.handle(claim_call("b", 3), now()).await));
    insta::assert_snapshot!(lines.join("\n"), @r"
    granted
    granted
    notowner
    notowner
    ");
    sleep(Duration::from_millis(100)).await;
    let reply = old.handle(claim_call("b", 3), now()).await;
    assert_eq!(show(&reply), "in progress by 2");
}

#[tokio::test(start_paused = true)]
async fn a_paused_owner_answers_no_repeat_from_its_old_state() {
    let kv = FaultyKeyValue::new();
    let clock = ManualClock::new();
    let old = writer(&kv, &clock, "old");
    let new = writer(&kv.beside(), &clock, "new");
    old.handle(claim_call("a", 1), now()).await;
    new.handle(settle_call("a", 1, Outcome::NotRun), now())
        .await;
    new.handle(claim_call("a", 2), now()).await;
    let reply = old.handle(claim_call("a", 1), now()).await;
    assert_eq!(show(&reply), "notowner");
}

#[tokio::test(start_paused = true)]
async fn a_write_that_lands_before_the_hand_over_is_seen() {
    insta::assert_snapshot!(late_write(Duration::from_millis(400)).await, @r"
    in progress by 1
    failed Unavailable
    --
    1 opened by old, epoch 1
    1 claimed by 9
    2 claimed by 1
    ");
}

#[tokio::test(start_paused = true)]
async fn a_write_that_lands_after_the_hand_over_is_refused() {
    insta::assert_snapshot!(late_write(Duration::from_millis(1)).await, @r"
    granted
    failed Unavailable
    --
    1 opened by old, epoch 1
    1 claimed by 9
    2 opened by new, epoch 2
    2 claimed by 2
    ");
}

/// Lets a write of the old owner land 300 ms late, and the new owner open the
/// shard after `pause`.
async fn late_write(pause: Duration) -> String {
    let kv = FaultyKeyValue::new();
    let clock = ManualClock::new();
    let old = writer(&kv, &clock, "old");
    let new = writer(&kv.beside(), &clock, "new");
    old.handle(claim_call("z", 9), now()).await;
    kv.script([Fault::LateEffect]);
    kv.script([Fault::Down; 99]);
    let late = tokio::spawn(async move { old.handle(claim_call("a", 1), now()).await });
    sleep(pause).await;
    let first = show(&new.handle(claim_call("a", 2), now()).await);
    let late = show(&late.await.unwrap());
    sleep(Duration::from_secs(60)).await;
    format!("{first}\n{late}\n--\n{}", log_summary(&kv).await)
}

#[tokio::test(start_paused = true)]
async fn an_owner_killed_between_write_and_reply_leaves_the_claim_to_its_attempt() {
    let kv = FaultyKeyValue::new();
    let clock = ManualClock::new();
    let old = writer(&kv, &clock, "old");
    let new = writer(&kv.beside(), &clock, "new");
    old.handle(claim_call("z", 9), now()).await;
    kv.script([Fault::Cut]);
    let lost = old.handle(claim_call("a", 1), now()).await;
    assert_eq!(show(&lost), "failed Unavailable");
    let other = show(&new.handle(claim_call("a", 2), now()).await);
    let repeat = show(&new.handle(claim_call("a", 1), now()).await);
    assert_eq!(
        (other.as_str(), repeat.as_str()),
        ("in progress by 1", "granted")
    );
}

#[tokio::test(start_paused = true)]
async fn a_bill_is_in_the_log_once_under_lost_answers_and_hand_overs() {
    let kv = FaultyKeyValue::new();
    let clock = ManualClock::new();
    let old = writer(&kv, &clock, "old");
    let new_kv = kv.beside();
    let new = writer(&new_kv, &clock, "new");
    let mut lines = Vec::new();
    open(&old).await;
    kv.script([Fault::LostAnswer]);
    lines.push(show(&old.handle(LedgerCall::Bill(bill(1)), now()).await));
    lines.push(show(&old.handle(LedgerCall::Bill(bill(1)), now()).await));
    new_kv.script([Fault::LostCall, Fault::LostAnswer]);
    lines.push(show(&new.handle(LedgerCall::Bill(bill(1)), now()).await));
    lines.push(show(&new.handle(LedgerCall::Bill(bill(2)), now()).await));
    lines.push(show(
        &new.handle(LedgerCall::FindBill(attempt(1)), now()).await,
    ));
    lines.push(show(
        &new.handle(LedgerCall::FindBill(attempt(3)), now()).await,
    ));
    lines.push(show(&old.handle(LedgerCall::Bill(bill(2)), now()).await));
    insta::assert_snapshot!(format!("{}\n--\n{}", lines.join("\n"), log_summary(&kv).await), @r"
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
async fn a_drained_writer_has_written_what_it_took_and_takes_no_more() {
    let kv = FaultyKeyValue::new();
    let writer = writer(&kv, &ManualClock::new(), "n-1");
    let waiting = tokio::spawn({
        let writer = writer.clone();
        async move { writer.handle(LedgerCall::Bill(bill(1)), now()).await }
    });
    tokio::task::yield_now().await;
    writer.drain().await;
    assert_eq!(show(&waiting.await.unwrap()), "recorded");
    let reply = writer.handle(LedgerCall::Bill(bill(2)), now()).await;
    assert_eq!(show(&reply), "notowner");
}
