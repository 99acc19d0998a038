//! An estimate of how long work currently takes at an endpoint, relative to what is usual.
//!
//! It is made for a load of short requests at endpoints whose machines are slow for a
//! while in turn, each of them for less time than ten requests of one node need to
//! arrive: a reading that is a few requests old may state the opposite of what holds now.
//! How soon that is so differs between endpoints and is learned from their readings.

use hemlockhitch_model::Now;

/// Work time of a machine that works as usual, in percent.
pub const USUAL_PERCENT: u32 = 100;

/// Smallest work time that is believed. A machine that states less gets at most the
/// preference of one that is twice as fast as usual, so that a false 0 does not attract
/// every request.
pub const MIN_PERCENT: u32 = 50;

/// Largest work time that is believed, so that one false figure does not keep requests
/// away for longer than the mean takes to forget it.
pub const MAX_PERCENT: u32 = 1_000;

/// Age from which a reading has no weight, in milliseconds: several times the longest
/// time constant.
pub const MAX_READING_AGE_MS: u64 = 6_000;

/// Age of the latest reading from which the endpoint's mean has no weight either, in
/// milliseconds.
pub const MAX_MEAN_AGE_MS: u64 = 30_000;

/// Time constant with which the mean is forgotten, in milliseconds. Any value below the
/// maximum age serves; this one leaves a twentieth at that age.
const MEAN_TIME_CONSTANT_MS: f64 = 10_000.0;

/// Time over which the mean, the variance and the change between successive readings are
/// averaged, in milliseconds: several changes of a machine that changes each second.
const AVERAGING_TIME_MS: f64 = 8_000.0;

/// Time constant of the weight of a reading before changes were observed, in milliseconds.
const INITIAL_TIME_CONSTANT_MS: f64 = 1_000.0;

/// Bounds of the learned time constant, in milliseconds: about the time between two
/// requests of a node at a busy endpoint, and a third of the age at which a reading ends.
const TIME_CONSTANT_BOUNDS_MS: (f64, f64) = (50.0, 2_000.0);

/// Variance below which an endpoint counts as steady, in percent squared: differences of a
/// few percent do not matter for the choice of an endpoint.
const STEADY_VARIANCE: f64 = 25.0;

/// Bounds of the unpredictable part of a change, so that the logarithm stays finite.
const CHANGE_RATIO_BOUNDS: (f64, f64) = (0.01, 0.99);

/// How long an endpoint states that work currently takes on its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatedWorkTime {
    /// In percent of what is usual.
    Percent(u32),
    /// The statement could not be read; work counts as taking as long as usual.
    Unreadable,
}

impl StatedWorkTime {
    /// Returns the work time in percent of the usual one, within the bounds of what is
    /// believed.
    #[must_use]
    pub fn percent(self) -> u32 {
        match self {
            Self::Percent(percent) => percent.clamp(MIN_PERCENT, MAX_PERCENT),
            Self::Unreadable => USUAL_PERCENT,
        }
    }
}

/// The latest reading, and how readings of the endpoint differ from each other.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkTimeEstimate {
    latest_percent: f64,
    read_mono_ms: u64,
    mean_percent: f64,
    /// Mean squared distance of the readings from the mean, in percent squared.
    variance: f64,
    /// Mean squared difference between successive readings, in percent squared.
    squared_change: f64,
    /// Mean time between successive readings.
    interval_ms: f64,
}

impl WorkTimeEstimate {
    /// Starts an estimate with a first reading.
    #[must_use]
    pub fn new(stated: StatedWorkTime, read_at: Now) -> Self {
        Self {
            latest_percent: f64::from(stated.percent()),
            read_mono_ms: read_at.mono_ms,
            mean_percent: f64::from(USUAL_PERCENT),
            variance: 0.0,
            squared_change: 0.0,
            interval_ms: 0.0,
        }
    }

