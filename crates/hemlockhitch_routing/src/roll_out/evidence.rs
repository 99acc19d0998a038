//! Statistical comparison of a new version with the baseline, the other versions of the
//! service.
//!
//! Each node accumulates log-likelihood ratios (LLR) of "the new version is worse" to
//! "it is as good as the baseline" and shares them with the other nodes.

use std::collections::{HashMap, VecDeque};

use hemlockhitch_model::Now;

/// Increase of the failure ratio over the baseline that a bad version is assumed to
/// have.
const FAILURE_RATIO_INCREASE: f64 = 0.25;

/// Failures of the prior for the baseline's failure ratio.
const PRIOR_FAILURES: f64 = 0.4;

/// Responses of the prior for the baseline's failure ratio.
const PRIOR_RESPONSES: f64 = 20.0;

/// Log-likelihood ratio at which a version is rolled back. It is a likelihood ratio of
/// 4,000, because the test is repeated at each response and each repetition may give a
/// false positive.
const ROLLBACK_LLR: f64 = 8.3;

/// Lower bound of one node's log-likelihood ratio. Good responses lower the ratio, but
/// must not hide a later regression of the version.
const MIN_NODE_LLR: f64 = -1.0;

/// Log-likelihood ratio from which a roll-out does not advance until the ratio falls
/// again.
const HOLD_LLR: f64 = 4.0;

/// Change of a node's log-likelihood ratio at which it is shared with the other nodes.
const SHARE_STEP_LLR: f64 = 0.7;

/// Lower bound of the baseline's failure ratio, so that two failures in a row do not
/// cause a rollback.
const MIN_BASELINE_FAILURE_RATIO: f64 = 0.03;

/// Number of baseline responses at which the counts are halved, so that old responses
/// weigh less.
const HALVING_RESPONSES: f64 = 500.0;

/// Multiple of the baseline's median time above which a response is slow, while the
/// baseline gets most of the requests.
const SLOW_FACTOR: f64 = 2.0;

/// The same multiple once the new version gets all requests or the baseline has no
/// recent responses: the compared responses are then from different loads.
const UNPAIRED_SLOW_FACTOR: f64 = 8.0;

/// Bounds of the baseline's ratio of slow responses. Good versions on trial stay below
/// the lower bound, because there is little load on their endpoints.
const BASELINE_SLOW_RATIO_BOUNDS: (f64, f64) = (0.15, 0.5);

/// Increase of the ratio of slow responses over the baseline that a slow version is
/// assumed to have.
const SLOW_RATIO_INCREASE: f64 = 0.3;

/// Factor on the time below which a response is never slow, used with
/// [`UNPAIRED_SLOW_FACTOR`]: a version that has just got all requests prefills prompts
/// that the baseline had in its caches.
const UNPAIRED_NEVER_SLOW_FACTOR: u64 = 3;

/// Maximum age of the baseline's last response for [`SLOW_FACTOR`] to apply, in
/// milliseconds.
const BASELINE_MAX_AGE_MS: u64 = 5_000;

/// Number of the baseline's latest times that are kept for each kind of work: enough
/// for a median that a few slow endpoints do not shift.
const BASELINE_SAMPLES: usize = 24;

/// The outcome of one attempt, with or without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    /// Hash of the kind of work and its model; times are compared only within a kind.
    pub work_kind_hash: u64,
    /// Amount of work in units of the kind, such as tokens or events.
    pub work_units: u64,
    /// Whether the target version of the roll-out handled the attempt.
    pub is_target: bool,
    /// Whether the attempt failed.
    pub failed: bool,
    /// Duration of the work, in milliseconds.
    pub took_ms: u64,
    /// Duration up to which the work never counts as slow, in milliseconds.
    pub never_slow_below_ms: u64,
}

impl Observation {
    fn ms_per_unit(self) -> f64 {
        #[allow(clippy::cast_precision_loss)]
        let (took_ms, work_units) = (self.took_ms as f64, self.work_units.max(1) as f64);
        took_ms / work_units
    }
}

/// The baseline's latest times per unit of work, for one kind of work.
#[derive(Clone, Debug, Default)]
struct LatencyBaseline {
    recent_ms_per_unit: VecDeque<f64>,
    updated_mono_ms: u64,
}

