//! Measures claims and bills against a store whose every call takes 2 ms.
//!
//! It prints, for growing loads on one shard, what a request costs the store
//! and how long it waits, and the memory that a held claim and bill take.

mod memory;
mod store;

use std::time::Duration;

use hemlockhitch_ledger::bill::Bill;
use hemlockhitch_ledger::call::{LedgerCall, LedgerReply};
use hemlockhitch_ledger::claim::{Claim, ClaimAnswer, ClaimKey, Outcome};
use hemlockhitch_ledger::shard::SoleOwner;
use hemlockhitch_ledger::{LedgerSettings, LedgerWriter};
use hemlockhitch_model::{Class, Clock, RequestId, SystemClock};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

use hemlockhitch_ports::key_value::KeyValue;
use store::DelayedStore;

const ROUND_TRIP: Duration = Duration::from_millis(2);

/// How long each load is offered.
const RUN: Duration = Duration::from_secs(5);

type Writer = LedgerWriter<DelayedStore, SystemClock, SoleOwner>;

/// What each request of a load does.
#[derive(Clone, Copy, Debug)]
enum Work {
    Claim,
    ClaimAndSettle,
    Bill,
}

#[tokio::main]
async fn main() {
    memory::measure().await;
    let round_trip = round_trip().await;
    println!("store round trip {round_trip:?}, {} s each", RUN.as_secs());
    println!(
        "work              shards offered/s  done/s writes/s writes/request reads/s  p50/rt  p99/rt"
    );
    for shard_count in [8, 32] {
        for work in [Work::Claim, Work::ClaimAndSettle, Work::Bill] {
            for rate in [1, 10, 100, 1_000] {
                measure(work, shard_count, rate, round_trip).await;
            }
        }
    }
}

/// Offers `rate` requests a second to one shard and prints one line.
async fn measure(work: Work, shard_count: u16, rate: u32, round_trip: Duration) {
    let store = DelayedStore::new(ROUND_TRIP);
    let settings = LedgerSettings::new("bench").shard_count(shard_count);
    let clock = SystemClock::new();
    let writer = LedgerWriter::new(store.clone(), SoleOwner, clock, settings);
    // Opens the shard before the clock starts.
    let warm = bill_of(shard_count);
    writer.handle(LedgerCall::Bill(warm), clock.now()).await;
    let (writes, reads) = (store.writes(), store.reads());
    let start = Instant::now();
    let mut requests = JoinSet::new();
    let count = u64::from(rate) * RUN.as_secs();
    for index in 0..count {
        let due = RUN.mul_f64(index as f64 / count as f64);
        sleep_until(start + due).await;
        requests.spawn(request(work, writer.clone(), clock, shard_count));
    }
    let mut waits: Vec<Duration> = requests.join_all().await.into_iter().flatten().collect();
    let elapsed_s = start.elapsed().as_secs_f64();
    waits.sort();
    let writes = (store.writes() - writes) as f64;
    let reads = (store.reads() - reads) as f64;
    println!(
        "{:<17} {shard_count:>6} {rate:>9} {:>7.1} {:>8.2} {:>14.4} {:>7.2} {:>7.2} {:>7.2}",
        format!("{work:?}"),
        waits.len() as f64 / elapsed_s,
        writes / elapsed_s,
        writes / count as f64,
        reads / elapsed_s,
        quantile(&waits, 0.50).div_duration_f64(round_trip),
        quantile(&waits, 0.99).div_duration_f64(round_trip),
    );
}

/// Runs one request and returns how long its first call took, if it was served.
async fn request(
    work: Work,
    writer: Writer,
    clock: SystemClock,
    shard_count: u16,
) -> Option<Duration> {
    let start = Instant::now();
    let claim = claim_of(shard_count);
    let call = match work {
        Work::Claim | Work::ClaimAndSettle => LedgerCall::Claim(claim.clone()),
        Work::Bill => LedgerCall::Bill(bill_of(shard_count)),
    };
    let reply = writer.handle(call, clock.now()).await;
    let wait = start.elapsed();
    if let Work::ClaimAndSettle = work {
        let call = LedgerCall::Settle {
            key: claim.key,
            attempt: claim.attempt,
            outcome: outcome(),
        };
        writer.handle(call, clock.now()).await;
    }
    let is_served = matches!(
        reply,
        LedgerReply::Recorded | LedgerReply::Claim(ClaimAnswer::Granted)
    );
    is_served.then_some(wait)
}

/// Measures the median time of one call of the store, timers included.
async fn round_trip() -> Duration {
    let store = DelayedStore::new(ROUND_TRIP);
    let mut times = Vec::new();
    for _ in 0..200 {
        let start = Instant::now();
        let _ = store.get("key").await;
        times.push(start.elapsed());
    }
    times.sort();
    quantile(&times, 0.50)
}

fn quantile(sorted: &[Duration], part: f64) -> Duration {
    let last = sorted.len().saturating_sub(1);
    let index = (last as f64 * part) as usize;
    sorted.get(index).copied().unwrap_or_default()
}

/// Draws a claim of shard 0.
fn claim_of(shard_count: u16) -> Claim {
    loop {
        let claim = Claim {
            key: ClaimKey {
                organisation: "midlands-pull-list".into(),
                idempotency_key: RequestId::random().to_string(),
            },
            attempt: RequestId::random(),
            call_digest: format!("{}{}", RequestId::random(), RequestId::random()),
        };
        if LedgerCall::Claim(claim.clone()).shard(shard_count).0 == 0 {
            return claim;
        }
    }
}

/// Draws a bill of shard 0.
fn bill_of(shard_count: u16) -> Bill {
    loop {
        let bill = Bill {
            request_id: RequestId::random(),
            organisation: "midlands-pull-list".into(),
            class: Class::Chat,
            ran_on: "small@2026-11".to_owned(),
            endpoint: "hitch-models-1".into(),
            prompt_tokens: 812,
            completion_tokens: 266,
            cost_micros: 1_900,
            at_unix_ms: SystemClock::new().now().unix_ms,
        };
        if LedgerCall::Bill(bill.clone()).shard(shard_count).0 == 0 {
            return bill;
        }
    }
}

/// The stored answer of a hold.
fn outcome() -> Outcome {
    Outcome::Done {
        status: 200,
        content_type: Some("application/json".to_owned()),
        body: r#"{"hold":"8f2c","variant":"B","until":"2026-12-05"}"#.to_owned(),
    }
}
