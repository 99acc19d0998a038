//! Snapshots, and logs that have wrapped around.

mod common;

use common::{
    Fault, FaultyKeyValue, Writer, attempt, bill, claim_call, describe, done, key, now, open_shard,
    settle_call,
};
use hemlockhitch_ledger::bill::read_totals;
use hemlockhitch_ledger::call::{LedgerCall, LedgerReply};
use hemlockhitch_ledger::shard::SoleOwner;
use hemlockhitch_ledger::{LedgerErrorKind, LedgerSettings, LedgerWriter};
use hemlockhitch_model::ManualClock;
use hemlockhitch_ports::key_value::{KeyValue, Swap};

fn writer_with(
    kv: &FaultyKeyValue,
    node: &str,
    change: impl FnOnce(LedgerSettings) -> LedgerSettings,
) -> Writer<FaultyKeyValue> {
    let settings = change(LedgerSettings::new(node).shard_count(1));
    LedgerWriter::new(kv.clone(), SoleOwner, ManualClock::new(), settings)
}

async fn run_claims(writer: &Writer<FaultyKeyValue>, numbers: std::ops::Range<u128>) {
    for number in numbers {
        let name = format!("k{number}");
        let reply = writer.handle(claim_call(&name, number), now()).await;
        assert_eq!(describe(&reply), "granted", "{number}");
    }
}

async fn count_keys(kv: &FaultyKeyValue, prefix: &str) -> usize {
    kv.store
        .list(prefix, None, 9_999)
        .await
        .unwrap()
        .entries
        .len()
}

#[tokio::test(start_paused = true)]
async fn wrapped_log_keeps_every_claim_in_a_bounded_number_of_keys() {
    let kv = FaultyKeyValue::new();
    let writer = writer_with(&kv, "n-1", |settings| settings);
    writer.handle(LedgerCall::Bill(bill(1)), now()).await;
    run_claims(&writer, 0..1_300).await;
    let reader = writer_with(&kv.new_client(), "n-2", |settings| settings);
    let find = LedgerCall::FindBill(attempt(1));
    let reply = reader.handle(find, now()).await;
    assert_eq!(describe(&reply), "failed Expired", "billed, but long ago");
    for number in [0, 1, 127, 128, 511, 512, 1_299] {
        let name = format!("k{number}");
        let reply = reader.handle(claim_call(&name, 9_999), now()).await;
        assert_eq!(describe(&reply), format!("in progress by {number}"));
    }
    assert_eq!(count_keys(&kv, "ledger/0000/log/").await, 512);
    assert_eq!(count_keys(&kv, "ledger/0000/snapshot/chunk/").await, 1);
}

#[tokio::test(start_paused = true)]
async fn paused_owner_is_fenced_after_the_log_wraps_around() {
    // The paused owner's next write is to a slot that it has seen empty (10
    // batches written) or filled (600, past the wrap-around).
    for written in [10, 600] {
        let kv = FaultyKeyValue::new();
        let old_writer = writer_with(&kv, "old", |settings| settings);
        run_claims(&old_writer, 0..written).await;
        let new = writer_with(&kv.new_client(), "new", |settings| settings);
        run_claims(&new, 1_000..2_100).await;
        let reply = old_writer.handle(claim_call("k1600", 9_999), now()).await;
        assert_eq!(describe(&reply), "notowner");
    }
}

