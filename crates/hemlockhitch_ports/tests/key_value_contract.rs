//! Contract tests of the key-value service, run against the in-memory store and
//! against the HTTP client with the stand-in.

use std::fmt::Debug;

use hemlockhitch_ports::key_value::{
    Expected, HttpKeyValue, KeyValue, KeyValueErrorKind, MemoryKeyValue, Swap, SwapOutcome,
};
use hemlockhitch_standin::key_value::start_with_store;
use insta::{allow_duplicates, assert_snapshot};

/// Number of changes that the stores under test retain.
const MAX_CHANGES: usize = 64;

/// Longer than anything that a case waits for.
const LONG_WAIT_MS: u64 = 30_000;

/// Time to live of a lease that must outlast the calls between its creation and its
/// renewal.
const TTL_MS: u64 = 1_500;

/// Defines a test of each case for each implementation.
macro_rules! contract {
    ($($case:ident),* $(,)?) => {
        mod memory {
            $(
                #[tokio::test]
                async fn $case() {
                    super::$case(super::MemoryKeyValue::with_max_changes(super::MAX_CHANGES)).await;
                }
            )*
        }

        mod http {
            $(
                #[tokio::test]
                async fn $case() {
                    let store = super::MemoryKeyValue::with_max_changes(super::MAX_CHANGES);
                    let standin = super::start_with_store(([127, 0, 0, 1], 0).into(), store);
                    let standin = standin.await.unwrap();
                    let client = super::HttpKeyValue::new(standin.address().to_string());
                    super::$case(client.timeout_ms(super::LONG_WAIT_MS)).await;
                }
            )*
        }
    };
}

contract!(
    compare_and_swap,
    list_by_prefix,
    watch_returns_changes,
    watch_waits_for_a_change,
    watch_before_retained_history,
    lease_expiry,
    lease_revocation,
    value_size_limit,
);

