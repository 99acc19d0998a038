//! How many requests an endpoint bears at present.
//!
//! An endpoint may turn cold without warning, so its limit falls at the first
//! sign of trouble and grows back by one at a time. An endpoint of which
//! nothing is known counts as cold.

mod baseline;
mod phase;
mod sign;

pub use sign::{ReportSign, SlotSign};

use hemlockhitch_model::Now;

use baseline::Baseline;
use phase::{Cold, Phase};

/// Default length of a cold start of an endpoint that reports nothing, in
/// milliseconds.
pub const COLD_START_MS: u64 = 30_000;

/// After this time without a sign, an endpoint counts as cold until the next
/// good sign, in milliseconds.
pub const SILENCE_MS: u64 = 30_000;

/// Shortest time between two steps of growth, in milliseconds.
pub const GROWTH_INTERVAL_MS: u64 = 250;

/// After a fall, further bad signs count as the same trouble for this long, in
/// milliseconds.
pub const SAME_TROUBLE_MS: u64 = 500;

/// Served requests that an endpoint without reports must show before it counts
/// as warm.
pub const WARM_AFTER_SERVED: u32 = 3;

/// How long a report's limit holds, in milliseconds.
pub const REPORT_LIFE_MS: u64 = 10_000;

/// First pause of an endpoint that bears not even one request, in milliseconds.
const MIN_PAUSE_MS: u64 = 500;

/// Longest pause, in milliseconds.
const MAX_PAUSE_MS: u64 = 16_000;

/// The limit of one endpoint.
///
/// ```
/// use hemlockhitch_model::{Clock, ManualClock};
/// use hemlockhitch_policy::bearing::{Bearing, SlotSign};
///
/// let clock = ManualClock::new();
/// let mut bearing = Bearing::new(1, 8);
/// assert_eq!(bearing.limit(clock.now()), 1);
/// bearing.observe(SlotSign::Refused, clock.now());
/// assert_eq!(bearing.limit(clock.now()), 0);
/// ```
#[derive(Clone, Debug)]
pub struct Bearing {
    cold_limit: u32,
    warm_limit: u32,
    cold_start_ms: u64,
    phase: Phase,
    level: u32,
    pause: Pause,
    baseline: Baseline,
    report: Option<Report>,
    last_good_ms: u64,
    last_growth_ms: u64,
    last_fall_ms: Option<u64>,
}

/// The last report.
#[derive(Clone, Copy, Debug)]
struct Report {
    measured_ms: u64,
    taken_ms: u64,
    limit: u32,
}

/// A time in which an endpoint gets nothing.
#[derive(Clone, Copy, Debug)]
struct Pause {
    until_ms: u64,
    next_ms: u64,
}

impl Default for Pause {
    fn default() -> Self {
        Self {
            until_ms: 0,
            next_ms: MIN_PAUSE_MS,
        }
    }
}

impl Bearing {
    /// Creates the limit of an endpoint that counts as cold.
    #[must_use]
    pub fn new(cold_limit: u32, warm_limit: u32) -> Self {
        Self {
            cold_limit,
            warm_limit: warm_limit.max(cold_limit),
            cold_start_ms: COLD_START_MS,
            phase: Phase::unknown(),
            level: cold_limit,
            pause: Pause::default(),
            baseline: Baseline::default(),
            report: None,
            last_good_ms: 0,
            last_growth_ms: 0,
            last_fall_ms: None,
        }
    }

    /// Sets how long a cold start lasts at an endpoint that reports nothing, in
    /// milliseconds.
    #[must_use]
    pub fn cold_start_ms(mut self, cold_start_ms: impl Into<u64>) -> Self {
        self.cold_start_ms = cold_start_ms.into();
        self
    }

    /// Takes over limits that the configuration has changed.
    pub fn set_limits(&mut self, cold_limit: u32, warm_limit: u32) {
        self.cold_limit = cold_limit;
        self.warm_limit = warm_limit.max(cold_limit);
        self.level = self.level.min(self.highest_level());
    }

    /// Returns how many requests the endpoint may have at once.
    #[must_use]
    pub fn limit(&self, now: Now) -> u32 {
        if now.mono_ms < self.pause.until_ms {
            return 0;
        }
        let mut limit = self.level.max(self.cold_limit.min(1));
        if self.is_cold(now) {
            limit = limit.min(self.cold_limit);
        }
        if let Some(reported) = self.reported_limit(now) {
            limit = limit.min(reported);
        }
        limit
    }

