//! Deterministic text of the answers that the engine generates.

use std::hash::{DefaultHasher, Hash, Hasher};

use hemlockhitch_endpoint::engine::ChatMessage;
use hemlockhitch_model::VersionName;

/// Returns the complete answer of `version` to `prompt` with `tokens` tokens.
///
/// A resumed answer has the same text, so a test can compare the complete answer.
///
/// ```
/// use hemlockhitch_standin::engine::expected_answer;
///
/// let long = expected_answer("m@1", "hello", 4);
/// let short = expected_answer("m@1", "hello", 2);
/// assert!(long.starts_with(&short));
/// ```
#[must_use]
pub fn expected_answer(
    version: impl Into<VersionName>,
    prompt: impl AsRef<str>,
    tokens: u32,
) -> String {
    let version = version.into();
    (0..tokens)
        .map(|offset| token_text(&version, prompt.as_ref(), offset))
        .collect()
}

/// Returns the prompt of a conversation: the contents of its messages, one per line.
#[must_use]
pub fn prompt_text(messages: &[ChatMessage]) -> String {
    let texts: Vec<&str> = messages.iter().map(|m| m.content.as_str()).collect();
    texts.join("\n")
}

/// Returns the token at `offset` of an answer.
pub(super) fn token_text(version: &VersionName, prompt: &str, offset: u32) -> String {
    let mut hasher = DefaultHasher::new();
    (version.as_str(), prompt, offset).hash(&mut hasher);
    let word = hasher.finish() & 0xffff;
    format!("{word:04x} ")
}
