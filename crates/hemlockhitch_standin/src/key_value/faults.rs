//! The faults that the key-value service can show.

use std::future::pending;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tokio::sync::watch;

/// The faults of the key-value service; the default is none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case", default, deny_unknown_fields)]
pub struct Faults {
    /// Whether every connection breaks at its next request, without effect.
    pub down: bool,
    /// How long each request waits before it takes effect, in milliseconds.
    pub delay_ms: u64,
    /// How many of the next writes take effect without an answer.
    pub lost_answers: u64,
    /// Writes to keys with this prefix take effect without an answer.
    pub lost_prefix: Option<String>,
}

/// Sets the faults of a running service; clones act on the same service.
#[derive(Clone, Debug)]
pub struct FaultSwitch {
    faults: Arc<watch::Sender<Faults>>,
}

impl FaultSwitch {
    /// Creates a switch for a service that starts with `faults`.
    #[must_use]
    pub fn new(faults: Faults) -> Self {
        Self {
            faults: Arc::new(watch::Sender::new(faults)),
        }
    }

    /// Replaces all faults.
    pub fn set(&self, faults: Faults) {
        self.faults.send_replace(faults);
    }

    /// Returns the present faults.
    #[must_use]
    pub fn get(&self) -> Faults {
        self.faults.borrow().clone()
    }

    /// Waits until the service is down.
    pub(super) async fn wait_down(&self) {
        let mut faults = self.faults.subscribe();
        if faults.wait_for(|faults| faults.down).await.is_err() {
            pending::<()>().await;
        }
    }

    /// Decides whether the answer of a write is lost, and counts it. The key of
    /// the write is read only when a fault depends on it.
    pub(super) fn loses_answer(&self, key: impl FnOnce() -> Option<String>) -> bool {
        let mut lost = false;
        self.faults.send_modify(|faults| {
            lost = faults.lost_answers > 0 || faults.covers(key);
            faults.lost_answers = faults.lost_answers.saturating_sub(1);
        });
        lost
    }
}

impl Faults {
    fn covers(&self, key: impl FnOnce() -> Option<String>) -> bool {
        let Some(prefix) = &self.lost_prefix else {
            return false;
        };
        key().is_some_and(|key| key.starts_with(prefix))
    }
}
