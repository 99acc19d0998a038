//! Settings of the rating service.

use std::str::FromStr;

use fastrand::Rng;
use hemlockhitch_model::{RequestId, VersionName};
use hemlockhitch_ports::rating::{Rating, RatingRequest};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Mean quality of versions without an entry in [`RatingSettings::versions`].
const DEFAULT_QUALITY_RATIO: f64 = 0.8;

/// Settings of the rating service. A rating is a function of the settings, the
/// version and the request ID only, so ratings are reproducible.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case", default, deny_unknown_fields)]
pub struct RatingSettings {
    /// Mean quality of versions without an entry in `versions`, from 0 to 1.
    pub quality_ratio: f64,
    /// Mean quality of individual versions; the last entry of a version applies.
    pub versions: Vec<VersionQuality>,
    /// Maximum deviation of a rating from the mean, from 0 to 1.
    pub spread_ratio: f64,
    /// Fraction of requests that get no rating, from 0 to 1.
    pub missing_ratio: f64,
    /// Delay before each response, in milliseconds.
    pub delay_ms: u64,
    /// Whether every rating request is dropped and its connection aborted.
    pub down: bool,
}

/// Mean quality of one version, written `version=quality`.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct VersionQuality {
    /// Version to which the quality applies.
    pub version: VersionName,
    /// Mean quality, from 0 to 1.
    pub quality_ratio: f64,
}

/// The text does not have the form `version=quality`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
#[error("{text:?} is not a quality; write model@version=0.9")]
pub struct ParseQualityError {
    text: String,
}

impl Default for RatingSettings {
    fn default() -> Self {
        Self {
            quality_ratio: DEFAULT_QUALITY_RATIO,
            versions: Vec::new(),
            spread_ratio: 0.0,
            missing_ratio: 0.0,
            delay_ms: 0,
            down: false,
        }
    }
}

impl RatingSettings {
    /// Sets the mean quality of one version, from 0 to 1.
    #[must_use]
    pub fn version(mut self, version: impl Into<VersionName>, quality_ratio: f64) -> Self {
        self.versions.push(VersionQuality {
            version: version.into(),
            quality_ratio,
        });
        self
    }

    /// Sets the maximum deviation of a rating from the mean, from 0 to 1.
    #[must_use]
    pub fn spread_ratio(mut self, spread_ratio: f64) -> Self {
        self.spread_ratio = spread_ratio;
        self
    }

    /// Sets the fraction of requests that get no rating, from 0 to 1.
    #[must_use]
    pub fn missing_ratio(mut self, missing_ratio: f64) -> Self {
        self.missing_ratio = missing_ratio;
        self
    }

    /// Sets the delay before each response, in milliseconds.
    #[must_use]
    pub fn delay_ms(mut self, delay_ms: u64) -> Self {
        self.delay_ms = delay_ms;
        self
    }

    /// Sets whether every rating request is dropped and its connection aborted.
    #[must_use]
    pub fn down(mut self, down: bool) -> Self {
        self.down = down;
        self
    }

    /// Rates an answer, or returns `None` if the request is among those without a rating.
    #[must_use]
    pub fn rate(&self, request: &RatingRequest) -> Option<Rating> {
        let mut rng = seeded_rng(request.request_id);
        if rng.f64() < self.missing_ratio {
            return None;
        }
        let deviation = (2.0 * rng.f64() - 1.0) * self.spread_ratio;
        let quality_ratio = (self.mean_quality_ratio(&request.version) + deviation).clamp(0.0, 1.0);
        Some(Rating { quality_ratio })
    }

    fn mean_quality_ratio(&self, version: &VersionName) -> f64 {
        let version_quality = self
            .versions
            .iter()
            .rev()
            .find(|version_quality| version_quality.version == *version);
        version_quality.map_or(self.quality_ratio, |version_quality| {
            version_quality.quality_ratio
        })
    }
}

impl FromStr for VersionQuality {
    type Err = ParseQualityError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseQualityError {
            text: text.to_owned(),
        };
        let (version, quality) = text.split_once('=').ok_or_else(error)?;
        let quality_ratio: f64 = quality.parse().map_err(|_| error())?;
        if version.is_empty() || !(0.0..=1.0).contains(&quality_ratio) {
            return Err(error());
        }
        Ok(Self {
            version: version.into(),
            quality_ratio,
        })
    }
}

/// Returns a random number generator seeded with the request ID.
fn seeded_rng(request: RequestId) -> Rng {
    let number = request.as_u128();
    Rng::with_seed((number >> 64) as u64 ^ number as u64)
}