impl LatencyBaseline {
    fn record(&mut self, ms_per_unit: f64, now: Now) {
        if self.recent_ms_per_unit.len() == BASELINE_SAMPLES {
            self.recent_ms_per_unit.pop_front();
        }
        self.recent_ms_per_unit.push_back(ms_per_unit);
        self.updated_mono_ms = now.mono_ms;
    }

    /// Returns the median time per unit of work, in milliseconds.
    fn median_ms_per_unit(&self) -> f64 {
        let mut sorted: Vec<f64> = self.recent_ms_per_unit.iter().copied().collect();
        sorted.sort_unstable_by(f64::total_cmp);
        sorted.get(sorted.len() / 2).copied().unwrap_or(f64::MAX)
    }
}

/// What a verdict on a new version rests on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EvidenceSummary {
    /// Responses of the new version that this node compared with the baseline.
    pub responses: u32,
    /// Those of them that were slow.
    pub slow: u32,
    /// Those of them that took longer than the baseline's median.
    pub above_median: u32,
    /// Ratio of the baseline's responses that are slow, within its bounds.
    pub baseline_slow_ratio: f64,
    /// This node's log-likelihood ratio from failures.
    pub failure_llr: f64,
    /// This node's log-likelihood ratio from slow responses.
    pub slow_llr: f64,
    /// Sum of the log-likelihood ratios of all nodes.
    pub joint_llr: f64,
}

/// What one node has observed of a new version and the baseline.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    baseline_responses: f64,
    baseline_failures: f64,
    baseline_slow: f64,
    latency_baselines: HashMap<u64, LatencyBaseline>,
    good_responses: u32,
    target_responses: u32,
    target_slow: u32,
    target_above_median: u32,
    /// Whether the new version gets all requests.
    has_all_traffic: bool,
    /// Log-likelihood ratio from failures.
    failure_llr: f64,
    /// Log-likelihood ratio from slow responses.
    slow_llr: f64,
    shared_llr: f64,
    peer_llrs: HashMap<String, f64>,
}

impl Evidence {
    /// Records an observation.
    pub fn record(&mut self, observation: Observation, now: Now) {
        if observation.is_target {
            self.record_target(observation, now);
        } else {
            self.record_baseline(observation, now);
        }
    }

    fn record_baseline(&mut self, observation: Observation, now: Now) {
        if self.baseline_responses >= HALVING_RESPONSES {
            self.baseline_responses /= 2.0;
            self.baseline_failures /= 2.0;
            self.baseline_slow /= 2.0;
        }
        self.baseline_responses += 1.0;
        if observation.failed {
            self.baseline_failures += 1.0;
            return;
        }
        if self.is_slow(observation, now) {
            self.baseline_slow += 1.0;
        }
        let baseline = self
            .latency_baselines
            .entry(observation.work_kind_hash)
            .or_default();
        baseline.record(observation.ms_per_unit(), now);
    }

    fn record_target(&mut self, observation: Observation, now: Now) {
        let baseline = self.baseline_failure_ratio();
        self.failure_llr += outcome_llr(
            observation.failed,
            baseline,
            baseline + FAILURE_RATIO_INCREASE,
        );
        self.failure_llr = self.failure_llr.max(MIN_NODE_LLR);
        if observation.failed {
            return;
        }
        let is_slow = self.is_slow(observation, now);
        self.target_responses += 1;
        self.target_slow += u32::from(is_slow);
        if let Some(baseline) = self.latency_baselines.get(&observation.work_kind_hash) {
            let is_above = observation.ms_per_unit() > baseline.median_ms_per_unit();
            self.target_above_median += u32::from(is_above);
        }
        let baseline = self.baseline_slow_ratio();
        self.slow_llr += outcome_llr(is_slow, baseline, baseline + SLOW_RATIO_INCREASE);
        self.slow_llr = self.slow_llr.max(MIN_NODE_LLR);
        if !is_slow {
            self.good_responses += 1;
        }
    }

    /// Records that the new version gets all requests from now on.
    pub(super) fn set_all_traffic(&mut self) {
        self.has_all_traffic = true;
    }

