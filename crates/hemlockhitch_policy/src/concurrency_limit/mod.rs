//! Adaptive concurrency limit of an endpoint.
//!
//! An endpoint may become cold without notice, so its limit drops on the first
//! refusal or failure and recovers by one at a time. An endpoint in an unknown
//! state counts as cold.

mod latency;
mod phase;
mod signal;

pub use signal::{LimitSignal, LoadReportSignal};

use hemlockhitch_model::Now;

use latency::LatencyAverage;
use phase::{ColdStart, Phase};

/// Default duration of the cold start of an endpoint without load reports, in
/// milliseconds.
pub const DEFAULT_COLD_START_MS: u64 = 30_000;

/// Time without a warm report or a request served at normal speed after which an
/// endpoint counts as cold until the next one, in milliseconds.
pub const WARM_TIMEOUT_MS: u64 = 30_000;

/// Minimum interval between two increases of the limit, in milliseconds.
pub const INCREASE_INTERVAL_MS: u64 = 250;

/// Time after a decrease during which further refusals, failures and slow
/// responses count as the same incident, in milliseconds.
pub const DECREASE_COOLDOWN_MS: u64 = 500;

/// Requests that an endpoint without load reports must serve before it counts as
/// warm.
pub const MIN_SERVED_BEFORE_WARM: u32 = 3;

/// Time for which the limit of a load report applies, in milliseconds.
pub const REPORT_TTL_MS: u64 = 10_000;

/// First backoff after the limit has dropped to zero, in milliseconds.
const INITIAL_BACKOFF_MS: u64 = 500;

/// Maximum backoff, in milliseconds.
const MAX_BACKOFF_MS: u64 = 16_000;

/// The concurrency limit of one endpoint.
///
/// It increases by one at a time up to the warm limit, or to the cold limit during
/// a cold start, and decreases to the cold limit or by half.
///
/// ```
/// use hemlockhitch_model::{Clock, ManualClock};
/// use hemlockhitch_policy::concurrency_limit::{AdaptiveLimit, LimitSignal};
///
/// let clock = ManualClock::new();
/// let mut limiter = AdaptiveLimit::new(1, 8);
/// assert_eq!(limiter.limit(clock.now()), 1);
/// limiter.observe(LimitSignal::Refused, clock.now());
/// assert_eq!(limiter.limit(clock.now()), 0);
/// ```
#[derive(Clone, Debug)]
pub struct AdaptiveLimit {
    cold_limit: u32,
    warm_limit: u32,
    cold_start_ms: u64,
    phase: Phase,
    /// The limit before backoff, warm timeout and reported limit are applied.
    adaptive_limit: u32,
    backoff: Backoff,
    latency: LatencyAverage,
    report: Option<Report>,
    last_success_ms: u64,
    last_increase_ms: u64,
    last_decrease_ms: Option<u64>,
}

/// The last load report.
#[derive(Clone, Copy, Debug)]
struct Report {
    /// Monotonic time of the measurement, in milliseconds.
    measured_ms: u64,
    /// Monotonic time of receipt, in milliseconds.
    received_ms: u64,
    /// Maximum number of concurrent requests that the endpoint accepts.
    limit: u32,
}

/// A period in which an endpoint gets no requests.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    /// Monotonic time at which the backoff ends, in milliseconds.
    until_ms: u64,
    /// Duration of the next backoff, in milliseconds.
    next_duration_ms: u64,
}

impl Default for Backoff {
    fn default() -> Self {
        Self {
            until_ms: 0,
            next_duration_ms: INITIAL_BACKOFF_MS,
        }
    }
}

impl AdaptiveLimit {
    /// Creates the limit of an endpoint in an unknown state, which counts as cold.
    ///
    /// A `warm_limit` below `cold_limit` is raised to it.
    #[must_use]
    pub fn new(cold_limit: u32, warm_limit: u32) -> Self {
        Self {
            cold_limit,
            warm_limit: warm_limit.max(cold_limit),
            cold_start_ms: DEFAULT_COLD_START_MS,
            phase: Phase::unknown(),
            adaptive_limit: cold_limit,
            backoff: Backoff::default(),
            latency: LatencyAverage::default(),
            report: None,
            last_success_ms: 0,
            last_increase_ms: 0,
            last_decrease_ms: None,
        }
    }

    /// Sets the duration of the cold start of an endpoint without load reports, in
    /// milliseconds.
    #[must_use]
    pub fn cold_start_ms(mut self, cold_start_ms: impl Into<u64>) -> Self {
        self.cold_start_ms = cold_start_ms.into();
        self
    }

    /// Replaces the configured limits.
    pub fn set_limits(&mut self, cold_limit: u32, warm_limit: u32) {
        self.cold_limit = cold_limit;
        self.warm_limit = warm_limit.max(cold_limit);
        self.adaptive_limit = self.adaptive_limit.min(self.max_adaptive_limit());
    }

    /// Returns the maximum number of concurrent requests; 0 during a backoff.
    #[must_use]
    pub fn limit(&self, now: Now) -> u32 {
        if now.mono_ms < self.backoff.until_ms {
            return 0;
        }
        let mut limit = self.adaptive_limit.max(self.cold_limit.min(1));
        if self.is_cold(now) {
            limit = limit.min(self.cold_limit);
        }
        if let Some(reported) = self.reported_limit(now) {
            limit = limit.min(reported);
        }
        limit
    }

