//! Fault injection for the key-value service.

use std::future::pending;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tokio::sync::watch;

/// Faults injected into the key-value service; the default is none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case", default, deny_unknown_fields)]
pub struct Faults {
    /// Whether every call is dropped without effect and its connection aborted.
    pub down: bool,
    /// Delay before each request takes effect, in milliseconds.
    pub delay_ms: u64,
    /// Number of upcoming writes that take effect but get no response.
    pub lost_answers: u64,
    /// Writes to keys with this prefix take effect but get no response.
    pub lost_prefix: Option<String>,
}

/// Injects faults into a running service; clones act on the same service.
#[derive(Clone, Debug)]
pub struct FaultInjector {
    faults: Arc<watch::Sender<Faults>>,
}

impl FaultInjector {
    /// Creates an injector for a service that starts with `faults`.
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

    /// Returns the faults that are set.
    #[must_use]
    pub fn get(&self) -> Faults {
        self.faults.borrow().clone()
    }

    /// Waits until the fault [`Faults::down`] is set.
    pub(super) async fn wait_until_down(&self) {
        let mut faults = self.faults.subscribe();
        if faults.wait_for(|faults| faults.down).await.is_err() {
            pending::<()>().await;
        }
    }

    /// Returns whether the response to a write is lost, and decrements
    /// [`Faults::lost_answers`]. `key` is called only if a fault depends on the key of
    /// the write.
    pub(super) fn consume_lost_response(&self, key: impl FnOnce() -> Option<String>) -> bool {
        let mut lost = false;
        self.faults.send_modify(|faults| {
            lost = faults.lost_answers > 0 || faults.matches_lost_prefix(key);
            faults.lost_answers = faults.lost_answers.saturating_sub(1);
        });
        lost
    }
}

impl Faults {
    fn matches_lost_prefix(&self, key: impl FnOnce() -> Option<String>) -> bool {
        let Some(prefix) = &self.lost_prefix else {
            return false;
        };
        key().is_some_and(|key| key.starts_with(prefix))
    }
}
