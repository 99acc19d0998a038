//! What ratings show of a model's mean quality.

/// Ratings in one half of the memory; older ones are forgotten.
const HALF_SPAN: u32 = 1_024;

/// Parts of the range of ratings, each bounded by a mean that is tested.
const PARTS: usize = 50;

/// The parts of the wealth that are staked, each kept as a bet of its own.
const STAKES: [f64; 2] = [0.5, 0.95];

/// The wealth at which a sudden fall is believed.
const FALL_EVIDENCE: f64 = 1_000.0;

/// Stake on a fall.
const FALL_STAKE: f64 = 0.9;

/// Fall of the mean that is tolerated, as a part of the range.
const FALL_TOLERANCE_RATIO: f64 = 0.05;

/// A lower bound of a mean rating, learned from ratings between 0 and 1.
///
/// For each of 50 means, bets are placed against the hypothesis that the mean
/// rating is no higher. Their wealth is a test martingale, so all means that are
/// rejected over one memory (up to 2,048 ratings) are truly exceeded with the
/// confidence, however often one looks. A fall below the bound is noticed by a
/// test of its own, which clears the memory.
#[derive(Clone, Debug)]
pub struct QualityEstimate {
    newer: Half,
    older: Half,
    lower_ratio: f64,
    fall_wealth: f64,
}

/// The ratings of one half of the memory.
#[derive(Clone, Debug)]
struct Half {
    count: u32,
    counts: [u32; PARTS],
    logs: [[f64; STAKES.len()]; PARTS],
}

impl Default for Half {
    fn default() -> Self {
        Self {
            count: 0,
            counts: [0; PARTS],
            logs: [[0.0; STAKES.len()]; PARTS],
        }
    }
}

impl Default for QualityEstimate {
    fn default() -> Self {
        Self {
            newer: Half::default(),
            older: Half::default(),
            lower_ratio: 0.0,
            fall_wealth: 1.0,
        }
    }
}

impl QualityEstimate {
    /// Returns the lower bound of the mean rating.
    #[must_use]
    pub fn lower_ratio(&self) -> f64 {
        self.lower_ratio
    }

    /// Returns the part of the ratings below `target_ratio`, smoothed.
    #[must_use]
    pub fn below_ratio(&self, target_ratio: f64) -> f64 {
        let target = part_of(target_ratio);
        let below = self.newer.below(target) + self.older.below(target);
        let count = self.newer.count + self.older.count;
        (f64::from(below) + 1.0) / (f64::from(count) + 2.0)
    }

    /// Takes in a rating; the bound may be missed with a chance of `miss_ratio`.
    pub(super) fn record(&mut self, rating_ratio: f64, miss_ratio: f64) {
        if self.has_fallen(rating_ratio) {
            *self = Self::default();
        }
        self.newer.add(rating_ratio);
        if self.newer.count >= HALF_SPAN {
            self.older = std::mem::take(&mut self.newer);
        }
        let least_log = -miss_ratio.ln();
        let highest = (1..PARTS)
            .rev()
            .find(|part| self.log_wealth(*part) >= least_log);
        self.lower_ratio = highest.map_or(0.0, mean_at);
    }

    /// Returns the logarithm of the mean wealth of the bets against one mean.
    fn log_wealth(&self, part: usize) -> f64 {
        let newer = self.newer.logs[part];
        let older = self.older.logs[part];
        let wealth = newer
            .iter()
            .zip(older)
            .map(|(newer, older)| (newer + older).exp());
        #[allow(clippy::cast_precision_loss)]
        let stakes = STAKES.len() as f64;
        (wealth.sum::<f64>() / stakes).ln()
    }

    /// Bets that the mean has fallen below the bound.
    fn has_fallen(&mut self, rating_ratio: f64) -> bool {
        let gap_ratio = self.lower_ratio - FALL_TOLERANCE_RATIO - rating_ratio;
        let factor = 1.0 + FALL_STAKE * gap_ratio;
        self.fall_wealth = (self.fall_wealth * factor).max(1.0);
        self.fall_wealth >= FALL_EVIDENCE
    }
}

impl Half {
    fn add(&mut self, rating_ratio: f64) {
        self.count += 1;
        self.counts[part_of(rating_ratio)] += 1;
        for (part, logs) in self.logs.iter_mut().enumerate().skip(1) {
            let gap_ratio = rating_ratio / mean_at(part) - 1.0;
            for (log, stake) in logs.iter_mut().zip(STAKES) {
                *log += (stake * gap_ratio).ln_1p();
            }
        }
    }

    fn below(&self, part: usize) -> u32 {
        self.counts[..part].iter().sum()
    }
}

/// Returns the mean at the lower end of a part.
fn mean_at(part: usize) -> f64 {
    #[allow(clippy::cast_precision_loss)]
    let mean = part as f64 / PARTS as f64;
    mean
}

/// Returns the part of the range that a rating falls into.
fn part_of(rating_ratio: f64) -> usize {
    #[allow(clippy::cast_precision_loss)]
    let parts = PARTS as f64;
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let part = (rating_ratio.clamp(0.0, 1.0) * parts) as usize;
    part.min(PARTS - 1)
}
