//! A fleet of nodes in one process, with faults that tests can inject.
#![allow(dead_code)]

pub mod frozen;

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hemlockhitch_config::configuration::{Row, Version};
use hemlockhitch_config::{Change, Configuration, NumberedChange, RowEdit};
use hemlockhitch_ledger::call::{LedgerCall, LedgerReply, LedgerService};
use hemlockhitch_model::{ChangeId, Clock, Now, SystemClock};
use hemlockhitch_peer::feed::{ConfigurationSource, SourceError};
use hemlockhitch_peer::{Fitness, PeerSettings, Peers};
use hemlockhitch_ports::key_value::{
    Entry, KeyValue, KeyValueError, KeyValueErrorKind, LeaseId, Listing, MemoryKeyValue, Swap,
    SwapOutcome, WatchBatch,
};
use hemlockhitch_ports::vm_list::{Vm, VmList, VmListError};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout};

/// Longest time that a test waits for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Returns settings with short intervals, to keep the tests fast.
pub fn settings() -> PeerSettings {
    PeerSettings {
        exchange_interval_ms: 100,
        call_timeout_ms: 500,
        slot_timeout_ms: 500,
        long_timeout_ms: 1_500,
        suspicion_ms: 1_500,
        self_stop_ms: 1_500,
        vm_list_interval_ms: 100,
        store_wait_ms: 300,
        store_timeout_ms: 500,
        lease_ttl_ms: 2_500,
        lease_renew_ms: 500,
        lease_margin_ms: 500,
        hand_over_delay_ms: 500,
        endpoint_buckets: 8,
        ledger_shards: 4,
        grant_ttl_ms: 2_500,
        grant_renew_ms: 500,
        ..PeerSettings::default()
    }
}

/// Waits until `condition` is true; fails the test after [`WAIT_TIMEOUT`].
pub async fn until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting for: {what}");
        sleep(Duration::from_millis(20)).await;
    }
}

/// Fakes of the platform services that the nodes of a fleet share.
#[derive(Clone, Debug)]
pub struct Platform {
    pub settings: PeerSettings,
    pub clock: SystemClock,
    pub store: FaultyStore,
    pub vms: FakeVmList,
    pub source: FakeConfigurationSource,
}

impl Default for Platform {
    fn default() -> Self {
        Self {
            settings: settings(),
            clock: SystemClock::new(),
            store: FaultyStore::default(),
            vms: FakeVmList::default(),
            source: FakeConfigurationSource::default(),
        }
    }
}

impl Platform {
    /// Returns how many calls the key-value service and the configuration source
    /// have received.
    pub fn store_calls(&self) -> u64 {
        let configuration = self.source.reads.load(Ordering::SeqCst);
        self.store.calls.load(Ordering::SeqCst) + configuration
    }

    /// Makes the key-value service and the configuration source unavailable to all
    /// nodes, or available again.
    pub fn store_down(&self, down: bool) {
        self.store.down.store(down, Ordering::SeqCst);
        self.source.set_down(down);
    }

    /// Starts a node in `dc-a` and adds it to the VM list.
    pub async fn start(&self, name: &str) -> Peers {
        self.start_in(name, "dc-a").await
    }

    /// Starts a node in a data centre and adds it to the VM list.
    pub async fn start_in(&self, name: &str, data_centre: &str) -> Peers {
        let peers = self.start_with(name, data_centre, self.clock).await;
        self.vms.add(name, peers.address(), data_centre);
        peers
    }

    /// Starts a node with its own clock, without adding it to the VM list.
    pub async fn start_with(&self, name: &str, data_centre: &str, clock: impl Clock) -> Peers {
        Peers::builder()
            .node(name)
            .data_centre(data_centre)
            .settings(self.settings)
            .start(
                self.store.clone(),
                self.vms.clone(),
                self.source.clone(),
                StubLedger,
                clock,
            )
            .await
            .unwrap()
    }

