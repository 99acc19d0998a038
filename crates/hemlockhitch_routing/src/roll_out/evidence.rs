//! What a node has seen of a new version and of the others.

use std::collections::{HashMap, VecDeque};

use hemlockhitch_model::Now;

/// By how much a bad version fails more often than the others.
const WORSE_BY: f64 = 0.25;

/// Failures assumed of the others before many of their answers were seen.
const PRIOR_FAILED: f64 = 0.4;

/// Answers of the others assumed with them.
const PRIOR_ANSWERS: f64 = 20.0;

/// How much more likely the answers must be from a bad version than from a good
/// one, as a logarithm: 4,000 times, as each answer is a chance to be wrong.
const BAD_LOG: f64 = 8.3;

/// The least evidence of one node: good answers speak for a version, but must not hide
/// that it turns bad later.
const NODE_LEAST_LOG: f64 = -1.0;

/// The evidence from which a version gets no more requests until it is less.
const DOUBT_LOG: f64 = 4.0;

/// Change of its evidence from which a node tells it to the others.
const SHARED_STEP_LOG: f64 = 0.7;

/// The least share of failures that is taken for usual, so that two in a row are no
/// proof.
const USUAL_LEAST: f64 = 0.03;

/// Answers of the others after which old ones count half.
const REMEMBERED_ANSWERS: f64 = 500.0;

/// How many times the others' usual time an answer takes that counts as slow, while
/// the others have most of the requests.
const SLOW_FACTOR: f64 = 2.0;

/// The same once the new version has all requests, or when the others have not
/// answered lately: the load differs from that of the answers compared with.
const SLOW_ALONE_FACTOR: f64 = 8.0;

/// Bounds of the share of slow answers that is taken for usual: good versions on
/// trial stay below the least, as their endpoints have little to do.
const USUAL_SLOW_BOUNDS: (f64, f64) = (0.15, 0.5);

/// By how much a slow version gives slow answers more often than the others.
const SLOWER_BY: f64 = 0.3;

/// How many times as long an answer is never slow then: a version that has just got
/// all requests reads prompts which the others had in their caches.
const ALONE_IN_TIME: u64 = 3;

/// For how long an answer of the others is compared with, in milliseconds.
const COMPARED_MS: u64 = 5_000;

/// How many of the others' latest answers of a kind are compared with: enough for a
/// median that some slow endpoints among them do not move.
const COMPARED_ANSWERS: usize = 24;

/// One answer, or the lack of one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    /// A hash of the kind of work and of its model; times are compared within it.
    pub kind_hash: u64,
    /// How much work it was, in units of the kind, such as tokens or events.
    pub work: u64,
    /// Whether the version that is rolled out gave it.
    pub of_target: bool,
    /// Whether it failed.
    pub failed: bool,
    /// The time that the work took, in milliseconds.
    pub took_ms: u64,
    /// Up to what time the work is never slow beside the others', in milliseconds.
    pub in_time_ms: u64,
}

impl Observation {
    fn ms_per_unit(self) -> f64 {
        #[allow(clippy::cast_precision_loss)]
        let (took_ms, work) = (self.took_ms as f64, self.work.max(1) as f64);
        took_ms / work
    }
}

/// The times of the others' latest answers for a unit of work.
#[derive(Clone, Debug, Default)]
struct Pace {
    latest_ms_per_unit: VecDeque<f64>,
    last_mono_ms: u64,
}

impl Pace {
    fn note(&mut self, ms_per_unit: f64, now: Now) {
        if self.latest_ms_per_unit.len() == COMPARED_ANSWERS {
            self.latest_ms_per_unit.pop_front();
        }
        self.latest_ms_per_unit.push_back(ms_per_unit);
        self.last_mono_ms = now.mono_ms;
    }

    /// Returns the usual time for a unit of work, in milliseconds.
    fn median_ms_per_unit(&self) -> f64 {
        let mut sorted: Vec<f64> = self.latest_ms_per_unit.iter().copied().collect();
        sorted.sort_unstable_by(f64::total_cmp);
        sorted.get(sorted.len() / 2).copied().unwrap_or(f64::MAX)
    }
}

/// What a node has seen of a new version and of the others.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    others_answers: f64,
    others_failed: f64,
    others_slow: f64,
    usual_pace: HashMap<u64, Pace>,
    good: u32,
    /// Whether the new version has all requests.
    alone: bool,
    /// The evidence from answers that failed.
    failing_log: f64,
    /// The evidence from answers that took long.
    slow_log: f64,
    shared_log: f64,
    peers: HashMap<String, f64>,
}

