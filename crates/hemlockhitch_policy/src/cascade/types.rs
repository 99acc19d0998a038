//! Inputs and outputs of a cascade.

use hemlockhitch_model::{Class, ModelName, OrganisationName};

/// The scope in which ratings are learned.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CascadeKey {
    /// Organisation that sends the requests.
    pub organisation: OrganisationName,
    /// Class of the requests.
    pub class: Class,
}

/// A model of a cascade and its cost.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelOption {
    /// Name of the model.
    pub model: ModelName,
    /// Expected cost of a response, in millionths of the currency unit.
    pub cost_micros: f64,
}

impl ModelOption {
    /// Creates an option from a model name and its expected cost.
    #[must_use]
    pub fn new(model: impl Into<ModelName>, cost_micros: impl Into<f64>) -> Self {
        Self {
            model: model.into(),
            cost_micros: cost_micros.into(),
        }
    }
}

/// The request for which a model is chosen.
#[derive(Clone, Copy, Debug)]
pub struct CascadeRequest<'a> {
    /// Scope of the learned ratings.
    pub key: &'a CascadeKey,
    /// Models in order of cost, cheapest first; the last has the best quality.
    pub options: &'a [ModelOption],
    /// Minimum mean rating, between 0 and 1.
    pub target_ratio: f64,
}

/// A chosen model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ModelChoice {
    /// Index of the model in [`CascadeRequest::options`].
    pub index: usize,
    /// Why the model was chosen.
    pub reason: ChoiceReason,
}

/// Why a model was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChoiceReason {
    /// No lower confidence bound reaches the target; this is the best model.
    NoneConfident,
    /// The model is the cheapest whose lower confidence bound reaches the target.
    CheapestConfident,
    /// The model is cheaper than the confident one and is tried to learn its quality.
    Exploration,
    /// The model writes a draft, which is kept or replaced depending on its rating.
    Draft,
}
