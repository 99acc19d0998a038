//! State shared by the connections of the plain service.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};

/// Change to the injected faults, as accepted by `POST /faults`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case", deny_unknown_fields)]
pub enum PlainServiceFault {
    /// Clears every fault.
    Clear,
    /// While `on`, aborts the connection of every call before the call takes effect.
    Down {
        /// Whether the fault is on.
        on: bool,
    },
    /// Aborts the connection of the next calls before they take effect.
    BreakBefore {
        /// Number of calls affected.
        count: u32,
    },
    /// Aborts the connection of the next calls after they took effect.
    BreakAfter {
        /// Number of calls affected.
        count: u32,
    },
    /// Delays each call before it takes effect.
    Slow {
        /// Delay, in milliseconds.
        delay_ms: u64,
    },
}

/// Number of executions of identical calls.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct CallRecord {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Body as text; invalid UTF-8 is replaced.
    pub body: String,
    /// Number of executions.
    pub runs: u32,
}

/// Counters since the start of the stand-in.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct PlainServiceStats {
    /// Number of calls that took effect.
    pub runs: u64,
    /// Number of calls that took effect, by request ID.
    pub runs_by_request: BTreeMap<String, u32>,
    /// Distinct calls that took effect, in order of their first execution.
    pub calls: Vec<CallRecord>,
}

/// Body of the response to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct PlainServiceAnswer {
    /// Sequence number of the call, starting at 1.
    pub number: u64,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
}

/// A received call.
#[derive(Clone, Debug)]
pub(super) struct Call {
    pub(super) request_id: Option<String>,
    pub(super) method: String,
    pub(super) path: String,
    pub(super) body: String,
}

/// Handle of the shared state; clones refer to the same state.
#[derive(Clone, Debug, Default)]
pub(super) struct Shared {
    inner: Arc<Mutex<Inner>>,
}

/// State protected by the mutex.
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

    /// Returns whether the connection of this call is aborted before it takes effect, and
    /// counts the call against the fault.
    pub(super) fn consume_break_before(&mut self) -> bool {
        self.down || decrement(&mut self.break_before)
    }

    /// Returns whether the connection of this call is aborted after it took effect, and
    /// counts the call against the fault.
    pub(super) fn consume_break_after(&mut self) -> bool {
        decrement(&mut self.break_after)
    }

    /// Records a call that takes effect and returns its response.
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
        let existing = self
            .calls
            .iter_mut()
            .find(|record| record.method == method && record.path == path && record.body == body);
        if let Some(record) = existing {
            record.runs += 1;
            return;
        }
        self.calls.push(CallRecord {
            method,
            path,
            body,
            runs: 1,
        });
    }
}

fn decrement(count: &mut u32) -> bool {
    let was_positive = *count > 0;
    *count = count.saturating_sub(1);
    was_positive
}
