//! The test martingale against the null hypothesis that a version is no worse.

use serde::{Deserialize, Serialize};

use super::Metric;

/// Fractions of the wealth that are staked. Each one is a separate test martingale;
/// their mean adapts to small and large differences.
pub(super) const STAKES: [f64; 5] = [0.06, 0.15, 0.35, 0.65, 0.95];

/// The wealth of the bets, as one logarithm for each of [`STAKES`], and the number
/// of pairs, with one bet on each.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) struct Wealth {
    log_by_stake: [f64; STAKES.len()],
    pairs: u64,
}

impl Wealth {
    /// Bets that the gap between two losses exceeds the tolerance.
    ///
    /// Under the null hypothesis that the expected gap is at most the tolerance, the
    /// expected factor is at most 1, so the wealth is a supermartingale.
    pub(super) fn bet(&mut self, gap_ratio: f64, tolerance_ratio: f64) {
        for (log, stake) in self.log_by_stake.iter_mut().zip(STAKES) {
            let stake = stake / (1.0 + tolerance_ratio);
            *log += (stake * (gap_ratio - tolerance_ratio)).ln_1p();
        }
        self.pairs += 1;
    }

    /// Multiplies the wealth of independent bets, stake by stake.
    pub(super) fn multiply(self, other: &Self) -> Self {
        let mut product = self;
        for (log, other) in product.log_by_stake.iter_mut().zip(other.log_by_stake) {
            *log += other;
        }
        product.pairs += other.pairs;
        product
    }

    /// Returns the logarithm of the mean wealth over the stakes. The largest logarithm
    /// is factored out to avoid overflow.
    pub(super) fn log_wealth(&self) -> f64 {
        let highest = self.log_by_stake.iter().copied().fold(f64::MIN, f64::max);
        let scaled = self.log_by_stake.iter().map(|log| (log - highest).exp());
        highest + (scaled.sum::<f64>() / STAKE_COUNT).ln()
    }

    pub(super) fn pairs(&self) -> u64 {
        self.pairs
    }
}

/// Number of [`STAKES`], as a float.
#[allow(clippy::cast_precision_loss)]
pub(super) const STAKE_COUNT: f64 = STAKES.len() as f64;

/// One node's evidence about a roll-out, which peers combine with their own.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Evidence {
    wealth: [Wealth; Metric::ALL.len()],
}

impl Evidence {
    pub(super) fn from_wealth(wealth: [&Wealth; Metric::ALL.len()]) -> Self {
        Self {
            wealth: wealth.map(|wealth| *wealth),
        }
    }

    pub(super) fn wealth(&self, metric: Metric) -> &Wealth {
        &self.wealth[metric.index()]
    }
}