    /// Returns whether the endpoint counts as cold.
    #[must_use]
    pub fn is_cold(&self, now: Now) -> bool {
        let silent = now.mono_ms >= self.last_good_ms + SILENCE_MS;
        self.phase.is_cold() || silent
    }

    /// Takes in a sign.
    pub fn observe(&mut self, sign: SlotSign, now: Now) {
        self.phase.begin(now);
        match sign {
            SlotSign::Served { first_token_ms } => self.served(first_token_ms, now),
            SlotSign::Refused | SlotSign::Failed => self.trouble(now),
            SlotSign::Reported(report) => self.reported(report, now),
        }
    }

    fn served(&mut self, first_token_ms: u64, now: Now) {
        self.pause = Pause::default();
        if self.baseline.is_slow(first_token_ms) {
            self.slow(now);
        } else {
            self.good(now);
        }
        self.baseline.record(first_token_ms);
    }

    fn good(&mut self, now: Now) {
        self.last_good_ms = now.mono_ms;
        let reported = self.reported_limit(now).is_some();
        if let Phase::Cold(cold) = &mut self.phase {
            cold.served += 1;
            if !reported && cold.is_over(self.cold_start_ms, now) {
                self.phase = Phase::Warm;
            }
        }
        self.grow(now);
    }

    fn grow(&mut self, now: Now) {
        let due = now.mono_ms >= self.last_growth_ms + GROWTH_INTERVAL_MS;
        if due && self.level < self.highest_level() {
            self.level += 1;
            self.last_growth_ms = now.mono_ms;
        }
    }

    /// Halves the limit, though not below the cold limit: a slow answer alone
    /// does not show that the endpoint is cold.
    fn slow(&mut self, now: Now) {
        if !self.is_new_trouble(now) {
            return;
        }
        self.note_fall(now);
        let half = (self.level / 2).max(self.cold_limit);
        self.level = self.level.min(half);
    }

    /// Falls to the cold limit at the first sign, and below it at the next.
    fn trouble(&mut self, now: Now) {
        if !self.is_new_trouble(now) {
            return;
        }
        self.note_fall(now);
        let was_cold = self.phase.is_cold();
        self.phase = Phase::Cold(Cold::since(now));
        if !was_cold && self.level > self.cold_limit {
            self.level = self.cold_limit;
            return;
        }
        self.level /= 2;
        if self.level == 0 {
            self.start_pause(now);
        }
    }

    fn start_pause(&mut self, now: Now) {
        self.pause.until_ms = now.mono_ms + self.pause.next_ms;
        self.pause.next_ms = (self.pause.next_ms * 2).min(MAX_PAUSE_MS);
    }

    fn reported(&mut self, sign: ReportSign, now: Now) {
        let measured_ms = now.mono_ms.saturating_sub(sign.age_ms);
        let is_old = self
            .report
            .is_some_and(|known| measured_ms <= known.measured_ms);
        if is_old {
            return;
        }
        self.report = Some(Report {
            measured_ms,
            taken_ms: now.mono_ms,
            limit: sign.limit,
        });
        if sign.cold {
            self.turn_cold(now);
        } else {
            self.reported_warm(sign, measured_ms, now);
        }
    }

    fn turn_cold(&mut self, now: Now) {
        if !self.phase.is_cold() {
            self.phase = Phase::Cold(Cold::since(now));
        }
        self.level = self.level.min(self.cold_limit);
    }

    /// Believes a report only if it was measured after the last bad sign.
    fn reported_warm(&mut self, sign: ReportSign, measured_ms: u64, now: Now) {
        if self.last_fall_ms.is_some_and(|fall| measured_ms <= fall) {
            return;
        }
        self.phase = Phase::Warm;
        self.last_fall_ms = None;
        self.last_good_ms = now.mono_ms;
        let shown = sign.running.min(sign.limit).min(self.warm_limit);
        self.level = self.level.max(shown);
    }

    fn is_new_trouble(&self, now: Now) -> bool {
        self.last_fall_ms
            .is_none_or(|fall| now.mono_ms >= fall + SAME_TROUBLE_MS)
    }

    fn note_fall(&mut self, now: Now) {
        self.last_fall_ms = Some(now.mono_ms);
        self.last_growth_ms = now.mono_ms;
    }

    fn highest_level(&self) -> u32 {
        if self.phase.is_cold() {
            self.cold_limit
        } else {
            self.warm_limit
        }
    }

    fn reported_limit(&self, now: Now) -> Option<u32> {
        let report = self.report?;
        let fresh = now.mono_ms < report.taken_ms + REPORT_LIFE_MS;
        fresh.then_some(report.limit)
    }
}
