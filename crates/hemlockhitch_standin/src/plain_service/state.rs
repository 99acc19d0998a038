//! The state that the service's connections share.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};

/// One change of the faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case", deny_unknown_fields)]
pub enum PlainServiceFault {
    /// Ends every fault.
    Clear,
    /// Breaks every connection before the call takes effect, while `on`.
    Down {
        /// Whether the fault is on.
        on: bool,
    },
    /// Breaks the connection before the next calls take effect.
    BreakBefore {
        /// How many.
        count: u32,
    },
    /// Breaks the connection after the next calls took effect.
    BreakAfter {
        /// How many.
        count: u32,
    },
    /// Waits before a call takes effect.
    Slow {
        /// How long.
        delay_ms: u64,
    },
}

/// How often one call ran.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RanCall {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// The body, as text.
    pub body: String,
    /// How often it ran.
    pub runs: u32,
}

/// What ran since the start of the process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct PlainServiceStats {
    /// Calls that took effect.
    pub runs: u64,
    /// Calls that took effect by request id.
    pub runs_by_request: BTreeMap<String, u32>,
    /// Calls that took effect, in order of their first run.
    pub calls: Vec<RanCall>,
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct PlainServiceAnswer {
    /// The running number of the call.
    pub number: u64,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
}

/// A call as it is counted.
#[derive(Clone, Debug)]
pub(super) struct Call {
    pub(super) request_id: Option<String>,
    pub(super) method: String,
    pub(super) path: String,
    pub(super) body: String,
}

/// The state; clones share it.
#[derive(Clone, Debug, Default)]
pub(super) struct Shared {
    inner: Arc<Mutex<Inner>>,
}

/// What the mutex guards.
#[derive(Debug, Default)]
pub(super) struct Inner {
    pub(super) stats: PlainServiceStats,
    pub(super) delay_ms: u64,
    down: bool,
    break_before: u32,
    break_after: u32,
}

impl Shared {
    pub(super) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    pub(super) fn set_fault(&mut self, fault: PlainServiceFault) {
        match fault {
            PlainServiceFault::Clear => self.clear_faults(),
            PlainServiceFault::Down { on } => self.down = on,
            PlainServiceFault::BreakBefore { count } => self.break_before = count,
            PlainServiceFault::BreakAfter { count } => self.break_after = count,
            PlainServiceFault::Slow { delay_ms } => self.delay_ms = delay_ms,
        }
    }

    fn clear_faults(&mut self) {
        let stats = std::mem::take(&mut self.stats);
        *self = Self {
            stats,
            ..Self::default()
        };
    }

    /// Returns whether the next call breaks before it takes effect.
    pub(super) fn takes_break_before(&mut self) -> bool {
        self.down || take_one(&mut self.break_before)
    }

    /// Returns whether the next call breaks after it took effect.
    pub(super) fn takes_break_after(&mut self) -> bool {
        take_one(&mut self.break_after)
    }

    /// Counts a call that takes effect.
    pub(super) fn run(&mut self, call: Call) -> PlainServiceAnswer {
        self.stats.runs += 1;
        if let Some(request_id) = call.request_id {
            *self.stats.runs_by_request.entry(request_id).or_default() += 1;
        }
        let answer = PlainServiceAnswer {
            number: self.stats.runs,
            method: call.method.clone(),
            path: call.path.clone(),
        };
        self.stats.count_call(call.method, call.path, call.body);
        answer
    }
}

impl PlainServiceStats {
    fn count_call(&mut self, method: String, path: String, body: String) {
        let same = self
            .calls
            .iter_mut()
            .find(|ran| ran.method == method && ran.path == path && ran.body == body);
        if let Some(ran) = same {
            ran.runs += 1;
            return;
        }
        self.calls.push(RanCall {
            method,
            path,
            body,
            runs: 1,
        });
    }
}

fn take_one(count: &mut u32) -> bool {
    let left = *count > 0;
    *count = count.saturating_sub(1);
    left
}
