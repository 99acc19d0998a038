//! A key-value service with fault injection, and helpers that create rows and changes.
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

/// Fault injected into a compare-and-swap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SwapFault {
    /// No fault.
    None,
    /// The swap takes effect, but its response is lost.
    ResponseLost,
    /// The request is lost.
    RequestLost,
    /// The response is lost, and the swap takes effect after the next list operation or
    /// when [`FaultyKeyValue::deliver_delayed`] is called.
    Delayed,
    /// The service refuses the request.
    Refused,
}

/// An in-memory store into which tests inject faults.
#[derive(Clone, Debug, Default)]
pub struct FaultyKeyValue {
    pub inner: MemoryKeyValue,
    state: Arc<Mutex<FaultState>>,
}

#[derive(Debug, Default)]
struct FaultState {
    faults: VecDeque<SwapFault>,
    delayed: VecDeque<Swap>,
    down: bool,
    down_after_fault: bool,
    snapshots_refused: bool,
    delayed_held: bool,
    change_swaps: Vec<Swap>,
}

impl FaultyKeyValue {
    /// Sets the faults of the next writes to change slots.
    pub fn script(&self, faults: impl IntoIterator<Item = SwapFault>) {
        self.state.lock().unwrap().faults = faults.into_iter().collect();
    }

    /// Sets whether get, list, swap and watch fail as unavailable.
    pub fn set_down(&self, down: bool) {
        self.state.lock().unwrap().down = down;
    }

    /// Sets whether snapshot writes are refused.
    pub fn set_snapshots_refused(&self, refused: bool) {
        self.state.lock().unwrap().snapshots_refused = refused;
    }

    /// Makes the store unavailable right after the next scripted fault.
    pub fn go_down_after_fault(&self) {
        self.state.lock().unwrap().down_after_fault = true;
    }

    /// Returns the requested writes to change slots.
    pub fn change_swaps(&self) -> Vec<Swap> {
        self.state.lock().unwrap().change_swaps.clone()
    }

    /// Holds delayed writes until [`FaultyKeyValue::deliver_delayed`] is called.
    pub fn hold_delayed(&self) {
        self.state.lock().unwrap().delayed_held = true;
    }

    /// Applies the pending delayed writes.
    pub async fn deliver_delayed(&self) {
        loop {
            let swap = self.state.lock().unwrap().delayed.pop_front();
            let Some(swap) = swap else { return };
            self.inner
                .swap(swap)
                .await
                .expect("the delayed write is well formed");
        }
    }

    async fn check_up(&self) -> Result<(), KeyValueError> {
        // Lets other tasks run between two operations.
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
        state.change_swaps.push(swap.clone());
        let fault = state.faults.pop_front().unwrap_or(SwapFault::None);
        if fault != SwapFault::None && std::mem::take(&mut state.down_after_fault) {
            state.down = true;
        }
        fault
    }
}

fn response_lost() -> KeyValueError {
    KeyValueError::new(KeyValueErrorKind::Unknown, "response lost; read back")
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
        let held = self.state.lock().unwrap().delayed_held;
        if !held {
            self.deliver_delayed().await;
        }
        listing
    }

    async fn swap(&self, swap: Swap) -> Result<SwapOutcome, KeyValueError> {
        self.check_up().await?;
        match self.next_fault(&swap) {
            SwapFault::None => self.inner.swap(swap).await,
            SwapFault::ResponseLost => {
                self.inner.swap(swap).await?;
                Err(response_lost())
            }
            SwapFault::RequestLost => Err(response_lost()),
            SwapFault::Delayed => {
                self.state.lock().unwrap().delayed.push_back(swap);
                Err(response_lost())
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

/// Submission time in tests.
pub const NOW: Now = Now {
    mono_ms: 0,
    unix_ms: 1_796_331_600_000,
};

/// Returns the row of the data centre with this number.
pub fn data_centre(number: u64, out: bool) -> Row {
    Row::DataCentre(DataCentre {
        name: format!("dc-{number}").into(),
        region: "region".into(),
        out,
    })
}

/// Returns a change with the given id.
pub fn change(id: u128, base_generation: u64, edits: impl IntoIterator<Item = RowEdit>) -> Change {
    Change {
        id: ChangeId::from_u128(id),
        base_generation,
        author: "planner".to_owned(),
        at_unix_ms: 0,
        edits: edits.into_iter().collect(),
    }
}

/// Returns a change that adds or replaces one data centre.
pub fn set_data_centre(id: u128, base_generation: u64, number: u64, out: bool) -> Change {
    change(
        id,
        base_generation,
        [RowEdit::set(data_centre(number, out))],
    )
}
