//! What a node has seen of a new version and of the others.

use std::collections::HashMap;

/// By how much a bad version fails more often than the others.
const WORSE_BY: f64 = 0.25;

/// Failures assumed of the others before many of their answers were seen.
const PRIOR_FAILED: f64 = 0.4;

/// Answers of the others assumed with them.
const PRIOR_ANSWERS: f64 = 20.0;

/// How much more likely the answers must be from a bad version than from a good
/// one, as a logarithm: 300 times.
const BAD_LOG: f64 = 5.7;

/// How many times as slow as the others an answer must be to count as bad.
const SLOW_FACTOR: f64 = 3.0;

/// Added to that, in milliseconds, for answers that are short in any case.
const SLOW_ADDED_MS: f64 = 150.0;

/// Weight of the newest answer in the mean time of the others.
const NEWEST_WEIGHT: f64 = 0.1;

/// One answer, or the lack of one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    /// A hash of the kind of request, of which times are compared.
    pub kind_hash: u64,
    /// Whether the version that is rolled out gave it.
    pub of_target: bool,
    /// Whether it failed.
    pub failed: bool,
    /// The time to the answer or its first event, in milliseconds.
    pub took_ms: u64,
}

/// What a node has seen of a new version and of the others.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    others_answers: f64,
    others_failed: f64,
    usual_ms: HashMap<u64, f64>,
    good: u32,
    bad: u32,
    log_ratio: f64,
}

impl Evidence {
    /// Takes in an answer.
    pub fn note(&mut self, seen: Observation) {
        #[allow(clippy::cast_precision_loss)]
        let took_ms = seen.took_ms as f64;
        if !seen.of_target {
            self.others_answers += 1.0;
            if seen.failed {
                self.others_failed += 1.0;
                return;
            }
            let usual_ms = self.usual_ms.entry(seen.kind_hash).or_insert(took_ms);
            *usual_ms += (took_ms - *usual_ms) * NEWEST_WEIGHT;
            return;
        }
        let usual_ms = self.usual_ms.get(&seen.kind_hash);
        let slow = usual_ms.is_some_and(|usual| took_ms > SLOW_FACTOR * usual + SLOW_ADDED_MS);
        let usual = (self.others_failed + PRIOR_FAILED) / (self.others_answers + PRIOR_ANSWERS);
        let usual = usual.clamp(0.01, 0.7);
        let worse = usual + WORSE_BY;
        if seen.failed || slow {
            self.bad += 1;
            self.log_ratio += (worse / usual).ln();
        } else {
            self.good += 1;
            self.log_ratio += ((1.0 - worse) / (1.0 - usual)).ln();
        }
        self.log_ratio = self.log_ratio.max(0.0);
    }

    /// Returns how many good answers the new version gave.
    #[must_use]
    pub fn good(&self) -> u32 {
        self.good
    }

    /// Returns how many bad answers the new version gave.
    #[must_use]
    pub fn bad(&self) -> u32 {
        self.bad
    }

    /// Returns whether the new version is worse than the others.
    #[must_use]
    pub fn is_bad(&self) -> bool {
        self.log_ratio >= BAD_LOG
    }
}
