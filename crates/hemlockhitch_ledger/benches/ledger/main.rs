//! Benchmarks claims and bills against a store with a latency of 2 ms per call.
//!
//! For increasing loads on one shard, prints the store calls per request and the
//! request latency, and the resident memory per claim and bill.

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

/// Simulated latency of a store call.
const ROUND_TRIP: Duration = Duration::from_millis(2);

/// Duration of each load.
const LOAD_DURATION: Duration = Duration::from_secs(5);

type Writer = LedgerWriter<DelayedStore, SystemClock, SoleOwner>;

/// Operation of each request of a load.
#[derive(Clone, Copy, Debug)]
enum Operation {
    Claim,
    ClaimAndSettle,
    Bill,
}

#[tokio::main]
async fn main() {
    memory::measure().await;
    let round_trip = round_trip().await;
    println!(
        "store round trip {round_trip:?}, {} s each",
        LOAD_DURATION.as_secs()
    );
    println!(
        "work              shards offered/s  done/s writes/s writes/request reads/s  p50/rt  p99/rt"
    );
    for shard_count in [8, 32] {
        for operation in [Operation::Claim, Operation::ClaimAndSettle, Operation::Bill] {
            for rate in [1, 10, 100, 1_000] {
                measure(operation, shard_count, rate, round_trip).await;
            }
        }
    }
}

/// Sends `rate` requests per second to one shard and prints one line of results.
async fn measure(operation: Operation, shard_count: u16, rate: u32, round_trip: Duration) {
    let store = DelayedStore::new(ROUND_TRIP);
    let settings = LedgerSettings::new("bench").shard_count(shard_count);
    let clock = SystemClock::new();
    let writer = LedgerWriter::new(store.clone(), SoleOwner, clock, settings);
    // Opens the shard before the measurement starts.
    let warm_up = random_bill(shard_count);
    writer.handle(LedgerCall::Bill(warm_up), clock.now()).await;
    let (writes, reads) = (store.write_count(), store.read_count());
    let start = Instant::now();
    let mut requests = JoinSet::new();
    let count = u64::from(rate) * LOAD_DURATION.as_secs();
    for index in 0..count {
        let offset = LOAD_DURATION.mul_f64(index as f64 / count as f64);
        sleep_until(start + offset).await;
        requests.spawn(request(operation, writer.clone(), clock, shard_count));
    }
    let mut latencies: Vec<Duration> = requests.join_all().await.into_iter().flatten().collect();
    let elapsed_s = start.elapsed().as_secs_f64();
    latencies.sort();
    let writes = (store.write_count() - writes) as f64;
    let reads = (store.read_count() - reads) as f64;
    println!(
        "{:<17} {shard_count:>6} {rate:>9} {:>7.1} {:>8.2} {:>14.4} {:>7.2} {:>7.2} {:>7.2}",
        format!("{operation:?}"),
        latencies.len() as f64 / elapsed_s,
        writes / elapsed_s,
        writes / count as f64,
        reads / elapsed_s,
        quantile(&latencies, 0.50).div_duration_f64(round_trip),
        quantile(&latencies, 0.99).div_duration_f64(round_trip),
    );
}

/// Runs one request and returns the latency of its first call, or `None` if the
/// call failed.
async fn request(
    operation: Operation,
    writer: Writer,
    clock: SystemClock,
    shard_count: u16,
) -> Option<Duration> {
    let start = Instant::now();
    let claim = random_claim(shard_count);
    let call = match operation {
        Operation::Claim | Operation::ClaimAndSettle => LedgerCall::Claim(claim.clone()),
        Operation::Bill => LedgerCall::Bill(random_bill(shard_count)),
    };
    let reply = writer.handle(call, clock.now()).await;
    let latency = start.elapsed();
    if let Operation::ClaimAndSettle = operation {
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
    is_served.then_some(latency)
}

/// Measures the median latency of a store call, including timer overhead.
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

fn quantile(sorted: &[Duration], fraction: f64) -> Duration {
    let last = sorted.len().saturating_sub(1);
    let index = (last as f64 * fraction) as usize;
    sorted.get(index).copied().unwrap_or_default()
}

/// Generates a random claim of shard 0.
fn random_claim(shard_count: u16) -> Claim {
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

/// Generates a random bill of shard 0.
fn random_bill(shard_count: u16) -> Bill {
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

/// Returns an outcome with a typical stored response.
fn outcome() -> Outcome {
    Outcome::Done {
        status: 200,
        content_type: Some("application/json".to_owned()),
        body: r#"{"hold":"8f2c","variant":"B","until":"2026-12-05"}"#.to_owned(),
    }
}
