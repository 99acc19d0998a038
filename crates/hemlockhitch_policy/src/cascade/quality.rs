//! Learns a lower confidence bound of a model's mean rating.

/// Ratings in each half of the window; older ones are discarded.
const HALF_WINDOW_RATINGS: u32 = 1_024;

/// Bins of the rating range. The lower end of each bin but the first is a mean that
/// is tested.
const BINS: usize = 50;

/// Fractions of the wealth that are staked, each one as a separate test martingale.
const STAKES: [f64; 2] = [0.5, 0.95];

/// Wealth at which a sudden drop of the mean is accepted.
const DROP_WEALTH_THRESHOLD: f64 = 1_000.0;

/// Fraction of the wealth that is staked on a drop.
const DROP_STAKE: f64 = 0.9;

/// Tolerated drop of the mean below the bound, as a fraction of the rating range.
const DROP_TOLERANCE_RATIO: f64 = 0.05;

/// A lower confidence bound of the mean of ratings between 0 and 1.
///
/// For each of 49 means, the multiples of 0.02, a sequential test bets against the
/// null hypothesis that the mean rating is no higher. The wealth is a test
/// martingale, so all means that are rejected within one window (up to 2,048
/// ratings) are truly exceeded with the stated confidence, however often the bound
/// is read. A separate test detects a drop of the mean below the bound and clears
/// the window.
#[derive(Clone, Debug)]
pub struct QualityEstimate {
    newer: HalfWindow,
    older: HalfWindow,
    lower_bound_ratio: f64,
    /// Wealth of the test for a drop, at least 1.
    drop_wealth: f64,
}

/// The ratings of one half of the window.
#[derive(Clone, Debug)]
struct HalfWindow {
    count: u32,
    /// Ratings in each bin.
    bin_counts: [u32; BINS],
    /// Logarithms of the wealth of each tested mean and stake.
    log_wealths: [[f64; STAKES.len()]; BINS],
}

impl Default for HalfWindow {
    fn default() -> Self {
        Self {
            count: 0,
            bin_counts: [0; BINS],
            log_wealths: [[0.0; STAKES.len()]; BINS],
        }
    }
}

impl Default for QualityEstimate {
    fn default() -> Self {
        Self {
            newer: HalfWindow::default(),
            older: HalfWindow::default(),
            lower_bound_ratio: 0.0,
            drop_wealth: 1.0,
        }
    }
}

impl QualityEstimate {
    /// Returns the lower confidence bound of the mean rating; 0 if nothing is known.
    #[must_use]
    pub fn lower_bound_ratio(&self) -> f64 {
        self.lower_bound_ratio
    }

    /// Returns the fraction of ratings below `target_ratio`, at the resolution of the
    /// bins and with additive (Laplace) smoothing.
    #[must_use]
    pub fn below_ratio(&self, target_ratio: f64) -> f64 {
        let target_bin = bin_of(target_ratio);
        let below_count = self.newer.count_below(target_bin) + self.older.count_below(target_bin);
        let count = self.newer.count + self.older.count;
        (f64::from(below_count) + 1.0) / (f64::from(count) + 2.0)
    }

    /// Records a rating. The mean may lie below the bound with a probability of at
    /// most `miscoverage_ratio`.
    pub(super) fn record(&mut self, rating_ratio: f64, miscoverage_ratio: f64) {
        if self.detect_drop(rating_ratio) {
            *self = Self::default();
        }
        self.newer.add(rating_ratio);
        if self.newer.count >= HALF_WINDOW_RATINGS {
            self.older = std::mem::take(&mut self.newer);
        }
        let log_threshold = -miscoverage_ratio.ln();
        let highest = (1..BINS)
            .rev()
            .find(|bin| self.log_wealth(*bin) >= log_threshold);
        self.lower_bound_ratio = highest.map_or(0.0, mean_at);
    }

    /// Returns the logarithm of the wealth of the bets against one mean, averaged over
    /// the stakes.
    fn log_wealth(&self, bin: usize) -> f64 {
        let newer = self.newer.log_wealths[bin];
        let older = self.older.log_wealths[bin];
        let wealth = newer
            .iter()
            .zip(older)
            .map(|(newer, older)| (newer + older).exp());
        #[allow(clippy::cast_precision_loss)]
        let stakes = STAKES.len() as f64;
        (wealth.sum::<f64>() / stakes).ln()
    }

    /// Bets that the mean has dropped below the bound; returns whether the wealth
    /// reaches [`DROP_WEALTH_THRESHOLD`].
    fn detect_drop(&mut self, rating_ratio: f64) -> bool {
        let gap_ratio = self.lower_bound_ratio - DROP_TOLERANCE_RATIO - rating_ratio;
        let factor = 1.0 + DROP_STAKE * gap_ratio;
        self.drop_wealth = (self.drop_wealth * factor).max(1.0);
        self.drop_wealth >= DROP_WEALTH_THRESHOLD
    }
}

impl HalfWindow {
    /// Adds a rating to the histogram and bets against each tested mean.
    fn add(&mut self, rating_ratio: f64) {
        self.count += 1;
        self.bin_counts[bin_of(rating_ratio)] += 1;
        for (bin, log_wealths) in self.log_wealths.iter_mut().enumerate().skip(1) {
            let gap_ratio = rating_ratio / mean_at(bin) - 1.0;
            for (log, stake) in log_wealths.iter_mut().zip(STAKES) {
                *log += (stake * gap_ratio).ln_1p();
            }
        }
    }

    /// Returns the number of ratings in the bins below `bin`.
    fn count_below(&self, bin: usize) -> u32 {
        self.bin_counts[..bin].iter().sum()
    }
}

/// Returns the tested mean at the lower end of a bin.
fn mean_at(bin: usize) -> f64 {
    #[allow(clippy::cast_precision_loss)]
    let mean = bin as f64 / BINS as f64;
    mean
}

/// Returns the bin that contains a rating.
fn bin_of(rating_ratio: f64) -> usize {
    #[allow(clippy::cast_precision_loss)]
    let bins = BINS as f64;
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let bin = (rating_ratio.clamp(0.0, 1.0) * bins) as usize;
    bin.min(BINS - 1)
}
