//! Fault injection for the engine.

use hemlockhitch_model::VersionName;
use serde::{Deserialize, Serialize};

/// Change to the injected faults, as accepted by `POST /faults` and the command line.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case", deny_unknown_fields)]
pub enum EngineFault {
    /// Clears every fault except a cold start in progress and changed limits.
    Clear,
    /// While `on`, aborts every connection, including new ones.
    Down {
        /// Whether the fault is on.
        on: bool,
    },
    /// Aborts every connection once and begins a cold start.
    Crash,
    /// Crashes, as [`EngineFault::Crash`], on every prompt that contains the marker.
    CrashOn {
        /// Text to search for, or `None` to clear the fault.
        marker: Option<String>,
    },
    /// Begins another cold start without aborting connections.
    ColdAgain {
        /// New limit of concurrent requests during a cold start, or `None` to keep it.
        cold_limit: Option<u32>,
    },
    /// Changes the limit of concurrent requests when warm.
    WarmLimit {
        /// The new limit of concurrent requests.
        limit: u32,
    },
    /// Refuses the next completions with status 503.
    RefuseNext {
        /// Number of completions to refuse.
        count: u32,
    },
    /// Inserts a chunk of another request before every second chunk.
    CrossedAnswers {
        /// Whether the fault is on.
        on: bool,
    },
    /// Repeats every chunk after the one that follows it.
    LateChunks {
        /// Whether the fault is on.
        on: bool,
    },
    /// Omits the chunk of one token.
    SkipToken {
        /// Offset of the token, or `None` to clear the fault.
        offset_tokens: Option<u32>,
    },
    /// Ends answers early, without their last chunk.
    TruncateAfter {
        /// Number of tokens generated before the fault, or `None` to clear it.
        tokens: Option<u32>,
    },
    /// Aborts the connection in the middle of answers.
    BreakAfter {
        /// Number of tokens generated before the fault, or `None` to clear it.
        tokens: Option<u32>,
    },
    /// Stops sending without closing the connection.
    StallAfter {
        /// Number of tokens generated before the fault, or `None` to clear it.
        tokens: Option<u32>,
    },
    /// Multiplies the prefill time and the time per token.
    Slow {
        /// Factor; 1 is the normal speed.
        factor_ratio: f64,
    },
    /// Fails a fraction of a version's completions with status 500.
    Errors {
        /// Version whose completions fail.
        version: VersionName,
        /// Fraction of failing completions, from 0 to 1.
        error_ratio: f64,
    },
}

/// Faults that are currently set.
#[derive(Clone, Debug, Default)]
pub(super) struct FaultState {
    pub(super) down: bool,
    pub(super) crash_marker: Option<String>,
    pub(super) refuse_next: u32,
    pub(super) crossed_answers: bool,
    pub(super) late_chunks: bool,
    pub(super) skip_token: Option<u32>,
    pub(super) truncate_after: Option<u32>,
    pub(super) break_after: Option<u32>,
    pub(super) stall_after: Option<u32>,
    pub(super) slowdown_ratio: Option<f64>,
    pub(super) errors: Vec<VersionErrors>,
}

/// Injected errors of one version, spread evenly over its completions.
#[derive(Clone, Debug)]
pub(super) struct VersionErrors {
    version: VersionName,
    error_ratio: f64,
    /// Sum of `error_ratio` over the completions, less 1 for each error.
    accumulated_errors: f64,
}

impl FaultState {
    /// Sets a fault that affects only later steps. `Crash`, `ColdAgain` and `WarmLimit`
    /// are handled by the shared state and ignored here.
    pub(super) fn set(&mut self, fault: EngineFault) {
        match fault {
            EngineFault::Clear => *self = Self::default(),
            EngineFault::Down { on } => self.down = on,
            EngineFault::CrashOn { marker } => self.crash_marker = marker,
            EngineFault::RefuseNext { count } => self.refuse_next = count,
            EngineFault::CrossedAnswers { on } => self.crossed_answers = on,
            EngineFault::LateChunks { on } => self.late_chunks = on,
            EngineFault::SkipToken { offset_tokens } => self.skip_token = offset_tokens,
            EngineFault::TruncateAfter { tokens } => self.truncate_after = tokens,
            EngineFault::BreakAfter { tokens } => self.break_after = tokens,
            EngineFault::StallAfter { tokens } => self.stall_after = tokens,
            EngineFault::Slow { factor_ratio } => self.slowdown_ratio = Some(factor_ratio),
            EngineFault::Errors {
                version,
                error_ratio,
            } => self.set_errors(version, error_ratio),
            EngineFault::Crash | EngineFault::ColdAgain { .. } | EngineFault::WarmLimit { .. } => {}
        }
    }

    fn set_errors(&mut self, version: VersionName, error_ratio: f64) {
        self.errors.retain(|entry| entry.version != version);
        self.errors.push(VersionErrors {
            version,
            error_ratio,
            accumulated_errors: 0.0,
        });
    }

    /// Counts a completion of `version` and returns whether it fails.
    pub(super) fn consume_error(&mut self, version: &VersionName) -> bool {
        let entry = self.errors.iter_mut().find(|e| e.version == *version);
        let Some(entry) = entry else {
            return false;
        };
        entry.accumulated_errors += entry.error_ratio;
        if entry.accumulated_errors < 1.0 {
            return false;
        }
        entry.accumulated_errors -= 1.0;
        true
    }

    /// Counts a completion against `refuse_next` and returns whether it is refused.
    pub(super) fn consume_refusal(&mut self) -> bool {
        if self.refuse_next == 0 {
            return false;
        }
        self.refuse_next -= 1;
        true
    }

    pub(super) fn crashes_on(&self, prompt: &str) -> bool {
        let marker = self.crash_marker.as_deref();
        marker.is_some_and(|marker| prompt.contains(marker))
    }
}