async fn compare_and_swap(store: impl KeyValue) {
    let any = |value: Option<&str>| Swap {
        key: "k".to_owned(),
        expected: Expected::Any,
        value: value.map(str::to_owned),
        lease: None,
    };
    let table = [
        Swap::create("k", "one"),
        Swap::create("k", "again"),
        Swap::replace("k", 1, "two"),
        Swap::replace("k", 1, "stale"),
        Swap::delete("k", 1),
        Swap::delete("k", 2),
        Swap::replace("k", 2, "gone"),
        any(None),
        any(Some("three")),
        any(Some("four")),
    ];
    let mut outcomes = Vec::new();
    for swap in table {
        outcomes.push(store.swap(swap).await.unwrap());
    }
    allow_duplicates! {
        assert_snapshot!(lines(outcomes), @r#"
        Written(1)
        Conflict(Some(Entry { key: "k", value: "one", version: 1 }))
        Written(2)
        Conflict(Some(Entry { key: "k", value: "two", version: 2 }))
        Conflict(Some(Entry { key: "k", value: "two", version: 2 }))
        Written(3)
        Conflict(None)
        Written(3)
        Written(4)
        Written(5)
        "#);
    }
}

async fn list_by_prefix(store: impl KeyValue) {
    for key in ["a", "b/", "b/1", "b/2", "b/3", "c"] {
        store.swap(Swap::create(key, key)).await.unwrap();
    }
    let table = [
        ("b/", None, 10),
        ("b/", None, 4),
        ("b/", None, 2),
        ("b/", Some("b/1"), 2),
        ("b/", Some("b/3"), 2),
        ("b/", Some("0"), 1),
        ("b/", Some("c"), 1),
        ("b/", None, 0),
        ("", None, usize::MAX),
        ("d", None, 1),
    ];
    let mut results = Vec::new();
    for (prefix, after, limit) in table {
        let listing = store.list(prefix, after, limit).await.unwrap();
        let keys: Vec<String> = listing.entries.into_iter().map(|entry| entry.key).collect();
        let more = if listing.more { "and more" } else { "" };
        let line = format!("{prefix} {after:?} {limit}: {} {more}", keys.join(" "));
        results.push(line.trim_end().to_owned());
    }
    allow_duplicates! {
        assert_snapshot!(results.join("\n"), @r#"
        b/ None 10: b/ b/1 b/2 b/3
        b/ None 4: b/ b/1 b/2 b/3
        b/ None 2: b/ b/1 and more
        b/ Some("b/1") 2: b/2 b/3
        b/ Some("b/3") 2:
        b/ Some("0") 1: b/ and more
        b/ Some("c") 1:
        b/ None 0:  and more
         None 18446744073709551615: a b/ b/1 b/2 b/3 c
        d None 1:
        "#);
    }
}

async fn watch_returns_changes(store: impl KeyValue) {
    store.swap(Swap::create("a/1", "old")).await.unwrap();
    store.swap(Swap::create("a/2", "kept")).await.unwrap();
    store.swap(Swap::create("b/1", "other")).await.unwrap();
    store.swap(Swap::replace("a/1", 1, "new")).await.unwrap();
    store.swap(Swap::delete("a/2", 2)).await.unwrap();
    let mut batches = Vec::new();
    for (prefix, revision) in [("a/", 0), ("a/", 4), ("a/", 5), ("b/", 0), ("c/", 0)] {
        batches.push(store.watch(prefix, revision, 0).await.unwrap());
    }
    allow_duplicates! {
        assert_snapshot!(lines(batches), @r#"
        WatchBatch { written: [Entry { key: "a/1", value: "new", version: 4 }], deleted: ["a/2"], complete: false, revision: 5, epoch: 0 }
        WatchBatch { written: [], deleted: ["a/2"], complete: false, revision: 5, epoch: 0 }
        WatchBatch { written: [], deleted: [], complete: false, revision: 5, epoch: 0 }
        WatchBatch { written: [Entry { key: "b/1", value: "other", version: 3 }], deleted: [], complete: false, revision: 5, epoch: 0 }
        WatchBatch { written: [], deleted: [], complete: false, revision: 5, epoch: 0 }
        "#);
    }
}

async fn watch_waits_for_a_change(store: impl KeyValue) {
    let watcher = store.clone();
    let watch = tokio::spawn(async move { watcher.watch("a/", 0, LONG_WAIT_MS).await });
    store.swap(Swap::create("b/1", "other")).await.unwrap();
    store.swap(Swap::create("a/1", "value")).await.unwrap();
    let batch = watch.await.unwrap().unwrap();
    allow_duplicates! {
        assert_snapshot!(lines([batch]), @r#"WatchBatch { written: [Entry { key: "a/1", value: "value", version: 2 }], deleted: [], complete: false, revision: 2, epoch: 0 }"#);
    }
}

async fn watch_before_retained_history(store: impl KeyValue) {
    store.swap(Swap::create("a/gone", "")).await.unwrap();
    store.swap(Swap::delete("a/gone", 1)).await.unwrap();
    store.swap(Swap::create("a/kept", "")).await.unwrap();
    for index in 0..MAX_CHANGES {
        let swap = Swap::create(format!("b/{index}"), "");
        store.swap(swap).await.unwrap();
    }
    let mut batches = Vec::new();
    for revision in [0, 2, 3, 1_000] {
        batches.push(store.watch("a/", revision, 0).await.unwrap());
    }
    allow_duplicates! {
        assert_snapshot!(lines(batches), @r#"
        WatchBatch { written: [Entry { key: "a/kept", value: "", version: 3 }], deleted: [], complete: true, revision: 67, epoch: 0 }
        WatchBatch { written: [Entry { key: "a/kept", value: "", version: 3 }], deleted: [], complete: true, revision: 67, epoch: 0 }
        WatchBatch { written: [], deleted: [], complete: false, revision: 67, epoch: 0 }
        WatchBatch { written: [Entry { key: "a/kept", value: "", version: 3 }], deleted: [], complete: true, revision: 67, epoch: 0 }
        "#);
    }
}

async fn lease_expiry(store: impl KeyValue) {
    let lease = store.lease_grant(TTL_MS).await.unwrap();
    let attached = Swap::create("a/attached", "").lease(lease);
    let Ok(SwapOutcome::Written(version)) = store.swap(attached).await else {
        panic!("the key was not written");
    };
    store.lease_renew(lease).await.unwrap();
    let batch = store.watch("a/", version, LONG_WAIT_MS).await.unwrap();
    assert_eq!(batch.deleted, ["a/attached"]);
    assert_eq!(store.get("a/attached").await.unwrap(), None);
    let renewed = store.lease_renew(lease).await.unwrap_err();
    assert_eq!(renewed.kind(), KeyValueErrorKind::LeaseLapsed);
    let late = Swap::create("a/late", "").lease(lease);
    let written = store.swap(late).await.unwrap_err();
    assert_eq!(written.kind(), KeyValueErrorKind::LeaseLapsed);
    assert_eq!(store.get("a/late").await.unwrap(), None);
}

async fn lease_revocation(store: impl KeyValue) {
    let lease = store.lease_grant(LONG_WAIT_MS).await.unwrap();
    let other = store.lease_grant(LONG_WAIT_MS).await.unwrap();
    let table = [
        Swap::create("a/attached", "").lease(lease),
        Swap::create("a/moved", "").lease(lease),
        Swap::create("a/detached", "").lease(lease),
        Swap::create("a/free", ""),
        Swap::replace("a/moved", 2, "").lease(other),
        Swap::replace("a/detached", 3, ""),
    ];
    for swap in table {
        store.swap(swap).await.unwrap();
    }
    store.lease_revoke(lease).await.unwrap();
    store.lease_revoke(lease).await.unwrap();
    let batch = store.watch("a/", 6, 0).await.unwrap();
    assert_eq!(batch.deleted, ["a/attached"]);
    let left = store.list("a/", None, 10).await.unwrap().entries;
    let left: Vec<String> = left.into_iter().map(|entry| entry.key).collect();
    assert_eq!(left, ["a/detached", "a/free", "a/moved"]);
    let renewed = store.lease_renew(lease).await.unwrap_err();
    assert_eq!(renewed.kind(), KeyValueErrorKind::LeaseLapsed);
}

async fn value_size_limit(store: impl KeyValue) {
    let largest = "x".repeat(1 << 20);
    let too_large = "x".repeat((1 << 20) + 1);
    let outcome = store.swap(Swap::create("largest", &largest)).await;
    assert_eq!(outcome.unwrap(), SwapOutcome::Written(1));
    let entry = store.get("largest").await.unwrap().unwrap();
    assert!(entry.value == largest);
    let refused = store.swap(Swap::create("too large", too_large)).await;
    let refused = refused.unwrap_err();
    assert_eq!(refused.kind(), KeyValueErrorKind::TooLarge);
    allow_duplicates! {
        assert_snapshot!(refused, @r#"key-value service: value of 1048577 bytes; keep values to 1048576 bytes"#);
    }
    assert_eq!(store.get("too large").await.unwrap(), None);
}

/// Formats one value per line.
fn lines<T: Debug>(values: impl IntoIterator<Item = T>) -> String {
    let lines: Vec<String> = values
        .into_iter()
        .map(|value| format!("{value:?}"))
        .collect();
    lines.join("\n")
}
