//! Client side of the ledger: retries, releases and the bill buffer.

mod common;

use std::time::Duration;

use common::{FaultyKeyValue, Writer, attempt, bill, claim, describe_log, done, key, now, writer};
use hemlockhitch_ledger::bill::BillBuffer;
use hemlockhitch_ledger::call::{LedgerCall, LedgerReply, LedgerService, NoTransport};
use hemlockhitch_ledger::claim::{ClaimAnswer, Outcome};
use hemlockhitch_ledger::shard::{ShardDirectory, ShardId, ShardOwner, SoleOwner};
use hemlockhitch_ledger::{
    Ledger, LedgerErrorKind, LedgerSettings, LedgerWriter, RoutedLedger, RoutedSettings,
};
use hemlockhitch_model::{ManualClock, Now};
use tokio::time::{Instant, sleep};

type LocalLedger = RoutedLedger<SoleOwner, NoTransport, Writer<FaultyKeyValue>>;

fn local_ledger(kv: &FaultyKeyValue) -> LocalLedger {
    let writer = writer(kv, &ManualClock::new(), "n-1");
    let settings = RoutedSettings::new().shard_count(1);
    RoutedLedger::new(SoleOwner, NoTransport, writer, settings)
}

/// Replies `NotOwner` to every call until a point in time, whether or not it
/// serves the call.
#[derive(Clone)]
struct ReplyingNotOwner {
    writer: Writer<FaultyKeyValue>,
    until: Instant,
    serves_calls: bool,
}

impl LedgerService for ReplyingNotOwner {
    async fn handle(&self, call: LedgerCall, now: Now) -> LedgerReply {
        if Instant::now() >= self.until {
            return self.writer.handle(call, now).await;
        }
        if self.serves_calls {
            self.writer.handle(call, now).await;
        }
        LedgerReply::NotOwner
    }
}

#[derive(Clone)]
struct NoOwner;

impl ShardDirectory for NoOwner {
    fn owner(&self, _shard: ShardId, _now: Now) -> ShardOwner {
        ShardOwner::Unknown
    }
}

#[tokio::test(start_paused = true)]
async fn claim_is_retried_until_an_owner_replies() {
    for serves_calls in [false, true] {
        let service = ReplyingNotOwner {
            writer: writer(&FaultyKeyValue::new(), &ManualClock::new(), "n-1"),
            until: Instant::now() + Duration::from_secs(1),
            serves_calls,
        };
        let settings = RoutedSettings::new().shard_count(1);
        let ledger = RoutedLedger::new(SoleOwner, NoTransport, service, settings);
        let answer = ledger.claim(claim("a", 1), now()).await.unwrap();
        assert_eq!(answer, ClaimAnswer::Granted);
    }
}

#[tokio::test(start_paused = true)]
async fn call_without_an_owner_fails_within_its_timeout() {
    let writer = writer(&FaultyKeyValue::new(), &ManualClock::new(), "n-1");
    let ledger = RoutedLedger::new(NoOwner, NoTransport, writer, RoutedSettings::new());
    let start = Instant::now();
    let error = ledger.claim(claim("a", 1), now()).await.unwrap_err();
    assert_eq!(error.kind(), LedgerErrorKind::Unavailable);
    assert!(start.elapsed() <= Duration::from_millis(2_000));
}

#[tokio::test(start_paused = true)]
async fn failed_claim_releases_its_key_and_invalidates_its_attempt() {
    let kv = FaultyKeyValue::new();
    let ledger = local_ledger(&kv);
    ledger.claim(claim("z", 9), now()).await.unwrap();
    kv.set_down(true);
    ledger.claim(claim("a", 1), now()).await.unwrap_err();
    let again = ledger.claim(claim("a", 1), now()).await.unwrap_err();
    assert_eq!(again.kind(), LedgerErrorKind::NotHolder);
    kv.set_down(false);
    sleep(Duration::from_secs(5)).await;
    let again = ledger.claim(claim("a", 1), now()).await.unwrap_err();
    assert_eq!(again.kind(), LedgerErrorKind::NotHolder);
    let answer = ledger.claim(claim("a", 2), now()).await.unwrap();
    assert_eq!(answer, ClaimAnswer::Granted);
    ledger
        .settle(&key("a"), attempt(2), done("held"), now())
        .await
        .unwrap();
    let state = ledger.find_claim(&key("a"), now()).await.unwrap().unwrap();
    assert_eq!(state.outcome, Some(done("held")));
}