    /// Starts nodes `n1`, `n2`, … and waits until each sees all of them serving.
    pub async fn fleet(&self, count: usize) -> Vec<Peers> {
        self.fleet_alongside(count, 0).await
    }

    /// Starts `count` nodes alongside `running` nodes that have been started before.
    pub async fn fleet_alongside(&self, count: usize, running: usize) -> Vec<Peers> {
        let mut fleet = Vec::new();
        for number in 1..=count {
            fleet.push(self.start(&format!("n{number}")).await);
        }
        until("all serving", || {
            fleet.iter().all(|peers| {
                let serving = peers.members().iter().filter(|m| m.may_own()).count();
                serving == count + running
            })
        })
        .await;
        fleet
    }
}

pub fn is_serving(peers: &Peers, clock: &impl Clock) -> bool {
    peers.fitness(clock.now()) == Fitness::Serving
}

#[derive(Clone, Debug, Default)]
pub struct FakeVmList {
    vms: Arc<Mutex<HashMap<String, Vm>>>,
    down: Arc<AtomicBool>,
}

impl FakeVmList {
    pub fn add(&self, name: &str, address: &str, data_centre: &str) {
        let vm = Vm {
            name: name.into(),
            peer_address: address.to_owned(),
            data_centre: data_centre.into(),
            leaving: false,
        };
        self.vms.lock().unwrap().insert(name.to_owned(), vm);
    }

    pub fn remove(&self, name: &str) {
        self.vms.lock().unwrap().remove(name);
    }

    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::SeqCst);
    }
}

impl VmList for FakeVmList {
    async fn list(&self) -> Result<Vec<Vm>, VmListError> {
        if self.down.load(Ordering::SeqCst) {
            let detail = "down".to_owned();
            return Err(VmListError { detail });
        }
        Ok(self.vms.lock().unwrap().values().cloned().collect())
    }
}

/// A configuration source that holds its changes in memory.
#[derive(Clone, Debug, Default)]
pub struct FakeConfigurationSource {
    changes: Arc<Mutex<Vec<Change>>>,
    pub down: Arc<AtomicBool>,
    pub reads: Arc<AtomicU64>,
    down_since: Arc<Mutex<Option<Instant>>>,
    accepted: Arc<Notify>,
}

impl FakeConfigurationSource {
    /// Returns whether the source has been down for twice the self-stop time, so that
    /// no node relies on it any more.
    pub fn is_down_past_self_stop(&self) -> bool {
        let down_since = self.down_since.lock().unwrap();
        let threshold = Duration::from_millis(2 * settings().self_stop_ms);
        down_since.is_some_and(|since| since.elapsed() > threshold)
    }

    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::SeqCst);
        *self.down_since.lock().unwrap() = down.then(Instant::now);
    }

    /// Appends a change and returns it with its generation.
    pub fn accept(&self) -> NumberedChange {
        let mut changes = self.changes.lock().unwrap();
        let generation = changes.len() as u64 + 1;
        let change = change(generation);
        changes.push(change.clone());
        self.accepted.notify_waiters();
        NumberedChange { generation, change }
    }

    /// Counts a call; fails it while the service is down.
    fn count_call(&self) -> Result<(), SourceError> {
        self.reads.fetch_add(1, Ordering::SeqCst);
        if self.down.load(Ordering::SeqCst) {
            let detail = "down".to_owned();
            return Err(SourceError { detail });
        }
        Ok(())
    }

    fn after(&self, generation: u64) -> Vec<NumberedChange> {
        let changes = self.changes.lock().unwrap();
        (1..)
            .zip(changes.iter().cloned())
            .filter(|(number, _)| *number > generation)
            .map(|(generation, change)| NumberedChange { generation, change })
            .collect()
    }
}

impl ConfigurationSource for FakeConfigurationSource {
    async fn load(&self) -> Result<Configuration, SourceError> {
        self.count_call()?;
        let mut configuration = Configuration::default();
        for numbered in self.after(0) {
            configuration.apply(&numbered.change);
        }
        Ok(configuration)
    }

