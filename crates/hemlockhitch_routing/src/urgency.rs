//! The order in which an endpoint serves the requests that it has: shortest work first.
//!
//! It is made for an endpoint that prefills a few long prompts for a large model among
//! many short ones. A short one then waits for milliseconds instead of seconds, and a
//! long one hardly longer than before.

/// Number of levels of urgency.
const LEVELS: u8 = 5;

/// Most urgent level; the one above it is left to requests without a prompt.
const MOST_URGENT: u8 = 1;

/// Factor on the earlier observations with each new one: about two hundred count.
const DECAY: f64 = 0.995;

/// Number of classes of work, each up to twice as long as the one before.
const CLASS_COUNT: usize = 40;

/// Distribution of the work of recent requests of a service.
///
/// ```
/// use hemlockhitch_routing::WorkRanks;
///
/// let mut ranks = WorkRanks::default();
/// for work_tokens in [100, 100, 100, 90_000] {
///     ranks.record(work_tokens);
/// }
/// assert!(ranks.urgency(100) < ranks.urgency(90_000));
/// ```
#[derive(Clone, Debug)]
pub struct WorkRanks {
    counts: [f64; CLASS_COUNT],
}

impl Default for WorkRanks {
    fn default() -> Self {
        Self {
            counts: [0.0; CLASS_COUNT],
        }
    }
}

impl WorkRanks {
    /// Records the work of a request, as a number of prompt tokens of the smallest model.
    pub fn record(&mut self, work_tokens: u64) {
        for count in &mut self.counts {
            *count *= DECAY;
        }
        self.counts[class_of(work_tokens)] += 1.0;
    }

    /// Returns the urgency of a request with this work; lower levels go first. Levels
    /// divide the recent requests evenly.
    #[must_use]
    pub fn urgency(&self, work_tokens: u64) -> u8 {
        let class = class_of(work_tokens);
        let total: f64 = self.counts.iter().sum();
        let shorter: f64 = self.counts[..class].iter().sum();
        let rank = (shorter + self.counts[class] / 2.0) / total.max(f64::MIN_POSITIVE);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let level = (rank * f64::from(LEVELS)) as u8;
        MOST_URGENT + level.min(LEVELS - 1)
    }
}

fn class_of(work_tokens: u64) -> usize {
    let class = u64::BITS - work_tokens.leading_zeros();
    (class as usize).min(CLASS_COUNT - 1)
}
