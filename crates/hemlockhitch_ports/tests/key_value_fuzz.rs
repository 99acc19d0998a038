//! Runs random operations on the in-memory store and compares the results with a
//! simple oracle.

use std::collections::BTreeMap;
use std::time::Duration;

use hemlockhitch_ports::key_value::{
    Entry, Expected, KeyValue, KeyValueErrorKind, LeaseId, MemoryKeyValue, Swap, SwapOutcome,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use tokio::runtime::Builder;
use tokio::time::advance;

const KEYS: [&str; 6] = ["a", "a/1", "a/2", "b/1", "b/1/x", "c"];
const PREFIXES: [&str; 5] = ["", "a", "a/", "b/1", "d"];

/// Number of changes that the store under test retains.
const MAX_CHANGES: usize = 8;

/// Number of lease IDs that an action may refer to.
const MAX_LEASES: u64 = 4;

const SEEDS: std::ops::Range<u64> = 0..8;
const RUNS_PER_SEED: u64 = 100;
const ACTIONS_PER_RUN: usize = 120;

#[derive(Clone, Debug)]
enum Action {
    Swap(Swap),
    Grant { ttl_ms: u64 },
    Renew(LeaseId),
    Revoke(LeaseId),
    Advance { elapsed_ms: u64 },
    Watch { prefix: &'static str, lookback: u64 },
    Sync,
}

impl Arbitrary for Action {
    fn arbitrary(g: &mut Gen) -> Self {
        let lease = LeaseId(u64::arbitrary(g) % MAX_LEASES + 1);
        match u8::arbitrary(g) % 16 {
            0..=7 => Self::Swap(arbitrary_swap(g, lease)),
            8 => Self::Grant {
                ttl_ms: u64::arbitrary(g) % 200,
            },
            9 => Self::Renew(lease),
            10 => Self::Revoke(lease),
            11 | 12 => Self::Advance {
                elapsed_ms: u64::arbitrary(g) % 100,
            },
            13 | 14 => Self::Watch {
                prefix: g.choose(&PREFIXES).unwrap(),
                lookback: u64::arbitrary(g) % (2 * MAX_CHANGES as u64),
            },
            _ => Self::Sync,
        }
    }
}

fn arbitrary_swap(g: &mut Gen, lease: LeaseId) -> Swap {
    let expected = match u8::arbitrary(g) % 4 {
        0 => Expected::Absent,
        1 => Expected::Version(u64::arbitrary(g) % 64),
        _ => Expected::Any,
    };
    Swap {
        key: (*g.choose(&KEYS).unwrap()).to_owned(),
        expected,
        value: Option::<u8>::arbitrary(g).map(|value| value.to_string()),
        lease: bool::arbitrary(g).then_some(lease),
    }
}

/// Reference implementation: a map of entries with the list of all changes.
#[derive(Default)]
struct Oracle {
    now_ms: u64,
    entries: BTreeMap<String, (Entry, Option<LeaseId>)>,
    changed_keys: Vec<String>,
    /// Expiry time and time to live of each active lease, in milliseconds.
    leases: BTreeMap<LeaseId, (u64, u64)>,
    last_lease_id: u64,
}

impl Oracle {
    fn revision(&self) -> u64 {
        self.changed_keys.len() as u64
    }

    fn swap(&mut self, swap: Swap) -> Result<SwapOutcome, KeyValueErrorKind> {
        let current = self.entries.get(&swap.key).map(|(entry, _)| entry.clone());
        let version = current.as_ref().map(|entry| entry.version);
        let met = match swap.expected {
            Expected::Any => true,
            Expected::Absent => version.is_none(),
            Expected::Version(expected) => version == Some(expected),
        };
        if !met {
            return Ok(SwapOutcome::Conflict(current));
        }
        let Some(value) = swap.value else {
            if self.entries.remove(&swap.key).is_some() {
                self.changed_keys.push(swap.key);
            }
            return Ok(SwapOutcome::Written(self.revision()));
        };
        if swap
            .lease
            .is_some_and(|lease| !self.leases.contains_key(&lease))
        {
            return Err(KeyValueErrorKind::LeaseLapsed);
        }
        self.changed_keys.push(swap.key.clone());
        let entry = Entry {
            key: swap.key.clone(),
            value,
            version: self.revision(),
        };
        self.entries.insert(swap.key, (entry, swap.lease));
        Ok(SwapOutcome::Written(self.revision()))
    }

    fn grant(&mut self, ttl_ms: u64) -> LeaseId {
        self.last_lease_id += 1;
        let lease = LeaseId(self.last_lease_id);
        self.leases.insert(lease, (self.now_ms + ttl_ms, ttl_ms));
        lease
    }

    fn renew(&mut self, lease: LeaseId) -> Result<(), KeyValueErrorKind> {
        let held = self.leases.get_mut(&lease);
        let (expires_at_ms, ttl_ms) = held.ok_or(KeyValueErrorKind::LeaseLapsed)?;
        *expires_at_ms = self.now_ms + *ttl_ms;
        Ok(())
    }

    fn revoke(&mut self, lease: LeaseId) {
        self.leases.remove(&lease);
        let attached = |(_, held): &(Entry, Option<LeaseId>)| *held == Some(lease);
        let keys = self.entries.iter().filter(|(_, stored)| attached(stored));
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.entries.remove(&key);
            self.changed_keys.push(key);
        }
    }

    /// Ends the leases that have expired, in order of expiry.
    fn expire_leases(&mut self) {
        let by_expiry = self
            .leases
            .iter()
            .map(|(id, (expires_at_ms, _))| (*expires_at_ms, *id));
        let next = by_expiry
            .min()
            .filter(|(expires_at_ms, _)| *expires_at_ms <= self.now_ms);
        if let Some((_, lease)) = next {
            self.revoke(lease);
            self.expire_leases();
        }
    }

    fn entries_under(&self, prefix: &str) -> Vec<Entry> {
        let entries = self.entries.values().map(|(entry, _)| entry.clone());
        entries
            .filter(|entry| entry.key.starts_with(prefix))
            .collect()
    }
}

/// A copy of the entries that is kept up to date through watches.
#[derive(Default)]
struct Replica {
    revision: u64,
    entries: BTreeMap<String, Entry>,
}

impl Replica {
    async fn sync(&mut self, store: &MemoryKeyValue) {
        let batch = store.watch("", self.revision, 0).await.unwrap();
        if batch.complete {
            self.entries.clear();
        }
        for key in batch.deleted {
            self.entries.remove(&key);
        }
        for entry in batch.written {
            self.entries.insert(entry.key.clone(), entry);
        }
        self.revision = batch.revision;
    }
}

async fn apply_and_check(store: &MemoryKeyValue, oracle: &mut Oracle, action: Action) {
    oracle.expire_leases();
    match action {
        Action::Swap(swap) => {
            let outcome = store.swap(swap.clone()).await;
            assert_eq!(outcome.map_err(|error| error.kind()), oracle.swap(swap));
        }
        Action::Grant { ttl_ms } => {
            let lease = store.lease_grant(ttl_ms).await.unwrap();
            assert_eq!(lease, oracle.grant(ttl_ms));
        }
        Action::Renew(lease) => {
            let renewed = store.lease_renew(lease).await;
            assert_eq!(renewed.map_err(|error| error.kind()), oracle.renew(lease));
        }
        Action::Revoke(lease) => {
            store.lease_revoke(lease).await.unwrap();
            oracle.revoke(lease);
        }
        Action::Advance { elapsed_ms } => {
            advance(Duration::from_millis(elapsed_ms)).await;
            oracle.now_ms += elapsed_ms;
        }
        Action::Watch { prefix, lookback } => check_watch(store, oracle, prefix, lookback).await,
        Action::Sync => {}
    }
    oracle.expire_leases();
    let listing = store.list("", None, usize::MAX).await.unwrap();
    assert_eq!(listing.entries, oracle.entries_under(""));
    assert_eq!(listing.revision, oracle.revision());
}

async fn check_watch(store: &MemoryKeyValue, oracle: &Oracle, prefix: &str, lookback: u64) {
    let revision = oracle.revision().saturating_sub(lookback);
    let batch = store.watch(prefix, revision, 0).await.unwrap();
    assert_eq!(batch.revision, oracle.revision());
    assert_eq!(
        batch.complete,
        oracle.revision() - revision > MAX_CHANGES as u64
    );
    let mut written = oracle.entries_under(prefix);
    written.sort_by_key(|entry| entry.version);
    if batch.complete {
        assert_eq!(batch.written, written);
        return;
    }
    written.retain(|entry| entry.version > revision);
    assert_eq!(batch.written, written);
    let changed_keys = oracle
        .changed_keys
        .iter()
        .skip(usize::try_from(revision).unwrap());
    let removed =
        changed_keys.filter(|key| key.starts_with(prefix) && !oracle.entries.contains_key(*key));
    let mut deleted: Vec<String> = removed.cloned().collect();
    deleted.sort();
    deleted.dedup();
    assert_eq!(batch.deleted, deleted);
}

async fn run_actions(actions: Vec<Action>) {
    let store = MemoryKeyValue::with_max_changes(MAX_CHANGES);
    let mut oracle = Oracle::default();
    let mut replica = Replica::default();
    for action in actions {
        let syncs = matches!(action, Action::Sync);
        apply_and_check(&store, &mut oracle, action).await;
        if syncs {
            replica.sync(&store).await;
            let replicated: Vec<Entry> = replica.entries.values().cloned().collect();
            assert_eq!(replicated, oracle.entries_under(""));
        }
    }
}

fn property(actions: Vec<Action>) -> bool {
    let mut builder = Builder::new_current_thread();
    let runtime = builder.enable_time().start_paused(true).build();
    runtime.unwrap().block_on(run_actions(actions));
    true
}

#[test]
fn store_matches_the_oracle() {
    for seed in SEEDS {
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(ACTIONS_PER_RUN, seed))
            .tests(RUNS_PER_SEED)
            .quickcheck(property as fn(Vec<Action>) -> bool);
    }
}
