//! Builder for the settings of the guard.

use super::Metric;
use super::wealth::{STAKE_COUNT, STAKES};

/// Thresholds at which the guard stops a version.
///
/// ```
/// use hemlockhitch_policy::guard::GuardSettings;
///
/// let settings = GuardSettings::new()
///     .false_alarm_ratio(0.01)
///     .slow_after_ms(2_000_u64)
///     .outstanding_limit(16_u32);
/// assert!(settings.pairs_to_stop(1.0).is_some());
/// ```
#[derive(Clone, Debug, PartialEq)]
#[must_use]
pub struct GuardSettings {
    /// Maximum probability that a version which is no worse is ever stopped, over
    /// all metrics.
    pub false_alarm_ratio: f64,
    /// Tolerated excess of a version's error ratio over its baseline's.
    pub error_tolerance_ratio: f64,
    /// Tolerated deficit of a version's mean rating from its baseline's.
    pub rating_tolerance_ratio: f64,
    /// Tolerated excess of a version's ratio of slow responses over its baseline's.
    pub slow_tolerance_ratio: f64,
    /// Time to the first token above which a response is slow, in milliseconds.
    pub slow_after_ms: u64,
    /// Maximum number of outstanding requests of a watched version on the node.
    pub outstanding_limit: u32,
}

impl GuardSettings {
    /// Creates the default settings.
    pub fn new() -> Self {
        Self {
            false_alarm_ratio: 0.01,
            error_tolerance_ratio: 0.02,
            rating_tolerance_ratio: 0.03,
            slow_tolerance_ratio: 0.05,
            slow_after_ms: 2_000,
            outstanding_limit: 16,
        }
    }

    /// Sets the maximum probability that a version which is no worse is ever
    /// stopped.
    pub fn false_alarm_ratio(mut self, ratio: impl Into<f64>) -> Self {
        self.false_alarm_ratio = ratio.into();
        self
    }

    /// Sets the tolerated excess of a version's error ratio over its baseline's.
    pub fn error_tolerance_ratio(mut self, ratio: impl Into<f64>) -> Self {
        self.error_tolerance_ratio = ratio.into();
        self
    }

    /// Sets the tolerated deficit of a version's mean rating from its baseline's.
    pub fn rating_tolerance_ratio(mut self, ratio: impl Into<f64>) -> Self {
        self.rating_tolerance_ratio = ratio.into();
        self
    }

    /// Sets the tolerated excess of a version's ratio of slow responses over its
    /// baseline's.
    pub fn slow_tolerance_ratio(mut self, ratio: impl Into<f64>) -> Self {
        self.slow_tolerance_ratio = ratio.into();
        self
    }

    /// Sets the time to the first token above which a response is slow, in
    /// milliseconds.
    pub fn slow_after_ms(mut self, slow_after_ms: impl Into<u64>) -> Self {
        self.slow_after_ms = slow_after_ms.into();
        self
    }

    /// Sets the maximum number of outstanding requests of a watched version on the
    /// node.
    pub fn outstanding_limit(mut self, limit: impl Into<u32>) -> Self {
        self.outstanding_limit = limit.into();
        self
    }

    /// Returns the number of pairs after which a version is stopped whose error ratio
    /// exceeds the baseline's by `gap_ratio` in every pair, or `None` if such a
    /// version is tolerated.
    ///
    /// The exposed requests are at most this number times the requests in one pair,
    /// plus [`GuardSettings::outstanding_limit`].
    #[must_use]
    pub fn pairs_to_stop(&self, gap_ratio: impl Into<f64>) -> Option<u64> {
        let tolerance_ratio = self.error_tolerance_ratio;
        let excess_ratio = gap_ratio.into().min(1.0) - tolerance_ratio;
        if excess_ratio <= 0.0 {
            return None;
        }
        let log_required = self.log_threshold() + STAKE_COUNT.ln();
        let pairs = STAKES.iter().map(|stake| {
            let log_factor = (stake / (1.0 + tolerance_ratio) * excess_ratio).ln_1p();
            (log_required / log_factor).ceil()
        });
        let min_pairs = pairs.fold(f64::MAX, f64::min);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        Some(min_pairs as u64)
    }

    /// Returns the tolerance of a metric.
    pub(super) fn tolerance_ratio(&self, metric: Metric) -> f64 {
        match metric {
            Metric::Errors => self.error_tolerance_ratio,
            Metric::Ratings => self.rating_tolerance_ratio,
            Metric::Slow => self.slow_tolerance_ratio,
        }
    }

    /// Returns the logarithm of the wealth at which a metric stops a version. The
    /// false-alarm ratio is divided evenly over the metrics (Bonferroni correction).
    pub(super) fn log_threshold(&self) -> f64 {
        #[allow(clippy::cast_precision_loss)]
        let metrics = Metric::ALL.len() as f64;
        (metrics / self.false_alarm_ratio).ln()
    }
}

impl Default for GuardSettings {
    fn default() -> Self {
        Self::new()
    }
}
