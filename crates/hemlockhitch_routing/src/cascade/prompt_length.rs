//! Length of a service's prompts.

/// Weight of the latest prompt in the mean length.
const EWMA_WEIGHT: f64 = 0.01;

/// Moving average of the length of prompts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PromptLengths {
    mean_tokens: Option<f64>,
}

impl PromptLengths {
    /// Records the length of a prompt, in tokens.
    pub fn record(&mut self, tokens: u64) {
        let tokens = super::as_f64(tokens);
        let mean = self.mean_tokens.unwrap_or(tokens);
        self.mean_tokens = Some(mean + (tokens - mean) * EWMA_WEIGHT);
    }

    /// Returns the length of a prompt as a multiple of the mean; `None` before a prompt was
    /// recorded.
    #[must_use]
    pub fn relative(&self, tokens: u64) -> Option<f64> {
        self.mean_tokens.map(|mean| super::as_f64(tokens) / mean)
    }
}
