//! Snapshots, and logs that have gone round.

mod common;

use common::{
    Fault, FaultyKeyValue, Writer, attempt, bill, claim_call, done, key, now, open, settle_call,
    show,
};
use hemlockhitch_ledger::bill::read_sums;
use hemlockhitch_ledger::call::{LedgerCall, LedgerReply};
use hemlockhitch_ledger::shard::SoleOwner;
use hemlockhitch_ledger::{LedgerErrorKind, LedgerSettings, LedgerWriter};
use hemlockhitch_model::ManualClock;
use hemlockhitch_ports::key_value::{KeyValue, Swap};

fn with(
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
        assert_eq!(show(&reply), "granted", "{number}");
    }
}

async fn keys(kv: &FaultyKeyValue, prefix: &str) -> usize {
    kv.store
        .list(prefix, None, 9_999)
        .await
        .unwrap()
        .entries
        .len()
}

#[tokio::test(start_paused = true)]
async fn a_log_that_has_gone_round_keeps_every_claim_in_few_keys() {
    let kv = FaultyKeyValue::new();
    let writer = with(&kv, "n-1", |settings| settings);
    writer.handle(LedgerCall::Bill(bill(1)), now()).await;
    run_claims(&writer, 0..1_300).await;
    let reader = with(&kv.beside(), "n-2", |settings| settings);
    let find = LedgerCall::FindBill(attempt(1));
    let reply = reader.handle(find, now()).await;
    assert_eq!(show(&reply), "failed Expired", "billed, but long ago");
    for number in [0, 1, 127, 128, 511, 512, 1_299] {
        let name = format!("k{number}");
        let reply = reader.handle(claim_call(&name, 9_999), now()).await;
        assert_eq!(show(&reply), format!("in progress by {number}"));
    }
    assert_eq!(keys(&kv, "ledger/0000/log/").await, 512);
    assert_eq!(keys(&kv, "ledger/0000/snapshot/chunk/").await, 1);
}

#[tokio::test(start_paused = true)]
async fn an_owner_that_was_paused_while_the_log_went_round_is_refused() {
    // The old owner next writes a key that did not exist, or one that did.
    for written in [10, 600] {
        let kv = FaultyKeyValue::new();
        let old = with(&kv, "old", |settings| settings);
        run_claims(&old, 0..written).await;
        let new = with(&kv.beside(), "new", |settings| settings);
        run_claims(&new, 1_000..2_100).await;
        let reply = old.handle(claim_call("k1600", 9_999), now()).await;
        assert_eq!(show(&reply), "notowner");
    }
}

