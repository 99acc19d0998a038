//! Chooses the model of a cascade: the cheapest whose quality is sure enough.
//!
//! Ratings come late, for a sample of the answers, and some never come. For each
//! organisation and class the cascade learns a lower bound of each model's mean
//! rating that holds with a stated confidence. The cheapest model whose bound
//! reaches the target serves; what it exceeds the target by is spent on trying
//! cheaper ones, so that the mean quality stays at the target.

mod quality;
mod types;

pub use quality::QualityEstimate;
pub use types::{CascadeKey, Choice, ChoiceReason, ModelOption, Request};

use std::collections::HashMap;

use hemlockhitch_model::ModelName;

/// The most requests that one model below the target gets, as a part of all.
const MAX_TRIAL_RATIO: f64 = 0.2;

/// What a node has learned of its cascades.
///
/// ```
/// use hemlockhitch_model::Class;
/// use hemlockhitch_policy::cascade::{CascadeKey, Cascades, ModelOption, Request};
///
/// let cascades = Cascades::new(0.95);
/// let key = CascadeKey {
///     organisation: "karjamaa".into(),
///     class: Class::Chat,
/// };
/// let options = [ModelOption::new("small", 1.0), ModelOption::new("large", 9.0)];
/// let request = Request {
///     key: &key,
///     options: &options,
///     target_ratio: 0.8,
/// };
/// // Nothing is known yet, so the last model serves.
/// assert_eq!(cascades.choose(request, 0.5).index, 1);
/// ```
#[derive(Clone, Debug)]
pub struct Cascades {
    confidence_ratio: f64,
    learned: HashMap<CascadeKey, HashMap<ModelName, QualityEstimate>>,
}

impl Cascades {
    /// Creates an empty memory; each lower bound holds with `confidence_ratio`.
    #[must_use]
    pub fn new(confidence_ratio: f64) -> Self {
        Self {
            confidence_ratio,
            learned: HashMap::new(),
        }
    }

    /// Takes in a rating of an answer by `model`.
    pub fn rate(&mut self, key: &CascadeKey, model: &ModelName, rating_ratio: f64) {
        if !rating_ratio.is_finite() {
            return;
        }
        let models = self.learned.entry(key.clone()).or_default();
        let estimate = models.entry(model.clone()).or_default();
        let miss_ratio = 1.0 - self.confidence_ratio;
        estimate.record(rating_ratio.clamp(0.0, 1.0), miss_ratio);
    }

    /// Forgets a model whose version changed.
    pub fn forget(&mut self, model: &ModelName) {
        for models in self.learned.values_mut() {
            models.remove(model);
        }
    }

    /// Chooses the model for an answer that cannot be replaced afterwards, such
    /// as a streamed one. `draw_ratio` is random between 0 and 1.
    #[must_use]
    pub fn choose(&self, request: Request<'_>, draw_ratio: f64) -> Choice {
        let last = request.options.len().saturating_sub(1);
        let sure = (0..=last).find(|index| self.lower(request, *index) >= request.target_ratio);
        let Some(sure) = sure else {
            return Choice {
                index: last,
                reason: ChoiceReason::NoneSure,
            };
        };
        match self.trial(request, sure, draw_ratio) {
            Some(index) => Choice {
                index,
                reason: ChoiceReason::Trial,
            },
            None => Choice {
                index: sure,
                reason: ChoiceReason::CheapestSure,
            },
        }
    }

    /// Chooses the model that drafts first when an answer may be rated and
    /// replaced; skips a model whose drafts fail so often that it saves nothing.
    #[must_use]
    pub fn choose_draft(&self, request: Request<'_>) -> Choice {
        Choice {
            index: self.cheapest_start(request, 0),
            reason: ChoiceReason::Draft,
        }
    }

    /// Returns the model that replaces a draft, or `None` to keep the draft.
    ///
    /// A draft without a rating is kept only if its model is sure.
    #[must_use]
    pub fn escalate(
        &self,
        request: Request<'_>,
        drafted: usize,
        rating_ratio: Option<f64>,
    ) -> Option<usize> {
        let quality = rating_ratio.unwrap_or_else(|| self.lower(request, drafted));
        let next = drafted + 1;
        if quality >= request.target_ratio || next >= request.options.len() {
            return None;
        }
        Some(self.cheapest_start(request, next))
    }

    /// Divides what the sure model exceeds the target by over the cheaper ones.
    fn trial(&self, request: Request<'_>, sure: usize, draw_ratio: f64) -> Option<usize> {
        let sure_ratio = self.lower(request, sure);
        #[allow(clippy::cast_precision_loss)]
        let slack_ratio = (sure_ratio - request.target_ratio) / sure as f64;
        let mut upper_ratio = 0.0;
        for index in 0..sure {
            let loss_ratio = sure_ratio - self.lower(request, index);
            upper_ratio += (slack_ratio / loss_ratio).min(MAX_TRIAL_RATIO);
            if draw_ratio < upper_ratio {
                return Some(index);
            }
        }
        None
    }

    /// Returns the first draft, from `first` on, with the lowest expected cost
    /// until an answer is kept.
    fn cheapest_start(&self, request: Request<'_>, first: usize) -> usize {
        let last = request.options.len().saturating_sub(1);
        let Some(option) = request.options.get(last) else {
            return 0;
        };
        let mut start = last;
        let mut cost = option.cost_micros;
        for index in (first..last).rev() {
            let option = &request.options[index];
            let fail_ratio = self.fail_ratio(request, index);
            let with_draft = option.cost_micros + fail_ratio * cost;
            if with_draft < cost {
                start = index;
                cost = with_draft;
            }
        }
        start
    }

    fn estimate(&self, request: Request<'_>, index: usize) -> Option<&QualityEstimate> {
        let option = request.options.get(index)?;
        self.learned.get(request.key)?.get(&option.model)
    }

    fn lower(&self, request: Request<'_>, index: usize) -> f64 {
        self.estimate(request, index)
            .map_or(0.0, QualityEstimate::lower_ratio)
    }

    fn fail_ratio(&self, request: Request<'_>, index: usize) -> f64 {
        self.estimate(request, index)
            .map_or(0.5, |estimate| estimate.below_ratio(request.target_ratio))
    }
}
