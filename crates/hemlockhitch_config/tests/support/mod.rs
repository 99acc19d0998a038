//! A key-value service with faults on demand, and rows for tests.
#![allow(dead_code, reason = "each test file uses some of the helpers")]

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};

use hemlockhitch_config::configuration::{DataCentre, Row};
use hemlockhitch_config::{Change, RowEdit};
use hemlockhitch_model::{ChangeId, Now};
use hemlockhitch_ports::key_value::{
    Entry, KeyValue, KeyValueError, KeyValueErrorKind, LeaseId, Listing, MemoryKeyValue, Swap,
    SwapOutcome, WatchBatch,
};

/// What happens to one compare-and-swap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SwapFault {
    /// It works.
    None,
    /// It takes effect, its answer is lost.
    AnswerLost,
    /// It is lost on the way.
    RequestLost,
    /// Its answer is lost, and it takes effect after the next operation.
    Late,
    /// The service refuses it.
    Refused,
}

/// A store in memory whose faults a test sets.
#[derive(Clone, Debug, Default)]
pub struct FaultyKeyValue {
    pub inner: MemoryKeyValue,
    state: Arc<Mutex<FaultState>>,
}

#[derive(Debug, Default)]
struct FaultState {
    faults: VecDeque<SwapFault>,
    late: VecDeque<Swap>,
    down: bool,
    down_after_fault: bool,
    snapshots_refused: bool,
    late_held: bool,
    swaps: Vec<Swap>,
}

impl FaultyKeyValue {
    /// Sets the faults of the next writes of changes.
    pub fn script(&self, faults: impl IntoIterator<Item = SwapFault>) {
        self.state.lock().unwrap().faults = faults.into_iter().collect();
    }

    /// Refuses everything, or answers again.
    pub fn set_down(&self, down: bool) {
        self.state.lock().unwrap().down = down;
    }

    /// Refuses every write of a snapshot, or takes them again.
    pub fn set_snapshots_refused(&self, refused: bool) {
        self.state.lock().unwrap().snapshots_refused = refused;
    }

    /// Goes down right after the next scripted fault.
    pub fn go_down_after_fault(&self) {
        self.state.lock().unwrap().down_after_fault = true;
    }

    /// Returns the writes of changes that were asked for.
    pub fn change_swaps(&self) -> Vec<Swap> {
        self.state.lock().unwrap().swaps.clone()
    }

    /// Keeps late writes under way until [`FaultyKeyValue::deliver_late`].
    pub fn hold_late(&self) {
        self.state.lock().unwrap().late_held = true;
    }

    /// Lets the writes that are under way take effect.
    pub async fn deliver_late(&self) {
        loop {
            let swap = self.state.lock().unwrap().late.pop_front();
            let Some(swap) = swap else { return };
            self.inner
                .swap(swap)
                .await
                .expect("the late write is well formed");
        }
    }

    async fn check_up(&self) -> Result<(), KeyValueError> {
        // Lets other tasks act between two operations.
        tokio::task::yield_now().await;
        if self.state.lock().unwrap().down {
            return Err(KeyValueError::new(
                KeyValueErrorKind::Unavailable,
                "down; retry later",
            ));
        }
        Ok(())
    }

    fn next_fault(&self, swap: &Swap) -> SwapFault {
        let mut state = self.state.lock().unwrap();
        if swap.key.starts_with("config/snapshot") && state.snapshots_refused {
            return SwapFault::Refused;
        }
        if !swap.key.starts_with("config/change/") {
            return SwapFault::None;
        }
        state.swaps.push(swap.clone());
        let fault = state.faults.pop_front().unwrap_or(SwapFault::None);
        if fault != SwapFault::None && std::mem::take(&mut state.down_after_fault) {
            state.down = true;
        }
        fault
    }
}

fn lost() -> KeyValueError {
    KeyValueError::new(KeyValueErrorKind::Unknown, "answer lost; read back")
}

impl KeyValue for FaultyKeyValue {
    async fn get(&self, key: &str) -> Result<Option<Entry>, KeyValueError> {
        self.check_up().await?;
        self.inner.get(key).await
    }

    async fn list(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
    ) -> Result<Listing, KeyValueError> {
        self.check_up().await?;
        let listing = self.inner.list(prefix, after, limit).await;
        let held = self.state.lock().unwrap().late_held;
        if !held {
            self.deliver_late().await;
        }
        listing
    }

    async fn swap(&self, swap: Swap) -> Result<SwapOutcome, KeyValueError> {
        self.check_up().await?;
        match self.next_fault(&swap) {
            SwapFault::None => self.inner.swap(swap).await,
            SwapFault::AnswerLost => {
                self.inner.swap(swap).await?;
                Err(lost())
            }
            SwapFault::RequestLost => Err(lost()),
            SwapFault::Late => {
                self.state.lock().unwrap().late.push_back(swap);
                Err(lost())
            }
            SwapFault::Refused => Err(KeyValueError::new(
                KeyValueErrorKind::Unavailable,
                "refused; retry later",
            )),
        }
    }

    async fn watch(
        &self,
        prefix: &str,
        revision: u64,
        wait_ms: u64,
    ) -> Result<WatchBatch, KeyValueError> {
        self.check_up().await?;
        self.inner.watch(prefix, revision, wait_ms).await
    }

    async fn lease_grant(&self, ttl_ms: u64) -> Result<LeaseId, KeyValueError> {
        self.inner.lease_grant(ttl_ms).await
    }

    async fn lease_renew(&self, lease: LeaseId) -> Result<(), KeyValueError> {
        self.inner.lease_renew(lease).await
    }

    async fn lease_revoke(&self, lease: LeaseId) -> Result<(), KeyValueError> {
        self.inner.lease_revoke(lease).await
    }
}

/// The time that tests submit at.
pub const NOW: Now = Now {
    mono_ms: 0,
    unix_ms: 1_796_331_600_000,
};

/// A row for the data centre of this number.
pub fn data_centre(number: u64, out: bool) -> Row {
    Row::DataCentre(DataCentre {
        name: format!("dc-{number}").into(),
        region: "region".into(),
        out,
    })
}

/// A change with a chosen id.
pub fn change(id: u128, base_generation: u64, edits: impl IntoIterator<Item = RowEdit>) -> Change {
    Change {
        id: ChangeId::from_u128(id),
        base_generation,
        author: "planner".to_owned(),
        at_unix_ms: 0,
        edits: edits.into_iter().collect(),
    }
}

/// A change that sets one data centre.
pub fn set(id: u128, base_generation: u64, number: u64, out: bool) -> Change {
    change(
        id,
        base_generation,
        [RowEdit::set(data_centre(number, out))],
    )
}