    async fn changes_after(
        &self,
        generation: u64,
        wait_ms: u64,
    ) -> Result<Vec<NumberedChange>, SourceError> {
        self.count_call()?;
        let accepted = self.accepted.notified();
        if self.after(generation).is_empty() {
            // Returns after a new change or after the timeout.
            let _ = timeout(Duration::from_millis(wait_ms), accepted).await;
        }
        if self.down.load(Ordering::SeqCst) {
            let detail = "down".to_owned();
            return Err(SourceError { detail });
        }
        Ok(self.after(generation))
    }
}

fn change(generation: u64) -> Change {
    let row = Row::Version(Version {
        name: format!("m@{generation}").as_str().into(),
        withdrawn: false,
        prompt_price_micros: 1,
        completion_price_micros: 1,
    });
    Change {
        id: ChangeId::from_u128(u128::from(generation)),
        base_generation: generation - 1,
        author: "operator".to_owned(),
        at_unix_ms: 0,
        edits: vec![RowEdit {
            key: row.key(),
            row: Some(row),
        }],
    }
}

/// A key-value service that counts its calls and injects failures.
#[derive(Clone, Debug, Default)]
pub struct FaultyStore {
    pub inner: MemoryKeyValue,
    pub down: Arc<AtomicBool>,
    /// The next write takes effect, but its reply is lost.
    pub lose_next_reply: Arc<AtomicBool>,
    pub calls: Arc<AtomicU64>,
    /// Writes block while this is set.
    pub block_writes: Arc<AtomicBool>,
}

impl FaultyStore {
    /// Counts a call; fails it while the service is down.
    fn count_call(&self) -> Result<(), KeyValueError> {
        self.calls.fetch_add(1, Ordering::SeqCst);
        if self.down.load(Ordering::SeqCst) {
            return Err(KeyValueError::new(KeyValueErrorKind::Unavailable, "down"));
        }
        Ok(())
    }
}

impl KeyValue for FaultyStore {
    async fn get(&self, key: &str) -> Result<Option<Entry>, KeyValueError> {
        self.count_call()?;
        self.inner.get(key).await
    }

    async fn list(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
    ) -> Result<Listing, KeyValueError> {
        self.count_call()?;
        self.inner.list(prefix, after, limit).await
    }

    async fn swap(&self, swap: Swap) -> Result<SwapOutcome, KeyValueError> {
        self.count_call()?;
        while self.block_writes.load(Ordering::SeqCst) {
            sleep(Duration::from_millis(10)).await;
        }
        let outcome = self.inner.swap(swap).await;
        if self.lose_next_reply.swap(false, Ordering::SeqCst) {
            return Err(KeyValueError::new(KeyValueErrorKind::Unknown, "lost"));
        }
        outcome
    }

    async fn watch(
        &self,
        prefix: &str,
        revision: u64,
        wait_ms: u64,
    ) -> Result<WatchBatch, KeyValueError> {
        self.count_call()?;
        self.inner.watch(prefix, revision, wait_ms).await
    }

    async fn lease_grant(&self, ttl_ms: u64) -> Result<LeaseId, KeyValueError> {
        self.count_call()?;
        self.inner.lease_grant(ttl_ms).await
    }

    async fn lease_renew(&self, lease: LeaseId) -> Result<(), KeyValueError> {
        self.count_call()?;
        self.inner.lease_renew(lease).await
    }

    async fn lease_revoke(&self, lease: LeaseId) -> Result<(), KeyValueError> {
        self.count_call()?;
        self.inner.lease_revoke(lease).await
    }
}

/// A ledger that answers every call with [`LedgerReply::Recorded`].
#[derive(Clone, Debug)]
pub struct StubLedger;

impl LedgerService for StubLedger {
    async fn handle(&self, _call: LedgerCall, _now: Now) -> LedgerReply {
        LedgerReply::Recorded
    }
}
