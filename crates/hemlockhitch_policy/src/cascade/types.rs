//! What a cascade is asked and what it answers.

use hemlockhitch_model::{Class, ModelName, OrganisationName};

/// Ratings are learned for each organisation and class.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CascadeKey {
    /// The organisation.
    pub organisation: OrganisationName,
    /// The class of request.
    pub class: Class,
}

/// One model of a cascade.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelOption {
    /// The model.
    pub model: ModelName,
    /// The expected cost of an answer, in millionths of the currency unit.
    pub cost_micros: f64,
}

impl ModelOption {
    /// Creates an option.
    #[must_use]
    pub fn new(model: impl Into<ModelName>, cost_micros: impl Into<f64>) -> Self {
        Self {
            model: model.into(),
            cost_micros: cost_micros.into(),
        }
    }
}

/// What a model is chosen for.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The organisation and class.
    pub key: &'a CascadeKey,
    /// The models, cheapest first; the last is the best.
    pub options: &'a [ModelOption],
    /// The least mean quality, between 0 and 1.
    pub target_ratio: f64,
}

/// A chosen model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Its position among the options.
    pub index: usize,
    /// Why it was chosen.
    pub reason: ChoiceReason,
}

/// Why a model was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChoiceReason {
    /// No model is sure to reach the target; this is the best.
    NoneSure,
    /// It is the cheapest that is sure to reach the target.
    CheapestSure,
    /// It is tried out of what a sure model exceeds the target by.
    Trial,
    /// It drafts; the rating decides.
    Draft,
}
