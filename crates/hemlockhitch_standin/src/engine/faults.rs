//! Faults of the engine.

use hemlockhitch_model::VersionName;
use serde::{Deserialize, Serialize};

/// One change of the faults, as `POST /faults` and the command line take it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case", deny_unknown_fields)]
pub enum EngineFault {
    /// Ends every fault but a running cold start.
    Clear,
    /// Breaks every connection, also later ones, while `on`.
    Down {
        /// Whether the fault is on.
        on: bool,
    },
    /// Breaks every connection once and starts cold.
    Crash,
    /// Crashes on every prompt that contains the marker.
    CrashOn {
        /// The marker, or `None` to stop.
        marker: Option<String>,
    },
    /// Starts cold once more without breaking anything.
    ColdAgain {
        /// A new limit while cold.
        cold_limit: Option<u32>,
    },
    /// Bears another number of requests when warm.
    WarmLimit {
        /// The new limit.
        limit: u32,
    },
    /// Refuses the next completions.
    RefuseNext {
        /// How many.
        count: u32,
    },
    /// Inserts a chunk of another request before every second chunk.
    CrossedAnswers {
        /// Whether the fault is on.
        on: bool,
    },
    /// Sends every chunk once more after the next one.
    LateChunks {
        /// Whether the fault is on.
        on: bool,
    },
    /// Leaves out the chunk at this token.
    SkipToken {
        /// Offset of the token, or `None` to stop.
        offset_tokens: Option<u32>,
    },
    /// Ends answers without their last chunk.
    TruncateAfter {
        /// After how many tokens, or `None` to stop.
        tokens: Option<u32>,
    },
    /// Breaks the connection inside answers.
    BreakAfter {
        /// After how many tokens, or `None` to stop.
        tokens: Option<u32>,
    },
    /// Sends nothing more.
    StallAfter {
        /// After how many tokens, or `None` to stop.
        tokens: Option<u32>,
    },
    /// Takes this many times as long.
    Slow {
        /// The factor; 1 is normal.
        factor_ratio: f64,
    },
    /// Fails a part of a version's completions with status 500.
    Errors {
        /// The version.
        version: VersionName,
        /// The part of the completions, from 0 to 1.
        error_ratio: f64,
    },
}

/// The faults that are set.
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
    pub(super) slow_ratio: Option<f64>,
    pub(super) errors: Vec<VersionErrors>,
}

/// The errors of one version, spread evenly over its completions.
#[derive(Clone, Debug)]
pub(super) struct VersionErrors {
    version: VersionName,
    error_ratio: f64,
    due: f64,
}

impl FaultState {
    /// Sets a fault that concerns nothing but later work.
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
            EngineFault::Slow { factor_ratio } => self.slow_ratio = Some(factor_ratio),
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
            due: 0.0,
        });
    }

    /// Returns whether the next completion of `version` fails.
    pub(super) fn take_error(&mut self, version: &VersionName) -> bool {
        let entry = self.errors.iter_mut().find(|e| e.version == *version);
        let Some(entry) = entry else {
            return false;
        };
        entry.due += entry.error_ratio;
        if entry.due < 1.0 {
            return false;
        }
        entry.due -= 1.0;
        true
    }

    /// Returns whether the next completion is refused.
    pub(super) fn take_refusal(&mut self) -> bool {
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