#[tokio::test(start_paused = true)]
async fn a_lost_answer_is_resolved_when_the_key_holds_a_former_batch() {
    let kv = FaultyKeyValue::new();
    let writer = with(&kv, "n-1", |settings| settings);
    run_claims(&writer, 0..600).await;
    for fault in [Fault::LostCall, Fault::LostAnswer, Fault::LateEffect] {
        kv.script([fault]);
        let name = format!("{fault:?}");
        let reply = writer.handle(claim_call(&name, 9_999), now()).await;
        assert_eq!(show(&reply), "granted", "{fault:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_log_that_lacks_a_batch_is_not_opened() {
    let kv = FaultyKeyValue::new();
    run_claims(&with(&kv, "n-1", |settings| settings), 0..3).await;
    let entry = kv.store.get("ledger/0000/log/0002").await.unwrap().unwrap();
    let delete = Swap::delete(entry.key, entry.version);
    kv.store.swap(delete).await.unwrap();
    let reader = with(&kv.beside(), "n-2", |settings| settings);
    let reply = reader.handle(claim_call("k1", 9_999), now()).await;
    assert_eq!(show(&reply), "failed Unavailable");
}

#[tokio::test(start_paused = true)]
async fn a_log_without_a_snapshot_stops_before_it_overwrites_a_batch() {
    let kv = FaultyKeyValue::new();
    let writer = with(&kv, "n-1", |settings| settings);
    kv.refuse(Some("snapshot"));
    run_claims(&writer, 0..512).await;
    let reply = writer.handle(claim_call("k512", 512), now()).await;
    assert_eq!(show(&reply), "failed Unavailable");
    kv.refuse(None);
    tokio::time::sleep(std::time::Duration::from_secs(1)).await;
    run_claims(&writer, 513..600).await;
    let reader = with(&kv.beside(), "n-2", |settings| settings);
    let reply = reader.handle(claim_call("k0", 9_999), now()).await;
    assert_eq!(show(&reply), "in progress by 0");
}

#[tokio::test(start_paused = true)]
async fn a_snapshot_of_several_chunks_is_read_back() {
    let kv = FaultyKeyValue::new();
    let writer = with(&kv, "n-1", |settings| settings.snapshot_batches(1));
    let body = "ä".repeat(200_000);
    for number in 0..4 {
        let name = format!("k{number}");
        writer.handle(claim_call(&name, number), now()).await;
        let call = settle_call(&name, number, done(&body));
        assert_eq!(writer.handle(call, now()).await, LedgerReply::Recorded);
    }
    writer.handle(claim_call("last", 9), now()).await;
    assert!(keys(&kv, "ledger/0000/snapshot/chunk/").await >= 3);
    let reader = with(&kv.beside(), "n-2", |settings| settings);
    let reply = reader.handle(claim_call("k0", 5), now()).await;
    assert_eq!(show(&reply), format!("ended done {body}"));
}

#[tokio::test(start_paused = true)]
async fn no_fault_of_a_snapshot_loses_a_claim() {
    let faults = [
        Fault::Down,
        Fault::LostAnswer,
        Fault::LostCall,
        Fault::LateEffect,
        Fault::Slow,
        Fault::Cut,
    ];
    // A batch of claims is followed by its snapshot's chunk, head and sweep.
    for place in 0..4 {
        for fault in faults {
            let kv = FaultyKeyValue::new();
            let writer = with(&kv, "n-1", |settings| settings.snapshot_batches(2));
            run_claims(&writer, 0..5).await;
            kv.script(std::iter::repeat_n(Fault::None, place));
            kv.script([fault]);
            for number in 5..9 {
                let name = format!("k{number}");
                writer.handle(claim_call(&name, number), now()).await;
            }
            let other = kv.beside();
            let reader = with(&other, "n-2", |settings| settings.snapshot_batches(2));
            for number in 0..5 {
                let name = format!("k{number}");
                let reply = reader.handle(claim_call(&name, 9_999), now()).await;
                let expected = format!("in progress by {number}");
                assert_eq!(show(&reply), expected, "{fault:?} at {place}");
            }
            run_claims(&reader, 100..106).await;
            drop(reader);
            let chunks = keys(&kv, "ledger/0000/snapshot/chunk/").await;
            assert!(chunks <= 2, "{chunks} chunks after {fault:?} at {place}");
        }
    }
}

/// Claims under a new owner while the old one's snapshot is under way, lets the
/// old one end, and expects every claim to be found.
async fn hand_over(old: &FaultyKeyValue, new: &FaultyKeyValue, claims: u128) {
    let writer = with(new, "new", |settings| settings.snapshot_batches(2));
    run_claims(&writer, 100..100 + claims).await;
    tokio::time::sleep(std::time::Duration::from_millis(100)).await;
    old.hold_gets(false);
    old.hold_lists(false);
    tokio::time::sleep(std::time::Duration::from_secs(2)).await;
    let reader = with(&old.beside(), "reader", |settings| settings);
    for number in [0, 3, 100, 100 + claims - 1] {
        let name = format!("k{number}");
        let reply = reader.handle(claim_call(&name, 9_999), now()).await;
        assert_eq!(show(&reply), format!("in progress by {number}"));
    }
}

#[tokio::test(start_paused = true)]
async fn a_snapshot_head_that_lands_late_replaces_no_newer_one() {
    for place in 0..4 {
        let kv = FaultyKeyValue::new();
        let old = with(&kv, "old", |settings| settings.snapshot_batches(2));
        run_claims(&old, 0..3).await;
        kv.script(std::iter::repeat_n(Fault::None, place));
        kv.script([Fault::LateEffect]);
        kv.script([Fault::Down; 99]);
        old.handle(claim_call("k3", 3), now()).await;
        hand_over(&kv, &kv.beside(), 6).await;
    }
}

#[tokio::test(start_paused = true)]
async fn an_old_owner_replaces_no_snapshot_that_covers_more() {
    let kv = FaultyKeyValue::new();
    let old = with(&kv, "old", |settings| settings.snapshot_batches(2));
    run_claims(&old, 0..3).await;
    kv.hold_gets(true);
    run_claims(&old, 3..4).await;
    hand_over(&kv, &kv.beside(), 530).await;
}

#[tokio::test(start_paused = true)]
async fn a_sweep_deletes_no_chunk_of_a_snapshot_under_way() {
    let kv = FaultyKeyValue::new();
    let old = with(&kv, "old", |settings| settings.snapshot_batches(2));
    run_claims(&old, 0..3).await;
    kv.hold_lists(true);
    run_claims(&old, 3..4).await;
    // The new owner writes two batches and a chunk, and then its head slowly.
    let new = kv.beside();
    new.script([Fault::None, Fault::None, Fault::None, Fault::Slow]);
    hand_over(&kv, &new, 2).await;
}

#[tokio::test(start_paused = true)]
async fn a_bill_that_comes_too_late_to_be_recognised_is_summed_apart() {
    let kv = FaultyKeyValue::new();
    let settings = |settings: LedgerSettings| settings.snapshot_batches(1).max_bill_ids(2);
    let writer = with(&kv, "n-1", settings);
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
    let sums = read_sums(&kv, 1).await.unwrap();
    assert_eq!(sums.totals[0].request_count, 6);
    assert_eq!(sums.totals[0].cost_micros, 6 * 30);
    assert_eq!(sums.late_totals[0].request_count, 1);
}

#[tokio::test(start_paused = true)]
async fn a_shard_full_of_claims_refuses_new_ones_until_old_ones_expire() {
    let kv = FaultyKeyValue::new();
    let clock = ManualClock::new();
    let settings = LedgerSettings::new("n-1")
        .shard_count(1)
        .snapshot_batches(1)
        .max_claim_bytes(2_000);
    let writer = LedgerWriter::new(kv.clone(), SoleOwner, clock.clone(), settings);
    let mut replies = Vec::new();
    for number in 0..4 {
        let name = format!("k{number}");
        replies.push(show(&writer.handle(claim_call(&name, number), now()).await));
    }
    replies.push(show(
        &writer.handle(settle_call("k0", 0, done("x")), now()).await,
    ));
    clock.advance(24 * 60 * 60 * 1_000);
    replies.push(show(&writer.handle(claim_call("k3", 3), now()).await));
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
async fn a_node_with_another_shard_count_opens_no_shard() {
    let kv = FaultyKeyValue::new();
    kv.script([Fault::LostAnswer]);
    let first = with(&kv, "n-1", |settings| settings);
    let reply = first.handle(LedgerCall::FindClaim(key("a")), now()).await;
    assert_eq!(show(&reply), "failed Unavailable");
    tokio::time::sleep(std::time::Duration::from_secs(1)).await;
    open(&first).await;
    let other = with(&kv.beside(), "n-2", |settings| settings.shard_count(2));
    let reply = other.handle(claim_call("a", 1), now()).await;
    let LedgerReply::Failed { kind, detail } = reply else {
        panic!("{reply:?}");
    };
    assert_eq!(kind, LedgerErrorKind::Layout);
    insta::assert_snapshot!(detail, @r#"the ledger was created as {"shard_count":1}; set the same shard count, not 2"#);
}
