//! Benchmark of calls to the key-value service: the in-memory store alone, and the
//! HTTP client with the stand-in over loopback.
//!
//! Run with `cargo bench -p hemlockhitch_ports --bench store`.

use std::time::{Duration, Instant};

use hemlockhitch_ports::key_value::{Expected, HttpKeyValue, KeyValue, MemoryKeyValue, Swap};
use hemlockhitch_standin::key_value::start_with_store;
use tokio::sync::mpsc;

/// Calls made before timing starts, to warm up connections and caches.
const WARM_UP_CALLS: usize = 200;

/// Number of timed calls of each kind.
const CALLS: usize = 5_000;

/// Number of timed calls of each kind with a large value.
const LARGE_CALLS: usize = 100;

const SMALL_VALUE_BYTES: usize = 1_000;
const LARGE_VALUE_BYTES: usize = 1_000_000;

/// Numbers of entries in the store that no timed call accesses.
const BACKGROUND_ENTRY_COUNTS: [usize; 2] = [0, 100_000];

/// Maximum wait of a watch, in milliseconds.
const MAX_WAIT_MS: u64 = 60_000;

#[tokio::main]
async fn main() {
    println!("| client | other entries | call | p50 µs | p99 µs |");
    println!("|---|--:|---|--:|--:|");
    for entries in BACKGROUND_ENTRY_COUNTS {
        let store = MemoryKeyValue::new();
        for index in 0..entries {
            write(&store, &format!("other/{index:06}"), "").await;
        }
        let standin = start_with_store(([127, 0, 0, 1], 0).into(), store.clone()).await;
        let standin = standin.expect("stand-in did not start");
        let client = HttpKeyValue::new(standin.address().to_string());
        measure("memory", entries, &store).await;
        measure("HTTP", entries, &client).await;
    }
}

async fn measure(client: &str, entries: usize, store: &impl KeyValue) {
    let small = "x".repeat(SMALL_VALUE_BYTES);
    let large = "x".repeat(LARGE_VALUE_BYTES);
    write(store, "bench/read", &small).await;
    let created = format!("bench/{client}/");
    let report = |call: &str, times: Vec<Duration>| report(client, entries, call, times);

    let times = time(CALLS, |_| async {
        store.get("bench/read").await.expect("call failed");
    });
    report("get, 1 KB", times.await);
    let times = time(CALLS, |index| {
        let key = format!("{created}{index}");
        let small = &small;
        async move { write(store, &key, small).await }
    });
    report("create, 1 KB", times.await);
    let times = time(LARGE_CALLS, |_| write(store, "bench/large", &large));
    report("write, 1 MB", times.await);
    let times = time(CALLS, |_| async {
        let listed = store.list(&created, None, 10).await;
        listed.expect("call failed");
    });
    report("list, 10 entries", times.await);
    let revision = store.list("", None, 0).await.expect("call failed").revision;
    let times = time(CALLS, |_| async {
        let watched = store.watch("none/", revision, 0).await;
        watched.expect("call failed");
    });
    report("watch, no change", times.await);
    report("write to watch", time_watch_wake_ups(store).await);
}

/// Times sequential calls, without the warm-up calls.
async fn time<F: Future<Output = ()>>(
    calls: usize,
    mut call: impl FnMut(usize) -> F,
) -> Vec<Duration> {
    let mut times = Vec::with_capacity(calls);
    for index in 0..calls + WARM_UP_CALLS {
        let start = Instant::now();
        call(index).await;
        times.push(start.elapsed());
    }
    times.split_off(WARM_UP_CALLS)
}

/// Times from the start of a write to the response of a watch that waits for it.
async fn time_watch_wake_ups(store: &impl KeyValue) -> Vec<Duration> {
    let (wake_up_sender, mut wake_up_receiver) = mpsc::channel(1);
    let mut revision = store.list("", None, 0).await.expect("call failed").revision;
    let watcher = store.clone();
    let watch = tokio::spawn(async move {
        loop {
            let watched = watcher.watch("wake/", revision, MAX_WAIT_MS).await;
            revision = watched.expect("call failed").revision;
            if wake_up_sender.send(Instant::now()).await.is_err() {
                return;
            }
        }
    });
    let mut times = Vec::with_capacity(CALLS);
    for _ in 0..CALLS {
        let start = Instant::now();
        write(store, "wake/key", "").await;
        let woken_at = wake_up_receiver.recv().await.expect("watch ended");
        times.push(woken_at.saturating_duration_since(start));
    }
    watch.abort();
    times
}

async fn write(store: &impl KeyValue, key: &str, value: &str) {
    let swap = Swap {
        expected: Expected::Any,
        ..Swap::create(key, value)
    };
    store.swap(swap).await.expect("call failed");
}

fn report(client: &str, entries: usize, call: &str, mut times: Vec<Duration>) {
    times.sort();
    let percentile = |percent: usize| times[times.len() * percent / 100].as_nanos() as f64 / 1e3;
    let (p50, p99) = (percentile(50), percentile(99));
    println!("| {client} | {entries} | {call} | {p50:.1} | {p99:.1} |");
}
