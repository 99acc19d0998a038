//! How the rating service rates.

use std::str::FromStr;

use fastrand::Rng;
use hemlockhitch_model::{RequestId, VersionName};
use hemlockhitch_ports::rating::{Rating, RatingRequest};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The quality of a version without one of its own.
const DEFAULT_QUALITY_RATIO: f64 = 0.8;

/// Settings of the rating service; ratings depend on nothing else than these,
/// the version and the request identifier.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case", default, deny_unknown_fields)]
pub struct RatingSettings {
    /// The mean quality of versions without one of their own, from 0 to 1.
    pub quality_ratio: f64,
    /// The mean quality of single versions.
    pub versions: Vec<VersionQuality>,
    /// How far a rating may lie from the mean, from 0 to 1.
    pub spread_ratio: f64,
    /// The share of requests that get no rating, from 0 to 1.
    pub missing_ratio: f64,
    /// How long each answer takes, in milliseconds.
    pub delay_ms: u64,
    /// Whether every connection breaks at its next request.
    pub down: bool,
}

/// The mean quality of one version, written `version=quality`.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct VersionQuality {
    /// The version.
    pub version: VersionName,
    /// The mean quality, from 0 to 1.
    pub quality_ratio: f64,
}

/// The text is not a version and its quality.
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
    /// Sets the mean quality of one version.
    #[must_use]
    pub fn version(mut self, version: impl Into<VersionName>, quality_ratio: f64) -> Self {
        self.versions.push(VersionQuality {
            version: version.into(),
            quality_ratio,
        });
        self
    }

    /// Sets how far a rating may lie from the mean.
    #[must_use]
    pub fn spread_ratio(mut self, spread_ratio: f64) -> Self {
        self.spread_ratio = spread_ratio;
        self
    }

    /// Sets the share of requests that get no rating.
    #[must_use]
    pub fn missing_ratio(mut self, missing_ratio: f64) -> Self {
        self.missing_ratio = missing_ratio;
        self
    }

    /// Sets how long each answer takes, in milliseconds.
    #[must_use]
    pub fn delay_ms(mut self, delay_ms: u64) -> Self {
        self.delay_ms = delay_ms;
        self
    }

    /// Sets whether every connection breaks at its next request.
    #[must_use]
    pub fn down(mut self, down: bool) -> Self {
        self.down = down;
        self
    }

    /// Rates an answer, or returns `None` when it is to get no rating.
    #[must_use]
    pub fn rate(&self, request: &RatingRequest) -> Option<Rating> {
        let mut generator = generator(request.request_id);
        if generator.f64() < self.missing_ratio {
            return None;
        }
        let deviation = (2.0 * generator.f64() - 1.0) * self.spread_ratio;
        let quality_ratio = (self.mean(&request.version) + deviation).clamp(0.0, 1.0);
        Some(Rating { quality_ratio })
    }

    fn mean(&self, version: &VersionName) -> f64 {
        let own = self
            .versions
            .iter()
            .rev()
            .find(|own| own.version == *version);
        own.map_or(self.quality_ratio, |own| own.quality_ratio)
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

/// Seeds a generator that always draws the same numbers for one request.
fn generator(request: RequestId) -> Rng {
    let number = request.as_u128();
    Rng::with_seed((number >> 64) as u64 ^ number as u64)
}
