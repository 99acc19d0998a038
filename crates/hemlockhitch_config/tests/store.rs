//! Contract tests of the configuration store, with injected faults of the key-value
//! service.

mod support;

use hemlockhitch_config::configuration::RETAINED_GENERATIONS;
use hemlockhitch_config::store::{ConfigStore, ConfigStoreErrorKind, SubmitOutcome};
use hemlockhitch_config::{Change, RowEdit, RowKey};
use hemlockhitch_ports::key_value::{KeyValue, MemoryKeyValue};
use insta::assert_snapshot;

use support::{FaultyKeyValue, NOW, SwapFault, change, data_centre, set_data_centre};

async fn submit<K: KeyValue>(store: &ConfigStore<K>, change: Change) -> String {
    match store.submit(change, NOW).await {
        Ok(SubmitOutcome::Written { generation }) => format!("written {generation}"),
        Ok(SubmitOutcome::Conflict { generation, rows }) => {
            let rows: Vec<&str> = rows.iter().map(RowKey::as_str).collect();
            format!("conflict at {generation} on {}", rows.join(" "))
        }
        Err(error) => match error.kind() {
            ConfigStoreErrorKind::Invalid(_) => format!("invalid: {error}"),
            kind => format!("{kind:?}"),
        },
    }
}

#[tokio::test]
async fn first_committer_wins_per_row() {
    let store = ConfigStore::new(MemoryKeyValue::new());
    let cases = [
        ("first", set_data_centre(1, 0, 1, false)),
        ("other row, same base", set_data_centre(2, 0, 2, false)),
        ("same row, old base", set_data_centre(3, 0, 1, true)),
        ("same row, new base", set_data_centre(4, 2, 1, true)),
        ("same id again", set_data_centre(4, 2, 1, true)),
        ("first id again", set_data_centre(1, 0, 1, false)),
        (
            "one row of two is old",
            change(
                5,
                2,
                [
                    RowEdit::set(data_centre(1, false)),
                    RowEdit::set(data_centre(3, false)),
                ],
            ),
        ),
        ("base from the future", set_data_centre(6, 9, 1, true)),
        ("no edit", change(7, 3, [])),
        (
            "row twice",
            change(
                8,
                3,
                [
                    RowEdit::set(data_centre(3, false)),
                    RowEdit::set(data_centre(3, true)),
                ],
            ),
        ),
        (
            "key of another row",
            change(
                9,
                3,
                [RowEdit {
                    key: data_centre(1, false).key(),
                    row: Some(data_centre(3, false)),
                }],
            ),
        ),
    ];
    let mut table = Vec::new();
    for (name, change) in cases {
        table.push(format!("{name}: {}", submit(&store, change).await));
    }
    assert_snapshot!(table.join("\n"), @r#"
    first: written 1
    other row, same base: written 2
    same row, old base: conflict at 2 on data_centre/dc-1
    same row, new base: written 3
    same id again: written 3
    first id again: written 1
    one row of two is old: conflict at 3 on data_centre/dc-1
    base from the future: Malformed
    no edit: Malformed
    row twice: Malformed
    key of another row: Malformed
    "#);
    let configuration = store.load().await.expect("the store is up");
    assert_eq!(configuration.generation, 3);
    assert_eq!(configuration.row(&data_centre(3, false).key()), None);
}

#[tokio::test]
async fn invalid_change_is_rejected() {
    let store = ConfigStore::new(MemoryKeyValue::new());
    submit(&store, set_data_centre(1, 0, 1, false)).await;
    let stop = serde_json::from_str(
        r#"{"planned_stop":{"target":{"data_centre":"dc-1"},"from_unix_ms":1,"until_unix_ms":2}}"#,
    )
    .expect("a row");
    let stop = RowEdit::set(stop);
    assert_eq!(submit(&store, change(2, 1, [stop])).await, "written 2");
    let removal = RowEdit::remove(data_centre(1, false).key());
    assert_snapshot!(submit(&store, change(3, 2, [removal])).await, @r#"invalid: configuration store: planned_stop/data_centre/dc-1/1, data_centre: "dc-1" does not exist; add a row of kind data_centre for it, or correct the name"#);
}

#[tokio::test]
async fn lost_responses_never_cause_duplicate_writes() {
    use SwapFault::{Delayed, Refused, RequestLost, ResponseLost};
    let cases = [
        ("response lost", vec![ResponseLost], false),
        ("request lost", vec![RequestLost], false),
        ("request delayed", vec![Delayed], false),
        ("delayed twice", vec![Delayed, Delayed], false),
        ("lost, then refused", vec![RequestLost, Refused], false),
        ("refused", vec![Refused], false),
        ("response lost, then down", vec![ResponseLost], true),
        ("request lost, then down", vec![RequestLost], true),
        ("request delayed, then down", vec![Delayed], true),
    ];
    let mut table = Vec::new();
    for (name, faults, down) in cases {
        let kv = FaultyKeyValue::default();
        let store = ConfigStore::new(kv.clone());
        submit(&store, set_data_centre(1, 0, 1, false)).await;
        kv.script(faults);
        if down {
            kv.go_down_after_fault();
        }
        let first = submit(&store, set_data_centre(2, 1, 2, false)).await;
        kv.script([]);
        kv.set_down(false);
        kv.deliver_delayed().await;
        let between = submit(
            &ConfigStore::new(kv.clone()),
            set_data_centre(3, 1, 3, false),
        )
        .await;
        let again = submit(
            &ConfigStore::new(kv.clone()),
            set_data_centre(2, 1, 2, false),
        )
        .await;
        let changes = store.changes_after(0, 0).await.expect("the store is up");
        let ids: Vec<u128> = changes
            .iter()
            .map(|numbered| numbered.change.id.as_u128())
            .collect();
        table.push(format!(
            "{name}: {first}; other {between}; again {again}; ids {ids:?}"
        ));
    }
    assert_snapshot!(table.join("\n"), @r#"
    response lost: written 2; other written 3; again written 2; ids [1, 2, 3]
    request lost: written 2; other written 3; again written 2; ids [1, 2, 3]
    request delayed: written 2; other written 3; again written 2; ids [1, 2, 3]
    delayed twice: written 2; other written 3; again written 2; ids [1, 2, 3]
    lost, then refused: OutcomeUnknown; other written 2; again written 3; ids [1, 3, 2]
    refused: Unavailable; other written 2; again written 3; ids [1, 3, 2]
    response lost, then down: OutcomeUnknown; other written 3; again written 2; ids [1, 2, 3]
    request lost, then down: OutcomeUnknown; other written 2; again written 3; ids [1, 3, 2]
    request delayed, then down: OutcomeUnknown; other written 3; again written 2; ids [1, 2, 3]
    "#);
}

#[tokio::test]
async fn concurrent_changes_conflict_only_on_shared_rows() {
    let kv = FaultyKeyValue::default();
    let stores: Vec<_> = (0..6).map(|_| ConfigStore::new(kv.clone())).collect();
    let own_rows = stores.iter().zip(0..).map(|(store, number)| {
        let change = set_data_centre(u128::from(number) + 1, 0, number, false);
        submit(store, change)
    });
    let mut own_rows = futures_util::future::join_all(own_rows).await;
    own_rows.sort();
    assert_eq!(
        own_rows.join(" "),
        "written 1 written 2 written 3 written 4 written 5 written 6"
    );
    let one_row = stores.iter().zip(0_u64..).map(|(store, number)| {
        let change = set_data_centre(u128::from(number) + 10, 6, 1, number % 2 == 0);
        submit(store, change)
    });
    let mut one_row = futures_util::future::join_all(one_row).await;
    one_row.sort();
    assert_eq!(one_row.pop().as_deref(), Some("written 7"));
    assert!(
        one_row
            .iter()
            .all(|outcome| outcome == "conflict at 7 on data_centre/dc-1")
    );
}

#[tokio::test]
async fn unavailable_store_writes_nothing() {
    let kv = FaultyKeyValue::default();
    let store = ConfigStore::new(kv.clone());
    submit(&store, set_data_centre(1, 0, 1, false)).await;
    kv.set_down(true);
    assert_eq!(
        submit(&store, set_data_centre(2, 1, 2, false)).await,
        "Unavailable"
    );
    let error = store.load().await.expect_err("the store is down");
    assert_eq!(*error.kind(), ConfigStoreErrorKind::Unavailable);
    kv.set_down(false);
    assert_eq!(store.load().await.expect("the store is up").generation, 1);
}

#[tokio::test]
async fn fresh_reader_starts_at_a_snapshot() {
    let kv = MemoryKeyValue::new();
    let store = ConfigStore::new(kv.clone());
    for number in 0..200 {
        let written = submit(
            &store,
            set_data_centre(number.into(), number, number % 5, false),
        )
        .await;
        assert_eq!(written, format!("written {}", number + 1));
    }
    let fresh = ConfigStore::new(kv.clone());
    let loaded = fresh.load().await.expect("the store is up");
    assert_eq!(loaded, store.load().await.expect("the store is up"));
    let parts = kv
        .list("config/snapshot_part/", None, 99)
        .await
        .expect("up");
    assert_eq!(
        parts.entries.len(),
        1,
        "parts of superseded snapshots are removed"
    );
}

#[tokio::test(start_paused = true)]
async fn changes_after_waits_for_the_next_change() {
    let kv = MemoryKeyValue::new();
    let store = ConfigStore::new(kv.clone());
    let nothing = store.changes_after(0, 1_000).await.expect("up");
    assert!(nothing.is_empty());
    let writer = ConfigStore::new(kv);
    let waiter = tokio::spawn(async move { store.changes_after(0, 60_000).await });
    tokio::task::yield_now().await;
    submit(&writer, set_data_centre(1, 0, 1, false)).await;
    let changes = waiter.await.expect("no panic").expect("up");
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].generation, 1);
}

#[tokio::test]
async fn delayed_write_cannot_overwrite_a_newer_change() {
    let kv = FaultyKeyValue::default();
    let store = ConfigStore::new(kv.clone());
    submit(&store, set_data_centre(1, 0, 1, false)).await;
    kv.script([SwapFault::Delayed]);
    kv.go_down_after_fault();
    assert_eq!(
        submit(&store, set_data_centre(2, 1, 2, false)).await,
        "OutcomeUnknown"
    );
    kv.set_down(false);
    // Other writers use the inner store, so that the delayed write stays pending.
    let others = ConfigStore::new(kv.inner.clone());
    for number in 0..RETAINED_GENERATIONS + 70 {
        let id = u128::from(number) + 10;
        submit(&others, set_data_centre(id, number + 1, 3, false)).await;
    }
    let before = others.load().await.expect("up");
    assert_eq!(before.generation, RETAINED_GENERATIONS + 71);
    kv.deliver_delayed().await;
    let after = ConfigStore::new(kv.inner.clone()).load().await.expect("up");
    assert_eq!(after, before);
    let slots = kv
        .inner
        .list("config/change/", None, 10_000)
        .await
        .expect("up");
    assert_eq!(slots.entries.len() as u64, RETAINED_GENERATIONS);
    let error = others.changes_after(1, 0).await.expect_err("overwritten");
    assert_eq!(*error.kind(), ConfigStoreErrorKind::TooOld);
    assert_eq!(
        submit(&others, set_data_centre(5, 1, 4, false)).await,
        "TooOld"
    );
    let newest = others
        .changes_after(before.generation - 100, 0)
        .await
        .expect("kept");
    assert_eq!(
        newest.len(),
        100,
        "the tail wraps around the end of the ring buffer"
    );
}

#[tokio::test]
async fn change_without_snapshot_is_never_overwritten() {
    let kv = FaultyKeyValue::default();
    kv.set_snapshots_refused(true);
    let store = ConfigStore::new(kv.clone());
    for number in 0..RETAINED_GENERATIONS {
        submit(
            &store,
            set_data_centre(number.into(), number, number % 5, false),
        )
        .await;
    }
    let next = set_data_centre(10_000, RETAINED_GENERATIONS, 6, false);
    assert_eq!(submit(&store, next.clone()).await, "Unavailable");
    let loaded = ConfigStore::new(kv.clone()).load().await.expect("up");
    assert_eq!(loaded.generation, RETAINED_GENERATIONS);
    kv.set_snapshots_refused(false);
    assert_eq!(submit(&store, next).await, "written 4097");
    let loaded = ConfigStore::new(kv).load().await.expect("up");
    assert_eq!(loaded.rows.len(), 6);
}

#[tokio::test]
async fn large_change_is_split_over_values() {
    let kv = MemoryKeyValue::new();
    let store = ConfigStore::new(kv.clone());
    let rows = (0..20_000).map(|number| RowEdit::set(data_centre(number, false)));
    let large = change(1, 0, rows);
    assert_eq!(submit(&store, large.clone()).await, "written 1");
    assert_eq!(
        submit(&ConfigStore::new(kv.clone()), large).await,
        "written 1"
    );
    let loaded = ConfigStore::new(kv.clone()).load().await.expect("up");
    assert_eq!(loaded.rows.len(), 20_000);
    let parts = kv.list("config/change_part/", None, 99).await.expect("up");
    assert!(parts.entries.len() > 1);
}