    fn is_slow(&self, observation: Observation, now: Now) -> bool {
        let Some(baseline) = self.latency_baselines.get(&observation.work_kind_hash) else {
            return false;
        };
        let is_paired = !self.has_all_traffic
            && now.mono_ms.saturating_sub(baseline.updated_mono_ms) <= BASELINE_MAX_AGE_MS;
        let (factor, never_slow_below_ms) = if is_paired {
            (SLOW_FACTOR, observation.never_slow_below_ms)
        } else {
            (
                UNPAIRED_SLOW_FACTOR,
                UNPAIRED_NEVER_SLOW_FACTOR * observation.never_slow_below_ms,
            )
        };
        observation.took_ms > never_slow_below_ms
            && observation.ms_per_unit() > factor * baseline.median_ms_per_unit()
    }

    /// Returns the number of the new version's responses that were neither failed nor
    /// slow.
    #[must_use]
    pub fn good_responses(&self) -> u32 {
        self.good_responses
    }

    /// Returns this node's log-likelihood ratio, the larger of the two kinds.
    fn node_llr(&self) -> f64 {
        self.failure_llr.max(self.slow_llr)
    }

    /// Returns what the verdict on the new version rests on.
    #[must_use]
    pub fn summary(&self) -> EvidenceSummary {
        EvidenceSummary {
            responses: self.target_responses,
            slow: self.target_slow,
            above_median: self.target_above_median,
            baseline_slow_ratio: self.baseline_slow_ratio(),
            failure_llr: self.failure_llr,
            slow_llr: self.slow_llr,
            joint_llr: self.joint_llr(),
        }
    }

    /// Records the log-likelihood ratio of another node, replacing its earlier one.
    pub fn merge_peer(&mut self, node: impl Into<String>, llr: f64) {
        self.peer_llrs.insert(node.into(), llr);
    }

    /// Returns this node's log-likelihood ratio if it has changed enough to be shared.
    #[must_use]
    pub fn unshared_llr(&self) -> Option<f64> {
        let changed = (self.node_llr() - self.shared_llr).abs() >= SHARE_STEP_LLR;
        changed.then_some(self.node_llr())
    }

    /// Records that the ratio was shared with the other nodes.
    pub fn mark_shared(&mut self, llr: f64) {
        self.shared_llr = llr;
    }

    /// Returns whether the new version is worse than the baseline, by this node's
    /// log-likelihood ratio or by the sum over all nodes.
    #[must_use]
    pub fn is_regression(&self) -> bool {
        self.node_llr() >= ROLLBACK_LLR || self.joint_llr() >= ROLLBACK_LLR
    }

    /// Returns whether the new version is possibly worse than the baseline, so that the
    /// roll-out must not advance.
    #[must_use]
    pub fn is_suspected_regression(&self) -> bool {
        self.node_llr().max(self.joint_llr()) >= HOLD_LLR
    }

    /// Returns the sum of the log-likelihood ratios of all nodes.
    fn joint_llr(&self) -> f64 {
        self.node_llr() + self.peer_llrs.values().sum::<f64>()
    }

    /// Returns the failure ratio of the baseline.
    fn baseline_failure_ratio(&self) -> f64 {
        let baseline =
            (self.baseline_failures + PRIOR_FAILURES) / (self.baseline_responses + PRIOR_RESPONSES);
        baseline.clamp(MIN_BASELINE_FAILURE_RATIO, 0.7)
    }

    /// Returns the ratio of the baseline's responses that are slow compared with its
    /// median.
    fn baseline_slow_ratio(&self) -> f64 {
        let (min, max) = BASELINE_SLOW_RATIO_BOUNDS;
        let baseline = self.baseline_slow / self.baseline_responses.max(1.0);
        baseline.clamp(min, max)
    }
}

/// Returns the log-likelihood ratio of one outcome, given the probability of a bad
/// outcome for the baseline and for a worse version.
fn outcome_llr(is_bad: bool, baseline: f64, alternative: f64) -> f64 {
    if is_bad {
        (alternative / baseline).ln()
    } else {
        ((1.0 - alternative) / (1.0 - baseline)).ln()
    }
}