impl Evidence {
    /// Takes in an answer.
    pub fn note(&mut self, seen: Observation, now: Now) {
        if seen.of_target {
            self.note_target(seen, now);
        } else {
            self.note_others(seen, now);
        }
    }

    fn note_others(&mut self, seen: Observation, now: Now) {
        if self.others_answers >= REMEMBERED_ANSWERS {
            self.others_answers /= 2.0;
            self.others_failed /= 2.0;
            self.others_slow /= 2.0;
        }
        self.others_answers += 1.0;
        if seen.failed {
            self.others_failed += 1.0;
            return;
        }
        if self.is_slow(seen, now) {
            self.others_slow += 1.0;
        }
        let usual = self.usual_pace.entry(seen.kind_hash).or_default();
        usual.note(seen.ms_per_unit(), now);
    }

    fn note_target(&mut self, seen: Observation, now: Now) {
        let usual = self.usual_ratio();
        self.failing_log += log_ratio_of(seen.failed, usual, usual + WORSE_BY);
        self.failing_log = self.failing_log.max(NODE_LEAST_LOG);
        if seen.failed {
            return;
        }
        let is_slow = self.is_slow(seen, now);
        let usual = self.usual_slow_ratio();
        self.slow_log += log_ratio_of(is_slow, usual, usual + SLOWER_BY);
        self.slow_log = self.slow_log.max(NODE_LEAST_LOG);
        if !is_slow {
            self.good += 1;
        }
    }

    /// Takes in that the new version has all requests from now on.
    pub(super) fn leave_others(&mut self) {
        self.alone = true;
    }

    fn is_slow(&self, seen: Observation, now: Now) -> bool {
        let Some(usual) = self.usual_pace.get(&seen.kind_hash) else {
            return false;
        };
        let compared = !self.alone && now.mono_ms.saturating_sub(usual.last_mono_ms) <= COMPARED_MS;
        let (factor, in_time_ms) = if compared {
            (SLOW_FACTOR, seen.in_time_ms)
        } else {
            (SLOW_ALONE_FACTOR, ALONE_IN_TIME * seen.in_time_ms)
        };
        seen.took_ms > in_time_ms && seen.ms_per_unit() > factor * usual.median_ms_per_unit()
    }

    /// Returns how many good answers the new version gave.
    #[must_use]
    pub fn good(&self) -> u32 {
        self.good
    }

    /// Returns this node's evidence, of whichever kind is the stronger.
    fn log_ratio(&self) -> f64 {
        self.failing_log.max(self.slow_log)
    }

    /// Takes in the evidence of another node.
    pub fn learn(&mut self, node: impl Into<String>, log_ratio: f64) {
        self.peers.insert(node.into(), log_ratio);
    }

    /// Returns this node's evidence if the others should be told of it.
    #[must_use]
    pub fn news(&self) -> Option<f64> {
        let changed = (self.log_ratio() - self.shared_log).abs() >= SHARED_STEP_LOG;
        changed.then_some(self.log_ratio())
    }

    /// Takes in that the others were told.
    pub fn told(&mut self, log_ratio: f64) {
        self.shared_log = log_ratio;
    }

    /// Returns whether the new version is worse than the others, by this node's
    /// evidence or by that of all.
    #[must_use]
    pub fn is_bad(&self) -> bool {
        self.log_ratio() >= BAD_LOG || self.joint_log() >= BAD_LOG
    }

    /// Returns whether the new version may be worse than the others.
    #[must_use]
    pub fn is_doubtful(&self) -> bool {
        self.log_ratio().max(self.joint_log()) >= DOUBT_LOG
    }

    /// Returns the evidence of all nodes.
    fn joint_log(&self) -> f64 {
        self.log_ratio() + self.peers.values().sum::<f64>()
    }

    /// Returns the share of the others' answers that fail.
    fn usual_ratio(&self) -> f64 {
        let usual = (self.others_failed + PRIOR_FAILED) / (self.others_answers + PRIOR_ANSWERS);
        usual.clamp(USUAL_LEAST, 0.7)
    }

    /// Returns the share of the others' answers that are slow beside their median.
    fn usual_slow_ratio(&self) -> f64 {
        let (least, most) = USUAL_SLOW_BOUNDS;
        let usual = self.others_slow / self.others_answers.max(1.0);
        usual.clamp(least, most)
    }
}

/// Returns by how much an answer speaks for the worse of two shares, as a logarithm.
fn log_ratio_of(is_bad: bool, usual: f64, worse: f64) -> f64 {
    if is_bad {
        (worse / usual).ln()
    } else {
        ((1.0 - worse) / (1.0 - usual)).ln()
    }
}