    /// Returns whether the endpoint is in its cold start, or has had neither a warm report
    /// nor a request served at normal speed for [`WARM_TIMEOUT_MS`].
    #[must_use]
    pub fn is_cold(&self, now: Now) -> bool {
        let timed_out = now.mono_ms >= self.last_success_ms + WARM_TIMEOUT_MS;
        self.phase.is_cold() || timed_out
    }

    /// Adjusts the limit after an observation.
    pub fn observe(&mut self, signal: LimitSignal, now: Now) {
        self.phase.start_timer(now);
        match signal {
            LimitSignal::Served { first_token_ms } => self.on_served(first_token_ms, now),
            LimitSignal::Refused | LimitSignal::Failed => self.on_failure(now),
            LimitSignal::Reported(report) => self.on_report(report, now),
        }
    }

    fn on_served(&mut self, first_token_ms: u64, now: Now) {
        self.backoff = Backoff::default();
        if self.latency.is_slow(first_token_ms) {
            self.on_slow(now);
        } else {
            self.on_success(now);
        }
        self.latency.record(first_token_ms);
    }

    fn on_success(&mut self, now: Now) {
        self.last_success_ms = now.mono_ms;
        let has_report = self.reported_limit(now).is_some();
        if let Phase::Cold(cold) = &mut self.phase {
            cold.served += 1;
            if !has_report && cold.is_complete(self.cold_start_ms, now) {
                self.phase = Phase::Warm;
            }
        }
        self.increase(now);
    }

    fn increase(&mut self, now: Now) {
        let is_due = now.mono_ms >= self.last_increase_ms + INCREASE_INTERVAL_MS;
        if is_due && self.adaptive_limit < self.max_adaptive_limit() {
            self.adaptive_limit += 1;
            self.last_increase_ms = now.mono_ms;
        }
    }

    /// Halves the limit, but not below the cold limit, as a slow response alone
    /// does not show that the endpoint is cold.
    fn on_slow(&mut self, now: Now) {
        if !self.may_decrease(now) {
            return;
        }
        self.record_decrease(now);
        let half = (self.adaptive_limit / 2).max(self.cold_limit);
        self.adaptive_limit = self.adaptive_limit.min(half);
    }

    /// Drops to the cold limit on the first refusal or failure, and halves the
    /// limit on each further one; a limit of zero starts a backoff.
    fn on_failure(&mut self, now: Now) {
        if !self.may_decrease(now) {
            return;
        }
        self.record_decrease(now);
        let was_cold = self.phase.is_cold();
        self.phase = Phase::Cold(ColdStart::since(now));
        if !was_cold && self.adaptive_limit > self.cold_limit {
            self.adaptive_limit = self.cold_limit;
            return;
        }
        self.adaptive_limit /= 2;
        if self.adaptive_limit == 0 {
            self.start_backoff(now);
        }
    }

    /// Suspends the endpoint; the duration doubles up to [`MAX_BACKOFF_MS`].
    fn start_backoff(&mut self, now: Now) {
        self.backoff.until_ms = now.mono_ms + self.backoff.next_duration_ms;
        self.backoff.next_duration_ms = (self.backoff.next_duration_ms * 2).min(MAX_BACKOFF_MS);
    }

    fn on_report(&mut self, signal: LoadReportSignal, now: Now) {
        let measured_ms = now.mono_ms.saturating_sub(signal.age_ms);
        let is_outdated = self
            .report
            .is_some_and(|previous| measured_ms <= previous.measured_ms);
        if is_outdated {
            return;
        }
        self.report = Some(Report {
            measured_ms,
            received_ms: now.mono_ms,
            limit: signal.limit,
        });
        if signal.cold {
            self.enter_cold_start(now);
        } else {
            self.apply_warm_report(signal, measured_ms, now);
        }
    }

    fn enter_cold_start(&mut self, now: Now) {
        if !self.phase.is_cold() {
            self.phase = Phase::Cold(ColdStart::since(now));
        }
        self.adaptive_limit = self.adaptive_limit.min(self.cold_limit);
    }

    /// Applies a warm report if it was measured after the last decrease; an older
    /// one does not reflect the incident.
    fn apply_warm_report(&mut self, signal: LoadReportSignal, measured_ms: u64, now: Now) {
        if self
            .last_decrease_ms
            .is_some_and(|decrease_ms| measured_ms <= decrease_ms)
        {
            return;
        }
        self.phase = Phase::Warm;
        self.last_decrease_ms = None;
        self.last_success_ms = now.mono_ms;
        let proven_limit = signal.running.min(signal.limit).min(self.warm_limit);
        self.adaptive_limit = self.adaptive_limit.max(proven_limit);
    }

    /// Returns whether the cooldown after the last decrease has passed.
    fn may_decrease(&self, now: Now) -> bool {
        self.last_decrease_ms
            .is_none_or(|decrease_ms| now.mono_ms >= decrease_ms + DECREASE_COOLDOWN_MS)
    }

    fn record_decrease(&mut self, now: Now) {
        self.last_decrease_ms = Some(now.mono_ms);
        self.last_increase_ms = now.mono_ms;
    }

    fn max_adaptive_limit(&self) -> u32 {
        if self.phase.is_cold() {
            self.cold_limit
        } else {
            self.warm_limit
        }
    }

    /// Returns the limit of the last load report, unless that has expired.
    fn reported_limit(&self, now: Now) -> Option<u32> {
        let report = self.report?;
        let is_fresh = now.mono_ms < report.received_ms + REPORT_TTL_MS;
        is_fresh.then_some(report.limit)
    }
}