    /// Records a reading. One that is older than the latest changes nothing.
    pub fn record(&mut self, stated: StatedWorkTime, read_at: Now) {
        if read_at.mono_ms < self.read_mono_ms {
            return;
        }
        let percent = f64::from(stated.percent());
        let interval_ms = as_f64(read_at.mono_ms - self.read_mono_ms);
        // Readings count by the time that they stand for: an endpoint that is fast gets more
        // requests and is read more often.
        let weight = 1.0 - (-interval_ms / AVERAGING_TIME_MS).exp();
        let change = percent - self.latest_percent;
        let between_percent = self.latest_percent.midpoint(percent);
        self.mean_percent += weight * (between_percent - self.mean_percent);
        let squared_distance = (self.latest_percent - self.mean_percent)
            .powi(2)
            .midpoint((percent - self.mean_percent).powi(2));
        self.variance += weight * (squared_distance - self.variance);
        self.squared_change += weight * (change.powi(2) - self.squared_change);
        self.interval_ms += weight * (interval_ms - self.interval_ms);
        self.latest_percent = percent;
        self.read_mono_ms = read_at.mono_ms;
    }

    /// Returns the time in which the weight of a reading falls to a third, in milliseconds.
    ///
    /// Two successive readings of a figure that has been drawn anew in between differ by
    /// twice its variance in the mean square. The part of that which is observed tells how
    /// likely the figure has changed within the time between two readings.
    #[must_use]
    pub fn time_constant_ms(&self) -> f64 {
        let (min_ms, max_ms) = TIME_CONSTANT_BOUNDS_MS;
        if self.variance < STEADY_VARIANCE {
            return INITIAL_TIME_CONSTANT_MS;
        }
        let (min_ratio, max_ratio) = CHANGE_RATIO_BOUNDS;
        let change_ratio = self.squared_change / (2.0 * self.variance);
        let kept_ratio = 1.0 - change_ratio.clamp(min_ratio, max_ratio);
        (self.interval_ms / -kept_ratio.ln()).clamp(min_ms, max_ms)
    }

    /// Returns how long work takes now, in percent of the usual time: the latest reading,
    /// the mean of the endpoint as the reading grows old, and the usual time in the end.
    #[must_use]
    pub fn percent(&self, now: Now) -> f64 {
        let age_ms = now.mono_ms.saturating_sub(self.read_mono_ms);
        let usual_percent = f64::from(USUAL_PERCENT);
        if age_ms >= MAX_MEAN_AGE_MS {
            return usual_percent;
        }
        let mean_weight = (-as_f64(age_ms) / MEAN_TIME_CONSTANT_MS).exp();
        let base_percent = usual_percent + mean_weight * (self.mean_percent - usual_percent);
        base_percent + self.reading_weight(now) * (self.latest_percent - base_percent)
    }

    /// Returns the latest reading, in percent of the usual time.
    #[must_use]
    pub fn latest_percent(&self) -> f64 {
        self.latest_percent
    }

    /// Returns by how much the estimate probably differs from what holds now, in percent of
    /// the usual time. `peer_variance` is the variance between the endpoints of the service:
    /// this endpoint may vary as much without having been read often enough to show it.
    #[must_use]
    pub fn error_percent(&self, peer_variance: f64, now: Now) -> f64 {
        let variance = self.variance.max(peer_variance);
        (variance * (1.0 - self.reading_weight(now).powi(2))).sqrt()
    }

    /// Returns the weight of the latest reading, from 0 to 1.
    #[must_use]
    pub fn reading_weight(&self, now: Now) -> f64 {
        let age_ms = now.mono_ms.saturating_sub(self.read_mono_ms);
        if age_ms >= MAX_READING_AGE_MS {
            return 0.0;
        }
        (-as_f64(age_ms) / self.time_constant_ms()).exp()
    }
}

#[allow(clippy::cast_precision_loss)]
fn as_f64(count: u64) -> f64 {
    count as f64
}
