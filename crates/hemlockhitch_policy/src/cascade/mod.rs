//! Model cascade: chooses the cheapest model that meets a quality target.
//!
//! Only a sample of the responses is rated; ratings arrive late and some never do.
//! For each organisation and class, the cascade learns a lower confidence bound of
//! each model's mean rating. The cheapest model whose bound reaches the target
//! serves. The margin between its bound and the target is spent on exploring cheaper
//! models, so that the mean quality stays at the target.

mod quality;
mod types;

pub use quality::QualityEstimate;
pub use types::{CascadeKey, CascadeRequest, ChoiceReason, ModelChoice, ModelOption};

use std::collections::HashMap;

use hemlockhitch_model::ModelName;

/// Maximum fraction of the requests that explore one model below the target.
const MAX_EXPLORATION_RATIO: f64 = 0.2;

/// Chooses models and learns their quality from ratings.
///
/// ```
/// use hemlockhitch_model::Class;
/// use hemlockhitch_policy::cascade::{CascadeKey, CascadePolicy, CascadeRequest, ModelOption};
///
/// let cascade = CascadePolicy::new(0.95);
/// let key = CascadeKey {
///     organisation: "org-1".into(),
///     class: Class::Chat,
/// };
/// let options = [ModelOption::new("small", 1.0), ModelOption::new("large", 9.0)];
/// let request = CascadeRequest {
///     key: &key,
///     options: &options,
///     target_ratio: 0.8,
/// };
/// // There are no ratings yet, so the last model serves.
/// assert_eq!(cascade.choose(request, 0.5).index, 1);
/// ```
#[derive(Clone, Debug)]
pub struct CascadePolicy {
    confidence_ratio: f64,
    estimates: HashMap<CascadeKey, HashMap<ModelName, QualityEstimate>>,
}

impl CascadePolicy {
    /// Creates a policy without ratings, whose lower bounds hold with a probability
    /// of `confidence_ratio`.
    #[must_use]
    pub fn new(confidence_ratio: f64) -> Self {
        Self {
            confidence_ratio,
            estimates: HashMap::new(),
        }
    }

    /// Records a rating of a response by `model`. Ratings are clamped to the range
    /// from 0 to 1; one that is not finite is ignored.
    pub fn record_rating(&mut self, key: &CascadeKey, model: &ModelName, rating_ratio: f64) {
        if !rating_ratio.is_finite() {
            return;
        }
        let models = self.estimates.entry(key.clone()).or_default();
        let estimate = models.entry(model.clone()).or_default();
        let miscoverage_ratio = 1.0 - self.confidence_ratio;
        estimate.record(rating_ratio.clamp(0.0, 1.0), miscoverage_ratio);
    }

    /// Discards the ratings of a model, for use when its version changes.
    pub fn forget_model(&mut self, model: &ModelName) {
        for models in self.estimates.values_mut() {
            models.remove(model);
        }
    }

    /// Chooses the model for a response that cannot be replaced afterwards, such as a
    /// streamed one. `draw_ratio` is a random number between 0 and 1.
    #[must_use]
    pub fn choose(&self, request: CascadeRequest<'_>, draw_ratio: f64) -> ModelChoice {
        let last = request.options.len().saturating_sub(1);
        let confident =
            (0..=last).find(|index| self.lower_bound(request, *index) >= request.target_ratio);
        let Some(confident) = confident else {
            return ModelChoice {
                index: last,
                reason: ChoiceReason::NoneConfident,
            };
        };
        match self.explore(request, confident, draw_ratio) {
            Some(index) => ModelChoice {
                index,
                reason: ChoiceReason::Exploration,
            },
            None => ModelChoice {
                index: confident,
                reason: ChoiceReason::CheapestConfident,
            },
        }
    }

    /// Chooses the model of the first draft for a response that may be rated and
    /// replaced. Skips a model whose drafts are rejected so often that it saves no
    /// cost.
    #[must_use]
    pub fn choose_draft(&self, request: CascadeRequest<'_>) -> ModelChoice {
        ModelChoice {
            index: self.cheapest_first_draft(request, 0),
            reason: ChoiceReason::Draft,
        }
    }

    /// Returns the model that replaces a draft, or `None` to keep the draft.
    ///
    /// A draft without a rating is kept only if the lower bound of its model reaches
    /// the target. The draft of the last model is always kept.
    #[must_use]
    pub fn escalate(
        &self,
        request: CascadeRequest<'_>,
        drafted: usize,
        rating_ratio: Option<f64>,
    ) -> Option<usize> {
        let quality = rating_ratio.unwrap_or_else(|| self.lower_bound(request, drafted));
        let next = drafted + 1;
        if quality >= request.target_ratio || next >= request.options.len() {
            return None;
        }
        Some(self.cheapest_first_draft(request, next))
    }

    /// Returns a cheaper model to explore, if any. The margin between the bound of the
    /// confident model and the target is divided evenly over the cheaper models.
    fn explore(
        &self,
        request: CascadeRequest<'_>,
        confident: usize,
        draw_ratio: f64,
    ) -> Option<usize> {
        let confident_ratio = self.lower_bound(request, confident);
        #[allow(clippy::cast_precision_loss)]
        let margin_ratio = (confident_ratio - request.target_ratio) / confident as f64;
        let mut cumulative_ratio = 0.0;
        for index in 0..confident {
            let loss_ratio = confident_ratio - self.lower_bound(request, index);
            cumulative_ratio += (margin_ratio / loss_ratio).min(MAX_EXPLORATION_RATIO);
            if draw_ratio < cumulative_ratio {
                return Some(index);
            }
        }
        None
    }

    /// Returns the model, from `first` on, whose draft has the lowest expected cost
    /// until a draft is kept.
    fn cheapest_first_draft(&self, request: CascadeRequest<'_>, first: usize) -> usize {
        let last = request.options.len().saturating_sub(1);
        let Some(option) = request.options.get(last) else {
            return 0;
        };
        let mut best = last;
        let mut best_cost_micros = option.cost_micros;
        for index in (first..last).rev() {
            let option = &request.options[index];
            let rejection_ratio = self.rejection_ratio(request, index);
            let draft_cost_micros = option.cost_micros + rejection_ratio * best_cost_micros;
            if draft_cost_micros < best_cost_micros {
                best = index;
                best_cost_micros = draft_cost_micros;
            }
        }
        best
    }

    fn estimate(&self, request: CascadeRequest<'_>, index: usize) -> Option<&QualityEstimate> {
        let option = request.options.get(index)?;
        self.estimates.get(request.key)?.get(&option.model)
    }

    /// Returns the lower bound of a model's mean rating; 0 if it has no ratings.
    fn lower_bound(&self, request: CascadeRequest<'_>, index: usize) -> f64 {
        self.estimate(request, index)
            .map_or(0.0, QualityEstimate::lower_bound_ratio)
    }

    /// Returns the estimated probability that a model's draft is rejected; 0.5 if it
    /// has no ratings.
    fn rejection_ratio(&self, request: CascadeRequest<'_>, index: usize) -> f64 {
        self.estimate(request, index)
            .map_or(0.5, |estimate| estimate.below_ratio(request.target_ratio))
    }
}
