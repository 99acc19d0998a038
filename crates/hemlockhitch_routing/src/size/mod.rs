//! The choice of a model's size for routes that leave it open.
//!
//! A small model answers first; its own opinion of the answer decides whether a
//! larger one is asked before the caller has received anything. Under load larger
//! models are asked less often, as they take more of an endpoint's time.

/// Opinion below which a larger model is asked while there is room, in percent:
/// above half of the answers that a small model holds poor.
const DOUBTFUL_PERCENT: f64 = 50.0;

/// Pressure up to which larger models are asked freely.
const EASY_PRESSURE: f64 = 0.35;

/// Pressure from which no larger model is asked.
const HARD_PRESSURE: f64 = 0.9;

/// Weight of the newest delay in the pressure.
const NEWEST_WEIGHT: f64 = 0.1;

/// How close first events come to their objective: 1 is on the limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pressure {
    ratio: f64,
}

impl Pressure {
    /// Takes in the time of a first event.
    pub fn note(&mut self, first_event_ms: u64, objective_ms: u64) {
        #[allow(clippy::cast_precision_loss)]
        let newest = first_event_ms as f64 / objective_ms.max(1) as f64;
        self.ratio += (newest.min(2.0) - self.ratio) * NEWEST_WEIGHT;
    }

    /// Returns the ratio of recent first events to their objective.
    #[must_use]
    pub fn ratio(self) -> f64 {
        self.ratio
    }
}

/// Returns the opinion below which a larger model is asked, in percent.
#[must_use]
pub fn doubt_limit_percent(pressure: Pressure) -> f64 {
    let over = (pressure.ratio() - EASY_PRESSURE) / (HARD_PRESSURE - EASY_PRESSURE);
    DOUBTFUL_PERCENT * (1.0 - over.clamp(0.0, 1.0))
}

/// Returns the size that is asked after an answer of `size`, if any: the largest,
/// as a middle one answers few more requests well than the smallest.
#[must_use]
pub fn next_size(
    size: usize,
    sizes: usize,
    confidence_percent: Option<u8>,
    pressure: Pressure,
) -> Option<usize> {
    let largest = sizes.checked_sub(1)?;
    let doubtful = f64::from(confidence_percent?) < doubt_limit_percent(pressure);
    (size < largest && doubtful).then_some(largest)
}
