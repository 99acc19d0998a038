//! Resident memory of an owner with many claims or bills.

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

use super::{outcome, random_bill, random_claim};

/// Number of records added before the measurement starts.
const WARM_UP_RECORDS: usize = 10_000;

/// Number of records added during the measurement.
const RECORDS: usize = 50_000;

/// Number of tasks that add records.
const TASKS: usize = 1_000;

/// Size of the memory pages that the kernel counts, in bytes.
const PAGE_BYTES: u64 = 4_096;

/// A store that accepts and discards every write, so that only the owner's memory
/// grows.
#[derive(Clone, Debug, Default)]
struct DiscardingStore {
    version: Arc<AtomicU64>,
}

type Writer = LedgerWriter<DiscardingStore, SystemClock, SoleOwner>;

/// Prints the resident memory per record of each kind.
pub async fn measure() {
    println!("resident memory per record, {RECORDS} records");
    // The first writer is kept alive so that the second cannot reuse its memory.
    let bills = writer();
    measure_kind("bill", &bills, || LedgerCall::Bill(random_bill(1))).await;
    let claims = writer();
    measure_kind("claim and outcome", &claims, || {
        LedgerCall::Claim(random_claim(1))
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
        .snapshot_interval_batches(256);
    LedgerWriter::new(
        DiscardingStore::default(),
        SoleOwner,
        SystemClock::new(),
        settings,
    )
}

async fn measure_kind(name: &str, writer: &Writer, call: fn() -> LedgerCall) {
    let barrier = Arc::new(Barrier::new(TASKS + 1));
    let mut tasks = JoinSet::new();
    for _ in 0..TASKS {
        tasks.spawn(run_task(writer.clone(), call, Arc::clone(&barrier)));
    }
    barrier.wait().await;
    let before = resident_bytes();
    barrier.wait().await;
    tasks.join_all().await;
    let added = resident_bytes().saturating_sub(before);
    println!("{name:<18} {:>5} bytes", added / RECORDS as u64);
}

/// Adds this task's share of the records, and waits at the barrier twice after
/// the warm-up records.
async fn run_task(writer: Writer, call: fn() -> LedgerCall, barrier: Arc<Barrier>) {
    add_records(&writer, call, WARM_UP_RECORDS / TASKS).await;
    barrier.wait().await;
    barrier.wait().await;
    add_records(&writer, call, RECORDS / TASKS).await;
}

/// Adds `count` records to the writer.
async fn add_records(writer: &Writer, call: fn() -> LedgerCall, count: usize) {
    let now = SystemClock::new().now();
    for _ in 0..count {
        let call = call();
        let settle = settle_call(&call);
        writer.handle(call, now).await;
        if let Some(settle) = settle {
            writer.handle(settle, now).await;
        }
    }
}

fn settle_call(call: &LedgerCall) -> Option<LedgerCall> {
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

impl KeyValue for DiscardingStore {
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
            epoch: 0,
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