#[tokio::test(start_paused = true)]
async fn lost_response_is_resolved_when_the_slot_holds_an_older_batch() {
    let kv = FaultyKeyValue::new();
    let writer = writer_with(&kv, "n-1", |settings| settings);
    run_claims(&writer, 0..600).await;
    for fault in [Fault::LostRequest, Fault::LostResponse, Fault::DelayedWrite] {
        kv.inject([fault]);
        let name = format!("{fault:?}");
        let reply = writer.handle(claim_call(&name, 9_999), now()).await;
        assert_eq!(describe(&reply), "granted", "{fault:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn log_with_a_missing_batch_is_not_opened() {
    let kv = FaultyKeyValue::new();
    run_claims(&writer_with(&kv, "n-1", |settings| settings), 0..3).await;
    let entry = kv.store.get("ledger/0000/log/0002").await.unwrap().unwrap();
    let delete = Swap::delete(entry.key, entry.version);
    kv.store.swap(delete).await.unwrap();
    let reader = writer_with(&kv.new_client(), "n-2", |settings| settings);
    let reply = reader.handle(claim_call("k1", 9_999), now()).await;
    assert_eq!(describe(&reply), "failed Unavailable");
}

#[tokio::test(start_paused = true)]
async fn log_without_a_snapshot_refuses_to_overwrite_a_batch() {
    let kv = FaultyKeyValue::new();
    let writer = writer_with(&kv, "n-1", |settings| settings);
    kv.fail_swaps_of(Some("snapshot"));
    run_claims(&writer, 0..512).await;
    let reply = writer.handle(claim_call("k512", 512), now()).await;
    assert_eq!(describe(&reply), "failed Unavailable");
    kv.fail_swaps_of(None);
    tokio::time::sleep(std::time::Duration::from_secs(1)).await;
    run_claims(&writer, 513..600).await;
    let reader = writer_with(&kv.new_client(), "n-2", |settings| settings);
    let reply = reader.handle(claim_call("k0", 9_999), now()).await;
    assert_eq!(describe(&reply), "in progress by 0");
}

#[tokio::test(start_paused = true)]
async fn snapshot_with_several_chunks_is_restored() {
    let kv = FaultyKeyValue::new();
    let writer = writer_with(&kv, "n-1", |settings| settings.snapshot_interval_batches(1));
    let body = "ä".repeat(200_000);
    for number in 0..4 {
        let name = format!("k{number}");
        writer.handle(claim_call(&name, number), now()).await;
        let call = settle_call(&name, number, done(&body));
        assert_eq!(writer.handle(call, now()).await, LedgerReply::Recorded);
    }
    writer.handle(claim_call("last", 9), now()).await;
    assert!(count_keys(&kv, "ledger/0000/snapshot/chunk/").await >= 3);
    let reader = writer_with(&kv.new_client(), "n-2", |settings| settings);
    let reply = reader.handle(claim_call("k0", 5), now()).await;
    assert_eq!(describe(&reply), format!("ended done {body}"));
}

#[tokio::test(start_paused = true)]
async fn snapshot_write_faults_lose_no_claim() {
    let faults = [
        Fault::Down,
        Fault::LostResponse,
        Fault::LostRequest,
        Fault::DelayedWrite,
        Fault::Slow,
        Fault::Partition,
    ];
    // The swaps are those of a batch and of its snapshot: chunk, head, cleanup.
    for swaps_before in 0..4 {
        for fault in faults {
            let kv = FaultyKeyValue::new();
            let writer = writer_with(&kv, "n-1", |settings| settings.snapshot_interval_batches(2));
            run_claims(&writer, 0..5).await;
            kv.inject(std::iter::repeat_n(Fault::None, swaps_before));
            kv.inject([fault]);
            for number in 5..9 {
                let name = format!("k{number}");
                writer.handle(claim_call(&name, number), now()).await;
            }
            let other = kv.new_client();
            let reader = writer_with(&other, "n-2", |settings| {
                settings.snapshot_interval_batches(2)
            });
            for number in 0..5 {
                let name = format!("k{number}");
                let reply = reader.handle(claim_call(&name, 9_999), now()).await;
                let expected = format!("in progress by {number}");
                assert_eq!(describe(&reply), expected, "{fault:?} at {swaps_before}");
            }
            run_claims(&reader, 100..106).await;
            drop(reader);
            let chunks = count_keys(&kv, "ledger/0000/snapshot/chunk/").await;
            assert!(
                chunks <= 2,
                "{chunks} chunks after {fault:?} at {swaps_before}"
            );
        }
    }
}

/// Writes claims under a new owner while a snapshot of the old owner is in
/// progress, then lets that snapshot end, and checks that no claim is lost.
async fn check_hand_over(old: &FaultyKeyValue, new: &FaultyKeyValue, claims: u128) {
    let writer = writer_with(new, "new", |settings| settings.snapshot_interval_batches(2));
    run_claims(&writer, 100..100 + claims).await;
    tokio::time::sleep(std::time::Duration::from_millis(100)).await;
    old.block_gets(false);
    old.block_lists(false);
    tokio::time::sleep(std::time::Duration::from_secs(2)).await;
    let reader = writer_with(&old.new_client(), "reader", |settings| settings);
    for number in [0, 3, 100, 100 + claims - 1] {
        let name = format!("k{number}");
        let reply = reader.handle(claim_call(&name, 9_999), now()).await;
        assert_eq!(describe(&reply), format!("in progress by {number}"));
    }
}

#[tokio::test(start_paused = true)]
async fn delayed_snapshot_head_does_not_replace_a_newer_one() {
    for swaps_before in 0..4 {
        let kv = FaultyKeyValue::new();
        let old_writer = writer_with(&kv, "old", |settings| settings.snapshot_interval_batches(2));
        run_claims(&old_writer, 0..3).await;
        kv.inject(std::iter::repeat_n(Fault::None, swaps_before));
        kv.inject([Fault::DelayedWrite]);
        kv.inject([Fault::Down; 99]);
        old_writer.handle(claim_call("k3", 3), now()).await;
        check_hand_over(&kv, &kv.new_client(), 6).await;
    }
}

#[tokio::test(start_paused = true)]
async fn previous_owner_does_not_replace_a_newer_snapshot() {
    let kv = FaultyKeyValue::new();
    let old_writer = writer_with(&kv, "old", |settings| settings.snapshot_interval_batches(2));
    run_claims(&old_writer, 0..3).await;
    kv.block_gets(true);
    run_claims(&old_writer, 3..4).await;
    check_hand_over(&kv, &kv.new_client(), 530).await;
}

#[tokio::test(start_paused = true)]
async fn cleanup_keeps_the_chunks_of_a_snapshot_in_progress() {
    let kv = FaultyKeyValue::new();
    let old_writer = writer_with(&kv, "old", |settings| settings.snapshot_interval_batches(2));
    run_claims(&old_writer, 0..3).await;
    kv.block_lists(true);
    run_claims(&old_writer, 3..4).await;
    // The new owner's head write is slow; it follows two batches and a chunk.
    let new = kv.new_client();
    new.inject([Fault::None, Fault::None, Fault::None, Fault::Slow]);
    check_hand_over(&kv, &new, 2).await;
}

#[tokio::test(start_paused = true)]
async fn bill_too_late_for_deduplication_is_totalled_separately() {
    let kv = FaultyKeyValue::new();
    let settings = |settings: LedgerSettings| settings.snapshot_interval_batches(1).max_bill_ids(2);
    let writer = writer_with(&kv, "n-1", settings);
    for number in 1..=5 {
        let mut bill = bill(number);
        bill.at_unix_ms -= 100 - u64::try_from(number).unwrap();
        let reply = writer.handle(LedgerCall::Bill(bill), now()).await;
        assert_eq!(reply, LedgerReply::Recorded);
    }
    let mut repeat = bill(1);
    repeat.at_unix_ms -= 99;
    let reply = writer.handle(LedgerCall::Bill(repeat), now()).await;
    assert_eq!(reply, LedgerReply::Recorded);
    let reply = writer.handle(LedgerCall::Bill(bill(6)), now()).await;
    assert_eq!(reply, LedgerReply::Recorded);
    let report = read_totals(&kv, 1).await.unwrap();
    assert_eq!(report.totals[0].request_count, 6);
    assert_eq!(report.totals[0].cost_micros, 6 * 30);
    assert_eq!(report.late_totals[0].request_count, 1);
}

#[tokio::test(start_paused = true)]
async fn full_shard_refuses_new_claims_until_old_ones_expire() {
    let kv = FaultyKeyValue::new();
    let clock = ManualClock::new();
    let settings = LedgerSettings::new("n-1")
        .shard_count(1)
        .snapshot_interval_batches(1)
        .max_claim_bytes(2_000);
    let writer = LedgerWriter::new(kv.clone(), SoleOwner, clock.clone(), settings);
    let mut replies = Vec::new();
    for number in 0..4 {
        let name = format!("k{number}");
        replies.push(describe(
            &writer.handle(claim_call(&name, number), now()).await,
        ));
    }
    replies.push(describe(
        &writer.handle(settle_call("k0", 0, done("x")), now()).await,
    ));
    clock.advance(24 * 60 * 60 * 1_000);
    replies.push(describe(&writer.handle(claim_call("k3", 3), now()).await));
    insta::assert_snapshot!(replies.join("\n"), @r"
    granted
    granted
    granted
    failed Full
    recorded
    granted
    ");
}

#[tokio::test(start_paused = true)]
async fn node_with_a_different_shard_count_opens_no_shard() {
    let kv = FaultyKeyValue::new();
    kv.inject([Fault::LostResponse]);
    let first = writer_with(&kv, "n-1", |settings| settings);
    let reply = first.handle(LedgerCall::FindClaim(key("a")), now()).await;
    assert_eq!(describe(&reply), "failed Unavailable");
    tokio::time::sleep(std::time::Duration::from_secs(1)).await;
    open_shard(&first).await;
    let other = writer_with(&kv.new_client(), "n-2", |settings| settings.shard_count(2));
    let reply = other.handle(claim_call("a", 1), now()).await;
    let LedgerReply::Failed { kind, detail } = reply else {
        panic!("{reply:?}");
    };
    assert_eq!(kind, LedgerErrorKind::Layout);
    insta::assert_snapshot!(detail, @r#"the ledger was created as {"shard_count":1}; set the same shard count, not 2"#);
}