#[tokio::test(start_paused = true)]
async fn claims_refused_by_a_full_shard_leave_no_record() {
    let kv = FaultyKeyValue::new();
    let settings = LedgerSettings::new("n-1").shard_count(1).max_claim_bytes(1);
    let writer = LedgerWriter::new(kv.clone(), SoleOwner, ManualClock::new(), settings);
    let settings = RoutedSettings::new().shard_count(1);
    let ledger = RoutedLedger::new(SoleOwner, NoTransport, writer.clone(), settings);
    ledger.claim(claim("a", 1), now()).await.unwrap();
    let error = ledger.claim(claim("b", 2), now()).await.unwrap_err();
    assert_eq!(error.kind(), LedgerErrorKind::Full);
    sleep(Duration::from_secs(5)).await;
    let release = common::settle_call("c", 3, Outcome::NotRun);
    let reply = writer.handle(release, now()).await;
    assert_eq!(common::describe(&reply), "failed Full");
    let log = describe_log(&kv).await;
    assert_eq!(log, "1 opened by n-1, epoch 1\n1 claimed by 1");
}

#[tokio::test(start_paused = true)]
async fn claim_that_was_never_recorded_is_not_released() {
    let kv = FaultyKeyValue::new();
    let ledger = local_ledger(&kv);
    let mut huge = claim("a", 1);
    huge.call_digest = "x".repeat(1 << 20);
    let error = ledger.claim(huge, now()).await.unwrap_err();
    assert_eq!(error.kind(), LedgerErrorKind::TooLarge);
    sleep(Duration::from_secs(5)).await;
    assert_eq!(describe_log(&kv).await, "");
}

#[tokio::test(start_paused = true)]
async fn cancelled_claim_releases_its_key() {
    let kv = FaultyKeyValue::new();
    let ledger = local_ledger(&kv);
    let cancelled = tokio::time::timeout(Duration::ZERO, ledger.claim(claim("a", 1), now()));
    assert!(cancelled.await.is_err());
    sleep(Duration::from_secs(5)).await;
    let state = ledger.find_claim(&key("a"), now()).await.unwrap().unwrap();
    assert_eq!(state.outcome, Some(Outcome::NotRun));
}

#[tokio::test(start_paused = true)]
async fn full_bill_buffer_refuses_and_an_outage_neither_loses_nor_duplicates_bills() {
    let kv = FaultyKeyValue::new();
    let ledger = local_ledger(&kv);
    let buffer = BillBuffer::new(ledger.clone(), ManualClock::new(), 3);
    ledger.bill(bill(9), now()).await.unwrap();
    kv.set_down(true);
    for number in 1..=3 {
        buffer.reserve().unwrap().submit(bill(number));
    }
    assert_eq!(buffer.reserve().unwrap_err().kind(), LedgerErrorKind::Full);
    sleep(Duration::from_secs(600)).await;
    assert_eq!(buffer.reserved_count(), 3);
    kv.set_down(false);
    assert_eq!(buffer.flush(5_000).await, 0);
    let log = describe_log(&kv).await;
    for number in [1, 2, 3, 9] {
        assert_eq!(log.matches(&format!("billed {number}")).count(), 1, "{log}");
    }
}

#[tokio::test(start_paused = true)]
async fn owner_bounds_its_call_queue_during_an_outage() {
    let kv = FaultyKeyValue::new();
    let settings = LedgerSettings::new("n-1")
        .shard_count(1)
        .max_queued_calls(2);
    let writer = LedgerWriter::new(kv.clone(), SoleOwner, ManualClock::new(), settings);
    writer.handle(LedgerCall::Bill(bill(1)), now()).await;
    kv.set_down(true);
    let mut replies = Vec::new();
    // One bill is in the batch that is being written; two more may be queued.
    // Retries of queued bills take no extra capacity.
    for number in [2, 3, 4, 5, 3, 4] {
        let reply = writer.handle(LedgerCall::Bill(bill(number)), now()).await;
        replies.push(common::describe(&reply));
    }
    insta::assert_snapshot!(replies.join("\n"), @r"
    failed Unavailable
    failed Unavailable
    failed Unavailable
    failed Full
    failed Unavailable
    failed Unavailable
    ");
    kv.set_down(false);
    sleep(Duration::from_secs(5)).await;
    insta::assert_snapshot!(describe_log(&kv).await, @r"
    1 opened by n-1, epoch 1
    1 billed 1
    2 billed 2
    3 billed 3
    3 billed 4
    ");
    let reply = writer.handle(LedgerCall::FindBill(attempt(4)), now()).await;
    assert_eq!(common::describe(&reply), "bill 4");
}
