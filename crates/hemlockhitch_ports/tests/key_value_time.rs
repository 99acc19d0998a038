//! Tests of lease expiry and watch wake-ups, on a paused clock.

use std::time::Duration;

use hemlockhitch_ports::key_value::{KeyValue, MemoryKeyValue, Swap};
use tokio::time::{Instant, advance};

const TTL_MS: u64 = 1_000;

#[tokio::test(start_paused = true)]
async fn lease_expires_one_ttl_after_its_last_renewal() {
    let store = MemoryKeyValue::new();
    let lease = store.lease_grant(TTL_MS).await.unwrap();
    let attached = Swap::create("a", "").lease(lease);
    store.swap(attached).await.unwrap();
    let table = [(900, true), (900, true), (999, true), (1_000, false)];
    for (elapsed_ms, held) in table {
        advance(Duration::from_millis(elapsed_ms)).await;
        let present = store.get("a").await.unwrap().is_some();
        assert_eq!(present, held, "after {elapsed_ms} ms");
        let renewed = store.lease_renew(lease).await.is_ok();
        assert_eq!(renewed, held, "after {elapsed_ms} ms");
    }
}

#[tokio::test(start_paused = true)]
async fn pending_watch_returns_immediately_on_lease_expiry() {
    for renew_after_ms in [0, 900] {
        let store = MemoryKeyValue::new();
        let start = Instant::now();
        let lease = store.lease_grant(TTL_MS).await.unwrap();
        let attached = Swap::create("a", "").lease(lease);
        store.swap(attached).await.unwrap();
        let watcher = store.clone();
        let watch = tokio::spawn(async move { watcher.watch("a", 1, 10 * TTL_MS).await });
        tokio::time::sleep(Duration::from_millis(renew_after_ms)).await;
        store.lease_renew(lease).await.unwrap();
        let batch = watch.await.unwrap().unwrap();
        assert_eq!(batch.deleted, ["a"]);
        let elapsed = start.elapsed().as_millis();
        assert_eq!(elapsed, u128::from(renew_after_ms + TTL_MS));
    }
}

#[tokio::test(start_paused = true)]
async fn pending_watch_returns_immediately_on_write() {
    let store = MemoryKeyValue::new();
    let watcher = store.clone();
    let watch = tokio::spawn(async move { watcher.watch("a", 0, TTL_MS).await });
    tokio::time::sleep(Duration::from_millis(1)).await;
    let start = Instant::now();
    store.swap(Swap::create("a", "")).await.unwrap();
    let batch = watch.await.unwrap().unwrap();
    assert_eq!(batch.written.len(), 1);
    assert_eq!(start.elapsed().as_millis(), 0);
}
