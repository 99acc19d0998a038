//! The choice of a model's size for routes that leave it open.
//!
//! A small model answers first; its own opinion of the answer decides whether a
//! larger one is asked before the caller has received anything. Under load larger
//! models are asked less often, as they take more of an endpoint's time.

/// Opinion below which a larger model is asked while there is room, in percent:
/// above half of the answers that a small model holds poor.
const DOUBTFUL_PERCENT: f64 = 50.0;

/// Pressure up to which larger models are asked freely.
const EASY_PRESSURE: f64 = 0.2;

/// Pressure from which no larger model is asked.
const HARD_PRESSURE: f64 = 0.7;

/// Weight of the newest delay in the pressure.
const NEWEST_WEIGHT: f64 = 0.1;

/// The part of the doubt at which a larger model is asked whose answer will probably
/// be late: a late answer is worth less than a third of one in time.
const LATE_DOUBT_RATIO: f64 = 0.3;

/// How soon first events come, and how close to their objective.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Pressure {
    ratio: f64,
    ms_per_unit: Vec<f64>,
}

/// One first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FirstEvent {
    /// The size of the model.
    pub size: usize,
    /// The work before it, in prompt tokens.
    pub work: u64,
    /// The time that it took, in milliseconds.
    pub took_ms: u64,
    /// The time within which it is on time, in milliseconds.
    pub objective_ms: u64,
}

impl Pressure {
    /// Takes in a first event.
    pub fn note(&mut self, event: FirstEvent) {
        let took_ms = as_f64(event.took_ms);
        let ratio = took_ms / as_f64(event.objective_ms.max(1));
        self.ratio += (ratio.min(2.0) - self.ratio) * NEWEST_WEIGHT;
        if self.ms_per_unit.len() <= event.size {
            self.ms_per_unit.resize(event.size + 1, 0.0);
        }
        let newest = took_ms / as_f64(event.work.max(1));
        let mean = &mut self.ms_per_unit[event.size];
        if *mean == 0.0 {
            *mean = newest;
        }
        *mean += (newest - *mean) * NEWEST_WEIGHT;
    }

    /// Returns the ratio of recent first events to their objective.
    #[must_use]
    pub fn ratio(&self) -> f64 {
        self.ratio
    }

    /// Predicts the time to a first event, in milliseconds; 0 for a size that has not
    /// been seen.
    #[must_use]
    pub fn predict_ms(&self, size: usize, work: u64) -> f64 {
        self.ms_per_unit.get(size).copied().unwrap_or_default() * as_f64(work)
    }
}

/// What the choice of the next size is made for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Doubt {
    /// The size that has answered.
    pub size: usize,
    /// The number of sizes.
    pub sizes: usize,
    /// The model's opinion of its answer, in percent.
    pub confidence_percent: Option<u8>,
    /// The work before a first event, in prompt tokens.
    pub work: u64,
    /// The time left until the objective, in milliseconds.
    pub left_ms: u64,
}

/// Returns the opinion below which a larger model is asked, in percent.
#[must_use]
pub fn doubt_limit_percent(pressure: &Pressure) -> f64 {
    let over = (pressure.ratio() - EASY_PRESSURE) / (HARD_PRESSURE - EASY_PRESSURE);
    DOUBTFUL_PERCENT * (1.0 - over.clamp(0.0, 1.0))
}

/// Returns the size that is asked after an answer, if any: the largest, as a middle
/// one answers few more requests well than the smallest.
#[must_use]
pub fn next_size(doubt: Doubt, pressure: &Pressure) -> Option<usize> {
    let largest = doubt.sizes.checked_sub(1)?;
    let late = pressure.predict_ms(largest, doubt.work) > as_f64(doubt.left_ms);
    let ratio = if late { LATE_DOUBT_RATIO } else { 1.0 };
    let limit_percent = doubt_limit_percent(pressure) * ratio;
    let doubtful = f64::from(doubt.confidence_percent?) < limit_percent;
    (doubt.size < largest && doubtful).then_some(largest)
}

#[allow(clippy::cast_precision_loss)]
fn as_f64(count: u64) -> f64 {
    count as f64
}
