//! The memory of an owner that holds many claims or bills.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use hemlockhitch_ledger::call::LedgerCall;
use hemlockhitch_ledger::shard::SoleOwner;
use hemlockhitch_ledger::{LedgerSettings, LedgerWriter};
use hemlockhitch_model::{Clock, SystemClock};
use hemlockhitch_ports::key_value::{
    Entry, KeyValue, KeyValueError, LeaseId, Listing, Swap, SwapOutcome, WatchBatch,
};
use tokio::sync::Barrier;
use tokio::task::JoinSet;

use super::{bill_of, claim_of, outcome};

/// Records that are held when the measurement starts.
const WARM_RECORDS: usize = 10_000;

/// Records that are added while it runs.
const RECORDS: usize = 50_000;

/// Tasks that add records.
const TASKS: usize = 1_000;

/// The size of a page of memory that the kernel counts by, in bytes.
const PAGE_BYTES: u64 = 4_096;

/// A store that takes every write and keeps none, so that only the owner's
/// memory grows.
#[derive(Clone, Debug, Default)]
struct Discarding {
    version: Arc<AtomicU64>,
}

type Writer = LedgerWriter<Discarding, SystemClock, SoleOwner>;

/// Prints the resident memory that each kind of record adds.
pub async fn measure() {
    println!("resident memory per record, {RECORDS} records");
    // The first writer lives on, so that the second reuses none of its memory.
    let bills = writer();
    print("bill", &bills, || LedgerCall::Bill(bill_of(1))).await;
    let claims = writer();
    print("claim and outcome", &claims, || {
        LedgerCall::Claim(claim_of(1))
    })
    .await;
    bills.drain().await;
    claims.drain().await;
}

fn writer() -> Writer {
    let settings = LedgerSettings::new("bench")
        .shard_count(1)
        .store_writes_per_s(100_000)
        .bill_linger_ms(1)
        .max_batch_bytes(900_000)
        .max_claim_bytes(usize::MAX)
        .snapshot_batches(256);
    LedgerWriter::new(
        Discarding::default(),
        SoleOwner,
        SystemClock::new(),
        settings,
    )
}

async fn print(name: &str, writer: &Writer, call: fn() -> LedgerCall) {
    let warm = Arc::new(Barrier::new(TASKS + 1));
    let mut tasks = JoinSet::new();
    for _ in 0..TASKS {
        tasks.spawn(add(writer.clone(), call, Arc::clone(&warm)));
    }
    warm.wait().await;
    let before = resident_bytes();
    warm.wait().await;
    tasks.join_all().await;
    let added = resident_bytes().saturating_sub(before);
    println!("{name:<18} {:>5} bytes", added / RECORDS as u64);
}

/// Adds this task's part of the records, with a stop after the warm ones.
async fn add(writer: Writer, call: fn() -> LedgerCall, warm: Arc<Barrier>) {
    hold(&writer, call, WARM_RECORDS / TASKS).await;
    warm.wait().await;
    warm.wait().await;
    hold(&writer, call, RECORDS / TASKS).await;
}

/// Lets the writer hold `count` more records.
async fn hold(writer: &Writer, call: fn() -> LedgerCall, count: usize) {
    let now = SystemClock::new().now();
    for _ in 0..count {
        let call = call();
        let end = end_of(&call);
        writer.handle(call, now).await;
        if let Some(end) = end {
            writer.handle(end, now).await;
        }
    }
}

fn end_of(call: &LedgerCall) -> Option<LedgerCall> {
    let LedgerCall::Claim(claim) = call else {
        return None;
    };
    Some(LedgerCall::Settle {
        key: claim.key.clone(),
        attempt: claim.attempt,
        outcome: outcome(),
    })
}

fn resident_bytes() -> u64 {
    let counts = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = counts.split_whitespace().nth(1);
    pages
        .and_then(|pages| pages.parse::<u64>().ok())
        .unwrap_or_default()
        * PAGE_BYTES
}

impl KeyValue for Discarding {
    async fn get(&self, _key: &str) -> Result<Option<Entry>, KeyValueError> {
        Ok(None)
    }

    async fn list(
        &self,
        _prefix: &str,
        _after: Option<&str>,
        _limit: usize,
    ) -> Result<Listing, KeyValueError> {
        Ok(Listing {
            entries: Vec::new(),
            revision: 0,
            more: false,
        })
    }

    async fn swap(&self, _swap: Swap) -> Result<SwapOutcome, KeyValueError> {
        let version = self.version.fetch_add(1, Ordering::Relaxed);
        Ok(SwapOutcome::Written(version + 1))
    }

    async fn watch(
        &self,
        _prefix: &str,
        revision: u64,
        _wait_ms: u64,
    ) -> Result<WatchBatch, KeyValueError> {
        Ok(WatchBatch {
            written: Vec::new(),
            deleted: Vec::new(),
            complete: true,
            revision,
        })
    }

    async fn lease_grant(&self, _ttl_ms: u64) -> Result<LeaseId, KeyValueError> {
        Ok(LeaseId(1))
    }

    async fn lease_renew(&self, _lease: LeaseId) -> Result<(), KeyValueError> {
        Ok(())
    }

    async fn lease_revoke(&self, _lease: LeaseId) -> Result<(), KeyValueError> {
        Ok(())
    }
}
